//! When callers should come back whose money cannot be reached.
//!
//! Answers an outage of the store that all callers feel at once: an outage that
//! has lasted for some time is likely to last about as long again, so that the
//! time to come back grows with it. Callers are spread, so that they do not meet.

use crate::time::Millis;

/// Shortest and longest time that callers are told, in milliseconds.
const SHORTEST_MS: u64 = 500;
const LONGEST_MS: u64 = 2_500;

/// Part of the time by which callers are spread, in percent.
const SPREAD_PERCENT: u64 = 40;

/// Follows an outage and tells callers when to come back.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryAfter {
    /// When the present outage was first felt.
    since: Option<Millis>,
}

impl RetryAfter {
    /// Notes a success: the outage is over.
    pub fn record_success(&mut self) {
        self.since = None;
    }

    /// Notes a failure; answers after how many milliseconds its caller should
    /// come back. `random` is spread evenly over all values.
    pub fn record_failure(&mut self, now: Millis, random: u64) -> u64 {
        let since = *self.since.get_or_insert(now);
        let base = now.since(since).clamp(SHORTEST_MS, LONGEST_MS);
        base + random % (base * SPREAD_PERCENT / 100)
    }
}
