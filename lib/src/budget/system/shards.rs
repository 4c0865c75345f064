//! Reads and writes ledger shards, one access at a time for each shard.
//!
//! An access reads the shard, applies everything that is due to it and writes it back if it
//! changed. A write of unknown outcome may still take effect as long as the shard has the revision
//! that the write expected. Until that is resolved, the lower of its total and the recorded total
//! limits what may be spent.

use super::*;
use crate::budget::budget_state::OwnGrant;
use crate::budget::ledger::{Account, Grant, Shard};
use crate::kv_store::{NotDone, Outcome, Revision, Versioned};

/// Time between two writes that only record spending, in milliseconds.
const SETTLE_INTERVAL_MS: u64 = 5_000;

/// Time before a shard is read again for a budget that had too few free tokens, in milliseconds.
const NO_FREE_TOKENS_RETRY_DELAY_MS: u64 = 200;

/// Backoff after the first failed access, in milliseconds; it doubles with every further one.
const MIN_BACKOFF_MS: u64 = 4;

/// Longest backoff after a conflicting write, in milliseconds.
const MAX_CONFLICT_BACKOFF_MS: u64 = 200;

/// Longest backoff while the store does not answer, in milliseconds.
const MAX_OUTAGE_BACKOFF_MS: u64 = 1_000;

/// Most shard reads in flight at the same time.
const MAX_READS: usize = 16;

/// State of the access to a shard.
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
    /// Whether an access is due.
    due: bool,
    /// Earliest time of the next access.
    not_before: Millis,
    /// Failed accesses since the last success.
    consecutive_failures: u32,
    /// When the last write started.
    written_at: Millis,
    /// Whether the last access failed other than by a conflict.
    pub(super) store_unreachable: bool,
}

impl ShardSlot {
    pub(super) fn new() -> ShardSlot {
        ShardSlot {
            phase: Phase::Idle,
            unresolved: None,
            due: false,
            not_before: Millis(0),
            consecutive_failures: 0,
            written_at: Millis(0),
            store_unreachable: false,
        }
    }

    /// Schedules an access to the shard.
    pub(super) fn mark_due(&mut self) {
        self.due = true;
    }

    /// Ends an access that succeeded.
    fn record_success(&mut self) {
        self.phase = Phase::Idle;
        self.consecutive_failures = 0;
        self.store_unreachable = false;
    }

    /// Ends an access that failed, and schedules the next after an exponential backoff with jitter.
    ///
    /// `random` is a random number that the jitter is taken from.
    fn back_off(&mut self, now: Millis, max_backoff_ms: u64, random: u64) {
        self.phase = Phase::Idle;
        self.due = true;
        let wait = (MIN_BACKOFF_MS << self.consecutive_failures.min(12)).min(max_backoff_ms);
        self.consecutive_failures += 1;
        self.not_before = now.plus(wait / 2 + random % wait.max(1));
    }
}

impl BudgetSystem {
    /// Schedules accesses to shards with changes to write, and starts those that are due.
    pub(super) fn tick_shards(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        self.mark_due_shards(now);
        for shard in 0..self.params.shards.max(1) {
            self.start_read(shard, now, effects);
        }
    }

    /// Starts the read of a shard that is due, unless it is in use, backing off, or too many reads
    /// are in flight.
    pub(super) fn start_read(&mut self, shard: u32, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let reads = self.slots.iter().filter(|slot| slot.phase == Phase::Reading).count();
        let slot = &mut self.slots[shard as usize];
        let must_wait = slot.phase != Phase::Idle || now < slot.not_before || reads >= MAX_READS;
        if must_wait || !slot.due {
            return;
        }
        slot.due = false;
        slot.phase = Phase::Reading;
        effects.push(BudgetEffect::Read { key: StoreKey::Ledger(shard) });
    }

    /// Schedules accesses to shards for which a budget state has something to write.
    fn mark_due_shards(&mut self, now: Millis) {
        let entry_count = self.entry_count();
        let stopping = self.stopping.is_some();
        for state in &mut self.budget_states {
            let slot = &mut self.slots[state.shard as usize];
            if slot.due || slot.phase != Phase::Idle {
                continue;
            }
            state.decay_rate(now);
            let settle_due = now.since(slot.written_at) >= SETTLE_INTERVAL_MS;
            let unsettled = state.own.settled() > state.own.record.settled;
            let retired_due = state.retired.iter().any(needs_write);
            let grant_changes =
                now >= state.retry_at && needs_grant_change(state, &*self.policy, entry_count, now);
            let returns_tokens = stopping && can_return_tokens(state);
            slot.due = (settle_due && unsettled)
                || retired_due
                || (grant_changes && !stopping)
                || returns_tokens;
        }
    }

