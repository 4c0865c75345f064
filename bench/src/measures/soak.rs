//! `soak`: runs the fault soak of entries and budget servers, one seed after the other.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use rosemarymoor_soak::{Plan, run as soak};
use serde_json::Value;

use super::print_line;
use crate::binary;
use crate::options::Options;

/// Runs `--seeds` consecutive seeds, starting with `--seed`. Stops at the first seed that
/// violates an invariant, and returns the report of the seed that ran last.
pub async fn run(options: &Options) -> io::Result<Value> {
    let binary = binary::daemon_path()?;
    let mut last = Value::Null;
    for seed in options.seed..options.seed + options.seeds {
        let plan = soak_plan(options, binary.clone(), seed);
        let report = soak(&plan).await?;
        print_line(format_args!(
            "seed {seed}: {} faults, {} requests, {} answered, {} of {} taken up, {} with a bad part, \
             {} of {} late ones reached a target, {} findings",
            report.faults,
            report.requests,
            report.answered,
            report.went_on,
            report.taken_up,
            report.bad_parts_reached,
            report.sent_late_reached,
            report.sent_late,
            report.findings.len()
        ));
        for finding in &report.findings {
            print_line(format_args!("  {finding}"));
        }
        let is_passed = report.findings.is_empty();
        last = serde_json::to_value(&report).map_err(io::Error::other)?;
        if !is_passed {
            break;
        }
    }
    Ok(last)
}

fn soak_plan(options: &Options, binary: PathBuf, seed: u64) -> Plan {
    let defaults = Plan::new(binary, seed);
    Plan {
        duration: options.seconds.map_or(defaults.duration, Duration::from_secs),
        entries: options.entries.unwrap_or(defaults.entries),
        budget_servers: options.sidecars.unwrap_or(defaults.budget_servers),
        restores: options.restores,
        notices: options.notices,
        limits: options.limits,
        crashes: options.crashes,
        stops: options.stops,
        logs: options.logs.as_ref().map(PathBuf::from),
        ..defaults
    }
}
