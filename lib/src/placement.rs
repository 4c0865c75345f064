//! Placement of models: one placer at a time gives targets their orders.
//!
//! A placer holds a lease on `placer/holder`, which keeps others from working
//! beside it. Safety does not rest on that lease: before each tenure the placer
//! raises the fencing number under [`FENCING_KEY`] by compare-and-swap, and every
//! order carries it. A placer that was paused and wakes up finds its orders
//! refused by the sidecars that have seen a higher number.
//!
//! Each fleet runs this inside its entries; which of them holds the lease does
//! not matter.

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

/// Interval between two rounds of a placer.
const ROUND: Duration = Duration::from_secs(2);
/// Mean interval between two tries to become the placer.
const TRY_INTERVAL: Duration = Duration::from_secs(3);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Loading a model takes its time at the target.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// Orders under way at the same moment, which bounds the draw on the weight store.
const MAX_ORDERS: usize = 8;

/// What a placer needs.
pub struct PlacerParams {
    /// Name of this host, for the lease's value and the log.
    pub host: String,
    pub kv: Arc<dyn KvStore>,
    pub transport: Arc<Transport>,
    pub cfg: ConfigHandle,
}

/// Running placer, in office or waiting for it; it stops when dropped.
pub struct Placer {
    hosts: Arc<Mutex<Vec<Host>>>,
    task: JoinHandle<()>,
}

impl Placer {
    /// Spawns a placer.
    pub fn spawn(params: PlacerParams) -> Placer {
        let hosts = Arc::new(Mutex::default());
        let run = Run { params, hosts: hosts.clone() };
        Placer { hosts, task: tokio::spawn(run.run()) }
    }

    /// Takes a read of the platform's host list.
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

struct Run {
    params: PlacerParams,
    hosts: Arc<Mutex<Vec<Host>>>,
}

impl Run {
    async fn run(self) {
        loop {
            // Entries that start together must not all ask at the same moment.
            let jitter = rand::rng().random_range(0.5..1.5);
            sleep(TRY_INTERVAL.mul_f64(jitter)).await;
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

    async fn run_rounds(&self, lease: PlacerLease) {
        let fencing = lease.fencing();
        log::info!("decision=take-office host={} fencing={fencing}", self.params.host);
        loop {
            let stale = self.round(fencing).await;
            if stale || lease.renew().await.is_err() {
                break;
            }
            sleep(ROUND).await;
        }
        log::info!("decision=leave-office host={} fencing={fencing}", self.params.host);
        lease.release().await;
    }

    /// Gives every order that is due; tells whether a higher number was met.
    async fn round(&self, fencing: u64) -> bool {
        let cfg = self.params.cfg.current();
        let sidecars = self.sidecars(&cfg);
        let reports = self.reports(&sidecars).await;
        let plan = plan_orders(&cfg, &reports, fencing);
        let mut orders = JoinSet::new();
        let mut stale = false;
        for PlannedOrder { target, order } in plan {
            if orders.len() >= MAX_ORDERS {
                stale |= finished(orders.join_next().await);
            }
            let Ok(at) = sidecars.binary_search_by(|held| held.0.cmp(&target)) else { continue };
            log::info!(
                "decision=order target={target} fencing={fencing} action={:?}",
                order.action
            );
            let req = OrderRequest { target, order };
            orders.spawn(give(self.params.transport.clone(), sidecars[at].1, req));
        }
        while let Some(reply) = orders.join_next().await {
            stale |= finished(Some(reply));
        }
        stale
    }

    /// Addresses of the sidecars of all engines, sorted by target.
    fn sidecars(&self, cfg: &Config) -> Vec<(String, SocketAddr)> {
        let hosts = self.hosts.lock().expect("no holder panics");
        let engines = cfg.targets.iter().filter(|target| target.kind == TargetKind::Engine);
        let address = |name: &str| {
            let live = |host: &&Host| host.name == name && host.state == HostState::Live;
            hosts.iter().find(live).map(|host| host.address)
        };
        engines.filter_map(|target| Some((target.name.clone(), address(&target.host)?))).collect()
    }

    async fn reports(&self, sidecars: &[(String, SocketAddr)]) -> Vec<TargetReport> {
        let mut calls = JoinSet::new();
        for (target, address) in sidecars.iter().cloned() {
            let transport = self.params.transport.clone();
            calls.spawn(async move {
                let reply = transport.call::<LoadReply>(address, &PeerRequest::Load, CALL_TIMEOUT);
                let reply = reply.await.ok().filter(|reply| reply.target == target)?;
                reply.load.map(|load| TargetReport { target, load })
            });
        }
        let mut reports: Vec<TargetReport> = calls.join_all().await.into_iter().flatten().collect();
        reports.sort_by(|a, b| a.target.cmp(&b.target));
        reports
    }
}

/// Whether an order that ended met a higher fencing number.
fn finished(reply: Option<Result<bool, tokio::task::JoinError>>) -> bool {
    matches!(reply, Some(Ok(true)))
}

async fn give(transport: Arc<Transport>, address: SocketAddr, req: OrderRequest) -> bool {
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
