//! Counts running requests and stops admission, so that an entry can drain; cuts off what runs at the
//! drain's time limit.

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
    cut_off: watch::Sender<bool>,
}

/// Counts one request as running until it is dropped.
#[derive(Debug)]
pub struct RunningGuard {
    shared: Arc<Shared>,
}

impl Drain {
    /// Creates a drain with no running request and admission open.
    pub fn open() -> Drain {
        let draining = AtomicBool::new(false);
        let (running, cut_off) = (watch::Sender::new(0), watch::Sender::new(false));
        Drain { shared: Arc::new(Shared { draining, running, cut_off }) }
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

    /// Ends the requests that are not answered yet.
    pub fn cut_off(&self) {
        self.shared.cut_off.send_replace(true);
    }

    /// Waits until requests are cut off.
    pub async fn limit_reached(&self) {
        let mut cut_off = self.shared.cut_off.subscribe();
        // The sender lives as long as this object.
        let _ = cut_off.wait_for(|cut_off| *cut_off).await;
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
