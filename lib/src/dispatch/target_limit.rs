//! Limit of requests that a target has named, as one entry knows it.
//!
//! A target names its limit in each answer for as long as it has one. Answers may overtake each
//! other: one without a limit ends it only if its request was sent after the limit was heard last.

use crate::time::Millis;

/// Time between two log lines about limits of one target that cannot be read, in milliseconds.
const MALFORMED_LOG_INTERVAL_MS: u64 = 60_000;

/// Change of a target's limit that an answer brings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// It is as it was.
    Unchanged,
    /// It is this many requests a second now.
    Limited(f64),
    /// There is none any more.
    Ended,
}

/// Limit that is in force.
#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    /// Requests a second, of all entries together.
    per_second: f64,
    heard_at: Millis,
}

/// What an entry knows of a target's limit.
#[derive(Clone, Debug, Default)]
pub struct TargetLimit {
    named: Option<NamedLimit>,
    /// When a limit that cannot be read was logged last.
    malformed_logged_at: Option<Millis>,
}

impl TargetLimit {
    /// Returns the requests a second that the target takes from all entries together; `None` if it
    /// has not named a limit.
    pub fn per_second(&self) -> Option<f64> {
        self.named.map(|named| named.per_second)
    }

    /// Applies what an answer says; `sent_at` is when its request was sent.
    pub fn apply(&mut self, limit: Option<f64>, sent_at: Millis, now: Millis) -> LimitChange {
        let Some(per_second) = limit else {
            if self.named.is_none_or(|named| sent_at < named.heard_at) {
                return LimitChange::Unchanged;
            }
            self.named = None;
            return LimitChange::Ended;
        };
        let before = self.named.replace(NamedLimit { per_second, heard_at: now });
        match before {
            Some(before) if before.per_second == per_second => LimitChange::Unchanged,
            _ => LimitChange::Limited(per_second),
        }
    }

    /// Returns whether a limit that cannot be read is to be logged now, at most once a minute.
    pub fn may_log_malformed(&mut self, now: Millis) -> bool {
        let logged_at = self.malformed_logged_at;
        if logged_at.is_some_and(|at| now.since(at) < MALFORMED_LOG_INTERVAL_MS) {
            return false;
        }
        self.malformed_logged_at = Some(now);
        true
    }
}
