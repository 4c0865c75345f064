//! Writes to the ledger: one at a time for each shard, with everything that is due.
//!
//! A write with unknown outcome may take effect as long as the shard stands at
//! the revision that it expected. Until then the lower of its total and the
//! recorded one limits what may be spent.

use super::*;
use crate::budget::budget_state::OwnGrant;
use crate::budget::ledger::{Account, Grant, Shard};
use crate::kv_store::{NotDone, Outcome, Revision, Versioned};

/// Time between two writes that only report spending, in milliseconds.
const SETTLE_INTERVAL_MS: u64 = 5_000;

/// Time between two looks for money that the store did not have, in milliseconds.
const NO_FREE_TOKENS_RETRY_MS: u64 = 200;

const MIN_BACKOFF_MS: u64 = 4;
const MAX_CONFLICT_BACKOFF_MS: u64 = 200;
const MAX_OUTAGE_BACKOFF_MS: u64 = 1_000;

/// Reads in flight at the same time.
const MAX_READS: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Reading,
    Writing { expected: Revision },
}

/// State of this entry's access to one shard.
pub(super) struct ShardSlot {
    phase: Phase,
    /// Revision expected by a write whose outcome is unknown.
    unresolved: Option<Revision>,
    /// Whether something is to be read or written.
    due: bool,
    not_before: Millis,
    failures: u32,
    written_at: Millis,
    /// Whether the last access failed for want of an answer.
    pub(super) store_unreachable: bool,
}

impl ShardSlot {
    pub(super) fn new() -> ShardSlot {
        ShardSlot {
            phase: Phase::Idle,
            unresolved: None,
            due: false,
            not_before: Millis(0),
            failures: 0,
            written_at: Millis(0),
            store_unreachable: false,
        }
    }

    /// Marks the shard for its next access.
    pub(super) fn mark_due(&mut self) {
        self.due = true;
    }

    fn record_success(&mut self) {
        self.phase = Phase::Idle;
        self.failures = 0;
        self.store_unreachable = false;
    }

    fn back_off(&mut self, now: Millis, limit: u64, jitter: u64) {
        self.phase = Phase::Idle;
        self.due = true;
        let wait = (MIN_BACKOFF_MS << self.failures.min(12)).min(limit);
        self.failures += 1;
        self.not_before = now.plus(wait / 2 + jitter % wait.max(1));
    }
}

impl BudgetSystem {
    pub(super) fn tick_shards(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        self.mark_due_shards(now);
        for shard in 0..self.params.shards.max(1) {
            self.start_read(shard, now, effects);
        }
    }

    /// Reads a shard that is due, as the first half of a write.
    pub(super) fn start_read(&mut self, shard: u32, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let reading = self.slots.iter().filter(|slot| slot.phase == Phase::Reading).count();
        let slot = &mut self.slots[shard as usize];
        let waits = slot.phase != Phase::Idle || now < slot.not_before || reading >= MAX_READS;
        if waits || !slot.due {
            return;
        }
        slot.due = false;
        slot.phase = Phase::Reading;
        effects.push(BudgetEffect::Read { key: StoreKey::Ledger(shard) });
    }

    fn mark_due_shards(&mut self, now: Millis) {
        let entries = self.entry_count();
        let stopping = self.stopping.is_some();
        for state in &mut self.budget_states {
            let slot = &mut self.slots[state.shard as usize];
            if slot.due || slot.phase != Phase::Idle {
                continue;
            }
            state.decay_rate(now);
            let reports = now.since(slot.written_at) >= SETTLE_INTERVAL_MS;
            let unsettled = state.own.settled() > state.own.record.settled;
            let returns = state.retired.iter().any(needs_write);
            let grant_changes =
                now >= state.retry_at && needs_grant_change(state, &*self.policy, entries, now);
            let can_lower = stopping && can_return_tokens(state);
            slot.due =
                (reports && unsettled) || returns || (grant_changes && !stopping) || can_lower;
        }
    }

