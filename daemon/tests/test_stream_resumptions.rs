//! What a caller gets of a stream whose target breaks off or sends something else, and of answers to
//! its resumption that are no continuation: whole events in order, and a complete end only where a
//! target has ended the stream.

use std::path::Path;
use std::time::Duration;

use rosemarymoor_platform_standins::caller::{Answer, Caller};
use rosemarymoor_platform_standins::fixtures::{
    all_events, call, events, events_until_close, fleet, script, stream_request, target,
};
use rosemarymoor_platform_standins::fleet::PlatformFleet;
use rosemarymoor_platform_standins::target::{
    ReceivedRequest, Step, TargetStandIn, chunk, event, last_chunk, not_run, signed, signed_head,
    stream_head, stream_head_until_close,
};

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Events of a whole stream.
const EVENTS: u64 = 9;

/// Events that a target sends before it breaks off.
const BEGUN: u64 = 4;

/// Time in which what a target has sent reaches the entry.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);

const RAW_ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\noops";

const RAW_ERROR_IN_LOWER_CASE: &str =
    "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 4\r\nconnection: close\r\n\r\noops";

/// Sends the first events in chunks, then other bytes, and resets the connection.
fn begins_with(received: &ReceivedRequest, then: &[u8]) -> Vec<Step> {
    let mut steps = events(received, 0, BEGUN, Duration::ZERO);
    steps.pop();
    steps.extend([Step::Send(then.to_vec()), Step::Wait(ARRIVAL_TIME), Step::Reset]);
    steps
}

/// Sends the first events in chunks and resets the connection.
fn resets(received: &ReceivedRequest) -> Vec<Step> {
    begins_with(received, b"")
}

/// Sends the first events and other text, and ends properly by a last chunk.
fn ends_by_chunk(received: &ReceivedRequest, then: &str) -> Vec<Step> {
    let body = all_events(BEGUN) + then;
    vec![Step::Send(stream_head(received)), Step::Send(chunk(&body)), Step::Send(last_chunk())]
}

/// Sends the first events and other text, and ends with the connection.
fn ends_by_close(received: &ReceivedRequest, then: &str) -> Vec<Step> {
    let body = all_events(BEGUN) + then;
    vec![
        Step::Send(stream_head_until_close(received)),
        Step::Send(body.into_bytes()),
        Step::Wait(ARRIVAL_TIME),
        Step::Close,
    ]
}

/// Announces a longer body than the first events, and closes the connection after them.
fn ends_before_its_length(received: &ReceivedRequest) -> Vec<Step> {
    let length = all_events(EVENTS).len();
    let headers = format!("Content-Type: text/event-stream\r\nContent-Length: {length}\r\n");
    let head = signed_head(received, "200 OK", &headers);
    vec![Step::Send(format!("{head}{}", all_events(BEGUN)).into_bytes()), Step::Close]
}

/// Begins like `begin`, and answers a resumption like `resume`.
async fn resume(
    begin: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    resume: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
) -> (PlatformFleet, Vec<TargetStandIn>) {
    let shared = script(move |received| match received.header("last-event-id") {
        None => begin(received),
        Some(_) => resume(received),
    });
    let one = TargetStandIn::spawn(shared.clone()).await.unwrap();
    let two = TargetStandIn::spawn(shared).await.unwrap();
    let targets = [("models", &one), ("models", &two)];
    let fleet = PlatformFleet::open(Path::new(BINARY), &targets).await.unwrap();
    (fleet, vec![one, two])
}

/// Sends a request by HTTP/1.0, whose answers have no chunks.
async fn call_by_http_1_0(fleet: &PlatformFleet, path: &str) -> Option<Answer> {
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    let text = String::from_utf8(stream_request(path, "r10").bytes()).unwrap();
    caller.send(text.replace("HTTP/1.1", "HTTP/1.0").as_bytes()).await.unwrap();
    caller.answer().await
}

/// Asserts that a caller has got these first events and no complete end.
async fn assert_broken_off(fleet: &PlatformFleet, path: &str, events: u64) {
    let answer = call(fleet, &stream_request(path, "r1")).await;
    assert_eq!((answer.complete, answer.text()), (false, all_events(events)));
    let answer = call_by_http_1_0(fleet, path).await;
    assert!(answer.as_ref().is_none_or(|answer| !answer.complete), "{answer:?}");
}

