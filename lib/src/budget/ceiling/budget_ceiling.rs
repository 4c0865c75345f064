//! Ceiling of one budget at a holder: its reservations, its waiting requests and
//! its calls to the store.
//!
//! [`CeilingSystem`](super::CeilingSystem) passes every event of a budget to its
//! [`BudgetCeiling`], which grants and refuses requests and decides when the
//! budget's account is read and written.

use std::collections::VecDeque;

use super::demand::Demand;
use super::spending::Spending;
use super::store_era::StoreEra;
use super::store_health::StoreHealth;
use super::stored_account::{
    StoredAccount, WitnessedGrant, add_witnessed, others_totals, record_shown,
    reserve_after_restore,
};
use super::{
    CeilingEffect, CeilingStatus, Headroom, ReservationId, ReservationReply, ReservationRequest,
};
use crate::budget::ledger::{Account, Grant, Shard};
use crate::id::{BudgetId, EpochId};
use crate::kv_store::{NotDone, Outcome, Revision, Versioned};
use crate::result_code::FAILURE_LOG;
use crate::time::Millis;

/// Headroom is lowered when it exceeds its desired size by more than this factor.
const SURPLUS_FACTOR: u64 = 2;

/// Headroom is raised in advance when less than this share of its desired size is left.
const RAISE_BELOW_SHARE: f64 = 0.35;

/// Shortest time between two writes that no request waits for, in milliseconds.
const BACKGROUND_WRITE_INTERVAL_MS: u64 = 500;

/// Time without a request after which a holder returns its headroom, in milliseconds.
const RETURN_AFTER_MS: u64 = 1_500;

/// Backoff before the store is called again after a first failure, in milliseconds;
/// it doubles with each further failure.
const MIN_BACKOFF_MS: u64 = 40;

