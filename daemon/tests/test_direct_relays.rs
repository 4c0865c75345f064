//! Store calls that budget servers relay for entries without store access.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request};
use rosemarymoor_daemon::direct::fleet_keys::peer_key;
use rosemarymoor_daemon::direct::metrics::StoreMetrics;
use rosemarymoor_daemon::direct::peers::{PeerRecord, Peers};
use rosemarymoor_daemon::direct::store_path::{DirectPath, RELAY_PREFIX, RelayedPath};
use rosemarymoor_daemon::health::Metrics;
use rosemarymoor_daemon::http_pool::HttpPool;
use rosemarymoor_lib::kv_feed::Listing;
use rosemarymoor_lib::kv_store::{Revision, Versioned};
use rosemarymoor_lib::time::MonotonicClock;
use rosemarymoor_platform::store::{CallError, StoreCall, StoreTransport, probe};
use rosemarymoor_platform_standins::fleet::LogOutput;
use rosemarymoor_platform_standins::process::{budget_server_settings, free_address, spawn};
use rosemarymoor_platform_standins::store::{StoreFault, StoreStandIn, WRITE_PATH};
use rosemarymoor_testutils::server::{self, Handler, Reply, Server};
use rosemarymoor_testutils::temp_folder::TempFolder;

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");
const RELAYS: usize = 4;
const ENTRIES: usize = 16;

/// Budget server that counts the calls and answers each with one status.
struct Relay {
    status: u16,
    calls: AtomicU64,
}

impl Relay {
    fn new(status: u16) -> Arc<Relay> {
        Arc::new(Relay { status, calls: AtomicU64::new(0) })
    }
}

#[async_trait]
impl Handler for Relay {
    async fn handle(&self, _req: Request<Incoming>) -> Reply {
        self.calls.fetch_add(1, Ordering::Relaxed);
        Ok(server::empty(self.status))
    }
}

/// Lists the relays as budget servers of the fleet.
fn list_relays(peers: &Peers, relays: &[Server]) {
    let items = relays.iter().enumerate().map(|(at, relay)| {
        let record = PeerRecord {
            name: format!("side-{at}"),
            role: "budget-server".to_owned(),
            data_center: "leics".to_owned(),
            internal: relay.address(),
        };
        let value = serde_json::to_vec(&record).unwrap();
        let key = peer_key("budget-server", &record.name);
        (key, Versioned { revision: Revision(1), value })
    });
    peers.apply_listing(&Listing { items: items.collect(), global_revision: Revision(1) }, false);
}

/// Guards against all entries without store access choosing the same relay: in the users' sweep
/// with 300 machines one budget server had 401 connections.
#[tokio::test]
async fn entries_without_store_access_are_distributed_over_the_relays() {
    let handlers: Vec<Arc<Relay>> = (0..RELAYS).map(|_| Relay::new(200)).collect();
    let mut relays = Vec::new();
    for handler in &handlers {
        relays.push(Server::bind(handler.clone()).await.unwrap());
    }
    let peers = Arc::new(Peers::open(MonotonicClock::start()));
    list_relays(&peers, &relays);
    let meter = Metrics::start().unwrap().meter("test");
    // Nothing listens at the address of the store.
    let store = free_address().unwrap();
    for at in 0..ENTRIES {
        let direct = DirectPath::open(HttpPool::open(), store, StoreMetrics::open(&meter));
        let path = RelayedPath::spawn(direct, peers.clone(), &format!("front-{at}"), "leics");
        let answer = path.call(probe(Duration::from_secs(1))).await.unwrap();
        assert_eq!(answer.status, 200);
    }
    let calls: Vec<u64> =
        handlers.iter().map(|handler| handler.calls.load(Ordering::Relaxed)).collect();
    assert_eq!(calls.iter().sum::<u64>(), ENTRIES as u64);
    assert!(calls.iter().all(|calls| *calls <= ENTRIES as u64 / 2), "{calls:?}");
}

/// Returns a write to the store.
fn write() -> StoreCall {
    let body = Bytes::from_static(b"{}");
    let timeout = Duration::from_secs(1);
    StoreCall { method: Method::POST, path: WRITE_PATH.to_owned(), body, timeout }
}

