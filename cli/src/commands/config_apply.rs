//! `config apply`: puts a folder in force as the next revision.

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

/// Checks a folder, writes it as the next revision and credits new budgets.
#[derive(Debug, Options)]
pub struct ApplyOptions {
    /// print this help
    help: bool,
    /// folder to apply
    #[options(free, required)]
    folder: String,
    /// refuse unless this revision is in force
    #[options(meta = "REVISION")]
    base: Option<u64>,
    /// id of an earlier try whose outcome is unknown; needs its --base
    #[options(meta = "ID")]
    change: Option<String>,
    /// only show what would change
    dry_run: bool,
    /// print JSON
    json: bool,
}

#[derive(Serialize)]
struct Report {
    change: String,
    revision: u64,
    repeated: bool,
    credited_budgets: usize,
    differences: Vec<Difference>,
}

/// Runs the command.
pub async fn run(options: &ApplyOptions, cx: &Context) -> Result<(), CliError> {
    let id = change_id(options)?;
    let folder = ConfigFolder::open(Path::new(&options.folder));
    let cfg = folder.map_err(|errors| CliError::Config { errors })?.config;
    let settings = cx.settings()?;
    let kv = cx.store()?;
    let (base, differences) = compare(kv.as_ref(), &cfg).await?;
    if options.dry_run {
        print_differences(&differences, options.json);
        return Ok(());
    }
    // The operator saw what differs from this base, so that nothing else may be replaced.
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

fn change_id(options: &ApplyOptions) -> Result<OperationId, CliError> {
    match &options.change {
        Some(value) if options.base.is_none() => {
            ArgumentSnafu { value, expected: "usable without `--base` of the earlier try" }.fail()
        }
        Some(text) => parse_operation(text),
        None => Ok(OperationId::random()),
    }
}

/// Revision in force and what the new configuration changes in it.
async fn compare(kv: &dyn KvStore, cfg: &Config) -> Result<(u64, Vec<Difference>), CliError> {
    let stored = load(kv).await.context(LoadSnafu)?;
    let held = stored.map(|stored| Config::clone(&stored.config)).unwrap_or_default();
    Ok((held.revision, held.differences(cfg)))
}

fn print(report: &Report, json: bool) {
    if json {
        return print_json(report);
    }
    print_differences(&report.differences, false);
    let repeated = if report.repeated { " by an earlier try" } else { "" };
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
