//! Fleet of real entries and sidecars, with stand-ins for the platform and the targets.
//!
//! Unless [`FleetPlan::proxied`] is false, the processes reach each other and the platform
//! through the fault proxy, so that tests and the bench can cut any link and count its bytes.

mod ledger;
mod links;
mod plan;
mod ports;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rosemarymoor_lib::config::Config;
use rosemarymoor_lib::config::store::{Change, apply};
use rosemarymoor_lib::fleet_key::FleetKey;
use rosemarymoor_lib::host_list::{Host, HostState, Role};
use rosemarymoor_lib::id::OperationId;
use rosemarymoor_lib::kv_http::KvHttp;

use crate::application::ApplicationStandIn;
use crate::engine::EngineStandIn;
use crate::host_list::HostListStandIn;
use crate::kv::KvStandIn;
use crate::process::Daemon;
use crate::temp_folder::TempFolder;
pub use ledger::LedgerView;
use links::Links;
pub use plan::{BudgetPlan, FleetPlan};
use ports::Ports;

/// Time limit for one process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit for one process to stop gracefully.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Host of the fleet with its running process.
pub struct Node {
    /// Host name.
    pub name: String,
    /// Entry or sidecar.
    pub role: Role,
    /// Data centre of the host.
    pub data_center: String,
    /// QUIC address that the process itself is bound to, not that of a link to it.
    pub quic: SocketAddr,
    /// The process.
    pub daemon: Daemon,
}

/// Running fleet; dropping it kills every process.
pub struct Fleet {
    /// Plan from which the fleet was started.
    pub plan: FleetPlan,
    /// Key-value service.
    pub kv: KvStandIn,
    /// Host list.
    pub hosts: HostListStandIn,
    /// Engines, by number.
    pub engines: Vec<EngineStandIn>,
    /// Applications, by number.
    pub applications: Vec<ApplicationStandIn>,
    /// Entries first, then the sidecars of engines, then those of applications.
    pub nodes: Vec<Node>,
    /// Configuration applied last.
    pub config: Config,
    links: Links,
    fleet_key: String,
    /// Hosts as set in the host list, with their own addresses.
    listed_hosts: Vec<Host>,
    ports: Ports,
    folder: TempFolder,
}

/// Host whose process has not been started yet.
struct PlannedHost {
    name: String,
    role: Role,
    data_center: String,
    quic: SocketAddr,
    http: SocketAddr,
    /// Name and URL of the target that it serves, for a sidecar.
    target: Option<(String, String)>,
}

impl Fleet {
    /// Starts the stand-ins, seeds the store, starts every process and waits until all are
    /// ready.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in or process cannot be started, the store cannot be seeded, or a
    /// process does not become ready within 60 s.
    pub async fn open(plan: FleetPlan) -> io::Result<Fleet> {
        let kv = KvStandIn::bind(plan.seed).await?;
        let hosts = HostListStandIn::bind(plan.host_list_lag).await?;
        let mut engines = Vec::new();
        for number in 0..plan.engines {
            let seed = plan.seed.wrapping_add(number as u64);
            engines.push(EngineStandIn::bind(plan.engine.clone(), seed).await?);
        }
        let mut applications = Vec::new();
        for number in 0..plan.applications {
            let seed = plan.seed.wrapping_add(1_000 + number as u64);
            applications.push(ApplicationStandIn::bind(plan.application_service_time, seed).await?);
        }
        let fleet_key = FleetKey::generate().map_err(io::Error::other)?;
        let mut fleet = Fleet {
            config: plan.config(),
            folder: TempFolder::open()?,
            nodes: Vec::new(),
            listed_hosts: Vec::new(),
            ports: Ports::default(),
            links: Links::default(),
            fleet_key,
            plan,
            kv,
            hosts,
            engines,
            applications,
        };
        fleet.seed_store().await?;
        fleet.start().await?;
        Ok(fleet)
    }

    /// Returns a client of the store that bypasses the links and their faults.
    pub fn store(&self) -> KvHttp {
        KvHttp::open(&self.kv.server().url()).expect("the stand-in's URL is valid")
    }

    /// Returns the fleet key in base64.
    pub fn fleet_key(&self) -> &str {
        &self.fleet_key
    }

    /// Returns the base URLs of the entries.
    pub fn entry_urls(&self) -> Vec<String> {
        let entries = self.nodes.iter().filter(|node| node.role == Role::Entry);
        entries.map(|node| format!("http://{}", node.daemon.http())).collect()
    }

