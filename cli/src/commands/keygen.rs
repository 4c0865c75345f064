//! `keygen`: generates a fleet key or a workspace key.

use gumdrop::Options;
use rosemarymoor_lib::fleet_key::FleetKey;
use rosemarymoor_lib::workspace_key;
use serde::Serialize;
use snafu::ResultExt;

use crate::error::{CliError, FleetKeySnafu};
use crate::output::print_json;

/// Generates a fleet key or, with --workspace, a caller's key and its digest.
#[derive(Debug, Options)]
pub struct KeygenOptions {
    /// print this help
    help: bool,
    /// generate a workspace key instead of a fleet key
    workspace: bool,
    /// print JSON
    json: bool,
}

/// Printed fleet key.
#[derive(Serialize)]
struct FleetReport {
    fleet_key: String,
}

/// Printed workspace key with the digest for the configuration.
#[derive(Serialize)]
struct WorkspaceReport {
    key: String,
    key_digest: String,
}

/// Runs the command.
///
/// # Errors
///
/// Fails with [`CliError::FleetKey`] if a fleet key cannot be generated.
pub fn run(options: &KeygenOptions) -> Result<(), CliError> {
    if options.workspace { workspace_key(options.json) } else { fleet_key(options.json) }
}

fn fleet_key(json: bool) -> Result<(), CliError> {
    let report = FleetReport { fleet_key: FleetKey::generate().context(FleetKeySnafu)? };
    if json {
        print_json(&report);
    } else {
        println!("fleet_key = {}", report.fleet_key);
    }
    Ok(())
}

fn workspace_key(json: bool) -> Result<(), CliError> {
    let key = workspace_key::generate();
    let report = WorkspaceReport { key_digest: workspace_key::digest(&key), key };
    if json {
        print_json(&report);
    } else {
        println!("; give the key to the caller, write the digest into the configuration");
        println!("; key = {}", report.key);
        println!("key_digests = {}", report.key_digest);
    }
    Ok(())
}
