//! Direct delivery with real processes before stand-ins of the platform.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rosemarymoor_platform_standins::caller::{Answer, Caller, CallerRequest};
use rosemarymoor_platform_standins::fleet::{LogReader, PlatformFleet, manifest};
use rosemarymoor_platform_standins::store::Trouble;
use rosemarymoor_platform_standins::target::{
    Received, Script, Step, TargetStandIn, chunk, event, last_chunk, not_run, signed, stream_head,
};
use rustix::process::Signal;

const PREPAID: u64 = 1_000_000;

fn binary() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_rosemarymoord"))
}

fn script(answer: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static) -> Script {
    Arc::new(answer)
}

async fn target(answer: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static) -> TargetStandIn {
    TargetStandIn::spawn(script(answer)).await.unwrap()
}

fn ok(received: &Received) -> Vec<Step> {
    vec![Step::Send(signed(received, "200 OK", "done"))]
}

/// Stream of events from one after `after` to `last`, `pause` apart.
fn events(received: &Received, after: u64, last: u64, pause: Duration) -> Vec<Step> {
    let mut steps = vec![Step::Send(stream_head(received))];
    for id in after + 1..=last {
        steps.push(Step::Send(chunk(&event(id))));
        steps.push(Step::Wait(pause));
    }
    steps.push(Step::Send(last_chunk()));
    steps
}

fn all_events(last: u64) -> String {
    (1..=last).map(event).collect()
}

/// Fleet of one entry before one target for each service.
async fn fleet(target: &TargetStandIn) -> PlatformFleet {
    PlatformFleet::open(&binary(), &[("calls", target), ("models", target)]).await.unwrap()
}

async fn call(fleet: &PlatformFleet, req: &CallerRequest) -> Answer {
    fleet.call(req).await.expect("every request is answered")
}

#[tokio::test]
async fn a_call_goes_to_its_target_and_back_unchanged() {
    let target = target(ok).await;
    let fleet = fleet(&target).await;
    let answer = call(&fleet, &CallerRequest::post("/unsafe/a%20b?x=1&y=%2f", "r1")).await;
    assert_eq!((answer.status, answer.text().as_str()), (200, "done"));
    assert_eq!(answer.seal(), Some("seal-r1"));
    let received = target.received();
    assert_eq!(received[0].line(), "POST /unsafe/a%20b?x=1&y=%2f HTTP/1.1");
    assert_eq!(received[0].body, b"hello");
    assert_eq!(received[0].header("expect-instance"), Some("t0"));
    assert_eq!(received[0].header("tenant"), Some("shop"));
    assert_eq!(received[0].header("authorization"), None);
    let left: u64 = received[0].header("deadline-ms").unwrap().parse().unwrap();
    assert!((2_000..=3_000).contains(&left), "{left}");
}

macro_rules! refusal_cases {
    ($($name:ident: $req:expr => $status:literal;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let target = target(ok).await;
            let fleet = fleet(&target).await;
            assert_eq!(call(&fleet, &$req).await.status, $status);
            assert_eq!(target.received().len(), 0, "nothing reaches the target");
        })*
    };
}

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

/// Bytes of a connection that hide a second request in the first one's body.
fn smuggled(headers: &str, body: &str) -> Vec<u8> {
    let mut req = CallerRequest::post("/unsafe/1", "outer");
    req.headers = headers.to_owned();
    req.body = body.to_owned();
    req.bytes()
}

const HIDDEN: &str = "GET /safe/hidden HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: hidden\r\n\
                      Authorization: Bearer key-1\r\n\r\n";

macro_rules! smuggling_cases {
    ($($name:ident: $bytes:expr;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let target = target(ok).await;
            let fleet = fleet(&target).await;
            let mut caller = Caller::connect(fleet.callers).await.unwrap();
            caller.send(&$bytes).await.unwrap();
            let _ = caller.answer().await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            let hidden = target.received().into_iter().filter(|seen| {
                seen.attempt_id() == "hidden" || seen.line().contains("hidden")
            });
            assert_eq!(hidden.count(), 0, "a hidden request reached the target");
        })*
    };
}