/// Names each way in which a target does not go on with its stream after the first events.
macro_rules! interruptions {
    ($($case:ident: $begin:expr;)*) => {
        mod an_interrupted_stream_goes_on_at_another_target {
            use super::*;

            $(#[tokio::test]
            async fn $case() {
                let rest = |received: &_| events(received, BEGUN, EVENTS, Duration::ZERO);
                let (fleet, targets) = resume($begin, rest).await;
                let answer = call(&fleet, &stream_request("/resume/1", "r1")).await;
                assert_eq!((answer.complete, answer.text()), (true, all_events(EVENTS)));
                assert!(targets.iter().all(|target| target.received().len() == 1));
            })*
        }

        mod an_interrupted_stream_that_may_not_be_resumed_is_broken_off {
            use super::*;

            $(#[tokio::test]
            async fn $case() {
                let target = target($begin).await;
                let fleet = fleet(BINARY, &target).await;
                assert_broken_off(&fleet, "/stream/1", BEGUN).await;
            })*
        }
    };
}

interruptions! {
    by_a_reset: resets;
    by_a_close_before_the_last_chunk: |received| {
        let mut steps = begins_with(received, b"");
        steps.pop();
        [steps, vec![Step::Close]].concat()
    };
    inside_a_chunk: |received| begins_with(received, b"20\r\nid: 5\nda");
    by_a_chunk_size_that_is_no_number: |received| begins_with(received, b"oops\r\n");
    before_its_length: ends_before_its_length;
    by_a_raw_error_in_place_of_a_chunk: |received| begins_with(received, RAW_ERROR.as_bytes());
    by_a_raw_error_in_a_chunk: |received| ends_by_chunk(received, RAW_ERROR);
    by_a_raw_error_and_the_close: |received| ends_by_close(received, RAW_ERROR);
    by_a_raw_error_in_lower_case: |received| ends_by_close(received, RAW_ERROR_IN_LOWER_CASE);
    by_a_raw_head_alone: |received| ends_by_close(received, RAW_ERROR.trim_end_matches("oops"));
    by_a_raw_error_inside_an_event: |received| {
        ends_by_close(received, &format!("id: 5\ndata: pie{RAW_ERROR}"))
    };
    by_a_raw_error_in_lower_case_inside_an_event: |received| {
        ends_by_close(received, &format!("id: 5\ndata: pie{RAW_ERROR_IN_LOWER_CASE}"))
    };
    by_a_line_that_is_no_field: |received| ends_by_chunk(received, "upstream reset\n\n");
    by_an_object: |received| ends_by_chunk(received, "{\"error\": \"overloaded\"}\n\n");
}

/// Returns a signed answer of status 200 with these headers and this body.
fn success(received: &ReceivedRequest, headers: &str, body: &str) -> Vec<Step> {
    let headers = format!("{headers}Content-Length: {}\r\n", body.len());
    vec![Step::Send(format!("{}{body}", signed_head(received, "200 OK", &headers)).into_bytes())]
}

/// Returns a signed stream with this body.
fn stream_of(received: &ReceivedRequest, body: &str) -> Vec<Step> {
    success(received, "Content-Type: text/event-stream\r\n", body)
}

/// Returns the text of events.
fn text_of(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(event).collect()
}

/// Returns an answer with an error status and a body.
fn failure(received: &ReceivedRequest, status: &str) -> Vec<Step> {
    vec![Step::Send(signed(received, status, "{\"error\": \"oops\"}\n\n"))]
}

/// Names each answer to a resumption that is not the rest of the stream, with the number of events
/// that the caller gets.
macro_rules! answers_that_are_no_continuation {
    ($($case:ident: $resume:expr => $events:expr;)*) => {
        mod a_resumption_does_not_pass_on {
            use super::*;

            $(#[tokio::test]
            async fn $case() {
                let (fleet, _targets) = resume(resets, $resume).await;
                assert_broken_off(&fleet, "/resume/1", $events).await;
            })*
        }
    };
}

