//! Moments at which targets crashed, whatever they ran: what shows how often crashes happen without a
//! suspect.

use crate::time::Millis;

/// Time in which crashes count as one moment, in milliseconds: that by which their reports may differ.
pub(super) const MOMENT_MS: u64 = 100;

/// Maximum number of moments that are remembered.
const MAX_MOMENTS: usize = 256;

/// Moments, oldest first.
#[derive(Debug, Default)]
pub(super) struct CrashMoments {
    moments: Vec<Millis>,
}

impl CrashMoments {
    /// Records a crash.
    pub fn record(&mut self, now: Millis) {
        if self.moments.last().is_some_and(|last| now.since(*last) < MOMENT_MS) {
            return;
        }
        if self.moments.len() >= MAX_MOMENTS {
            self.moments.remove(0);
        }
        self.moments.push(now);
    }

    /// Returns the number of moments from `first` to `last`.
    pub fn count_between(&self, first: Millis, last: Millis) -> usize {
        let from = self.moments.partition_point(|moment| *moment < first);
        let to = self.moments.partition_point(|moment| *moment <= last);
        to.saturating_sub(from)
    }
}
