//! `budget create`: creates a budget with its first tokens.

use gumdrop::Options;
use rosemarymoor_lib::budget::{self, initial_operation};
use rosemarymoor_lib::config::store::load;
use snafu::{OptionExt, ResultExt, ensure};

use crate::context::Context;
use crate::error::{CliError, LoadSnafu, NoConfigSnafu, TopUpSnafu, UnknownWorkspaceSnafu};
use crate::ledger::parse_budget;

use super::budget_show::{Report, print};

/// Creates a budget; a repeated command does not credit the tokens again.
#[derive(Debug, Options)]
pub struct CreateOptions {
    /// print this help
    help: bool,
    /// budget as WORKSPACE/NAME
    #[options(free, required)]
    budget: String,
    /// number of tokens to start with
    #[options(required, meta = "N")]
    tokens: u64,
    /// print JSON
    json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the configuration has no such workspace, or the credit is refused or not
/// confirmed.
pub async fn run(options: &CreateOptions, cx: &Context) -> Result<(), CliError> {
    let budget = parse_budget(Some(&options.budget))?;
    let shards = cx.settings()?.shards;
    let kv = cx.store()?;
    let stored = load(kv.as_ref()).await.context(LoadSnafu)?.context(NoConfigSnafu)?;
    let known = stored.config.workspace(&budget.workspace).is_some();
    ensure!(known, UnknownWorkspaceSnafu { name: &budget.workspace });
    let operation = initial_operation(&budget);
    let account = budget::top_up(kv.as_ref(), shards, &budget, options.tokens, operation)
        .await
        .context(TopUpSnafu { operation })?;
    print(&Report::new(&account, Some(operation)), options.json);
    Ok(())
}
