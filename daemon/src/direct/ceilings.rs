//! Driver of the budget ceilings of one holder.
//!
//! It applies the effects of [`CeilingSystem`]: it reads and writes accounts in the store
//! and answers requesters. Entries and budget servers each run one.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemarymoor_lib::budget::ceiling::{
    CeilingEffect, CeilingStatus, CeilingSystem, Draw, GrantWitness, Headroom, ReservationId,
    ReservationReply, ReservationRequest, Settlement, account_key,
};
use rosemarymoor_lib::id::{BudgetId, EpochId};
use rosemarymoor_lib::kv_store::{EraReceiver, KvStore};
use rosemarymoor_lib::time::{Millis, MonotonicClock};
use tokio::sync::{Notify, oneshot};

/// Timeout of a store call for an account.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Timeout for returning all headroom when the process stops.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval of checks whether all reservations are settled, or all headroom has been returned.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Budgets of one holder and their driver; clones share them.
#[derive(Clone)]
pub struct Ceilings {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    kv: Arc<dyn KvStore>,
    /// Era of the store; `None` for a store that loses nothing.
    era: Option<EraReceiver>,
    clock: MonotonicClock,
    wake: Notify,
}

struct State {
    system: CeilingSystem,
    /// Requesters that wait for their reply.
    waiters: Vec<(ReservationId, oneshot::Sender<ReservationReply>)>,
}

impl Ceilings {
    /// Opens a holder under a new epoch and spawns the task that runs its timers.
    pub fn spawn(kv: Arc<dyn KvStore>, clock: MonotonicClock, headroom: Headroom) -> Ceilings {
        let system = CeilingSystem::open(EpochId::random(), headroom);
        let state = Mutex::new(State { system, waiters: Vec::new() });
        let era = kv.era();
        let shared = Shared { state, kv, era: era.clone(), clock, wake: Notify::new() };
        let ceilings = Ceilings { shared: Arc::new(shared) };
        tokio::spawn(ceilings.clone().run_timers());
        if let Some(era) = era {
            tokio::spawn(ceilings.clone().follow_era(era));
        }
        ceilings
    }

    /// Returns the tokens of a budget that this holder has used and reserved.
    pub fn committed(&self, budget: &BudgetId) -> u64 {
        self.lock().system.committed(budget)
    }

    /// Applies what an entry knows of another holder's grant.
    pub fn apply_witness(&self, witness: &GrantWitness) {
        self.apply(|state, now, effects| state.system.apply_witness(witness, now, effects));
        self.shared.wake.notify_one();
    }

    /// Returns the epoch of this holder.
    pub fn epoch(&self) -> EpochId {
        self.lock().system.epoch()
    }

    /// Reserves tokens and waits for the reply, which arrives within the request's
    /// `max_wait_ms`.
    ///
    /// If the future is dropped before its reply, the reservation is settled with no tokens
    /// used.
    pub async fn reserve(&self, request: ReservationRequest) -> ReservationReply {
        let (waiter, reply) = oneshot::channel();
        let (id, budget) = (request.id, request.budget.clone());
        let needs_wake = self.apply(|state, now, effects| {
            state.waiters.push((id, waiter));
            state.system.reserve(request, now, effects);
        });
        let mut unanswered = UnansweredRequest { ceilings: self, budget, id, answered: false };
        if needs_wake {
            self.shared.wake.notify_one();
        }
        let reply = reply.await.unwrap_or(ReservationReply::Unavailable);
        unanswered.answered = true;
        reply
    }

    /// Draws tokens of a reservation; returns how many of them may be used, or `None` if the reservation
    /// is not known.
    pub fn draw(&self, draw: &Draw) -> Option<u64> {
        let mut limit = None;
        self.apply(|state, now, _| limit = state.system.draw(draw, now));
        limit
    }

    /// Ends a reservation and charges the tokens used.
    pub fn settle(&self, settlement: &Settlement) {
        let needs_wake = self.apply(|state, now, effects| {
            state.system.settle(settlement, now, effects);
        });
        if needs_wake {
            self.shared.wake.notify_one();
        }
    }

    /// Returns headroom to the budgets' accounts from now on, and what settlements free.
    pub fn begin_close(&self) {
        self.apply(|state, now, effects| state.system.close(now, effects));
        self.shared.wake.notify_one();
    }

    /// Waits until no reservation is open or requested.
    pub async fn settled(&self) {
        let is_open = |budget: &CeilingStatus| budget.reserved > 0 || budget.waiting > 0;
        while self.budgets().iter().any(is_open) {
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
    }

    /// Returns all headroom to the budgets' accounts; gives up after a timeout.
    pub async fn close(&self) {
        let close_all = async {
            loop {
                self.apply(|state, now, effects| state.system.close(now, effects));
                if self.lock().system.is_closed() {
                    return;
                }
                tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(CLOSE_TIMEOUT, close_all).await.is_err() {
            log::warn!("event=money_kept reason=store_did_not_answer_in_time");
        }
    }

    /// Returns the status of all budgets.
    pub fn budgets(&self) -> Vec<CeilingStatus> {
        self.lock().system.budgets()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies one event and runs its effects. The timer task has to be woken, and the result
    /// is true, if no requester was answered.
    fn apply(&self, event: impl FnOnce(&mut State, Millis, &mut Vec<CeilingEffect>)) -> bool {
        let mut effects = Vec::new();
        let mut state = self.lock();
        let now = self.shared.clock.now();
        // The era of an answer is known before the answer, which has to be applied after it.
        if let Some(era) = self.shared.era.as_ref().and_then(|era| *era.borrow()) {
            state.system.observe_era(era, now, &mut effects);
        }
        event(&mut state, now, &mut effects);
        let needs_wake =
            effects.iter().all(|effect| !matches!(effect, CeilingEffect::Answer { .. }));
        for effect in effects {
            self.run(&mut state, effect);
        }
        needs_wake
    }

    fn run(&self, state: &mut State, effect: CeilingEffect) {
        match effect {
            CeilingEffect::Answer { id, reply } => {
                if let Some(at) = state.waiters.iter().position(|waiter| waiter.0 == id) {
                    // The guard of a requester that has left settles its reservation.
                    let _ = state.waiters.swap_remove(at).1.send(reply);
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

    /// Writes the grants again as soon as a restore of the store is seen.
    async fn follow_era(self, mut era: EraReceiver) {
        while era.changed().await.is_ok() {
            self.apply(|_, _, _| {});
            self.shared.wake.notify_one();
        }
    }

    /// Runs due timers for as long as the process lives.
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

/// Guard of a request that waits for its reply; dropping it before the reply settles the
/// reservation with no tokens used.
struct UnansweredRequest<'a> {
    ceilings: &'a Ceilings,
    budget: BudgetId,
    id: ReservationId,
    answered: bool,
}

impl Drop for UnansweredRequest<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        self.ceilings.lock().waiters.retain(|waiter| waiter.0 != self.id);
        let settlement = Settlement { id: self.id, budget: self.budget.clone(), used: 0 };
        self.ceilings.settle(&settlement);
    }
}
