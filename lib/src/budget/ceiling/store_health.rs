//! Whether the store answers a holder, and when to ask it again.

use crate::time::Millis;

/// Calls in a row without a useful answer after which the store counts as away.
/// One may be lost on its way.
const FAILURES: u32 = 2;

/// Pause between two calls to a store that is away, over all budgets.
const PROBE_MS: u64 = 400;

/// What a holder knows of the store from its own calls.
#[derive(Debug, Default)]
pub(super) struct StoreHealth {
    failures: u32,
    probe_at: Millis,
}

impl StoreHealth {
    /// Notes a call without a useful answer.
    pub(super) fn failed(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures == FAILURES {
            log::warn!("event=dependency_lost dependency=store_of_ceilings");
        }
        if self.is_away() {
            self.probe_at = now.plus(PROBE_MS);
        }
    }

    /// Notes a call that the store has answered.
    pub(super) fn answered(&mut self) {
        if self.is_away() {
            log::warn!("event=dependency_regained dependency=store_of_ceilings");
        }
        self.failures = 0;
    }

    /// Whether a call makes no sense at this moment.
    pub(super) fn is_resting(&self, now: Millis) -> bool {
        self.is_away() && now < self.probe_at
    }

    /// Notes that a call is made; to a store that is away it is the only one for a
    /// while.
    pub(super) fn called(&mut self, now: Millis) {
        if self.is_away() {
            self.probe_at = now.plus(PROBE_MS);
        }
    }

    /// Whether the last calls all came to nothing.
    pub(super) fn is_away(&self) -> bool {
        self.failures >= FAILURES
    }
}
