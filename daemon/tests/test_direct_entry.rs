//! Admission, malformed requests and faulty answers at a real entry, with stand-ins for its targets.

use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rosemarymoor_platform_standins::caller::{Answer, Caller, CallerRequest};
use rosemarymoor_platform_standins::fixtures::{SMUGGLED_REQUEST, call, fleet, ok, script, target};
use rosemarymoor_platform_standins::fleet::PlatformFleet;
use rosemarymoor_platform_standins::target::{
    ReceivedRequest, Script, Step, TargetStandIn, not_run, refusal, signed,
};

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

#[tokio::test]
async fn a_call_goes_to_its_target_and_back_unchanged() {
    let target = target(ok).await;
    let fleet = fleet(BINARY, &target).await;
    let answer = call(&fleet, &CallerRequest::post("/unsafe/a%20b?x=1&y=%2f", "r1")).await;
    assert_eq!((answer.status, answer.text().as_str()), (200, "done"));
    assert_eq!(answer.seal(), Some("seal-r1"));
    let received = target.received();
    assert_eq!(received[0].request_line(), "POST /unsafe/a%20b?x=1&y=%2f HTTP/1.1");
    assert_eq!(received[0].body, b"hello");
    assert_eq!(received[0].header("expect-instance"), Some("t0"));
    assert_eq!(received[0].header("tenant"), Some("shop"));
    assert_eq!(received[0].header("authorization"), None);
    let left: u64 = received[0].header("deadline-ms").unwrap().parse().unwrap();
    assert!((2_000..=3_000).contains(&left), "{left}");
}

/// Defines a test for each request that is refused with a status and reaches no target.
macro_rules! refusal_cases {
    ($($name:ident: $req:expr => $status:literal;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let target = target(ok).await;
            let fleet = fleet(BINARY, &target).await;
            assert_eq!(call(&fleet, &$req).await.status, $status);
            assert_eq!(target.received().len(), 0, "nothing reaches the target");
        })*
    };
}

/// Returns a safe call with this API key.
fn with_key(key: &str) -> CallerRequest {
    CallerRequest { key: key.to_owned(), ..CallerRequest::get("/safe/1", "r1") }
}

refusal_cases! {
    an_unknown_key_is_refused: with_key("key-2") => 401;
    a_missing_key_is_refused: with_key("") => 401;
    an_unknown_path_is_refused: CallerRequest::get("/other/1", "r1") => 404;
    a_prefix_without_its_slash_is_refused: CallerRequest::get("/safe", "r1") => 404;
    a_body_over_the_limit_is_refused:
        CallerRequest { body: "x".repeat(100_001), ..CallerRequest::post("/unsafe/1", "r1") } => 413;
    a_request_without_an_identity_is_refused: CallerRequest::get("/safe/1", "") => 400;
}

/// Returns the bytes of a request whose body holds a second request.
fn smuggling_request(headers: &str, body: &str) -> Vec<u8> {
    let mut req = CallerRequest::post("/unsafe/1", "outer");
    req.headers = headers.to_owned();
    req.body = body.to_owned();
    req.bytes()
}

/// Defines a test for each byte sequence, none of which makes [`SMUGGLED_REQUEST`] reach a target.
macro_rules! smuggling_cases {
    ($($name:ident: $bytes:expr;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let target = target(ok).await;
            let fleet = fleet(BINARY, &target).await;
            let mut caller = Caller::connect(fleet.callers).await.unwrap();
            caller.send(&$bytes).await.unwrap();
            let _ = caller.answer().await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            let hidden = target.received().into_iter().filter(|received| {
                received.attempt_id() == "hidden" || received.request_line().contains("hidden")
            });
            assert_eq!(hidden.count(), 0, "a hidden request reached the target");
        })*
    };
}

smuggling_cases! {
    a_request_within_a_body_smuggles_nothing: smuggling_request("", SMUGGLED_REQUEST);
    content_length_and_chunked_coding_smuggle_nothing: smuggling_request(
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        &format!("{:x}\r\n{SMUGGLED_REQUEST}\r\n0\r\n\r\n", SMUGGLED_REQUEST.len()),
    );
    two_content_lengths_smuggle_nothing: smuggling_request("Content-Length: 4\r\n", SMUGGLED_REQUEST);
    a_bad_chunk_size_smuggles_nothing: smuggling_request(
        "Transfer-Encoding: chunked\r\n",
        &format!("zz\r\n{SMUGGLED_REQUEST}"),
    );
    an_unknown_transfer_coding_smuggles_nothing: smuggling_request("Transfer-Encoding: xchunked\r\n", SMUGGLED_REQUEST);
    a_folded_header_smuggles_nothing: smuggling_request("X-A: 1\r\n Content-Length: 0\r\n", SMUGGLED_REQUEST);
}

