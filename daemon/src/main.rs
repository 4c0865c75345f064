//! `rosemarymoord`, the daemon: reads a settings file and runs the role that it names.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use gumdrop::Options;
use rosemarymoor_daemon::direct::settings::{DirectRole, DirectSettings};
use rosemarymoor_daemon::settings::Settings;
use rosemarymoor_daemon::{direct, entry, line_log, logging, sidecar};
use rosemarymoor_lib::host_list::Role;
use rosemarymoor_lib::ini::IniDocument;
use tokio::runtime::Builder;

/// Exit code for missing arguments or invalid settings.
const EXIT_BAD_ARGUMENTS: u8 = 2;
/// Exit code when the runtime cannot start or the role returns no valid exit code.
const EXIT_FAILED: u8 = 1;

/// Largest memory that the command line may name, in megabytes.
const MAX_MEMORY_MB: f64 = 1e6;

const BYTES_PER_MB: f64 = 1e6;

/// Runs the role that the settings file names: entry, sidecar or budget server.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(no_short, help = "check the settings file and exit")]
    check: bool,
    #[options(no_short, meta = "FILE", help = "settings file in INI form")]
    config: Option<PathBuf>,
    #[options(
        no_short,
        meta = "MB",
        help = "memory of a process of the platform's roles, in megabytes (default 88)"
    )]
    memory_mb: Option<f64>,
    #[options(free, help = "settings file, in place of --config")]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.version {
        println!("rosemarymoord {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = args.config.or(args.settings) else {
        eprintln!("rosemarymoord: no settings file given; usage: rosemarymoord --config FILE");
        return ExitCode::from(EXIT_BAD_ARGUMENTS);
    };
    let document = match IniDocument::open(&path) {
        Ok(document) => document,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(EXIT_BAD_ARGUMENTS);
        }
    };
    if args.memory_mb.is_some_and(|mb| !(mb > 0.0 && mb <= MAX_MEMORY_MB)) {
        eprintln!(
            "rosemarymoord: --memory-mb needs a number of megabytes, at most {MAX_MEMORY_MB}"
        );
        return ExitCode::from(EXIT_BAD_ARGUMENTS);
    }
    if DirectSettings::is_direct(&document) {
        return match DirectSettings::from_document(&document) {
            Ok(_) if args.check => valid(&path),
            Ok(mut settings) => {
                if let Some(mb) = args.memory_mb {
                    settings.memory_bytes = (mb * BYTES_PER_MB) as usize;
                }
                run_direct(settings, path)
            }
            Err(err) => {
                eprintln!("{err}");
                ExitCode::from(EXIT_BAD_ARGUMENTS)
            }
        };
    }
    match Settings::from_document(&document) {
        Ok(_) if args.check => valid(&path),
        Ok(settings) => run(settings),
        Err(err) => {
            eprintln!("{err}");
            ExitCode::from(EXIT_BAD_ARGUMENTS)
        }
    }
}

/// Reports valid settings for `--check`.
fn valid(path: &Path) -> ExitCode {
    println!("{}: the settings are valid", path.display());
    ExitCode::SUCCESS
}

/// Runs a role of direct delivery on a single-threaded runtime: its hosts have at most one core.
fn run_direct(settings: DirectSettings, path: PathBuf) -> ExitCode {
    line_log::start(settings.log_level);
    let code = run_on(Builder::new_current_thread(), async move {
        match settings.role {
            DirectRole::Entry => direct::entry_process::run(settings, path).await,
            DirectRole::BudgetServer => direct::budget_server::run(settings, path).await,
        }
    });
    line_log::flush();
    code
}

/// Runs an entry or a sidecar on a multi-threaded runtime.
fn run(settings: Settings) -> ExitCode {
    logging::start(settings.log_level);
    run_on(Builder::new_multi_thread(), async move {
        match settings.role {
            Role::Entry => entry::run(settings).await,
            Role::Sidecar => sidecar::run(settings).await,
        }
    })
}

/// Runs a role on a new runtime and returns its exit code.
fn run_on(mut runtime: Builder, role: impl Future<Output = i32>) -> ExitCode {
    match runtime.enable_all().build() {
        Ok(runtime) => {
            let code = runtime.block_on(role);
            ExitCode::from(u8::try_from(code).unwrap_or(EXIT_FAILED))
        }
        Err(err) => {
            eprintln!("rosemarymoord: the async runtime cannot start: {err}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
