//! Settlements that wait while an earlier call to their budget server is in progress.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemarymoor_lib::budget::ceiling::Settlement;

/// Most settlements in one call, far below the size limit of its body.
const MAX_SETTLEMENTS_PER_CALL: usize = 256;

/// Interval of checks whether all settlements are delivered.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Settlements that wait for one server.
struct ServerQueue {
    server: SocketAddr,
    waiting: Vec<Settlement>,
}

/// Queues of all servers to which a delivery is in progress; clones share them.
#[derive(Clone, Default)]
pub struct SettlementQueue {
    queues: Arc<Mutex<Vec<ServerQueue>>>,
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
            return None;
        }
        let count = queues[at].waiting.len().min(MAX_SETTLEMENTS_PER_CALL);
        Some(queues[at].waiting.drain(..count).collect())
    }

    /// Waits until all settlements are delivered or given up.
    pub async fn delivered(&self) {
        while !self.lock().is_empty() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ServerQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
