//! Watches that the entries of a data centre share over a budget server.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Request;
use hyper::body::Incoming;
use rosemarymoor_daemon::direct::fleet_keys::peer_key;
use rosemarymoor_daemon::direct::metrics::StoreMetrics;
use rosemarymoor_daemon::direct::peers::{PeerRecord, Peers};
use rosemarymoor_daemon::direct::shared_watch::SharedWatches;
use rosemarymoor_daemon::direct::store_path::{DirectPath, RelayedPath};
use rosemarymoor_daemon::health::Metrics;
use rosemarymoor_daemon::http_pool::HttpPool;
use rosemarymoor_lib::kv_feed::Listing;
use rosemarymoor_lib::kv_store::{Revision, Versioned};
use rosemarymoor_lib::time::MonotonicClock;
use rosemarymoor_platform::keys::REGISTRATIONS;
use rosemarymoor_platform::store::{
    CallError, StoreAnswer, StoreCall, StoreTransport, WatchRequest,
};
use rosemarymoor_platform_standins::store::removal_answer;
use rosemarymoor_testutils::server::{self, DropConnection, Handler, Reply, Server};
use tokio::sync::Notify;

fn request(after: u64, wait_ms: u64) -> WatchRequest {
    WatchRequest { prefix: REGISTRATIONS.to_owned(), after, wait: Duration::from_millis(wait_ms) }
}

/// Returns an answer to a watch that leads to `revision`.
fn changed(revision: u64) -> Result<StoreAnswer, CallError> {
    Ok(StoreAnswer { status: 200, era: None, body: Bytes::from(removal_answer(revision)) })
}

/// Store that answers each watch once it is told to.
#[derive(Default)]
struct HeldStore {
    calls: AtomicU64,
    release: Notify,
    result: Mutex<Option<Result<StoreAnswer, CallError>>>,
}

impl HeldStore {
    fn answer_all(&self, result: Result<StoreAnswer, CallError>) {
        *self.result.lock().unwrap() = Some(result);
        self.release.notify_waiters();
    }
}

#[async_trait]
impl StoreTransport for HeldStore {
    async fn call(&self, _call: StoreCall) -> Result<StoreAnswer, CallError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.release.notified().await;
        self.result.lock().unwrap().clone().unwrap()
    }
}

