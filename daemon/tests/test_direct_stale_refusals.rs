//! Faulty targets that send an earlier refusal once more on a kept connection.
//!
//! No caller is told that a request did not run which a target runs, and what may not be repeated
//! runs once.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::join_all;
use rosemarymoor_platform_standins::caller::{Answer, CallerRequest};
use rosemarymoor_platform_standins::fixtures::{call, events, stream_request, target};
use rosemarymoor_platform_standins::fleet::PlatformFleet;
use rosemarymoor_platform_standins::target::{
    ReceivedRequest, Step, TargetStandIn, not_run, refusal, signed,
};

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Id of the request that is turned away.
const EARLIER: &str = "earlier";

/// Time for which a target runs a request.
const RUN_TIME: Duration = Duration::from_millis(250);

/// Pause in which a connection becomes usable again.
const IDLE: Duration = Duration::from_millis(250);

/// When a target sends one refusal too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    /// At once, in the same write.
    AtOnce,
    /// After a pause, while the connection is idle.
    Idle,
    /// While it runs the next request.
    Running,
}

/// Returns a request with an id.
type Next = fn(&str) -> CallerRequest;

fn unsafe_call(id: &str) -> CallerRequest {
    CallerRequest::post("/unsafe/1", id)
}

fn safe_call(id: &str) -> CallerRequest {
    CallerRequest::get("/safe/1", id)
}

fn stream(id: &str) -> CallerRequest {
    stream_request("/stream/1", id)
}

fn resumable_stream(id: &str) -> CallerRequest {
    stream_request("/resume/1", id)
}

/// Answers a request that has run.
fn run(received: &ReceivedRequest) -> Vec<Step> {
    let mut steps = vec![Step::Wait(RUN_TIME)];
    match received.header("token-usage") {
        Some(_) => steps.extend(events(received, 0, 2, Duration::ZERO)),
        None => steps.push(Step::Send(signed(received, "200 OK", "done"))),
    }
    steps
}

/// Script of the targets of a test: they turn the earlier request away, run all others and send one
/// refusal too many.
struct Faulty {
    stale: Vec<u8>,
    moment: Moment,
    /// Whether the refusal has been sent during a run.
    is_sent: AtomicBool,
}

impl Faulty {
    fn answer(&self, received: &ReceivedRequest) -> Vec<Step> {
        let is_earlier = received.attempt_id() == EARLIER;
        let stale = Step::Send(self.stale.clone());
        match self.moment {
            Moment::AtOnce if is_earlier => {
                vec![Step::Send([not_run(received), self.stale.clone()].concat())]
            }
            Moment::Idle if is_earlier => {
                vec![Step::Send(not_run(received)), Step::Wait(Duration::from_millis(20)), stale]
            }
            Moment::Running if is_earlier => vec![Step::Send(not_run(received))],
            Moment::Running if !self.is_sent.swap(true, Ordering::Relaxed) => {
                [vec![stale], run(received)].concat()
            }
            _ => run(received),
        }
    }
}

/// Starts targets with one script, and an entry before them.
async fn fleet_of(faulty: Faulty, count: usize) -> (PlatformFleet, Vec<TargetStandIn>) {
    let faulty = Arc::new(faulty);
    let mut targets = Vec::new();
    for _ in 0..count {
        let faulty = faulty.clone();
        targets.push(target(move |received| faulty.answer(received)).await);
    }
    (fleet_before(&targets).await, targets)
}

/// Starts an entry before targets that offer all services.
async fn fleet_before(targets: &[TargetStandIn]) -> PlatformFleet {
    let services = ["calls", "models"];
    let listed: Vec<_> =
        targets.iter().flat_map(|target| services.map(|service| (service, target))).collect();
    PlatformFleet::open(Path::new(BINARY), &listed).await.unwrap()
}

/// Returns the requests with an id that reached the targets.
fn with_id(targets: &[TargetStandIn], id: &str) -> Vec<ReceivedRequest> {
    let received = targets.iter().flat_map(TargetStandIn::received);
    received.filter(|received| received.attempt_id() == id).collect()
}

