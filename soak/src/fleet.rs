//! Processes, targets, store and configuration of a run: starts and stops them, and checks that
//! the processes recover, stop and apply configurations in time.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use rosemarymoor_lib::budget::Shard;
use rosemarymoor_lib::budget::ceiling::{account_key, is_restore_reserve};
use rosemarymoor_lib::id::BudgetId;
use rosemarymoor_platform_standins::fleet::{LogOutput, Process, get, manifest_for};
use rosemarymoor_platform_standins::process::{
    self, EntryAddresses, budget_server_settings, free_address,
};
use rosemarymoor_platform_standins::store::StoreStandIn;
use rosemarymoor_testutils::fault_proxy::Link;
use rosemarymoor_testutils::temp_folder::TempFolder;
use rustix::process::Signal;
use serde_json::json;
use tokio::net::TcpStream;

use crate::Plan;
use crate::record::{Component, Record, Violation};
use crate::target::Target;

/// Longest time until an entry is ready after a fault, as the platform requires.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time until a process has ended after SIGTERM.
pub const STOP_TIMEOUT: Duration = Duration::from_millis(9_500);

/// Longest time until an entry applies an accepted configuration.
const MAX_APPLY_TIME: Duration = Duration::from_secs(3);

/// Time for which an entry keeps an idle connection; longer than it accepts requests while it stops.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of log lines that say why a process ended by itself.
const EXIT_LOG_LINES: usize = 3;

/// Pause between two checks of a state that is awaited.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Workspaces: name, API key and initially prepaid tokens. The budget of the first one runs out
/// during a run.
pub const WORKSPACES: [(&str, &str, u64); 2] =
    [("shop", "key-1", 60_000), ("farm", "key-2", 1_000_000_000)];

/// Name of a workspace's only budget.
const BUDGET: &str = "prepaid";

/// Process of the fleet and its link to the store.
pub struct Member {
    /// Name in the settings of the process.
    pub name: String,
    /// The process; locked by whoever stops, pauses or restarts it.
    pub process: tokio::sync::Mutex<Process>,
    /// Link to the store.
    pub link: Link,
    /// Addresses of an entry; `None` for a budget server.
    pub addresses: Option<EntryAddresses>,
    /// Where the process listens for the fleet's own calls.
    internal: SocketAddr,
    /// Number of starts so far.
    pub starts: AtomicU64,
}

/// Configuration accepted last.
struct Configuration {
    version: u64,
    /// Prepaid tokens of each workspace.
    prepaid: [u64; 2],
    /// When it was accepted.
    accepted_at: Instant,
}

/// Processes, stand-ins and record of a run.
pub struct Fleet {
    /// Stand-in of the platform's store.
    pub store: StoreStandIn,
    /// Entry processes.
    pub entries: Vec<Member>,
    /// Budget server processes.
    pub budget_servers: Vec<Member>,
    /// Record of the run.
    pub record: Record,
    /// Targets in the order of their starts, with those that have ended.
    targets: Mutex<Vec<Arc<Target>>>,
    configuration: Mutex<Configuration>,
    folder: TempFolder,
    /// Whether targets say in their answers that they are leaving, or ask for pauses.
    notices: bool,
    seed: u64,
}

impl Fleet {
    /// Starts targets and processes, and waits until the entries are ready.
    ///
    /// # Errors
    ///
    /// Fails if a port, file or process cannot be opened.
    pub async fn open(plan: &Plan) -> io::Result<Arc<Fleet>> {
        let store = StoreStandIn::spawn().await?;
        if plan.restores {
            store.state_era();
        }
        let folder = TempFolder::open()?;
        let prepaid = WORKSPACES.map(|workspace| workspace.2);
        let configuration = Configuration { version: 0, prepaid, accepted_at: Instant::now() };
        let mut fleet = Fleet {
            store,
            entries: Vec::new(),
            budget_servers: Vec::new(),
            record: Record::default(),
            targets: Mutex::new(Vec::new()),
            configuration: Mutex::new(configuration),
            folder,
            notices: plan.notices,
            seed: plan.seed,
        };
        fleet.configure(0);
        for _ in 0..plan.engines {
            fleet.add_target("models").await?;
        }
        for _ in 0..plan.applications {
            fleet.add_target("calls").await?;
        }
        for index in 0..plan.budget_servers {
            let member = fleet.start_member(plan, format!("side-{index}"), None).await?;
            fleet.budget_servers.push(member);
        }
        for index in 0..plan.entries {
            let addresses = EntryAddresses::allocate()?;
            let member =
                fleet.start_member(plan, format!("front-{index}"), Some(addresses)).await?;
            fleet.entries.push(member);
        }
        let fleet = Arc::new(fleet);
        fleet.await_recovery().await;
        for index in 0..fleet.entries.len() {
            tokio::spawn(watch_configuration(Arc::downgrade(&fleet), index));
        }
        Ok(fleet)
    }

