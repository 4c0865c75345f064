//! Processes, targets and configuration of a run.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use rosemarymoor_lib::budget::Shard;
use rosemarymoor_lib::budget::ceiling::account_key;
use rosemarymoor_lib::id::BudgetId;
use rosemarymoor_platform_standins::fleet::{LogReader, Process, get, manifest_for};
use rosemarymoor_platform_standins::process::{self, EntryAddresses, budget_server_settings};
use rosemarymoor_platform_standins::store::StoreStandIn;
use rosemarymoor_testutils::fault_proxy::Link;
use rosemarymoor_testutils::temp_folder::TempFolder;
use rustix::process::Signal;

use crate::Plan;
use crate::record::{Record, Struck, Violation};
use crate::target::Target;

/// Longest wait for a process to become ready, as the platform grants after a fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// Longest time that a process takes to end when it is told to.
pub const STOP_LIMIT: Duration = Duration::from_millis(9_500);

/// Time in which an accepted configuration is in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

const POLL: Duration = Duration::from_millis(100);

/// Workspaces: name, key and prepaid tokens at first. The first one runs dry.
pub const WORKSPACES: [(&str, &str, u64); 2] =
    [("shop", "key-1", 60_000), ("farm", "key-2", 1_000_000_000)];

/// Name of a workspace's only budget.
const BUDGET: &str = "prepaid";

/// Process with its ways.
pub struct Member {
    pub name: String,
    pub process: tokio::sync::Mutex<Process>,
    /// Way to the store.
    pub link: Link,
    /// Addresses of an entry; `None` for a budget server.
    pub addresses: Option<EntryAddresses>,
    /// Starts so far.
    pub starts: AtomicU64,
}

struct Configuration {
    version: u64,
    prepaid: [u64; 2],
    accepted: Instant,
}

/// Everything that a run plays with.
pub struct Fleet {
    pub store: StoreStandIn,
    pub entries: Vec<Member>,
    pub budget_servers: Vec<Member>,
    pub record: Record,
    targets: Mutex<Vec<Arc<Target>>>,
    configuration: Mutex<Configuration>,
    folder: TempFolder,
    seed: u64,
}

impl Fleet {
    /// Starts all processes and waits until the entries are ready.
    pub async fn open(plan: &Plan) -> io::Result<Arc<Fleet>> {
        let store = StoreStandIn::spawn().await?;
        let folder = TempFolder::open()?;
        let prepaid = WORKSPACES.map(|workspace| workspace.2);
        let configuration = Configuration { version: 0, prepaid, accepted: Instant::now() };
        let mut fleet = Fleet {
            store,
            entries: Vec::new(),
            budget_servers: Vec::new(),
            record: Record::default(),
            targets: Mutex::new(Vec::new()),
            configuration: Mutex::new(configuration),
            folder,
            seed: plan.seed,
        };
        fleet.configure(0);
        for _ in 0..plan.engines {
            fleet.add_target("models").await?;
        }
        for _ in 0..plan.applications {
            fleet.add_target("calls").await?;
        }
        for at in 0..plan.budget_servers {
            let member = fleet.start(plan, format!("side-{at}"), None).await?;
            fleet.budget_servers.push(member);
        }
        for at in 0..plan.entries {
            let addresses = EntryAddresses::open()?;
            let member = fleet.start(plan, format!("front-{at}"), Some(addresses)).await?;
            fleet.entries.push(member);
        }
        let fleet = Arc::new(fleet);
        fleet.await_recovery().await;
        for at in 0..fleet.entries.len() {
            tokio::spawn(watch_configuration(Arc::downgrade(&fleet), at));
        }
        Ok(fleet)
    }

    async fn start(
        &self,
        plan: &Plan,
        name: String,
        addresses: Option<EntryAddresses>,
    ) -> io::Result<Member> {
        let link = Link::bind_tcp(self.store.address()).await?;
        let settings = match &addresses {
            Some(addresses) => addresses.settings(&name, link.address())?,
            None => budget_server_settings(&name, link.address())?,
        };
        let path = self.path(&name, "ini");
        std::fs::write(&path, settings)?;
        let log = self.path(&name, "log");
        let process = process::spawn(&plan.binary, &path, &log, LogReader::File)?;
        let process = tokio::sync::Mutex::new(process);
        Ok(Member { name, process, link, addresses, starts: AtomicU64::new(1) })
    }

    fn path(&self, name: &str, kind: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.{kind}"))
    }

