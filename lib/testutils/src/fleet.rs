//! Fleet of real processes behind the fault proxy, with the platform stood in.

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

const READY_LIMIT: Duration = Duration::from_secs(60);
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// One host with its process.
pub struct Node {
    pub name: String,
    pub role: Role,
    pub data_center: String,
    /// QUIC address that the process itself is bound to.
    pub quic: SocketAddr,
    pub daemon: Daemon,
}

/// Running fleet; every process is killed when it is dropped.
pub struct Fleet {
    pub plan: FleetPlan,
    pub kv: KvStandIn,
    pub hosts: HostListStandIn,
    pub engines: Vec<EngineStandIn>,
    pub applications: Vec<ApplicationStandIn>,
    /// Entries first, then the sidecars of engines, then those of applications.
    pub nodes: Vec<Node>,
    /// Configuration that was applied last.
    pub config: Config,
    links: Links,
    fleet_key: String,
    listed: Vec<Host>,
    ports: Ports,
    folder: TempFolder,
}

/// Host that is planned and not started yet.
struct Place {
    name: String,
    role: Role,
    data_center: String,
    quic: SocketAddr,
    http: SocketAddr,
    /// Name and URL of the target beside it.
    target: Option<(String, String)>,
}

impl Fleet {
    /// Starts the stand-ins, seeds the store and starts every process.
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
            listed: Vec::new(),
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

    /// Client of the store that no fault of a link touches.
    pub fn store(&self) -> KvHttp {
        KvHttp::open(&self.kv.server().url()).expect("the stand-in's URL is valid")
    }

    /// Fleet key in base64 form.
    pub fn fleet_key(&self) -> &str {
        &self.fleet_key
    }

    /// Base URLs of the entries.
    pub fn entry_urls(&self) -> Vec<String> {
        let entries = self.nodes.iter().filter(|node| node.role == Role::Entry);
        entries.map(|node| format!("http://{}", node.daemon.http())).collect()
    }

    /// Numbers of the entries in [`Fleet::nodes`].
    pub fn entries(&self) -> std::ops::Range<usize> {
        0..self.plan.entries
    }

    /// Numbers of the sidecars in [`Fleet::nodes`].
    pub fn sidecars(&self) -> std::ops::Range<usize> {
        self.plan.entries..self.nodes.len()
    }

    /// Bytes that a process has exchanged with its peers, both ways.
    pub fn peer_bytes(&self, node: usize) -> u64 {
        self.links.peer_bytes(&self.nodes[node].name)
    }

    /// Bytes that a process has exchanged with the platform, both ways.
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

    /// Cuts or heals every link between `nodes` and the rest, the platform included.
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

    /// Changes what the host list says of a host.
    pub fn set_host_state(&mut self, node: usize, state: HostState) {
        let name = &self.nodes[node].name;
        self.listed
            .iter_mut()
            .filter(|host| host.name == *name)
            .for_each(|host| host.state = state);
        self.hosts.set_hosts(self.listed.clone());
    }

    /// Writes a changed configuration as the next revision.
    pub async fn apply(&mut self, cfg: Config) -> io::Result<u64> {
        let change = Change::new(OperationId::random(), "bench");
        let applied = apply(&self.store(), &cfg, &change).await.map_err(io::Error::other)?;
        self.config = cfg;
        Ok(applied.revision)
    }

    /// Waits until every process answers that it is ready.
    pub async fn wait_ready(&mut self) -> io::Result<()> {
        for node in &mut self.nodes {
            if !node.daemon.wait_ready(READY_LIMIT).await {
                let message = format!("{} is not ready: {}", node.name, tail(&node.daemon.log()));
                return Err(io::Error::other(message));
            }
        }
        Ok(())
    }

