//! Limit of a target's requests, as processes tell each other.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// Age of a limit of which nothing has been heard.
const UNHEARD_AGE_MS: u64 = u64::MAX;

/// What a process knows of a limit, as it tells others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownLimit {
    /// Requests a second; `None` if the target no longer names a limit.
    pub per_second: Option<f64>,
    /// Time since the target said so, in milliseconds.
    age_ms: u64,
    /// Limit that holds while the target is cold, besides the one that it names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<KnownColdLimit>,
}

/// What a process knows of a cold target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownColdLimit {
    /// Requests a second.
    pub per_second: f64,
    /// Time for which the target stays cold, in milliseconds.
    pub left_ms: u64,
}

impl KnownLimit {
    /// Returns what was heard at a time on the clock of this process.
    pub fn new(per_second: Option<f64>, heard_at: Millis, now: Millis) -> KnownLimit {
        KnownLimit { per_second, age_ms: now.since(heard_at), cold: None }
    }

    /// Returns that nothing has been heard.
    pub fn unheard() -> KnownLimit {
        KnownLimit { per_second: None, age_ms: UNHEARD_AGE_MS, cold: None }
    }

    /// Returns the same with the limit that holds while the target is cold.
    pub fn with_cold(self, cold: Option<KnownColdLimit>) -> KnownLimit {
        KnownLimit { cold, ..self }
    }

    /// Returns when it was heard, on the clock of this process; `None` if nothing was.
    pub fn heard_at(&self, now: Millis) -> Option<Millis> {
        let is_heard = self.age_ms != UNHEARD_AGE_MS;
        is_heard.then(|| Millis(now.0.saturating_sub(self.age_ms)))
    }
}