/// Longest backoff before the store is called again, in milliseconds.
const MAX_BACKOFF_MS: u64 = 640;

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
                add_witnessed(&mut account, &self.witnessed);
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
            add_witnessed(&mut stored.account, &self.witnessed);
        }
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

    /// Returns whether the ceiling is closed and all headroom has been returned.
    pub(super) fn is_closed(&self) -> bool {
        self.closing && self.has_returned_headroom()
    }

    /// Returns the budget's state for logs and metrics.
    pub(super) fn status(&self) -> CeilingStatus {
        CeilingStatus {
            budget: self.budget.clone(),
            prepaid: self.prepaid,
            ceiling: self.ceiling,
            used: self.spending.used(),
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

    /// Returns the tokens used and reserved.
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

    /// Grants waiting requests in their order as long as the ceiling covers them.
    fn grant_waiting(&mut self, now: Millis, effects: &mut Vec<CeilingEffect>) {
        while let Some(first) = self.waiting.front() {
            let tokens = first.req.tokens;
            if self.committed() + tokens > self.ceiling {
                return;
            }
            let Some(WaitingRequest { req, .. }) = self.waiting.pop_front() else { return };
            self.spending.reserve(req.id, tokens, now.plus(req.lifetime_ms));
            log::info!(
                "event=reserved reservation={:032x} budget={} tokens={tokens} used={} reserved={} ceiling={}",
                req.id,
                self.budget,
                self.spending.used(),
                self.spending.reserved(),
                self.ceiling
            );
            effects.push(CeilingEffect::Answer { id: req.id, reply: ReservationReply::Granted });
        }
    }

    /// Refuses the waiting requests whose deadline has passed or that do not fit into
    /// the account.
    fn refuse_waiting(
        &mut self,
        epoch: EpochId,
        store: &StoreHealth,
        era: &StoreEra,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        let mut kept = VecDeque::new();
        let mut tokens_ahead = 0;
        while let Some(waiting) = self.waiting.pop_front() {
            let reply = self.refusal(epoch, store, era, &waiting, tokens_ahead, now);
            match reply {
                None => {
                    tokens_ahead += waiting.req.tokens;
                    kept.push_back(waiting);
                }
                Some(reply) => {
                    self.log_refusal(epoch, &waiting.req, reply);
                    effects.push(CeilingEffect::Answer { id: waiting.req.id, reply });
                }
            }
        }
        self.waiting = kept;
    }

    fn log_refusal(&self, epoch: EpochId, req: &ReservationRequest, reply: ReservationReply) {
        let (granted, settled) = match &self.last_read {
            Some(stored) => others_totals(&stored.account, epoch),
            None => (0, 0),
        };
        log::info!(
            target: FAILURE_LOG,
            "event=money_refused reservation={:032x} budget={} reply={reply:?} tokens={} prepaid={} \
             prepaid_version={} used={} reserved={} ceiling={} others_granted={granted} \
             others_settled={settled} account_seen={}",
            req.id,
            self.budget,
            req.tokens,
            self.prepaid,
            self.prepaid_version,
            self.spending.used(),
            self.spending.reserved(),
            self.ceiling,
            self.last_read.is_some()
        );
    }

    /// Returns the refusal of a waiting request; `None` while it may still be granted.
    ///
    /// `tokens_ahead` are the tokens of the requests that wait before it.
    fn refusal(
        &self,
        epoch: EpochId,
        store: &StoreHealth,
        era: &StoreEra,
        waiting: &WaitingRequest,
        tokens_ahead: u64,
        now: Millis,
    ) -> Option<ReservationReply> {
        let tokens = waiting.req.tokens;
        if self.is_exhausted(epoch, tokens) {
            return Some(ReservationReply::Exhausted);
        }
        // With no store call open and none allowed yet, waiting longer would not help.
        let must_pause = store.is_backing_off(now) || store.is_unavailable() && now < self.retry_at;
        let is_stuck = self.pending.is_none() && must_pause;
        if now >= waiting.deadline || is_stuck {
            return Some(ReservationReply::Unavailable);
        }
        let stored = self.last_read.as_ref()?;
        let needed = self.committed() + tokens_ahead + tokens;
        let has_settled = self.pending.is_none() && self.lost_ceiling.is_none();
        if has_settled && needed > self.ceiling && !era.may_raise(stored.era, now) {
            return Some(ReservationReply::Unavailable);
        }
        let exceeds_account = needed > self.max_ceiling(&stored.account, epoch);
        (exceeds_account && self.pending.is_none()).then_some(ReservationReply::Short)
    }

    /// Returns the largest ceiling that the account allows this holder.
    fn max_ceiling(&self, account: &Account, epoch: EpochId) -> u64 {
        self.prepaid.saturating_sub(others_totals(account, epoch).0)
    }

    /// Returns whether the tokens would not fit even if all other holders spent no more.
    fn is_exhausted(&self, epoch: EpochId, tokens: u64) -> bool {
        let Some(stored) = self.last_read.as_ref() else { return false };
        others_totals(&stored.account, epoch).1 + self.committed() + tokens > self.prepaid
    }

    /// Reads the account if it is unknown; otherwise writes the ceiling if it has to change.
    fn call_store(
        &mut self,
        epoch: EpochId,
        store: &StoreHealth,
        era: &StoreEra,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        if self.pending.is_some() || now < self.retry_at || store.is_backing_off(now) {
            return;
        }
        let is_lease_due = era.confirm_at().is_some_and(|at| now >= at);
        let confirms = is_lease_due && self.ceiling > self.committed();
        let Some(stored) = self.last_read.clone().filter(|_| !confirms) else {
            let is_needed = !self.waiting.is_empty() || self.last_write_failed || self.closing;
            let is_lost = self.lost_ceiling.is_some_and(|lost| lost > 0);
            if is_needed || is_lost || self.ceiling > self.committed() {
                self.pending = Some(PendingCall::Read);
                effects.push(CeilingEffect::Read { budget: self.budget.clone() });
            }
            return;
        };
        if let Some(lost) = self.lost_ceiling {
            let granted = lost.max(self.committed());
            return self.write(stored, epoch, granted, era, now, effects);
        }
        let may_raise = era.may_raise(stored.era, now);
        let max_ceiling = self.max_ceiling(&stored.account, epoch);
        let max_ceiling = if may_raise { max_ceiling } else { max_ceiling.min(self.ceiling) };
        if let Some(granted) = self.next_ceiling(&stored.account, max_ceiling, epoch, now) {
            self.write(stored, epoch, granted, era, now, effects);
        }
    }

    /// Returns the ceiling to write now; `None` if the present one suffices.
    fn next_ceiling(
        &self,
        account: &Account,
        max_ceiling: u64,
        epoch: EpochId,
        now: Millis,
    ) -> Option<u64> {
        let committed = self.committed();
        let free = max_ceiling.saturating_sub(committed);
        let is_idle = now.since(self.last_request_at) >= RETURN_AFTER_MS;
        let has_none = is_idle || self.closing || self.headroom_kind == Headroom::None;
        let headroom = if has_none { 0 } else { self.demand.headroom(free, self.prepaid, now) };
        let requested: u64 = self.waiting.iter().map(|waiting| waiting.req.tokens).sum();
        let desired = (committed + requested + headroom).min(max_ceiling).max(committed);
        if !self.waiting.is_empty() {
            let first = self.waiting.front().map_or(0, |waiting| waiting.req.tokens);
            return (committed + first <= max_ceiling).then_some(desired);
        }
        let recently_written = now.since(self.last_write_at) < BACKGROUND_WRITE_INTERVAL_MS;
        if recently_written && !self.closing {
            return None;
        }
        let remaining = self.ceiling.saturating_sub(committed);
        if is_idle || self.closing {
            let own = account.grant(epoch);
            let is_recorded = own
                .is_some_and(|own| own.granted == committed && own.settled == self.spending.used());
            let has_nothing = own.is_none() && committed == 0;
            return (!is_recorded && !has_nothing).then_some(committed);
        }
        if remaining > headroom.max(self.largest_request_tokens) * SURPLUS_FACTOR {
            return Some(desired);
        }
        ((remaining as f64) < headroom as f64 * RAISE_BELOW_SHARE && desired > self.ceiling)
            .then_some(desired)
    }

    /// Writes this holder's grant into the account.
    fn write(
        &mut self,
        stored: StoredAccount,
        epoch: EpochId,
        granted: u64,
        store_era: &StoreEra,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        let StoredAccount { revision, mut account, mut era } = stored;
        if era < store_era.number() && store_era.may_raise(era, now) {
            era = store_era.number();
            reserve_after_restore(&mut account, self.prepaid, era);
        }
        let total: u64 = account.grants.iter().map(|grant| grant.granted).sum();
        let lost = self.lost_ceiling.map_or(0, |_| {
            granted.saturating_sub(account.grant(epoch).map_or(0, |grant| grant.granted))
        });
        // A lowered budget may be smaller than what was granted, and so may one whose grants are
        // written again after a restore. The account then counts what was granted as prepaid, and
        // nothing is free.
        account.prepaid = self.prepaid.max(account.settled + total + lost);
        let grant = Grant { epoch, granted, settled: self.spending.used() };
        if !account.set_grant(grant) {
            log::warn!("event=ceiling_refused budget={} granted={granted}", self.budget);
            return;
        }
        // A lower ceiling applies at once, whether or not the write succeeds.
        self.ceiling = self.ceiling.min(granted);
        let shard = Shard { accounts: vec![account.clone()], era };
        let value = shard.encode();
        log::info!(
            "event=ceiling_asked budget={} revision={revision} granted={granted} used={} reserved={} \
             waiting={} prepaid={}",
            self.budget,
            self.spending.used(),
            self.spending.reserved(),
            self.waiting.len(),
            self.prepaid
        );
        self.pending = Some(PendingCall::Write { granted, account, era });
        effects.push(CeilingEffect::Write {
            budget: self.budget.clone(),
            expected: revision,
            value,
        });
    }

    /// Adopts an account that was read; it may lower the ceiling.
    fn apply_read(&mut self, epoch: EpochId, found: Option<Versioned>, now: Millis) {
        let (revision, mut account, era) = match found {
            None => (Revision::ABSENT, Shard::default().open_account(&self.budget).clone(), 0),
            Some(found) => {
                let shard = Shard::decode(&found.value);
                let account = shard.as_ref().and_then(|shard| shard.account(&self.budget));
                let Some(account) = account else {
                    log::error!("event=account_malformed budget={}", self.budget);
                    self.record_store_failure(now);
                    return;
                };
                (found.revision, account.clone(), shard.as_ref().map_or(0, |shard| shard.era))
            }
        };
        record_shown(&account, &mut self.witnessed);
        add_witnessed(&mut account, &self.witnessed);
        // A write of unknown outcome that lowered the ceiling may still take effect, so
        // only a confirmed write raises the ceiling, never a read.
        let recorded = account.grant(epoch).map_or(0, |grant| grant.granted);
        self.ceiling = self.ceiling.min(recorded);
        self.last_read = Some(StoredAccount { revision, account, era });
        self.consecutive_failures = 0;
    }

    /// Sets the time of the next store call after a failed one.
    fn record_store_failure(&mut self, now: Millis) {
        let backoff = (MIN_BACKOFF_MS << self.consecutive_failures.min(8)).min(MAX_BACKOFF_MS);
        self.consecutive_failures += 1;
        self.retry_at = now.plus(backoff);
    }

    /// Counts reservations as spent whose settlement did not arrive in time.
    pub(super) fn expire_reservations(&mut self, now: Millis) {
        let expired = self.spending.expire(now);
        if expired > 0 {
            log::warn!("event=reservation_expired budget={} tokens={expired}", self.budget);
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
        let returns = has_headroom.then(|| {
            self.last_request_at
                .plus(RETURN_AFTER_MS)
                .max(self.last_write_at.plus(BACKGROUND_WRITE_INTERVAL_MS))
        });
        let expires_at = self.spending.next_expiry();
        let due = [first, returns, expires_at, confirm_at].into_iter().flatten().min()?;
        Some(if due > now { due } else { now.plus(OVERDUE_DELAY_MS) })
    }
}
