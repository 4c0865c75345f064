//! Load of a run: callers that send one request after the other and reuse their connection until
//! an answer is incomplete, and the fault-free part that checks billing at the end.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rosemarymoor_platform_standins::caller::Caller;
use rosemarymoor_testutils::seeded_rng::SeededRng;
use tokio::task::JoinSet;

use crate::Plan;
use crate::fleet::Fleet;
use crate::record::{Outcome, RequestKind, Violation};
use crate::request::{MAX_EVENTS, Request};
use crate::target::TOKENS_PER_EVENT;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after an entry could not be reached.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Longest pause of a caller between two requests, in milliseconds.
const MAX_THINK_TIME_MS: u64 = 60;

/// Share of the requests that their caller cancels.
const CANCELLED_SHARE: f64 = 0.04;

/// Longest time from a request to its cancellation, in milliseconds.
const MAX_CANCEL_DELAY_MS: u64 = 300;

/// Share of the requests for which a caller drops its connection and picks an entry again.
const RECONNECT_SHARE: f64 = 0.1;

/// Share of the resumable streams whose caller leaves after some event and takes them up later.
const LEFT_SHARE: f64 = 0.2;

/// Streams of the fault-free part that their callers leave and take up at another entry.
const FAULT_FREE_RESUMPTIONS: u64 = 12;

/// Requests after which entries know that limits have ended.
const END_OF_LIMIT_REQUESTS: u64 = 400;

/// Requests of the fault-free part.
const FAULT_FREE_REQUESTS: u64 = 60;

/// Index of the workspace whose budget never runs out.
pub const FUNDED_WORKSPACE: usize = 1;

/// Time after the last fault until every reservation has been settled or has expired: the
/// longest deadline of a request (3 s) and the holder's grace (8 s).
const RESERVATION_EXPIRY: Duration = Duration::from_millis(11_000);

/// Time until holders return headroom that no request reserves.
const HEADROOM_RETURN: Duration = Duration::from_millis(4_000);

