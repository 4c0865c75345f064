//! Limit of requests that the target of a sidecar has named. The sidecar is its only caller.

use crate::permit_bucket::PermitBucket;
use crate::result_code::{Refusal, ResultCode};
use crate::time::Millis;

/// Share of the limit that is left for load reports of the target.
const REPORT_SHARE: f64 = 0.25;

/// Lowest limit that is kept, in requests a second: an answer is needed to learn that it ended.
const MIN_LIMIT: f64 = 0.05;

/// Longest wait for a permit, in milliseconds; a request that would wait longer is refused at once.
const MAX_WAIT_MS: u64 = 100;

/// Shortest retry delay sent with a refusal, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Limit in force and the permits that are left under it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestLimit {
    per_second: Option<f64>,
    heard_at: Millis,
    bucket: PermitBucket,
}

impl RequestLimit {
    /// Returns the requests a second that the target takes; `None` if it names no limit.
    pub fn per_second(&self) -> Option<f64> {
        self.per_second
    }

    /// Applies what an answer says to a request that was sent at `sent_at`; an older one than the
    /// latest limit does not end it.
    pub fn apply(&mut self, limit: Option<f64>, sent_at: Millis, now: Millis) {
        if limit.is_none() && sent_at < self.heard_at {
            return;
        }
        self.refill(now);
        if self.per_second.is_none() {
            self.bucket = PermitBucket::new(0.0, now);
        }
        self.per_second = limit;
        self.heard_at = now;
    }

    /// Returns the number of requests that may start now; `None` without a limit.
    pub fn available(&mut self, now: Millis) -> Option<u32> {
        self.refill(now);
        self.per_second.map(|_| self.bucket.available())
    }

    /// Counts requests that are sent.
    pub fn spend(&mut self, count: u32) {
        if self.per_second.is_some() {
            self.bucket.spend(count);
        }
    }

    /// Returns the shortest time between two load reports, in milliseconds; 0 without a limit.
    pub fn min_report_interval_ms(&self) -> u64 {
        let interval_ms = |limit: f64| 1_000.0 / (limit.max(MIN_LIMIT) * REPORT_SHARE);
        self.per_second.map_or(0, |limit| interval_ms(limit) as u64)
    }

    /// Returns the refusal of a request that would wait too long behind `queued` others.
    pub fn refusal(&mut self, queued: usize, now: Millis) -> Option<Refusal> {
        self.refill(now);
        let rate = self.call_rate()?;
        let wait_ms = self.bucket.wait_ms(queued as u32 + 1, rate);
        if wait_ms <= MAX_WAIT_MS {
            return None;
        }
        let refusal = Refusal::new(ResultCode::QueueFull, "the target has reached its limit");
        Some(refusal.retry_after(wait_ms.max(MIN_RETRY_AFTER_MS)))
    }

    fn refill(&mut self, now: Millis) {
        if let Some(rate) = self.call_rate() {
            self.bucket.refill(rate, 1.0_f64.max(rate * MAX_WAIT_MS as f64 / 1_000.0), now);
        }
    }

    /// Returns the rate that is left for calls.
    fn call_rate(&self) -> Option<f64> {
        self.per_second.map(|limit| (limit * (1.0 - REPORT_SHARE)).max(MIN_LIMIT))
    }
}
