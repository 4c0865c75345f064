//! Settlements that wait while an earlier call to their budget server is in progress.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rosemarymoor_lib::budget::ceiling::Settlement;
use tokio::sync::Notify;

/// Most settlements in one call, far below the size limit of its body.
const MAX_SETTLEMENTS_PER_CALL: usize = 256;

/// Settlements that wait for one server.
struct ServerQueue {
    server: SocketAddr,
    waiting: Vec<Settlement>,
}

/// Queues of all servers to which a delivery is in progress; clones share them.
#[derive(Clone, Default)]
pub struct SettlementQueue {
    queues: Arc<Mutex<Vec<ServerQueue>>>,
    delivered: Arc<Notify>,
}

impl SettlementQueue {
    /// Adds a settlement; returns whether its delivery has to be started.
    pub fn push(&self, server: SocketAddr, settlement: Settlement) -> bool {
        let mut queues = self.lock();
        match queues.iter_mut().find(|queue| queue.server == server) {
            Some(queue) => {
                queue.waiting.push(settlement);
                false
            }
            None => {
                queues.push(ServerQueue { server, waiting: vec![settlement] });
                true
            }
        }
    }

    /// Takes the settlements of the next call; `None` ends the delivery, as none wait.
    pub fn take(&self, server: SocketAddr) -> Option<Vec<Settlement>> {
        let mut queues = self.lock();
        let at = queues.iter().position(|queue| queue.server == server)?;
        if queues[at].waiting.is_empty() {
            queues.swap_remove(at);
            if queues.is_empty() {
                self.delivered.notify_waiters();
            }
            return None;
        }
        let count = queues[at].waiting.len().min(MAX_SETTLEMENTS_PER_CALL);
        Some(queues[at].waiting.drain(..count).collect())
    }

    /// Waits until no delivery is in progress.
    pub async fn delivered(&self) {
        loop {
            let delivered = self.delivered.notified();
            if self.lock().is_empty() {
                return;
            }
            delivered.await;
        }
    }

    /// Returns the number of settlements that wait while an earlier call is in progress.
    pub fn waiting(&self) -> usize {
        self.lock().iter().map(|queue| queue.waiting.len()).sum()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ServerQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
