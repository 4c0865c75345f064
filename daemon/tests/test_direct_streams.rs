//! Event streams through a real entry: forwarding, interruption and resumption.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rosemarymoor_platform_standins::caller::{Answer, Caller, CallerRequest};
use rosemarymoor_platform_standins::fixtures::{
    all_events, call, events, events_until_close, fleet, script, stream_request, target,
    three_events,
};
use rosemarymoor_platform_standins::fleet::PlatformFleet;
use rosemarymoor_platform_standins::target::{
    ReceivedRequest, Step, TargetStandIn, chunk, last_chunk, signed, signed_head, stream_head,
    stream_head_until_close,
};

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

#[tokio::test]
async fn events_are_passed_on_as_they_arrive() {
    let target = target(|received| events(received, 0, 3, Duration::from_millis(700))).await;
    let fleet = fleet(BINARY, &target).await;
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    caller.send(&stream_request("/stream/1", "r1").bytes()).await.unwrap();
    let begun = Instant::now();
    assert!(caller.read_until("piece 1").await);
    assert!(begun.elapsed() < Duration::from_millis(600), "the first event is not delayed");
    let answer = caller.answer().await.unwrap();
    assert!(answer.complete);
    assert_eq!(answer.text(), all_events(3));
}

#[tokio::test]
async fn an_interrupted_stream_is_not_reported_as_complete() {
    let target = target(|received| {
        let mut steps = events(received, 0, 2, Duration::ZERO);
        steps.pop();
        steps.push(Step::Send(chunk("id: 3\nda")));
        steps.push(Step::Wait(Duration::from_millis(100)));
        steps.push(Step::Reset);
        steps
    })
    .await;
    let fleet = fleet(BINARY, &target).await;
    let answer = call(&fleet, &stream_request("/stream/1", "r1")).await;
    assert!(!answer.complete);
    assert_eq!(answer.text(), all_events(2), "an incomplete event is not passed on");
    assert_eq!(target.received().len(), 1, "the request runs only once");
}

/// Two events and the beginning of a third one.
fn cut_inside_an_event() -> String {
    format!("{}id: 3\nda", all_events(2))
}

/// Ends inside an event with its connection.
fn cut_by_close(received: &ReceivedRequest) -> Vec<Step> {
    let body = cut_inside_an_event().into_bytes();
    vec![Step::Send(stream_head_until_close(received)), Step::Send(body), Step::Close]
}

/// Ends inside an event, though a last chunk says that the body is complete.
fn cut_by_last_chunk(received: &ReceivedRequest) -> Vec<Step> {
    let body = chunk(&cut_inside_an_event());
    vec![Step::Send(stream_head(received)), Step::Send(body), Step::Send(last_chunk())]
}

/// Ends inside an event, though its body has the announced length.
fn cut_by_length(received: &ReceivedRequest) -> Vec<Step> {
    let body = cut_inside_an_event();
    let headers = format!("Content-Type: text/event-stream\r\nContent-Length: {}\r\n", body.len());
    vec![Step::Send(format!("{}{body}", signed_head(received, "200 OK", &headers)).into_bytes())]
}

/// Names each way in which a stream can end inside an event.
macro_rules! ends_inside_an_event {
    ($($case:ident: $cut:expr, $body_end:literal;)*) => {
        mod a_stream_that_ends_inside_an_event_is_not_passed_on_as_complete {
            use super::*;

            $(#[tokio::test]
            async fn $case() {
                let target = target($cut).await;
                let fleet = fleet(BINARY, &target).await;
                let answer = call(&fleet, &stream_request("/stream/1", "r1")).await;
                assert!(!answer.complete, "{answer:?}");
                assert_eq!(answer.text(), all_events(2), "no part of an event is passed on");
                assert_eq!(target.received().len(), 1, "the request runs only once");
                let counter = format!("unfinished_events_total{{body_end=\"{}\"", $body_end);
                assert!(fleet.scrape().await.contains(&counter));
            })*
        }

        mod a_resumable_stream_that_ends_inside_an_event_goes_on_elsewhere {
            use super::*;

            $(#[tokio::test]
            async fn $case() {
                let shared = script(|received| match received.header("last-event-id") {
                    None => $cut(received),
                    Some(after) => events(received, after.parse().unwrap(), 9, Duration::ZERO),
                });
                let one = TargetStandIn::spawn(shared.clone()).await.unwrap();
                let two = TargetStandIn::spawn(shared).await.unwrap();
                let targets = [("models", &one), ("models", &two)];
                let fleet = PlatformFleet::open(Path::new(BINARY), &targets).await.unwrap();
                let answer = call(&fleet, &stream_request("/resume/1", "r1")).await;
                assert_eq!((answer.complete, answer.text()), (true, all_events(9)));
                assert_eq!((one.received().len(), two.received().len()), (1, 1));
            })*
        }
    };
}

