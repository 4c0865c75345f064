//! `config`: accepted changes are in force everywhere soon and never revert.

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
use super::{keep_logs, plan, say};
use crate::options::Options;
use crate::percentile::percentile;

const SECONDS: u64 = 14;
const ENTRIES: usize = 6;
const SIDECARS: usize = 10;
const BETWEEN_CHANGES: Duration = Duration::from_millis(700);
const POLL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const APPLY_PATIENCE: Duration = Duration::from_secs(5);
/// Time for the last change to reach every node.
const SETTLE: Duration = Duration::from_secs(9);
const FIRST_MAX_TOKENS: u64 = 1_000;

/// Revision that a node said to hold.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    node: usize,
    at: Instant,
    revision: u64,
}

/// Change that the store accepted.
#[derive(Clone, Copy, Debug)]
struct Accepted {
    id: OperationId,
    revision: u64,
    at: Instant,
}

/// Time in which a node was down.
#[derive(Clone, Copy, Debug)]
struct Downtime {
    node: usize,
    from: Instant,
    until: Instant,
}

/// What one fleet did.
struct Round {
    nodes: usize,
    accepted: Vec<Accepted>,
    delays: Vec<u64>,
    missing: u64,
    reverts: usize,
    lost_accepted: usize,
    bytes_per_node_per_s: f64,
    areas: Vec<AreaCounts>,
}

/// Runs the measure, and again with one parent a node.
pub async fn run(options: &Options) -> io::Result<Value> {
    let mut plan = plan(options)?;
    plan.entries = options.entries.unwrap_or(ENTRIES);
    plan.engines = options.sidecars.unwrap_or(SIDECARS);
    let one_parent = FleetPlan { config_parents: 1, ..plan.clone() };
    let two = round(options, plan).await?;
    let one = round(options, one_parent).await?;
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
        "store_calls_by_area": two.areas,
    }))
}

async fn round(options: &Options, plan: FleetPlan) -> io::Result<Round> {
    let length = Duration::from_secs(options.seconds.unwrap_or(SECONDS));
    let mut fleet = Fleet::open(plan).await?;
    let key = FleetKey::from_base64(fleet.fleet_key()).map_err(io::Error::other)?;
    let key = Arc::new(key);
    let sightings = Arc::new(Mutex::new(Vec::new()));
    let mut watching = JoinSet::new();
    for (node, quic) in fleet.nodes.iter().map(|node| node.quic).enumerate() {
        watching.spawn(watch(key.clone(), node, quic, sightings.clone()));
    }
    let bytes = total_bytes(&fleet);
    let start = Instant::now();
    let timeline = Timeline::start(length);
    let (store, cfg) = (fleet.store(), fleet.config.clone());
    let (accepted, downtimes) = tokio::join!(
        operators(options, &store, &cfg, length),
        cause_faults(options, &mut fleet, timeline)
    );
    tokio::time::sleep(SETTLE).await;
    watching.shutdown().await;
    let seconds = start.elapsed().as_secs_f64();
    let bytes = (total_bytes(&fleet) - bytes) as f64 / seconds / fleet.nodes.len() as f64;
    let sightings = std::mem::take(&mut *sightings.lock().expect("no holder panics"));
    keep_logs(options, &fleet)?;
    let nodes = fleet.nodes.len();
    let (delays, missing) = delays(nodes, &accepted, &sightings, &downtimes);
    Ok(Round {
        nodes,
        delays,
        missing,
        reverts: reverts(nodes, &sightings, &downtimes),
        lost_accepted: lost_accepted(&store, &accepted).await?,
        bytes_per_node_per_s: bytes,
        areas: fleet.kv.area_counts(),
        accepted,
    })
}

/// One operator, or two that race each other.
async fn operators(
    options: &Options,
    store: &KvHttp,
    cfg: &Config,
    length: Duration,
) -> Vec<Accepted> {
    let rival = async {
        match options.fault.as_str() {
            "race" => operate(store, cfg, length, 1).await,
            _ => Vec::new(),
        }
    };
    let (mut accepted, others) = tokio::join!(operate(store, cfg, length, 0), rival);
    accepted.extend(others);
    accepted
}

/// One operator, who changes a limit again and again.
async fn operate(store: &KvHttp, cfg: &Config, length: Duration, operator: u64) -> Vec<Accepted> {
    let start = Instant::now();
    let mut accepted = Vec::new();
    let mut number = 0;
    while start.elapsed() < length {
        number += 1;
        let mut cfg = cfg.clone();
        cfg.routes[0].max_tokens = FIRST_MAX_TOKENS + 2 * number + operator;
        let id = OperationId::random();
        let change = Change { max_wait: APPLY_PATIENCE, ..Change::new(id, "operator") };
        if let Ok(applied) = apply(store, &cfg, &change).await {
            accepted.push(Accepted { id, revision: applied.revision, at: Instant::now() });
        }
        tokio::time::sleep(BETWEEN_CHANGES).await;
    }
    accepted
}

