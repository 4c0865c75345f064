//! Ceilings: how many tokens of each budget a process may spend.
//!
//! A holder is any process that pays for requests. For each budget it owns one
//! grant in the ledger, named by its epoch, and spends at most the `granted` figure
//! of the last write of that grant that the store has confirmed: its ceiling. Any
//! number of holders may serve one budget at any time; safety rests on the ledger's
//! invariant alone, not on which holders appear to be alive. When a holder crashes, the
//! tokens between its last settled figure and its ceiling count as spent.
//!
//! A ceiling is what is used, reserved and requested, plus a headroom for the near
//! future that shrinks as the budget is used up. The system does no I/O itself; it
//! returns effects for every event, and its driver carries them out.

mod budget_ceiling;
mod demand;
mod spending;
mod store_era;
mod store_health;
mod stored_account;

use serde::{Deserialize, Serialize};

use self::budget_ceiling::BudgetCeiling;
pub use self::spending::MAX_SILENCE_MS;
use self::store_era::StoreEra;
use self::store_health::StoreHealth;
use crate::id::{BudgetId, EpochId};
use crate::kv_store::{NotDone, Outcome, Revision, Versioned};
use crate::time::Millis;

/// Time for which settlements of unknown reservations are remembered, in milliseconds.
const TOMBSTONE_MS: u64 = 10_000;

/// Returns the key of a budget's account in the store.
pub fn account_key(budget: &BudgetId) -> String {
    format!("account/{}/{}", budget.workspace, budget.name)
}

/// Number of eras whose reserves have an epoch of their own.
const MAX_RESERVE_ERAS: u64 = 1 << 20;

/// Returns the epoch of the grant that sets tokens aside after the restore that began an era;
/// nobody spends them.
fn restore_reserve_epoch(era: u64) -> EpochId {
    EpochId(u64::MAX - era % MAX_RESERVE_ERAS)
}

/// Returns whether a grant of this epoch is the reserve of an era.
pub fn is_restore_reserve(epoch: EpochId) -> bool {
    epoch.0 > u64::MAX - MAX_RESERVE_ERAS
}

/// Identifier of a reservation, chosen by the process that requests it.
pub type ReservationId = u128;

/// Tokens to reserve before a request is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationRequest {
    /// Identifier of the requested reservation.
    pub id: ReservationId,
    /// Budget that pays for the request.
    pub budget: BudgetId,
    /// Tokens prepaid in all, as the requester knows.
    pub prepaid: u64,
    /// Version of the configuration that `prepaid` comes from.
    pub prepaid_version: u64,
    /// Worst case of the request, in tokens.
    pub tokens: u64,
    /// How long the answer may take, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: u64,
    /// Tokens that the requester may use before it draws more, if it draws; `None` if it may use all
    /// of them.
    #[serde(default)]
    pub drawn: Option<u64>,
    /// Longest time until the request has ended, in milliseconds.
    pub lifetime_ms: u64,
}

/// Answer to a [`ReservationRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReservationReply {
    /// The tokens are reserved.
    Granted,
    /// The tokens do not fit into what is left of the budget, whatever other holders do.
    Exhausted,
    /// The tokens may fit, but what is left is granted to other holders.
    Short,
    /// The store did not answer in time.
    Unavailable,
}

/// Word of the requester of an open reservation, which draws tokens of it before it uses them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draw {
    /// Identifier of the reservation.
    pub id: ReservationId,
    /// Budget of the reservation.
    pub budget: BudgetId,
    /// Tokens that the requester wants to have drawn, in all.
    pub drawn: u64,
}

/// End of a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Identifier of the reservation.
    pub id: ReservationId,
    /// Budget of the reservation.
    pub budget: BudgetId,
    /// Tokens that were spent; at most the reserved ones count.
    pub used: u64,
}

/// What an entry knows of a holder's grant from its reservations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantWitness {
    pub budget: BudgetId,
    /// Epoch of the holder.
    pub epoch: EpochId,
    /// Tokens that the holder had used and reserved at its latest reservation for this entry.
    pub committed: u64,
}

/// What an entry reports to a budget server after the store was restored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessReport {
    /// Era of the restored store, which a server without requests has not seen yet.
    pub era: u64,
    pub witnesses: Vec<GrantWitness>,
}

