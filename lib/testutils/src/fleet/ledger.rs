//! Budget ledger of a fleet: seeded before the processes start, and read directly from the
//! key-value stand-in, so that no injected fault applies.
//!
//! Tests and the bench compare its accounts with the runs that the targets recorded.

use std::io;
use std::time::Duration;

use rosemarymoor_lib::budget::{Account, Shard, initial_operation, ledger_key, shard_of};
use rosemarymoor_lib::config::BudgetSettings;
use rosemarymoor_lib::id::BudgetId;
use rosemarymoor_lib::kv_store::{KvStore, Outcome, Revision};

use super::Fleet;

/// Time limit of one write that seeds a shard.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Accounts of the ledger as read at one time.
pub struct LedgerView {
    /// Sorted by budget.
    accounts: Vec<Account>,
}

impl LedgerView {
    /// Returns the account of a budget, if it exists.
    pub fn account(&self, budget: &BudgetId) -> Option<&Account> {
        let index = self.accounts.binary_search_by(|account| account.budget.cmp(budget)).ok()?;
        Some(&self.accounts[index])
    }

    /// Returns every account, sorted by budget.
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }
}

impl Fleet {
    /// Returns the accounts that the key-value stand-in holds now. A shard that is absent or
    /// cannot be decoded contributes none.
    pub fn ledger(&self) -> LedgerView {
        let mut accounts: Vec<Account> = (0..self.plan.shards)
            .filter_map(|shard| self.kv.value(&ledger_key(shard)))
            .flat_map(|value| Shard::decode(&value).map_or(Vec::new(), |shard| shard.accounts))
            .collect();
        accounts.sort_by(|a, b| a.budget.cmp(&b.budget));
        LedgerView { accounts }
    }
}

/// Writes the shards of the ledger with the initial tokens of `budgets`.
///
/// # Errors
///
/// Fails if a shard already exists or cannot be written.
pub(super) async fn seed(
    store: &dyn KvStore,
    shards: u32,
    budgets: &[BudgetSettings],
) -> io::Result<()> {
    let mut values = vec![Shard::default(); shards as usize];
    for settings in budgets {
        let budget =
            BudgetId { workspace: settings.workspace.clone(), name: settings.name.clone() };
        let shard = shard_of(&budget, shards) as usize;
        let account = values[shard].open_account(&budget);
        account.top_up(settings.initial_tokens, initial_operation(&budget));
    }
    for (shard, value) in values.iter().enumerate() {
        let key = ledger_key(shard as u32);
        let written =
            store.compare_and_swap(&key, Revision::ABSENT, value.encode(), None, TIMEOUT).await;
        if !matches!(written, Outcome::Done(_)) {
            return Err(io::Error::other(format!(
                "{key} could not be seeded: write ended with {written:?}"
            )));
        }
    }
    Ok(())
}
