//! One budget at a holder: its ceiling, its reservations and who waits.

use std::collections::VecDeque;

use super::store_health::StoreHealth;
use super::{
    CeilingEffect, CeilingStatus, Headroom, ReservationId, ReservationReply, ReservationRequest,
};
use crate::budget::ledger::{Account, Grant, Shard};
use crate::id::{BudgetId, EpochId};
use crate::kv_store::{NotDone, Outcome, Revision, Versioned};
use crate::result_code::FAILURE_LOG;
use crate::time::Millis;

/// Time of usual spending that the headroom covers at most, in milliseconds.
///
/// The store may be out of reach for some seconds, and a store call for each
/// request would cost more than the headroom that a death leaves behind.
const HEADROOM_MS: f64 = 8_000.0;

/// Share of the free money that one holder takes as headroom while much is left.
const HEADROOM_SHARE: f64 = 0.16;

/// Share of the free money that it takes when little is left: money that a death
/// leaves behind then is refused to callers before the day is over.
const SCARCE_SHARE: f64 = 0.015;

/// Shares of the prepaid tokens between which the headroom shrinks.
const PLENTY: f64 = 0.6;
const SCARCE: f64 = 0.3;

/// Headroom is lowered at once when it exceeds its goal by this factor.
const SURPLUS_FACTOR: u64 = 2;

/// Headroom is raised in advance when less than this share of it is left.
const LOW_SHARE: f64 = 0.35;

/// Least time between two writes that no request waits for, in milliseconds.
const IDLE_WRITE_MS: u64 = 500;

/// Time without a request after which a holder hands its headroom back.
const RETURN_AFTER_MS: u64 = 1_500;

/// Window of the smoothed spending rate, in milliseconds.
const RATE_WINDOW_MS: f64 = 4_000.0;

/// Shortest time that the first requests of a budget are spread over, in
/// milliseconds. The first one alone then stands for a rate that fills the whole
/// headroom of most budgets, and never for more than eighty requests like it.
const MIN_RATE_MS: u64 = 100;

/// Pause before the store is asked again after a failure, in milliseconds.
const RETRY_MS: u64 = 40;
const MAX_RETRY_MS: u64 = 640;

/// Time after its deadline for which a reservation waits for its settlement.
const SETTLE_GRACE_MS: u64 = 5_000;

struct Reservation {
    id: ReservationId,
    tokens: u64,
    expires: Millis,
}

struct Waiting {
    ask: ReservationRequest,
    until: Millis,
}

/// Call to the store that has not been answered.
enum Pending {
    Read,
    Write { granted: u64, account: Account },
}

/// Holder's view of one budget.
pub(super) struct BudgetCeiling {
    pub(super) budget: BudgetId,
    headroom_kind: Headroom,
    prepaid: u64,
    prepaid_version: u64,
    /// Account as it was last seen; `None` before the first read.
    seen: Option<(Revision, Account)>,
    /// Most that may be used and reserved: confirmed, and not lowered since.
    ceiling: u64,
    used: u64,
    reserved: u64,
    /// Part of `used` that no settlement has confirmed.
    in_doubt: u64,
    reservations: Vec<Reservation>,
    waiting: VecDeque<Waiting>,
    pending: Option<Pending>,
    /// Largest request so far; below it a surplus is not worth a write.
    largest_ask: u64,
    /// Tokens a millisecond, smoothed from zero on.
    rate: f64,
    rate_at: Millis,
    /// First request since the rate was zero.
    rate_since: Option<Millis>,
    asked_at: Millis,
    written_at: Millis,
    retry_at: Millis,
    failures: u32,
    /// Whether a write failed, so that the ledger may hold more than is needed.
    is_unrecorded: bool,
    closing: bool,
}

/// Tokens that other epochs hold, and those that they are known to have spent.
fn others_totals(account: &Account, epoch: EpochId) -> (u64, u64) {
    let others = account.grants.iter().filter(|grant| grant.epoch != epoch);
    others.fold((account.settled, account.settled), |(granted, settled), grant| {
        (granted + grant.granted, settled + grant.settled)
    })
}

