//! The measures: short scenarios, each with its own fleet, that share the load
//! generator and the verifier.

mod actions;
mod budgets;
mod choice;
mod config;
mod demo;
mod mix;
mod routing;
mod slopes;
mod soak;
mod streams;
mod timeline;

use std::io;

use rosemarymoor_testutils::fleet::{BudgetPlan, Fleet, FleetPlan};
use serde_json::Value;

use crate::binary;
use crate::options::Options;

/// Runs the measure that the options name and returns its JSON object.
///
/// # Errors
///
/// Fails if the measure is unknown or its fleet can't be started.
pub async fn run(options: &Options) -> io::Result<Value> {
    match options.measure.as_str() {
        "demo" => demo::run(options).await,
        "actions" => actions::run(options).await,
        "routing" => routing::run(options).await,
        "config" => config::run(options).await,
        "slopes" => slopes::run(options).await,
        "streams" => streams::run(options).await,
        "soak" => soak::run(options).await,
        "choice" => Ok(choice::run()),
        "budgets" => budgets::run(options).await,
        other => Err(io::Error::other(format!("unknown measure `{other}`"))),
    }
}

/// Returns the default fleet plan with the sizes and the policy that the options set.
fn fleet_plan(options: &Options) -> io::Result<FleetPlan> {
    let mut plan = FleetPlan::new(binary::daemon_path()?, options.seed);
    plan.entries = options.entries.unwrap_or(plan.entries);
    plan.engines = options.sidecars.unwrap_or(plan.engines);
    if let Some(policy) = &options.policy {
        plan.policy.clone_from(policy);
    }
    Ok(plan)
}

/// Returns `count` budgets of `tokens` tokens each, alternating between the two
/// workspaces.
fn equal_budgets(count: usize, tokens: u64) -> Vec<BudgetPlan> {
    let plan =
        |number| BudgetPlan { workspace: number % 2, name: format!("household-{number}"), tokens };
    (0..count).map(plan).collect()
}

/// Copies the processes' logs to the folder that the options name, if any.
fn save_logs(options: &Options, fleet: &Fleet) -> io::Result<()> {
    let Some(folder) = &options.logs else {
        return Ok(());
    };
    std::fs::create_dir_all(folder)?;
    for node in &fleet.nodes {
        let path = std::path::Path::new(folder).join(format!("{}.log", node.name));
        std::fs::write(path, node.daemon.log())?;
    }
    Ok(())
}

/// Prints a line to standard error, since standard output ends with the JSON object.
fn print_line(text: impl std::fmt::Display) {
    eprintln!("{text}");
}
