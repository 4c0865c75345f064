//! Ceiling of one budget at a holder: its reservations, its waiting requests and
//! its calls to the store.
//!
//! [`CeilingSystem`](super::CeilingSystem) passes every event of a budget to its
//! [`BudgetCeiling`], which grants and refuses requests and decides when the
//! budget's account is read and written. [`replies`] and [`store_calls`] have these two decisions.

mod replies;
mod store_calls;

use std::collections::VecDeque;

use super::demand::Demand;
use super::spending::Spending;
use super::store_era::StoreEra;
use super::store_health::StoreHealth;
use super::stored_account::{StoredAccount, WitnessedGrant, add_witnessed, record_shown};
use super::{
    CeilingEffect, CeilingStatus, Headroom, ReservationId, ReservationReply, ReservationRequest,
};
use crate::budget::ledger::Account;
use crate::id::{BudgetId, EpochId};
use crate::kv_store::{NotDone, Outcome, Revision, Versioned};
use crate::time::Millis;

/// Shortest time between two writes that no request waits for, in milliseconds.
const BACKGROUND_WRITE_INTERVAL_MS: u64 = 500;

/// Time without a request after which a holder returns its headroom, in milliseconds.
const RETURN_AFTER_MS: u64 = 1_500;

/// Request that is neither granted nor refused yet.
struct WaitingRequest {
    req: ReservationRequest,
    deadline: Millis,
}

/// Call to the store that has not been answered.
enum PendingCall {
    Read,
    Write {
        granted: u64,
        account: Account,
        era: u64,
    },
    /// Call of an earlier era, whose outcome says nothing about the restored store.
    Outdated,
}

/// One budget at a holder.
pub(super) struct BudgetCeiling {
    pub(super) budget: BudgetId,
    headroom_kind: Headroom,
    /// Tokens prepaid in all, by the newest configuration that a request named.
    prepaid: u64,
    prepaid_version: u64,
    /// Account as last read or written; `None` while it has to be read.
    last_read: Option<StoredAccount>,
    /// Ceiling that has to be written again since the store was restored, before anything beyond
    /// the committed tokens is spent.
    lost_ceiling: Option<u64>,
    /// Tokens of other holders that a restored store may have lost, or has shown; sorted by epoch.
    witnessed: Vec<WitnessedGrant>,
    /// Most tokens that may be used and reserved: the last granted figure that the
    /// store confirmed, or less if it was lowered since.
    ceiling: u64,
    spending: Spending,
    waiting: VecDeque<WaitingRequest>,
    pending: Option<PendingCall>,
    /// Tokens of the largest request so far; while requests arrive, the ceiling is lowered
    /// only when more than [`SURPLUS_FACTOR`] times as many are unused.
    largest_request_tokens: u64,
    demand: Demand,
    last_request_at: Millis,
    last_write_at: Millis,
    /// Time before which the store is not called again.
    retry_at: Millis,
    /// Failed calls in a row.
    consecutive_failures: u32,
    /// Whether the last write failed or its outcome is unknown, so that the ledger may
    /// grant more than is needed.
    last_write_failed: bool,
    closing: bool,
}

impl BudgetCeiling {
    /// Creates a ceiling of zero tokens.
    pub(super) fn new(budget: BudgetId, headroom_kind: Headroom, now: Millis) -> BudgetCeiling {
        BudgetCeiling {
            budget,
            headroom_kind,
            prepaid: 0,
            prepaid_version: 0,
            last_read: None,
            lost_ceiling: None,
            witnessed: Vec::new(),
            ceiling: 0,
            spending: Spending::default(),
            waiting: VecDeque::new(),
            pending: None,
            largest_request_tokens: 0,
            demand: Demand::new(now),
            last_request_at: now,
            last_write_at: Millis(0),
            retry_at: Millis(0),
            consecutive_failures: 0,
            last_write_failed: false,
            closing: false,
        }
    }

    /// Queues a request, which [`BudgetCeiling::advance`] answers.
    pub(super) fn enqueue(&mut self, req: ReservationRequest, now: Millis) {
        self.update_prepaid(req.prepaid, req.prepaid_version);
        self.demand.record(req.tokens, now);
        self.last_request_at = now;
        self.largest_request_tokens = self.largest_request_tokens.max(req.tokens);
        let deadline = now.plus(req.max_wait_ms);
        self.waiting.push_back(WaitingRequest { req, deadline });
    }

