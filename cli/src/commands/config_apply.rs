//! `config apply`: stores a folder as the next revision of the configuration.

use std::path::Path;

use gumdrop::Options;
use rosemarymoor_lib::config::store::{Change, apply, load};
use rosemarymoor_lib::config::{Config, ConfigFolder, Difference};
use rosemarymoor_lib::id::OperationId;
use rosemarymoor_lib::kv_store::KvStore;
use serde::Serialize;
use snafu::ResultExt;

use crate::context::Context;
use crate::error::{ApplySnafu, ArgumentSnafu, CliError, LoadSnafu};
use crate::ledger::credit_initial;
use crate::output::print_json;

use super::budget_top_up::parse_operation;

/// Checks a folder, stores it as the next revision and credits new budgets.
#[derive(Debug, Options)]
pub struct ApplyOptions {
    /// print this help
    help: bool,
    /// folder to apply
    #[options(free, required)]
    folder: String,
    /// refuse unless this is the current revision
    #[options(meta = "REVISION")]
    base: Option<u64>,
    /// id of an earlier attempt whose outcome is unknown; requires the --base of that attempt
    #[options(meta = "ID")]
    change: Option<String>,
    /// only show the differences to the current revision
    dry_run: bool,
    /// print JSON
    json: bool,
}

/// Printed outcome of an accepted change.
#[derive(Serialize)]
struct Report {
    /// Id of the change.
    change: String,
    /// Revision that the change became.
    revision: u64,
    /// Whether an earlier attempt had already been accepted.
    repeated: bool,
    /// Number of budgets that received their initial tokens.
    credited_budgets: usize,
    /// Differences to the revision that was current before this command.
    differences: Vec<Difference>,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the folder is not valid, the change is not accepted or its outcome is unknown, or
/// an initial credit fails.
pub async fn run(options: &ApplyOptions, cx: &Context) -> Result<(), CliError> {
    let id = change_id(options)?;
    let folder = ConfigFolder::open(Path::new(&options.folder));
    let cfg = folder.map_err(|errors| CliError::Config { errors })?.config;
    let settings = cx.settings()?;
    let kv = cx.store()?;
    let (base, differences) = compare_to_current(kv.as_ref(), &cfg).await?;
    if options.dry_run {
        print_differences(&differences, options.json);
        return Ok(());
    }
    // The differences refer to this revision, so the change must not replace a newer one.
    let base = options.base.unwrap_or(base);
    let change = Change { base: Some(base), ..Change::new(id, settings.name) };
    eprintln!("change {id} on base {base}");
    let applied =
        apply(kv.as_ref(), &cfg, &change).await.context(ApplySnafu { change: id, base })?;
    let credited = credit_initial(kv.as_ref(), settings.shards, &cfg).await?;
    let report = Report {
        change: id.to_string(),
        revision: applied.revision,
        repeated: applied.repeated,
        credited_budgets: credited,
        differences,
    };
    print(&report, options.json);
    Ok(())
}

/// Returns the id of the change: that of an earlier attempt, or a random one.
fn change_id(options: &ApplyOptions) -> Result<OperationId, CliError> {
    match &options.change {
        Some(value) if options.base.is_none() => {
            ArgumentSnafu { value, expected: "usable without `--base` of the earlier attempt" }
                .fail()
        }
        Some(text) => parse_operation(text),
        None => Ok(OperationId::random()),
    }
}

/// Returns the current revision and what the new configuration changes in it.
async fn compare_to_current(
    kv: &dyn KvStore,
    cfg: &Config,
) -> Result<(u64, Vec<Difference>), CliError> {
    let stored = load(kv).await.context(LoadSnafu)?;
    let current = stored.map(|stored| Config::clone(&stored.config)).unwrap_or_default();
    Ok((current.revision, current.differences(cfg)))
}

fn print(report: &Report, json: bool) {
    if json {
        return print_json(report);
    }
    print_differences(&report.differences, false);
    let repeated = if report.repeated { " by an earlier attempt" } else { "" };
    println!("accepted as revision {}{repeated}", report.revision);
    if report.credited_budgets > 0 {
        println!("credited the initial tokens of {} budgets", report.credited_budgets);
    }
}

fn print_differences(differences: &[Difference], json: bool) {
    if json {
        return print_json(&differences);
    }
    if differences.is_empty() {
        println!("no differences");
    }
    for difference in differences {
        println!("{difference}");
    }
}