    pub(super) fn shard_read(
        &mut self,
        shard: u32,
        outcome: Outcome<Option<Versioned>>,
        now: Millis,
        effects: &mut Vec<BudgetEffect>,
    ) {
        let jitter = self.rng.random();
        let slot = &mut self.slots[shard as usize];
        let Outcome::Done(held) = outcome else {
            slot.store_unreachable = true;
            slot.back_off(now, MAX_OUTAGE_BACKOFF_MS, jitter);
            return;
        };
        slot.record_success();
        let revision = held.as_ref().map_or(Revision::ABSENT, |held| held.revision);
        let decoded = held.map_or(Some(Shard::default()), |held| Shard::decode(&held.value));
        let Some(mut ledger) = decoded else {
            log::error!("decision=skip shard={shard} reason=malformed");
            return;
        };
        if slot.unresolved != Some(revision) {
            slot.unresolved = None;
        }
        let resolved = slot.unresolved.is_none();
        let closed = self.apply_ledger(shard, &ledger, resolved, now);
        if closed {
            self.replace_closed_epoch(now);
        }
        self.observe_foreign_epochs(shard, &ledger, now);
        if self.stopping.is_none() {
            self.open_standby_states(&ledger, now);
        }
        let changed = self.update_ledger(shard, &mut ledger, now);
        let closed_others = self.settle_closing_epochs(shard, &mut ledger);
        if changed || closed_others {
            let slot = &mut self.slots[shard as usize];
            slot.phase = Phase::Writing { expected: revision };
            slot.written_at = now;
            let key = StoreKey::Ledger(shard);
            effects.push(BudgetEffect::Write { key, expected: revision, value: ledger.encode() });
        }
        self.update_waiters(shard, now, effects);
    }

    pub(super) fn shard_written(
        &mut self,
        shard: u32,
        outcome: Outcome<Revision>,
        now: Millis,
        effects: &mut Vec<BudgetEffect>,
    ) {
        let jitter = self.rng.random();
        let slot = &mut self.slots[shard as usize];
        let Phase::Writing { expected } = slot.phase else { return };
        let resolve: fn(&mut OwnGrant) = match &outcome {
            Outcome::Done(_) => confirm_write,
            Outcome::NotDone(_) => drop_write,
            Outcome::Unknown => mark_write_unresolved,
        };
        match outcome {
            Outcome::Done(_) => {
                slot.record_success();
                slot.unresolved = None;
            }
            Outcome::NotDone(NotDone::Conflict { .. }) => {
                slot.back_off(now, MAX_CONFLICT_BACKOFF_MS, jitter);
            }
            Outcome::NotDone(_) => {
                slot.store_unreachable = true;
                slot.back_off(now, MAX_OUTAGE_BACKOFF_MS, jitter);
            }
            Outcome::Unknown => {
                slot.store_unreachable = true;
                slot.unresolved = Some(expected);
                slot.back_off(now, MAX_OUTAGE_BACKOFF_MS, jitter);
            }
        }
        for state in self.budget_states.iter_mut().filter(|state| state.shard == shard) {
            resolve(&mut state.own);
            state.retired.iter_mut().for_each(resolve);
            state.retired.retain(|grant| grant.pending.is_some() || !is_closed(grant));
        }
        self.update_waiters(shard, now, effects);
    }

    /// Takes over what the store shows; tells whether this epoch was closed by another.
    fn apply_ledger(&mut self, shard: u32, ledger: &Shard, resolved: bool, now: Millis) -> bool {
        let mut closed = false;
        for state in self.budget_states.iter_mut().filter(|state| state.shard == shard) {
            let account = ledger.account(&state.budget);
            closed |= apply_recorded_grant(&mut state.own, account, resolved);
            state.retired.retain_mut(|grant| {
                let vanished = apply_recorded_grant(grant, account, resolved);
                let recorded = account.is_some_and(|held| held.grant(grant.epoch).is_some());
                recorded || !(vanished || resolved)
            });
            state.account_missing = account.is_none();
            state.last_read = account.map(|account| AccountSnapshot {
                read_at: now,
                prepaid: account.prepaid,
                free: account.free(),
                spent: account.spent(),
            });
        }
        closed
    }

    /// Puts everything that is due into the shard; tells whether anything was.
    fn update_ledger(&mut self, shard: u32, ledger: &mut Shard, now: Millis) -> bool {
        let entries = self.entry_count();
        let stopping = self.stopping.is_some();
        let registered = self.registered;
        let mut changed = false;
        for state in self.budget_states.iter_mut().filter(|state| state.shard == shard) {
            let Some(account) = ledger.account_mut(&state.budget) else { continue };
            for grant in &mut state.retired {
                changed |= settle_retired(grant, account);
            }
            if !registered {
                continue;
            }
            let granted = if stopping {
                state.own.committed()
            } else {
                desired_total(state, account, &*self.policy, entries, now)
            };
            changed |= write_grant(state, account, granted);
        }
        changed
    }

    fn update_waiters(&mut self, shard: u32, now: Millis, effects: &mut Vec<BudgetEffect>) {
        for at in 0..self.budget_states.len() {
            if self.budget_states[at].shard != shard || self.budget_states[at].waiters.is_empty() {
                continue;
            }
            self.serve_waiters(at, now, effects);
            let slot = &self.slots[shard as usize];
            if slot.phase != Phase::Idle || slot.store_unreachable {
                continue;
            }
            if self.budget_states[at].account_missing {
                self.refuse_unknown_budget(at, effects);
                continue;
            }
            self.refuse_expired_waiters(at, now, effects);
            if self.budget_states[at].shortfall() > 0 {
                self.budget_states[at].retry_at = now.plus(NO_FREE_TOKENS_RETRY_MS);
            }
        }
    }
}