    /// Starts a process; with `addresses` it is an entry, without a budget server.
    async fn start_member(
        &self,
        plan: &Plan,
        name: String,
        addresses: Option<EntryAddresses>,
    ) -> io::Result<Member> {
        let link = Link::bind_tcp(self.store.address()).await?;
        let internal = free_address()?;
        let settings = match &addresses {
            Some(addresses) => addresses.settings(&name, link.address(), internal),
            None => budget_server_settings(&name, link.address(), internal),
        };
        let path = self.path(&name, "ini");
        std::fs::write(&path, settings)?;
        let log = self.path(&name, "log");
        let process = process::spawn(&plan.binary, &path, &log, LogOutput::File)?;
        let process = tokio::sync::Mutex::new(process);
        Ok(Member { name, process, link, addresses, internal, starts: AtomicU64::new(1) })
    }

    /// Returns the path of a process's settings (`ini`) or log (`log`).
    fn path(&self, name: &str, kind: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.{kind}"))
    }

    /// Returns all processes, entries first.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.iter().chain(&self.budget_servers)
    }

    /// Returns all targets in the order of their starts, with those that have ended.
    pub fn targets(&self) -> Vec<Arc<Target>> {
        self.lock_targets().clone()
    }

    fn lock_targets(&self) -> MutexGuard<'_, Vec<Arc<Target>>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a target of a service and registers it as ready.
    ///
    /// # Errors
    ///
    /// Fails if no port can be opened.
    pub async fn add_target(&self, service: &'static str) -> io::Result<()> {
        let number = self.lock_targets().len();
        let seed = self.seed ^ ((number as u64) << 32);
        let target = Target::spawn(number, service, seed, self.notices).await?;
        self.register(&target, "ready");
        self.lock_targets().push(Arc::new(target));
        Ok(())
    }

    /// Writes a target's registration with a state.
    pub fn register(&self, target: &Target, state: &str) {
        let Target { id, service, version, link, .. } = target;
        self.store.register_version(id, service, link.address(), state, version);
    }

    /// Accepts the next configuration, which prepays `top_up` tokens more for the first workspace.
    pub fn configure(&self, top_up: u64) {
        let mut configuration = self.configuration.lock().unwrap_or_else(PoisonError::into_inner);
        configuration.version += 1;
        configuration.prepaid[0] += top_up;
        configuration.accepted_at = Instant::now();
        let workspaces = [0, 1]
            .map(|index| (WORKSPACES[index].0, WORKSPACES[index].1, configuration.prepaid[index]));
        let mut manifest = manifest_for(configuration.version, &workspaces);
        manifest["limits"]["idle_timeout_ms"] = json!(IDLE_TIMEOUT.as_millis());
        self.store.put("op/config", &manifest);
    }

    /// Returns the tokens that a workspace has prepaid in all.
    pub fn prepaid(&self, workspace: usize) -> u64 {
        let configuration = self.configuration.lock().unwrap_or_else(PoisonError::into_inner);
        configuration.prepaid[workspace]
    }

    /// Returns whether neither an entry nor the control plane had a fault since a moment, nor in
    /// the [`MAX_APPLY_TIME`] before it, in which the entry catches up after a fault.
    pub fn was_connected(&self, entry: usize, since: Instant) -> bool {
        let (from, to) = (since.checked_sub(MAX_APPLY_TIME).unwrap_or(since), Instant::now());
        let components = [Component::ControlPlane, Component::Entry(entry)];
        !components.iter().any(|component| self.record.was_affected(*component, from, to))
    }

    /// Returns the version of the latest configuration and when it was accepted.
    fn latest_configuration(&self) -> (u64, Instant) {
        let configuration = self.configuration.lock().unwrap_or_else(PoisonError::into_inner);
        (configuration.version, configuration.accepted_at)
    }

    /// Returns the tokens that the ledger counts as settled or granted to holders, without those
    /// that are set aside after a restore and that nobody is charged.
    pub fn charged_or_granted(&self, workspace: usize) -> u64 {
        let name = BUDGET.to_owned();
        let budget = BudgetId { workspace: WORKSPACES[workspace].0.to_owned(), name };
        let Some(value) = self.store.value(&account_key(&budget)) else { return 0 };
        let shard = Shard::decode(&value).expect("the ledger holds accounts");
        let account = shard.account(&budget).expect("the key names its account");
        let held = account.grants.iter().filter(|grant| !is_restore_reserve(grant.epoch));
        let granted: u64 = held.map(|grant| grant.granted).sum();
        account.settled + granted
    }

    /// Waits until every entry is ready; the first that is not ready in time is a violation.
    pub async fn await_recovery(&self) {
        let until = Instant::now() + RECOVERY_TIMEOUT;
        for entry in &self.entries {
            while !entry.is_ready().await {
                if Instant::now() > until {
                    self.record.add_violation(
                        Violation::NotRecovered,
                        format!("{} is not ready in time", entry.name),
                    );
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Stops all processes one after the other; entries first, since they return unspent tokens.
    pub async fn stop_all(&self) {
        for member in self.members() {
            let mut process = member.process.lock().await;
            if let Some(status) = process.exit_status() {
                self.add_own_exit(&member.name, status, &process.log());
                continue;
            }
            process.signal(Signal::TERM);
            self.check_exit(&member.name, process.wait_exit_code_within(STOP_TIMEOUT).await);
        }
    }

    /// Records that a process ended without having been stopped, with the end of its log.
    pub fn add_own_exit(&self, name: &str, status: ExitStatus, log: &str) {
        let lines: Vec<&str> = log.lines().collect();
        let last = lines[lines.len().saturating_sub(EXIT_LOG_LINES)..].join(" | ");
        self.record.add_violation(
            Violation::BadExit,
            format!("{name} ended by itself: {status}; its last lines: {last}"),
        );
    }

    /// Records a violation unless a stopped process ended in time with exit code 0.
    pub fn check_exit(&self, name: &str, code: Option<i32>) {
        if code != Some(0) {
            self.record.add_violation(
                Violation::BadExit,
                format!("{name} ended with exit code {code:?} after SIGTERM"),
            );
        }
    }

    /// Copies the logs of all processes to the subfolder `seed-<seed>` of a folder.
    ///
    /// # Errors
    ///
    /// Fails if the subfolder cannot be created or a log cannot be copied.
    pub fn copy_logs(&self, folder: &Path) -> io::Result<()> {
        let folder = folder.join(format!("seed-{}", self.seed));
        std::fs::create_dir_all(&folder)?;
        for member in self.members() {
            let log = format!("{}.log", member.name);
            std::fs::copy(self.path(&member.name, "log"), folder.join(log))?;
        }
        Ok(())
    }
}

impl Member {
    /// Returns whether the readiness check of an entry succeeds, or a budget server listens.
    pub async fn is_ready(&self) -> bool {
        let Some(addresses) = self.addresses else {
            return TcpStream::connect(self.internal).await.is_ok();
        };
        get(addresses.ready, "/readiness").await.is_some_and(|answer| answer.status == 200)
    }
}

/// Checks repeatedly that an entry applies new configurations in time and never goes back to an
/// older one.
async fn watch_configuration(fleet: Weak<Fleet>, index: usize) {
    let (mut starts_seen, mut highest, mut reported) = (0, 0, 0);
    loop {
        tokio::time::sleep(POLL_INTERVAL * 2).await;
        let Some(fleet) = fleet.upgrade() else { return };
        let entry = &fleet.entries[index];
        let Some(addresses) = entry.addresses else { return };
        let starts_before = entry.starts.load(Ordering::SeqCst);
        let (latest, accepted) = fleet.latest_configuration();
        let requested_at = Instant::now();
        let Some(answer) = get(addresses.metrics, "/metrics").await else { continue };
        if entry.starts.load(Ordering::SeqCst) != starts_before {
            continue;
        }
        let text = answer.text();
        let line = text.lines().find(|line| line.starts_with("catalog_version{"));
        let version = line.and_then(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        let Some(version) = version else { continue };
        if starts_before != starts_seen {
            (starts_seen, highest) = (starts_before, 0);
        }
        let name = &entry.name;
        if version < highest {
            let detail = format!("{name} went back from configuration {highest} to {version}");
            fleet.record.add_violation(Violation::ConfigReverted, detail);
        }
        highest = highest.max(version);
        let is_due = requested_at.duration_since(accepted) > MAX_APPLY_TIME;
        if is_due && version < latest && reported < latest && fleet.was_connected(index, accepted) {
            let detail = format!("{name} has configuration {version}, {latest} was accepted");
            fleet.record.add_violation(Violation::ConfigLate, detail);
            reported = latest;
        }
    }
}
