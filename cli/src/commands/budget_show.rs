//! `budget show`: shows the tokens of a budget, with the report that all budget commands
//! print.

use gumdrop::Options;
use rosemarymoor_lib::budget::{self, Account};
use rosemarymoor_lib::id::OperationId;
use serde::Serialize;
use snafu::{OptionExt, ResultExt};

use crate::context::Context;
use crate::error::{CliError, LedgerSnafu, UnknownBudgetSnafu};
use crate::ledger::parse_budget;
use crate::output::print_json;

/// Shows the prepaid, spent, granted and free tokens recorded in the ledger.
#[derive(Debug, Options)]
pub struct ShowOptions {
    /// print this help
    help: bool,
    /// budget as WORKSPACE/NAME
    #[options(free, required)]
    budget: String,
    /// print JSON
    json: bool,
}

/// Printed state of a budget, in tokens.
#[derive(Serialize)]
pub struct Report {
    budget: String,
    prepaid: u64,
    /// Tokens known to be spent.
    spent: u64,
    /// Tokens granted to entries and not known to be spent.
    granted: u64,
    /// Tokens neither spent nor granted.
    free: u64,
    /// Id of the top-up that the report follows.
    #[serde(skip_serializing_if = "Option::is_none")]
    operation: Option<String>,
}

impl Report {
    /// Creates the report of an account, after an operation on it if one is given.
    pub fn new(account: &Account, operation: Option<OperationId>) -> Report {
        Report {
            budget: account.budget.to_string(),
            prepaid: account.prepaid,
            spent: account.spent(),
            granted: account.grants.iter().map(|grant| grant.open_tokens()).sum(),
            free: account.free(),
            operation: operation.map(|operation| operation.to_string()),
        }
    }
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the budget does not exist or the ledger cannot be read.
pub async fn run(options: &ShowOptions, cx: &Context) -> Result<(), CliError> {
    let budget = parse_budget(Some(&options.budget))?;
    let shards = cx.settings()?.shards;
    let kv = cx.store()?;
    let account = budget::read_account(kv.as_ref(), shards, &budget).await.context(LedgerSnafu)?;
    let account = account.context(UnknownBudgetSnafu { budget: budget.to_string() })?;
    print(&Report::new(&account, None), options.json);
    Ok(())
}

/// Prints a report as JSON or as one line of text.
pub fn print(report: &Report, json: bool) {
    if json {
        return print_json(report);
    }
    println!(
        "{}: {} prepaid, {} spent, {} granted to entries, {} free",
        report.budget, report.prepaid, report.spent, report.granted, report.free
    );
}
