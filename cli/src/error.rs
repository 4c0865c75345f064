//! Errors of commands, with the exit code and the message for each.

use rosemarymoor_lib::budget::LedgerError;
use rosemarymoor_lib::config::store::{ApplyError, LoadError};
use rosemarymoor_lib::fleet_key::FleetKeyError;
use rosemarymoor_lib::id::OperationId;
use rosemarymoor_lib::ini::IniErrors;
use rosemarymoor_lib::kv_http::KvHttpError;
use rosemarymoor_lib::transport::TransportError;
use snafu::Snafu;

const EXIT_FAILED: u8 = 1;
const EXIT_BAD_ARGUMENTS: u8 = 2;
const EXIT_UNAVAILABLE: u8 = 3;
const EXIT_UNKNOWN: u8 = 4;
/// Maximum number of differences that the hint for a conflicting change lists.
const MAX_LISTED_DIFFERENCES: usize = 20;

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    #[snafu(display("the settings are not valid"))]
    Settings { errors: IniErrors },
    #[snafu(display("the configuration is not valid"))]
    Config { errors: IniErrors },
    #[snafu(display("`{value}` is not {expected}"))]
    Argument { value: String, expected: String },
    #[snafu(display("the URL of the key-value service is not valid"))]
    StoreUrl { source: KvHttpError },
    #[snafu(display("the host list is unavailable"))]
    Hosts,
    #[snafu(display("the platform's host list has no host `{name}`"))]
    UnknownHost { name: String },
    #[snafu(display("the fleet key cannot be used"))]
    FleetKey { source: FleetKeyError },
    #[snafu(display("the transport cannot start"))]
    Transport { source: TransportError },
    #[snafu(display("host `{name}` does not answer"))]
    Peer { name: String, source: TransportError },
    #[snafu(display("the change was not accepted"))]
    Apply { change: OperationId, base: u64, source: ApplyError },
    #[snafu(display("the stored configuration cannot be read"))]
    Load { source: LoadError },
    #[snafu(display("the store holds no configuration yet"))]
    NoConfig,
    #[snafu(display("the ledger refused operation {operation}"))]
    TopUp { operation: OperationId, source: LedgerError },
    #[snafu(display("the ledger cannot be read"))]
    Ledger { source: LedgerError },
    #[snafu(display("the configuration has no workspace `{name}`"))]
    UnknownWorkspace { name: String },
    #[snafu(display("budget `{budget}` does not exist"))]
    UnknownBudget { budget: String },
    #[snafu(display("no record of request {request} was found"))]
    UnknownRequest { request: String },
    #[snafu(display("cannot read the log {path}: {source}"))]
    ReadLog { path: String, source: std::io::Error },
    #[snafu(display("the runtime cannot start"))]
    Runtime { source: std::io::Error },
}

impl CliError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Argument { .. } => EXIT_BAD_ARGUMENTS,
            CliError::Hosts
            | CliError::Peer { .. }
            | CliError::Load { source: LoadError::StoreUnavailable }
            | CliError::Ledger { source: LedgerError::Unavailable }
            | CliError::TopUp {
                source: LedgerError::Unavailable | LedgerError::Contended, ..
            } => EXIT_UNAVAILABLE,
            CliError::TopUp { source: LedgerError::Unknown, .. } => EXIT_UNKNOWN,
            CliError::Apply { source, .. } => match source {
                ApplyError::Unknown { .. } => EXIT_UNKNOWN,
                ApplyError::Unavailable
                | ApplyError::Load { source: LoadError::StoreUnavailable } => EXIT_UNAVAILABLE,
                _ => EXIT_FAILED,
            },
            _ => EXIT_FAILED,
        }
    }

    /// Returns what the operator can do about the error, if anything is known to help.
    fn hint(&self) -> Option<String> {
        match self {
            CliError::Hosts | CliError::Load { .. } | CliError::Ledger { .. } => {
                Some("check `[platform]` in the settings and that the service is up".to_owned())
            }
            CliError::UnknownHost { .. } => {
                Some("`rosemarymoor status` lists the hosts".to_owned())
            }
            CliError::Peer { .. } => {
                Some("check that the process runs and that the fleet key is the same".to_owned())
            }
            CliError::Apply { change, base, source } => apply_hint(*change, *base, source),
            CliError::NoConfig | CliError::UnknownWorkspace { .. } => {
                Some("write it with `rosemarymoor config apply FOLDER`".to_owned())
            }
            CliError::TopUp { operation, .. } => {
                Some(format!("repeat it safely with `--operation {operation}`"))
            }
            CliError::UnknownBudget { .. } => {
                Some("open it with `rosemarymoor budget create`".to_owned())
            }
            CliError::UnknownRequest { .. } => Some(
                "records are kept for a short time only; search the logs for the id".to_owned(),
            ),
            _ => None,
        }
    }
}

/// Returns how to go on after a change was not accepted.
fn apply_hint(change: OperationId, base: u64, source: &ApplyError) -> Option<String> {
    match source {
        ApplyError::Conflict { winner, differences } => {
            let listed = differences.iter().take(MAX_LISTED_DIFFERENCES);
            let lines: Vec<String> =
                listed.map(|difference| format!("\n    {difference}")).collect();
            Some(format!(
                "merge your change with revision {} and apply it again; without the merge it would make these changes:{}\n    ({} in all)",
                winner.revision,
                lines.concat(),
                differences.len()
            ))
        }
        ApplyError::Unknown { .. } | ApplyError::Unavailable | ApplyError::Load { .. } => {
            Some(format!("repeat it safely with `--change {change} --base {base}`"))
        }
        ApplyError::NoBase => Some("apply it with `--base 0` to start anew".to_owned()),
        ApplyError::Encode { .. } => None,
    }
}

/// Returns the text for standard error: the error, its causes, and a hint.
pub fn describe(err: &CliError) -> String {
    let mut text = match err {
        CliError::Settings { errors } | CliError::Config { errors } => {
            format!("error: {err}\n{errors}")
        }
        _ => format!("error: {err}"),
    };
    let mut cause = std::error::Error::source(err);
    while let Some(source) = cause {
        text.push_str(&format!("\n  cause: {source}"));
        cause = source.source();
    }
    if let Some(hint) = err.hint() {
        text.push_str(&format!("\n  hint: {hint}"));
    }
    text
}
