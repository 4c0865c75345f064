//! An admitted request and the replies that its caller gets.

use std::time::{Duration, Instant};

use rosemarymoor_lib::config::Route;
use rosemarymoor_lib::id::BudgetId;
use rosemarymoor_lib::request_identity::{IdentitySource, RequestIdentity};
use rosemarymoor_lib::result_code::Refusal;
use rosemarymoor_lib::wire::CallSpec;

/// Request that passed admission and awaits its money and its target.
#[derive(Clone, Debug)]
pub struct Job {
    pub identity: RequestIdentity,
    pub route: Route,
    pub budget: BudgetId,
    /// Most that the request can cost, in tokens.
    pub worst_case: u64,
    pub call: CallSpec,
    /// Beginning of the prompt or body, for prefix affinity.
    pub prefix: Vec<u8>,
    pub admitted: Instant,
    /// Whether the request may only join an earlier delivery, not run itself.
    pub join_only: bool,
}

impl Job {
    /// Time left until the route's deadline.
    pub fn remaining(&self) -> Duration {
        Duration::from_millis(self.route.deadline_ms).saturating_sub(self.admitted.elapsed())
    }

    /// Point in time at which the caller is told that the request timed out.
    pub fn deadline(&self) -> tokio::time::Instant {
        let deadline = self.admitted + Duration::from_millis(self.route.deadline_ms);
        tokio::time::Instant::from_std(deadline)
    }

    /// Whether a retry of the caller can find this request again.
    pub fn has_stable_identity(&self) -> bool {
        self.identity.source != IdentitySource::Fresh
    }

    /// Whether the run goes on when its caller goes away.
    ///
    /// A named request keeps running, since its caller may come back for it.
    pub fn outlives_caller(&self) -> bool {
        self.has_stable_identity() || !self.route.repeatable
    }
}

/// Complete answer of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteAnswer {
    pub status: u16,
    pub content_type: String,
    pub body: Vec<u8>,
    /// What the request cost, in tokens.
    pub charge: u64,
}

/// What the caller's side of a request receives, in this order: one `Complete` or
/// one `Refused`, or one `Start`, any `Chunk` and one `End` or `Broken`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Complete(CompleteAnswer),
    Start { status: u16, content_type: String },
    Chunk(Vec<u8>),
    End,
    Broken(Refusal),
    Refused(Refusal),
}
