//! Callers: each sends one request after the other and keeps using its
//! connection until the process closes it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rosemarymoor_platform_standins::caller::{Caller, CallerRequest};
use rosemarymoor_testutils::seeded_rng::SeededRng;
use tokio::task::JoinSet;

use crate::Plan;
use crate::fleet::{Fleet, WORKSPACES};
use crate::record::{Exchange, Kind, Outcome, Violation};
use crate::target::TOKENS_PER_EVENT;

/// Time that a connection may take to be opened.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Pause after an entry that cannot be reached.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause of a caller between two requests, in milliseconds.
const THINK_MS: u64 = 60;

/// Share of the requests whose caller leaves early, and when at the latest.
const LEAVES: f64 = 0.04;
const LEAVES_WITHIN_MS: u64 = 300;

/// Share of the requests that go to another entry than the one before.
const MOVES: f64 = 0.1;

/// Tokens of a prompt.
const INPUT: u64 = 200;

/// Most events of a stream.
const MOST_EVENTS: u64 = 60;

/// Requests of the calm part.
const CALM_REQUESTS: u64 = 60;

/// Workspace that always has money.
const RICH: usize = 1;

/// Time after the last fault in which every reservation has ended or expired:
/// the longest deadline of a request and the holder's grace.
const EXPIRY: Duration = Duration::from_millis(11_000);

/// Time in which holders hand headroom back that nobody asks for.
const HEADROOM_RETURN: Duration = Duration::from_millis(4_000);

/// Running callers.
pub struct Callers {
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Callers {
    /// Lets every request end.
    pub async fn stop(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Starts the callers.
pub fn spawn(fleet: &Arc<Fleet>, plan: &Plan) -> Callers {
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = JoinSet::new();
    for number in 0..plan.callers as u64 {
        let rng = SeededRng::new(plan.seed.wrapping_mul(1_000) + number);
        tasks.spawn(call_on(fleet.clone(), rng, number, stop.clone()));
    }
    Callers { stop, tasks }
}

async fn call_on(fleet: Arc<Fleet>, rng: SeededRng, number: u64, stop: Arc<AtomicBool>) {
    let mut held: Option<(usize, Caller)> = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let (at, mut caller) = match held.take().filter(|_| !rng.random_bool(MOVES)) {
            Some(held) => held,
            None => {
                match connect(&fleet, rng.random_below(fleet.entries.len() as u64) as usize).await {
                    Some(connected) => connected,
                    None => {
                        tokio::time::sleep(RECONNECT_PAUSE).await;
                        continue;
                    }
                }
            }
        };
        count += 1;
        let request = Request::draw(&rng, format!("c{number}-{count}"));
        let leaves = rng
            .random_bool(LEAVES)
            .then(|| Duration::from_millis(rng.random_below(LEAVES_WITHIN_MS)));
        let exchange = request.play(&mut caller, at, leaves).await;
        if matches!(exchange.outcome, Outcome::Answered { is_complete: true, .. }) {
            held = Some((at, caller));
        }
        fleet.record.add(exchange);
        tokio::time::sleep(Duration::from_millis(rng.random_below(THINK_MS))).await;
    }
}

async fn connect(fleet: &Fleet, at: usize) -> Option<(usize, Caller)> {
    let address = fleet.entries[at].addresses?.callers;
    let connected = tokio::time::timeout(CONNECT_LIMIT, Caller::connect(address)).await;
    Some((at, connected.ok()?.ok()?))
}

struct Request {
    id: String,
    kind: Kind,
    workspace: usize,
    events: u64,
}

impl Request {
    fn draw(rng: &SeededRng, id: String) -> Request {
        let kinds = [Kind::Safe, Kind::Unsafe, Kind::Stream, Kind::Resumable];
        let kind = kinds[rng.random_below(kinds.len() as u64) as usize];
        let workspace = rng.random_below(WORKSPACES.len() as u64) as usize;
        Request { id, kind, workspace, events: 1 + rng.random_below(MOST_EVENTS) }
    }

    fn wire(&self) -> CallerRequest {
        let prefix = match self.kind {
            Kind::Safe => "safe",
            Kind::Unsafe => "unsafe",
            Kind::Stream => "stream",
            Kind::Resumable => "resume",
        };
        // Different requests have different paths, as those of real callers differ.
        let path = format!("/{prefix}/{}", self.id);
        let mut req = match self.kind {
            Kind::Safe => CallerRequest::get(&path, &self.id),
            _ => CallerRequest::post(&path, &self.id),
        };
        req.key = WORKSPACES[self.workspace].1.to_owned();
        if matches!(self.kind, Kind::Stream | Kind::Resumable) {
            req.tokens = Some((INPUT, self.events * TOKENS_PER_EVENT));
        }
        req
    }

    async fn play(self, caller: &mut Caller, entry: usize, leaves: Option<Duration>) -> Exchange {
        let begun = Instant::now();
        let req = self.wire();
        let call = caller.call(&req);
        let answer = match leaves {
            Some(after) => tokio::time::timeout(after, call).await.ok(),
            None => Some(call.await),
        };
        let outcome = match answer {
            None => Outcome::Left,
            Some(None) => Outcome::NoAnswer,
            Some(Some(answer)) => Outcome::Answered {
                status: answer.status,
                is_own: answer.header("attempt-id") == Some(&self.id)
                    && answer.seal() == Some(&format!("seal-{}", self.id)),
                is_signed: answer.seal().is_some(),
                is_complete: answer.is_complete,
                body: answer.text(),
            },
        };
        Exchange {
            id: self.id,
            kind: self.kind,
            workspace: self.workspace,
            entry,
            begun,
            ended: Instant::now(),
            input: INPUT,
            events: self.events,
            outcome,
        }
    }
}

/// Plays the part without faults: every request is served, and the rich workspace
/// is charged exactly what its callers got.
pub async fn play_calm_part(fleet: &Arc<Fleet>) {
    tokio::time::sleep(EXPIRY).await;
    let booked = fleet.booked(RICH);
    let rng = SeededRng::new(0);
    let mut calls = JoinSet::new();
    for number in 0..CALM_REQUESTS {
        let request = Request::draw(&rng, format!("calm-{number}"));
        let request = Request { workspace: RICH, ..request };
        calls.spawn(call_calmly(fleet.clone(), number as usize % fleet.entries.len(), request));
    }
    let due: u64 = calls.join_all().await.into_iter().sum();
    tokio::time::sleep(HEADROOM_RETURN).await;
    let charged = fleet.booked(RICH).abs_diff(booked);
    if charged != due {
        let detail = format!("{charged} tokens booked in the calm part, {due} are due");
        fleet.record.breach(Violation::WronglyBilled, detail);
    }
}

/// Sends a request that has to be served; answers what it costs.
async fn call_calmly(fleet: Arc<Fleet>, at: usize, request: Request) -> u64 {
    let Some((_, mut caller)) = connect(&fleet, at).await else {
        let detail = format!("{} takes no connection", fleet.entries[at].name);
        fleet.record.breach(Violation::NotRecovered, detail);
        return 0;
    };
    let exchange = request.play(&mut caller, at, None).await;
    if !matches!(exchange.outcome, Outcome::Answered { status: 200, is_complete: true, .. }) {
        let detail = format!("in the calm part: {exchange:?}");
        fleet.record.breach(Violation::NotRecovered, detail);
    }
    let is_stream = matches!(exchange.kind, Kind::Stream | Kind::Resumable);
    let due = if is_stream { exchange.input + exchange.events * TOKENS_PER_EVENT } else { 0 };
    fleet.record.add(exchange);
    due
}
