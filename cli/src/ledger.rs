//! Access of the commands to the ledger of prepaid budgets in the key-value service.

use std::time::Duration;

use rosemarymoor_lib::budget::{self, LedgerError, Shard, initial_operation, ledger_key, shard_of};
use rosemarymoor_lib::config::{BudgetSettings, Config};
use rosemarymoor_lib::id::BudgetId;
use rosemarymoor_lib::kv_store::KvStore;
use snafu::ResultExt;

use crate::error::{ArgumentSnafu, CliError, LedgerSnafu, TopUpSnafu};

const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Parses a budget given as `WORKSPACE/NAME`.
///
/// # Errors
///
/// Fails with [`CliError::Argument`] if the text is missing or has another form.
pub fn parse_budget(text: Option<&str>) -> Result<BudgetId, CliError> {
    let value = text.unwrap_or_default();
    match value.split_once('/') {
        Some((workspace, name)) if !workspace.is_empty() && !name.is_empty() => {
            Ok(BudgetId { workspace: workspace.to_owned(), name: name.to_owned() })
        }
        _ => ArgumentSnafu { value, expected: "a budget, as WORKSPACE/NAME" }.fail(),
    }
}

/// Credits the initial tokens of every budget that has not received them yet.
///
/// Each credit has a fixed operation id, so that it takes effect once even if several hosts
/// run this. Returns the number of budgets that this call credited.
///
/// # Errors
///
/// Fails at the first shard that cannot be read or credit that is not confirmed; earlier
/// credits stay.
pub async fn credit_initial(
    kv: &dyn KvStore,
    shards: u32,
    cfg: &Config,
) -> Result<usize, CliError> {
    let mut by_shard: Vec<(u32, BudgetId, &BudgetSettings)> = Vec::new();
    for settings in &cfg.budgets {
        let (workspace, name) = (settings.workspace.clone(), settings.name.clone());
        let budget = BudgetId { workspace, name };
        by_shard.push((shard_of(&budget, shards), budget, settings));
    }
    by_shard.sort_by_key(|(shard, ..)| *shard);
    let mut credited = 0;
    for group in by_shard.chunk_by(|a, b| a.0 == b.0) {
        let shard = read_shard(kv, group[0].0).await?;
        for (_, budget, settings) in group {
            let operation = initial_operation(budget);
            let account = shard.account(budget);
            if account.is_some_and(|account| account.operations.contains(&operation)) {
                continue;
            }
            budget::top_up(kv, shards, budget, settings.initial_tokens, operation)
                .await
                .context(TopUpSnafu { operation })?;
            credited += 1;
        }
    }
    Ok(credited)
}

/// Reads a ledger shard; an absent one is empty.
async fn read_shard(kv: &dyn KvStore, shard: u32) -> Result<Shard, CliError> {
    let answer = kv.get(&ledger_key(shard), CALL_TIMEOUT).await.done();
    match answer.ok_or(LedgerError::Unavailable).context(LedgerSnafu)? {
        None => Ok(Shard::default()),
        Some(found) => {
            Shard::decode(&found.value).ok_or(LedgerError::Malformed).context(LedgerSnafu)
        }
    }
}
