//! Requests that arrive late in the stop of an entry, on each route and with each framing of their
//! bodies, in calm: each gets a whole answer or a refusal that is true, and none is cut without one.

use std::time::Duration;

use rosemarymoor_platform_standins::caller::{Answer, Caller, CallerRequest};
use rosemarymoor_platform_standins::fixtures::{fleet, stream_request, target};
use rosemarymoor_platform_standins::fleet::{PREPAID, PlatformFleet, manifest};
use rosemarymoor_platform_standins::target::{ReceivedRequest, Step, TargetStandIn, signed};
use tokio::time::Instant;

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Limit of all requests, longer than the grace of 8 s.
const LIMIT_MS: u64 = 15_000;

/// Times after the signal at which requests are sent: while the entry still accepts connections, after
/// that, and just before it cuts what runs.
const SENT_AFTER_MS: [u64; 4] = [2_500, 3_500, 5_500, 6_900];

/// Work of the target, longer than what is left of the grace at the latest times.
const WORK: Duration = Duration::from_millis(2_500);

const BODY: &str = "hello";

/// How the body of a request is framed, and when it arrives.
#[derive(Clone, Copy, PartialEq)]
enum Framing {
    Length,
    Chunks,
    /// With a length, and its last byte half a second after the rest.
    Slow,
}

fn request(path: &str, id: &str, framing: Framing) -> CallerRequest {
    let req = match path.starts_with("/safe") || path.starts_with("/unsafe") {
        true => CallerRequest::post(path, id),
        false => stream_request(path, id),
    };
    let req = CallerRequest { deadline_ms: LIMIT_MS, ..req };
    match framing {
        Framing::Chunks => CallerRequest {
            headers: "Transfer-Encoding: chunked\r\n".to_owned(),
            body: format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len()),
            ..req
        },
        Framing::Length | Framing::Slow => CallerRequest { body: BODY.to_owned(), ..req },
    }
}

/// Answers once its work is done.
fn slow_answer(received: &ReceivedRequest) -> Vec<Step> {
    vec![Step::Wait(WORK), Step::Send(signed(received, "200 OK", "id: 1\ndata: piece 1\n\n"))]
}

async fn fleet_with_long_limits(target: &TargetStandIn) -> PlatformFleet {
    let fleet = fleet(BINARY, target).await;
    let text = manifest(2, PREPAID).to_string();
    let text = text.replace("\"timeout_ms\":5000", &format!("\"timeout_ms\":{LIMIT_MS}"));
    fleet.store.put("op/config", &serde_json::from_str(&text).unwrap());
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet
}

/// Sends a request on an open connection, and returns its answer.
async fn send_late(mut caller: Caller, req: CallerRequest, framing: Framing) -> Option<Answer> {
    let bytes = req.bytes();
    let (first, last) = bytes.split_at(bytes.len() - 1);
    let sent = caller.send(first).await;
    if framing == Framing::Slow {
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    // The entry may have closed the connection before it has read the request.
    sent.and(caller.send(last).await).ok()?;
    caller.answer().await
}

async fn check(path: &str, framing: Framing) {
    let target = target(slow_answer).await;
    let mut fleet = fleet_with_long_limits(&target).await;
    let mut callers = Vec::new();
    for _ in SENT_AFTER_MS {
        callers.push(Caller::connect(fleet.callers).await.unwrap());
    }
    let signalled_at = Instant::now();
    fleet.entry.terminate();
    let sending = callers.into_iter().zip(SENT_AFTER_MS).map(|(caller, after_ms)| async move {
        tokio::time::sleep_until(signalled_at + Duration::from_millis(after_ms)).await;
        let req = request(&format!("{path}{after_ms}"), &format!("r{after_ms}"), framing);
        (after_ms, send_late(caller, req, framing).await)
    });
    for (after_ms, answer) in futures_util::future::join_all(sending).await {
        let id = format!("r{after_ms}");
        let has_run = target.received().iter().any(|received| received.attempt_id() == id);
        let Some(answer) = answer else {
            assert!(!has_run, "{after_ms} ms: passed on and cut without an answer");
            continue;
        };
        assert!(answer.complete, "{after_ms} ms: cut in the middle: {}", answer.head);
        let is_promise = [408, 421, 429, 503].contains(&answer.status);
        assert!(!has_run || !is_promise, "{after_ms} ms: {} and has run", answer.status);
        assert!(has_run || answer.status != 200, "{after_ms} ms: nobody answered it");
    }
    assert_eq!(fleet.entry.wait_exit_code().await, Some(0));
}

/// Names each route and framing.
macro_rules! late_requests {
    ($($case:ident: $path:literal, $framing:ident;)*) => {
        mod a_request_late_in_a_stop_is_not_cut_without_an_answer {
            use super::*;

            $(#[tokio::test]
            async fn $case() {
                check($path, Framing::$framing).await;
            })*
        }
    };
}

late_requests! {
    safe_with_a_length: "/safe/", Length;
    safe_in_chunks: "/safe/", Chunks;
    safe_with_a_slow_body: "/safe/", Slow;
    unsafe_with_a_length: "/unsafe/", Length;
    unsafe_in_chunks: "/unsafe/", Chunks;
    unsafe_with_a_slow_body: "/unsafe/", Slow;
    stream_with_a_length: "/stream/", Length;
    stream_in_chunks: "/stream/", Chunks;
    stream_with_a_slow_body: "/stream/", Slow;
    resumable_with_a_length: "/resume/", Length;
    resumable_in_chunks: "/resume/", Chunks;
    resumable_with_a_slow_body: "/resume/", Slow;
}