    /// Applies a shard that was read, and writes it back if anything in it is to be changed.
    pub(super) fn shard_read(
        &mut self,
        shard: u32,
        outcome: Outcome<Option<Versioned>>,
        now: Millis,
        effects: &mut Vec<BudgetEffect>,
    ) {
        let random = self.rng.random();
        let slot = &mut self.slots[shard as usize];
        let Outcome::Done(stored) = outcome else {
            slot.store_unreachable = true;
            slot.back_off(now, MAX_OUTAGE_BACKOFF_MS, random);
            return;
        };
        slot.record_success();
        let revision = stored.as_ref().map_or(Revision::ABSENT, |stored| stored.revision);
        let decoded = stored.map_or(Some(Shard::default()), |stored| Shard::decode(&stored.value));
        let Some(mut ledger) = decoded else {
            log::error!("decision=skip shard={shard} reason=malformed");
            return;
        };
        if slot.unresolved != Some(revision) {
            slot.unresolved = None;
        }
        let is_resolved = slot.unresolved.is_none();
        let epoch_closed = self.apply_ledger(shard, &ledger, is_resolved, now);
        if epoch_closed {
            self.replace_closed_epoch(now);
        }
        self.observe_foreign_epochs(shard, &ledger, now);
        if self.stopping.is_none() {
            self.update_standby_states(&ledger, now);
        }
        let changed = self.update_ledger(shard, &mut ledger, now);
        let closings_changed = self.settle_closing_epochs(shard, &mut ledger);
        if changed || closings_changed {
            let slot = &mut self.slots[shard as usize];
            slot.phase = Phase::Writing { expected: revision };
            slot.written_at = now;
            let key = StoreKey::Ledger(shard);
            effects.push(BudgetEffect::Write { key, expected: revision, value: ledger.encode() });
        }
        self.update_waiters(shard, now, effects);
    }

    /// Applies the outcome of a write to the grants that it contained.
    pub(super) fn shard_written(
        &mut self,
        shard: u32,
        outcome: Outcome<Revision>,
        now: Millis,
        effects: &mut Vec<BudgetEffect>,
    ) {
        let random = self.rng.random();
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
                slot.back_off(now, MAX_CONFLICT_BACKOFF_MS, random);
            }
            Outcome::NotDone(_) => {
                slot.store_unreachable = true;
                slot.back_off(now, MAX_OUTAGE_BACKOFF_MS, random);
            }
            Outcome::Unknown => {
                slot.store_unreachable = true;
                slot.unresolved = Some(expected);
                slot.back_off(now, MAX_OUTAGE_BACKOFF_MS, random);
            }
        }
        for state in self.budget_states.iter_mut().filter(|state| state.shard == shard) {
            resolve(&mut state.own);
            state.retired.iter_mut().for_each(resolve);
            state.retired.retain(|grant| grant.pending.is_some() || !is_closed(grant));
        }
        self.update_waiters(shard, now, effects);
    }

    /// Updates budget states from a shard; returns whether another entry has closed this epoch.
    fn apply_ledger(&mut self, shard: u32, ledger: &Shard, is_resolved: bool, now: Millis) -> bool {
        let mut epoch_closed = false;
        for state in self.budget_states.iter_mut().filter(|state| state.shard == shard) {
            let account = ledger.account(&state.budget);
            epoch_closed |= apply_recorded_grant(&mut state.own, account, is_resolved);
            state.retired.retain_mut(|grant| {
                let has_vanished = apply_recorded_grant(grant, account, is_resolved);
                let is_recorded =
                    account.is_some_and(|account| account.grant(grant.epoch).is_some());
                is_recorded || !(has_vanished || is_resolved)
            });
            state.account_missing = account.is_none();
            state.last_read = account.map(|account| AccountSnapshot {
                read_at: now,
                prepaid: account.prepaid,
                free: account.free(),
                spent: account.spent(),
            });
        }
        epoch_closed
    }

    /// Writes the grants of this entry into the shard; returns whether anything changed.
    fn update_ledger(&mut self, shard: u32, ledger: &mut Shard, now: Millis) -> bool {
        let entry_count = self.entry_count();
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
                desired_total(state, account, &*self.policy, entry_count, now)
            };
            changed |= write_grant(state, account, granted);
        }
        changed
    }

    /// Serves the requests that wait for budgets of a shard, and refuses those that the last access
    /// rules out.
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
                self.budget_states[at].retry_at = now.plus(NO_FREE_TOKENS_RETRY_DELAY_MS);
            }
        }
    }
}

