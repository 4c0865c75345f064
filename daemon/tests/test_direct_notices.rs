//! Targets that say in their answers that they are leaving, or ask for a pause.

use std::path::Path;
use std::time::Duration;

use rosemarymoor_platform_standins::caller::CallerRequest;
use rosemarymoor_platform_standins::fixtures::{call, events, fleet, ok, stream_request, target};
use rosemarymoor_platform_standins::fleet::PlatformFleet;
use rosemarymoor_platform_standins::target::{
    ReceivedRequest, Step, TargetStandIn, chunk, event, last_chunk, leaving, not_run_with_pause,
    signed, stream_head,
};

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Answers with status 200 and says that the target is leaving.
fn ok_and_leaving(received: &ReceivedRequest) -> Vec<Step> {
    vec![Step::Send(leaving(&signed(received, "200 OK", "done")))]
}

/// Answers a stream with a head that says that the target is leaving.
fn stream_and_leaving(received: &ReceivedRequest) -> Vec<Step> {
    let mut steps = vec![Step::Send(leaving(&stream_head(received)))];
    for id in 1..=4 {
        steps.push(Step::Send(chunk(&event(id)).to_vec()));
        steps.push(Step::Wait(Duration::from_millis(200)));
    }
    steps.push(Step::Send(last_chunk()));
    steps
}

/// Rejects the request and asks for a pause of 2 s.
fn pause(received: &ReceivedRequest) -> Vec<Step> {
    vec![Step::Send(not_run_with_pause(received, 2))]
}

/// Sends `count` safe calls, one after the other; returns how many succeeded.
async fn send_calls(fleet: &PlatformFleet, prefix: &str, count: u32) -> u32 {
    let mut succeeded = 0;
    for at in 0..count {
        let answer = call(fleet, &CallerRequest::get("/safe/1", &format!("{prefix}{at}"))).await;
        succeeded += u32::from(answer.status == 200);
    }
    succeeded
}

/// Starts an entry with a target of its own kind and one that serves every call.
async fn fleet_of_two(one: &TargetStandIn, two: &TargetStandIn) -> PlatformFleet {
    let targets = [("calls", one), ("models", one), ("calls", two), ("models", two)];
    PlatformFleet::open(Path::new(BINARY), &targets).await.unwrap()
}

#[tokio::test]
async fn a_target_that_says_it_is_leaving_gets_no_further_call() {
    let (leaving, staying) = (target(ok_and_leaving).await, target(ok).await);
    let targets = [("calls", &leaving), ("calls", &staying)];
    let fleet = PlatformFleet::open(Path::new(BINARY), &targets).await.unwrap();
    assert_eq!(send_calls(&fleet, "r", 20).await, 20);
    assert_eq!(leaving.received().len(), 1, "the first answer stops new work");
    // It is listed as ready all the while, also when it writes its registration once more.
    fleet.register("t0", "calls", leaving.address(), "ready");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(send_calls(&fleet, "s", 10).await, 10);
    assert_eq!(leaving.received().len(), 1);
    assert!(fleet.entry.log().contains("event=target_leaving target=t0 reason=answer"));
    assert!(fleet.scrape().await.contains("target_notices_total{kind=\"leaving\""));
}

#[tokio::test]
async fn a_stream_at_a_leaving_target_goes_on() {
    let leaving = target(stream_and_leaving).await;
    let fleet = fleet(BINARY, &leaving).await;
    let answer = call(&fleet, &stream_request("/stream/1", "r1")).await;
    assert!(answer.complete && answer.text().contains("piece 4"));
    let refused = call(&fleet, &stream_request("/stream/1", "r2")).await;
    assert_eq!(refused.status, 503, "no target is left");
    assert_eq!(leaving.received().len(), 1);
}

#[tokio::test]
async fn a_stream_is_not_resumed_at_a_leaving_target() {
    let leaving = target(|received: &ReceivedRequest| match received.attempt_id() {
        "first" => stream_and_leaving(received),
        _ => events(received, 0, 9, Duration::ZERO),
    })
    .await;
    let breaking = target(|received: &ReceivedRequest| {
        let mut steps = events(received, 0, 2, Duration::ZERO);
        steps.pop();
        steps.extend([Step::Wait(Duration::from_millis(50)), Step::Reset]);
        steps
    })
    .await;
    let fleet = fleet_of_two(&leaving, &breaking).await;
    // Either target may get the first requests; all of them end once the leaving one is known.
    for at in 0..20 {
        let id = if leaving.received().is_empty() { "first".to_owned() } else { format!("r{at}") };
        call(&fleet, &stream_request("/resume/1", &id)).await;
    }
    assert!(leaving.received().len() <= 1, "{:?}", leaving.received());
}

#[tokio::test]
async fn a_target_that_asks_for_a_pause_gets_no_call_until_its_end() {
    let (paused, serving) = (target(pause).await, target(ok).await);
    let targets = [("calls", &paused), ("calls", &serving)];
    let fleet = PlatformFleet::open(Path::new(BINARY), &targets).await.unwrap();
    assert_eq!(send_calls(&fleet, "r", 20).await, 20);
    assert_eq!(paused.received().len(), 1);
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    assert_eq!(send_calls(&fleet, "s", 20).await, 20);
    assert_eq!(paused.received().len(), 2, "it is asked again after its pause");
    assert!(!fleet.entry.log().contains("event=target_suspected"), "a pause is no failure");
    assert!(fleet.scrape().await.contains("target_notices_total{kind=\"pause\""));
}

#[tokio::test]
async fn callers_are_told_the_pause_if_all_targets_ask_for_one() {
    let paused = target(pause).await;
    let fleet = fleet(BINARY, &paused).await;
    let mut delays = Vec::new();
    for at in 0..10 {
        let answer = call(&fleet, &CallerRequest::get("/safe/1", &format!("r{at}"))).await;
        assert_eq!(answer.status, 503);
        assert_eq!(answer.header("rosemarymoor-refusal"), Some("not-run"));
        delays.push(answer.header("retry-after").unwrap().parse::<f64>().unwrap());
    }
    assert_eq!(paused.received().len(), 1);
    assert!(delays.iter().all(|delay| (1.0..3.0).contains(delay)), "{delays:?}");
    delays.dedup_by(|one, other| (*one - *other).abs() < 0.01);
    assert!(delays.len() > 3, "callers do not come back together: {delays:?}");
}
