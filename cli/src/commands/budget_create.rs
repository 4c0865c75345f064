//! `budget create`: opens a budget with its first tokens.

use gumdrop::Options;
use rosemarymoor_lib::budget::{self, initial_operation};
use rosemarymoor_lib::config::store::load;
use snafu::{OptionExt, ResultExt, ensure};

use crate::context::Context;
use crate::error::{CliError, LoadSnafu, NoConfigSnafu, TopUpSnafu, UnknownWorkspaceSnafu};
use crate::ledger::parse_budget;

use super::budget_show::{Report, print};

/// Opens a budget; repeating it credits nothing twice.
#[derive(Debug, Options)]
pub struct CreateOptions {
    /// print this help
    help: bool,
    /// budget, as WORKSPACE/NAME
    #[options(free, required)]
    budget: String,
    /// first tokens
    #[options(required, meta = "N")]
    tokens: u64,
    /// print JSON
    json: bool,
}

/// Runs the command.
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
