//! What an entry that stops does with requests on its open connections, and how a process starts while
//! the one before it still ends, with real processes.

use std::path::Path;
use std::time::Duration;

use rosemarymoor_platform_standins::caller::{Answer, Caller, CallerRequest};
use rosemarymoor_platform_standins::fixtures::{
    all_events, call, events, fleet, fleet_with_budget, ok, stream_request, target,
};
use rosemarymoor_platform_standins::fleet::{LogOutput, PREPAID, PlatformFleet, manifest};
use rosemarymoor_platform_standins::process::{budget_server_settings, free_address, spawn};
use rosemarymoor_platform_standins::store::StoreStandIn;
use rosemarymoor_platform_standins::target::{
    Step, TargetStandIn, chunk, event, last_chunk, not_run_with_pause, stream_head,
};
use rosemarymoor_testutils::temp_folder::TempFolder;
use tokio::time::Instant;

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

const EVENT_INTERVAL: Duration = Duration::from_millis(500);

/// Events of a stream of 4 s, which ends in a grace of 8 s if it begins early.
const SHORT_EVENTS: u64 = 8;

/// Events of a stream of 6 s, longer than what the entry has left when its balancer sends no more.
const LONG_EVENTS: u64 = 12;

/// Limit of all requests, longer than the grace.
const LIMIT_MS: u64 = 15_000;

/// Time after the signal at which requests are taken on an estimate.
const ACCEPTING: Duration = Duration::from_millis(2_000);

/// Time after the signal at which a connection is still accepted.
const LATE: Duration = Duration::from_millis(2_700);

/// Time after the signal at which the entry has closed its listener.
const CLOSED: Duration = Duration::from_millis(3_500);

/// Returns a stream request whose limit is longer than the grace.
fn long_request(id: &str) -> CallerRequest {
    CallerRequest { deadline_ms: LIMIT_MS, ..stream_request("/stream/1", id) }
}

/// Lets requests of all routes take longer than the grace.
async fn allow_long_requests(fleet: &PlatformFleet, prepaid: u64) {
    let text = manifest(2, prepaid).to_string();
    let text = text.replace("\"timeout_ms\":5000", &format!("\"timeout_ms\":{LIMIT_MS}"));
    put_manifest(fleet, 2, &text).await;
}

/// Writes a configuration and waits until the entry applies it.
async fn put_manifest(fleet: &PlatformFleet, version: u64, text: &str) {
    fleet.store.put("op/config", &serde_json::from_str(text).unwrap());
    while !fleet.entry.log().contains(&format!("event=catalog_in_force version={version} ")) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts an entry before a target.
async fn fleet_before(target: &TargetStandIn) -> PlatformFleet {
    let fleet = fleet(BINARY, target).await;
    allow_long_requests(&fleet, PREPAID).await;
    fleet
}

/// Starts an entry that has served one stream of these events.
async fn entry_that_served(count: u64) -> (TargetStandIn, PlatformFleet) {
    let target = target(move |received| events(received, 0, count, EVENT_INTERVAL)).await;
    let fleet = fleet_before(&target).await;
    let answer = call(&fleet, &long_request("before")).await;
    assert!(answer.complete);
    (target, fleet)
}

/// Returns the answer to a stream that is sent on an open connection some time after the signal.
async fn answer_after_signal(fleet: &PlatformFleet, after: Duration) -> Option<Answer> {
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    fleet.entry.terminate();
    tokio::time::sleep(after).await;
    caller.call(&long_request("after")).await
}

#[tokio::test]
async fn a_stream_that_ends_in_the_grace_is_served_whole() {
    let (_target, fleet) = entry_that_served(SHORT_EVENTS).await;
    let answer = answer_after_signal(&fleet, Duration::from_millis(200)).await.unwrap();
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.text(), all_events(SHORT_EVENTS));
}

#[tokio::test]
async fn a_stream_that_would_not_end_in_the_grace_is_refused_as_not_run() {
    let (target, fleet) = entry_that_served(LONG_EVENTS).await;
    let answer = answer_after_signal(&fleet, ACCEPTING).await.unwrap();
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert!(answer.text().contains("3005"), "{}", answer.text());
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(answer.header("retry-after").is_some());
    let ran = target.received().iter().any(|received| received.attempt_id() == "after");
    assert!(!ran, "it reached the target");
}

/// Returns the answer to a stream whose head begins before the listener closes and ends after that.
async fn answer_to_slow_head(fleet: &PlatformFleet) -> Option<Answer> {
    let bytes = long_request("after").bytes();
    let (begin, end) = bytes.split_at(bytes.len() / 2);
    fleet.entry.terminate();
    tokio::time::sleep(LATE).await;
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    caller.send(begin).await.unwrap();
    tokio::time::sleep(CLOSED - LATE).await;
    caller.send(end).await.ok()?;
    caller.answer().await
}

