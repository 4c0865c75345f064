//! `rosemarymoor`, the command-line tool for operators of a fleet.
//!
//! Exit codes: 0 success, 1 refused or failed, 2 bad arguments, 3 a service does
//! not answer, 4 the outcome is unknown and the command can be repeated.

mod commands;
mod context;
mod error;
mod ledger;
mod operator_settings;
mod output;
mod request_trace;

use std::process::ExitCode;

use gumdrop::Options;

use commands::Command;
use context::Context;
use error::CliError;

const EXIT_BAD_ARGUMENTS: u8 = 2;

/// Operates a rosemarymoor fleet.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// file with the operator's settings (default: rosemarymoor.ini)
    #[options(meta = "FILE")]
    settings: Option<String>,
    #[options(command)]
    command: Option<Command>,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let arguments = match Arguments::parse_args_default(&args) {
        Ok(arguments) => arguments,
        Err(err) => {
            eprintln!("error: {err}\n  hint: `rosemarymoor --help` lists the commands");
            return ExitCode::from(EXIT_BAD_ARGUMENTS);
        }
    };
    if arguments.help_requested() {
        println!("{}", usage(&arguments));
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("{}", usage(&arguments));
        return ExitCode::from(EXIT_BAD_ARGUMENTS);
    };
    let cx = Context::new(arguments.settings);
    match run(command, &cx) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{}", error::describe(&err));
            ExitCode::from(err.exit_code())
        }
    }
}

/// Runs a command on a single-threaded runtime.
fn run(command: Command, cx: &Context) -> Result<(), CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| CliError::Runtime { source })?;
    runtime.block_on(command.run(cx))
}

/// Returns the help text of the innermost command that was given.
fn usage(arguments: &Arguments) -> String {
    let mut innermost: &dyn Options = arguments;
    let mut path = vec!["rosemarymoor"];
    while let Some(command) = innermost.command() {
        path.extend(command.command_name());
        innermost = command;
    }
    let mut text = format!("Usage: {} [OPTIONS]\n\n{}", path.join(" "), innermost.self_usage());
    if let Some(list) = innermost.self_command_list() {
        text.push_str(&format!("\n\nCommands:\n{list}"));
    }
    text
}
