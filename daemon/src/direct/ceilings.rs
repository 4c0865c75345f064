//! Runs the ceilings of one holder over the store.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemarymoor_lib::budget::ceiling::{
    CeilingEffect, CeilingStatus, CeilingSystem, Headroom, ReservationId, ReservationReply,
    ReservationRequest, Settlement, account_key,
};
use rosemarymoor_lib::id::{BudgetId, EpochId};
use rosemarymoor_lib::kv_store::KvStore;
use rosemarymoor_lib::time::{Millis, MonotonicClock};
use tokio::sync::{Notify, oneshot};

/// Time in which the store has to answer a call for money.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Longest time that a stop waits until all money is handed back.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause between two looks at a holder that is being closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Budgets of one holder with their driver; clones share them.
#[derive(Clone)]
pub struct Ceilings {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    kv: Arc<dyn KvStore>,
    clock: MonotonicClock,
    wake: Notify,
}

struct State {
    system: CeilingSystem,
    /// Askers who wait for their answer.
    replies: Vec<(ReservationId, oneshot::Sender<ReservationReply>)>,
}

impl Ceilings {
    /// Opens a holder under a fresh epoch and the task that keeps its times.
    pub fn spawn(kv: Arc<dyn KvStore>, clock: MonotonicClock, headroom: Headroom) -> Ceilings {
        let system = CeilingSystem::open(EpochId::random(), headroom);
        let state = Mutex::new(State { system, replies: Vec::new() });
        let ceilings =
            Ceilings { shared: Arc::new(Shared { state, kv, clock, wake: Notify::new() }) };
        tokio::spawn(ceilings.clone().run_timers());
        ceilings
    }

    /// Epoch of this holder.
    pub fn epoch(&self) -> EpochId {
        self.lock().system.epoch()
    }

    /// Reserves money; waits as long as the ask's patience allows.
    pub async fn reserve(&self, request: ReservationRequest) -> ReservationReply {
        let (reply, answer) = oneshot::channel();
        let (id, budget) = (request.id, request.budget.clone());
        let waits = self.apply(|state, now, effects| {
            state.replies.push((id, reply));
            state.system.reserve(request, now, effects);
        });
        let mut pending = PendingReservation { ceilings: self, budget, id, is_answered: false };
        if waits {
            self.shared.wake.notify_one();
        }
        let reply = answer.await.unwrap_or(ReservationReply::Unavailable);
        pending.is_answered = true;
        reply
    }

    /// Ends a reservation with what was used.
    pub fn settle(&self, settlement: &Settlement) {
        let waits = self.apply(|state, now, effects| {
            state.system.settle(settlement, now, effects);
        });
        if waits {
            self.shared.wake.notify_one();
        }
    }

    /// Hands all headroom back, or gives up after a time.
    pub async fn close(&self) {
        let closing = async {
            loop {
                self.apply(|state, now, effects| state.system.close(now, effects));
                if self.lock().system.is_closed() {
                    return;
                }
                tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(CLOSE_TIMEOUT, closing).await.is_err() {
            log::warn!("event=money_kept reason=store_did_not_answer_in_time");
        }
    }

    /// State of all budgets.
    pub fn budgets(&self) -> Vec<CeilingStatus> {
        self.lock().system.budgets()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs one event and its effects; answers whether something is left for later.
    fn apply(&self, event: impl FnOnce(&mut State, Millis, &mut Vec<CeilingEffect>)) -> bool {
        let mut effects = Vec::new();
        let mut state = self.lock();
        event(&mut state, self.shared.clock.now(), &mut effects);
        let waits = effects.iter().all(|effect| !matches!(effect, CeilingEffect::Answer { .. }));
        for effect in effects {
            self.run(&mut state, effect);
        }
        waits
    }

    fn run(&self, state: &mut State, effect: CeilingEffect) {
        match effect {
            CeilingEffect::Answer { id, reply } => {
                if let Some(at) = state.replies.iter().position(|waiting| waiting.0 == id) {
                    // An asker that has left settles the reservation itself.
                    let _ = state.replies.swap_remove(at).1.send(reply);
                }
            }
            CeilingEffect::Read { budget } => {
                let ceilings = self.clone();
                tokio::spawn(async move {
                    let key = account_key(&budget);
                    let outcome = ceilings.shared.kv.get(&key, STORE_TIMEOUT).await;
                    ceilings.apply(|state, now, effects| {
                        state.system.read_done(&budget, outcome, now, effects);
                    });
                    ceilings.shared.wake.notify_one();
                });
            }
            CeilingEffect::Write { budget, expected, value } => {
                let ceilings = self.clone();
                tokio::spawn(async move {
                    let kv = &ceilings.shared.kv;
                    let key = account_key(&budget);
                    let write = kv.compare_and_swap(&key, expected, value, None, STORE_TIMEOUT);
                    let outcome = write.await;
                    log::info!("event=ceiling_written budget={budget} outcome={outcome:?}");
                    ceilings.apply(|state, now, effects| {
                        state.system.write_done(&budget, outcome, now, effects);
                    });
                    ceilings.shared.wake.notify_one();
                });
            }
        }
    }

    async fn run_timers(self) {
        loop {
            let mut due = None;
            self.apply(|state, now, effects| due = state.system.tick(now, effects));
            let woken = self.shared.wake.notified();
            match due {
                None => woken.await,
                Some(due) => {
                    let wait = Duration::from_millis(due.since(self.shared.clock.now()).max(1));
                    let _ = tokio::time::timeout(wait, woken).await;
                }
            }
        }
    }
}

/// Frees the money of an asker that left before its answer.
struct PendingReservation<'a> {
    ceilings: &'a Ceilings,
    budget: BudgetId,
    id: ReservationId,
    is_answered: bool,
}

impl Drop for PendingReservation<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        self.ceilings.lock().replies.retain(|waiting| waiting.0 != self.id);
        let settlement = Settlement { id: self.id, budget: self.budget.clone(), used: 0 };
        self.ceilings.settle(&settlement);
    }
}