/// Starts an entry that has served short streams, so that it takes long ones on its estimate.
async fn entry_that_expects_short_streams() -> (TargetStandIn, PlatformFleet) {
    let target = target(|received| match received.attempt_id() {
        "after" => events(received, 0, LONG_EVENTS, EVENT_INTERVAL),
        _ => events(received, 0, 1, Duration::ZERO),
    })
    .await;
    let fleet = fleet_before(&target).await;
    for id in ["s1", "s2", "s3"] {
        assert!(call(&fleet, &long_request(id)).await.complete);
    }
    (target, fleet)
}

#[tokio::test]
async fn a_stream_taken_after_the_listener_closed_is_not_cut() {
    let (_target, fleet) = entry_that_expects_short_streams().await;
    let answer = answer_to_slow_head(&fleet).await.expect("an answer");
    assert!(answer.complete, "{} cut after {:?}", answer.status, answer.text());
    assert_eq!(answer.status, 503, "{}", answer.text());
}

/// Time for which a process is held up when it gets the signal.
const SIGNAL_DELAY: Duration = Duration::from_millis(150);

#[tokio::test]
async fn a_stream_sent_after_the_listener_is_due_to_close_is_not_cut_by_an_entry_that_runs_late() {
    let (_target, fleet) = entry_that_expects_short_streams().await;
    fleet.entry.pause();
    let signalled_at = Instant::now();
    fleet.entry.terminate();
    tokio::time::sleep(SIGNAL_DELAY).await;
    fleet.entry.resume();
    tokio::time::sleep_until(signalled_at + LATE).await;
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    tokio::time::sleep_until(signalled_at + Duration::from_millis(3_050)).await;
    // It may find the connection closed.
    let answer = caller.call(&long_request("after")).await;
    assert!(answer.is_none_or(|answer| answer.complete), "it was cut");
}

/// Time after the signal at which a target ends its stream, and in which the entry is held up.
const LAST_EVENT_TIME: Duration = Duration::from_millis(6_600);
const HELD_UP_FROM: Duration = Duration::from_millis(6_550);
const HELD_UP_UNTIL: Duration = Duration::from_millis(7_250);

#[tokio::test]
async fn a_stream_that_arrived_before_the_cut_is_passed_on_by_an_entry_that_runs_late() {
    let target = target(|received| {
        let last = format!("{}{}", event(2), event(3));
        vec![
            Step::Send(stream_head(received)),
            Step::Send(chunk(&event(1))),
            Step::Wait(LAST_EVENT_TIME - ACCEPTING),
            Step::Send(chunk(&last)),
            Step::Send(last_chunk()),
        ]
    })
    .await;
    let fleet = fleet_before(&target).await;
    let signalled_at = Instant::now();
    fleet.entry.terminate();
    tokio::time::sleep_until(signalled_at + ACCEPTING).await;
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    caller.send(&long_request("late").bytes()).await.unwrap();
    tokio::time::sleep_until(signalled_at + HELD_UP_FROM).await;
    fleet.entry.pause();
    tokio::time::sleep_until(signalled_at + HELD_UP_UNTIL).await;
    fleet.entry.resume();
    let answer = caller.answer().await.expect("an answer");
    assert_eq!((answer.complete, answer.text()), (true, all_events(3)));
}

#[tokio::test]
async fn a_call_that_outlasts_the_stop_is_answered_and_not_cut() {
    let target = target(|_| vec![Step::Wait(Duration::from_secs(15))]).await;
    let fleet = fleet_before(&target).await;
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    let call = CallerRequest { deadline_ms: LIMIT_MS, ..CallerRequest::post("/unsafe/1", "u1") };
    fleet.entry.terminate();
    tokio::time::sleep(ACCEPTING).await;
    let answer = caller.call(&call).await.expect("an answer");
    assert_eq!((answer.status, answer.complete), (502, true), "{}", answer.text());
}

