//! `config`: measures how fast accepted configuration changes reach every node, and
//! checks that no node reverts to an older revision and no accepted change is lost.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rosemarymoor_lib::config::Config;
use rosemarymoor_lib::config::store::{Change, apply, read_head};
use rosemarymoor_lib::fleet_key::FleetKey;
use rosemarymoor_lib::id::OperationId;
use rosemarymoor_lib::kv_http::KvHttp;
use rosemarymoor_lib::transport::Transport;
use rosemarymoor_lib::wire::{PeerRequest, StatusReply};
use rosemarymoor_testutils::fleet::{Fleet, FleetPlan};
use rosemarymoor_testutils::kv::{AreaCounts, KvFaults, Outage};
use serde_json::{Value, json};
use tokio::task::JoinSet;

use super::timeline::Timeline;
use super::{fleet_plan, print_line, save_logs};
use crate::options::Options;
use crate::percentile::percentile;

const DEFAULT_SECONDS: u64 = 14;
const DEFAULT_ENTRIES: usize = 6;
const DEFAULT_SIDECARS: usize = 10;
/// Pause of an operator between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Pause between two status calls to a node.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for which an operator retries one change.
const MAX_APPLY_WAIT: Duration = Duration::from_secs(5);
/// Time for the last change to reach every node.
const SETTLE_TIME: Duration = Duration::from_secs(9);
/// Token limit to which each change adds a number of its own.
const BASE_MAX_TOKENS: u64 = 1_000;

/// Configuration revision that a node reported.
#[derive(Clone, Copy, Debug)]
struct Observation {
    node: usize,
    at: Instant,
    revision: u64,
}

/// Change that the store accepted, and when its acceptance was known.
#[derive(Clone, Copy, Debug)]
struct TimedChange {
    id: OperationId,
    revision: u64,
    at: Instant,
}

/// Period in which a node was down.
#[derive(Clone, Copy, Debug)]
struct Downtime {
    node: usize,
    from: Instant,
    until: Instant,
}

/// Figures of one fleet.
struct FleetRun {
    nodes: usize,
    accepted: Vec<TimedChange>,
    /// Propagation delay of each change at each node, in milliseconds.
    delays: Vec<u64>,
    /// Number of changes, summed over the nodes, that did not reach a node.
    missing: u64,
    reverts: usize,
    lost_accepted: usize,
    /// Mean traffic of a node with its peers and the platform.
    bytes_per_node_per_s: f64,
    store_calls: Vec<AreaCounts>,
}

/// Runs the measure with two configuration parents per node, and again with one parent,
/// and returns its JSON object.
pub async fn run(options: &Options) -> io::Result<Value> {
    let mut plan = fleet_plan(options)?;
    plan.entries = options.entries.unwrap_or(DEFAULT_ENTRIES);
    plan.engines = options.sidecars.unwrap_or(DEFAULT_SIDECARS);
    let one_parent = FleetPlan { config_parents: 1, ..plan.clone() };
    let two = run_fleet(options, plan).await?;
    let one = run_fleet(options, one_parent).await?;
    Ok(json!({
        "measure": "config",
        "fault": options.fault,
        "seed": options.seed,
        "nodes": two.nodes,
        "changes": two.accepted.len(),
        "spread_p50_ms": percentile(two.delays.iter().copied(), 50),
        "spread_p99_ms": percentile(two.delays.iter().copied(), 99),
        "never_arrived": two.missing,
        "reverts": two.reverts,
        "lost_accepted": two.lost_accepted,
        "one_parent_p99_ms": percentile(one.delays.iter().copied(), 99),
        "one_parent_never_arrived": one.missing,
        "bytes_per_node_per_s": two.bytes_per_node_per_s.round() as u64,
        "one_parent_bytes_per_node_per_s": one.bytes_per_node_per_s.round() as u64,
        "store_calls_by_area": two.store_calls,
    }))
}