    /// Returns the indices of the entries in [`Fleet::nodes`].
    pub fn entries(&self) -> std::ops::Range<usize> {
        0..self.plan.entries
    }

    /// Returns the indices of the sidecars in [`Fleet::nodes`].
    pub fn sidecars(&self) -> std::ops::Range<usize> {
        self.plan.entries..self.nodes.len()
    }

    /// Returns the bytes that a process has exchanged with its peers, in both directions.
    pub fn peer_bytes(&self, node: usize) -> u64 {
        self.links.peer_bytes(&self.nodes[node].name)
    }

    /// Returns the bytes that a process has exchanged with the platform, in both directions.
    pub fn platform_bytes(&self, node: usize) -> u64 {
        self.links.platform_bytes(&self.nodes[node].name)
    }

    /// Cuts or heals the links between two processes, in both directions.
    pub fn set_cut(&self, a: usize, b: usize, cut: bool) {
        let (a, b) = (&self.nodes[a].name, &self.nodes[b].name);
        self.links.set_cut(a, b, cut);
        self.links.set_cut(b, a, cut);
    }

    /// Cuts or heals the links from a process to the store and the host list.
    pub fn set_platform_cut(&self, node: usize, cut: bool) {
        self.links.set_platform_cut(&self.nodes[node].name, cut);
    }

    /// Cuts or heals every link between `nodes` and the other processes and the platform.
    pub fn set_partition(&self, nodes: &[usize], cut: bool) {
        for node in nodes {
            self.set_platform_cut(*node, cut);
            for other in 0..self.nodes.len() {
                if !nodes.contains(&other) {
                    self.set_cut(*node, other, cut);
                }
            }
        }
    }

    /// Changes the state of a host in the host list.
    pub fn set_host_state(&mut self, node: usize, state: HostState) {
        let name = &self.nodes[node].name;
        self.listed_hosts
            .iter_mut()
            .filter(|host| host.name == *name)
            .for_each(|host| host.state = state);
        self.hosts.set_hosts(self.listed_hosts.clone());
    }

    /// Writes a configuration to the store as the next revision, which it returns.
    ///
    /// # Errors
    ///
    /// Fails if the configuration is not valid or cannot be written.
    pub async fn apply(&mut self, cfg: Config) -> io::Result<u64> {
        let change = Change::new(OperationId::random(), "bench");
        let applied = apply(&self.store(), &cfg, &change).await.map_err(io::Error::other)?;
        self.config = cfg;
        Ok(applied.revision)
    }

    /// Waits until every process answers that it is ready.
    ///
    /// # Errors
    ///
    /// Fails with the end of its log if a process exits or is not ready within 60 s.
    pub async fn wait_ready(&mut self) -> io::Result<()> {
        for node in &mut self.nodes {
            if !node.daemon.wait_ready(READY_TIMEOUT).await {
                let message = format!(
                    "{} did not become ready; end of its log: {}",
                    node.name,
                    tail(&node.daemon.log())
                );
                return Err(io::Error::other(message));
            }
        }
        Ok(())
    }

    /// Stops every process gracefully, entries first, and kills those that run after 30 s.
    ///
    /// Returns whether all of them exited with code 0 without being killed.
    pub async fn stop(&mut self) -> bool {
        let mut all_exited = true;
        for range in [self.entries(), self.sidecars()] {
            for node in &self.nodes[range.clone()] {
                node.daemon.resume();
                node.daemon.terminate();
            }
            for node in &mut self.nodes[range] {
                let status = node.daemon.wait_exit(STOP_TIMEOUT).await;
                all_exited &= status.is_some_and(|status| status.success());
                node.daemon.kill();
            }
        }
        all_exited
    }

    /// Writes the configuration and the ledger before any process runs.
    async fn seed_store(&self) -> io::Result<()> {
        let store = self.store();
        let change = Change::new(OperationId::random(), "bench");
        apply(&store, &self.config, &change).await.map_err(io::Error::other)?;
        ledger::seed(&store, self.plan.shards, &self.config.budgets).await
    }

    /// Lists the hosts, opens the links between them and starts their processes.
    async fn start(&mut self) -> io::Result<()> {
        let planned_hosts = self.plan_hosts()?;
        self.listed_hosts = planned_hosts.iter().map(|planned| self.listed_host(planned)).collect();
        self.hosts.set_hosts(self.listed_hosts.clone());
        for viewer in &planned_hosts {
            if self.plan.proxied {
                for host in planned_hosts.iter().filter(|host| host.name != viewer.name) {
                    let address = self.links.bind_peer(&viewer.name, &host.name, host.quic).await?;
                    self.hosts.set_address(&viewer.name, &host.name, address);
                }
            }
        }
        for planned in planned_hosts {
            let node = self.start_node(planned).await?;
            self.nodes.push(node);
        }
        self.wait_ready().await
    }

