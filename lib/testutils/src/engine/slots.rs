//! Slots of the engine stand-in, granted by priority and then in order of arrival.

use std::sync::Mutex;

use tokio::sync::oneshot;

/// Slots of an engine with the queue of requests that wait for one.
pub(super) struct Slots {
    total: u32,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    running: u32,
    /// Requests that have joined the queue so far.
    arrivals: u64,
    /// Increases when the engine crashes, so that slots of runs before the crash are not
    /// freed a second time.
    generation: u64,
    /// Sorted by priority, lowest number first, and then by arrival.
    queue: Vec<QueuedRequest>,
}

struct QueuedRequest {
    priority: u8,
    arrival: u64,
    /// Receives the generation of the granted slot.
    tx: oneshot::Sender<u64>,
}

/// Slot in use; dropping it frees the slot.
pub(super) struct Slot<'a> {
    slots: &'a Slots,
    generation: u64,
}

impl Slots {
    pub(super) fn new(total: u32) -> Slots {
        Slots { total, state: Mutex::default() }
    }

    pub(super) fn running(&self) -> u32 {
        self.state().running
    }

    pub(super) fn queued(&self) -> u32 {
        self.state().queue.len() as u32
    }

    /// Waits for a slot; returns `None` if the engine crashes meanwhile.
    pub(super) async fn acquire(&self, priority: u8) -> Option<Slot<'_>> {
        let rx = {
            let mut state = self.state();
            if state.running < self.total {
                state.running += 1;
                return Some(Slot { slots: self, generation: state.generation });
            }
            let (tx, rx) = oneshot::channel();
            let arrival = state.arrivals;
            state.arrivals += 1;
            let index = state.queue.partition_point(|request| request.priority <= priority);
            state.queue.insert(index, QueuedRequest { priority, arrival, tx });
            debug_assert!(
                state.queue.is_sorted_by_key(|request| (request.priority, request.arrival))
            );
            rx
        };
        let generation = rx.await.ok()?;
        Some(Slot { slots: self, generation })
    }

    /// Frees every slot and drops the queue, as a crash does.
    pub(super) fn reset(&self) {
        let mut state = self.state();
        state.generation += 1;
        state.running = 0;
        state.queue.clear();
    }

    /// Passes a slot to the next request in the queue, or frees it if nobody waits.
    fn release(&self, generation: u64) {
        let mut state = self.state();
        if state.generation != generation {
            return;
        }
        while !state.queue.is_empty() {
            let next = state.queue.remove(0);
            if next.tx.send(generation).is_ok() {
                return;
            }
        }
        state.running -= 1;
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.slots.release(self.generation);
    }
}
