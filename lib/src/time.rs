//! Time for decision logic, which gets it from its driver in milliseconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::number_type::number_type;

number_type! {
    /// Point in time on a process's monotonic clock, in milliseconds since the clock's start.
    ///
    /// Values from different processes must not be compared.
    #[derive(Default)]
    Millis(u64) as "{}ms"
}

impl Millis {
    /// Returns the point in time `ms` milliseconds later.
    pub fn plus(self, ms: u64) -> Millis {
        Millis(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Monotonic clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Starts a clock at zero.
    pub fn start() -> MonotonicClock {
        MonotonicClock { start: Instant::now() }
    }

    /// Returns the time since the clock's start.
    pub fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
///
/// Used only for display and for expiry windows; no safety property depends on it.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_millis() as u64
}
