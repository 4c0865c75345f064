//! Settlements of an entry at a budget server that is slow to answer.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use hyper::Request;
use hyper::body::Incoming;
use rosemarymoor_daemon::direct::budget_client::{BudgetClient, ReservationParams};
use rosemarymoor_daemon::direct::ceilings::Ceilings;
use rosemarymoor_daemon::direct::fleet_keys::peer_key;
use rosemarymoor_daemon::direct::load_monitor::LoadMonitor;
use rosemarymoor_daemon::direct::peer_client::PeerClient;
use rosemarymoor_daemon::direct::peers::{PeerRecord, Peers};
use rosemarymoor_daemon::direct::reservation::Reservation;
use rosemarymoor_daemon::http_pool::HttpPool;
use rosemarymoor_lib::budget::ceiling::{Headroom, ReservationReply, Settlement};
use rosemarymoor_lib::id::BudgetId;
use rosemarymoor_lib::kv_feed::Listing;
use rosemarymoor_lib::kv_http::KvHttp;
use rosemarymoor_lib::kv_store::{Revision, Versioned};
use rosemarymoor_lib::time::MonotonicClock;
use rosemarymoor_testutils::server::{self, Handler, Reply, Server};

const REQUESTS: u64 = 100;

/// Budget server that grants every reservation and takes a while for each settlement call.
#[derive(Default)]
struct SlowServer {
    /// Settlements of each call.
    calls: Mutex<Vec<Vec<Settlement>>>,
}

#[async_trait]
impl Handler for SlowServer {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let is_settlement = req.uri().path() == "/settle";
        let body = server::read_body(req).await?;
        if !is_settlement {
            let reply = serde_json::to_string(&ReservationReply::Granted).unwrap();
            return Ok(server::answer(200, "application/json", reply));
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        self.calls.lock().unwrap().push(serde_json::from_slice(&body).unwrap());
        Ok(server::empty(200))
    }
}

fn params(number: u64) -> ReservationParams {
    ReservationParams {
        request: format!("r{number}"),
        budget: BudgetId { workspace: "shop".to_owned(), name: "prepaid".to_owned() },
        prepaid: 1_000_000,
        prepaid_version: 1,
        tokens: 100,
        max_wait: Duration::from_secs(1),
        lifetime: Duration::from_secs(5),
        first_draw: 100,
        draw_step: 100,
    }
}

/// Guards against one connection, and up to eight calls, for each settlement: an entry that ran
/// late sent thousands of them a second and ran out of memory (users' site bwf-ost-large, scale-2).
#[tokio::test]
async fn settlements_that_wait_for_a_slow_server_share_a_call() {
    let slow = Arc::new(SlowServer::default());
    let server = Server::bind(slow.clone()).await.unwrap();
    let record = PeerRecord {
        name: "side-1".to_owned(),
        role: "budget-server".to_owned(),
        data_center: "leics".to_owned(),
        internal: server.address(),
    };
    let value = serde_json::to_vec(&record).unwrap();
    let items =
        vec![(peer_key("budget-server", "side-1"), Versioned { revision: Revision(1), value })];
    let clock = MonotonicClock::start();
    let peers = Arc::new(Peers::open(clock));
    peers.apply_listing(&Listing { items, global_revision: Revision(1) }, false);
    let kv = Arc::new(KvHttp::open("http://127.0.0.1:9").unwrap());
    let ceilings = Ceilings::spawn(kv, clock, Headroom::None);
    let client = PeerClient::open(HttpPool::open(), peers);
    let client = BudgetClient::open(client, ceilings, LoadMonitor::spawn(clock));
    for number in 0..REQUESTS {
        let mut reservation = Reservation::open(&client, params(number)).await.unwrap();
        reservation.used = number;
    }
    let begun = Instant::now();
    let settled = || slow.calls.lock().unwrap().iter().map(Vec::len).sum::<usize>() as u64;
    while settled() < REQUESTS && begun.elapsed() < Duration::from_secs(60) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let calls = slow.calls.lock().unwrap();
    let mut used: Vec<u64> = calls.iter().flatten().map(|settlement| settlement.used).collect();
    used.sort_unstable();
    assert_eq!(used, (0..REQUESTS).collect::<Vec<u64>>(), "each is delivered once");
    assert!(calls.len() <= 10, "{} calls for {REQUESTS} settlements", calls.len());
}
