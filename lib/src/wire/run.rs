//! Messages of one request between entry and sidecar.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::{Attempt, BudgetId, EpochId, RequestId};
use crate::result_code::Refusal;

/// Class of a route, which sets its deadline and its share of a target.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Short model answers that a person waits for.
    #[display("quick")]
    Quick,
    /// Long model answers that may wait but must arrive.
    #[display("long")]
    Long,
    /// Idempotent look-ups at application targets.
    #[display("check")]
    Check,
    /// Calls that must run at most once.
    #[display("action")]
    Action,
}

/// Share of a request's reserve taken from one grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FundingPart {
    /// Epoch whose grant in the ledger covers this part.
    pub root: EpochId,
    /// Tokens.
    pub amount: u64,
}

/// Who pays for a request, and out of which grants.
///
/// The charge is taken from the parts in their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Funding {
    /// Epoch of the entry that sends the request.
    pub holder: EpochId,
    pub budget: BudgetId,
    pub parts: Vec<FundingPart>,
}

impl Funding {
    /// Tokens reserved in all; the charge never exceeds them.
    pub fn reserved_tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.amount).sum()
    }

    /// Each part with what a charge takes from it; a charge above the reserve is cut.
    pub fn split(&self, charge: u64) -> impl Iterator<Item = (FundingPart, u64)> + '_ {
        let mut left = charge;
        self.parts.iter().map(move |part| {
            let spent = left.min(part.amount);
            left -= spent;
            (*part, spent)
        })
    }
}

/// How a request is priced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Price {
    /// The engine's usage report, in tokens.
    Usage,
    /// Fixed tokens for each run.
    Fixed(u64),
}

/// HTTP call that the sidecar makes at its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallSpec {
    pub method: String,
    pub path: String,
    pub content_type: String,
    /// Whether the engine is asked to stream its answer.
    pub stream: bool,
    pub body: Vec<u8>,
}

/// Runs a request.
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
    /// Digest of workspace, route and body; names the request across retries.
    pub fingerprint: u128,
    pub call: CallSpec,
}

/// Takes up an answer at an offset, in bytes of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeRequest {
    pub request: RequestId,
    pub attempt: Attempt,
    /// Epoch of the entry that asks; only the one that pays is told a charge.
    pub holder: EpochId,
    pub offset: u64,
}

/// Asks for the record of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupRequest {
    pub request: RequestId,
}

/// What a sidecar knows of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestRecord {
    /// No trace of it since the sidecar started.
    Unknown { incarnation: u64 },
    /// Accepted and not finished.
    Running { attempt: Attempt },
    /// Finished; the answer can be resumed from offset zero.
    Finished { attempt: Attempt, charge: u64 },
}

/// Message from the entry after its [`RunRequest`] or [`ResumeRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunControl {
    /// The caller went away: stop generating and charge what was generated.
    Cancel,
}

/// State that a sidecar puts on each of its frames.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SidecarState {
    /// Random number of this process start.
    pub incarnation: u64,
    pub leaving: bool,
    pub running: u32,
    pub queued: u32,
    /// Newest configuration revision that the sidecar holds.
    pub config_revision: u64,
}

/// Frame of an answer with the identity it belongs to.
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
    /// The sidecar will run the request.
    Accepted,
    /// The target has answered; the body follows.
    Head { status: u16, content_type: String },
    /// Body bytes at `offset`.
    Data { offset: u64, bytes: Vec<u8> },
    /// The answer is whole; `charge` is what it cost, in tokens.
    ///
    /// A stream that joined a request which another delivery pays for is told
    /// a charge of zero: its own reserve is free again.
    End { charge: u64, length: u64 },
    /// Final refusal; `charge` is what the request cost nevertheless.
    Refused { refusal: Refusal, charge: u64 },
}
