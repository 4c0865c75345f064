//! Seeding and reading of the ledger past all faults.

use std::io;
use std::time::Duration;

use rosemarymoor_lib::budget::{Account, Shard, initial_operation, ledger_key, shard_of};
use rosemarymoor_lib::config::BudgetSettings;
use rosemarymoor_lib::id::BudgetId;
use rosemarymoor_lib::kv_store::{KvStore, Outcome, Revision};

use super::Fleet;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Accounts of the ledger at one moment.
pub struct LedgerView {
    accounts: Vec<Account>,
}

impl LedgerView {
    /// Account of a budget.
    pub fn account(&self, budget: &BudgetId) -> Option<&Account> {
        let at = self.accounts.binary_search_by(|account| account.budget.cmp(budget)).ok()?;
        Some(&self.accounts[at])
    }

    /// Every account, sorted by budget.
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }
}

impl Fleet {
    /// Ledger as the store holds it now.
    pub fn ledger(&self) -> LedgerView {
        let mut accounts: Vec<Account> = (0..self.plan.shards)
            .filter_map(|shard| self.kv.value(&ledger_key(shard)))
            .flat_map(|value| Shard::decode(&value).map_or(Vec::new(), |shard| shard.accounts))
            .collect();
        accounts.sort_by(|a, b| a.budget.cmp(&b.budget));
        LedgerView { accounts }
    }
}

/// Credits the budgets that the configuration declares.
pub(super) async fn seed(
    store: &dyn KvStore,
    shards: u32,
    budgets: &[BudgetSettings],
) -> io::Result<()> {
    let mut values = vec![Shard::default(); shards as usize];
    for declared in budgets {
        let budget =
            BudgetId { workspace: declared.workspace.clone(), name: declared.name.clone() };
        let shard = shard_of(&budget, shards) as usize;
        let account = values[shard].open_account(&budget);
        account.top_up(declared.initial_tokens, initial_operation(&budget));
    }
    for (shard, value) in values.iter().enumerate() {
        let key = ledger_key(shard as u32);
        let written =
            store.compare_and_swap(&key, Revision::ABSENT, value.encode(), None, TIMEOUT).await;
        if !matches!(written, Outcome::Done(_)) {
            return Err(io::Error::other(format!("{key} could not be seeded: {written:?}")));
        }
    }
    Ok(())
}
