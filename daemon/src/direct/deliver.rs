//! Delivers an admitted request: chooses targets, tries them, answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Response;
use rosemarymoor_lib::dispatch::choice::{self, SelectionCriteria};
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::dispatch::targets::TargetKey;
use rosemarymoor_lib::result_code::{FAILURE_LOG, Refusal, ResultCode};
use rosemarymoor_platform::answer::AnswerKind;

use super::attempt::{self, AttemptError, CompleteAnswer};
use super::entry::Entry;
use super::handler::Call;
use super::refusal;
use super::stream;
use crate::http_server::{AnswerBody, whole_body};

/// Attempts of one request that certainly did not run, before it is refused.
const MAX_REJECTED_ATTEMPTS: u32 = 4;

/// Latency objectives that pass before an idempotent call is tried elsewhere.
const RERUN_AFTER_OBJECTIVES: f64 = 2.0;

/// Time below which no other target is tried.
const MIN_TIME_LEFT: Duration = Duration::from_millis(15);

/// When a caller should come back whose request found no room.
const FULL_RETRY_AFTER_MS: u64 = 400;

/// Spread of the times at which callers come back.
const RETRY_JITTER_MS: u64 = 300;

/// Attempts of one request.
#[derive(Default)]
pub struct Attempts {
    pub tried: Vec<TargetKey>,
    /// Targets that ran it or may have run it.
    pub may_have_run: u32,
    /// Targets that certainly did not run it.
    pub rejected: u32,
    pub last: Option<AttemptError>,
}

impl Attempts {
    /// Notes a try that came to nothing.
    pub fn failed(&mut self, entry: &Entry, call: &Call, failed: AttemptError) {
        self.last = Some(failed);
        if failed.did_not_run() {
            self.rejected += 1;
        } else {
            self.may_have_run += 1;
        }
        if let (AttemptError::Broken, Some(target)) = (failed, self.tried.last()) {
            entry.record_crash(call.fingerprint, *target);
        }
    }

    /// Whether the request may go to one more target.
    pub fn may_retry(&self, call: &Call) -> bool {
        if call.time_left() < MIN_TIME_LEFT || self.rejected > MAX_REJECTED_ATTEMPTS {
            return false;
        }
        if self.may_have_run == 0 {
            return true;
        }
        call.route.kind.is_idempotent() && self.may_have_run < call.route.max_attempts
    }
}

/// Delivers a request and answers its caller.
pub async fn deliver(entry: &Arc<Entry>, mut call: Call) -> Response<AnswerBody> {
    let mut attempts = Attempts::default();
    let mut failure: Option<CompleteAnswer> = None;
    while let Some(target) = next_target(entry, &call, &mut attempts) {
        let wait = patience(&call, &attempts);
        let answered = attempt::send(entry, &call, target, None, wait).await;
        let (running, kind) = match answered {
            Ok(answered) => answered,
            Err(failed) => {
                record_failure(entry, &call, &mut attempts, target, failed);
                continue;
            }
        };
        if kind == AnswerKind::Success && call.route.kind.is_stream() {
            match stream::begin(running, wait).await {
                Ok(begun) => {
                    entry.metrics.record_first_event(call.arrived.elapsed());
                    return stream::response(entry, call, attempts, begun);
                }
                Err(failed) => record_failure(entry, &call, &mut attempts, target, failed),
            }
            continue;
        }
        match attempt::read_complete(running, Instant::now() + wait).await {
            Ok(whole) if kind == AnswerKind::Success => {
                entry.metrics.count_attempt("answered");
                call.ended("answered");
                return answer(&call, &attempts, whole);
            }
            Ok(whole) => {
                attempts.may_have_run += 1;
                attempts.last = None;
                let status = whole.status.as_u16();
                entry.metrics.count_attempt("failed");
                log::info!("event=target_failed request={} status={status}", call.head.attempt_id);
                let is_final = !whole.status.is_server_error();
                failure = Some(whole);
                if is_final {
                    break;
                }
            }
            Err(failed) => record_failure(entry, &call, &mut attempts, target, failed),
        }
    }
    if let Some(whole) = failure {
        call.ended("failed");
        return answer(&call, &attempts, whole);
    }
    call.ended("refused");
    refuse(entry, &call, &attempts)
}