answers_that_are_no_continuation! {
    an_internal_error: |received| failure(received, "500 Internal Server Error") => BEGUN;
    a_bad_gateway: |received| failure(received, "502 Bad Gateway") => BEGUN;
    an_unsigned_refusal: |_| {
        vec![Step::Send(b"HTTP/1.1 503 Busy\r\nContent-Length: 6\r\n\r\noops\n\n".to_vec())]
    } => BEGUN;
    a_signed_refusal: |received| failure(received, "503 Service Unavailable") => BEGUN;
    a_gateway_timeout: |received| failure(received, "504 Gateway Timeout") => BEGUN;
    a_request_not_run: |received| vec![Step::Send(not_run(received))] => BEGUN;
    no_answer: |_| vec![Step::Reset] => BEGUN;
    bytes_that_are_no_answer: |_| vec![Step::Send(b"oops\n\n".to_vec()), Step::Close] => BEGUN;
    a_stream_without_a_seal: |received| {
        let text = String::from_utf8(stream_head(received)).unwrap();
        let head = text.replace("Server-Seal", "Server-Other").into_bytes();
        let rest = chunk(&text_of(BEGUN + 1..=EVENTS));
        vec![Step::Send(head), Step::Send(rest), Step::Send(last_chunk())]
    } => BEGUN;
    a_stream_of_another_request: |received| {
        let text = String::from_utf8(stream_head(received)).unwrap();
        let head = text.replace("Attempt-Id: r", "Attempt-Id: other").into_bytes();
        let rest = chunk(&text_of(BEGUN + 1..=EVENTS));
        vec![Step::Send(head), Step::Send(rest), Step::Send(last_chunk())]
    } => BEGUN;
    plain_text: |received| success(received, "Content-Type: text/plain\r\n", "oops\n\n") => BEGUN;
    an_object: |received| {
        success(received, "Content-Type: application/json\r\n", "{\"error\": \"oops\"}\n\n")
    } => BEGUN;
    events_of_another_type: |received| {
        success(received, "Content-Type: text/plain\r\n", &text_of(BEGUN + 1..=EVENTS))
    } => BEGUN;
    an_encoded_body: |received| {
        let headers = "Content-Type: text/event-stream\r\nContent-Encoding: gzip\r\n";
        success(received, headers, &text_of(BEGUN + 1..=EVENTS))
    } => BEGUN;
    a_raw_error_before_its_events: |received| {
        stream_of(received, &format!("{RAW_ERROR}\n\n{}", text_of(BEGUN + 1..=EVENTS)))
    } => BEGUN;
    a_raw_error_after_an_event: |received| {
        stream_of(received, &format!("{}{RAW_ERROR}", event(BEGUN + 1)))
    } => BEGUN + 1;
    an_error_event: |received| stream_of(received, "event: error\ndata: oops\n\n") => BEGUN;
    events_without_ids: |received| stream_of(received, "data: piece 5\n\n") => BEGUN;
    an_event_without_an_id_after_others: |received| {
        stream_of(received, &format!("{}data: piece 6\n\n", event(BEGUN + 1)))
    } => BEGUN + 1;
    an_id_that_is_no_number: |received| stream_of(received, "id: x\ndata: piece 5\n\n") => BEGUN;
    events_after_a_gap: |received| stream_of(received, &text_of(BEGUN + 3..=EVENTS)) => BEGUN;
    events_around_a_gap: |received| stream_of(received, &text_of([5, 6, 8, 9])) => BEGUN + 2;
    events_of_another_stream: |received| stream_of(received, &text_of(101..105)) => BEGUN;
    events_that_the_caller_has: |received| stream_of(received, &text_of(1..=BEGUN)) => BEGUN;
    an_end_by_length_before_any_event: |received| stream_of(received, "") => BEGUN;
    an_end_by_chunk_before_any_event: |received| {
        events(received, 0, 0, Duration::ZERO)
    } => BEGUN;
    an_end_by_close_before_any_event: |received| {
        events_until_close(received, 0, 0, Duration::ZERO)
    } => BEGUN;
    only_a_comment: |received| stream_of(received, ": waiting\n\n") => BEGUN;
}

/// Names each rest of a stream that goes on where it broke off.
macro_rules! continuations {
    ($($case:ident: $begin:expr, $resume:expr => $expected:expr;)*) => {
        mod a_resumption_passes_on {
            use super::*;

            $(#[tokio::test]
            async fn $case() {
                let (fleet, _targets) = resume($begin, $resume).await;
                let answer = call(&fleet, &stream_request("/resume/1", "r1")).await;
                assert_eq!((answer.complete, answer.text()), (true, $expected));
            })*
        }
    };
}

continuations! {
    events_after_some_that_the_caller_has: resets, |received| {
        stream_of(received, &text_of(BEGUN - 1..=EVENTS))
    } => all_events(EVENTS);
    comments_after_its_first_event: resets, |received| {
        let body = format!(": waiting\n\n{}: waiting\n\n{}", text_of([5]), text_of(6..=EVENTS));
        stream_of(received, &body)
    } => format!("{}: waiting\n\n{}", all_events(5), text_of(6..=EVENTS));
    events_of_the_same_type_with_another_parameter: resets, |received| {
        let headers = "Content-Type: Text/Event-Stream; charset=utf-8\r\n";
        success(received, headers, &text_of(BEGUN + 1..=EVENTS))
    } => all_events(EVENTS);
    fields_of_other_names: resets, |received| {
        stream_of(received, &format!("weight-versions: 2\n{}", text_of(BEGUN + 1..=EVENTS)))
    } => format!("{}weight-versions: 2\n{}", all_events(BEGUN), text_of(BEGUN + 1..=EVENTS));
    ids_with_gaps_where_the_stream_began_with_some: |received| {
        let body = chunk(&text_of([2, 4, 8]));
        let sent = vec![Step::Send(stream_head(received)), Step::Send(body)];
        [sent, vec![Step::Wait(ARRIVAL_TIME), Step::Reset]].concat()
    }, |received| stream_of(received, &text_of([16, 32])) => text_of([2, 4, 8, 16, 32]);
}
