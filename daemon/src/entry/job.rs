//! An admitted request, which admission creates as a [`Job`], and the [`Reply`] values that
//! its delivery sends to the caller's side.

use std::time::{Duration, Instant};

use rosemarymoor_lib::config::Route;
use rosemarymoor_lib::id::BudgetId;
use rosemarymoor_lib::request_identity::{IdentitySource, RequestIdentity};
use rosemarymoor_lib::result_code::{Refusal, RefusalKind, ResultCode};
use rosemarymoor_lib::wire::CallSpec;

/// Request that has been admitted and is to be delivered.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identity by which deliveries of the same request are recognised.
    pub identity: RequestIdentity,
    /// Route as it was configured at admission.
    pub route: Route,
    /// Budget that is charged.
    pub budget: BudgetId,
    /// Most that the request can cost, in tokens.
    pub worst_case_tokens: u64,
    /// HTTP call to make at the target.
    pub call: CallSpec,
    /// Beginning of the prompt or body, for prefix affinity.
    pub prefix: Vec<u8>,
    /// Time of admission, from which the deadline counts.
    pub admitted_at: Instant,
    /// Whether the request may only join an earlier delivery and not run itself.
    pub join_only: bool,
}

impl Job {
    /// Returns the time left until the route's deadline; zero once it has passed.
    pub fn remaining(&self) -> Duration {
        Duration::from_millis(self.route.deadline_ms).saturating_sub(self.admitted_at.elapsed())
    }

    /// Returns the instant of the route's deadline.
    pub fn deadline(&self) -> tokio::time::Instant {
        let deadline = self.admitted_at + Duration::from_millis(self.route.deadline_ms);
        tokio::time::Instant::from_std(deadline)
    }

    /// Returns whether a retry by the caller has the same identity.
    pub fn has_stable_identity(&self) -> bool {
        self.identity.source != IdentitySource::Fresh
    }

    /// Returns whether the run continues after its caller has disconnected.
    ///
    /// A request with a stable identity continues, since its caller may retry and join it.
    pub fn outlives_caller(&self) -> bool {
        self.has_stable_identity() || !self.route.repeatable
    }
}

/// Complete answer of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteAnswer {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type` of the body; empty if the target sent none.
    pub content_type: String,
    /// Complete body.
    pub body: Vec<u8>,
    /// Charge of the request, in tokens.
    pub charge: u64,
}

/// Reply of a delivery to the caller's side of a request.
///
/// A request gets one `Complete` or one `Refused`; or one `Start`, any number of
/// `Chunk`, and one `End` or `Broken`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A complete answer that is not streamed.
    Complete(CompleteAnswer),
    /// Start of a streamed answer.
    Start { status: u16, content_type: String },
    /// Complete events of a streamed answer.
    Chunk(Vec<u8>),
    /// End of a complete streamed answer.
    End,
    /// End of a streamed answer that is incomplete.
    Broken(Refusal),
    /// Refusal before any part of an answer was sent.
    Refused(Refusal),
}

impl Reply {
    /// Returns the last reply of a delivery that failed; `started` says whether a part of the
    /// answer was sent before.
    pub fn failure(refusal: Refusal, started: bool) -> Reply {
        if !started {
            return Reply::Refused(refusal);
        }
        Reply::Broken(match refusal.code.kind() {
            RefusalKind::Partial => refusal,
            RefusalKind::NotRun | RefusalKind::MayHaveRun => Refusal {
                code: ResultCode::AnswerCutOff,
                retry_after_ms: refusal.retry_after_ms,
                detail: format!("{}: {}", refusal.code.title(), refusal.detail),
            },
        })
    }
}