smuggling_cases! {
    a_request_within_a_body_stays_a_body: smuggled("", HIDDEN);
    both_lengths_hide_nothing: smuggled(
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        &format!("{:x}\r\n{HIDDEN}\r\n0\r\n\r\n", HIDDEN.len()),
    );
    two_lengths_hide_nothing: smuggled("Content-Length: 4\r\n", HIDDEN);
    a_bad_chunk_size_hides_nothing: smuggled(
        "Transfer-Encoding: chunked\r\n",
        &format!("zz\r\n{HIDDEN}"),
    );
    an_unknown_coding_hides_nothing: smuggled("Transfer-Encoding: xchunked\r\n", HIDDEN);
    a_folded_header_hides_nothing: smuggled("X-A: 1\r\n Content-Length: 0\r\n", HIDDEN);
}

#[tokio::test]
async fn a_chunked_body_arrives_as_one() {
    let target = target(ok).await;
    let fleet = fleet(&target).await;
    let mut req = CallerRequest::post("/unsafe/1", "r1");
    req.headers = "Transfer-Encoding: chunked\r\n".to_owned();
    req.body = "3\r\nabc\r\n2;ext=1\r\nde\r\n0\r\n\r\n".to_owned();
    assert_eq!(call(&fleet, &req).await.status, 200);
    assert_eq!(target.received()[0].body, b"abcde");
}

#[tokio::test]
async fn a_slow_body_is_given_up() {
    let target = target(ok).await;
    let fleet = fleet(&target).await;
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    let bytes = CallerRequest::post("/unsafe/1", "r1").bytes();
    caller.send(&bytes[..bytes.len() - 2]).await.unwrap();
    assert_eq!(caller.answer().await.unwrap().status, 408);
    assert_eq!(target.received().len(), 0);
}

#[tokio::test]
async fn an_idle_connection_is_closed_after_its_limit() {
    let target = target(ok).await;
    let fleet = fleet(&target).await;
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    assert_eq!(caller.call(&CallerRequest::get("/safe/1", "r1")).await.unwrap().status, 200);
    tokio::time::sleep(Duration::from_millis(2_400)).await;
    assert_eq!(caller.call(&CallerRequest::get("/safe/1", "r2")).await.unwrap().status, 200);
    assert!(caller.is_closed().await);
}

