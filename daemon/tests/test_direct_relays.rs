//! Store calls that budget servers relay for entries without store access.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use hyper::Request;
use hyper::body::Incoming;
use rosemarymoor_daemon::direct::metrics::StoreMetrics;
use rosemarymoor_daemon::direct::peers::{PeerRecord, Peers, peer_key};
use rosemarymoor_daemon::direct::store_path::{DirectPath, RelayedPath};
use rosemarymoor_daemon::health::Metrics;
use rosemarymoor_daemon::http_pool::HttpPool;
use rosemarymoor_lib::kv_feed::Listing;
use rosemarymoor_lib::kv_store::{Revision, Versioned};
use rosemarymoor_lib::time::MonotonicClock;
use rosemarymoor_platform::store::{StoreTransport, probe};
use rosemarymoor_platform_standins::process::free_address;
use rosemarymoor_testutils::server::{self, Handler, Reply, Server};

const RELAYS: usize = 4;
const ENTRIES: usize = 16;

/// Budget server that counts the calls and answers each with status 200.
#[derive(Default)]
struct Relay {
    calls: AtomicU64,
}

#[async_trait]
impl Handler for Relay {
    async fn handle(&self, _req: Request<Incoming>) -> Reply {
        self.calls.fetch_add(1, Ordering::Relaxed);
        Ok(server::empty(200))
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
    peers.apply_listing(&Listing { items: items.collect(), global_revision: Revision(1) });
}

/// Guards against all entries without store access choosing the same relay: in the users' sweep
/// with 300 machines one budget server had 401 connections.
#[tokio::test]
async fn entries_without_store_access_are_distributed_over_the_relays() {
    let handlers: Vec<Arc<Relay>> = (0..RELAYS).map(|_| Arc::default()).collect();
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
        let path = RelayedPath::spawn(direct, peers.clone(), &format!("front-{at}"));
        let answer = path.call(probe(Duration::from_secs(1))).await.unwrap();
        assert_eq!(answer.status, 200);
    }
    let calls: Vec<u64> =
        handlers.iter().map(|handler| handler.calls.load(Ordering::Relaxed)).collect();
    assert_eq!(calls.iter().sum::<u64>(), ENTRIES as u64);
    assert!(calls.iter().all(|calls| *calls <= ENTRIES as u64 / 2), "{calls:?}");
}