/// Running callers; they go on until [`Callers::stop`].
pub struct Callers {
    /// Set when no caller may begin another request.
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Callers {
    /// Stops the callers and waits until their current requests have ended.
    pub async fn stop(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Starts the callers of a run; each has a random sequence of its own, derived from the seed.
pub fn spawn(fleet: &Arc<Fleet>, plan: &Plan) -> Callers {
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = JoinSet::new();
    for number in 0..plan.callers as u64 {
        let rng = SeededRng::new(plan.seed.wrapping_mul(1_000) + number);
        tasks.spawn(run_caller(fleet.clone(), rng, number, stop.clone()));
    }
    Callers { stop, tasks }
}

/// Sends requests until `stop` is set.
async fn run_caller(fleet: Arc<Fleet>, rng: SeededRng, number: u64, stop: Arc<AtomicBool>) {
    // A sequence of its own, so that the other decisions of recorded seeds stay the same.
    let left_rng = SeededRng::new(!(number + 1));
    let mut open_connection: Option<(usize, Caller)> = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let (entry, mut caller) = match open_connection
            .take()
            .filter(|_| !rng.random_bool(RECONNECT_SHARE))
        {
            Some(open_connection) => open_connection,
            None => {
                match connect(&fleet, rng.random_below(fleet.entries.len() as u64) as usize).await {
                    Some(connected) => connected,
                    None => {
                        tokio::time::sleep(RECONNECT_DELAY).await;
                        continue;
                    }
                }
            }
        };
        count += 1;
        let mut request = Request::random(&rng, format!("c{number}-{count}"));
        if request.kind == RequestKind::Resumable && left_rng.random_bool(LEFT_SHARE) {
            request.leave_after = Some(1 + left_rng.random_below(request.events));
        }
        let cancel_after = rng
            .random_bool(CANCELLED_SHARE)
            .then(|| Duration::from_millis(rng.random_below(MAX_CANCEL_DELAY_MS)));
        let exchange = request.send(&mut caller, entry, cancel_after).await;
        if matches!(exchange.outcome, Outcome::Answered { complete: true, .. }) {
            open_connection = Some((entry, caller));
        }
        let resumption = Request::resumption(&exchange);
        fleet.record.add_exchange(exchange);
        if let Some(resumption) = resumption {
            let entry = left_rng.random_below(fleet.entries.len() as u64) as usize;
            if let Some((entry, mut caller)) = connect(&fleet, entry).await {
                fleet.record.add_exchange(resumption.send(&mut caller, entry, None).await);
            }
        }
        tokio::time::sleep(Duration::from_millis(rng.random_below(MAX_THINK_TIME_MS))).await;
    }
}

/// Connects to an entry; `None` if it cannot be reached in time.
pub async fn connect(fleet: &Fleet, entry: usize) -> Option<(usize, Caller)> {
    let address = fleet.entries[entry].addresses?.callers;
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, Caller::connect(address)).await;
    Some((entry, connected.ok()?.ok()?))
}

/// Sends requests until the entries know that limits have ended, which only answers tell them.
pub async fn teach_ends_of_limits(fleet: &Arc<Fleet>) {
    let rng = SeededRng::new(1);
    for number in 0..END_OF_LIMIT_REQUESTS {
        let entry = number as usize % fleet.entries.len();
        let request = Request::random(&rng, format!("end-{number}"));
        let request = Request { workspace: FUNDED_WORKSPACE, events: 1, ..request };
        if let Some((entry, mut caller)) = connect(fleet, entry).await {
            fleet.record.add_exchange(request.send(&mut caller, entry, None).await);
        }
    }
}

/// Runs the part without faults: every request has to be answered completely, and the ledger has
/// to charge exactly the tokens that the callers got.
pub async fn run_fault_free_part(fleet: &Arc<Fleet>) {
    tokio::time::sleep(RESERVATION_EXPIRY).await;
    let before = fleet.charged_or_granted(FUNDED_WORKSPACE);
    let rng = SeededRng::new(0);
    let mut calls = JoinSet::new();
    for number in 0..FAULT_FREE_REQUESTS {
        // The prefix stays, since recorded seeds choose targets by a hash of the id.
        let request = Request::random(&rng, format!("calm-{number}"));
        let request = Request { workspace: FUNDED_WORKSPACE, ..request };
        calls.spawn(call_fault_free(fleet.clone(), number as usize % fleet.entries.len(), request));
    }
    let due: u64 = calls.join_all().await.into_iter().sum();
    tokio::time::sleep(HEADROOM_RETURN).await;
    let charged = fleet.charged_or_granted(FUNDED_WORKSPACE).abs_diff(before);
    if charged != due {
        let detail = format!("{charged} tokens charged in the fault-free part, {due} are due");
        fleet.record.add_violation(Violation::WronglyBilled, detail);
    }
    let mut resumptions = JoinSet::new();
    for number in 0..FAULT_FREE_RESUMPTIONS {
        resumptions.spawn(resume_fault_free(fleet.clone(), number as usize));
    }
    resumptions.join_all().await;
}

/// Leaves a stream and takes it up at another entry, where it has to go on.
async fn resume_fault_free(fleet: Arc<Fleet>, number: usize) {
    let id = format!("left-{number}");
    let begun = Request {
        leave_after: Some(2),
        ..Request::new(id, RequestKind::Resumable, FUNDED_WORKSPACE, MAX_EVENTS)
    };
    let Some((entry, mut caller)) = connect(&fleet, number % fleet.entries.len()).await else {
        return;
    };
    let exchange = begun.send(&mut caller, entry, None).await;
    drop(caller);
    let resumption = Request::resumption(&exchange);
    fleet.record.add_exchange(exchange);
    let (Some(resumption), Some((entry, mut caller))) =
        (resumption, connect(&fleet, (number + 1) % fleet.entries.len()).await)
    else {
        return;
    };
    let exchange = resumption.send(&mut caller, entry, None).await;
    if !matches!(exchange.outcome, Outcome::Answered { status: 200, complete: true, .. }) {
        let detail = format!("taken up in the fault-free part: {exchange:?}");
        fleet.record.add_violation(Violation::NotRecovered, detail);
    }
    fleet.record.add_exchange(exchange);
}

/// Sends a request that has to be answered; returns the tokens that it costs.
async fn call_fault_free(fleet: Arc<Fleet>, entry: usize, request: Request) -> u64 {
    let Some((_, mut caller)) = connect(&fleet, entry).await else {
        let detail =
            format!("{} accepts no connection in the fault-free part", fleet.entries[entry].name);
        fleet.record.add_violation(Violation::NotRecovered, detail);
        return 0;
    };
    let exchange = request.send(&mut caller, entry, None).await;
    if !matches!(exchange.outcome, Outcome::Answered { status: 200, complete: true, .. }) {
        let detail = format!("in the fault-free part: {exchange:?}");
        fleet.record.add_violation(Violation::NotRecovered, detail);
    }
    let is_stream = matches!(exchange.kind, RequestKind::Stream | RequestKind::Resumable);
    let due =
        if is_stream { exchange.prompt_tokens + exchange.events * TOKENS_PER_EVENT } else { 0 };
    fleet.record.add_exchange(exchange);
    due
}