/// Policy for the tokens that a holder has granted beyond what requests need now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Headroom {
    /// Headroom for the near future, by the rate of requested tokens.
    ByRate,
    /// No headroom, for a holder that is used only while another one is unreachable.
    None,
}

/// Action that the driver carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CeilingEffect {
    /// Answers a reservation request.
    Answer { id: ReservationId, reply: ReservationReply },
    /// Reads the budget's account; [`CeilingSystem::read_done`] applies the outcome.
    Read { budget: BudgetId },
    /// Writes the budget's account if it is at `expected`;
    /// [`CeilingSystem::write_done`] applies the outcome.
    Write { budget: BudgetId, expected: Revision, value: Vec<u8> },
}

/// Ceilings of one holder.
pub struct CeilingSystem {
    epoch: EpochId,
    headroom: Headroom,
    store: StoreHealth,
    era: StoreEra,
    /// Sorted by budget.
    ceilings: Vec<BudgetCeiling>,
    /// Settlements that arrived before their reservation or after its end.
    tombstones: Vec<(ReservationId, Millis)>,
}

/// State of one budget at a holder, in tokens, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CeilingStatus {
    pub budget: BudgetId,
    /// Tokens prepaid in all.
    pub prepaid: u64,
    /// Most tokens that this holder may use and reserve.
    pub ceiling: u64,
    /// Tokens spent, in all, or in doubt.
    pub used: u64,
    /// Tokens of the open reservations.
    pub reserved: u64,
    /// Part of `used` that was drawn of reservations that have lapsed, and may have been spent.
    pub in_doubt: u64,
    /// Requests that wait for an answer.
    pub waiting: usize,
}

impl CeilingSystem {
    /// Opens a holder without any grant.
    pub fn open(epoch: EpochId, headroom: Headroom) -> CeilingSystem {
        CeilingSystem {
            epoch,
            headroom,
            store: StoreHealth::default(),
            era: StoreEra::default(),
            ceilings: Vec::new(),
            tombstones: Vec::new(),
        }
    }

    /// Returns the epoch that names this holder's grants.
    pub fn epoch(&self) -> EpochId {
        self.epoch
    }

    /// Requests a reservation, which is answered by an effect, now or later.
    ///
    /// A request whose settlement has already arrived is answered as unavailable.
    pub fn reserve(
        &mut self,
        req: ReservationRequest,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        if let Some(at) = self.tombstones.iter().position(|(id, _)| *id == req.id) {
            self.tombstones.swap_remove(at);
            effects
                .push(CeilingEffect::Answer { id: req.id, reply: ReservationReply::Unavailable });
            return;
        }
        let at = self.open_ceiling(&req.budget, now);
        self.ceilings[at].enqueue(req, now);
        self.advance(at, now, effects);
    }

    /// Draws tokens of a reservation for its requester; returns how many it may use, or `None` if the
    /// reservation is not known. A holder that closes gives all of them.
    pub fn draw(&mut self, draw: &Draw, now: Millis) -> Option<u64> {
        let at = self.find_ceiling(&draw.budget).ok()?;
        self.ceilings[at].draw(draw.id, draw.drawn, &self.era, now)
    }

    /// Ends a reservation: the used tokens are spent, the rest is free again.
    pub fn settle(
        &mut self,
        settlement: &Settlement,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        let Settlement { id, budget, used } = settlement;
        let (id, used) = (*id, *used);
        let at = self.open_ceiling(budget, now);
        if self.ceilings[at].settle(id, used, effects) {
            self.advance(at, now, effects);
        } else {
            self.tombstones.retain(|(_, at)| now.since(*at) < TOMBSTONE_MS);
            self.tombstones.push((id, now));
        }
    }

    /// Records the era that the store states, before the outcome of the call that stated it.
    ///
    /// After a restore nothing is spent before this holder's grants are written again.
    pub fn observe_era(&mut self, era: u64, now: Millis, effects: &mut Vec<CeilingEffect>) {
        let keeps_headroom = self.era.may_spend(now);
        if !self.era.observe(era, now) {
            return;
        }
        log::warn!("event=store_restored era={era} keeps_headroom={keeps_headroom}");
        for at in 0..self.ceilings.len() {
            self.ceilings[at].store_restored(keeps_headroom);
            self.advance(at, now, effects);
        }
    }

