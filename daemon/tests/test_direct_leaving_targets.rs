//! A target stops getting requests while one waits for a permit to be sent to it.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use hyper::Request;
use hyper::body::Incoming;
use rosemarymoor_daemon::direct::send_permits::PERMIT_PATH;
use rosemarymoor_lib::dispatch::send_permits::{PermitReply, PermitRequest};
use rosemarymoor_platform_standins::caller::CallerRequest;
use rosemarymoor_platform_standins::fixtures::target;
use rosemarymoor_platform_standins::fleet::PlatformFleet;
use rosemarymoor_platform_standins::target::{Step, TargetStandIn, limited, signed};
use rosemarymoor_testutils::server::{self, Handler, Reply, Server};
use serde_json::json;
use tokio::sync::Notify;

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Longest wait for what the entry logs.
const WAIT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Runs of which one has to have its permit in time, for which an entry waits 150 ms.
const ROUNDS: usize = 10;

/// Budget server that issues a permit for each request, and may hold its replies.
#[derive(Default)]
struct Issuer {
    holds: AtomicBool,
    /// Number of requests for permits.
    asked: AtomicU64,
    released: Notify,
}

#[async_trait]
impl Handler for Issuer {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        if req.uri().path() != PERMIT_PATH {
            return Ok(server::empty(404));
        }
        let body = server::read_body(req).await?;
        let req: PermitRequest = serde_json::from_slice(&body).unwrap();
        self.asked.fetch_add(1, Ordering::Relaxed);
        if self.holds.load(Ordering::Relaxed) {
            self.released.notified().await;
        }
        let reply = PermitReply { limit: req.report.limit, granted: 1, wait_ms: 0 };
        Ok(server::answer(200, "application/json", serde_json::to_string(&reply).unwrap()))
    }
}

async fn wait_until(mut is_reached: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !is_reached().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT, waiting).await.expect("it is not reached in time");
}

/// Sends a call that waits for its permit until the entry has logged `learned`, the effect of
/// `change`; returns its status and whether it reached the target, or `None` if the permit was late.
async fn call_during(
    change: impl Fn(&PlatformFleet, &TargetStandIn),
    learned: &str,
) -> Option<(u16, bool)> {
    let target =
        target(|received| vec![Step::Send(limited(&signed(received, "200 OK", "done"), "50"))])
            .await;
    let fleet = PlatformFleet::open(Path::new(BINARY), &[("calls", &target)]).await.unwrap();
    let issuer = Arc::new(Issuer::default());
    let issuer_server = Server::bind(issuer.clone()).await.unwrap();
    let record = json!({
        "name": "side-1", "role": "budget-server", "data_center": "leics",
        "internal": issuer_server.address(),
    });
    fleet.store.put("fleet/budget-server/side-1", &record);
    let asked = || issuer.asked.load(Ordering::Relaxed);
    // The first call brings the limit, a later one finds the issuer listed.
    wait_until(async || {
        fleet.call(&CallerRequest::get("/safe/1", "before")).await;
        asked() > 0
    })
    .await;
    issuer.holds.store(true, Ordering::Relaxed);
    let asked_before = asked();
    let request = CallerRequest::get("/safe/1", "late");
    let (answer, ()) = tokio::join!(fleet.call(&request), async {
        wait_until(async || asked() > asked_before).await;
        change(&fleet, &target);
        wait_until(async || fleet.entry.log().contains(learned)).await;
        issuer.released.notify_one();
    });
    if fleet.entry.log().contains("event=permit_not_answered") {
        return None;
    }
    let has_reached = target.received().iter().any(|received| received.attempt_id() == "late");
    Some((answer.unwrap().status, has_reached))
}

/// Names each way in which a target stops getting requests, and what the entry logs then.
macro_rules! targets_that_leave {
    ($($name:ident: $change:expr, $learned:literal;)*) => {
        $(#[tokio::test]
        async fn $name() {
            for _ in 0..ROUNDS {
                if let Some(outcome) = call_during($change, $learned).await {
                    assert_eq!(outcome, (503, false));
                    return;
                }
            }
            panic!("no permit came in time");
        })*
    };
}

targets_that_leave! {
    a_target_that_drains_does_not_get_what_has_waited:
        |fleet, target| fleet.register("t0", "calls", target.address(), "draining"),
        "leaving=true";
    a_target_that_is_gone_does_not_get_what_has_waited:
        |fleet, _| fleet.store.unregister("t0"), "event=target_vanished";
    an_evacuated_target_does_not_get_what_has_waited:
        |fleet, _| fleet.store.evacuate("leics"), "event=evacuated";
}