    /// All processes.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.iter().chain(&self.budget_servers)
    }

    /// All targets that ever were, in the order in which they came.
    pub fn targets(&self) -> Vec<Arc<Target>> {
        self.lock_targets().clone()
    }

    fn lock_targets(&self) -> MutexGuard<'_, Vec<Arc<Target>>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts and registers a target.
    pub async fn add_target(&self, service: &'static str) -> io::Result<()> {
        let number = self.lock_targets().len();
        let seed = self.seed ^ ((number as u64) << 32);
        let target = Target::spawn(number, service, seed).await?;
        self.store.register(&target.id, service, target.link.address(), "ready");
        self.lock_targets().push(Arc::new(target));
        Ok(())
    }

    /// Accepts the next configuration, which prepays more for the first workspace.
    pub fn configure(&self, more: u64) {
        let mut held = self.configuration.lock().unwrap_or_else(PoisonError::into_inner);
        held.version += 1;
        held.prepaid[0] += more;
        held.accepted = Instant::now();
        let workspaces = [0, 1].map(|at| (WORKSPACES[at].0, WORKSPACES[at].1, held.prepaid[at]));
        self.store.put("op/config", &manifest_for(held.version, &workspaces));
    }

    /// Tokens that a workspace has prepaid in all.
    pub fn prepaid(&self, workspace: usize) -> u64 {
        let held = self.configuration.lock().unwrap_or_else(PoisonError::into_inner);
        held.prepaid[workspace]
    }

    /// Whether an entry ran and had all its ways since a moment, and before it for
    /// the time in which it makes up for what it missed.
    pub fn was_in_touch(&self, entry: usize, since: Instant) -> bool {
        let (from, to) = (since.checked_sub(APPLY_LIMIT).unwrap_or(since), Instant::now());
        let struck = [Struck::Control, Struck::Entry(entry)];
        !struck.iter().any(|struck| self.record.was_struck(*struck, from, to))
    }

    fn newest(&self) -> (u64, Instant) {
        let held = self.configuration.lock().unwrap_or_else(PoisonError::into_inner);
        (held.version, held.accepted)
    }

    /// Tokens that the ledger counts as spent or granted to holders.
    pub fn booked(&self, workspace: usize) -> u64 {
        let name = BUDGET.to_owned();
        let budget = BudgetId { workspace: WORKSPACES[workspace].0.to_owned(), name };
        let Some(value) = self.store.value(&account_key(&budget)) else { return 0 };
        let shard = Shard::decode(&value).expect("the ledger holds accounts");
        let account = shard.account(&budget).expect("the key names its account");
        let granted: u64 = account.grants.iter().map(|grant| grant.granted).sum();
        account.settled + granted
    }

    /// Waits until every entry is ready; a breach if one is not in time.
    pub async fn await_recovery(&self) {
        let until = Instant::now() + RECOVERY_LIMIT;
        for entry in &self.entries {
            while !entry.is_ready().await {
                if Instant::now() > until {
                    self.record
                        .breach(Violation::NotRecovered, format!("{} not ready", entry.name));
                    return;
                }
                tokio::time::sleep(POLL).await;
            }
        }
    }

    /// Tells all processes to stop; entries first, which hand money back.
    pub async fn stop_all(&self) {
        for member in self.members() {
            let mut process = member.process.lock().await;
            if !process.is_running() {
                self.record.breach(Violation::BadExit, format!("{} ended by itself", member.name));
                continue;
            }
            process.signal(Signal::TERM);
            self.note_exit(&member.name, process.ended_within(STOP_LIMIT).await);
        }
    }

    /// Judges the exit of a process that was told to stop.
    pub fn note_exit(&self, name: &str, code: Option<i32>) {
        if code != Some(0) {
            self.record.breach(Violation::BadExit, format!("{name} stopped with {code:?}"));
        }
    }

    /// Copies all logs to a folder.
    pub fn keep_logs(&self, folder: &Path) -> io::Result<()> {
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
    /// Whether the readiness check is answered well.
    pub async fn is_ready(&self) -> bool {
        let Some(addresses) = self.addresses else { return true };
        get(addresses.ready, "/readiness").await.is_some_and(|answer| answer.status == 200)
    }
}

/// Follows the version that an entry has in force.
async fn watch_configuration(fleet: Weak<Fleet>, at: usize) {
    let (mut start, mut highest, mut reported) = (0, 0, 0);
    loop {
        tokio::time::sleep(POLL * 2).await;
        let Some(fleet) = fleet.upgrade() else { return };
        let entry = &fleet.entries[at];
        let Some(addresses) = entry.addresses else { return };
        let begun = entry.starts.load(Ordering::SeqCst);
        let (newest, accepted) = fleet.newest();
        let asked = Instant::now();
        let Some(answer) = get(addresses.metrics, "/metrics").await else { continue };
        if entry.starts.load(Ordering::SeqCst) != begun {
            continue;
        }
        let text = answer.text();
        let line = text.lines().find(|line| line.starts_with("catalog_version{"));
        let version = line.and_then(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        let Some(version) = version else { continue };
        if begun != start {
            (start, highest) = (begun, 0);
        }
        let name = &entry.name;
        if version < highest {
            let detail = format!("{name} went from version {highest} to {version}");
            fleet.record.breach(Violation::Reverted, detail);
        }
        highest = highest.max(version);
        let is_due = asked.duration_since(accepted) > APPLY_LIMIT;
        if is_due && version < newest && reported < newest && fleet.was_in_touch(at, accepted) {
            let detail = format!("{name} has version {version}, {newest} was accepted");
            fleet.record.breach(Violation::NotInForce, detail);
            reported = newest;
        }
    }
}
