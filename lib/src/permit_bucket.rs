//! Permits to send requests, which accrue at a rate.

use crate::time::Millis;

/// Permits that are left.
#[derive(Clone, Copy, Debug, Default)]
pub struct PermitBucket {
    permits: f64,
    updated_at: Millis,
}

impl PermitBucket {
    /// Creates a bucket with a part of a permit.
    pub fn new(permits: f64, now: Millis) -> PermitBucket {
        PermitBucket { permits, updated_at: now }
    }

    /// Adds what has accrued since the last time, up to `capacity` permits.
    pub fn refill(&mut self, per_second: f64, capacity: f64, now: Millis) {
        let accrued = now.since(self.updated_at) as f64 / 1_000.0 * per_second;
        self.permits = (self.permits + accrued).min(capacity);
        self.updated_at = now;
    }

    /// Returns the number of whole permits.
    pub fn available(&self) -> u32 {
        self.permits.max(0.0).floor() as u32
    }

    /// Takes permits, also more than there are.
    pub fn spend(&mut self, count: u32) {
        self.permits -= f64::from(count);
    }

    /// Returns the time until there are `count` permits, in milliseconds.
    pub fn wait_ms(&self, count: u32, per_second: f64) -> u64 {
        ((f64::from(count) - self.permits).max(0.0) / per_second * 1_000.0).ceil() as u64
    }
}