#[tokio::test]
async fn the_chunks_of_a_body_are_joined() {
    let target = target(ok).await;
    let fleet = fleet(BINARY, &target).await;
    let mut req = CallerRequest::post("/unsafe/1", "r1");
    req.headers = "Transfer-Encoding: chunked\r\n".to_owned();
    req.body = "3\r\nabc\r\n2;ext=1\r\nde\r\n0\r\n\r\n".to_owned();
    assert_eq!(call(&fleet, &req).await.status, 200);
    assert_eq!(target.received()[0].body, b"abcde");
}

#[tokio::test]
async fn a_slow_body_times_out() {
    let target = target(ok).await;
    let fleet = fleet(BINARY, &target).await;
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    let bytes = CallerRequest::post("/unsafe/1", "r1").bytes();
    caller.send(&bytes[..bytes.len() - 2]).await.unwrap();
    assert_eq!(caller.answer().await.unwrap().status, 408);
    assert_eq!(target.received().len(), 0);
}

#[tokio::test]
async fn an_idle_connection_is_closed_after_its_limit() {
    let target = target(ok).await;
    let fleet = fleet(BINARY, &target).await;
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    assert_eq!(caller.call(&CallerRequest::get("/safe/1", "r1")).await.unwrap().status, 200);
    tokio::time::sleep(Duration::from_millis(2_400)).await;
    assert_eq!(caller.call(&CallerRequest::get("/safe/1", "r2")).await.unwrap().status, 200);
    assert!(caller.is_closed().await);
}