ends_inside_an_event! {
    with_its_connection: cut_by_close, "connection";
    with_its_last_chunk: cut_by_last_chunk, "chunk";
    with_its_length: cut_by_length, "length";
}

#[tokio::test]
async fn a_stream_that_ends_with_its_connection_after_an_event_is_complete() {
    let target = target(|received| events_until_close(received, 0, 3, Duration::ZERO)).await;
    let fleet = fleet(BINARY, &target).await;
    let answer = call(&fleet, &stream_request("/stream/1", "r1")).await;
    assert_eq!((answer.complete, answer.text()), (true, all_events(3)));
}

/// Sends a request by HTTP/1.0, whose answers have no chunks.
async fn call_by_http_1_0(fleet: &PlatformFleet, req: &CallerRequest) -> Option<Answer> {
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    let text = String::from_utf8(req.bytes()).unwrap().replace("HTTP/1.1", "HTTP/1.0");
    caller.send(text.as_bytes()).await.unwrap();
    caller.answer().await
}

#[tokio::test]
async fn an_interrupted_stream_is_not_reported_as_complete_to_a_caller_without_chunks() {
    let target = target(cut_by_close).await;
    let fleet = fleet(BINARY, &target).await;
    let answer = call_by_http_1_0(&fleet, &stream_request("/stream/1", "r1")).await;
    assert!(answer.as_ref().is_none_or(|answer| !answer.complete), "{answer:?}");
}

#[tokio::test]
async fn a_caller_without_chunks_gets_a_whole_stream() {
    let target = target(three_events).await;
    let fleet = fleet(BINARY, &target).await;
    let answer = call_by_http_1_0(&fleet, &stream_request("/stream/1", "r1")).await.unwrap();
    assert_eq!((answer.complete, answer.text()), (true, all_events(3)));
}

/// Nothing tells such an end from that of a target that crashed before its first event.
#[tokio::test]
async fn a_stream_that_ends_with_its_connection_before_an_event_is_no_success() {
    let target = target(|received| events_until_close(received, 0, 0, Duration::ZERO)).await;
    let fleet = fleet(BINARY, &target).await;
    assert_eq!(call(&fleet, &stream_request("/stream/1", "r1")).await.status, 502);
    assert_eq!(target.received().len(), 1, "the request runs only once");
}

#[tokio::test]
async fn a_resumable_stream_resumes_at_another_target() {
    let count = Arc::new(AtomicU32::new(0));
    let shared = script(move |received| match count.fetch_add(1, Ordering::Relaxed) {
        0 => {
            let mut steps = events(received, 0, 4, Duration::ZERO);
            steps.pop();
            steps.extend([Step::Wait(Duration::from_millis(100)), Step::Reset]);
            steps
        }
        _ => {
            let after = received.header("last-event-id").unwrap_or("0").parse().unwrap();
            events(received, after, 9, Duration::ZERO)
        }
    });
    let one = TargetStandIn::spawn(shared.clone()).await.unwrap();
    let two = TargetStandIn::spawn(shared).await.unwrap();
    let targets = [("models", &one), ("models", &two)];
    let fleet = PlatformFleet::open(Path::new(BINARY), &targets).await.unwrap();
    let answer = call(&fleet, &stream_request("/resume/1", "r1")).await;
    assert!(answer.complete);
    assert_eq!(answer.text(), all_events(9), "each event arrives once and in order");
    assert_eq!((one.received().len(), two.received().len()), (1, 1));
    assert_eq!(answer.seal(), Some("seal-r1"));
}