    /// Stops every process gracefully, entries first; kills what does not stop.
    ///
    /// Answers whether all of them ended by themselves with exit code 0.
    pub async fn stop(&mut self) -> bool {
        let mut clean = true;
        for range in [self.entries(), self.sidecars()] {
            for node in &self.nodes[range.clone()] {
                node.daemon.resume();
                node.daemon.terminate();
            }
            for node in &mut self.nodes[range] {
                let status = node.daemon.wait_exit(STOP_LIMIT).await;
                clean &= status.is_some_and(|status| status.success());
                node.daemon.kill();
            }
        }
        clean
    }

    async fn seed_store(&self) -> io::Result<()> {
        let store = self.store();
        let change = Change::new(OperationId::random(), "bench");
        apply(&store, &self.config, &change).await.map_err(io::Error::other)?;
        ledger::seed(&store, self.plan.shards, &self.config.budgets).await
    }

    async fn start(&mut self) -> io::Result<()> {
        let places = self.places()?;
        self.listed = places.iter().map(|place| self.listed_host(place)).collect();
        self.hosts.set_hosts(self.listed.clone());
        for viewer in &places {
            if self.plan.proxied {
                for host in places.iter().filter(|host| host.name != viewer.name) {
                    let address = self.links.bind_peer(&viewer.name, &host.name, host.quic).await?;
                    self.hosts.set_address(&viewer.name, &host.name, address);
                }
            }
        }
        for place in places {
            let node = self.start_node(place).await?;
            self.nodes.push(node);
        }
        self.wait_ready().await
    }

    async fn start_node(&mut self, place: Place) -> io::Result<Node> {
        let (mut kv, mut hosts) = (self.kv.server().address(), self.hosts.server().address());
        if self.plan.proxied {
            kv = self.links.bind_platform(&place.name, kv).await?;
            hosts = self.links.bind_platform(&place.name, hosts).await?;
        }
        let settings = self.folder.path().join(format!("{}.ini", place.name));
        std::fs::write(&settings, self.settings(&place, kv, hosts))?;
        let log = self.folder.path().join(format!("{}.log", place.name));
        let Place { name, role, data_center, quic, http, .. } = place;
        let daemon = Daemon::spawn(&self.plan.binary, &settings, &log, http)?;
        Ok(Node { name, role, data_center, quic, daemon })
    }

    fn settings(&self, place: &Place, kv: SocketAddr, hosts: SocketAddr) -> String {
        let Place { name, role, data_center, quic, http, target, .. } = place;
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

    fn places(&mut self) -> io::Result<Vec<Place>> {
        let mut places = Vec::new();
        for number in 0..self.plan.entries {
            places.push(self.place(FleetPlan::entry_host(number), Role::Entry, number, None)?);
        }
        for number in 0..self.engines.len() {
            let url = self.engines[number].server().url();
            let target = (FleetPlan::engine_name(number), url);
            let name = FleetPlan::sidecar_host(&target.0);
            places.push(self.place(name, Role::Sidecar, number, Some(target))?);
        }
        for number in 0..self.applications.len() {
            let url = self.applications[number].server().url();
            let target = (FleetPlan::application_name(number), url);
            let name = FleetPlan::sidecar_host(&target.0);
            places.push(self.place(name, Role::Sidecar, number, Some(target))?);
        }
        Ok(places)
    }

    fn place(
        &mut self,
        name: String,
        role: Role,
        number: usize,
        target: Option<(String, String)>,
    ) -> io::Result<Place> {
        let data_center = self.plan.data_center(number).to_owned();
        let (quic, http) = (self.ports.take()?, self.ports.take()?);
        Ok(Place { name, role, data_center, quic, http, target })
    }

    fn listed_host(&self, place: &Place) -> Host {
        Host {
            name: place.name.clone(),
            role: place.role,
            address: place.quic,
            data_center: place.data_center.clone(),
            region: self.plan.region.clone(),
            state: HostState::Live,
        }
    }
}

fn tail(log: &str) -> String {
    let lines: Vec<&str> = log.lines().rev().take(8).collect();
    lines.into_iter().rev().collect::<Vec<_>>().join("\n")
}