/// Sends a call over relays that all answer with one status; returns its result and the number of
/// relays that were asked.
async fn call_over_relays(status: u16, call: StoreCall) -> (Result<u16, CallError>, u64) {
    let relay = Relay::new(status);
    let mut relays = Vec::new();
    for _ in 0..RELAYS {
        relays.push(Server::bind(relay.clone()).await.unwrap());
    }
    let peers = Arc::new(Peers::open(MonotonicClock::start()));
    list_relays(&peers, &relays);
    let meter = Metrics::start().unwrap().meter("test");
    let store = free_address().unwrap();
    let direct = DirectPath::open(HttpPool::open(), store, StoreMetrics::open(&meter));
    let path = RelayedPath::spawn(direct, peers, "front-1", "leics");
    let result = path.call(call).await.map(|answer| answer.status);
    (result, relay.calls.load(Ordering::Relaxed))
}

/// Defines a test for each status of the relays, with the result of the call and the number of
/// relays that are asked.
macro_rules! relay_cases {
    ($($name:ident: $status:literal, $call:expr => $result:expr, $asked:literal;)*) => {
        $(#[tokio::test]
        async fn $name() {
            assert_eq!(call_over_relays($status, $call).await, ($result, $asked));
        })*
    };
}

relay_cases! {
    a_write_that_the_store_did_not_answer_is_not_repeated:
        502, write() => Err(CallError::NoAnswer), 1;
    a_write_that_did_not_reach_the_store_is_relayed_by_others: 503, write() => Ok(503), 3;
    a_read_that_the_store_did_not_answer_is_relayed_by_others:
        502, probe(Duration::from_secs(1)) => Err(CallError::NoAnswer), 3;
}

/// Relays a write over a budget server whose store has a fault, or none at its address; returns
/// the status.
async fn relay_write(fault: Option<StoreFault>) -> u16 {
    let store = StoreStandIn::spawn().await.unwrap();
    let address = match fault {
        Some(_) => store.address(),
        None => free_address().unwrap(),
    };
    store.set_fault(fault.unwrap_or_default());
    let folder = TempFolder::open().unwrap();
    let internal = free_address().unwrap();
    let settings = budget_server_settings("side-1", address, internal);
    let path = folder.path().join("side-1.ini");
    std::fs::write(&path, &settings).unwrap();
    let log = folder.path().join("side-1.log");
    let _server = spawn(Path::new(BINARY), &path, &log, LogOutput::File).unwrap();
    let pool = HttpPool::open();
    for _ in 0..500 {
        let path = format!("{RELAY_PREFIX}{WRITE_PATH}");
        let req = Request::post(path).header("host", "side").body(Full::default());
        match pool.fetch(internal, req.unwrap(), Duration::from_secs(1), 1_000).await {
            Ok((status, ..)) => return status.as_u16(),
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
    panic!("the budget server does not answer");
}

#[tokio::test]
async fn a_relay_tells_a_silent_store_from_one_that_was_not_reached() {
    assert_eq!(relay_write(Some(StoreFault::Unreachable)).await, 502);
    assert_eq!(relay_write(None).await, 503);
}

/// Guards against the calls of a whole fleet to a store that serves nobody: on the users' site
/// bwf-ost-large they were half of the calls of a day with an outage of 6 s.
#[tokio::test]
async fn a_store_that_serves_nobody_is_left_to_the_probe() {
    let (store, relay) = (Relay::new(503), Relay::new(503));
    let store_server = Server::bind(store.clone()).await.unwrap();
    let relay_servers = [Server::bind(relay.clone()).await.unwrap()];
    let peers = Arc::new(Peers::open(MonotonicClock::start()));
    list_relays(&peers, &relay_servers);
    let meter = Metrics::start().unwrap().meter("test");
    let metrics = StoreMetrics::open(&meter);
    let direct = DirectPath::open(HttpPool::open(), store_server.address(), metrics);
    let path = RelayedPath::spawn(direct, peers, "front-1", "leics");
    assert_eq!(path.call(write()).await.unwrap().status, 503);
    for _ in 0..20 {
        assert_eq!(path.call(write()).await.unwrap_err(), CallError::NotSent);
    }
    let calls = |relay: &Relay| relay.calls.load(Ordering::Relaxed);
    assert_eq!((calls(&store), calls(&relay)), (1, 1));
}
