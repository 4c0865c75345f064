//! Slots of an engine, given out by priority and then in order of arrival.

use std::sync::Mutex;

use tokio::sync::oneshot;

pub(super) struct Slots {
    total: u32,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    running: u32,
    arrivals: u64,
    /// Changes when the engine loses its state, so that old runs free nothing.
    generation: u64,
    /// Sorted by priority and arrival.
    waiting: Vec<Waiting>,
}

struct Waiting {
    priority: u8,
    arrival: u64,
    tx: oneshot::Sender<u64>,
}

/// Slot in use until it is released.
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
        self.state().waiting.len() as u32
    }

    /// Waits for a slot; `None` if the engine lost its state meanwhile.
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
            let at = state.waiting.partition_point(|held| held.priority <= priority);
            state.waiting.insert(at, Waiting { priority, arrival, tx });
            debug_assert!(state.waiting.is_sorted_by_key(|held| (held.priority, held.arrival)));
            rx
        };
        let generation = rx.await.ok()?;
        Some(Slot { slots: self, generation })
    }

    pub(super) fn reset(&self) {
        let mut state = self.state();
        state.generation += 1;
        state.running = 0;
        state.waiting.clear();
    }

    fn release(&self, generation: u64) {
        let mut state = self.state();
        if state.generation != generation {
            return;
        }
        while !state.waiting.is_empty() {
            let next = state.waiting.remove(0);
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
