//! What an entry that stops does with requests on its open connections, and how a process starts while
//! the one before it still ends, with real processes.

use std::path::Path;
use std::time::Duration;

use rosemarymoor_platform_standins::caller::{Answer, Caller};
use rosemarymoor_platform_standins::fixtures::{
    all_events, call, events, fleet, stream_request, target,
};
use rosemarymoor_platform_standins::fleet::{LogOutput, PlatformFleet};
use rosemarymoor_platform_standins::process::{budget_server_settings, free_address, spawn};
use rosemarymoor_platform_standins::store::StoreStandIn;
use rosemarymoor_platform_standins::target::TargetStandIn;
use rosemarymoor_testutils::temp_folder::TempFolder;

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Streams of 4.5 s: longer than what the entry has left late in its grace of 8 s.
const EVENTS: u64 = 9;
const EVENT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the signal at which the balancer still sends requests.
const LATE: Duration = Duration::from_millis(2_700);

/// Starts an entry that has served one stream.
async fn entry_that_served() -> (TargetStandIn, PlatformFleet) {
    let target = target(|received| events(received, 0, EVENTS, EVENT_INTERVAL)).await;
    let fleet = fleet(BINARY, &target).await;
    let answer = call(&fleet, &stream_request("/stream/1", "before")).await;
    assert!(answer.complete);
    (target, fleet)
}

/// Returns the answer to a stream that is sent on an open connection some time after the signal.
async fn answer_after_signal(fleet: &PlatformFleet, after: Duration) -> Option<Answer> {
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    fleet.entry.terminate();
    tokio::time::sleep(after).await;
    caller.call(&stream_request("/stream/1", "after")).await
}

#[tokio::test]
async fn a_stream_that_ends_in_the_grace_is_served_whole() {
    let (_target, fleet) = entry_that_served().await;
    let answer = answer_after_signal(&fleet, Duration::from_millis(200)).await.unwrap();
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.text(), all_events(EVENTS));
}

#[tokio::test]
async fn a_stream_that_would_not_end_in_the_grace_is_refused_as_not_run() {
    let (target, fleet) = entry_that_served().await;
    let answer = answer_after_signal(&fleet, LATE).await.unwrap();
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert!(answer.text().contains("3005"), "{}", answer.text());
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(answer.header("retry-after").is_some());
    let ran = target.received().iter().any(|received| received.attempt_id() == "after");
    assert!(!ran, "it reached the target");
}

/// A process that starts while one before it still has its address, as after a stop that takes long.
#[tokio::test]
async fn a_budget_server_waits_for_its_address() {
    let store = StoreStandIn::spawn().await.unwrap();
    let internal = free_address().unwrap();
    let predecessor = std::net::TcpListener::bind(internal).unwrap();
    let folder = TempFolder::open().unwrap();
    let path = folder.path().join("side-1.ini");
    std::fs::write(&path, budget_server_settings("side-1", store.address(), internal)).unwrap();
    let log = folder.path().join("side-1.log");
    let _server = spawn(Path::new(BINARY), &path, &log, LogOutput::File).unwrap();
    tokio::time::sleep(Duration::from_millis(800)).await;
    drop(predecessor);
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert!(tokio::net::TcpStream::connect(internal).await.is_ok(), "it has not started");
}
