//! Quarantine of requests that crash targets, with real entries and budget servers.

use std::path::Path;
use std::time::Duration;

use rosemarymoor_platform_standins::caller::CallerRequest;
use rosemarymoor_platform_standins::fixtures::{call, ok, target};
use rosemarymoor_platform_standins::fleet::PlatformFleet;
use rosemarymoor_platform_standins::target::{ReceivedRequest, Step, TargetStandIn};

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");
const TARGETS: usize = 5;

/// Time within which the fleet's list of poison requests reaches an entry.
const PROPAGATION_TIME: Duration = Duration::from_millis(2_500);

/// Resets the connection for the path `/safe/poison` and serves all other paths.
fn crash_or_serve(received: &ReceivedRequest) -> Vec<Step> {
    if received.request_line().contains("/safe/poison") { vec![Step::Reset] } else { ok(received) }
}

/// Starts stand-in targets that reset the connection for `/safe/poison`.
async fn targets() -> Vec<TargetStandIn> {
    let mut targets = Vec::new();
    for _ in 0..TARGETS {
        targets.push(target(crash_or_serve).await);
    }
    targets
}

/// Starts an entry for the service `calls` of these targets.
async fn fleet(targets: &[TargetStandIn]) -> PlatformFleet {
    let named: Vec<(&str, &TargetStandIn)> =
        targets.iter().map(|target| ("calls", target)).collect();
    PlatformFleet::open(Path::new(BINARY), &named).await.unwrap()
}

/// Returns the number of requests for `path` that the targets received.
fn runs(targets: &[TargetStandIn], path: &str) -> usize {
    let is_run = |received: &ReceivedRequest| received.request_line().contains(path);
    targets.iter().flat_map(TargetStandIn::received).filter(is_run).count()
}

#[tokio::test]
async fn a_request_that_crashed_three_targets_reaches_no_fourth() {
    let targets = targets().await;
    let fleet = fleet(&targets).await;
    let mut statuses = Vec::new();
    for at in 0..6 {
        let req = CallerRequest::get("/safe/poison", &format!("p{at}"));
        statuses.push(call(&fleet, &req).await.status);
    }
    assert_eq!(statuses[..2], [502, 502], "{statuses:?}");
    assert!(statuses[2..].iter().all(|status| *status == 422), "{statuses:?}");
    assert_eq!(runs(&targets, "/safe/poison"), 3);
    for at in 0..4 {
        let req = CallerRequest::get("/safe/other", &format!("o{at}"));
        assert_eq!(call(&fleet, &req).await.status, 200);
    }
}

#[tokio::test]
async fn a_restarted_entry_refuses_requests_that_the_fleet_quarantined() {
    let targets = targets().await;
    let mut fleet = fleet(&targets).await;
    let _server = fleet.start_budget_server("side-1").await.unwrap();
    for at in 0..3 {
        call(&fleet, &CallerRequest::get("/safe/poison", &format!("p{at}"))).await;
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    assert_eq!(fleet.store.keys("fleet/poisoned/").len(), 1);
    let before = runs(&targets, "/safe/poison");
    // A restarted process has no crash records of its own.
    fleet.entry.restart().unwrap();
    fleet.wait_ready().await.unwrap();
    tokio::time::sleep(PROPAGATION_TIME).await;
    let req = CallerRequest::get("/safe/poison", "p9");
    assert_eq!(call(&fleet, &req).await.status, 422);
    assert_eq!(runs(&targets, "/safe/poison"), before);
}
