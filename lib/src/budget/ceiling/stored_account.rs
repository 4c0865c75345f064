//! Account as a holder sees it in the store, and what it adds to it after a restore.

use super::restore_reserve_epoch;
use crate::budget::ledger::{Account, Grant};
use crate::id::EpochId;
use crate::kv_store::Revision;

/// Part of the prepaid tokens that is set aside in an account after a restore, in percent.
const RESTORE_RESERVE_PERCENT: u64 = 3;

/// Number of grants from which on those that have ended and were not reported are forgotten.
const MAX_WITNESSED: usize = 64;

/// Account as it is stored.
#[derive(Clone)]
pub(super) struct StoredAccount {
    pub(super) revision: Revision,
    pub(super) account: Account,
    /// Era in which a free token of it was last granted.
    pub(super) era: u64,
}

/// Returns the tokens granted to other epochs and the part of them known to be spent,
/// both with what closed epochs have spent.
pub(super) fn others_totals(account: &Account, epoch: EpochId) -> (u64, u64) {
    let others = account.grants.iter().filter(|grant| grant.epoch != epoch);
    others.fold((account.settled, account.settled), |(granted, settled), grant| {
        (granted.saturating_add(grant.granted), settled.saturating_add(grant.settled))
    })
}

/// What is known of another holder's grant beside the account as it is read now.
#[derive(Clone, Copy, Debug)]
pub(super) struct WitnessedGrant {
    pub(super) epoch: EpochId,
    /// Tokens that entries have reported as committed, which a restored store may have lost.
    pub(super) reported: u64,
    /// Largest grant that the store has shown since its latest restore. If it shows less later, the
    /// holder has returned the rest itself.
    pub(super) shown: u64,
}

/// Raises the grants of other holders to what entries know that they had committed, as far as the
/// restored store has not shown it. Reports of more than an account can hold are forgotten.
pub(super) fn add_witnessed(account: &mut Account, witnessed: &mut [WitnessedGrant]) {
    for grant in witnessed.iter_mut().filter(|grant| grant.reported > grant.shown) {
        let WitnessedGrant { epoch, reported, .. } = *grant;
        let recorded = account.grant(epoch).copied();
        let recorded = recorded.unwrap_or(Grant { epoch, granted: 0, settled: 0 });
        if recorded.granted >= reported {
            continue;
        }
        let missing = reported - recorded.granted;
        account.prepaid = account.prepaid.max(account.taken().saturating_add(missing));
        if !account.set_grant(Grant { granted: reported, ..recorded }) {
            grant.reported = 0;
        }
    }
}

/// Records the grants that the store shows, also for reports that come later; `account` is as it was
/// read or written.
pub(super) fn record_shown(account: &Account, witnessed: &mut Vec<WitnessedGrant>) {
    if witnessed.len() > MAX_WITNESSED {
        witnessed.retain(|known| known.reported > 0 || account.grant(known.epoch).is_some());
    }
    for Grant { epoch, granted, .. } in account.grants.iter().copied() {
        match witnessed.binary_search_by_key(&epoch, |known| known.epoch) {
            Ok(at) => witnessed[at].shown = witnessed[at].shown.max(granted),
            Err(at) => witnessed.insert(at, WitnessedGrant { epoch, reported: 0, shown: granted }),
        }
    }
}

/// Sets tokens aside, when free ones are first granted in a new era, for grants that the restore
/// has lost and that neither a holder nor an entry remembers.
pub(super) fn reserve_after_restore(account: &mut Account, prepaid: u64, era: u64) {
    if account.grants.is_empty() && account.settled == 0 {
        return;
    }
    account.prepaid = prepaid.max(account.taken());
    let reserve = u128::from(prepaid) * u128::from(RESTORE_RESERVE_PERCENT) / 100;
    let granted = (reserve as u64).min(account.free());
    let epoch = restore_reserve_epoch(era);
    account.set_grant(Grant { epoch, granted, settled: 0 });
}