async fn run_fleet(options: &Options, plan: FleetPlan) -> io::Result<FleetRun> {
    let duration = Duration::from_secs(options.seconds.unwrap_or(DEFAULT_SECONDS));
    let mut fleet = Fleet::open(plan).await?;
    let key = FleetKey::from_base64(fleet.fleet_key()).map_err(io::Error::other)?;
    let key = Arc::new(key);
    let observations = Arc::new(Mutex::new(Vec::new()));
    let mut pollers = JoinSet::new();
    for (node, quic) in fleet.nodes.iter().map(|node| node.quic).enumerate() {
        pollers.spawn(poll_revisions(key.clone(), node, quic, observations.clone()));
    }
    let bytes = total_traffic_bytes(&fleet);
    let start = Instant::now();
    let timeline = Timeline::start(duration);
    let (store, cfg) = (fleet.store(), fleet.config.clone());
    let (accepted, downtimes) = tokio::join!(
        run_operators(options, &store, &cfg, duration),
        inject_faults(options, &mut fleet, timeline)
    );
    tokio::time::sleep(SETTLE_TIME).await;
    pollers.shutdown().await;
    let seconds = start.elapsed().as_secs_f64();
    let bytes = (total_traffic_bytes(&fleet) - bytes) as f64 / seconds / fleet.nodes.len() as f64;
    let observations = std::mem::take(&mut *observations.lock().expect("no holder panics"));
    save_logs(options, &fleet)?;
    let nodes = fleet.nodes.len();
    let (delays, missing) = propagation_delays(nodes, &accepted, &observations, &downtimes);
    Ok(FleetRun {
        nodes,
        delays,
        missing,
        reverts: count_reverts(nodes, &observations, &downtimes),
        lost_accepted: count_lost_changes(&store, &accepted).await?,
        bytes_per_node_per_s: bytes,
        store_calls: fleet.kv.area_counts(),
        accepted,
    })
}

/// Runs one operator, or two concurrent ones for the fault `race`, and returns the
/// accepted changes.
async fn run_operators(
    options: &Options,
    store: &KvHttp,
    cfg: &Config,
    duration: Duration,
) -> Vec<TimedChange> {
    let second_operator = async {
        match options.fault.as_str() {
            "race" => run_operator(store, cfg, duration, 1).await,
            _ => Vec::new(),
        }
    };
    let (mut accepted, others) =
        tokio::join!(run_operator(store, cfg, duration, 0), second_operator);
    accepted.extend(others);
    accepted
}

