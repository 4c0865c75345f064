//! Era of the store, which rises when the store is restored from an older copy of its contents.
//!
//! A restored store has lost the latest grants. Nobody takes free tokens in a new era before every
//! holder that may still spend a lost grant has written it again or has stopped: holders write
//! their grants again as soon as they see the era, and one that hears nothing from the store stops
//! within [`LEASE_MS`]. docs/design/budgets.md has the whole argument.
//!
//! All of this applies only to a store that states its era; any other is never restored.

use crate::time::Millis;

/// Time without an answer of the store after which a holder spends nothing more, in milliseconds.
const LEASE_MS: u64 = 4_000;

/// Time from the first sight of an era to the first raise in it, in milliseconds: the lease of a
/// holder that is cut off, and the time until the entries have reported what it spent meanwhile.
const RAISE_DELAY_MS: u64 = 7_000;

/// Time without an answer after which a holder with unspent tokens calls the store, in
/// milliseconds.
pub(super) const CONFIRM_INTERVAL_MS: u64 = 2_000;

/// Era of the store as one holder has seen it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreEra {
    /// `None` while the store has stated no era.
    number: Option<u64>,
    /// When the era was first seen.
    since: Millis,
    /// When the store last answered.
    answered_at: Millis,
}

impl StoreEra {
    /// Records the era of an answer; returns whether the store was restored.
    pub(super) fn observe(&mut self, number: u64, now: Millis) -> bool {
        if self.number.is_some_and(|seen| seen >= number) {
            return false;
        }
        let is_restored = self.number.is_some();
        *self = StoreEra { number: Some(number), since: now, answered_at: now };
        is_restored
    }

    /// Records an answer of the store.
    pub(super) fn record_answer(&mut self, now: Millis) {
        self.answered_at = now;
    }

    /// Returns the era to record with accounts; 0 while the store has stated none.
    pub(super) fn number(&self) -> u64 {
        self.number.unwrap_or(0)
    }

    /// Returns whether the holder may spend what it was granted.
    pub(super) fn may_spend(&self, now: Millis) -> bool {
        self.number.is_none() || now.since(self.answered_at) < LEASE_MS
    }

    /// Returns whether free tokens of an account may be taken that was last raised in
    /// `account_era`.
    pub(super) fn may_raise(&self, account_era: u64, now: Millis) -> bool {
        account_era >= self.number() || now.since(self.since) >= RAISE_DELAY_MS
    }

    /// Returns when the store has to be called to renew the lease; `None` without eras.
    pub(super) fn confirm_at(&self) -> Option<Millis> {
        self.number.map(|_| self.answered_at.plus(CONFIRM_INTERVAL_MS))
    }
}
