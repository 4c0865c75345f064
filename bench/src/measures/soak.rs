//! Fault soak of the platform's roles, one seed after the other.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use rosemarymoor_soak::{Plan, run as soak};
use serde_json::Value;

use super::say;
use crate::binary;
use crate::options::Options;

/// Plays `--seeds` seeds from `--seed` on; answers the last one's report, or the
/// first one with a broken promise.
pub async fn run(options: &Options) -> io::Result<Value> {
    let binary = binary::daemon()?;
    let mut last = Value::Null;
    for seed in options.seed..options.seed + options.seeds {
        let plan = plan(options, binary.clone(), seed);
        let report = soak(&plan).await?;
        say(format_args!(
            "seed {seed}: {} faults, {} requests, {} answered, {} findings",
            report.faults,
            report.requests,
            report.answered,
            report.findings.len()
        ));
        for finding in &report.findings {
            say(format_args!("  {finding}"));
        }
        let is_good = report.findings.is_empty();
        last = serde_json::to_value(&report).map_err(io::Error::other)?;
        if !is_good {
            break;
        }
    }
    Ok(last)
}

fn plan(options: &Options, binary: PathBuf, seed: u64) -> Plan {
    let sizes = Plan::new(binary, seed);
    Plan {
        duration: options.seconds.map_or(sizes.duration, Duration::from_secs),
        entries: options.entries.unwrap_or(sizes.entries),
        budget_servers: options.sidecars.unwrap_or(sizes.budget_servers),
        logs: options.logs.as_ref().map(PathBuf::from),
        ..sizes
    }
}
