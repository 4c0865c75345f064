//! Faults at set moments of a run.

use std::time::{Duration, Instant};

/// Moments as shares of a run's length.
#[derive(Clone, Copy, Debug)]
pub struct Timeline {
    start: Instant,
    length: Duration,
}

impl Timeline {
    /// Starts now.
    pub fn start(length: Duration) -> Timeline {
        Timeline { start: Instant::now(), length }
    }

    /// Waits until `percent` of the run have passed.
    pub async fn at(&self, percent: u32) {
        let due = self.start + self.length * percent / 100;
        tokio::time::sleep_until(due.into()).await;
    }
}