#[tokio::test]
async fn connections_to_a_target_are_used_again() {
    let target = target(ok).await;
    let fleet = fleet(&target).await;
    for at in 0..4 {
        let answer = call(&fleet, &CallerRequest::get("/safe/1", &format!("r{at}"))).await;
        assert_eq!(answer.status, 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(target.received().iter().all(|received| received.connection == 0));
}

/// First answer of a script that goes on well.
fn first(answers: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static) -> Script {
    let count = AtomicU32::new(0);
    script(move |received| match count.fetch_add(1, Ordering::Relaxed) {
        0 => answers(received),
        _ => ok(received),
    })
}

/// Runs one request against two targets of which the first one tried misbehaves.
async fn against_a_bad_first(
    path: &str,
    bad: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
) -> (Answer, usize) {
    let shared = first(bad);
    let one = TargetStandIn::spawn(shared.clone()).await.unwrap();
    let two = TargetStandIn::spawn(shared).await.unwrap();
    let targets = [("calls", &one), ("calls", &two)];
    let fleet = PlatformFleet::open(&binary(), &targets).await.unwrap();
    let answer = call(&fleet, &CallerRequest::post(path, "r1")).await;
    (answer, one.received().len() + two.received().len())
}

fn mixed_up(received: &Received) -> Vec<Step> {
    let other = Received { head: received.head.replace("r1", "r0"), ..received.clone() };
    vec![Step::Send(signed(&other, "200 OK", "of another"))]
}

fn cut_short(received: &Received) -> Vec<Step> {
    let mut bytes = signed(received, "200 OK", "a longer body than that");
    bytes.truncate(bytes.len() - 5);
    vec![Step::Send(bytes), Step::Close]
}

fn failure(received: &Received) -> Vec<Step> {
    vec![Step::Send(signed(received, "500 Internal Server Error", "oops"))]
}

macro_rules! first_target_cases {
    ($($name:ident: $path:literal, $bad:expr => $status:literal, $received:literal;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let (answer, received) = against_a_bad_first($path, $bad).await;
            assert_eq!((answer.status, received), ($status, $received));
        })*
    };
}

first_target_cases! {
    a_full_target_is_passed_over: "/unsafe/1", |_: &Received| vec![Step::Send(not_run())] => 200, 2;
    a_safe_call_is_tried_again_after_a_reset: "/safe/1", |_: &Received| vec![Step::Reset] => 200, 2;
    an_unsafe_call_is_not_tried_again_after_a_reset:
        "/unsafe/1", |_: &Received| vec![Step::Reset] => 502, 1;
    a_safe_call_is_tried_again_after_a_failure: "/safe/1", failure => 200, 2;
    an_unsafe_failure_is_passed_on: "/unsafe/1", failure => 500, 1;
    a_safe_call_is_tried_again_after_garbage:
        "/safe/1", |_: &Received| vec![Step::Send(b"no answer\r\n\r\n".to_vec())] => 200, 2;
    an_answer_to_another_request_is_not_passed_on: "/unsafe/1", mixed_up => 502, 1;
    a_safe_call_is_tried_again_after_another_requests_answer: "/safe/1", mixed_up => 200, 2;
    a_body_cut_short_is_no_answer: "/unsafe/1", cut_short => 502, 1;
    a_safe_call_is_tried_again_after_a_body_cut_short: "/safe/1", cut_short => 200, 2;
    a_silent_target_of_a_safe_call_is_passed_over:
        "/safe/1", |_: &Received| vec![Step::Wait(Duration::from_secs(4))] => 200, 2;
}

#[tokio::test]
async fn a_failure_keeps_its_seal_and_body() {
    let target = target(failure).await;
    let fleet = fleet(&target).await;
    let answer = call(&fleet, &CallerRequest::post("/unsafe/1", "r1")).await;
    assert_eq!((answer.status, answer.text().as_str()), (500, "oops"));
    assert_eq!(answer.seal(), Some("seal-r1"));
}

#[tokio::test]
async fn a_refusal_says_when_to_come_back() {
    let target = target(|_| vec![Step::Send(not_run())]).await;
    let fleet = fleet(&target).await;
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
    let fleet = fleet(&target).await;
    for at in 0..5 {
        let answer = call(&fleet, &CallerRequest::post("/unsafe/1", &format!("r{at}"))).await;
        assert_eq!((answer.status, answer.text().as_str()), (200, "done"));
        assert_eq!(answer.seal(), Some(format!("seal-r{at}").as_str()));
    }
}

#[tokio::test]
async fn the_deadline_ends_a_call_that_hangs() {
    let target = target(|_| vec![Step::AwaitClose(Duration::from_secs(10))]).await;
    let fleet = fleet(&target).await;
    let req = CallerRequest { deadline_ms: 600, ..CallerRequest::post("/unsafe/1", "r1") };
    let begun = Instant::now();
    let answer = call(&fleet, &req).await;
    assert_eq!(answer.status, 504);
    assert!(begun.elapsed() >= Duration::from_millis(550), "it is not given up early");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(target.abandoned(), ["r1"], "the target learns that nobody waits");
}

#[tokio::test]
async fn a_caller_that_leaves_frees_its_target() {
    let target = target(|_| vec![Step::AwaitClose(Duration::from_secs(10))]).await;
    let fleet = fleet(&target).await;
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    caller.send(&CallerRequest::post("/unsafe/1", "r1").bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(caller);
    tokio::time::sleep(Duration::from_millis(450)).await;
    assert_eq!(target.abandoned(), ["r1"]);
}

/// Found on the users' bench (shires-orders, day hosts-in-trouble, seed
/// 400936896090): a request that lay before a frozen host was delivered when the
/// host woke, two seconds after its caller had left. A reset takes it back.
#[tokio::test]
async fn a_caller_that_leaves_takes_its_request_back() {
    let target = target(|_| vec![Step::AwaitClose(Duration::from_secs(10))]).await;
    let fleet = fleet(&target).await;
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    caller.send(&CallerRequest::post("/unsafe/1", "r1").bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(caller);
    tokio::time::sleep(Duration::from_millis(450)).await;
    assert_eq!(target.reset(), ["r1"]);
}

fn stream_request(path: &str, id: &str) -> CallerRequest {
    CallerRequest {
        tokens: Some((1_000, 100)),
        deadline_ms: 5_000,
        ..CallerRequest::post(path, id)
    }
}

#[tokio::test]
async fn events_are_passed_on_as_they_come() {
    let target = target(|received| events(received, 0, 3, Duration::from_millis(700))).await;
    let fleet = fleet(&target).await;
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    caller.send(&stream_request("/stream/1", "r1").bytes()).await.unwrap();
    let begun = Instant::now();
    assert!(caller.read_until("piece 1").await);
    assert!(begun.elapsed() < Duration::from_millis(600), "the first event is not held");
    let answer = caller.answer().await.unwrap();
    assert!(answer.is_whole);
    assert_eq!(answer.text(), all_events(3));
}

#[tokio::test]
async fn a_stream_that_breaks_off_does_not_look_complete() {
    let target = target(|received| {
        let mut steps = events(received, 0, 2, Duration::ZERO);
        steps.pop();
        steps.push(Step::Send(chunk("id: 3\nda")));
        steps.push(Step::Wait(Duration::from_millis(100)));
        steps.push(Step::Reset);
        steps
    })
    .await;
    let fleet = fleet(&target).await;
    let answer = call(&fleet, &stream_request("/stream/1", "r1")).await;
    assert!(!answer.is_whole);
    assert_eq!(answer.text(), all_events(2), "half an event is not passed on");
    assert_eq!(target.received().len(), 1, "it must not run twice");
}

#[tokio::test]
async fn a_resumable_stream_goes_on_at_another_target() {
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
    let fleet = PlatformFleet::open(&binary(), &targets).await.unwrap();
    let answer = call(&fleet, &stream_request("/resume/1", "r1")).await;
    assert!(answer.is_whole);
    assert_eq!(answer.text(), all_events(9), "each event comes once and in order");
    assert_eq!((one.received().len(), two.received().len()), (1, 1));
    assert_eq!(answer.seal(), Some("seal-r1"));
}

#[tokio::test]
async fn a_resumable_stream_that_falls_silent_goes_on_elsewhere() {
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
    let fleet = PlatformFleet::open(&binary(), &targets).await.unwrap();
    let answer = call(&fleet, &stream_request("/resume/1", "r1")).await;
    assert_eq!((answer.is_whole, answer.text()), (true, all_events(5)));
    let abandoned = [one.abandoned(), two.abandoned()].concat();
    assert_eq!(abandoned, ["r1"], "the first run is stopped");
}

#[tokio::test]
async fn a_leaving_target_gets_no_new_work() {
    let (one, two) = (target(ok).await, target(ok).await);
    let targets = [("calls", &one), ("calls", &two)];
    let fleet = PlatformFleet::open(&binary(), &targets).await.unwrap();
    fleet.register("t0", "calls", one.address(), "draining");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = one.received().len();
    for at in 0..10 {
        call(&fleet, &CallerRequest::get("/safe/1", &format!("r{at}"))).await;
    }
    assert_eq!((one.received().len(), two.received().len()), (before, 10));
}

#[tokio::test]
async fn an_outage_of_the_store_refuses_nobody() {
    let target = target(ok).await;
    let fleet = fleet(&target).await;
    fleet.store.set_trouble(Trouble::Away);
    fleet.store.remove("servers/t0");
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(call(&fleet, &CallerRequest::get("/safe/1", "r1")).await.status, 200);
    assert_eq!(fleet.readiness().await, 200);
    fleet.store.set_trouble(Trouble::None);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(call(&fleet, &CallerRequest::get("/safe/1", "r2")).await.status, 200);
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    assert_eq!(call(&fleet, &CallerRequest::get("/safe/1", "r3")).await.status, 503);
}

#[tokio::test]
async fn a_garbage_registration_names_no_target() {
    let target = target(ok).await;
    let fleet = fleet(&target).await;
    fleet.store.put("servers/t9", &serde_json::json!(["garbage"]));
    fleet.store.put("servers/t8", &serde_json::json!({"service": "calls", "state": 5}));
    tokio::time::sleep(Duration::from_millis(200)).await;
    for at in 0..5 {
        let answer = call(&fleet, &CallerRequest::get("/safe/1", &format!("r{at}"))).await;
        assert_eq!(answer.status, 200);
    }
}

#[tokio::test]
async fn a_newer_configuration_is_in_force_and_never_goes_back() {
    let target = target(ok).await;
    let fleet = fleet(&target).await;
    assert_eq!(call(&fleet, &CallerRequest::get("/old/1", "r1")).await.status, 200);
    fleet.store.put("op/config", &manifest(10, PREPAID));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(call(&fleet, &CallerRequest::get("/old/1", "r2")).await.status, 404);
    fleet.store.put("op/config", &manifest(9, PREPAID));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(call(&fleet, &CallerRequest::get("/old/1", "r3")).await.status, 404);
}

#[tokio::test]
async fn lost_history_costs_no_change() {
    let target = target(ok).await;
    let fleet = fleet(&target).await;
    fleet.store.set_trouble(Trouble::Busy);
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.store.put("op/config", &manifest(10, PREPAID));
    fleet.store.forget_history();
    fleet.store.set_trouble(Trouble::None);
    tokio::time::sleep(Duration::from_millis(1_900)).await;
    assert_eq!(call(&fleet, &CallerRequest::get("/old/1", "r1")).await.status, 404);
}

#[tokio::test]
async fn a_stop_cuts_nothing_off() {
    let target = target(|received| events(received, 0, 8, Duration::from_millis(400))).await;
    let mut fleet = fleet(&target).await;
    let mut streaming = Caller::connect(fleet.callers).await.unwrap();
    streaming.send(&stream_request("/stream/1", "r1").bytes()).await.unwrap();
    assert!(streaming.read_until("piece 1").await);
    let mut kept = Caller::connect(fleet.callers).await.unwrap();
    kept.send(&stream_request("/stream/1", "r2").bytes()).await.unwrap();
    assert!(kept.answer().await.unwrap().is_whole);
    fleet.entry.signal(Signal::TERM);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(fleet.readiness().await, 503);
    // A kept connection gets its answer, and hears that it is the last one.
    let last = kept.call(&stream_request("/stream/1", "r3")).await.unwrap();
    assert!(last.is_whole);
    assert_eq!(last.header("connection"), Some("close"));
    assert!(streaming.answer().await.unwrap().is_whole);
    assert_eq!(fleet.entry.ended().await, Some(0));
}

#[tokio::test]
async fn a_hangup_reloads_the_settings() {
    let target = target(ok).await;
    let mut fleet = fleet(&target).await;
    fleet.write_entry_settings(|text| text.replace("= info", "= debug")).unwrap();
    fleet.entry.signal(Signal::HUP);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(fleet.entry.log().contains("event=reload outcome=taken log_level=DEBUG"));
    fleet.write_entry_settings(|text| text.replace("direct-entry", "nobody")).unwrap();
    fleet.entry.signal(Signal::HUP);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(fleet.entry.log().contains("event=reload outcome=kept_old"));
    assert!(fleet.entry.is_running());
    assert_eq!(call(&fleet, &CallerRequest::get("/safe/1", "r1")).await.status, 200);
}

/// Sends requests of 1,100 tokens that use 1,012 each until one is refused.
async fn spend(fleet: &PlatformFleet, most: u32) -> (u32, u16) {
    for at in 0..most {
        let answer = call(fleet, &stream_request("/stream/1", &format!("s{at}"))).await;
        if answer.status != 200 {
            return (at, answer.status);
        }
    }
    (most, 200)
}

async fn rich_fleet(target: &TargetStandIn, prepaid: u64) -> PlatformFleet {
    let targets = [("models", target)];
    PlatformFleet::with(&binary(), &targets, prepaid, LogReader::File).await.unwrap()
}

fn three_events(received: &Received) -> Vec<Step> {
    events(received, 0, 3, Duration::ZERO)
}

#[tokio::test]
async fn a_budget_is_spent_to_its_end_and_no_further() {
    let target = target(three_events).await;
    let fleet = rich_fleet(&target, 10_000).await;
    assert_eq!(spend(&fleet, 20).await, (9, 402));
    assert_eq!(target.received().len(), 9);
}

#[tokio::test]
async fn a_top_up_is_in_force_and_counts_once() {
    let target = target(three_events).await;
    let fleet = rich_fleet(&target, 2_000).await;
    assert_eq!(spend(&fleet, 5).await, (1, 402));
    fleet.store.put("op/config", &manifest(2, 4_000));
    fleet.store.put("op/config", &manifest(3, 4_000));
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(spend(&fleet, 5).await, (2, 402));
}

#[tokio::test]
async fn money_lasts_over_the_death_of_its_holder() {
    let target = target(three_events).await;
    let fleet = rich_fleet(&target, 200_000).await;
    let mut server = fleet.start_budget_server("side-1").await.unwrap();
    assert_eq!(spend(&fleet, 20).await.0, 20);
    assert!(!server.log().contains("money_refused"));
    server.kill();
    assert_eq!(spend(&fleet, 20).await.0, 20, "the entry stands in");
}

#[tokio::test]
async fn a_budget_servers_stop_hands_its_money_back() {
    let target = target(three_events).await;
    let fleet = rich_fleet(&target, 10_000).await;
    let mut server = fleet.start_budget_server("side-1").await.unwrap();
    assert_eq!(spend(&fleet, 4).await.0, 4);
    server.signal(Signal::TERM);
    assert_eq!(server.ended().await, Some(0));
    let spent = spend(&fleet, 20).await;
    assert_eq!(spent, (5, 402), "all that is left can be spent");
}

#[tokio::test]
async fn a_log_that_nobody_reads_holds_no_request_up() {
    let target = target(ok).await;
    let targets = [("calls", &target)];
    let fleet = PlatformFleet::with(&binary(), &targets, PREPAID, LogReader::Nobody).await.unwrap();
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    // A pipe takes 64 KiB; these lines are several times as much.
    for at in 0..600 {
        let answer = caller.call(&CallerRequest::get("/safe/1", &format!("r{at}"))).await.unwrap();
        assert_eq!(answer.status, 200);
    }
}

#[tokio::test]
async fn a_request_is_told_from_admission_to_settlement() {
    let target = target(three_events).await;
    let fleet = rich_fleet(&target, 10_000).await;
    call(&fleet, &stream_request("/stream/1", "r77")).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let log = fleet.entry.log();
    let expected = [
        "event=money_reserved request=r77",
        "event=admitted request=r77",
        "event=placed request=r77 try=1 target=t0",
        "event=stream_ended request=r77",
        "event=money_settled request=r77",
    ];
    let mut rest = log.as_str();
    for line in expected {
        let at = rest.find(line).unwrap_or_else(|| panic!("{line} is missing in order in\n{log}"));
        rest = &rest[at..];
    }
    assert!(log.contains("used=1012"), "{log}");
}

#[tokio::test]
async fn metrics_count_what_callers_got() {
    let target = target(three_events).await;
    let fleet = rich_fleet(&target, 2_000).await;
    assert_eq!(spend(&fleet, 5).await, (1, 402));
    let text = fleet.scrape().await;
    for line in [
        "requests_total{kind=\"stream\",outcome=\"answered\",otel_scope_name=\"direct-entry\"} 1",
        "refusals_total{code=\"2001\",otel_scope_name=\"direct-entry\"} 1",
        "tokens_charged_total{otel_scope_name=\"direct-entry\"} 1012",
        "catalog_version{otel_scope_name=\"direct-entry\"} 1",
    ] {
        assert!(text.contains(line), "{line} is missing in\n{text}");
    }
    assert!(text.contains("first_event_ms_bucket") && text.contains("money_ms_bucket"));
}