#[tokio::test]
async fn connections_to_a_target_are_reused() {
    let target = target(ok).await;
    let fleet = fleet(BINARY, &target).await;
    for at in 0..4 {
        let answer = call(&fleet, &CallerRequest::get("/safe/1", &format!("r{at}"))).await;
        assert_eq!(answer.status, 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(target.received().iter().all(|received| received.connection == 0));
}

/// Returns a script that answers its first request with `answers` and all later ones with [`ok`].
fn faulty_first(answers: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static) -> Script {
    let count = AtomicU32::new(0);
    script(move |received| match count.fetch_add(1, Ordering::Relaxed) {
        0 => answers(received),
        _ => ok(received),
    })
}

/// Sends one request to an entry with two targets, of which the first one called is faulty.
/// Returns the answer and the number of requests that the targets received.
async fn call_with_faulty_first_target(
    path: &str,
    faulty: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
) -> (Answer, usize) {
    let shared = faulty_first(faulty);
    let one = TargetStandIn::spawn(shared.clone()).await.unwrap();
    let two = TargetStandIn::spawn(shared).await.unwrap();
    let targets = [("calls", &one), ("calls", &two)];
    let fleet = PlatformFleet::open(Path::new(BINARY), &targets).await.unwrap();
    let answer = call(&fleet, &CallerRequest::post(path, "r1")).await;
    (answer, one.received().len() + two.received().len())
}

/// Answers under the identity of another request.
fn answer_to_another_request(received: &ReceivedRequest) -> Vec<Step> {
    let other = ReceivedRequest { head: received.head.replace("r1", "r0"), ..received.clone() };
    vec![Step::Send(signed(&other, "200 OK", "of another"))]
}

/// Closes the connection 5 bytes before the end of the answer.
fn truncated_answer(received: &ReceivedRequest) -> Vec<Step> {
    let mut bytes = signed(received, "200 OK", "a longer body than that");
    bytes.truncate(bytes.len() - 5);
    vec![Step::Send(bytes), Step::Close]
}

fn error_status(received: &ReceivedRequest) -> Vec<Step> {
    vec![Step::Send(signed(received, "500 Internal Server Error", "oops"))]
}

/// Defines a test for each behaviour of the first target, with the status that the caller gets and
/// the number of requests that reach a target.
macro_rules! first_target_cases {
    ($($name:ident: $path:literal, $faulty:expr => $status:literal, $received:literal;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let (answer, received) = call_with_faulty_first_target($path, $faulty).await;
            assert_eq!((answer.status, received), ($status, $received));
        })*
    };
}

first_target_cases! {
    a_call_refused_by_a_full_target_is_retried: "/unsafe/1", |received: &ReceivedRequest| vec![Step::Send(not_run(received))] => 200, 2;
    a_call_refused_without_its_id_on_a_new_connection_is_retried:
        "/unsafe/1", |_: &ReceivedRequest| vec![Step::Send(refusal("503 Full", None))] => 200, 2;
    a_safe_call_is_retried_after_a_reset: "/safe/1", |_: &ReceivedRequest| vec![Step::Reset] => 200, 2;
    an_unsafe_call_is_not_retried_after_a_reset:
        "/unsafe/1", |_: &ReceivedRequest| vec![Step::Reset] => 502, 1;
    a_safe_call_is_retried_after_an_error_status: "/safe/1", error_status => 200, 2;
    an_error_status_of_an_unsafe_call_is_passed_on: "/unsafe/1", error_status => 500, 1;
    a_safe_call_is_retried_after_a_malformed_answer:
        "/safe/1", |_: &ReceivedRequest| vec![Step::Send(b"no answer\r\n\r\n".to_vec())] => 200, 2;
    an_answer_to_another_request_is_not_passed_on: "/unsafe/1", answer_to_another_request => 502, 1;
    a_safe_call_is_retried_after_another_requests_answer: "/safe/1", answer_to_another_request => 200, 2;
    a_truncated_answer_is_not_passed_on: "/unsafe/1", truncated_answer => 502, 1;
    a_safe_call_is_retried_after_a_truncated_answer: "/safe/1", truncated_answer => 200, 2;
    a_safe_call_is_retried_after_a_silent_target:
        "/safe/1", |_: &ReceivedRequest| vec![Step::Wait(Duration::from_secs(4))] => 200, 2;
}

#[tokio::test]
async fn an_error_status_keeps_its_seal_and_body() {
    let target = target(error_status).await;
    let fleet = fleet(BINARY, &target).await;
    let answer = call(&fleet, &CallerRequest::post("/unsafe/1", "r1")).await;
    assert_eq!((answer.status, answer.text().as_str()), (500, "oops"));
    assert_eq!(answer.seal(), Some("seal-r1"));
}

#[tokio::test]
async fn a_refusal_has_a_retry_after_header() {
    let target = target(|received| vec![Step::Send(not_run(received))]).await;
    let fleet = fleet(BINARY, &target).await;
    let answer = call(&fleet, &CallerRequest::post("/unsafe/1", "r1")).await;
    assert_eq!(answer.status, 503);
    let seconds: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!((0.1..2.0).contains(&seconds), "{seconds}");
    assert_eq!(answer.header("rosemarymoor-refusal"), Some("not-run"));
}

#[tokio::test]
async fn bytes_after_an_answer_never_reach_the_next_request() {
    let target = target(|received| {
        let mut bytes = signed(received, "200 OK", "done");
        bytes.extend(signed(received, "200 OK", "extra"));
        vec![Step::Send(bytes)]
    })
    .await;
    let fleet = fleet(BINARY, &target).await;
    for at in 0..5 {
        let answer = call(&fleet, &CallerRequest::post("/unsafe/1", &format!("r{at}"))).await;
        assert_eq!((answer.status, answer.text().as_str()), (200, "done"));
        assert_eq!(answer.seal(), Some(format!("seal-r{at}").as_str()));
    }
}

#[tokio::test]
async fn the_deadline_ends_a_call_that_hangs() {
    let target = target(|_| vec![Step::AwaitClose(Duration::from_secs(10))]).await;
    let fleet = fleet(BINARY, &target).await;
    let req = CallerRequest { deadline_ms: 600, ..CallerRequest::post("/unsafe/1", "r1") };
    let begun = Instant::now();
    let answer = call(&fleet, &req).await;
    assert_eq!(answer.status, 504);
    assert!(begun.elapsed() >= Duration::from_millis(550), "the call does not end early");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(target.abandoned(), ["r1"], "the target sees that the call was abandoned");
}

/// Disconnects the caller of `r1` while it waits for the answer. Returns the target and the
/// fleet: dropping the fleet would close the connection to the target as well.
async fn disconnect_while_waiting() -> (PlatformFleet, TargetStandIn) {
    let target = target(|_| vec![Step::AwaitClose(Duration::from_secs(10))]).await;
    let fleet = fleet(BINARY, &target).await;
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    caller.send(&CallerRequest::post("/unsafe/1", "r1").bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(caller);
    tokio::time::sleep(Duration::from_millis(450)).await;
    (fleet, target)
}

#[tokio::test]
async fn a_disconnected_callers_request_is_abandoned() {
    let (_fleet, target) = disconnect_while_waiting().await;
    assert_eq!(target.abandoned(), ["r1"]);
}

/// Guards against a request that is delivered after its caller has disconnected: one that was
/// waiting in the connection to a paused host ran when the host resumed, 2 s later (users' bench
/// shires-orders, day hosts-in-trouble, seed 400936896090). A reset discards such a request.
#[tokio::test]
async fn a_disconnected_callers_request_is_reset() {
    let (_fleet, target) = disconnect_while_waiting().await;
    assert_eq!(target.reset(), ["r1"]);
}