/// Starts `count` equal watches and waits until all of them wait for the store.
async fn watch_together(
    watches: &SharedWatches,
    store: &HeldStore,
    count: usize,
) -> Vec<tokio::task::JoinHandle<Result<StoreAnswer, CallError>>> {
    let tasks = (0..count).map(|_| {
        let watches = watches.clone();
        tokio::spawn(async move { watches.call(&request(7, 60_000)).await })
    });
    let tasks: Vec<_> = tasks.collect();
    while store.calls.load(Ordering::Relaxed) == 0 {
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    tasks
}

#[tokio::test]
async fn equal_watches_share_one_call() {
    let store = Arc::new(HeldStore::default());
    let watches = SharedWatches::open(store.clone());
    let tasks = watch_together(&watches, &store, 20).await;
    store.answer_all(changed(9));
    for task in tasks {
        assert_eq!(task.await.unwrap().unwrap().watched_revision(), Some(9));
    }
    // An entry that asks a little later gets the kept answer.
    let late = watches.call(&request(7, 60_000)).await.unwrap();
    assert_eq!(late.watched_revision(), Some(9));
    assert_eq!(store.calls.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn a_failed_watch_fails_for_all_and_is_not_kept() {
    let store = Arc::new(HeldStore::default());
    let watches = SharedWatches::open(store.clone());
    let tasks = watch_together(&watches, &store, 5).await;
    store.answer_all(Err(CallError::NoAnswer));
    for task in tasks {
        assert_eq!(task.await.unwrap().unwrap_err(), CallError::NoAnswer);
    }
    let again = tokio::spawn(async move { watches.call(&request(7, 60_000)).await });
    while store.calls.load(Ordering::Relaxed) < 2 {
        tokio::task::yield_now().await;
    }
    again.abort();
}

/// An answer without a newer revision must not be given again: its reader would ask at once.
#[tokio::test]
async fn an_answer_without_news_is_not_kept() {
    let store = Arc::new(HeldStore::default());
    let watches = SharedWatches::open(store.clone());
    let tasks = watch_together(&watches, &store, 1).await;
    store.answer_all(changed(7));
    for task in tasks {
        task.await.unwrap().unwrap();
    }
    let short = watches.call(&request(7, 30)).await.unwrap();
    assert_eq!(short.watched_revision(), Some(7));
    assert_eq!(store.calls.load(Ordering::Relaxed), 2);
}

#[tokio::test]
async fn a_watch_ends_without_changes_after_its_own_wait() {
    let store = Arc::new(HeldStore::default());
    let watches = SharedWatches::open(store.clone());
    let answer = watches.call(&request(7, 30)).await.unwrap();
    assert_eq!(answer.watched_revision(), Some(7));
}

/// What a process does with the calls that it gets.
#[derive(Clone, Copy)]
enum Behaviour {
    /// Answers each watch with changes up to this revision.
    Answers(u64),
    /// Says that its store does not answer.
    HasNoStore,
    /// Accepts calls and never answers.
    Silent,
}

struct Peer {
    behaviour: Behaviour,
    calls: AtomicU64,
}

#[async_trait]
impl Handler for Peer {
    async fn handle(&self, _req: Request<Incoming>) -> Reply {
        self.calls.fetch_add(1, Ordering::Relaxed);
        match self.behaviour {
            Behaviour::Answers(revision) => {
                let body = changed(revision).unwrap().body;
                Ok(server::answer(200, "application/json", String::from_utf8(body.into()).unwrap()))
            }
            Behaviour::HasNoStore => Ok(server::empty(502)),
            Behaviour::Silent => {
                tokio::time::sleep(Duration::from_secs(60)).await;
                Err(DropConnection)
            }
        }
    }
}

async fn spawn(behaviour: Behaviour) -> (Arc<Peer>, Server) {
    let peer = Arc::new(Peer { behaviour, calls: AtomicU64::new(0) });
    let server = Server::bind(peer.clone()).await.unwrap();
    (peer, server)
}

/// Lists a budget server and `entries` entries of one data centre.
fn list(peers: &Peers, server: SocketAddr, entries: usize) {
    let record = |role: &str, name: String, internal| PeerRecord {
        name,
        role: role.to_owned(),
        data_center: "leics".to_owned(),
        internal,
    };
    let mut records = vec![record("budget-server", "side-1".to_owned(), server)];
    records.extend((0..entries).map(|at| record("direct-entry", format!("front-{at}"), server)));
    let mut items: Vec<_> = records
        .into_iter()
        .map(|record| {
            let value = serde_json::to_vec(&record).unwrap();
            (peer_key(&record.role, &record.name), Versioned { revision: Revision(1), value })
        })
        .collect();
    items.sort_by(|one, other| one.0.cmp(&other.0));
    peers.apply_listing(&Listing { items, global_revision: Revision(1) }, false);
}

/// Watches once as one of `entries` entries, beside a budget server with a behaviour; the store
/// itself leads to revision 5. Returns the revision and the calls that the server got.
async fn watch_beside(behaviour: Behaviour, entries: usize) -> (Option<u64>, u64) {
    let (server, server_handle) = spawn(behaviour).await;
    let (_store, store_handle) = spawn(Behaviour::Answers(5)).await;
    let peers = Arc::new(Peers::open(MonotonicClock::start()));
    list(&peers, server_handle.address(), entries);
    let meter = Metrics::start().unwrap().meter("test");
    let direct =
        DirectPath::open(HttpPool::open(), store_handle.address(), StoreMetrics::open(&meter));
    let path = RelayedPath::spawn(direct, peers, "front-1", "leics");
    let call = StoreCall::watch(&request(1, 2_000), Duration::from_secs(10));
    let answer = path.call(call).await.unwrap();
    (answer.watched_revision(), server.calls.load(Ordering::Relaxed))
}

/// Defines a test for each behaviour of the budget server and number of entries, with the revision
/// that the watch leads to and the calls that the server gets.
macro_rules! path_cases {
    ($($name:ident: $behaviour:expr, $entries:literal => $revision:literal, $calls:literal;)*) => {
        $(#[tokio::test]
        async fn $name() {
            assert_eq!(watch_beside($behaviour, $entries).await, (Some($revision), $calls));
        })*
    };
}

path_cases! {
    many_entries_watch_over_a_budget_server: Behaviour::Answers(9), 4 => 9, 1;
    few_entries_watch_the_store_themselves: Behaviour::Answers(9), 3 => 5, 0;
    a_server_without_the_store_is_passed_by: Behaviour::HasNoStore, 4 => 5, 1;
    a_silent_server_is_passed_by: Behaviour::Silent, 4 => 5, 1;
}

/// Guards against calls that a store outage multiplies: an entry whose shared watch fails does not
/// ask one budget server after the other.
#[tokio::test]
async fn a_failed_shared_watch_is_not_tried_again_at_once() {
    let (server, server_handle) = spawn(Behaviour::HasNoStore).await;
    let (_store, store_handle) = spawn(Behaviour::Answers(5)).await;
    let peers = Arc::new(Peers::open(MonotonicClock::start()));
    list(&peers, server_handle.address(), 4);
    let meter = Metrics::start().unwrap().meter("test");
    let direct =
        DirectPath::open(HttpPool::open(), store_handle.address(), StoreMetrics::open(&meter));
    let path = RelayedPath::spawn(direct, peers.clone(), "front-1", "leics");
    for _ in 0..5 {
        let call = StoreCall::watch(&request(1, 2_000), Duration::from_secs(10));
        assert_eq!(path.call(call).await.unwrap().watched_revision(), Some(5));
    }
    assert_eq!(server.calls.load(Ordering::Relaxed), 1);
    assert!(peers.watch_server("leics", 1).is_some(), "the server itself has not failed");
}
