//! `config check`: checks a folder without accessing the store.

use std::path::Path;

use gumdrop::Options;
use rosemarymoor_lib::config::ConfigFolder;
use serde::Serialize;

use crate::error::CliError;
use crate::output::print_json;

/// Checks a folder of INI files, merged in the order of their names.
#[derive(Debug, Options)]
pub struct CheckOptions {
    /// print this help
    help: bool,
    /// folder to check
    #[options(free, required)]
    folder: String,
    /// print JSON
    json: bool,
}

/// Printed sizes of a valid configuration.
#[derive(Serialize)]
struct Report {
    workspaces: usize,
    budgets: usize,
    routes: usize,
    targets: usize,
}

/// Runs the command.
///
/// # Errors
///
/// Fails with [`CliError::Config`] if the folder is not valid.
pub fn run(options: &CheckOptions) -> Result<(), CliError> {
    let folder = ConfigFolder::open(Path::new(&options.folder));
    let cfg = folder.map_err(|errors| CliError::Config { errors })?.config;
    let report = Report {
        workspaces: cfg.workspaces.len(),
        budgets: cfg.budgets.len(),
        routes: cfg.routes.len(),
        targets: cfg.targets.len(),
    };
    if options.json {
        print_json(&report);
    } else {
        println!(
            "valid: {} workspaces, {} budgets, {} routes, {} targets",
            report.workspaces, report.budgets, report.routes, report.targets
        );
    }
    Ok(())
}
