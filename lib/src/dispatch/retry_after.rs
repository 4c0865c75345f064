//! Retry delay for callers whose budget cannot be reached.
//!
//! A store outage affects all callers at once. An outage that has lasted for some
//! time is likely to last about as long again, so the delay grows with it. Jitter
//! keeps the callers from retrying at the same moment.

use crate::time::Millis;

/// Bounds of the delay before jitter, in milliseconds.
const MIN_MS: u64 = 500;
const MAX_MS: u64 = 2_500;

/// Maximum jitter, as a percentage of the delay.
const JITTER_PERCENT: u64 = 40;

/// Computes retry delays from the length of the current outage.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryAfter {
    /// Time of the first failure of the current outage.
    outage_start: Option<Millis>,
}

impl RetryAfter {
    /// Records a success, which ends the outage.
    pub fn record_success(&mut self) {
        self.outage_start = None;
    }

    /// Records a failure and returns the delay in milliseconds after which its caller
    /// should retry. `random` is uniformly distributed.
    pub fn record_failure(&mut self, now: Millis, random: u64) -> u64 {
        let outage_start = *self.outage_start.get_or_insert(now);
        let base = now.since(outage_start).clamp(MIN_MS, MAX_MS);
        base + random % (base * JITTER_PERCENT / 100)
    }
}
