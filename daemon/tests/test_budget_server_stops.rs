//! What a budget server that stops still keeps of what it has accepted, with real processes.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderMap};
use hyper::http::request::Builder;
use rosemarymoor_daemon::direct::begun_streams::{BEGUN_PATH, ORIGIN_PATH};
use rosemarymoor_daemon::direct::budget_server::{RESERVE_PATH, SETTLE_PATH};
use rosemarymoor_daemon::direct::load_server::LOAD_PATH;
use rosemarymoor_daemon::direct::poison::{CRASH_PATH, SOUND_PATH, SUSPECTED_PATH, TRIAL_PATH};
use rosemarymoor_daemon::direct::send_permits::PERMIT_PATH;
use rosemarymoor_daemon::direct::store_path::RELAY_PREFIX;
use rosemarymoor_daemon::http_pool::HttpPool;
use rosemarymoor_lib::budget::Shard;
use rosemarymoor_lib::budget::ceiling::{
    ReservationId, ReservationReply, ReservationRequest, Settlement, account_key,
};
use rosemarymoor_lib::dispatch::stream_origins::{BegunStream, StreamId, StreamOrigin};
use rosemarymoor_lib::id::BudgetId;
use rosemarymoor_platform::store::{StoreCall, WatchRequest};
use rosemarymoor_platform_standins::caller::Caller;
use rosemarymoor_platform_standins::fixtures::{
    call, events, fleet_with_budget, stream_request, target,
};
use rosemarymoor_platform_standins::fleet::LogOutput;
use rosemarymoor_platform_standins::process::{budget_server_settings, free_address, spawn};
use rosemarymoor_platform_standins::store::{StoreFault, StoreStandIn, WRITE_PATH};
use rosemarymoor_testutils::process::Process;
use rosemarymoor_testutils::server::{self, Handler, Reply, Server};
use rosemarymoor_testutils::temp_folder::TempFolder;
use serde::Serialize;
use serde_json::json;
use tokio::sync::Notify;

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Longest wait for a start, or for a line of the log.
const WAIT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time in which a process that does not wait for anything has ended.
const END_TIME: Duration = Duration::from_millis(1_000);

/// Reservation that is open while a server stops, and its tokens.
const OPEN: ReservationId = 7;
const OPEN_TOKENS: u64 = 600;

/// Budget server before a store.
struct BudgetServer {
    process: Process,
    internal: std::net::SocketAddr,
    pool: HttpPool,
    _folder: TempFolder,
}

