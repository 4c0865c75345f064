//! Counters of one target that traffic threads update between snapshots.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use crate::wire::SidecarState;

/// Freshest knowledge of one target, shared by all threads of a process.
#[derive(Debug, Default)]
pub struct TargetCounters {
    in_flight: AtomicU32,
    reported: AtomicU32,
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

    /// Ends a delivery; `failed` says whether the target is to blame.
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

    /// Records the state on a sidecar's frame; tells whether it left or restarted.
    pub fn observe(&self, state: SidecarState) -> bool {
        self.reported.store(state.running.saturating_add(state.queued), Ordering::Relaxed);
        self.in_flight_at_report.store(self.in_flight(), Ordering::Relaxed);
        let incarnation = self.incarnation.swap(state.incarnation, Ordering::Relaxed);
        let leaving = self.leaving.swap(state.leaving, Ordering::Relaxed);
        incarnation != state.incarnation || leaving != state.leaving
    }

    /// Deliveries of this process in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Last reported load, corrected by what this process has sent since.
    pub fn load(&self) -> u32 {
        let sent_since =
            self.in_flight().saturating_sub(self.in_flight_at_report.load(Ordering::Relaxed));
        let estimate = self.reported.load(Ordering::Relaxed).saturating_add(sent_since);
        estimate.max(self.in_flight())
    }

    /// Whether the sidecar's last frame said that it leaves.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Process start that the last frame came from; zero before the first.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Relaxed)
    }

    /// Deliveries that failed since the last that did not.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures.load(Ordering::Relaxed)
    }

    /// Forgets failures, when a target is given another chance.
    pub fn clear_failures(&self) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
    }
}