/// Has a request turned away by all targets, and sends another one on the connections that are
/// kept. Returns its status, and the requests with its id that reached a target.
async fn call_after_refusal(
    next: Next,
    faulty: Faulty,
    targets: usize,
) -> (u16, Vec<ReceivedRequest>) {
    let (fleet, targets) = fleet_of(faulty, targets).await;
    assert_eq!(call(&fleet, &next(EARLIER)).await.status, 503);
    assert_eq!(with_id(&targets, EARLIER).len(), targets.len());
    tokio::time::sleep(IDLE).await;
    let answer = call(&fleet, &next("next")).await;
    tokio::time::sleep(IDLE).await;
    (answer.status, with_id(&targets, "next"))
}

/// Refusal that names the request that was turned away.
fn named(status: &str) -> Vec<u8> {
    refusal(status, Some(EARLIER))
}

/// Refusal that names no request.
fn unnamed(status: &str) -> Vec<u8> {
    refusal(status, None)
}

/// Defines a test for each refusal too many: the status of the next request and the number of targets
/// that it reaches, if there is one target, and if there is another one.
macro_rules! stale_refusals {
    ($($name:ident: $next:ident, $moment:ident, $stale:expr => $alone:expr, $beside_another:expr;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let mut outcomes = Vec::new();
            for targets in 1..=2 {
                let moment = Moment::$moment;
                let faulty = Faulty { stale: $stale, moment, is_sent: AtomicBool::new(false) };
                let (status, received) = call_after_refusal($next, faulty, targets).await;
                let is_kept = received[0].connection == 0;
                assert_eq!(is_kept, moment == Moment::Running, "with {targets} targets");
                outcomes.push((status, received.len()));
            }
            assert_eq!(outcomes, [$alone, $beside_another]);
        })*
    };
}

stale_refusals! {
    a_503_without_an_id_while_a_call_runs: unsafe_call, Running, unnamed("503 Full") => (502, 1), (502, 1);
    a_421_without_an_id_while_a_call_runs: unsafe_call, Running, unnamed("421 Other") => (502, 1), (502, 1);
    a_429_without_an_id_while_a_call_runs: unsafe_call, Running, unnamed("429 Full") => (502, 1), (502, 1);
    a_400_without_an_id_while_a_call_runs: unsafe_call, Running, unnamed("400 Bad") => (502, 1), (502, 1);
    a_503_with_its_id_while_a_call_runs: unsafe_call, Running, named("503 Full") => (502, 1), (502, 1);
    a_421_with_its_id_while_a_call_runs: unsafe_call, Running, named("421 Other") => (502, 1), (502, 1);
    a_429_with_its_id_while_a_call_runs: unsafe_call, Running, named("429 Full") => (502, 1), (502, 1);
    a_503_without_an_id_while_a_stream_runs: stream, Running, unnamed("503 Full") => (502, 1), (502, 1);
    a_421_without_an_id_while_a_stream_runs: stream, Running, unnamed("421 Other") => (502, 1), (502, 1);
    a_503_with_its_id_while_a_stream_runs: stream, Running, named("503 Full") => (502, 1), (502, 1);
    a_503_without_an_id_while_a_safe_call_runs: safe_call, Running, unnamed("503 Full") => (502, 1), (200, 2);
    a_503_with_its_id_while_a_safe_call_runs: safe_call, Running, named("503 Full") => (502, 1), (200, 2);
    a_503_without_an_id_while_a_resumable_stream_runs:
        resumable_stream, Running, unnamed("503 Full") => (502, 1), (200, 2);
    a_503_without_an_id_in_the_same_write: unsafe_call, AtOnce, unnamed("503 Full") => (200, 1), (200, 1);
    a_421_without_an_id_in_the_same_write: unsafe_call, AtOnce, unnamed("421 Other") => (200, 1), (200, 1);
    a_503_without_an_id_in_the_same_write_before_a_stream:
        stream, AtOnce, unnamed("503 Full") => (200, 1), (200, 1);
    a_503_without_an_id_on_an_idle_connection: unsafe_call, Idle, unnamed("503 Full") => (200, 1), (200, 1);
    a_503_with_its_id_on_an_idle_connection: unsafe_call, Idle, named("503 Full") => (200, 1), (200, 1);
    a_503_without_an_id_on_an_idle_connection_before_a_stream:
        stream, Idle, unnamed("503 Full") => (200, 1), (200, 1);
}

