//! `budget top-up`: credits tokens to a budget.

use gumdrop::Options;
use rosemarymoor_lib::budget;
use rosemarymoor_lib::id::OperationId;
use snafu::{OptionExt, ResultExt};

use crate::context::Context;
use crate::error::{ArgumentSnafu, CliError, LedgerSnafu, TopUpSnafu, UnknownBudgetSnafu};
use crate::ledger::parse_budget;

use super::budget_show::{Report, print};

/// Credits tokens once for each operation id.
///
/// If the outcome is unknown, repeat the command with the same id: it credits once only.
#[derive(Debug, Options)]
pub struct TopUpOptions {
    /// print this help
    help: bool,
    /// budget as WORKSPACE/NAME
    #[options(free, required)]
    budget: String,
    /// number of tokens to credit
    #[options(required, meta = "N")]
    tokens: u64,
    /// id of an earlier attempt whose outcome is unknown
    #[options(meta = "ID")]
    operation: Option<String>,
    /// print JSON
    json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the budget does not exist, or the credit is refused or not confirmed.
pub async fn run(options: &TopUpOptions, cx: &Context) -> Result<(), CliError> {
    let budget = parse_budget(Some(&options.budget))?;
    let operation = match &options.operation {
        Some(text) => parse_operation(text)?,
        None => OperationId::random(),
    };
    let shards = cx.settings()?.shards;
    let kv = cx.store()?;
    // Printed before the write, so that an interrupted command can be repeated with the id.
    eprintln!("operation {operation}");
    let existing = budget::read_account(kv.as_ref(), shards, &budget).await.context(LedgerSnafu)?;
    existing.context(UnknownBudgetSnafu { budget: budget.to_string() })?;
    let account = budget::top_up(kv.as_ref(), shards, &budget, options.tokens, operation)
        .await
        .context(TopUpSnafu { operation })?;
    print(&Report::new(&account, Some(operation)), options.json);
    Ok(())
}

/// Parses an operation id in hexadecimal.
///
/// # Errors
///
/// Fails with [`CliError::Argument`] if the text is no such id.
pub fn parse_operation(text: &str) -> Result<OperationId, CliError> {
    match u128::from_str_radix(text, 16) {
        Ok(id) => Ok(OperationId(id)),
        Err(_) => ArgumentSnafu { value: text, expected: "an id of 32 hexadecimal digits" }.fail(),
    }
}