    /// Draws tokens of a reservation; returns how many of them its requester may use, or `None` if the
    /// reservation is not known.
    pub(super) fn draw(
        &mut self,
        id: ReservationId,
        drawn: u64,
        era: &StoreEra,
        now: Millis,
    ) -> Option<u64> {
        let free = match era.may_spend(now) {
            true => self.ceiling.saturating_sub(self.committed()),
            false => 0,
        };
        // What is open when this holder ends counts as spent, and nobody can draw it any more.
        let drawn = if self.closing { u64::MAX } else { drawn };
        self.spending.draw(id, drawn, free, now)
    }

    /// Ends a reservation or drops its queued request; returns whether it was granted.
    pub(super) fn settle(
        &mut self,
        id: ReservationId,
        used: u64,
        effects: &mut Vec<CeilingEffect>,
    ) -> bool {
        if let Some(at) = self.waiting.iter().position(|waiting| waiting.req.id == id) {
            self.waiting.remove(at);
            effects.push(CeilingEffect::Answer { id, reply: ReservationReply::Unavailable });
        }
        let Some(tokens) = self.spending.settle(id, used) else { return false };
        log::info!(
            "event=settled reservation={id:032x} budget={} reserved={tokens} used={used}",
            self.budget
        );
        true
    }

    /// Applies the outcome of a read of the account.
    pub(super) fn read_done(
        &mut self,
        epoch: EpochId,
        outcome: Outcome<Option<Versioned>>,
        now: Millis,
    ) {
        let is_outdated = matches!(self.pending.take(), Some(PendingCall::Outdated));
        match outcome {
            _ if is_outdated => {}
            Outcome::Done(found) => self.apply_read(epoch, found, now),
            Outcome::NotDone(_) | Outcome::Unknown => self.record_store_failure(now),
        }
    }

    /// Applies the outcome of a write of the account.
    pub(super) fn write_done(
        &mut self,
        outcome: Outcome<Revision>,
        store_era: &StoreEra,
        now: Millis,
    ) {
        let pending = self.pending.take();
        let Some(PendingCall::Write { granted, mut account, era }) = pending else { return };
        self.last_write_failed = !matches!(outcome, Outcome::Done(_));
        match outcome {
            Outcome::Done(revision) => {
                self.ceiling = granted;
                self.lost_ceiling = None;
                record_shown(&account, &mut self.witnessed);
                if era >= store_era.number() {
                    self.forget_recorded_reports();
                }
                add_witnessed(&mut account, &mut self.witnessed);
                self.last_read = Some(StoredAccount { revision, account, era });
                self.consecutive_failures = 0;
                self.last_write_at = now;
            }
            Outcome::NotDone(NotDone::Conflict { .. }) => {
                // Another holder wrote the account; the next write needs its revision.
                self.last_read = None;
                self.consecutive_failures = 0;
            }
            Outcome::NotDone(_) => self.record_store_failure(now),
            Outcome::Unknown => {
                // The write may still take effect. A read shows the account's present
                // revision, and a write at that revision makes the lost one fail.
                self.last_read = None;
                self.record_store_failure(now);
            }
        }
    }

    /// Records that the store was restored: the account and the outcome of an open call are
    /// unknown, and the grant has to be written again.
    ///
    /// A holder that had stopped spending keeps no headroom, which others may have taken since.
    pub(super) fn store_restored(&mut self, keeps_headroom: bool) {
        let committed = self.committed();
        let lost = self.lost_ceiling.unwrap_or(self.ceiling).max(committed);
        self.lost_ceiling = Some(if keeps_headroom { lost } else { committed });
        self.ceiling = committed;
        self.last_read = None;
        // What the store had shown may be lost again.
        self.witnessed.retain(|grant| grant.reported > 0);
        self.witnessed.iter_mut().for_each(|grant| grant.shown = 0);
        self.consecutive_failures = 0;
        self.retry_at = Millis(0);
        if self.pending.is_some() {
            self.pending = Some(PendingCall::Outdated);
        }
    }

    /// Records tokens that another holder had committed.
    pub(super) fn apply_witness(&mut self, epoch: EpochId, committed: u64) {
        match self.witnessed.binary_search_by_key(&epoch, |known| known.epoch) {
            Ok(at) => self.witnessed[at].reported = self.witnessed[at].reported.max(committed),
            Err(at) => {
                let reported = WitnessedGrant { epoch, reported: committed, shown: 0 };
                self.witnessed.insert(at, reported);
            }
        }
        if let Some(stored) = &mut self.last_read {
            add_witnessed(&mut stored.account, &mut self.witnessed);
        }
    }

