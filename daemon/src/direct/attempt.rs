//! Sends a request to one target once and classifies the outcome.
//!
//! [`deliver`](super::deliver) and [`stream`](super::stream) make one attempt after
//! another; each attempt updates the target's load and health in the entry's table.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use rosemarymoor_lib::dispatch::choice;
use rosemarymoor_lib::dispatch::order::urgency::{Beginning, urgency_of};
use rosemarymoor_lib::dispatch::placement_cost::{self, PlacementCost};
use rosemarymoor_lib::dispatch::targets::{Observation, TargetKey};
use rosemarymoor_lib::http_client::ConnectionReuse;
use rosemarymoor_lib::limit_notice::LimitNotice;
use rosemarymoor_lib::peer_memory::{self, MemoryShare, ReadError};
use rosemarymoor_lib::result_code::{FAILURE_LOG, says_not_run};
use rosemarymoor_lib::time::Millis;
use rosemarymoor_platform::answer::{self, AnswerKind, ConnectionAge, TargetNotice};
use rosemarymoor_platform::request::{TargetHead, strip_connection_headers, target_headers};

use super::begun_stream_guard::BegunStreamGuard;
use super::call::Call;
use super::entry::Entry;
use super::process_check::{self, ProcessCheck};
use super::target_limits;
use crate::http_pool::{BodyEnd, Exchange, SendError};

/// Timeout for a new connection to a target, and for draining an unwanted answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Size up to which an unwanted answer is read.
const MAX_DRAINED_BYTES: usize = 64 << 10;

/// Time beyond the expected one up to which an answer is not late, in milliseconds.
const DELAY_SLACK_MS: f64 = 50.0;

/// Predicted wait up to which an answer shows the pace of its target, in milliseconds.
const MAX_LEARNED_WAIT_MS: f64 = 20.0;

/// Reason why an attempt failed; the variants' names appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// No connection could be opened; the request did not run.
    Unreachable,
    /// The target rejected the request; it did not run.
    TurnedAway,
    /// The connection broke or the answer was invalid; the request may have run.
    Broken,
    /// The answer was not certainly one to the request, which may have run.
    Foreign,
    /// No answer arrived in time, or the request left for another target; it may have run.
    Silent,
    /// The target answered with a failure that is not passed on; the request may have run.
    Failed,
    /// A target of another software version than the one that began the stream went on with it.
    OtherVersion,
    /// The target answered a resumption with something else than the rest of the stream.
    NoContinuation,
}

impl AttemptError {
    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            AttemptError::Unreachable => "unreachable",
            AttemptError::TurnedAway => "turned_away",
            AttemptError::Broken => "broken",
            AttemptError::Foreign => "foreign",
            AttemptError::Silent => "silent",
            AttemptError::Failed => "failed",
            AttemptError::OtherVersion => "other_version",
            AttemptError::NoContinuation => "no_continuation",
        }
    }

    /// Returns whether the request certainly did not run.
    pub fn did_not_run(self) -> bool {
        matches!(self, AttemptError::Unreachable | AttemptError::TurnedAway)
    }
}

/// Answer whose head has arrived and whose body has still to be read.
pub struct StartedAnswer {
    pub exchange: Exchange,
    pub in_flight: InFlightAttempt,
}

impl StartedAnswer {
    /// Logs and counts that the answer ended with `bytes` of an unfinished event.
    pub fn record_unfinished_event(&self, request: &str, bytes: usize) {
        let body_end = self.exchange.body_end().label();
        self.in_flight.entry.metrics.count_unfinished_event(body_end);
        log::info!(
            target: FAILURE_LOG,
            "event=unfinished_event request={request} target={} body_end={body_end} bytes={bytes}",
            self.in_flight.target_id
        );
    }
}

/// Answer whose body has been read to its end.
pub struct CompleteAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub body_end: BodyEnd,
    /// Process of the target.
    pub process: String,
}

/// Request that counts towards its target's load; dropping it ends the count.
pub struct InFlightAttempt {
    entry: Arc<Entry>,
    pub target: TargetKey,
    pub target_id: String,
    /// Process of the target, another one after each start.
    pub process: String,
    address: SocketAddr,
    /// Start of that process in Unix milliseconds, as it registered.
    started_ms: u64,
    /// Software version that the target had registered when the request was sent.
    software: Option<String>,
    /// Expected cost when it was sent.
    cost: PlacementCost,
    /// Whether the other entries' work at the target was unknown when it was sent.
    is_load_unknown: bool,
    /// Prefill work in tokens, counted as pending at the target until the first answer; 0 afterwards.
    pending_tokens: u64,
    sent_at: Millis,
}