#[tokio::test]
async fn a_request_that_waits_unsent_at_the_cut_is_refused_as_not_run() {
    let target = target(|received| match received.attempt_id() {
        "first" => vec![Step::Send(not_run_with_pause(received, 9))],
        _ => ok(received),
    })
    .await;
    let fleet = fleet_before(&target).await;
    let text = manifest(3, PREPAID).to_string();
    let text = text.replace("\"goal_ms\":400", "\"goal_ms\":40000");
    let text = text.replace("\"timeout_ms\":5000", "\"timeout_ms\":30000");
    put_manifest(&fleet, 3, &text).await;
    fleet.entry.terminate();
    let call = |id| CallerRequest { deadline_ms: 30_000, ..CallerRequest::post("/unsafe/1", id) };
    assert_eq!(fleet.call(&call("first")).await.unwrap().status, 503);
    let answer = fleet.call(&call("waits")).await.expect("an answer");
    assert!(answer.text().contains("3005"), "{}", answer.text());
    assert!(target.received().iter().all(|received| received.attempt_id() != "waits"));
}

/// Prepaid tokens for one stream of 1,100 besides one that got 1,048 at most.
const TOKENS_OF_TWO_STREAMS: u64 = 2_160;

#[tokio::test]
async fn a_stream_that_a_stop_cuts_is_charged_what_its_caller_got() {
    let target = target(|received| events(received, 0, LONG_EVENTS, EVENT_INTERVAL)).await;
    let mut fleet = fleet_with_budget(BINARY, &target, TOKENS_OF_TWO_STREAMS).await;
    allow_long_requests(&fleet, TOKENS_OF_TWO_STREAMS).await;
    let _server = fleet.start_budget_server("side-1").await.unwrap();
    let other = fleet.start_entry("entry-2").await.unwrap();
    let cut = answer_after_signal(&fleet, ACCEPTING).await.unwrap();
    assert_eq!((cut.status, cut.complete), (200, false));
    assert_eq!(fleet.entry.wait_exit_code().await, Some(0));
    let mut caller = Caller::connect(other.callers).await.unwrap();
    let answer = caller.call_until(&long_request("next"), "id: 1").await.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
}

#[tokio::test]
async fn a_settlement_that_is_not_confirmed_at_the_end_is_logged_as_left() {
    let target = target(|received| events(received, 0, LONG_EVENTS, EVENT_INTERVAL)).await;
    let mut fleet = fleet_with_budget(BINARY, &target, PREPAID).await;
    allow_long_requests(&fleet, PREPAID).await;
    let server = fleet.start_budget_server("side-1").await.unwrap();
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    fleet.entry.terminate();
    tokio::time::sleep(ACCEPTING).await;
    caller.send(&long_request("s").bytes()).await.unwrap();
    tokio::time::sleep(ACCEPTING).await;
    server.pause();
    assert_eq!(fleet.entry.wait_exit_code().await, Some(0));
    server.resume();
    assert!(fleet.entry.log().contains("event=reports_left count=1 "), "{}", fleet.entry.log());
}

/// Size and number of events that more than fill the buffers between an entry and a caller that does
/// not read.
const LARGE_EVENT_BYTES: usize = 128 << 10;
const LARGE_EVENTS: u64 = 120;

/// Time before the large events, so that the caller does not read for less than the time after which its
/// connection is given up.
const SMALL_EVENT_TIME: Duration = Duration::from_millis(4_000);

/// Prepaid tokens for less than two reservations of 2,000 each.
const TOKENS_OF_LESS_THAN_TWO: u64 = 3_900;

#[tokio::test]
async fn a_stream_whose_caller_does_not_read_is_settled_at_the_end() {
    let target = target(|received| {
        let large_event = |id| format!("id: {id}\ndata: {}\n\n", "x".repeat(LARGE_EVENT_BYTES));
        let first = Step::Send(chunk(&event(1)));
        let mut steps =
            vec![Step::Send(stream_head(received)), first, Step::Wait(SMALL_EVENT_TIME)];
        steps.extend((2..=LARGE_EVENTS).map(|id| Step::Send(chunk(&large_event(id)))));
        steps
    })
    .await;
    let mut fleet = fleet_with_budget(BINARY, &target, TOKENS_OF_LESS_THAN_TWO).await;
    allow_long_requests(&fleet, TOKENS_OF_LESS_THAN_TWO).await;
    let _server = fleet.start_budget_server("side-1").await.unwrap();
    let other = fleet.start_entry("entry-2").await.unwrap();
    let large = |id| CallerRequest { tokens: Some((1_000, 1_000)), ..long_request(id) };
    fleet.entry.terminate();
    tokio::time::sleep(ACCEPTING).await;
    let mut silent = Caller::connect(fleet.callers).await.unwrap();
    silent.send(&large("silent").bytes()).await.unwrap();
    assert_eq!(fleet.entry.wait_exit_code().await, Some(0));
    let mut caller = Caller::connect(other.callers).await.unwrap();
    let answer = caller.call_until(&large("next"), "id: 1").await.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
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
