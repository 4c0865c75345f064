//! Stop of an entry: its times since the signal.
//!
//! For a while the balancer still sends callers, so the entry goes on accepting. Then its listener closes,
//! and only what has begun to arrive is still read. Before the stop's time limit the rest is cut: what
//! has no answer yet gets a refusal, and begun streams break off. Then the process settles and exits.

use std::fmt;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use rosemarymoor_lib::dispatch::order::stop_admission::StopPhase;
use tokio::sync::watch;

/// Time after the signal in which new connections are still served: the balancer checks readiness
/// once a second and stops sending after two failed checks.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(3_000);

/// Time after the signal in which a request is taken on an estimate. It is shorter, since a process may
/// notice the signal late.
const ESTIMATE_AFTER_STOP: Duration = Duration::from_millis(2_700);

/// Part of the stop's time limit that is kept for what follows the cut.
const CUT_RESERVE: Duration = Duration::from_millis(900);

/// Part of the stop's time limit that is kept for the exit.
const EXIT_RESERVE: Duration = Duration::from_millis(100);

/// Moments of a stop.
#[derive(Clone, Copy, Debug)]
struct StopTimes {
    signalled_at: Instant,
    estimates_until: Instant,
    closes_at: Instant,
    cuts_at: Instant,
    exits_at: Instant,
}

/// How far a stop is.
#[derive(Clone, Copy, Debug)]
pub struct StopProgress {
    pub phase: StopPhase,
    /// Time since the signal.
    pub age: Duration,
    /// Time until what still runs is cut.
    pub left: Duration,
}

impl fmt::Display for StopProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (age_ms, left_ms) = (self.age.as_millis(), self.left.as_millis());
        write!(f, "phase={} stop_age_ms={age_ms} stop_left_ms={left_ms}", self.phase.label())
    }
}

/// Stop of a process; it has not begun before the signal.
#[derive(Default)]
pub struct Stop {
    times: OnceLock<StopTimes>,
    cutting: watch::Sender<bool>,
}

/// Tells when the process cuts what still runs.
#[derive(Clone)]
pub struct CutWatch(watch::Receiver<bool>);

impl CutWatch {
    /// Waits until the process cuts what still runs.
    pub async fn begun(&mut self) {
        if self.0.wait_for(|cutting| *cutting).await.is_err() {
            std::future::pending().await
        }
    }
}

impl Stop {
    /// Begins the stop, whose time limit is `grace`; a later call has no effect.
    pub fn begin(&self, grace: Duration) {
        let signalled_at = Instant::now();
        let time_to_cut = grace.saturating_sub(CUT_RESERVE);
        self.times.get_or_init(|| StopTimes {
            signalled_at,
            estimates_until: signalled_at + ESTIMATE_AFTER_STOP.min(time_to_cut / 2),
            closes_at: signalled_at + ACCEPT_AFTER_STOP.min(time_to_cut / 2),
            cuts_at: signalled_at + time_to_cut,
            exits_at: signalled_at + grace.saturating_sub(EXIT_RESERVE),
        });
    }

    /// Returns whether the process was requested to stop.
    pub fn has_begun(&self) -> bool {
        self.times.get().is_some()
    }

    /// Returns how far the stop is; `None` before the signal.
    pub fn progress(&self) -> Option<StopProgress> {
        let times = self.times.get()?;
        let now = Instant::now();
        let phase = match now < times.estimates_until {
            true => StopPhase::Accepting,
            false => StopPhase::Closing,
        };
        Some(StopProgress {
            phase,
            age: now.duration_since(times.signalled_at),
            left: times.cuts_at.saturating_duration_since(now),
        })
    }

    /// Returns how far the stop was when a request arrived; `None` if that was before the signal.
    pub fn age_at(&self, arrived_at: Instant) -> Option<Duration> {
        arrived_at.checked_duration_since(self.times.get()?.signalled_at)
    }

    /// Waits until the listener is due to close; returns at once before the signal.
    pub async fn accepted(&self) {
        if let Some(times) = self.times.get() {
            tokio::time::sleep_until(times.closes_at.into()).await;
        }
    }

    /// Returns the time until the process has to exit; zero before the signal.
    pub fn time_to_exit(&self) -> Duration {
        let exits_at = self.times.get().map(|times| times.exits_at);
        exits_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(Instant::now()))
    }

    /// Cuts what still runs.
    pub fn begin_cut(&self) {
        self.cutting.send_replace(true);
    }

    /// Returns whether the process has begun to cut what still runs.
    pub fn is_cutting(&self) -> bool {
        *self.cutting.borrow()
    }

    /// Returns a watch of the cut.
    pub fn cut(&self) -> CutWatch {
        CutWatch(self.cutting.subscribe())
    }
}