impl BudgetCeiling {
    pub(super) fn new(budget: BudgetId, headroom_kind: Headroom, now: Millis) -> BudgetCeiling {
        BudgetCeiling {
            budget,
            headroom_kind,
            prepaid: 0,
            prepaid_version: 0,
            seen: None,
            ceiling: 0,
            used: 0,
            reserved: 0,
            in_doubt: 0,
            reservations: Vec::new(),
            waiting: VecDeque::new(),
            pending: None,
            largest_ask: 0,
            rate: 0.0,
            rate_at: now,
            rate_since: None,
            asked_at: now,
            written_at: Millis(0),
            retry_at: Millis(0),
            failures: 0,
            is_unrecorded: false,
            closing: false,
        }
    }

    /// Takes a request in; [`BudgetCeiling::advance`] answers it.
    pub(super) fn enqueue(&mut self, ask: ReservationRequest, now: Millis) {
        self.learn_prepaid(ask.prepaid, ask.prepaid_version);
        self.note_demand(ask.tokens, now);
        let until = now.plus(ask.max_wait_ms);
        self.waiting.push_back(Waiting { ask, until });
    }

    /// Ends a reservation; answers whether it was known.
    pub(super) fn settle(
        &mut self,
        id: ReservationId,
        used: u64,
        effects: &mut Vec<CeilingEffect>,
    ) -> bool {
        if let Some(at) = self.waiting.iter().position(|waiting| waiting.ask.id == id) {
            self.waiting.remove(at);
            effects.push(CeilingEffect::Answer { id, reply: ReservationReply::Unavailable });
        }
        let at = self.reservations.iter().position(|reservation| reservation.id == id);
        let Some(at) = at else { return false };
        let Reservation { tokens, .. } = self.reservations.swap_remove(at);
        self.reserved -= tokens;
        self.used += used.min(tokens);
        log::info!(
            "event=settled reservation={id:032x} budget={} reserved={tokens} used={used}",
            self.budget
        );
        true
    }

    /// Takes the answer to a read of the account.
    pub(super) fn read_done(
        &mut self,
        epoch: EpochId,
        outcome: Outcome<Option<Versioned>>,
        now: Millis,
    ) {
        self.pending = None;
        match outcome {
            Outcome::Done(found) => self.take_read(epoch, found, now),
            Outcome::NotDone(_) | Outcome::Unknown => self.store_failed(now),
        }
    }

    /// Takes the answer to a write of the account.
    pub(super) fn write_done(&mut self, outcome: Outcome<Revision>, now: Millis) {
        let Some(Pending::Write { granted, account }) = self.pending.take() else { return };
        self.is_unrecorded = !matches!(outcome, Outcome::Done(_));
        match outcome {
            Outcome::Done(revision) => {
                self.ceiling = granted;
                self.seen = Some((revision, account));
                self.failures = 0;
                self.written_at = now;
            }
            Outcome::NotDone(NotDone::Conflict { .. }) => {
                // Nothing can be written until a read shows who was faster.
                self.seen = None;
                self.failures = 0;
            }
            Outcome::NotDone(_) => self.store_failed(now),
            Outcome::Unknown => {
                // The write may land later; a read shows where the account stands,
                // and the next write at that revision overrules it.
                self.seen = None;
                self.store_failed(now);
            }
        }
    }

    /// Hands headroom back from now on.
    pub(super) fn close(&mut self) {
        self.closing = true;
    }

    /// Whether it was closed and nothing is left to hand back.
    pub(super) fn is_closed(&self) -> bool {
        self.closing && self.is_settled()
    }

    pub(super) fn summary(&self) -> CeilingStatus {
        CeilingStatus {
            budget: self.budget.clone(),
            prepaid: self.prepaid,
            ceiling: self.ceiling,
            used: self.used,
            reserved: self.reserved,
            in_doubt: self.in_doubt,
            waiting: self.waiting.len(),
        }
    }

    fn learn_prepaid(&mut self, prepaid: u64, version: u64) {
        if version >= self.prepaid_version {
            self.prepaid = prepaid;
            self.prepaid_version = version;
        }
    }

