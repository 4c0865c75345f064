//! Subcommands of `rosemarymoor`: their arguments, and the dispatch to one module each.

mod budget_create;
mod budget_show;
mod budget_top_up;
mod codes;
mod config_apply;
mod config_check;
mod config_history;
mod config_show;
mod drain;
mod explain;
mod keygen;
mod status;

use gumdrop::Options;

use crate::context::Context;
use crate::error::{ArgumentSnafu, CliError};

/// Top-level command.
#[derive(Debug, Options)]
pub enum Command {
    /// check, apply and show the configuration
    Config(ConfigOptions),
    /// create, top up and show prepaid budgets
    Budget(BudgetOptions),
    /// show the status of every process of the fleet
    Status(status::StatusOptions),
    /// make one process finish its requests and exit
    Drain(drain::DrainOptions),
    /// show what the fleet knows about a request
    Explain(explain::ExplainOptions),
    /// list the result codes of refused requests
    Codes(codes::CodesOptions),
    /// generate a fleet key or a workspace key
    Keygen(keygen::KeygenOptions),
}

/// Checks, applies and shows the configuration.
#[derive(Debug, Options)]
pub struct ConfigOptions {
    /// print this help
    help: bool,
    #[options(command, required)]
    command: Option<ConfigCommand>,
}

/// Subcommand of `config`.
#[derive(Debug, Options)]
pub enum ConfigCommand {
    /// check a folder without accessing the store
    Check(config_check::CheckOptions),
    /// store a folder as the next revision
    Apply(config_apply::ApplyOptions),
    /// show the current revision, or a folder
    Show(config_show::ShowOptions),
    /// list the revisions with their times and authors
    History(config_history::HistoryOptions),
}

/// Creates, tops up and shows prepaid budgets.
#[derive(Debug, Options)]
pub struct BudgetOptions {
    /// print this help
    help: bool,
    #[options(command, required)]
    command: Option<BudgetCommand>,
}

/// Subcommand of `budget`.
#[derive(Debug, Options)]
pub enum BudgetCommand {
    /// create a budget with its first tokens
    Create(budget_create::CreateOptions),
    /// credit tokens to a budget
    TopUp(budget_top_up::TopUpOptions),
    /// show the tokens of a budget
    Show(budget_show::ShowOptions),
}

impl Command {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails with the error to print; [`CliError::exit_code`] is the exit code for it.
    pub async fn run(self, cx: &Context) -> Result<(), CliError> {
        match self {
            Command::Config(options) => match options.command {
                Some(ConfigCommand::Check(options)) => config_check::run(&options),
                Some(ConfigCommand::Apply(options)) => config_apply::run(&options, cx).await,
                Some(ConfigCommand::Show(options)) => config_show::run(&options, cx).await,
                Some(ConfigCommand::History(options)) => config_history::run(&options, cx).await,
                None => missing_command("config check, apply, show or history"),
            },
            Command::Budget(options) => match options.command {
                Some(BudgetCommand::Create(options)) => budget_create::run(&options, cx).await,
                Some(BudgetCommand::TopUp(options)) => budget_top_up::run(&options, cx).await,
                Some(BudgetCommand::Show(options)) => budget_show::run(&options, cx).await,
                None => missing_command("budget create, top-up or show"),
            },
            Command::Status(options) => status::run(&options, cx).await,
            Command::Drain(options) => drain::run(&options, cx).await,
            Command::Explain(options) => explain::run(&options, cx).await,
            Command::Codes(options) => codes::run(&options),
            Command::Keygen(options) => keygen::run(&options),
        }
    }
}

/// Returns the error for a group of commands that is named without one of them.
fn missing_command(expected: &str) -> Result<(), CliError> {
    ArgumentSnafu { value: "", expected }.fail()
}