    /// Writes the settings file of a host and starts its process.
    async fn start_node(&mut self, planned: PlannedHost) -> io::Result<Node> {
        let (mut kv, mut hosts) = (self.kv.server().address(), self.hosts.server().address());
        if self.plan.proxied {
            kv = self.links.bind_platform(&planned.name, kv).await?;
            hosts = self.links.bind_platform(&planned.name, hosts).await?;
        }
        let settings = self.folder.path().join(format!("{}.ini", planned.name));
        std::fs::write(&settings, self.settings(&planned, kv, hosts))?;
        let log = self.folder.path().join(format!("{}.log", planned.name));
        let PlannedHost { name, role, data_center, quic, http, .. } = planned;
        let daemon = Daemon::spawn(&self.plan.binary, &settings, &log, http)?;
        Ok(Node { name, role, data_center, quic, daemon })
    }

    /// Returns the text of a host's settings file.
    fn settings(&self, planned: &PlannedHost, kv: SocketAddr, hosts: SocketAddr) -> String {
        let PlannedHost { name, role, data_center, quic, http, target, .. } = planned;
        let plan = &self.plan;
        let mut text = format!(
            "[process]\nname = {name}\nrole = {role}\ndata_center = {data_center}\n\
             region = {region}\nquic = {quic}\nhttp = {http}\nfleet_key = {key}\n\
             log_level = {level}\ndrain_ms = {drain_ms}\n\n\
             [platform]\nkv = http://{kv}\nhosts = http://{hosts}/viewers/{name}/hosts\n\n\
             [budgets]\nshards = {shards}\npolicy = {policy}\n\n\
             [config]\nparents = {parents}\n",
            region = plan.region,
            key = self.fleet_key,
            level = plan.log_level,
            drain_ms = plan.drain_ms,
            shards = plan.shards,
            policy = plan.policy,
            parents = plan.config_parents,
        );
        if let Some((target, url)) = target {
            text.push_str(&format!("\n[target]\nname = {target}\nurl = {url}\n"));
        }
        text
    }

    /// Returns the hosts to start: entries, then sidecars of engines, then of applications.
    fn plan_hosts(&mut self) -> io::Result<Vec<PlannedHost>> {
        let mut planned_hosts = Vec::new();
        for number in 0..self.plan.entries {
            planned_hosts.push(self.plan_host(
                FleetPlan::entry_host(number),
                Role::Entry,
                number,
                None,
            )?);
        }
        for number in 0..self.engines.len() {
            let url = self.engines[number].server().url();
            let target = (FleetPlan::engine_name(number), url);
            let name = FleetPlan::sidecar_host(&target.0);
            planned_hosts.push(self.plan_host(name, Role::Sidecar, number, Some(target))?);
        }
        for number in 0..self.applications.len() {
            let url = self.applications[number].server().url();
            let target = (FleetPlan::application_name(number), url);
            let name = FleetPlan::sidecar_host(&target.0);
            planned_hosts.push(self.plan_host(name, Role::Sidecar, number, Some(target))?);
        }
        Ok(planned_hosts)
    }

    /// Returns a host with newly allocated ports, in the data centre for its number.
    fn plan_host(
        &mut self,
        name: String,
        role: Role,
        number: usize,
        target: Option<(String, String)>,
    ) -> io::Result<PlannedHost> {
        let data_center = self.plan.data_center(number).to_owned();
        let (quic, http) = (self.ports.allocate()?, self.ports.allocate()?);
        Ok(PlannedHost { name, role, data_center, quic, http, target })
    }

    fn listed_host(&self, planned: &PlannedHost) -> Host {
        Host {
            name: planned.name.clone(),
            role: planned.role,
            address: planned.quic,
            data_center: planned.data_center.clone(),
            region: self.plan.region.clone(),
            state: HostState::Live,
        }
    }
}

/// Returns the last 8 lines of a log.
fn tail(log: &str) -> String {
    let lines: Vec<&str> = log.lines().rev().take(8).collect();
    lines.into_iter().rev().collect::<Vec<_>>().join("\n")
}