    fn note_demand(&mut self, tokens: u64, now: Millis) {
        let elapsed = now.since(self.rate_at) as f64;
        let keep = (-elapsed / RATE_WINDOW_MS).exp();
        self.rate = self.rate * keep + tokens as f64 / RATE_WINDOW_MS;
        self.rate_at = now;
        self.rate_since.get_or_insert(now);
        self.asked_at = now;
        self.largest_ask = self.largest_ask.max(tokens);
    }

    /// Rate of asking in tokens a millisecond.
    ///
    /// A smoothed figure that begins at zero lags behind for its whole window, so
    /// that it is divided by the share of the window that has been seen.
    fn current_rate(&self, now: Millis) -> f64 {
        let smoothed = self.rate * (-(now.since(self.rate_at) as f64) / RATE_WINDOW_MS).exp();
        let seen = self.rate_since.map_or(0, |since| now.since(since)).max(MIN_RATE_MS);
        smoothed / (1.0 - (-(seen as f64) / RATE_WINDOW_MS).exp())
    }

    fn committed(&self) -> u64 {
        self.used + self.reserved
    }

    /// Serves who waits, then asks the store for what is missing.
    pub(super) fn advance(
        &mut self,
        epoch: EpochId,
        store: &mut StoreHealth,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        self.serve(now, effects);
        self.refuse_hopeless(epoch, store, now, effects);
        let calls = effects.len();
        self.ask_store(epoch, store, now, effects);
        if effects.len() > calls {
            store.called(now);
        }
    }

    fn serve(&mut self, now: Millis, effects: &mut Vec<CeilingEffect>) {
        while let Some(first) = self.waiting.front() {
            let tokens = first.ask.tokens;
            if self.committed() + tokens > self.ceiling {
                return;
            }
            let Some(Waiting { ask, .. }) = self.waiting.pop_front() else { return };
            self.reserved += tokens;
            let expires = now.plus(ask.lifetime_ms + SETTLE_GRACE_MS);
            self.reservations.push(Reservation { id: ask.id, tokens, expires });
            log::info!(
                "event=reserved reservation={:032x} budget={} tokens={tokens} used={} reserved={} ceiling={}",
                ask.id,
                self.budget,
                self.used,
                self.reserved,
                self.ceiling
            );
            effects.push(CeilingEffect::Answer { id: ask.id, reply: ReservationReply::Granted });
        }
    }

    /// Refuses what waited too long, and what the account shows not to fit.
    fn refuse_hopeless(
        &mut self,
        epoch: EpochId,
        store: &StoreHealth,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        let mut kept = VecDeque::new();
        let mut promised = 0;
        while let Some(waiting) = self.waiting.pop_front() {
            let reply = self.verdict(epoch, store, &waiting, promised, now);
            match reply {
                None => {
                    promised += waiting.ask.tokens;
                    kept.push_back(waiting);
                }
                Some(reply) => {
                    self.log_refusal(epoch, &waiting.ask, reply);
                    effects.push(CeilingEffect::Answer { id: waiting.ask.id, reply });
                }
            }
        }
        self.waiting = kept;
    }

    fn log_refusal(&self, epoch: EpochId, ask: &ReservationRequest, reply: ReservationReply) {
        let (granted, settled) = match &self.seen {
            Some((_, account)) => others_totals(account, epoch),
            None => (0, 0),
        };
        log::info!(
            target: FAILURE_LOG,
            "event=money_refused reservation={:032x} budget={} reply={reply:?} tokens={} prepaid={} \
             prepaid_version={} used={} reserved={} ceiling={} others_granted={granted} \
             others_settled={settled} account_seen={}",
            ask.id,
            self.budget,
            ask.tokens,
            self.prepaid,
            self.prepaid_version,
            self.used,
            self.reserved,
            self.ceiling,
            self.seen.is_some()
        );
    }