    /// Applies what an entry knows of another holder: that it had used and reserved `committed`
    /// tokens, which a restored store may have lost.
    pub fn apply_witness(
        &mut self,
        witness: &GrantWitness,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        if witness.epoch == self.epoch {
            return;
        }
        let at = self.open_ceiling(&witness.budget, now);
        self.ceilings[at].apply_witness(witness.epoch, witness.committed);
        self.advance(at, now, effects);
    }

    /// Returns the tokens of a budget that this holder has used and reserved.
    pub fn committed(&self, budget: &BudgetId) -> u64 {
        self.find_ceiling(budget).map_or(0, |at| self.ceilings[at].committed())
    }

    /// Applies the outcome of a [`CeilingEffect::Read`].
    pub fn read_done(
        &mut self,
        budget: &BudgetId,
        outcome: Outcome<Option<Versioned>>,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        self.record_outcome(&outcome, now);
        let at = self.open_ceiling(budget, now);
        self.ceilings[at].read_done(self.epoch, outcome, now);
        self.advance(at, now, effects);
    }

    /// Applies the outcome of a [`CeilingEffect::Write`].
    pub fn write_done(
        &mut self,
        budget: &BudgetId,
        outcome: Outcome<Revision>,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        self.record_outcome(&outcome, now);
        let at = self.open_ceiling(budget, now);
        self.ceilings[at].write_done(outcome, &self.era, now);
        self.advance(at, now, effects);
    }

    /// Runs the actions that are due; returns when to call it again.
    pub fn tick(&mut self, now: Millis, effects: &mut Vec<CeilingEffect>) -> Option<Millis> {
        let mut next: Option<Millis> = None;
        for at in 0..self.ceilings.len() {
            self.ceilings[at].lapse_reservations(now);
            self.advance(at, now, effects);
            if let Some(due) = self.ceilings[at].next_due(&self.era, now) {
                next = Some(next.map_or(due, |next| next.min(due)));
            }
        }
        next
    }

    /// Returns all headroom to the ledger, for a graceful stop.
    pub fn close(&mut self, now: Millis, effects: &mut Vec<CeilingEffect>) {
        for at in 0..self.ceilings.len() {
            self.ceilings[at].close();
            self.advance(at, now, effects);
        }
    }

    /// Returns whether all headroom has been returned.
    pub fn is_closed(&self) -> bool {
        self.ceilings.iter().all(|ceiling| ceiling.is_closed())
    }

    /// Returns the state of all budgets.
    pub fn budgets(&self) -> Vec<CeilingStatus> {
        self.ceilings.iter().map(BudgetCeiling::status).collect()
    }

    /// Records whether the store answered a call.
    fn record_outcome<T>(&mut self, outcome: &Outcome<T>, now: Millis) {
        match outcome {
            Outcome::NotDone(NotDone::Unavailable) | Outcome::Unknown => {
                self.store.record_failure(now)
            }
            Outcome::Done(_) | Outcome::NotDone(_) => {
                self.store.record_answer();
                self.era.record_answer(now);
            }
        }
    }

    /// Answers the requests that wait at a ceiling and calls the store if it has to change.
    fn advance(&mut self, at: usize, now: Millis, effects: &mut Vec<CeilingEffect>) {
        self.ceilings[at].advance(self.epoch, &mut self.store, &self.era, now, effects);
    }

    /// Returns the index of a budget's ceiling, or the one to insert it at.
    fn find_ceiling(&self, budget: &BudgetId) -> Result<usize, usize> {
        self.ceilings.binary_search_by(|ceiling| ceiling.budget.cmp(budget))
    }

    /// Returns the index of a budget's ceiling, which is added if there is none.
    fn open_ceiling(&mut self, budget: &BudgetId, now: Millis) -> usize {
        match self.find_ceiling(budget) {
            Ok(at) => at,
            Err(at) => {
                self.ceilings.insert(at, BudgetCeiling::new(budget.clone(), self.headroom, now));
                at
            }
        }
    }
}
