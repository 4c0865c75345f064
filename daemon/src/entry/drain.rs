//! Counts running requests and stops admission, so that an entry can drain.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::watch;

/// Number of running requests and whether new ones may run.
#[derive(Clone, Debug)]
pub struct Drain {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    draining: AtomicBool,
    running: watch::Sender<u32>,
}

/// Counts one request as running until it is dropped.
#[derive(Debug)]
pub struct RunningGuard {
    shared: Arc<Shared>,
}

impl Drain {
    /// Creates a drain with no running request and admission open.
    pub fn open() -> Drain {
        let running = watch::Sender::new(0);
        Drain { shared: Arc::new(Shared { draining: AtomicBool::new(false), running }) }
    }

    /// Counts a request as running; a drain that starts later waits for it.
    ///
    /// Call [`Drain::is_draining`] only afterwards to decide whether the request may run.
    pub fn enter(&self) -> RunningGuard {
        self.shared.running.send_modify(|running| *running += 1);
        RunningGuard { shared: self.shared.clone() }
    }

    /// Stops admission of new requests.
    pub fn start(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether admission has stopped.
    pub fn is_draining(&self) -> bool {
        self.shared.draining.load(Ordering::SeqCst)
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        *self.shared.running.borrow()
    }

    /// Waits until no request runs; returns false if `timeout` passes first.
    pub async fn wait_idle(&self, timeout: Duration) -> bool {
        let mut rx = self.shared.running.subscribe();
        let idle = rx.wait_for(|running| *running == 0);
        tokio::time::timeout(timeout, idle).await.is_ok()
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.shared.running.send_modify(|running| *running -= 1);
    }
}
