//! Placement of models: a single active placer orders targets to load and unload models.
//!
//! The active placer holds a lease on `placer/holder`, which keeps other placers
//! idle. Safety does not depend on that lease: after acquiring it, the placer
//! increments the fencing number under
//! [`FENCING_KEY`](crate::fencing::FENCING_KEY) by compare-and-swap, and every
//! order carries the new number. Sidecars refuse the orders of a placer that was
//! paused while another one took over, since they have seen a higher number.
//!
//! The entries of a fleet run the placers; any of them may hold the lease.

mod lease;
mod plan;

pub use lease::{HOLDER_KEY, PlacerLease, PlacerLeaseError};
pub use plan::{PlannedOrder, TargetReport, is_candidate, plan_orders};

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::Rng;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::config::{Config, ConfigHandle, TargetKind};
use crate::host_list::{Host, HostState};
use crate::kv_store::KvStore;
use crate::transport::Transport;
use crate::wire::{LoadReply, OrderReply, OrderRequest, PeerRequest};

/// Interval between two rounds of the active placer.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);
/// Mean interval between two attempts to acquire the placer lease.
const ACQUIRE_INTERVAL: Duration = Duration::from_secs(3);
/// Timeout for reading a load report from a sidecar.
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for an order, which covers the time that a target takes to load a model.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of concurrent orders, which limits the load on the weight store.
const MAX_CONCURRENT_ORDERS: usize = 8;

/// Parameters of a placer.
pub struct PlacerParams {
    /// Name of this host, used as the lease's value and in log lines.
    pub host: String,
    pub kv: Arc<dyn KvStore>,
    pub transport: Arc<Transport>,
    pub cfg: ConfigHandle,
}

/// Running placer, active or waiting for the lease; it stops when dropped.
pub struct Placer {
    hosts: Arc<Mutex<Vec<Host>>>,
    task: JoinHandle<()>,
}

impl Placer {
    /// Spawns a placer.
    pub fn spawn(params: PlacerParams) -> Placer {
        let hosts = Arc::new(Mutex::default());
        let task = PlacerTask { params, hosts: hosts.clone() };
        Placer { hosts, task: tokio::spawn(task.run()) }
    }

    /// Returns a function that replaces the host list that the placer uses.
    pub fn host_updater(&self) -> impl Fn(Vec<Host>) + Send + Sync + use<> {
        let hosts = self.hosts.clone();
        move |list| *hosts.lock().expect("no holder panics") = list
    }
}

impl Drop for Placer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct PlacerTask {
    params: PlacerParams,
    hosts: Arc<Mutex<Vec<Host>>>,
}

impl PlacerTask {
    async fn run(self) {
        loop {
            // Jitter keeps entries that start together from contacting the store at once.
            let jitter = rand::rng().random_range(0.5..1.5);
            sleep(ACQUIRE_INTERVAL.mul_f64(jitter)).await;
            let configured = self.params.cfg.current().revision > 0;
            if !configured || !self.is_candidate() {
                continue;
            }
            if let Ok(lease) = PlacerLease::acquire(self.params.kv.clone(), &self.params.host).await
            {
                self.run_rounds(lease).await;
            }
        }
    }

    fn is_candidate(&self) -> bool {
        let hosts = self.hosts.lock().expect("no holder panics");
        is_candidate(&hosts, &self.params.host)
    }

    /// Runs rounds until the lease is lost or a sidecar has seen a higher fencing number.
    async fn run_rounds(&self, lease: PlacerLease) {
        let fencing = lease.fencing();
        log::info!("decision=take-office host={} fencing={fencing}", self.params.host);
        loop {
            let is_stale = self.run_round(fencing).await;
            if is_stale || lease.renew().await.is_err() {
                break;
            }
            sleep(ROUND_INTERVAL).await;
        }
        log::info!("decision=leave-office host={} fencing={fencing}", self.params.host);
        lease.release().await;
    }

    /// Sends all due orders; returns whether a sidecar has seen a higher fencing number.
    async fn run_round(&self, fencing: u64) -> bool {
        let cfg = self.params.cfg.current();
        let sidecars = self.sidecar_addresses(&cfg);
        let reports = self.load_reports(&sidecars).await;
        let plan = plan_orders(&cfg, &reports, fencing);
        let mut orders = JoinSet::new();
        let mut is_stale = false;
        for PlannedOrder { target, order } in plan {
            if orders.len() >= MAX_CONCURRENT_ORDERS {
                is_stale |= is_refused_as_stale(orders.join_next().await);
            }
            let Ok(index) = sidecars.binary_search_by(|sidecar| sidecar.0.cmp(&target)) else {
                continue;
            };
            log::info!(
                "decision=order target={target} fencing={fencing} action={:?}",
                order.action
            );
            let req = OrderRequest { target, order };
            orders.spawn(send_order(self.params.transport.clone(), sidecars[index].1, req));
        }
        while let Some(reply) = orders.join_next().await {
            is_stale |= is_refused_as_stale(Some(reply));
        }
        is_stale
    }

    /// Returns each engine with a live host and its sidecar's address, sorted by target.
    fn sidecar_addresses(&self, cfg: &Config) -> Vec<(String, SocketAddr)> {
        let hosts = self.hosts.lock().expect("no holder panics");
        let engines = cfg.targets.iter().filter(|target| target.kind == TargetKind::Engine);
        let address = |name: &str| {
            let live = |host: &&Host| host.name == name && host.state == HostState::Live;
            hosts.iter().find(live).map(|host| host.address)
        };
        engines.filter_map(|target| Some((target.name.clone(), address(&target.host)?))).collect()
    }

    /// Reads the load reports of all engines concurrently, sorted by target.
    ///
    /// Engines whose sidecar does not answer or has no report are left out.
    async fn load_reports(&self, sidecars: &[(String, SocketAddr)]) -> Vec<TargetReport> {
        let mut calls = JoinSet::new();
        for (target, address) in sidecars.iter().cloned() {
            let transport = self.params.transport.clone();
            calls.spawn(async move {
                let reply = transport.call::<LoadReply>(address, &PeerRequest::Load, LOAD_TIMEOUT);
                let reply = reply.await.ok().filter(|reply| reply.target == target)?;
                reply.load.map(|load| TargetReport { target, load })
            });
        }
        let mut reports: Vec<TargetReport> = calls.join_all().await.into_iter().flatten().collect();
        reports.sort_by(|a, b| a.target.cmp(&b.target));
        reports
    }
}

/// Returns whether the sidecar refused the order because of a higher fencing number.
fn is_refused_as_stale(reply: Option<Result<bool, tokio::task::JoinError>>) -> bool {
    matches!(reply, Some(Ok(true)))
}

/// Sends an order; returns whether the sidecar has seen a higher fencing number.
async fn send_order(transport: Arc<Transport>, address: SocketAddr, req: OrderRequest) -> bool {
    let target = req.target.clone();
    let req = PeerRequest::Order(Box::new(req));
    match transport.call::<OrderReply>(address, &req, ORDER_TIMEOUT).await {
        Ok(OrderReply::StaleFencing { highest }) => {
            log::warn!("decision=order-refused target={target} highest={highest}");
            true
        }
        Ok(OrderReply::Done | OrderReply::WrongTarget | OrderReply::Failed) | Err(_) => false,
    }
}