/// Whether the policy would move money, as far as the last read tells.
fn needs_grant_change(
    state: &BudgetState,
    policy: &dyn GrantPolicy,
    entries: u64,
    now: Millis,
) -> bool {
    let Some(last_read) = state.last_read else { return !state.waiters.is_empty() };
    if state.shortfall() > 0 {
        return true;
    }
    let view = policy_input(state, last_read, entries, now);
    policy.surplus(view) > 0 || policy.prefetch(view).min(last_read.free) > 0
}

/// Total that the current grant should have after the next write.
fn desired_total(
    state: &BudgetState,
    account: &Account,
    policy: &dyn GrantPolicy,
    entries: u64,
    now: Millis,
) -> u64 {
    let granted = state.own.record.granted;
    let need = state.shortfall();
    let free = account.free();
    if need > free {
        return granted + free;
    }
    let spent = account.spent();
    let last_read =
        AccountSnapshot { read_at: now, prepaid: account.prepaid, free: free - need, spent };
    let mut view = policy_input(state, last_read, entries, now);
    if need > 0 {
        view.available = 0;
        return granted + need + policy.prefetch(view).min(free - need);
    }
    let surplus = policy.surplus(view).min(state.own.available());
    if surplus > 0 {
        return granted - surplus;
    }
    granted + policy.prefetch(view).min(free)
}

/// Puts the current grant into the account if its totals move.
fn write_grant(state: &mut BudgetState, account: &mut Account, granted: u64) -> bool {
    let own = &mut state.own;
    let granted = granted.max(own.committed().min(own.record.granted));
    let grant = Grant { epoch: own.epoch, granted, settled: own.settled().min(granted) };
    if grant == own.record || !account.set_grant(grant) {
        return false;
    }
    log::info!(
        "decision=grant budget={} epoch={} granted={} was={} settled={} free={}",
        state.budget,
        own.epoch,
        granted,
        own.record.granted,
        grant.settled,
        account.free()
    );
    own.pending = Some(grant);
    true
}

/// Releases what a former epoch's grant does not need; tells whether anything.
fn settle_retired(grant: &mut OwnGrant, account: &mut Account) -> bool {
    let Some(held) = account.grant(grant.epoch).copied() else { return false };
    let settled = grant.settled().max(held.settled).min(held.granted);
    let granted = grant.committed().max(settled).min(held.granted);
    let next = Grant { epoch: grant.epoch, granted, settled };
    grant.pending = Some(next);
    if granted == settled {
        account.set_grant(next);
        account.close_grant(grant.epoch);
        return true;
    }
    next != held && account.set_grant(next)
}

/// Whether a stopping entry can lower or settle its grant.
fn can_return_tokens(state: &BudgetState) -> bool {
    let own = &state.own;
    own.record.granted > own.committed() || own.record.settled < own.settled()
}

/// Whether a former epoch's grant can be written lower or higher settled.
fn needs_write(grant: &OwnGrant) -> bool {
    is_closed(grant)
        || grant.settled() > grant.record.settled
        || grant.committed() < grant.record.granted
}

/// Whether nothing of a former epoch's grant is open.
fn is_closed(grant: &OwnGrant) -> bool {
    grant.unresolved_total.is_none() && grant.record.granted == grant.record.settled
}

/// Takes over the recorded grant; tells whether it vanished.
fn apply_recorded_grant(own: &mut OwnGrant, account: Option<&Account>, resolved: bool) -> bool {
    let held = account.and_then(|account| account.grant(own.epoch));
    own.pending = None;
    if resolved {
        own.unresolved_total = None;
    }
    let Some(held) = held else { return own.record.granted > 0 };
    own.record = *held;
    if !own.loaded {
        own.loaded = true;
        own.charged = own.charged.max(held.settled);
    }
    false
}

fn confirm_write(own: &mut OwnGrant) {
    if let Some(pending) = own.pending.take() {
        own.record = pending;
        own.loaded = true;
    }
    own.unresolved_total = None;
}

fn drop_write(own: &mut OwnGrant) {
    own.pending = None;
}

fn mark_write_unresolved(own: &mut OwnGrant) {
    if let Some(pending) = own.pending.take() {
        let unresolved_total = own.unresolved_total.unwrap_or(u64::MAX);
        own.unresolved_total = Some(unresolved_total.min(pending.granted));
    }
}
