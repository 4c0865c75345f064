//! Fault soak: real entries and budget servers on loopback, random seeded faults
//! from outside them, and callers that never stop.
//!
//! The promises are checked from what callers and targets see:
//! [`load`] plays the callers, [`faults`] strikes, [`record`] keeps who was
//! disturbed when, and [`invariants`] judges. A run ends with a calm part, in which
//! everything has to work again.

mod faults;
mod fleet;
mod invariants;
mod load;
mod record;
mod target;

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use serde::Serialize;

use fleet::Fleet;
pub use invariants::ViolationCounts;

/// Size and length of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Executable of the daemon.
    pub binary: PathBuf,
    /// Seed of load and faults.
    pub seed: u64,
    /// Time under faults.
    pub duration: Duration,
    pub entries: usize,
    pub budget_servers: usize,
    pub engines: usize,
    pub applications: usize,
    /// Callers that send one request after the other.
    pub callers: usize,
    /// Folder that keeps the logs of a run with a broken promise.
    pub logs: Option<PathBuf>,
}

impl Plan {
    /// The usual size: a few dozen processes and targets, twenty seconds.
    pub fn new(binary: PathBuf, seed: u64) -> Plan {
        Plan {
            binary,
            seed,
            duration: Duration::from_secs(20),
            entries: 6,
            budget_servers: 5,
            engines: 5,
            applications: 3,
            callers: 24,
            logs: None,
        }
    }
}

/// Outcome of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub seed: u64,
    /// Processes of the product, without restarts.
    pub processes: usize,
    pub faults: u64,
    pub requests: u64,
    /// Requests that got the whole answer of a target.
    pub answered: u64,
    /// One count a promise.
    #[serde(rename = "broken")]
    pub violations: ViolationCounts,
    /// What was seen, one line for each breach.
    pub findings: Vec<String>,
}

/// Plays one seed.
pub async fn run(plan: &Plan) -> io::Result<Report> {
    let fleet = Fleet::open(plan).await?;
    let callers = load::spawn(&fleet, plan);
    let faults = faults::play(&fleet, plan).await?;
    fleet.await_recovery().await;
    callers.stop().await;
    load::play_calm_part(&fleet).await;
    fleet.stop_all().await;
    let report = invariants::judge(&fleet, plan, faults);
    if let (Some(folder), false) = (&plan.logs, report.findings.is_empty()) {
        fleet.keep_logs(folder)?;
    }
    Ok(report)
}
