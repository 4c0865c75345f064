//! Budgets held under ceilings that the store has acknowledged.
//!
//! A holder is any process that pays for requests. For each budget it owns one
//! grant in the ledger, named by its epoch, and spends only below the `granted`
//! of that grant whose write it has seen confirmed: its ceiling. Any number of
//! holders may serve one budget at any time; safety rests on the ledger's
//! invariant alone, never on who is thought to be alive. What a holder leaves
//! between its last settled figure and its ceiling when it dies counts as spent.
//!
//! Ceilings follow the need: what is used, reserved and asked for, plus a
//! headroom for the near future that shrinks as the budget runs dry. The system
//! is pure; it answers every event with effects.

mod budget_ceiling;
mod store_health;

use serde::{Deserialize, Serialize};

use self::budget_ceiling::BudgetCeiling;
use self::store_health::StoreHealth;
use crate::id::{BudgetId, EpochId};
use crate::kv_store::{NotDone, Outcome, Revision, Versioned};
use crate::time::Millis;

/// Time for which settlements of unknown reservations are remembered.
const TOMBSTONE_MS: u64 = 10_000;

/// Key of a budget's account in the store.
pub fn account_key(budget: &BudgetId) -> String {
    format!("account/{}/{}", budget.workspace, budget.name)
}

/// Name of a reservation, chosen by the process that asks for it.
pub type ReservationId = u128;

/// Money asked for before a request is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationRequest {
    pub id: ReservationId,
    pub budget: BudgetId,
    /// Tokens prepaid in all, as the asker knows.
    pub prepaid: u64,
    /// Version of the configuration that says so.
    pub prepaid_version: u64,
    /// Worst case of the request, in tokens.
    pub tokens: u64,
    /// How long the answer may take, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: u64,
    /// Time until the request has ended at the latest, in milliseconds.
    pub lifetime_ms: u64,
}

/// Answer to an [`ReservationRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReservationReply {
    Granted,
    /// It certainly does not fit into what is left of the budget.
    Exhausted,
    /// It may fit, but other holders have what is left.
    Short,
    /// The store did not answer in time.
    Unavailable,
}

/// End of a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    pub id: ReservationId,
    pub budget: BudgetId,
    /// Tokens that were spent.
    pub used: u64,
}

/// How much a holder holds beyond what requests need now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Headroom {
    /// For the near future, by the rate of spending.
    ByRate,
    /// Nothing: this holder only stands in for another one.
    None,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CeilingEffect {
    Answer { id: ReservationId, reply: ReservationReply },
    Read { budget: BudgetId },
    Write { budget: BudgetId, expected: Revision, value: Vec<u8> },
}

/// Budgets of one holder.
pub struct CeilingSystem {
    epoch: EpochId,
    headroom: Headroom,
    store: StoreHealth,
    /// Sorted by budget.
    held: Vec<BudgetCeiling>,
    /// Settlements that came before their reservation, or after its end.
    tombstones: Vec<(ReservationId, Millis)>,
}

/// State of one budget at a holder, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CeilingStatus {
    pub budget: BudgetId,
    pub prepaid: u64,
    pub ceiling: u64,
    pub used: u64,
    pub reserved: u64,
    /// Tokens counted as spent because their settlement never came.
    pub in_doubt: u64,
    pub waiting: usize,
}

impl CeilingSystem {
    /// Opens a holder that holds nothing yet.
    pub fn open(epoch: EpochId, headroom: Headroom) -> CeilingSystem {
        CeilingSystem {
            epoch,
            headroom,
            store: StoreHealth::default(),
            held: Vec::new(),
            tombstones: Vec::new(),
        }
    }

    /// Epoch that names this holder's grants.
    pub fn epoch(&self) -> EpochId {
        self.epoch
    }

    /// Takes a request for money; it is answered by an effect, now or later.
    pub fn reserve(
        &mut self,
        ask: ReservationRequest,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        if let Some(at) = self.tombstones.iter().position(|(id, _)| *id == ask.id) {
            self.tombstones.swap_remove(at);
            effects
                .push(CeilingEffect::Answer { id: ask.id, reply: ReservationReply::Unavailable });
            return;
        }
        let at = self.open_budget(&ask.budget, now);
        self.held[at].enqueue(ask, now);
        self.held[at].advance(self.epoch, &mut self.store, now, effects);
    }

    /// Ends a reservation: what was used is spent, the rest is free again.
    pub fn settle(
        &mut self,
        settlement: &Settlement,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        let Settlement { id, budget, used } = settlement;
        let (id, used) = (*id, *used);
        let at = self.open_budget(budget, now);
        if self.held[at].settle(id, used, effects) {
            self.held[at].advance(self.epoch, &mut self.store, now, effects);
        } else {
            self.tombstones.retain(|(_, at)| now.since(*at) < TOMBSTONE_MS);
            self.tombstones.push((id, now));
        }
    }

    /// Takes the answer to [`CeilingEffect::Read`].
    pub fn read_done(
        &mut self,
        budget: &BudgetId,
        outcome: Outcome<Option<Versioned>>,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        self.note_answer(&outcome, now);
        let at = self.open_budget(budget, now);
        self.held[at].read_done(self.epoch, outcome, now);
        self.held[at].advance(self.epoch, &mut self.store, now, effects);
    }

    /// Takes the answer to [`CeilingEffect::Write`].
    pub fn write_done(
        &mut self,
        budget: &BudgetId,
        outcome: Outcome<Revision>,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        self.note_answer(&outcome, now);
        let at = self.open_budget(budget, now);
        self.held[at].write_done(outcome, now);
        self.held[at].advance(self.epoch, &mut self.store, now, effects);
    }

    /// Does what has become due; answers when to call again.
    pub fn tick(&mut self, now: Millis, effects: &mut Vec<CeilingEffect>) -> Option<Millis> {
        let mut next: Option<Millis> = None;
        for held in &mut self.held {
            held.expire_reservations(now);
            held.advance(self.epoch, &mut self.store, now, effects);
            if let Some(due) = held.due(now) {
                next = Some(next.map_or(due, |next| next.min(due)));
            }
        }
        next
    }

    /// Hands all headroom back; for a graceful stop.
    pub fn close(&mut self, now: Millis, effects: &mut Vec<CeilingEffect>) {
        for held in &mut self.held {
            held.close();
            held.advance(self.epoch, &mut self.store, now, effects);
        }
    }

    /// Whether nothing is left to hand back.
    pub fn is_closed(&self) -> bool {
        self.held.iter().all(|held| held.is_closed())
    }

    /// State of all budgets.
    pub fn budgets(&self) -> Vec<CeilingStatus> {
        self.held.iter().map(BudgetCeiling::summary).collect()
    }

    fn note_answer<T>(&mut self, outcome: &Outcome<T>, now: Millis) {
        match outcome {
            Outcome::NotDone(NotDone::Unavailable) | Outcome::Unknown => self.store.failed(now),
            Outcome::Done(_) | Outcome::NotDone(_) => self.store.answered(),
        }
    }

    /// Place of a budget among those held.
    fn open_budget(&mut self, budget: &BudgetId, now: Millis) -> usize {
        match self.held.binary_search_by(|held| held.budget.cmp(budget)) {
            Ok(at) => at,
            Err(at) => {
                self.held.insert(at, BudgetCeiling::new(budget.clone(), self.headroom, now));
                at
            }
        }
    }
}