impl InFlightAttempt {
    /// Records that the target has begun to answer, with the delay beyond the expected
    /// time.
    pub fn record_first_answer(&mut self) {
        let elapsed_ms = self.entry.now().since(self.sent_at) as f64;
        let delay_ms = (elapsed_ms - self.expected_ms() - DELAY_SLACK_MS).max(0.0);
        self.observe(Observation::Answered { delay_ms });
        self.learn_pace(elapsed_ms);
        self.prefill_done();
    }

    /// Records that a stream has begun at the target; dropping the guard ends it there.
    pub fn begin_stream(&self) -> BegunStreamGuard {
        BegunStreamGuard::open(&self.entry, self.target)
    }

    /// Returns the expected time to the first answer. A wait counts only if news showed it: other
    /// waits are the target's delay.
    fn expected_ms(&self) -> f64 {
        let wait_ms = if self.is_load_unknown { 0.0 } else { self.cost.wait_ms };
        self.cost.base_ms + self.cost.prefill_ms + wait_ms
    }

    /// Learns the pace of the target's service from a request that waited for little.
    fn learn_pace(&self, elapsed_ms: f64) {
        if self.cost.wait_ms > MAX_LEARNED_WAIT_MS {
            return;
        }
        let work_tokens = self.cost.prefill_tokens as f64;
        self.entry.targets().learn_pace(self.target, work_tokens, elapsed_ms);
    }

    /// Returns the software version that answers the request; `None` if the target named none, or
    /// has started anew under its identifier since the request was sent.
    pub fn certain_software(&self) -> Option<&str> {
        let table = self.entry.targets();
        let is_same = match table.with_id(&self.target_id) {
            Some(target) => {
                target.key == self.target
                    && target.registration.software == self.software
                    && !target.may_be_replaced(self.entry.now())
            }
            None => true,
        };
        if is_same { self.software.as_deref() } else { None }
    }

    /// Asks the target whether the process that has registered answers; the answer must have begun, and
    /// its connection must be open.
    pub async fn check_process(&self, request: &str) -> ProcessCheck {
        let check = process_check::check(&self.entry.pool, self.address, self.started_ms).await;
        self.entry.metrics.count_process_check(check.label());
        log::info!(
            "event=process_checked request={request} target={} outcome={}",
            self.target_id,
            check.label()
        );
        check
    }

    /// Returns whether the registered process has reported since the request was sent.
    pub fn has_reported_since(&self) -> bool {
        let table = self.entry.targets();
        let report = table.get(self.target).and_then(|target| target.known.report);
        report.is_some_and(|report| report.at > self.sent_at)
    }

    /// Records an outcome in the table of targets.
    pub fn observe(&self, observation: Observation) {
        self.entry.targets().observe(self.target, observation, self.entry.now());
    }

    /// Applies what the target says about itself in an answer.
    fn apply_notice(&self, notice: TargetNotice) {
        let TargetNotice { leaving, pause, limit } = notice;
        if leaving && self.entry.targets().mark_leaving(self.target) {
            self.entry.metrics.count_target_notice("leaving");
            log::info!("event=target_leaving target={} reason=answer", self.target_id);
        }
        if let Some(pause) = pause {
            let until = self.entry.now().plus(pause.as_millis() as u64);
            self.entry.targets().pause(self.target, until);
            self.entry.metrics.count_target_notice("pause");
            log::info!(
                "event=target_paused target={} for_ms={}",
                self.target_id,
                pause.as_millis()
            );
        }
        self.apply_limit(limit);
    }

    /// Applies what the target says about the requests that it takes.
    fn apply_limit(&self, notice: LimitNotice) {
        let Ok(limit) = notice.per_second() else { return self.record_malformed_limit() };
        target_limits::apply_limit(&self.entry, self.target, limit, self.sent_at);
    }

    /// Counts and logs an answer that exceeds its share of the memory.
    pub fn record_too_large(&self) {
        self.entry.metrics.count_malformed_input("answer");
        log::warn!(target: FAILURE_LOG, "event=answer_too_large target={}", self.target_id);
    }

