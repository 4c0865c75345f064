//! Fault soak: runs real entries and budget servers on loopback under constant load, with random
//! seeded faults injected from outside them.
//!
//! `load` sends the callers' requests, `faults` injects the faults, `record` keeps every
//! request and when each component had a fault, and `invariants` checks the run from what
//! callers and targets saw. A run ends with a fault-free part, in which every request has to be
//! answered.

mod crashes;
mod faults;
mod fleet;
mod invariants;
mod load;
mod record;
mod request;
mod stops;
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
    /// Time under faults, without start, recovery and the fault-free part.
    pub duration: Duration,
    /// Entry processes.
    pub entries: usize,
    /// Budget server processes.
    pub budget_servers: usize,
    /// Targets of the streaming routes at the start of the run.
    pub engines: usize,
    /// Targets of the other routes at the start of the run.
    pub applications: usize,
    /// Concurrent callers; each sends one request after the other.
    pub callers: usize,
    /// Whether the store is restored from copies of its contents at random times.
    pub restores: bool,
    /// Whether draining targets say in their answers that they are leaving, and rejections ask for
    /// a pause.
    pub notices: bool,
    /// Whether targets name limits of requests at random times.
    pub limits: bool,
    /// Whether requests come with a part in their prompts that crashes targets.
    pub crashes: bool,
    /// Whether entries are stopped in series, and callers send to them when they hardly accept.
    pub stops: bool,
    /// Folder to which the logs of a run with violations are copied.
    pub logs: Option<PathBuf>,
}

impl Plan {
    /// Returns the default plan: 11 processes, 8 targets and 24 callers, 20 s of faults.
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
            restores: false,
            notices: false,
            limits: false,
            crashes: false,
            stops: false,
            logs: None,
        }
    }
}

/// Outcome of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Entries and budget servers; restarts are not counted.
    pub processes: usize,
    /// Faults injected.
    pub faults: u64,
    /// Requests sent.
    pub requests: u64,
    /// Requests answered with status 200.
    pub answered: u64,
    /// Streams that callers took up.
    pub taken_up: u64,
    /// Streams that were taken up and went on.
    pub went_on: u64,
    /// Requests that callers sent to stopping entries later than those accept.
    pub sent_late: u64,
    /// Requests of these that reached a target.
    pub sent_late_reached: u64,
    /// Requests with a part that crashes targets that reached one.
    pub bad_parts_reached: u64,
    /// Violations of each invariant.
    #[serde(rename = "broken")]
    pub violations: ViolationCounts,
    /// Descriptions of the violations, one line each; a long list is cut.
    pub findings: Vec<String>,
}

/// Runs one seed.
///
/// # Errors
///
/// Fails if a process, a stand-in or a file of the run cannot be opened.
pub async fn run(plan: &Plan) -> io::Result<Report> {
    let fleet = Fleet::open(plan).await?;
    let callers = load::spawn(&fleet, plan);
    let faults = faults::run(&fleet, plan).await?;
    fleet.await_recovery().await;
    callers.stop().await;
    if plan.limits {
        load::teach_ends_of_limits(&fleet).await;
    }
    load::run_fault_free_part(&fleet).await;
    fleet.stop_all().await;
    let report = invariants::verify(&fleet, plan, faults);
    if let (Some(folder), false) = (&plan.logs, report.findings.is_empty()) {
        fleet.copy_logs(folder)?;
    }
    Ok(report)
}