    /// Refusal of a waiting request; `None` while it may still be granted.
    fn verdict(
        &self,
        epoch: EpochId,
        store: &StoreHealth,
        waiting: &Waiting,
        ahead: u64,
        now: Millis,
    ) -> Option<ReservationReply> {
        let tokens = waiting.ask.tokens;
        if self.certainly_exhausted(epoch, tokens) {
            return Some(ReservationReply::Exhausted);
        }
        // Nothing is on its way that could help, and nothing will be asked soon.
        let is_resting = store.is_resting(now) || store.is_away() && now < self.retry_at;
        let is_vain = self.pending.is_none() && is_resting;
        if now >= waiting.until || is_vain {
            return Some(ReservationReply::Unavailable);
        }
        let (_, account) = self.seen.as_ref()?;
        let available = self.reachable(account, epoch);
        let is_missing = self.committed() + ahead + tokens > available;
        (is_missing && self.pending.is_none()).then_some(ReservationReply::Short)
    }

    /// Largest ceiling that the account allows this holder.
    fn reachable(&self, account: &Account, epoch: EpochId) -> u64 {
        self.prepaid.saturating_sub(others_totals(account, epoch).0)
    }

    /// Whether the tokens do not fit even if all other holders spend no more.
    fn certainly_exhausted(&self, epoch: EpochId, tokens: u64) -> bool {
        let Some((_, account)) = self.seen.as_ref() else { return false };
        others_totals(account, epoch).1 + self.committed() + tokens > self.prepaid
    }

    fn ask_store(
        &mut self,
        epoch: EpochId,
        store: &StoreHealth,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        if self.pending.is_some() || now < self.retry_at || store.is_resting(now) {
            return;
        }
        let Some((revision, account)) = self.seen.clone() else {
            let is_needed = !self.waiting.is_empty() || self.is_unrecorded || self.closing;
            if is_needed || self.ceiling > self.committed() {
                self.pending = Some(Pending::Read);
                effects.push(CeilingEffect::Read { budget: self.budget.clone() });
            }
            return;
        };
        let Some(granted) = self.next_ceiling(&account, epoch, now) else { return };
        self.write(revision, account, epoch, granted, effects);
    }

    /// Ceiling worth a write now; `None` if the present one will do.
    fn next_ceiling(&self, account: &Account, epoch: EpochId, now: Millis) -> Option<u64> {
        let reachable = self.reachable(account, epoch);
        let committed = self.committed();
        let free = reachable.saturating_sub(committed);
        let is_idle = now.since(self.asked_at) >= RETURN_AFTER_MS;
        let headroom = if is_idle || self.closing { 0 } else { self.headroom(free, now) };
        let asked: u64 = self.waiting.iter().map(|waiting| waiting.ask.tokens).sum();
        let wanted = (committed + asked + headroom).min(reachable).max(committed);
        if !self.waiting.is_empty() {
            let first = self.waiting.front().map_or(0, |waiting| waiting.ask.tokens);
            return (committed + first <= reachable).then_some(wanted);
        }
        let recently_written = now.since(self.written_at) < IDLE_WRITE_MS;
        if recently_written && !self.closing {
            return None;
        }
        let left = self.ceiling.saturating_sub(committed);
        if is_idle || self.closing {
            let own = account.grant(epoch);
            let is_recorded =
                own.is_some_and(|own| own.granted == committed && own.settled == self.used);
            let has_nothing = own.is_none() && committed == 0;
            return (!is_recorded && !has_nothing).then_some(committed);
        }
        if left > headroom.max(self.largest_ask) * SURPLUS_FACTOR {
            return Some(wanted);
        }
        ((left as f64) < headroom as f64 * LOW_SHARE && wanted > self.ceiling).then_some(wanted)
    }

    fn headroom(&self, free: u64, now: Millis) -> u64 {
        if self.headroom_kind == Headroom::None {
            return 0;
        }
        let by_rate = self.current_rate(now) * HEADROOM_MS;
        let left = free as f64 / self.prepaid.max(1) as f64;
        let plenty = ((left - SCARCE) / (PLENTY - SCARCE)).clamp(0.0, 1.0);
        let share = SCARCE_SHARE + (HEADROOM_SHARE - SCARCE_SHARE) * plenty;
        let by_share = free as f64 * share;
        by_rate.min(by_share) as u64
    }