/// Answers the first request of each connection, and sends a refusal without an id instead of the
/// answer to the next one, which then runs until its connection ends.
fn refuse_and_run(received: &ReceivedRequest) -> Vec<Step> {
    match received.attempt_id() {
        "next" if received.connection == 0 => {
            vec![Step::Send(unnamed("503 Full")), Step::AwaitClose(2 * RUN_TIME)]
        }
        _ => vec![Step::Send(signed(received, "200 OK", "done"))],
    }
}

#[tokio::test]
async fn a_call_that_is_not_certainly_refused_ends_at_its_target() {
    let target = target(refuse_and_run).await;
    let fleet = PlatformFleet::open(Path::new(BINARY), &[("calls", &target)]).await.unwrap();
    assert_eq!(call(&fleet, &safe_call(EARLIER)).await.status, 200);
    tokio::time::sleep(IDLE).await;
    call(&fleet, &safe_call("next")).await;
    tokio::time::sleep(3 * RUN_TIME).await;
    assert_eq!(target.abandoned(), ["next"]);
}

/// Answers all requests; sends a refusal without an id after each whose id begins with `e`, when its
/// connection is about to be used again.
fn send_again_later(received: &ReceivedRequest) -> Vec<Step> {
    let Some(round) = received.attempt_id().strip_prefix('e') else {
        return [run(received), vec![Step::Close]].concat();
    };
    let pause = Duration::from_millis(40 + 2 * round.parse::<u64>().unwrap());
    let answer = Step::Send(signed(received, "200 OK", "done"));
    vec![answer, Step::Wait(pause), Step::Send(unnamed("503 Full"))]
}

#[tokio::test]
async fn a_refusal_that_crosses_the_next_call_does_not_deny_it() {
    let targets = [target(send_again_later).await];
    let listed = [("calls", &targets[0])];
    let fleet = PlatformFleet::open(Path::new(BINARY), &listed).await.unwrap();
    let mut kept = 0;
    for round in 0..24 {
        let (earlier, id) = (format!("e{round}"), format!("n{round}"));
        call(&fleet, &unsafe_call(&earlier)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let status = call(&fleet, &unsafe_call(&id)).await.status;
        assert!([200, 502].contains(&status), "{id}: {status}");
        let received = with_id(&targets, &id);
        assert!(received.len() <= 1, "{id} reaches the target {} times", received.len());
        let connection = with_id(&targets, &earlier)[0].connection;
        kept += received.iter().filter(|received| received.connection == connection).count();
    }
    assert!(kept > 0, "no connection was kept");
}

/// Time for which the other target keeps a request before it turns it away.
const HELD: Duration = Duration::from_millis(1_000);

/// Turns each request away; if it comes again on the same connection, does so once more and runs it.
fn refuse_again_and_run(
    received: &ReceivedRequest,
    first: &Mutex<Vec<(String, usize)>>,
) -> Vec<Step> {
    let mut first = first.lock().unwrap();
    let id = received.attempt_id().to_owned();
    let Some((_, connection)) = first.iter().find(|(earlier, _)| *earlier == id) else {
        first.push((id, received.connection));
        return vec![Step::Send(not_run(received))];
    };
    let mut steps = run(received);
    if *connection == received.connection {
        steps.insert(0, Step::Send(not_run(received)));
    }
    steps
}

/// Keeps each request for a while and turns it away.
fn hold(received: &ReceivedRequest) -> Vec<Step> {
    vec![Step::Wait(HELD), Step::Send(not_run(received))]
}

/// Keeps each stream for a while after its first event and breaks it off.
fn break_off(received: &ReceivedRequest) -> Vec<Step> {
    let mut steps = events(received, 0, 1, HELD);
    steps.pop();
    steps.push(Step::Reset);
    steps
}

/// Sends a request that one target turns away, that the other one has for a while, and that then
/// comes to the first one again, which has been listed anew. Returns its status, and how often it came
/// to the first target.
async fn call_that_comes_again(
    next: Next,
    other: fn(&ReceivedRequest) -> Vec<Step>,
) -> (Answer, usize) {
    let first = Mutex::new(Vec::new());
    let refusing = target(move |received| refuse_again_and_run(received, &first)).await;
    let other = target(other).await;
    let listed =
        [("calls", &refusing), ("models", &other), ("calls", &other), ("models", &refusing)];
    let fleet = Arc::new(PlatformFleet::open(Path::new(BINARY), &listed).await.unwrap());
    for number in 0..20 {
        tokio::time::sleep(IDLE).await;
        let id = format!("r{number}");
        let calling = tokio::spawn({
            let (fleet, req) = (fleet.clone(), next(&id));
            async move { call(&fleet, &req).await }
        });
        tokio::time::sleep(HELD / 10).await;
        let is_first = refusing.received().iter().any(|received| received.attempt_id() == id);
        for (target, service) in [("t0", "calls"), ("t3", "models")] {
            fleet.store.unregister(target);
            tokio::time::sleep(HELD / 10).await;
            fleet.register(target, service, refusing.address(), "ready");
        }
        let answer = calling.await.unwrap();
        if is_first {
            let received = refusing.received();
            return (
                answer,
                received.iter().filter(|received| received.attempt_id() == id).count(),
            );
        }
    }
    panic!("no request went to the refusing target first");
}

/// Defines a test for each kind of request that comes again to a target that turned it away.
macro_rules! requests_that_come_again {
    ($($name:ident: $next:ident, $other:ident;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let (answer, received) = call_that_comes_again($next, $other).await;
            assert_eq!((answer.status, answer.complete, received), (200, true, 2));
        })*
    };
}