    /// Counts and logs an answer that is not certainly one to the request.
    fn record_foreign_answer(&self, request: &str, status: StatusCode, connection: ConnectionAge) {
        self.entry.metrics.count_malformed_input("foreign_answer");
        log::info!(
            target: FAILURE_LOG,
            "event=foreign_answer request={request} target={} status={} connection={connection:?}",
            self.target_id,
            status.as_u16()
        );
    }

    /// Counts and logs a failure whose status says that the request did not run, which the target does not
    /// state: the status is not passed on.
    fn record_untrue_promise(&self, request: &str, status: StatusCode) {
        self.entry.metrics.count_malformed_input("untrue_promise");
        log::info!(
            target: FAILURE_LOG,
            "event=untrue_promise request={request} target={} status={}",
            self.target_id,
            status.as_u16()
        );
    }

    /// Logs that the answer to a resumption is not the rest of the stream, and records it as a failure.
    pub fn record_no_continuation(&self, request: &str, reason: &str) {
        self.observe(Observation::Failed);
        log::warn!(
            target: FAILURE_LOG,
            "event=no_continuation request={request} target={} reason={reason}",
            self.target_id
        );
    }

    /// Counts and logs a block of `bytes` in a stream that is no event.
    pub fn record_malformed_event(&self, request: &str, bytes: usize) {
        self.entry.metrics.count_malformed_input("event");
        log::warn!(
            target: FAILURE_LOG,
            "event=malformed_event request={request} target={} bytes={bytes}",
            self.target_id
        );
    }

    /// Opens a share of the memory for answers.
    pub fn open_memory(&self) -> MemoryShare {
        self.entry.pool.memory().open_share()
    }

    fn record_malformed_limit(&self) {
        self.entry.metrics.count_malformed_input("limit");
        let now = self.entry.now();
        let mut table = self.entry.targets();
        if table.get_mut(self.target).is_some_and(|target| target.limit.may_log_malformed(now)) {
            log::warn!("event=limit_malformed target={}", self.target_id);
        }
    }

    fn prefill_done(&mut self) {
        let pending_tokens = std::mem::take(&mut self.pending_tokens);
        self.entry.targets().prefill_done(self.target, pending_tokens);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.prefill_done();
        self.entry.targets().end(self.target);
    }
}

/// Sends a request to a target and waits for the head of its answer.
///
/// `last_event` is the event after which a stream is resumed; `timeout` includes the time to
/// connect, and `reuse` says whether the connection may have carried other requests. Returns a
/// success or the target's own failure; every other outcome is an error, also a failure whose status
/// would tell the caller that the request did not run.
pub async fn send(
    entry: &Arc<Entry>,
    call: &Call,
    target: TargetKey,
    last_event: Option<u64>,
    timeout: Duration,
    reuse: ConnectionReuse,
) -> Result<(StartedAnswer, AnswerKind), AttemptError> {
    let Some((in_flight, address)) = start(entry, call, target) else {
        return Err(AttemptError::Unreachable);
    };
    let head = TargetHead {
        target_id: &in_flight.target_id,
        workspace: call.workspace.as_deref(),
        time_left: call.time_left(),
        last_event: last_event.or(call.head.last_event()),
        urgency: urgency(call, last_event),
    };
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = call.uri.clone();
    *req.headers_mut() = target_headers(&call.headers, &head);
    call.sent.store(true, Ordering::Relaxed);
    let sending = entry.pool.send(address, req, CONNECT_TIMEOUT, reuse);
    let exchange = match tokio::time::timeout(timeout, sending).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(SendError::NotSent)) => {
            in_flight.observe(Observation::Unreachable);
            return Err(AttemptError::Unreachable);
        }
        Ok(Err(SendError::Broken)) => {
            in_flight.observe(Observation::Failed);
            return Err(AttemptError::Broken);
        }
        Err(_) => {
            in_flight.observe(Observation::Failed);
            return Err(AttemptError::Silent);
        }
    };
    classify(call, exchange, in_flight)
}