/// Returns whether the grant is to be raised or lowered, by the last read of the account.
fn needs_grant_change(
    state: &BudgetState,
    policy: &dyn GrantPolicy,
    entry_count: u64,
    now: Millis,
) -> bool {
    let Some(last_read) = state.last_read else { return !state.waiters.is_empty() };
    if state.shortfall() > 0 {
        return true;
    }
    let input = policy_input(state, last_read, entry_count, now);
    policy.surplus(input) > 0 || policy.prefetch(input).min(last_read.free) > 0
}

/// Returns the total that the current grant is to have after the next write, in tokens.
fn desired_total(
    state: &BudgetState,
    account: &Account,
    policy: &dyn GrantPolicy,
    entry_count: u64,
    now: Millis,
) -> u64 {
    let granted = state.own.record.granted;
    let shortfall = state.shortfall();
    let free = account.free();
    if shortfall > free {
        return granted + free;
    }
    let spent = account.spent();
    let last_read =
        AccountSnapshot { read_at: now, prepaid: account.prepaid, free: free - shortfall, spent };
    let mut input = policy_input(state, last_read, entry_count, now);
    if shortfall > 0 {
        input.available = 0;
        return granted + shortfall + policy.prefetch(input).min(free - shortfall);
    }
    let surplus = policy.surplus(input).min(state.own.available());
    if surplus > 0 {
        return granted - surplus;
    }
    granted + policy.prefetch(input).min(free)
}

/// Records the current grant in the account if its totals change; returns whether they do.
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

/// Releases what a former epoch's grant does not need; returns whether the account changed.
fn settle_retired(grant: &mut OwnGrant, account: &mut Account) -> bool {
    let Some(recorded) = account.grant(grant.epoch).copied() else { return false };
    let settled = grant.settled().max(recorded.settled).min(recorded.granted);
    let granted = grant.committed().max(settled).min(recorded.granted);
    let next = Grant { epoch: grant.epoch, granted, settled };
    grant.pending = Some(next);
    if granted == settled {
        account.set_grant(next);
        account.close_grant(grant.epoch);
        return true;
    }
    next != recorded && account.set_grant(next)
}

/// Returns whether a stopping entry can lower or settle its grant.
fn can_return_tokens(state: &BudgetState) -> bool {
    let own = &state.own;
    own.record.granted > own.committed() || own.record.settled < own.settled()
}

/// Returns whether the recorded grant of a former epoch can be lowered, settled further or removed.
fn needs_write(grant: &OwnGrant) -> bool {
    is_closed(grant)
        || grant.settled() > grant.record.settled
        || grant.committed() < grant.record.granted
}

/// Returns whether nothing of a former epoch's grant is open.
fn is_closed(grant: &OwnGrant) -> bool {
    grant.unresolved_total.is_none() && grant.record.granted == grant.record.settled
}

/// Updates a grant from the account; returns whether the account no longer contains it.
fn apply_recorded_grant(own: &mut OwnGrant, account: Option<&Account>, is_resolved: bool) -> bool {
    let recorded = account.and_then(|account| account.grant(own.epoch));
    own.pending = None;
    if is_resolved {
        own.unresolved_total = None;
    }
    let Some(recorded) = recorded else { return own.record.granted > 0 };
    own.record = *recorded;
    if !own.loaded {
        own.loaded = true;
        own.charged = own.charged.max(recorded.settled);
    }
    false
}

/// Applies a write that took effect.
fn confirm_write(own: &mut OwnGrant) {
    if let Some(pending) = own.pending.take() {
        own.record = pending;
        own.loaded = true;
    }
    own.unresolved_total = None;
}

/// Drops a write that did not take effect.
fn drop_write(own: &mut OwnGrant) {
    own.pending = None;
}

/// Limits the grant to the total of a write whose outcome is unknown.
fn mark_write_unresolved(own: &mut OwnGrant) {
    if let Some(pending) = own.pending.take() {
        let unresolved_total = own.unresolved_total.unwrap_or(u64::MAX);
        own.unresolved_total = Some(unresolved_total.min(pending.granted));
    }
}
