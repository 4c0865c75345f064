//! Time as decision code sees it: milliseconds handed in by the driver.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::number_type::number_type;

number_type! {
    /// Point on a process's monotonic clock, in milliseconds since its start.
    ///
    /// Values from different processes must not be compared.
    #[derive(Default)]
    Millis(u64) as "{}ms"
}

impl Millis {
    /// This point moved later by `ms`.
    pub fn plus(self, ms: u64) -> Millis {
        Millis(self.0.saturating_add(ms))
    }

    /// Milliseconds since `earlier`, zero if `earlier` lies ahead.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Source of [`Millis`] for drivers.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Starts counting at zero now.
    pub fn start() -> MonotonicClock {
        MonotonicClock { start: Instant::now() }
    }

    /// Current reading.
    pub fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }
}

/// Wall-clock milliseconds since the Unix epoch, for expiry windows only.
///
/// No safety property rests on this value.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_millis() as u64
}
