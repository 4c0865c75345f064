//! Count of requests in flight and the switch that ends admission.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::watch;

/// Tracks requests in flight and whether new ones may run.
#[derive(Clone, Debug)]
pub struct Drain {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    draining: AtomicBool,
    running: watch::Sender<u32>,
}

/// One request in flight; counted until it is dropped.
#[derive(Debug)]
pub struct RunningGuard {
    shared: Arc<Shared>,
}

impl Drain {
    /// Starts with no request and admission open.
    pub fn open() -> Drain {
        let running = watch::Sender::new(0);
        Drain { shared: Arc::new(Shared { draining: AtomicBool::new(false), running }) }
    }

    /// Counts a request as running; a drain that starts later waits for it.
    ///
    /// Read [`Drain::is_draining`] afterwards to decide whether it may run.
    pub fn enter(&self) -> RunningGuard {
        self.shared.running.send_modify(|running| *running += 1);
        RunningGuard { shared: self.shared.clone() }
    }

    /// Ends admission.
    pub fn start(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
    }

    /// Whether admission has ended.
    pub fn is_draining(&self) -> bool {
        self.shared.draining.load(Ordering::SeqCst)
    }

    /// Requests in flight.
    pub fn running(&self) -> u32 {
        *self.shared.running.borrow()
    }

    /// Waits until no request runs; false if `limit` passes first.
    pub async fn wait_idle(&self, limit: Duration) -> bool {
        let mut rx = self.shared.running.subscribe();
        let idle = rx.wait_for(|running| *running == 0);
        tokio::time::timeout(limit, idle).await.is_ok()
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.shared.running.send_modify(|running| *running -= 1);
    }
}
