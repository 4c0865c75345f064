//! Targets that send bytes without end, in the head or the body of an answer, until the entry closes
//! the connection.

use std::time::Duration;

use rosemarymoor_platform_standins::caller::{Caller, CallerRequest};
use rosemarymoor_platform_standins::fixtures::{call, fleet, ok, stream_request, target};
use rosemarymoor_platform_standins::target::{
    ReceivedRequest, Step, event, not_run_until_close, signed_head, stream_head,
    stream_head_until_close,
};
use tokio::task::JoinSet;

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Requests that a target answers without end at the same time.
const CONCURRENT: usize = 16;

/// Longest time for which a target sends; the requests' deadlines are far shorter.
const FLOOD_TIME: Duration = Duration::from_secs(30);

/// Time from the answer of a caller until its target's connection is closed.
const CLOSE_TIME: Duration = Duration::from_secs(1);

/// Memory that the platform gives an entry, in bytes.
const MEMORY_LIMIT: u64 = 110 << 20;

/// Size of what a target sends at once.
const PIECE_BYTES: usize = 16 << 10;

/// Deadline of the requests, in milliseconds.
const DEADLINE_MS: u64 = 1_500;

/// Sends the beginning of an answer, and then a text again and again.
fn flood(head: impl Into<Vec<u8>>, text: &str) -> Vec<Step> {
    let piece = text.repeat(PIECE_BYTES.div_ceil(text.len()));
    vec![Step::Send(head.into()), Step::Flood(piece.into_bytes(), FLOOD_TIME)]
}

fn chunked_head(received: &ReceivedRequest) -> String {
    signed_head(received, "200 OK", "Transfer-Encoding: chunked\r\n")
}

fn safe_call(id: &str) -> CallerRequest {
    let req = CallerRequest::get(&format!("/safe/{id}"), id);
    CallerRequest { deadline_ms: DEADLINE_MS, ..req }
}

fn stream(id: &str) -> CallerRequest {
    let req = stream_request(&format!("/stream/{id}"), id);
    CallerRequest { deadline_ms: DEADLINE_MS, ..req }
}

fn resumable_stream(id: &str) -> CallerRequest {
    let req = stream_request(&format!("/resume/{id}"), id);
    CallerRequest { deadline_ms: DEADLINE_MS, ..req }
}

/// Defines a test for each kind of endless answer: its requests end without a complete success, the
/// connections are closed, the entry's memory stays within its limit, and it serves on.
macro_rules! endless_cases {
    ($($case:ident: $request:expr, $answer:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $case() {
            let answer: fn(&ReceivedRequest) -> Vec<Step> = $answer;
            let endless = target(move |received| match received.attempt_id() {
                "sound" => ok(received),
                _ => answer(received),
            })
            .await;
            let fleet = fleet(BINARY, &endless).await;
            let request: fn(&str) -> CallerRequest = $request;
            let mut calls = JoinSet::new();
            for number in 0..CONCURRENT {
                let (address, req) = (fleet.callers, request(&format!("r{number}")));
                calls.spawn(async move {
                    let mut caller = Caller::connect(address).await.unwrap();
                    caller.call(&req).await
                });
            }
            let answers = calls.join_all().await;
            for answer in answers.iter().flatten() {
                assert!(answer.status != 200 || !answer.complete, "{}", answer.head);
            }
            tokio::time::sleep(CLOSE_TIME).await;
            let (received, closed) = (endless.received().len(), endless.abandoned().len());
            assert!(received >= CONCURRENT, "{received} received, answers {answers:?}");
            assert_eq!(closed, received, "all connections are closed");
            let peak = fleet.entry.peak_memory_bytes();
            assert!(peak < MEMORY_LIMIT, "{} MiB", peak >> 20);
            tokio::time::sleep(CLOSE_TIME * 3).await;
            let sound = call(&fleet, &CallerRequest::get("/safe/1", "sound")).await;
            assert_eq!(sound.status, 200);
        })*
    };
}

endless_cases! {
    a_status_line_without_end: safe_call, |_| flood("HTTP/1.1 200 O", "K");
    a_header_without_end: safe_call, |_| flood("HTTP/1.1 200 OK\r\nName: ", "value");
    header_lines_without_end: safe_call, |_| flood("HTTP/1.1 200 OK\r\n", "Name: value\r\n");
    interim_answers_without_end: safe_call, |_| flood("", "HTTP/1.1 103 Early Hints\r\n\r\n");
    interim_answers_without_end_to_a_stream: stream, |_| flood("", "HTTP/1.1 100 Continue\r\n\r\n");
    a_chunk_size_without_end: safe_call, |received| flood(chunked_head(received), "0");
    a_chunk_extension_without_end: safe_call,
        |received| flood(chunked_head(received) + "4;", "name");
    chunks_without_end: safe_call, |received| flood(chunked_head(received), "4\r\nbody\r\n");
    trailers_without_end: safe_call,
        |received| flood(chunked_head(received) + "4\r\nbody\r\n0\r\n", "Name: value\r\n");
    a_body_without_length_or_end: safe_call,
        |received| flood(signed_head(received, "200 OK", "Connection: close\r\n"), "body");
    a_failure_without_end: safe_call,
        |received| flood(signed_head(received, "500 Failed", "Connection: close\r\n"), "body");
    a_refusal_without_end: safe_call,
        |_| flood(not_run_until_close(), "body");
    an_event_without_end: stream, |received| flood(stream_head_until_close(received), "data: a\n");
    a_later_event_without_end: resumable_stream, |received| {
        let head = [stream_head_until_close(received), event(1).into_bytes()].concat();
        flood(head, "data: a\n")
    };
    chunk_sizes_without_end_in_a_stream: stream, |received| flood(stream_head(received), "0");
    events_without_end: stream,
        |received| flood(stream_head_until_close(received), "id: 1\ndata: a\n\n");
    events_without_end_in_a_resumable_stream: resumable_stream,
        |received| flood(stream_head_until_close(received), "data: a\n\n");
}
