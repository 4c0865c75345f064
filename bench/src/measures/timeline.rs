//! Timeline of a measure: waits for the points of a run at which faults are injected.

use std::time::{Duration, Instant};

/// Points of a run, as percentages of its duration.
#[derive(Clone, Copy, Debug)]
pub struct Timeline {
    start: Instant,
    duration: Duration,
}

impl Timeline {
    /// Starts the timeline of a run of the given duration now.
    pub fn start(duration: Duration) -> Timeline {
        Timeline { start: Instant::now(), duration }
    }

    /// Waits until `percent` % of the run's duration have passed.
    pub async fn wait_until(&self, percent: u32) {
        let due = self.start + self.duration * percent / 100;
        tokio::time::sleep_until(due.into()).await;
    }
}