impl BudgetServer {
    /// Starts a server and waits until it answers.
    async fn open(store: std::net::SocketAddr, extra_settings: &str) -> BudgetServer {
        let folder = TempFolder::open().unwrap();
        let internal = free_address().unwrap();
        let path = folder.path().join("side-1.ini");
        let settings = budget_server_settings("side-1", store, internal) + extra_settings;
        std::fs::write(&path, settings).unwrap();
        let log = folder.path().join("side-1.log");
        let process = spawn(Path::new(BINARY), &path, &log, LogOutput::File).unwrap();
        let pool = HttpPool::open();
        let server = BudgetServer { process, internal, pool, _folder: folder };
        let answers = async {
            while server.post(SETTLE_PATH, &json!([])).await.is_none() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(WAIT, answers).await.expect("the server does not answer");
        server
    }

    /// Posts a message; `None` without an answer.
    async fn post(&self, path: &str, message: &impl Serialize) -> Option<(u16, HeaderMap, Bytes)> {
        let body = serde_json::to_vec(message).unwrap();
        self.send(Request::post(path), body.into()).await
    }

    /// Sends a call; `None` without an answer.
    async fn send(&self, req: Builder, body: Bytes) -> Option<(u16, HeaderMap, Bytes)> {
        let req = req.header(HOST, "side").body(Full::new(body)).unwrap();
        let answer = self.pool.fetch(self.internal, req, WAIT, 10_000).await.ok()?;
        Some((answer.0.as_u16(), answer.1, answer.2))
    }

    /// Posts a message; returns the status, 0 without an answer.
    async fn status(&self, path: &str, message: &impl Serialize) -> u16 {
        self.post(path, message).await.map_or(0, |answer| answer.0)
    }

    async fn reserve(&self, id: ReservationId, tokens: u64) -> Option<ReservationReply> {
        let req = ReservationRequest {
            id,
            budget: budget(),
            prepaid: 10_000,
            prepaid_version: 1,
            tokens,
            max_wait_ms: 5_000,
            lifetime_ms: 60_000,
            drawn: None,
        };
        let (status, _, body) = self.post(RESERVE_PATH, &req).await?;
        (status == 200).then(|| serde_json::from_slice(&body).unwrap())
    }

    async fn settle(&self, id: ReservationId, used: u64) -> u16 {
        self.status(SETTLE_PATH, &[Settlement { id, budget: budget(), used }]).await
    }

    /// Grants the open reservation, signals the process and waits until it begins to stop.
    async fn stop_with_open_reservation(&self) {
        assert_eq!(self.reserve(OPEN, OPEN_TOKENS).await, Some(ReservationReply::Granted));
        self.stop().await;
    }

    /// Signals the process and waits until it begins to stop.
    async fn stop(&self) {
        self.process.terminate();
        wait_for_log(&self.process, "event=stopping").await;
    }
}

async fn wait_for_log(process: &Process, text: &str) {
    let logged = async {
        while !process.log().contains(text) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT, logged).await.expect("the log does not say it");
}

fn budget() -> BudgetId {
    BudgetId { workspace: "shop".to_owned(), name: "prepaid".to_owned() }
}

/// Returns the tokens that the ledger counts as granted.
fn granted(store: &StoreStandIn) -> u64 {
    let value = store.value(&account_key(&budget())).unwrap();
    let shard = Shard::decode(&value).unwrap();
    shard.account(&budget()).unwrap().grants.iter().map(|grant| grant.granted).sum()
}

/// Guards against tokens of running requests that are lost with their budget server.
#[tokio::test]
async fn a_settlement_after_the_signal_returns_its_tokens() {
    let store = StoreStandIn::spawn().await.unwrap();
    let mut server = BudgetServer::open(store.address(), "").await;
    server.stop_with_open_reservation().await;
    tokio::time::sleep(END_TIME).await;
    assert_eq!(server.settle(OPEN, 10).await, 200);
    assert_eq!(server.process.wait_exit_code().await, Some(0));
    assert_eq!(granted(&store), 10);
}

/// Guards against a stream whose tokens all count as spent because its budget server has stopped.
#[tokio::test]
async fn an_entry_settles_what_ran_and_goes_on_without_its_budget_server() {
    let target = target(|received| events(received, 0, 4, Duration::from_millis(500))).await;
    let fleet = fleet_with_budget(BINARY, &target, 100_000).await;
    let mut server = fleet.start_budget_server("side-1").await.unwrap();
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    caller.send(&stream_request("/stream/1", "before").bytes()).await.unwrap();
    assert!(caller.read_until("piece 1").await);
    server.terminate();
    wait_for_log(&server, "event=stopping").await;
    let answer = call(&fleet, &stream_request("/stream/1", "while-it-stops")).await;
    assert_eq!((answer.status, answer.complete), (200, true));
    assert!(caller.answer().await.is_some_and(|answer| answer.complete));
    assert_eq!(server.wait_exit_code().await, Some(0));
    let log = server.log();
    let count = |event: &str| log.matches(event).count();
    assert_eq!((count("event=reserved "), count("event=settled ")), (1, 1), "{log}");
}

#[tokio::test]
async fn a_reservation_that_is_never_settled_ends_with_the_grace() {
    let store = StoreStandIn::spawn().await.unwrap();
    let mut server = BudgetServer::open(store.address(), "grace_s = 4\n").await;
    server.stop_with_open_reservation().await;
    assert_eq!(server.process.wait_exit_code().await, Some(0));
    assert_eq!(granted(&store), OPEN_TOKENS);
}

/// Guards against a reservation that is granted by a server which ends before its settlement.
#[tokio::test]
async fn a_reservation_after_the_signal_is_refused_at_once() {
    let store = StoreStandIn::spawn().await.unwrap();
    let server = BudgetServer::open(store.address(), "").await;
    assert_eq!(server.reserve(OPEN, OPEN_TOKENS).await, Some(ReservationReply::Granted));
    store.set_fault(StoreFault::Slow);
    server.stop().await;
    assert_eq!(server.reserve(8, 100).await, None);
}

/// Names each call to a server that stops, and its status.
macro_rules! calls_while_stopping {
    ($($name:ident: $path:expr, $message:tt => $status:literal;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let store = StoreStandIn::spawn().await.unwrap();
            let server = BudgetServer::open(store.address(), "").await;
            server.stop_with_open_reservation().await;
            let (status, headers, _) = server.post($path, &json!($message)).await.unwrap();
            assert_eq!(status, $status);
            assert_eq!(headers.get(CONNECTION).unwrap(), "close");
        })*
    };
}