/// Counts the request as running at the target; returns `None` if the target is no
/// longer listed.
fn start(entry: &Arc<Entry>, call: &Call, key: TargetKey) -> Option<(InFlightAttempt, SocketAddr)> {
    let now = entry.now();
    let mut table = entry.targets();
    let target = table.get(key)?;
    let address = target.registration.address;
    let target_id = target.registration.id.clone();
    let process = target.process().to_string();
    let started_ms = target.registration.started_ms;
    let software = target.registration.software.clone();
    let is_load_unknown = placement_cost::work_of_others(target, now).is_none();
    let prompt = &call.head.prompt;
    let cost = choice::cost_at(&table, key, call.selection_criteria(false), now)?;
    let pending_tokens = cost.prefill_tokens;
    let parts: Vec<u64> = prompt.iter().map(|part| part.id).collect();
    table.start(key, pending_tokens, &parts, now);
    let in_flight = InFlightAttempt {
        entry: entry.clone(),
        target: key,
        target_id,
        process,
        address,
        started_ms,
        software,
        cost,
        is_load_unknown,
        pending_tokens,
        sent_at: now,
    };
    Some((in_flight, address))
}

/// Returns the urgency of a request at its target; `None` for a call, which no target orders, and
/// without a configured priority.
fn urgency(call: &Call, last_event: Option<u64>) -> Option<u8> {
    let rank = call.rank.filter(|_| call.route.kind.is_stream())?;
    let is_taken_up = last_event.is_some() || call.head.resumption.is_some();
    let beginning = match is_taken_up {
        true => Beginning::TakenUp,
        false if call.yields => Beginning::Late,
        false => Beginning::New,
    };
    Some(urgency_of(rank, beginning))
}

fn classify(
    call: &Call,
    exchange: Exchange,
    in_flight: InFlightAttempt,
) -> Result<(StartedAnswer, AnswerKind), AttemptError> {
    let head = &exchange.head;
    let attempt_id = &call.head.attempt_id;
    let kind = answer::classify(head.status, &head.headers, attempt_id, exchange.connection);
    if !matches!(kind, AnswerKind::OtherTarget | AnswerKind::Foreign) {
        let notice = answer::notice(head.status, &head.headers, SystemTime::now());
        in_flight.apply_notice(notice);
    }
    match kind {
        AnswerKind::Failure if says_not_run(head.status.as_u16()) => {
            in_flight.record_untrue_promise(attempt_id, head.status);
            in_flight.observe(Observation::Failed);
            tokio::spawn(drain(exchange));
            Err(AttemptError::Failed)
        }
        AnswerKind::Success | AnswerKind::Failure => {
            Ok((StartedAnswer { exchange, in_flight }, kind))
        }
        AnswerKind::NotRun => {
            in_flight.observe(Observation::Full);
            tokio::spawn(drain(exchange));
            Err(AttemptError::TurnedAway)
        }
        AnswerKind::OtherTarget => {
            in_flight.observe(Observation::Unreachable);
            Err(AttemptError::TurnedAway)
        }
        AnswerKind::Foreign => {
            in_flight.record_foreign_answer(attempt_id, head.status, exchange.connection);
            in_flight.observe(Observation::Failed);
            Err(AttemptError::Foreign)
        }
    }
}

/// Reads and discards an answer, so that its connection can be reused.
async fn drain(exchange: Exchange) {
    if peer_memory::discard(exchange.body, MAX_DRAINED_BYTES, CONNECT_TIMEOUT).await {
        exchange.lease.finish();
    }
}

/// Reads an answer to its end, until the given time at the latest.
pub async fn read_complete(
    started: StartedAnswer,
    deadline: Instant,
) -> Result<CompleteAnswer, AttemptError> {
    let body_end = started.exchange.body_end();
    let StartedAnswer { exchange: Exchange { head, body, lease, .. }, mut in_flight } = started;
    let reading = in_flight.entry.pool.memory().read(body, usize::MAX);
    let body = match tokio::time::timeout_at(deadline.into(), reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(err)) => {
            if err == ReadError::NoRoom {
                in_flight.record_too_large();
            }
            in_flight.observe(Observation::Failed);
            return Err(AttemptError::Broken);
        }
        Err(_) => {
            in_flight.observe(Observation::Failed);
            return Err(AttemptError::Silent);
        }
    };
    lease.finish();
    if head.status.is_server_error() {
        in_flight.observe(Observation::Failed);
    } else {
        in_flight.record_first_answer();
    }
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    let process = in_flight.process.clone();
    Ok(CompleteAnswer { status: head.status, headers, body, body_end, process })
}
