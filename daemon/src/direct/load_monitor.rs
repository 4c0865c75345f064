//! Measures how late an entry's timers run while it serves requests, for its [`LoadShedder`].

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rosemarymoor_lib::dispatch::order::load_shedder::LoadShedder;
use rosemarymoor_lib::time::MonotonicClock;
use tokio::sync::Notify;

/// Interval of samples while requests run.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Samples an entry's lag while requests run; clones share it.
#[derive(Clone)]
pub struct LoadMonitor {
    shared: Arc<Shared>,
}

struct Shared {
    shedder: Mutex<LoadShedder>,
    clock: MonotonicClock,
    running: AtomicUsize,
    /// Requests that have begun so far.
    began: AtomicU64,
    /// Wakes the sampling task when the first request begins.
    request_began: Notify,
}

/// Counts a request as running until it is dropped.
pub struct LoadGuard {
    shared: Arc<Shared>,
}

impl LoadMonitor {
    /// Spawns the task that takes the samples.
    pub fn spawn(clock: MonotonicClock) -> LoadMonitor {
        let shared = Arc::new(Shared {
            shedder: Mutex::default(),
            clock,
            running: AtomicUsize::new(0),
            began: AtomicU64::new(0),
            request_began: Notify::new(),
        });
        let monitor = LoadMonitor { shared };
        tokio::spawn(sample(monitor.clone()));
        monitor
    }

    /// Locks the shedder with its present lag.
    pub fn shedder(&self) -> MutexGuard<'_, LoadShedder> {
        self.shared.shedder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a request runs.
    pub fn is_busy(&self) -> bool {
        self.shared.running.load(Ordering::Relaxed) > 0
    }

    /// Returns the number of requests that have begun so far.
    pub fn began(&self) -> u64 {
        self.shared.began.load(Ordering::Relaxed)
    }

    /// Returns whether new connections should go to other entries.
    pub fn is_unready(&self) -> bool {
        self.shedder().is_unready(self.shared.clock.now())
    }

    /// Counts a request as running until the guard is dropped.
    pub fn track_request(&self) -> LoadGuard {
        self.shared.began.fetch_add(1, Ordering::Relaxed);
        if self.shared.running.fetch_add(1, Ordering::Relaxed) == 0 {
            self.shared.request_began.notify_one();
        }
        LoadGuard { shared: self.shared.clone() }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Takes samples for as long as the process lives.
async fn sample(monitor: LoadMonitor) {
    let shared = &monitor.shared;
    loop {
        let is_shedding = monitor.shedder().is_shedding();
        if shared.running.load(Ordering::Relaxed) == 0 && !is_shedding {
            shared.request_began.notified().await;
        }
        let started = Instant::now();
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let lag = started.elapsed().saturating_sub(SAMPLE_INTERVAL);
        let now = shared.clock.now();
        let mut shedder = monitor.shedder();
        if shedder.record_lag(lag.as_secs_f64() * 1_000.0, now) {
            log::warn!(
                "event=load_shedding is_active={} lag_ms={:.0} running={}",
                shedder.is_shedding(),
                shedder.lag_ms(),
                shared.running.load(Ordering::Relaxed)
            );
        }
    }
}
