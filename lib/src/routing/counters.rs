//! Per-target counters that traffic threads update between routing snapshots.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use crate::wire::SidecarState;

/// Load and failure counters of one target, shared by all threads of a process.
#[derive(Debug, Default)]
pub struct TargetCounters {
    in_flight: AtomicU32,
    /// Requests that run or wait, as last reported by the sidecar.
    reported_load: AtomicU32,
    in_flight_at_report: AtomicU32,
    incarnation: AtomicU64,
    leaving: AtomicBool,
    consecutive_failures: AtomicU32,
}

impl TargetCounters {
    /// Counts a delivery as in flight.
    pub fn start(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends a delivery; `failed` is true if the target caused its failure.
    pub fn finish(&self, failed: bool) {
        let _ = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| count.checked_sub(1));
        if failed {
            self.consecutive_failures.fetch_add(1, Ordering::Relaxed);
        } else {
            self.consecutive_failures.store(0, Ordering::Relaxed);
        }
    }

    /// Records the state that a sidecar sent with a frame; returns whether its incarnation or
    /// leaving flag changed.
    pub fn observe(&self, state: SidecarState) -> bool {
        self.reported_load.store(state.running.saturating_add(state.queued), Ordering::Relaxed);
        self.in_flight_at_report.store(self.in_flight(), Ordering::Relaxed);
        let incarnation = self.incarnation.swap(state.incarnation, Ordering::Relaxed);
        let leaving = self.leaving.swap(state.leaving, Ordering::Relaxed);
        incarnation != state.incarnation || leaving != state.leaving
    }

    /// Returns the number of this process's deliveries in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the last reported load plus the deliveries that this process started since, and
    /// at least its deliveries in flight.
    pub fn load(&self) -> u32 {
        let sent_since =
            self.in_flight().saturating_sub(self.in_flight_at_report.load(Ordering::Relaxed));
        let estimate = self.reported_load.load(Ordering::Relaxed).saturating_add(sent_since);
        estimate.max(self.in_flight())
    }

    /// Returns whether the sidecar's last frame reported it as leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns the incarnation that sent the last frame; zero before the first frame.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Relaxed)
    }

    /// Returns the number of failed deliveries since the last one that did not fail.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures.load(Ordering::Relaxed)
    }

    /// Resets the failure count when an ejection ends.
    pub fn clear_failures(&self) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
    }
}
