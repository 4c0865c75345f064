//! Calls of a ceiling to the store: when the account is read, and which ceiling is written.

use super::super::store_era::StoreEra;
use super::super::store_health::StoreHealth;
use super::super::stored_account::{
    StoredAccount, add_witnessed, record_shown, reserve_after_restore,
};
use super::super::{CeilingEffect, Headroom};
use super::{BACKGROUND_WRITE_INTERVAL_MS, BudgetCeiling, PendingCall, RETURN_AFTER_MS};
use crate::budget::ledger::{Account, Grant, Shard};
use crate::id::EpochId;
use crate::kv_store::{Revision, Versioned};
use crate::time::Millis;

/// Headroom is lowered when it exceeds its desired size by more than this factor.
const SURPLUS_FACTOR: u64 = 2;

/// Headroom is raised in advance when less than this share of its desired size is left.
const RAISE_BELOW_SHARE: f64 = 0.35;

/// Backoff before the store is called again after a first failure, in milliseconds;
/// it doubles with each further failure.
const MIN_BACKOFF_MS: u64 = 40;

/// Longest backoff before the store is called again, in milliseconds.
const MAX_BACKOFF_MS: u64 = 640;

impl BudgetCeiling {
    /// Reads the account if it is unknown; otherwise writes the ceiling if it has to change.
    pub(super) fn call_store(
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
            let is_needed = !self.waiting.is_empty()
                || self.last_write_failed
                || self.closing
                || self.has_unwritten_reports();
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
        if self.has_unwritten_reports() {
            let granted = self.ceiling.max(self.committed());
            return self.write(stored, epoch, granted, era, now, effects);
        }
        if self.prepaid == 0 {
            // No request has come yet; the account would be outdated when one does.
            self.last_read = None;
            return;
        }
        let may_raise = era.may_raise(stored.era, now);
        let max_ceiling = self.max_ceiling(&stored.account, epoch);
        let max_ceiling = if may_raise { max_ceiling } else { max_ceiling.min(self.ceiling) };
        if let Some(granted) = self.next_ceiling(&stored.account, max_ceiling, epoch, now) {
            self.write(stored, epoch, granted, era, now, effects);
        }
    }

    /// Returns the ceiling to write now; `None` if the present one suffices.
    pub(super) fn next_ceiling(
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
        let tokens = self.waiting.iter().map(|waiting| waiting.req.tokens);
        let needed = tokens.fold(committed, u64::saturating_add);
        let desired = needed.saturating_add(headroom).min(max_ceiling).max(committed);
        if !self.waiting.is_empty() {
            let first = self.waiting.front().map_or(0, |waiting| waiting.req.tokens);
            return (committed.saturating_add(first) <= max_ceiling).then_some(desired);
        }
        let recently_written = now.since(self.last_write_at) < BACKGROUND_WRITE_INTERVAL_MS;
        // A holder that closes writes at once, but not for each settlement while others are due.
        let is_urgent = self.closing && self.spending.reserved() == 0;
        if recently_written && !is_urgent {
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
        if remaining > headroom.max(self.largest_request_tokens).saturating_mul(SURPLUS_FACTOR) {
            return Some(desired);
        }
        ((remaining as f64) < headroom as f64 * RAISE_BELOW_SHARE && desired > self.ceiling)
            .then_some(desired)
    }

    /// Writes this holder's grant into the account.
    pub(super) fn write(
        &mut self,
        stored: StoredAccount,
        epoch: EpochId,
        granted: u64,
        store_era: &StoreEra,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        let StoredAccount { revision, mut account, mut era } = stored;
        // Without a request this holder does not know of how many tokens a part is set aside.
        let knows_prepaid = self.prepaid > 0;
        if knows_prepaid && era < store_era.number() && store_era.may_raise(era, now) {
            era = store_era.number();
            reserve_after_restore(&mut account, self.prepaid, era);
        }
        let lost = self.lost_ceiling.map_or(0, |_| {
            granted.saturating_sub(account.grant(epoch).map_or(0, |grant| grant.granted))
        });
        // A lowered budget may be smaller than what was granted, and so may one whose grants are
        // written again after a restore. The account then counts what was granted as prepaid, and
        // nothing is free.
        account.prepaid = self.prepaid.max(account.taken().saturating_add(lost));
        let grant = Grant { epoch, granted, settled: self.spending.used() };
        let has_grant = granted > 0 || account.grant(epoch).is_some();
        if has_grant && !account.set_grant(grant) {
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
    pub(super) fn apply_read(&mut self, epoch: EpochId, found: Option<Versioned>, now: Millis) {
        let (revision, mut account, era) = match found {
            None => (Revision::ABSENT, Shard::default().open_account(&self.budget).clone(), 0),
            Some(found) => {
                let shard = Shard::decode(&found.value);
                let account = shard.as_ref().and_then(|shard| shard.account(&self.budget));
                let Some(account) = account.filter(|account| account.has_valid_grants()) else {
                    log::error!("event=account_malformed budget={}", self.budget);
                    self.record_store_failure(now);
                    return;
                };
                (found.revision, account.clone(), shard.as_ref().map_or(0, |shard| shard.era))
            }
        };
        record_shown(&account, &mut self.witnessed);
        add_witnessed(&mut account, &mut self.witnessed);
        // A write of unknown outcome that lowered the ceiling may still take effect, so
        // only a confirmed write raises the ceiling, never a read.
        let recorded = account.grant(epoch).map_or(0, |grant| grant.granted);
        self.ceiling = self.ceiling.min(recorded);
        self.last_read = Some(StoredAccount { revision, account, era });
        self.consecutive_failures = 0;
    }

    /// Sets the time of the next store call after a failed one.
    pub(super) fn record_store_failure(&mut self, now: Millis) {
        let backoff = (MIN_BACKOFF_MS << self.consecutive_failures.min(8)).min(MAX_BACKOFF_MS);
        self.consecutive_failures += 1;
        self.retry_at = now.plus(backoff);
    }
}