/// Changes a limit repeatedly for the given time and returns the accepted changes.
///
/// The values of operators 0 and 1 differ in parity, so that no two changes are equal.
async fn run_operator(
    store: &KvHttp,
    cfg: &Config,
    duration: Duration,
    operator: u64,
) -> Vec<TimedChange> {
    let start = Instant::now();
    let mut accepted = Vec::new();
    let mut number = 0;
    while start.elapsed() < duration {
        number += 1;
        let mut cfg = cfg.clone();
        cfg.routes[0].max_tokens = BASE_MAX_TOKENS + 2 * number + operator;
        let id = OperationId::random();
        let change = Change { max_wait: MAX_APPLY_WAIT, ..Change::new(id, "operator") };
        if let Ok(applied) = apply(store, &cfg, &change).await {
            accepted.push(TimedChange { id, revision: applied.revision, at: Instant::now() });
        }
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    accepted
}

/// Polls a node for its configuration revision until the task is aborted.
async fn poll_revisions(
    key: Arc<FleetKey>,
    node: usize,
    quic: SocketAddr,
    observations: Arc<Mutex<Vec<Observation>>>,
) {
    // A connection to a killed process stays silent until its idle timeout. After a
    // failed call, a new transport avoids waiting for that.
    while let Ok(transport) = Transport::bind_client(&key) {
        while let Ok(status) =
            transport.call::<StatusReply>(quic, &PeerRequest::Status, CALL_TIMEOUT).await
        {
            let observation =
                Observation { node, at: Instant::now(), revision: status.config_revision };
            observations.lock().expect("no holder panics").push(observation);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

async fn inject_faults(options: &Options, fleet: &mut Fleet, timeline: Timeline) -> Vec<Downtime> {
    let mut downtimes = Vec::new();
    if options.has_fault("lost-answers") {
        fleet.kv.set_faults(|faults| {
            faults.lose_answers = 0.3;
            faults.late_writes = 0.1;
            faults.late_by = Duration::from_millis(300);
        });
    }
    for round in 0..3 {
        timeline.wait_until(15 + round * 28).await;
        let from = Instant::now();
        let node = (options.seed as usize + round as usize * 5) % fleet.nodes.len();
        if options.has_fault("node-kill") {
            fleet.nodes[node].daemon.kill();
        }
        if options.has_fault("store-outage") {
            fleet.kv.set_faults(|faults| faults.outage = Some(Outage::Drop));
        }
        timeline.wait_until(27 + round * 28).await;
        if options.has_fault("node-kill") {
            if fleet.nodes[node].daemon.restart().is_err() {
                print_line("the killed node failed to restart");
            }
            fleet.nodes[node].daemon.wait_ready(SETTLE_TIME).await;
            downtimes.push(Downtime { node, from, until: Instant::now() });
        }
        fleet.kv.set_faults(|faults| faults.outage = None);
    }
    timeline.wait_until(100).await;
    fleet.kv.set_faults(|faults| *faults = KvFaults::default());
    downtimes
}

/// Returns the propagation delays in milliseconds, and the number of changes that never
/// arrived at a node.
///
/// A delay runs from the acceptance of the change, or from the restart of a node that was
/// down then, to the first observation of the change or a later one at the node.
fn propagation_delays(
    nodes: usize,
    accepted: &[TimedChange],
    observations: &[Observation],
    downtimes: &[Downtime],
) -> (Vec<u64>, u64) {
    let mut delays = Vec::new();
    let mut missing = 0;
    for node in 0..nodes {
        let observed: Vec<&Observation> =
            observations.iter().filter(|observation| observation.node == node).collect();
        for change in accepted {
            let down = downtimes
                .iter()
                .find(|down| down.node == node && down.from <= change.at && change.at < down.until);
            let due = down.map_or(change.at, |down| down.until);
            let arrived = observed.iter().find(|observation| {
                observation.at >= due && observation.revision >= change.revision
            });
            match arrived {
                Some(observation) => delays.push((observation.at - due).as_millis() as u64),
                None => missing += 1,
            }
        }
    }
    (delays, missing)
}

/// Returns how often a node reported an older revision than before without a restart in
/// between.
fn count_reverts(nodes: usize, observations: &[Observation], downtimes: &[Downtime]) -> usize {
    let restarted = |node: usize, a: &Observation, b: &Observation| {
        let mut node_downtimes = downtimes.iter().filter(|down| down.node == node);
        node_downtimes.any(|down| a.at < down.until && b.at > down.from)
    };
    let reverts_of_node = |node: usize| {
        let observed: Vec<&Observation> =
            observations.iter().filter(|observation| observation.node == node).collect();
        let pairs = observed.windows(2);
        pairs
            .filter(|pair| {
                pair[1].revision < pair[0].revision && !restarted(node, pair[0], pair[1])
            })
            .count()
    };
    (0..nodes).map(reverts_of_node).sum()
}

/// Returns the number of accepted changes that are missing from the stored history.
async fn count_lost_changes(store: &KvHttp, accepted: &[TimedChange]) -> io::Result<usize> {
    let head = read_head(store).await.map_err(io::Error::other)?.head;
    let stored: Vec<OperationId> =
        head.iter().flat_map(|head| head.changes()).map(|change| change.change).collect();
    let oldest = head.iter().flat_map(|head| head.changes()).map(|change| change.revision).min();
    // The history is bounded, so changes older than its first entry can't be checked.
    let known = accepted.iter().filter(|change| Some(change.revision) >= oldest);
    Ok(known.filter(|change| !stored.contains(&change.id)).count())
}

fn total_traffic_bytes(fleet: &Fleet) -> u64 {
    let nodes = 0..fleet.nodes.len();
    nodes.map(|node| fleet.peer_bytes(node) + fleet.platform_bytes(node)).sum()
}
