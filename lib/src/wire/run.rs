//! Messages of one request between entry and sidecar.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::{Attempt, BudgetId, EpochId, RequestId};
use crate::result_code::Refusal;

/// Class of a route, which determines its default deadline and its share of a target.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Short model answers for interactive use.
    #[display("quick")]
    Quick,
    /// Long model answers that may be delayed but have to be delivered.
    #[display("long")]
    Long,
    /// Idempotent queries at application targets.
    #[display("check")]
    Check,
    /// Calls that may run at most once.
    #[display("action")]
    Action,
}

/// Part of a request's reserved tokens that comes from one grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FundingPart {
    /// Epoch whose grant in the ledger covers this part.
    pub root: EpochId,
    /// Reserved tokens.
    pub amount: u64,
}

/// Budget and grants that a request is charged to.
///
/// The charge is taken from the parts in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Funding {
    /// Epoch of the entry that sends the request.
    pub holder: EpochId,
    pub budget: BudgetId,
    pub parts: Vec<FundingPart>,
}

impl Funding {
    /// Returns the total of reserved tokens, which the charge never exceeds.
    pub fn reserved_tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.amount).sum()
    }

    /// Returns each part with the tokens that a charge takes from it.
    ///
    /// A charge above the reserved tokens is capped.
    pub fn split(&self, charge: u64) -> impl Iterator<Item = (FundingPart, u64)> + '_ {
        let mut remaining = charge;
        self.parts.iter().map(move |part| {
            let spent = remaining.min(part.amount);
            remaining -= spent;
            (*part, spent)
        })
    }
}

/// Rule that determines the charge of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Price {
    /// Tokens in the engine's usage report.
    Usage,
    /// Fixed number of tokens for each run.
    Fixed(u64),
}

/// HTTP call that the sidecar sends to its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallSpec {
    pub method: String,
    /// Path and query, beginning with a slash.
    pub path: String,
    pub content_type: String,
    /// Whether the engine streams its answer.
    pub stream: bool,
    pub body: Vec<u8>,
}

/// Request that a sidecar runs at its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    pub request: RequestId,
    pub attempt: Attempt,
    pub workspace: String,
    pub route: String,
    /// Target that the entry chose; the sidecar refuses a call for another.
    pub target: String,
    pub class: Class,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    pub funding: Funding,
    pub price: Price,
    /// Digest of workspace, route and call, equal for all retries.
    pub fingerprint: u128,
    pub call: CallSpec,
}

/// Resumes an answer at an offset of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeRequest {
    pub request: RequestId,
    pub attempt: Attempt,
    /// Epoch of the asking entry; only the entry that pays gets a charge above zero.
    pub holder: EpochId,
    /// Offset in bytes.
    pub offset: u64,
}

/// Asks for a sidecar's record of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupRequest {
    pub request: RequestId,
}

/// State of a request at a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestRecord {
    /// The sidecar has no record of the request since it started.
    Unknown { incarnation: u64 },
    /// The request is accepted and not finished.
    Running { attempt: Attempt },
    /// The request is finished; its answer can be resumed from offset zero.
    Finished { attempt: Attempt, charge: u64 },
}

/// Message from the entry after its [`RunRequest`] or [`ResumeRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunControl {
    /// The caller disconnected: stop generating and charge the tokens generated so far.
    Cancel,
}

/// State that a sidecar attaches to each frame of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SidecarState {
    /// Random number of this process start.
    pub incarnation: u64,
    /// Whether the sidecar or its target is leaving, so that new requests are refused.
    pub leaving: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Newest configuration revision that the sidecar has.
    pub config_revision: u64,
}

/// Frame of an answer with the identity of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnvelope {
    pub request: RequestId,
    pub attempt: Attempt,
    pub state: SidecarState,
    pub frame: RunFrame,
}

/// Part of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunFrame {
    /// The sidecar has accepted the request and will run it.
    Accepted,
    /// The target has sent the head of its answer; the body follows.
    Head { status: u16, content_type: String },
    /// Body bytes at `offset`.
    Data { offset: u64, bytes: Vec<u8> },
    /// The answer is complete; `charge` is in tokens, `length` is the body's in bytes.
    ///
    /// If another delivery pays for the request, `charge` is zero and the
    /// receiver's reserved tokens are free again.
    End { charge: u64, length: u64 },
    /// Final refusal; `charge` is what the request cost nevertheless, in tokens.
    Refused { refusal: Refusal, charge: u64 },
}
