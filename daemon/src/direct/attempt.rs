//! One try of a request at one target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use rosemarymoor_lib::dispatch::choice::prefill_ms;
use rosemarymoor_lib::dispatch::targets::{Observation, TargetKey};
use rosemarymoor_platform::answer::{self, AnswerKind};
use rosemarymoor_platform::request::{
    PromptPart, TargetHead, strip_connection_headers, target_headers,
};

use super::entry::Entry;
use super::handler::Call;
use crate::http_pool::{Exchange, SendFailure};

/// Time for a new connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Time to the first answer that is expected beside reading the prompt.
const EXPECTED_FIRST_ANSWER_MS: f64 = 120.0;

/// Why a try came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// No connection could be opened; the request did not run.
    Unreachable,
    /// The target turned the request away; it did not run.
    TurnedAway,
    /// The connection broke, or the answer was none; it may have run.
    Broken,
    /// No answer came in the time given to the try; it may have run.
    Silent,
}

impl AttemptError {
    /// Name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            AttemptError::Unreachable => "unreachable",
            AttemptError::TurnedAway => "turned_away",
            AttemptError::Broken => "broken",
            AttemptError::Silent => "silent",
        }
    }

    /// Whether the request certainly did not run.
    pub fn did_not_run(self) -> bool {
        matches!(self, AttemptError::Unreachable | AttemptError::TurnedAway)
    }
}

/// Answer whose head has arrived.
pub struct StartedAnswer {
    pub exchange: Exchange,
    pub run: InFlightAttempt,
}

/// Answer that arrived whole.
pub struct CompleteAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Place of a request at a target; dropping it frees the place.
pub struct InFlightAttempt {
    entry: Arc<Entry>,
    pub target: TargetKey,
    pub target_id: String,
    /// Time that its prompt was expected to take; counted until it is read.
    prefill_ms: f64,
    sent: Instant,
    has_prompt: bool,
}

impl InFlightAttempt {
    /// Notes the first sign of an answer.
    pub fn record_first_answer(&mut self) {
        let expected = EXPECTED_FIRST_ANSWER_MS + self.prefill_ms;
        let expected = if self.has_prompt { expected } else { EXPECTED_FIRST_ANSWER_MS / 2.0 };
        let took = self.sent.elapsed().as_secs_f64() * 1_000.0;
        let delay_ms = (took - expected).max(0.0);
        self.observe(Observation::Answered { delay_ms });
        self.prefill_done();
    }

    /// Notes what was seen of the target.
    pub fn observe(&self, observation: Observation) {
        self.entry.targets().observe(self.target, observation, self.entry.now());
    }

    fn prefill_done(&mut self) {
        let prefill_ms = std::mem::take(&mut self.prefill_ms);
        self.entry.targets().prefill_done(self.target, prefill_ms);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.prefill_done();
        self.entry.targets().end(self.target);
    }
}

/// Sends a request to a target and waits for the head of its answer.
pub async fn send(
    entry: &Arc<Entry>,
    call: &Call,
    target: TargetKey,
    last_event: Option<u64>,
    wait: Duration,
) -> Result<(StartedAnswer, AnswerKind), AttemptError> {
    let Some((run, address)) = start(entry, call, target) else {
        return Err(AttemptError::Unreachable);
    };
    let head = TargetHead {
        target_id: &run.target_id,
        workspace: call.workspace.as_deref(),
        time_left: call.time_left(),
        last_event: last_event.or(call.head.last_event),
    };
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = call.uri.clone();
    *req.headers_mut() = target_headers(&call.headers, &head);
    let sending = entry.pool.send(address, req, CONNECT_TIMEOUT);
    let exchange = match tokio::time::timeout(wait, sending).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(SendFailure::NotSent)) => {
            run.observe(Observation::Unreachable);
            return Err(AttemptError::Unreachable);
        }
        Ok(Err(SendFailure::Broken)) => {
            run.observe(Observation::Failed);
            return Err(AttemptError::Broken);
        }
        Err(_) => {
            run.observe(Observation::Failed);
            return Err(AttemptError::Silent);
        }
    };
    classify(call, exchange, run)
}

fn start(entry: &Arc<Entry>, call: &Call, key: TargetKey) -> Option<(InFlightAttempt, SocketAddr)> {
    let now = entry.now();
    let mut table = entry.targets();
    let target = table.get(key)?;
    let address = target.registration.address;
    let target_id = target.registration.id.clone();
    let prompt = &call.head.prompt;
    let is_uncached = |part: &&PromptPart| !target.caches_part(part.id, now);
    let new = prompt.iter().filter(is_uncached).map(|part| part.tokens).sum();
    let prefill_ms = prefill_ms(new, prompt.iter().map(|part| part.tokens).sum());
    let parts: Vec<u64> = prompt.iter().map(|part| part.id).collect();
    table.start(key, prefill_ms, &parts, now);
    let has_prompt = !prompt.is_empty();
    let sent = Instant::now();
    let run = InFlightAttempt {
        entry: entry.clone(),
        target: key,
        target_id,
        prefill_ms,
        sent,
        has_prompt,
    };
    Some((run, address))
}

fn classify(
    call: &Call,
    exchange: Exchange,
    run: InFlightAttempt,
) -> Result<(StartedAnswer, AnswerKind), AttemptError> {
    let head = &exchange.head;
    let kind = answer::kind(head.status, &head.headers, &call.head.attempt_id);
    match kind {
        AnswerKind::Success | AnswerKind::Failure => Ok((StartedAnswer { exchange, run }, kind)),
        AnswerKind::NotRun => {
            run.observe(Observation::Full);
            tokio::spawn(drain(exchange));
            Err(AttemptError::TurnedAway)
        }
        AnswerKind::OtherTarget => {
            run.observe(Observation::Unreachable);
            Err(AttemptError::TurnedAway)
        }
        AnswerKind::Foreign => {
            run.observe(Observation::Failed);
            Err(AttemptError::Broken)
        }
    }
}

/// Reads an answer that nobody waits for, so that its connection can be kept.
async fn drain(exchange: Exchange) {
    let body = Limited::new(exchange.body, MAX_ANSWER_BYTES).collect();
    if tokio::time::timeout(CONNECT_TIMEOUT, body).await.is_ok_and(|read| read.is_ok()) {
        exchange.lease.finish();
    }
}

/// Reads an answer to its end.
pub async fn read_complete(
    running: StartedAnswer,
    until: Instant,
) -> Result<CompleteAnswer, AttemptError> {
    let StartedAnswer { exchange: Exchange { head, body, lease }, mut run } = running;
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect();
    let body = match tokio::time::timeout_at(until.into(), body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => {
            run.observe(Observation::Failed);
            return Err(AttemptError::Broken);
        }
        Err(_) => return Err(AttemptError::Silent),
    };
    lease.finish();
    if head.status.is_server_error() {
        run.observe(Observation::Failed);
    } else {
        run.record_first_answer();
    }
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    Ok(CompleteAnswer { status: head.status, headers, body })
}
