//! Queues of requests that wait at the entry until a target of their service takes them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rosemarymoor_lib::dispatch::order::wait_queue::{Place, WaitQueue};
use tokio::sync::Notify;

/// Queues of the services whose targets are all closed.
#[derive(Default)]
pub struct Waiting {
    /// Sorted by service; without empty queues.
    queues: Mutex<Vec<(String, WaitQueue<Arc<Notify>>)>>,
}

impl Waiting {
    fn lock(&self) -> MutexGuard<'_, Vec<(String, WaitQueue<Arc<Notify>>)>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of requests that wait.
    pub fn count(&self) -> usize {
        self.lock().iter().map(|(_, queue)| queue.len()).sum()
    }

    /// Joins a service's queue and wakes those that had to leave for it; returns whether it has room.
    pub fn join(&self, service: &str, place: Place, bytes: usize, waiter: Arc<Notify>) -> bool {
        let mut queues = self.lock();
        let at = match queues.binary_search_by(|(name, _)| name.as_str().cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                queues.insert(at, (service.to_owned(), WaitQueue::default()));
                at
            }
        };
        let Ok(displaced) = queues[at].1.join(place, bytes, waiter) else { return false };
        displaced.iter().for_each(|waiter| waiter.notify_one());
        true
    }

    /// Leaves a service's queue and wakes the request that goes first.
    pub fn leave(&self, service: &str, place: Place) {
        let mut queues = self.lock();
        let found = queues.binary_search_by(|(name, _)| name.as_str().cmp(service));
        let Ok(at) = found else { return };
        queues[at].1.leave(place);
        match queues[at].1.first() {
            Some(first) => first.notify_one(),
            None => drop(queues.remove(at)),
        }
    }

    /// Returns whether a request waits, and whether it goes first.
    pub fn turn(&self, service: &str, place: Place) -> (bool, bool) {
        let queues = self.lock();
        match queues.binary_search_by(|(name, _)| name.as_str().cmp(service)) {
            Ok(at) => (queues[at].1.holds(place), queues[at].1.is_first(place)),
            Err(_) => (false, false),
        }
    }
}
