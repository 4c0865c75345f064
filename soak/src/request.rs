//! Requests of the load: what a caller sends, and how it records the answer.

use std::time::{Duration, Instant};

use rosemarymoor_platform_standins::caller::{Answer, Caller, CallerRequest};
use rosemarymoor_testutils::seeded_rng::SeededRng;

use crate::fleet::WORKSPACES;
use crate::record::{Exchange, Outcome, RequestKind, TakenUp};
use crate::target::{TOKENS_PER_EVENT, WORK_HEADER};

/// Tokens of a stream's prompt.
const PROMPT_TOKENS: u64 = 200;

/// Largest number of events of a stream.
pub const MAX_EVENTS: u64 = 60;

/// Time after which a caller expects no answer any more.
const TIME_LIMIT: Duration = Duration::from_secs(3);

/// Bytes of a head before the pause inside it.
const FIRST_HALF_BYTES: usize = 40;

/// Request to be sent.
#[derive(Debug)]
pub struct Request {
    /// Identity, unique within the run.
    pub id: String,
    /// Kind, which decides its route.
    pub kind: RequestKind,
    /// Index of the workspace that pays.
    pub workspace: usize,
    /// Events that a stream asks for.
    pub events: u64,
    /// Number of the event after which the caller leaves, if it does.
    pub leave_after: Option<u64>,
    /// Stream that the request goes on with, if any.
    pub taken_up: Option<TakenUp>,
    /// Time after which the caller expects no answer any more.
    pub time_limit: Duration,
    /// Time that a call takes at its target, if it is not the usual one.
    pub work: Option<Duration>,
    /// Pause inside the head; `None` if the request is sent at once.
    pub pause: Option<Duration>,
}

impl Request {
    /// Returns a request of random kind, workspace and length.
    pub fn random(rng: &SeededRng, id: String) -> Request {
        let kinds =
            [RequestKind::Safe, RequestKind::Unsafe, RequestKind::Stream, RequestKind::Resumable];
        let kind = kinds[rng.random_below(kinds.len() as u64) as usize];
        let workspace = rng.random_below(WORKSPACES.len() as u64) as usize;
        let events = 1 + rng.random_below(MAX_EVENTS);
        Request::new(id, kind, workspace, events)
    }

    /// Returns a request that is sent at once and read to its end.
    pub fn new(id: String, kind: RequestKind, workspace: usize, events: u64) -> Request {
        Request {
            id,
            kind,
            workspace,
            events,
            leave_after: None,
            taken_up: None,
            time_limit: TIME_LIMIT,
            work: None,
            pause: None,
        }
    }

    /// Returns the request that takes up the stream of an exchange, if it was broken off after an
    /// event.
    pub fn resumption(exchange: &Exchange) -> Option<Request> {
        let Outcome::Answered { status: 200, complete: false, body, .. } = &exchange.outcome else {
            return None;
        };
        let last_event = body.matches("\n\n").count() as u64;
        if exchange.kind != RequestKind::Resumable || last_event == 0 {
            return None;
        }
        let id = format!("{}-r", exchange.id);
        let Exchange { kind, workspace, events, .. } = *exchange;
        Some(Request {
            taken_up: Some(TakenUp { began_as: exchange.id.clone(), last_event }),
            ..Request::new(id, kind, workspace, events)
        })
    }

    /// Returns the request as a caller sends it.
    fn to_caller_request(&self) -> CallerRequest {
        let prefix = match self.kind {
            RequestKind::Safe => "safe",
            RequestKind::Unsafe => "unsafe",
            RequestKind::Stream => "stream",
            RequestKind::Resumable => "resume",
        };
        // Each request has a path of its own, as requests of real callers mostly have.
        let path = format!("/{prefix}/{}", self.id);
        let mut req = match self.kind {
            RequestKind::Safe => CallerRequest::get(&path, &self.id),
            _ => CallerRequest::post(&path, &self.id),
        };
        req.key = WORKSPACES[self.workspace].1.to_owned();
        req.deadline_ms = self.time_limit.as_millis() as u64;
        if let Some(work) = self.work {
            req.headers.push_str(&format!("{WORK_HEADER}: {}\r\n", work.as_millis()));
        }
        if matches!(self.kind, RequestKind::Stream | RequestKind::Resumable) {
            req.tokens = Some((PROMPT_TOKENS, self.events * TOKENS_PER_EVENT));
        }
        if let Some(TakenUp { began_as, last_event }) = &self.taken_up {
            req = req.taking_up(*last_event, &[began_as]);
        }
        req
    }

    /// Sends the request to an entry and awaits its answer; gives up after `cancel_after`
    /// if that is given.
    pub async fn send(
        self,
        caller: &mut Caller,
        entry: usize,
        cancel_after: Option<Duration>,
    ) -> Exchange {
        let started_at = Instant::now();
        let mut sent_at = started_at;
        let req = self.to_caller_request();
        let call = async {
            match (self.leave_after, self.pause) {
                (Some(last), _) => caller.call_until(&req, &format!("id: {last}\n")).await,
                (None, Some(pause)) => call_in_halves(caller, &req, pause, &mut sent_at).await,
                (None, None) => caller.call(&req).await,
            }
        };
        let answer = match cancel_after {
            Some(after) => tokio::time::timeout(after, call).await.ok(),
            None => Some(call.await),
        };
        let outcome = match answer {
            None => Outcome::Cancelled,
            Some(None) => Outcome::NoAnswer,
            Some(Some(answer)) => Outcome::Answered {
                status: answer.status,
                matches_request: answer.header("attempt-id") == Some(&self.id)
                    && answer.seal() == Some(&format!("seal-{}", self.id)),
                signed: answer.seal().is_some(),
                complete: answer.complete,
                body: answer.text(),
            },
        };
        Exchange {
            id: self.id,
            kind: self.kind,
            workspace: self.workspace,
            entry,
            started_at,
            sent_at,
            ended_at: Instant::now(),
            time_limit: self.time_limit,
            prompt_tokens: PROMPT_TOKENS,
            events: self.events,
            taken_up: self.taken_up,
            has_left: self.leave_after.is_some(),
            outcome,
        }
    }
}

/// Sends a request with a pause inside its head and reads its answer; `sent_at` becomes the time of its
/// last byte.
async fn call_in_halves(
    caller: &mut Caller,
    req: &CallerRequest,
    pause: Duration,
    sent_at: &mut Instant,
) -> Option<Answer> {
    let bytes = req.bytes();
    let (first, second) = bytes.split_at(FIRST_HALF_BYTES);
    caller.send(first).await.ok()?;
    tokio::time::sleep(pause).await;
    *sent_at = Instant::now();
    caller.send(second).await.ok()?;
    caller.answer().await
}
