//! Limit of a target's requests, as processes tell each other.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// What a process knows of a limit, as it tells others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownLimit {
    /// Requests a second; `None` if the target no longer names a limit.
    pub per_second: Option<f64>,
    /// Time since the target said so, in milliseconds.
    age_ms: u64,
}

impl KnownLimit {
    /// Returns what was heard at a time on the clock of this process.
    pub fn new(per_second: Option<f64>, heard_at: Millis, now: Millis) -> KnownLimit {
        KnownLimit { per_second, age_ms: now.since(heard_at) }
    }

    /// Returns when it was heard, on the clock of this process.
    pub fn heard_at(&self, now: Millis) -> Millis {
        Millis(now.0.saturating_sub(self.age_ms))
    }
}