#[tokio::test]
async fn a_stalled_resumable_stream_resumes_at_another_target() {
    let count = Arc::new(AtomicU32::new(0));
    let shared = script(move |received| match count.fetch_add(1, Ordering::Relaxed) {
        0 => {
            let mut steps = events(received, 0, 2, Duration::ZERO);
            steps.pop();
            steps.push(Step::AwaitClose(Duration::from_secs(10)));
            steps
        }
        _ => events(received, 2, 5, Duration::ZERO),
    });
    let one = TargetStandIn::spawn(shared.clone()).await.unwrap();
    let two = TargetStandIn::spawn(shared).await.unwrap();
    let targets = [("models", &one), ("models", &two)];
    let fleet = PlatformFleet::open(Path::new(BINARY), &targets).await.unwrap();
    let answer = call(&fleet, &stream_request("/resume/1", "r1")).await;
    assert_eq!((answer.complete, answer.text()), (true, all_events(5)));
    let abandoned = [one.abandoned(), two.abandoned()].concat();
    assert_eq!(abandoned, ["r1"], "the first run is stopped");
}

/// Returns a script whose requests for a whole stream break after two events, and whose requests
/// to resume one are answered with an error status.
fn breaks_and_refuses_to_resume(received: &ReceivedRequest) -> Vec<Step> {
    if received.header("last-event-id").is_some() {
        return vec![Step::Send(signed(received, "500 Internal Server Error", "oops"))];
    }
    let mut steps = events(received, 0, 2, Duration::ZERO);
    steps.pop();
    steps.extend([Step::Wait(Duration::from_millis(50)), Step::Reset]);
    steps
}

/// Guards against an error status at a resume that counts as a crash: three crashes quarantine a
/// request.
#[tokio::test]
async fn an_error_status_at_a_resume_is_logged_and_is_no_crash() {
    let one = target(breaks_and_refuses_to_resume).await;
    let two = target(breaks_and_refuses_to_resume).await;
    let targets = [("models", &one), ("models", &two)];
    let fleet = PlatformFleet::open(Path::new(BINARY), &targets).await.unwrap();
    let answer = call(&fleet, &stream_request("/resume/1", "r1")).await;
    assert_eq!((answer.complete, answer.text()), (false, all_events(2)));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let log = fleet.entry.log();
    let failures = |outcome: &str| {
        let line = format!("outcome={outcome} tries=");
        log.lines()
            .filter(|text| text.contains("event=try_failed request=r1"))
            .filter(|text| text.contains(&line))
            .count()
    };
    assert_eq!((failures("broken"), failures("failed")), (1, 1), "{log}");
    assert_eq!(log.matches("event=crash_recorded").count(), 1, "{log}");
    let text = fleet.scrape().await;
    for outcome in ["broken", "failed"] {
        let line =
            format!("tries_total{{outcome=\"{outcome}\",otel_scope_name=\"direct-entry\"}} 1");
        assert!(text.contains(&line), "{line} is missing in\n{text}");
    }
}

/// A target that sends the head of an answer and nothing more is avoided like one that does not
/// answer at all.
#[tokio::test]
async fn a_target_that_is_silent_after_its_head_is_suspected() {
    let target = target(|received| {
        vec![Step::Send(stream_head(received)), Step::AwaitClose(Duration::from_secs(10))]
    })
    .await;
    let fleet = fleet(BINARY, &target).await;
    for at in 0..2 {
        let id = format!("r{at}");
        let req = CallerRequest { deadline_ms: 400, ..stream_request("/stream/1", &id) };
        assert_eq!(call(&fleet, &req).await.status, 504);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(fleet.entry.log().contains("event=target_suspected target=t1"));
}