calls_while_stopping! {
    reservations_are_refused: RESERVE_PATH, {} => 503;
    crashes_are_refused: CRASH_PATH, {} => 503;
    completions_are_refused: SOUND_PATH, {} => 503;
    suspicions_are_refused: SUSPECTED_PATH, [] => 503;
    trials_are_refused: TRIAL_PATH, {} => 503;
    settlements_are_served: SETTLE_PATH, [] => 200;
    reports_of_streams_are_served: BEGUN_PATH, [] => 200;
    questions_about_streams_are_served: ORIGIN_PATH, 1 => 200;
    requests_for_permits_are_read: PERMIT_PATH, {} => 400;
    questions_for_load_are_read: LOAD_PATH, {} => 404;
    store_calls_are_relayed: "/store/kv-lease", {} => 200;
}

/// Store that holds writes until it is told to answer.
#[derive(Default)]
struct HeldStore {
    arrived: Notify,
    released: Notify,
}

#[async_trait]
impl Handler for HeldStore {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        if req.uri().path() != WRITE_PATH {
            return Ok(server::empty(404));
        }
        self.arrived.notify_one();
        self.released.notified().await;
        Ok(server::answer(200, "application/json", "{}"))
    }
}

/// Guards against a write whose entry never learns whether the store has applied it.
#[tokio::test]
async fn a_relayed_write_that_runs_is_answered() {
    let store = Arc::new(HeldStore::default());
    let store_server = Server::bind(store.clone()).await.unwrap();
    let mut server = BudgetServer::open(store_server.address(), "").await;
    let path = format!("{RELAY_PREFIX}{WRITE_PATH}");
    let message = json!({});
    let (status, ()) = tokio::join!(server.status(&path, &message), async {
        store.arrived.notified().await;
        server.stop().await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        store.released.notify_one();
    });
    assert_eq!(status, 200);
    assert_eq!(server.process.wait_exit_code().await, Some(0));
}

/// Guards against a stop that is as long as the longest wait for changes.
#[tokio::test]
async fn a_wait_for_changes_ends_with_its_server() {
    let store = StoreStandIn::spawn().await.unwrap();
    let mut server = BudgetServer::open(store.address(), "").await;
    let (prefix, wait) = ("servers/".to_owned(), Duration::from_secs(60));
    let request = WatchRequest { prefix, after: 0, wait };
    let path = format!("{RELAY_PREFIX}{}", StoreCall::watch(&request, wait).path);
    let (answer, ()) = tokio::join!(server.send(Request::get(path), Bytes::new()), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        server.stop().await;
    });
    assert_eq!(answer.map(|answer| answer.0), Some(503));
    assert_eq!(server.process.wait_exit_code().await, Some(0));
}

/// Budget server that keeps the streams it is told, and holds the first report.
#[derive(Default)]
struct Successor {
    told: Mutex<Vec<BegunStream>>,
    arrived: Notify,
    released: Notify,
}

#[async_trait]
impl Handler for Successor {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let body = server::read_body(req).await?;
        let streams: Vec<BegunStream> = serde_json::from_slice(&body).unwrap_or_default();
        self.told.lock().unwrap().extend(streams);
        self.arrived.notify_one();
        self.released.notified().await;
        Ok(server::empty(200))
    }
}

fn stream(id: &str) -> BegunStream {
    let origin = StreamOrigin { service: "models".to_owned(), software: "1".to_owned() };
    BegunStream { id: StreamId::begun_by(id), origin }
}

/// Guards against a stream that a server confirms and nobody knows once it has ended.
#[tokio::test]
async fn what_is_reported_of_streams_is_handed_over_or_not_confirmed() {
    let store = StoreStandIn::spawn().await.unwrap();
    let successor = Arc::new(Successor::default());
    let successor_server = Server::bind(successor.clone()).await.unwrap();
    let record = json!({
        "name": "side-2", "role": "budget-server", "data_center": "leics",
        "internal": successor_server.address(),
    });
    store.put("fleet/budget-server/side-2", &record);
    let mut server = BudgetServer::open(store.address(), "").await;
    assert_eq!(server.status(BEGUN_PATH, &[stream("before")]).await, 200);
    server.stop_with_open_reservation().await;
    let mut confirmed = vec![stream("before")];
    if server.status(BEGUN_PATH, &[stream("stopping")]).await == 200 {
        confirmed.push(stream("stopping"));
    }
    server.settle(OPEN, 0).await;
    successor.arrived.notified().await;
    if server.status(BEGUN_PATH, &[stream("late")]).await == 200 {
        confirmed.push(stream("late"));
    }
    successor.released.notify_one();
    assert_eq!(server.process.wait_exit_code().await, Some(0));
    let told = successor.told.lock().unwrap();
    for stream in confirmed {
        assert!(told.contains(&stream), "{stream:?} of {told:?}");
    }
}
