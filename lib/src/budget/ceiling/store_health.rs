//! Tracks by a holder's own calls whether the store is available.
//!
//! While the store counts as unavailable, the ceilings of all budgets together call
//! it only once per probe interval.

use crate::time::Millis;

/// Failed calls in a row after which the store counts as unavailable.
///
/// A single failure may be one lost message.
const UNAVAILABLE_AFTER_FAILURES: u32 = 2;

/// Pause between two calls to an unavailable store, over all budgets, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 400;

/// Counts failed store calls and limits calls to an unavailable store.
#[derive(Debug, Default)]
pub(super) struct StoreHealth {
    consecutive_failures: u32,
    /// Time before which an unavailable store is not called.
    probe_at: Millis,
}

impl StoreHealth {
    /// Records a call that failed or whose outcome is unknown.
    pub(super) fn record_failure(&mut self, now: Millis) {
        self.consecutive_failures += 1;
        if self.consecutive_failures == UNAVAILABLE_AFTER_FAILURES {
            log::warn!("event=dependency_lost dependency=store_of_ceilings");
        }
        if self.is_unavailable() {
            self.probe_at = now.plus(PROBE_INTERVAL_MS);
        }
    }

    /// Records a call that the store has answered.
    pub(super) fn record_answer(&mut self) {
        if self.is_unavailable() {
            log::warn!("event=dependency_regained dependency=store_of_ceilings");
        }
        self.consecutive_failures = 0;
    }

    /// Returns whether the store is unavailable and the next probe is not due.
    pub(super) fn is_backing_off(&self, now: Millis) -> bool {
        self.is_unavailable() && now < self.probe_at
    }

    /// Records that a call is made; to an unavailable store it is the only one until the
    /// next probe.
    pub(super) fn record_call(&mut self, now: Millis) {
        if self.is_unavailable() {
            self.probe_at = now.plus(PROBE_INTERVAL_MS);
        }
    }

    /// Returns whether the last calls all failed.
    pub(super) fn is_unavailable(&self) -> bool {
        self.consecutive_failures >= UNAVAILABLE_AFTER_FAILURES
    }
}
