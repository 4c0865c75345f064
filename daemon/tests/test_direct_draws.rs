//! What an entry draws of its reservations, and what a budget server takes for spent when the entry has
//! died, with real processes.

use std::path::Path;
use std::time::Duration;

use rosemarymoor_platform_standins::caller::{Caller, CallerRequest};
use rosemarymoor_platform_standins::fixtures::{
    all_events, call, events, fleet_with_budget, stream_request, target, three_events,
};
use rosemarymoor_platform_standins::fleet::{EntryProcess, LogOutput, PlatformFleet};
use rosemarymoor_platform_standins::target::{ReceivedRequest, Step, TargetStandIn};
use rosemarymoor_testutils::process::Process;

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Tokens of one event.
const EVENT_TOKENS: u64 = 4;

/// Prompt of each request, in tokens.
const PROMPT: u64 = 1_000;

/// Tokens of a request of [`three_events`].
const SHORT_USE: u64 = PROMPT + 3 * EVENT_TOKENS;

/// Time after which a budget server has noticed that an entry is silent.
const SILENCE: Duration = Duration::from_millis(5_000);

/// Streams at the entry that is killed.
const OPEN: u64 = 40;

/// Answers requests under `long` with `count` events, the others with three.
fn long_or_short(received: &ReceivedRequest, count: u64, interval: Duration) -> Vec<Step> {
    match received.request_line().contains("/long") {
        true => events(received, 0, count, interval),
        false => three_events(received),
    }
}

fn request(path: &str, id: &str, output: u64) -> CallerRequest {
    CallerRequest { tokens: Some((PROMPT, output)), ..stream_request(path, id) }
}

/// Sends short requests to an entry until one is not served; returns how many were, and that status.
async fn spend(entry: &EntryProcess, output: u64) -> (u64, u16) {
    for served in 0.. {
        let mut caller = Caller::connect(entry.callers).await.unwrap();
        let req = request("/stream/short", &format!("s{served}"), output);
        let answer = caller.call(&req).await.expect("the request gets an answer");
        if answer.status != 200 {
            return (served, answer.status);
        }
    }
    unreachable!("the budget ends")
}

async fn fleet_of_two(target: &TargetStandIn, prepaid: u64) -> (PlatformFleet, EntryProcess) {
    let fleet = fleet_with_budget(BINARY, target, prepaid).await;
    let other = fleet.start_entry("entry-2").await.unwrap();
    (fleet, other)
}

/// Guards against requests that are refused though they fit, since all that the streams of a dead entry
/// might have used counted as spent (review/5).
#[tokio::test]
async fn what_a_killed_entry_had_not_drawn_serves_other_requests() {
    const PREPAID: u64 = 100_000;
    const OUTPUT: u64 = 600;
    let target = target(|received| long_or_short(received, 100, Duration::from_millis(100))).await;
    let (mut fleet, other) = fleet_of_two(&target, PREPAID).await;
    let _server = fleet.start_budget_server("side-1").await.unwrap();
    let mut callers = Vec::new();
    for number in 0..OPEN {
        let mut caller = Caller::connect(fleet.callers).await.unwrap();
        let req = request("/stream/long", &format!("l{number}"), OUTPUT);
        caller.send(&req.bytes()).await.unwrap();
        callers.push(caller);
    }
    for caller in &mut callers {
        assert!(caller.read_until("piece 2").await);
    }
    fleet.entry.kill();
    tokio::time::sleep(SILENCE).await;
    let (served, status) = spend(&other, OUTPUT).await;
    // A quarter of the output is drawn at once.
    let drawn = OPEN * (PROMPT + OUTPUT / 4);
    let fitting = (PREPAID - drawn - PROMPT - OUTPUT) / SHORT_USE + 1;
    assert!(served >= fitting, "{served} requests were served, {fitting} fit");
    assert_eq!(status, 503, "what was drawn may not have been spent");
}

/// Mirror of the test above: the tokens that a dead entry may have passed on are not spent again. Its
/// budget server stands still, so that it cannot draw.
#[tokio::test]
async fn a_killed_entry_has_passed_on_no_more_than_its_server_counts() {
    const PREPAID: u64 = 12_000;
    const OUTPUT: u64 = 8_000;
    let target = target(|received| long_or_short(received, 1_900, Duration::from_millis(2))).await;
    let (mut fleet, other) = fleet_of_two(&target, PREPAID).await;
    let server = fleet.start_budget_server("side-1").await.unwrap();
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    caller.send(&request("/stream/long", "l", OUTPUT).bytes()).await.unwrap();
    assert!(caller.read_until("piece 5").await);
    server.pause();
    // More events than are drawn arrive in this time.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fleet.entry.kill();
    let received =
        caller.answer().await.map_or(0, |answer| answer.text().matches("piece ").count());
    server.resume();
    tokio::time::sleep(SILENCE).await;
    let (served, _) = spend(&other, 100).await;
    let used = PROMPT + received as u64 * EVENT_TOKENS + served * SHORT_USE;
    assert!(served > 0, "the rest of the budget is served");
    assert!(received >= 5 && used <= PREPAID, "{used} of {PREPAID} tokens were received");
}

/// Names each way in which a budget server leaves while a stream runs that is longer than what is drawn
/// of it.
macro_rules! servers_that_leave {
    ($($case:ident: $leave:expr;)*) => {
        $(#[tokio::test]
        async fn $case() {
            const EVENTS: u64 = 150;
            let interval = Duration::from_millis(15);
            let target = target(move |received| events(received, 0, EVENTS, interval)).await;
            let fleet = fleet_with_budget(BINARY, &target, 1_000_000).await;
            let mut first = fleet.start_budget_server("side-1").await.unwrap();
            let mut caller = Caller::connect(fleet.callers).await.unwrap();
            caller.send(&request("/stream/long", "l", 800).bytes()).await.unwrap();
            assert!(caller.read_until("piece 5").await);
            let leave: fn(&mut Process) = $leave;
            leave(&mut first);
            let answer = caller.answer().await.expect("the stream goes on");
            assert!(answer.complete, "{}", fleet.entry.log());
            assert_eq!(answer.text(), all_events(EVENTS));
        })*
    };
}

servers_that_leave! {
    a_stream_goes_on_after_its_budget_server_was_killed: |server| server.kill();
    a_stream_goes_on_while_its_budget_server_stands_still: |server| server.pause();
    a_stream_goes_on_after_its_budget_server_has_stopped: |server| server.terminate();
}

/// Guards against streams of an entry that lapse while it lives: this one has no need to draw, and runs for
/// longer than a reservation without word is kept.
#[tokio::test]
async fn a_stream_with_long_pauses_keeps_its_reservation() {
    let target = target(|received| events(received, 0, 3, Duration::from_millis(1_500))).await;
    let targets = [("models", &target)];
    let fleet =
        PlatformFleet::open_with(Path::new(BINARY), &targets, 10_000, LogOutput::File).await;
    let fleet = fleet.unwrap();
    let server = fleet.start_budget_server("side-1").await.unwrap();
    let answer = call(&fleet, &request("/stream/long", "l", 600)).await;
    assert!(answer.complete);
    assert!(!server.log().contains("reservations_lapsed"), "{}", server.log());
}
