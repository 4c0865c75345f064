//! Retry delay for callers whose budget cannot be reached.
//!
//! A store outage affects all callers at once, and many callers repeat a request once only. One that comes
//! back while the store is still away has lost its request, and one that comes back later than it had
//! to is answered all the same, as long as its time lasts. So the delay is a part of the time that the
//! caller has left.
//!
//! An outage that has lasted for some time is likely to last about as long again, so the delay also grows
//! with it. Jitter keeps the callers from retrying at the same moment.

use crate::time::Millis;

/// Bounds of the delay that the length of the outage gives, in milliseconds.
const MIN_MS: u64 = 500;
const MAX_MS: u64 = 2_500;

/// Part of the caller's remaining time that the delay takes, as a divisor: with the jitter it is less than
/// a third.
const TIME_LEFT_DIVISOR: u64 = 4;

/// Longest delay that the caller's remaining time gives, in milliseconds.
const MAX_BY_TIME_LEFT_MS: u64 = 4_000;

/// Maximum jitter, as a percentage of the delay.
const JITTER_PERCENT: u64 = 30;

/// Computes retry delays from the length of the current outage and the caller's remaining time.
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

    /// Records a failure and returns the delay in milliseconds after which its caller, which has
    /// `time_left_ms` milliseconds left, should retry. `random` is uniformly distributed.
    pub fn record_failure(&mut self, now: Millis, time_left_ms: u64, random: u64) -> u64 {
        let outage_start = *self.outage_start.get_or_insert(now);
        let by_outage = now.since(outage_start).clamp(MIN_MS, MAX_MS);
        let by_time_left = (time_left_ms / TIME_LEFT_DIVISOR).min(MAX_BY_TIME_LEFT_MS);
        let base = by_outage.max(by_time_left);
        base + random % (base * JITTER_PERCENT / 100)
    }
}