/// Asks a node for its revision until it is aborted.
async fn watch(
    key: Arc<FleetKey>,
    node: usize,
    quic: SocketAddr,
    sightings: Arc<Mutex<Vec<Sighting>>>,
) {
    // A connection to a process that was killed answers nothing until its idle
    // timeout, so that a failure asks for a fresh one.
    while let Ok(transport) = Transport::bind_client(&key) {
        while let Ok(status) =
            transport.call::<StatusReply>(quic, &PeerRequest::Status, CALL_TIMEOUT).await
        {
            let sighting = Sighting { node, at: Instant::now(), revision: status.config_revision };
            sightings.lock().expect("no holder panics").push(sighting);
            tokio::time::sleep(POLL).await;
        }
    }
}

async fn cause_faults(options: &Options, fleet: &mut Fleet, timeline: Timeline) -> Vec<Downtime> {
    let mut downtimes = Vec::new();
    if options.has_fault("lost-answers") {
        fleet.kv.set_faults(|faults| {
            faults.lose_answers = 0.3;
            faults.late_writes = 0.1;
            faults.late_by = Duration::from_millis(300);
        });
    }
    for round in 0..3 {
        timeline.at(15 + round * 28).await;
        let from = Instant::now();
        let node = (options.seed as usize + round as usize * 5) % fleet.nodes.len();
        if options.has_fault("node-kill") {
            fleet.nodes[node].daemon.kill();
        }
        if options.has_fault("store-outage") {
            fleet.kv.set_faults(|faults| faults.outage = Some(Outage::Drop));
        }
        timeline.at(27 + round * 28).await;
        if options.has_fault("node-kill") {
            if fleet.nodes[node].daemon.restart().is_err() {
                say("the killed node does not start again");
            }
            fleet.nodes[node].daemon.wait_ready(SETTLE).await;
            downtimes.push(Downtime { node, from, until: Instant::now() });
        }
        fleet.kv.set_faults(|faults| faults.outage = None);
    }
    timeline.at(100).await;
    fleet.kv.set_faults(|faults| *faults = KvFaults::default());
    downtimes
}

/// Delays in milliseconds from a change's acceptance, or the node's return, until
/// the node holds it, sorted; and how many changes never arrived at a node.
fn delays(
    nodes: usize,
    accepted: &[Accepted],
    sightings: &[Sighting],
    downtimes: &[Downtime],
) -> (Vec<u64>, u64) {
    let mut delays = Vec::new();
    let mut missing = 0;
    for node in 0..nodes {
        let own: Vec<&Sighting> = sightings.iter().filter(|seen| seen.node == node).collect();
        for change in accepted {
            let down = downtimes
                .iter()
                .find(|down| down.node == node && down.from <= change.at && change.at < down.until);
            let due = down.map_or(change.at, |down| down.until);
            let arrived =
                own.iter().find(|seen| seen.at >= due && seen.revision >= change.revision);
            match arrived {
                Some(seen) => delays.push((seen.at - due).as_millis() as u64),
                None => missing += 1,
            }
        }
    }
    (delays, missing)
}

/// Times that a node showed an older revision than before within one life.
fn reverts(nodes: usize, sightings: &[Sighting], downtimes: &[Downtime]) -> usize {
    let restarted = |node: usize, a: &Sighting, b: &Sighting| {
        let mut own = downtimes.iter().filter(|down| down.node == node);
        own.any(|down| a.at < down.until && b.at > down.from)
    };
    let of_node = |node: usize| {
        let own: Vec<&Sighting> = sightings.iter().filter(|seen| seen.node == node).collect();
        let pairs = own.windows(2);
        pairs
            .filter(|pair| {
                pair[1].revision < pair[0].revision && !restarted(node, pair[0], pair[1])
            })
            .count()
    };
    (0..nodes).map(of_node).sum()
}

/// Accepted changes that the stored history does not hold.
async fn lost_accepted(store: &KvHttp, accepted: &[Accepted]) -> io::Result<usize> {
    let head = read_head(store).await.map_err(io::Error::other)?.head;
    let held: Vec<OperationId> =
        head.iter().flat_map(|head| head.changes()).map(|change| change.change).collect();
    let oldest = head.iter().flat_map(|head| head.changes()).map(|change| change.revision).min();
    // The history is bounded; what is older than it cannot be looked up.
    let known = accepted.iter().filter(|change| Some(change.revision) >= oldest);
    Ok(known.filter(|change| !held.contains(&change.id)).count())
}

fn total_bytes(fleet: &Fleet) -> u64 {
    let nodes = 0..fleet.nodes.len();
    nodes.map(|node| fleet.peer_bytes(node) + fleet.platform_bytes(node)).sum()
}