    /// Returns whether the store has to learn of reported grants, since this holder may end before it grants
    /// anything. A holder without headroom leaves that to the ones that its budget's requests go to.
    fn has_unwritten_reports(&self) -> bool {
        let is_unwritten = |grant: &WitnessedGrant| grant.reported > grant.shown;
        self.headroom_kind == Headroom::ByRate && self.witnessed.iter().any(is_unwritten)
    }

    /// Forgets the reports of grants that the store has shown.
    fn forget_recorded_reports(&mut self) {
        for grant in self.witnessed.iter_mut().filter(|grant| grant.reported <= grant.shown) {
            grant.reported = 0;
        }
    }

    /// Stops keeping headroom; later writes return it to the ledger.
    pub(super) fn close(&mut self) {
        self.closing = true;
    }

    /// Returns whether the ceiling is closed, all headroom has been returned, and the store knows what was
    /// reported.
    pub(super) fn is_closed(&self) -> bool {
        self.closing && self.has_returned_headroom() && !self.has_unwritten_reports()
    }

    /// Returns the budget's state for logs and metrics.
    pub(super) fn status(&self) -> CeilingStatus {
        CeilingStatus {
            budget: self.budget.clone(),
            prepaid: self.prepaid,
            ceiling: self.ceiling,
            used: self.spending.used() + self.spending.in_doubt(),
            reserved: self.spending.reserved(),
            in_doubt: self.spending.in_doubt(),
            waiting: self.waiting.len(),
        }
    }

    /// Adopts the prepaid tokens unless a newer configuration has named others.
    fn update_prepaid(&mut self, prepaid: u64, version: u64) {
        if version >= self.prepaid_version {
            self.prepaid = prepaid;
            self.prepaid_version = version;
        }
    }

    /// Returns the tokens used, reserved and in doubt.
    pub(super) fn committed(&self) -> u64 {
        self.spending.committed()
    }

    /// Answers waiting requests, then calls the store if the ceiling has to change.
    pub(super) fn advance(
        &mut self,
        epoch: EpochId,
        store: &mut StoreHealth,
        era: &StoreEra,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        if era.may_spend(now) {
            self.grant_waiting(now, effects);
        }
        self.refuse_waiting(epoch, store, era, now, effects);
        let calls = effects.len();
        self.call_store(epoch, store, era, now, effects);
        if effects.len() > calls {
            store.record_call(now);
        }
    }

    /// Lapses the reservations whose requesters have sent no word, or whose settlement did not arrive
    /// in time.
    pub(super) fn lapse_reservations(&mut self, now: Millis) {
        let reserved = self.spending.reserved();
        let in_doubt = self.spending.lapse(now);
        let lapsed = reserved - self.spending.reserved();
        if lapsed > 0 {
            log::warn!(
                "event=reservations_lapsed budget={} tokens={lapsed} in_doubt={in_doubt}",
                self.budget
            );
        }
    }

    /// Returns whether nothing is pending and the store has confirmed a ceiling without
    /// headroom.
    fn has_returned_headroom(&self) -> bool {
        let has_no_calls = self.pending.is_none() && self.waiting.is_empty();
        has_no_calls && !self.last_write_failed && self.ceiling <= self.committed()
    }

    /// Returns the time at which [`BudgetCeiling::advance`] has to be called again.
    pub(super) fn next_due(&self, era: &StoreEra, now: Millis) -> Option<Millis> {
        // Delay of the next call when an action is overdue but not possible yet.
        const OVERDUE_DELAY_MS: u64 = 100;
        if self.pending.is_none() && now < self.retry_at {
            return Some(self.retry_at);
        }
        let first = self.waiting.iter().map(|waiting| waiting.deadline).min();
        let has_headroom = self.last_write_failed
            || self.lost_ceiling.is_some()
            || self.ceiling > self.committed();
        let confirm_at = era.confirm_at().filter(|_| self.ceiling > self.committed());
        let return_after_ms = if self.closing { 0 } else { RETURN_AFTER_MS };
        let returns = has_headroom.then(|| {
            self.last_request_at
                .plus(return_after_ms)
                .max(self.last_write_at.plus(BACKGROUND_WRITE_INTERVAL_MS))
        });
        let lapses_at = self.spending.next_lapse();
        let reports_at = self.has_unwritten_reports().then_some(now);
        let due =
            [first, returns, lapses_at, confirm_at, reports_at].into_iter().flatten().min()?;
        Some(if due > now { due } else { now.plus(OVERDUE_DELAY_MS) })
    }
}
