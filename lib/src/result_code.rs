//! Numbered result codes of refusals, with their kind and HTTP status.
//!
//! `docs/result-codes.md` lists the codes for operators; a test checks that both are equal.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Log target of lines about requests that failed or were refused.
pub const FAILURE_LOG: &str = "rosemarymoor::failure";

/// HTTP statuses that tell a caller that its request did not run and will not; sorted.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Returns whether an HTTP status tells a caller that its request did not run, so that it may be sent again.
pub fn says_not_run(status: u16) -> bool {
    NOT_RUN_STATUSES.binary_search(&status).is_ok()
}

/// Whether a refused request ran.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum RefusalKind {
    /// The request did not run and will not.
    #[display("not-run")]
    NotRun,
    /// The request ran or may have run.
    #[display("may-have-run")]
    MayHaveRun,
    /// The request ran and part of its answer was sent.
    #[display("partial")]
    Partial,
}

macro_rules! result_codes {
    ($($name:ident = $number:literal, $status:literal, $kind:ident, $title:literal;)*) => {
        /// Reason of a refusal; its number is stable across versions.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[repr(u16)]
        pub enum ResultCode {
            $(#[doc = $title] $name = $number,)*
        }

        impl ResultCode {
            /// All codes, ordered by number.
            pub const ALL: &[ResultCode] = &[$(ResultCode::$name,)*];

            /// Returns the HTTP status for this code.
            pub fn status(self) -> u16 {
                match self {
                    $(ResultCode::$name => $status,)*
                }
            }

            /// Returns whether a request that is refused with this code ran.
            pub fn kind(self) -> RefusalKind {
                match self {
                    $(ResultCode::$name => RefusalKind::$kind,)*
                }
            }

            /// Returns a short title for people.
            pub fn title(self) -> &'static str {
                match self {
                    $(ResultCode::$name => $title,)*
                }
            }

            /// Returns the number that callers and operators see.
            pub fn number(self) -> u16 {
                self as u16
            }
        }
    };
}

result_codes! {
    BadRequest = 1001, 400, NotRun, "The request is malformed";
    BodyTooLarge = 1002, 413, NotRun, "The request body exceeds the limit of the route";
    Unauthorized = 1003, 401, NotRun, "The workspace key is missing or unknown";
    UnknownRoute = 1004, 404, NotRun, "No such route in this workspace";
    UnknownBudget = 1005, 402, NotRun, "No such budget in this workspace";
    PromptTooLong = 1006, 400, NotRun, "The prompt exceeds the limit of the route";
    MaxTokensTooLarge = 1007, 400, NotRun, "max_tokens exceeds the limit of the route";
    KeyReused = 1008, 422, NotRun, "The idempotency key was used for another request";
    BodyTimeout = 1009, 408, NotRun, "The request body did not arrive in time";
    BudgetExhausted = 2001, 402, NotRun, "The budget does not cover the request";
    BudgetUnavailable = 2002, 503, NotRun, "The budget's money cannot be reached now";
    EpochClosed = 2003, 503, NotRun, "The paying entry was declared dead";
    NoTarget = 3001, 503, NotRun, "No target of the route is available";
    QueueFull = 3002, 503, NotRun, "The target's queue is full";
    DeadlineTooShort = 3003, 504, NotRun, "The request cannot finish before its deadline";
    Leaving = 3004, 503, NotRun, "The target is leaving";
    ShuttingDown = 3005, 503, NotRun, "The entry is shutting down";
    ClaimUnavailable = 3006, 503, NotRun, "The claim for the request could not be stored in time";
    Poisoned = 3007, 422, NotRun, "The request has crashed targets before";
    NotConfigured = 3008, 503, NotRun, "The entry has no configuration yet";
    Overloaded = 3009, 503, NotRun, "The entry is overloaded";
    TargetUnreachable = 3010, 503, NotRun, "The target could not be reached";
    Withdrawn = 3011, 499, NotRun, "The caller went away before the request ran";
    FateUnknown = 4001, 502, MayHaveRun, "The fate of the request is unknown";
    TargetFailed = 4002, 502, MayHaveRun, "The target failed while it ran the request";
    StillRunning = 4003, 409, MayHaveRun, "The request is still running";
    AnswerGone = 4004, 410, MayHaveRun, "The request ran but its answer is no longer kept";
    TimedOut = 4005, 504, MayHaveRun, "The request ran past its deadline";
    AnswerCutOff = 5001, 502, Partial, "The answer was cut off";
    OriginUnknown = 5002, 503, NotRun, "The version that began the stream is not known";
}

/// Refusal of a request, as sent between processes and to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    pub code: ResultCode,
    /// Delay after which a retry makes sense, in milliseconds; `None` if none does.
    pub retry_after_ms: Option<u64>,
    /// Explanation for people.
    pub detail: String,
}

impl Refusal {
    /// Returns a refusal without a retry delay.
    pub fn new(code: ResultCode, detail: impl Into<String>) -> Refusal {
        Refusal { code, retry_after_ms: None, detail: detail.into() }
    }

    /// Returns the refusal with a retry delay in milliseconds.
    pub fn retry_after(mut self, ms: u64) -> Refusal {
        self.retry_after_ms = Some(ms);
        self
    }
}