requests_that_come_again! {
    a_call_that_comes_again_is_not_denied: unsafe_call, hold;
    a_safe_call_that_comes_again_is_not_denied: safe_call, hold;
    a_stream_that_comes_again_is_not_denied: stream, hold;
    a_stream_that_is_resumed_where_it_was_turned_away_goes_on: resumable_stream, break_off;
}

/// Answers calls and the stream `sound`; sends a refusal that asks for a pause instead of the answers
/// to other streams.
fn refuse_streams(received: &ReceivedRequest, stale: &[u8]) -> Vec<Step> {
    let is_call = received.header("token-usage").is_none();
    if is_call || received.attempt_id() == "sound" {
        return run(received);
    }
    let stale = String::from_utf8_lossy(stale);
    let stale = stale.replacen("Not-Executed", "Retry-After: 5\r\nNot-Executed", 1);
    vec![Step::Send(stale.into_bytes()), Step::AwaitClose(RUN_TIME)]
}

/// Sends streams with a common prompt, which get a stale refusal each on a connection that is kept,
/// and one that is answered; returns the statuses.
async fn call_after_stale_refusals(stale: Vec<u8>) -> Vec<u16> {
    let mut targets = Vec::new();
    for _ in 0..3 {
        let stale = stale.clone();
        targets.push(target(move |received| refuse_streams(received, &stale)).await);
    }
    let fleet = fleet_before(&targets).await;
    let mut statuses = Vec::new();
    for round in 0..5 {
        let calls: Vec<_> = (0..6).map(|at| safe_call(&format!("e{round}-{at}"))).collect();
        join_all(calls.iter().map(|req| call(&fleet, req))).await;
        tokio::time::sleep(IDLE).await;
        statuses.push(call(&fleet, &stream(&format!("n{round}"))).await.status);
    }
    statuses.push(call(&fleet, &stream("sound")).await.status);
    statuses
}

/// Defines a test for each form of the refusals.
macro_rules! refusals_before_later_requests {
    ($($name:ident: $stale:expr;)*) => {
        $(#[tokio::test]
        async fn $name() {
            assert_eq!(call_after_stale_refusals($stale).await, [502, 502, 502, 502, 502, 200]);
        })*
    };
}

// Guards against sound requests that are refused as the cause of crashes, as stale refusals were
// taken for broken connections.
refusals_before_later_requests! {
    refusals_without_an_id_change_nothing_for_later_requests: unnamed("503 Full");
    refusals_with_their_id_change_nothing_for_later_requests: named("503 Full");
}