    fn write(
        &mut self,
        revision: Revision,
        mut account: Account,
        epoch: EpochId,
        granted: u64,
        effects: &mut Vec<CeilingEffect>,
    ) {
        let total: u64 = account.grants.iter().map(|grant| grant.granted).sum();
        // A lowered budget may lie below what was granted; the account then only
        // holds what was granted, and nothing is free.
        account.prepaid = self.prepaid.max(account.settled + total);
        let grant = Grant { epoch, granted, settled: self.used };
        if !account.set_grant(grant) {
            log::warn!("event=ceiling_refused budget={} granted={granted}", self.budget);
            return;
        }
        // A lower ceiling binds before the store knows of it.
        self.ceiling = self.ceiling.min(granted);
        let mut shard = Shard::default();
        shard.accounts.push(account.clone());
        let value = shard.encode();
        log::info!(
            "event=ceiling_asked budget={} revision={revision} granted={granted} used={} reserved={} \
             waiting={} prepaid={}",
            self.budget,
            self.used,
            self.reserved,
            self.waiting.len(),
            self.prepaid
        );
        self.pending = Some(Pending::Write { granted, account });
        effects.push(CeilingEffect::Write {
            budget: self.budget.clone(),
            expected: revision,
            value,
        });
    }

    fn take_read(&mut self, epoch: EpochId, found: Option<Versioned>, now: Millis) {
        let (revision, account) = match found {
            None => (Revision::ABSENT, Shard::default().open_account(&self.budget).clone()),
            Some(found) => {
                let shard = Shard::decode(&found.value);
                let account = shard.as_ref().and_then(|shard| shard.account(&self.budget));
                let Some(account) = account else {
                    log::error!("event=account_malformed budget={}", self.budget);
                    self.store_failed(now);
                    return;
                };
                (found.revision, account.clone())
            }
        };
        // An unanswered write that lowered the ceiling may still land, so that a
        // read never raises it; the next confirmed write does.
        let recorded = account.grant(epoch).map_or(0, |grant| grant.granted);
        self.ceiling = self.ceiling.min(recorded);
        self.seen = Some((revision, account));
        self.failures = 0;
    }

    fn store_failed(&mut self, now: Millis) {
        let pause = (RETRY_MS << self.failures.min(8)).min(MAX_RETRY_MS);
        self.failures += 1;
        self.retry_at = now.plus(pause);
    }

    /// Counts reservations as spent whose settlement never came.
    pub(super) fn expire_reservations(&mut self, now: Millis) {
        let mut expired = 0;
        self.reservations.retain(|reservation| {
            if now < reservation.expires {
                return true;
            }
            expired += reservation.tokens;
            false
        });
        if expired > 0 {
            log::warn!("event=reservation_expired budget={} tokens={expired}", self.budget);
        }
        self.reserved -= expired;
        self.used += expired;
        self.in_doubt += expired;
    }

    fn is_settled(&self) -> bool {
        let is_quiet = self.pending.is_none() && self.waiting.is_empty();
        is_quiet && !self.is_unrecorded && self.ceiling <= self.committed()
    }

    /// When this budget needs attention next.
    pub(super) fn due(&self, now: Millis) -> Option<Millis> {
        const LATER_MS: u64 = 100;
        if self.pending.is_none() && now < self.retry_at {
            return Some(self.retry_at);
        }
        let first = self.waiting.iter().map(|waiting| waiting.until).min();
        let has_headroom = self.is_unrecorded || self.ceiling > self.committed();
        let returns = has_headroom
            .then(|| self.asked_at.plus(RETURN_AFTER_MS).max(self.written_at.plus(IDLE_WRITE_MS)));
        let expires = self.reservations.iter().map(|reservation| reservation.expires).min();
        let due = [first, returns, expires].into_iter().flatten().min()?;
        Some(if due > now { due } else { now.plus(LATER_MS) })
    }
}