/// Next target to try; `None` if the request has to be answered as it is.
pub fn next_target(entry: &Entry, call: &Call, attempts: &mut Attempts) -> Option<TargetKey> {
    let is_retry = !attempts.tried.is_empty();
    if is_retry && (!attempts.may_retry(call) || entry.poison.is_refused(call.fingerprint)) {
        return None;
    }
    let now = entry.now();
    let entries = entry.peers.entry_count();
    let criteria = SelectionCriteria {
        service: &call.service,
        data_center: &entry.data_center,
        prompt: call.shared_prompt(),
        random: rank::key_of(&call.head.attempt_id),
        entries,
    };
    let chosen = {
        let mut table = entry.targets();
        table.expire(now);
        choice::choose(&table, criteria, &attempts.tried, now)?
    };
    if is_retry && !entry.retries().try_retry(&call.service, entries, now) {
        log::info!("event=retry_denied request={} reason=retry_budget", call.head.attempt_id);
        return None;
    }
    attempts.tried.push(chosen);
    log_placement(entry, call, chosen, attempts.tried.len());
    Some(chosen)
}

fn log_placement(entry: &Entry, call: &Call, chosen: TargetKey, attempt: usize) {
    let now = entry.now();
    let table = entry.targets();
    let Some(target) = table.get(chosen) else { return };
    log::info!(
        "event=placed request={} try={attempt} target={} data_center={} running={} unread_ms={:.0} \
         failures={:.2} delay_ms={:.0} news_age_ms={}",
        call.head.attempt_id,
        target.registration.id,
        target.registration.data_center,
        target.running,
        target.pending_prefill_ms,
        target.failure_rate(now),
        target.delay(now),
        entry.update_age_ms()
    );
}

/// Time for one try: all that is left, unless another target may be tried.
fn patience(call: &Call, attempts: &Attempts) -> Duration {
    let left = call.time_left();
    let may_rerun =
        call.route.kind.is_idempotent() && attempts.may_have_run + 1 < call.route.max_attempts;
    if may_rerun {
        left.min(call.route.latency_objective.mul_f64(RERUN_AFTER_OBJECTIVES))
    } else {
        left
    }
}

fn record_failure(
    entry: &Entry,
    call: &Call,
    attempts: &mut Attempts,
    target: TargetKey,
    failed: AttemptError,
) {
    entry.metrics.count_attempt(failed.label());
    attempts.failed(entry, call, failed);
    let target = entry.targets().get(target).map(|target| target.registration.id.clone());
    log::info!(
        target: FAILURE_LOG,
        "event=try_failed request={} target={} outcome={} tries={} left_ms={}",
        call.head.attempt_id,
        target.as_deref().unwrap_or("gone"),
        failed.label(),
        attempts.tried.len(),
        call.time_left().as_millis()
    );
}

fn answer(call: &Call, attempts: &Attempts, whole: CompleteAnswer) -> Response<AnswerBody> {
    log::info!(
        "event=answered request={} route={} status={} tries={} took_ms={} version={}",
        call.head.attempt_id,
        call.route.name,
        whole.status.as_u16(),
        attempts.tried.len(),
        call.arrived.elapsed().as_millis(),
        call.catalog_version
    );
    let mut resp = Response::new(whole_body(whole.body));
    *resp.status_mut() = whole.status;
    *resp.headers_mut() = whole.headers;
    resp
}

fn refuse(entry: &Entry, call: &Call, attempts: &Attempts) -> Response<AnswerBody> {
    let refused = refusal_for(call, attempts);
    entry.metrics.count_refusal(refused.code.number());
    log::info!(
        target: FAILURE_LOG,
        "event=refused request={} route={} code={} tries={} after_ms={} last={:?}",
        call.head.attempt_id,
        call.route.name,
        refused.code.number(),
        attempts.tried.len(),
        call.arrived.elapsed().as_millis(),
        attempts.last
    );
    refusal::response(&refused)
}

fn refusal_for(call: &Call, attempts: &Attempts) -> Refusal {
    if attempts.may_have_run > 0 {
        if call.time_left() < MIN_TIME_LEFT {
            return Refusal::new(ResultCode::TimedOut, "the target did not answer in time");
        }
        return Refusal::new(ResultCode::FateUnknown, "the target broke off");
    }
    let spread = rank::key_of(&call.head.attempt_id) % RETRY_JITTER_MS;
    let (code, detail) = match attempts.last {
        None => (ResultCode::NoTarget, "no target of the service is listed"),
        Some(AttemptError::TurnedAway) => (ResultCode::QueueFull, "the targets have no room"),
        Some(_) => (ResultCode::TargetUnreachable, "no target could be reached"),
    };
    Refusal::new(code, detail).retry_after(FULL_RETRY_AFTER_MS + spread)
}
