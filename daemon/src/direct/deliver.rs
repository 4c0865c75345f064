//! Delivers an admitted request: chooses targets, makes attempts and answers the caller.
//!
//! A request that may have run is sent to another target only if its route is idempotent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Response;
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::result_code::{FAILURE_LOG, Refusal, ResultCode};
use rosemarymoor_platform::answer::AnswerKind;

use super::attempt::{self, AttemptError, CompleteAnswer};
use super::attempts::{Attempts, MIN_TIME_LEFT, next_target, record_failure};
use super::call::Call;
use super::entry::Entry;
use super::refusal;
use super::rerun::Wait;
use super::room;
use super::stream;
use super::trials::TrialDenied;
use crate::http_server::{AnswerBody, full_body};

/// Multiple of the latency objective after which an unanswered idempotent call is sent
/// to another target.
const RERUN_AFTER_OBJECTIVES: f64 = 2.0;

/// Shortest retry delay reported with the refusal of a request that no target ran.
const NOT_RUN_RETRY_AFTER_MS: u64 = 400;

/// Shortest retry delay reported while a suspect of the request is tried.
const TRIAL_RETRY_AFTER_MS: u64 = 500;

/// Shortest retry delay reported while all targets have asked to wait or have reached their limits,
/// before jitter.
const MIN_WAIT_RETRY_AFTER_MS: u64 = 100;

/// Upper bound of the jitter added to [`NOT_RUN_RETRY_AFTER_MS`], so that callers do not retry
/// at the same time.
const RETRY_JITTER_MS: u64 = 300;

/// Upper bound of the jitter, in percent of the time until a target takes requests again.
const WAIT_JITTER_PERCENT: u64 = 25;

/// Delivers a request and answers its caller.
pub async fn deliver(entry: &Arc<Entry>, mut call: Call) -> Response<AnswerBody> {
    if let Err(refusal) = room::find(entry, &mut call).await {
        call.record_end("refused");
        return refuse(entry, &call, &Attempts::default(), &refusal);
    }
    let mut attempts = Attempts::default();
    let mut failed_answer: Option<CompleteAnswer> = None;
    while let Some(target) = next_target(entry, &call, &mut attempts).await {
        let timeout = attempt_timeout(&call, &attempts);
        let wait = Wait::open(entry, &call, target);
        let reuse = attempts.connection_reuse();
        let sending = attempt::send(entry, &call, target, None, timeout, reuse);
        let sent = match may_stay(&call) {
            true => wait.until_answered(entry, &call, &attempts, sending).await,
            false => sending.await,
        };
        let (started, kind) = match sent {
            Ok(started) => started,
            Err(err) => {
                record_failure(entry, &call, &mut attempts, target, err);
                continue;
            }
        };
        if kind == AnswerKind::Success && call.route.kind.is_stream() {
            let reading = stream::read_first_event(started, &call, timeout);
            let read = match may_stay(&call) {
                true => wait.until_answered(entry, &call, &attempts, reading).await,
                false => reading.await,
            };
            match read {
                Ok(started_stream) => {
                    entry.metrics.record_first_event(call.arrived_at.elapsed());
                    return stream::response(entry, call, attempts, started_stream);
                }
                Err(err) => record_failure(entry, &call, &mut attempts, target, err),
            }
            continue;
        }
        let deadline = (Instant::now() + timeout).min(call.deadline);
        match attempt::read_complete(started, deadline).await {
            Ok(answer) if kind == AnswerKind::Success => {
                entry.metrics.count_attempt("answered");
                call.record_sound(&answer.process, answer.body_end);
                call.record_end("answered");
                return answer_response(&call, &attempts, answer);
            }
            Ok(answer) => {
                attempts.may_have_run += 1;
                attempts.last_error = None;
                let status = answer.status.as_u16();
                entry.metrics.count_attempt("failed");
                log::info!("event=target_failed request={} status={status}", call.head.attempt_id);
                let is_final = !answer.status.is_server_error();
                failed_answer = Some(answer);
                if is_final {
                    break;
                }
            }
            Err(err) => record_failure(entry, &call, &mut attempts, target, err),
        }
    }
    if let Some(answer) = failed_answer {
        call.record_end("failed");
        return answer_response(&call, &attempts, answer);
    }
    call.record_end("refused");
    refuse(entry, &call, &attempts, &refusal_for(entry, &call, &attempts))
}

/// Returns the timeout of one attempt: all remaining time, unless the request may then
/// be sent to another target.
fn attempt_timeout(call: &Call, attempts: &Attempts) -> Duration {
    let time_left = call.time_left();
    let may_rerun =
        call.route.kind.is_idempotent() && attempts.may_have_run + 1 < call.route.max_attempts;
    if may_rerun && !may_stay(call) {
        time_left.min(call.route.latency_objective.mul_f64(RERUN_AFTER_OBJECTIVES))
    } else {
        time_left
    }
}

/// Returns whether a request may stay at a target that does not answer: engines queue what they
/// cannot run yet.
fn may_stay(call: &Call) -> bool {
    call.route.kind.is_stream() && !call.head.prompt.is_empty()
}

fn answer_response(
    call: &Call,
    attempts: &Attempts,
    answer: CompleteAnswer,
) -> Response<AnswerBody> {
    log::info!(
        "event=answered request={} route={} status={} tries={} took_ms={} version={}",
        call.head.attempt_id,
        call.route.name,
        answer.status.as_u16(),
        attempts.targets.len(),
        call.arrived_at.elapsed().as_millis(),
        call.catalog_version
    );
    let mut resp = Response::new(full_body(answer.body));
    *resp.status_mut() = answer.status;
    *resp.headers_mut() = answer.headers;
    resp
}

fn refuse(
    entry: &Entry,
    call: &Call,
    attempts: &Attempts,
    refusal: &Refusal,
) -> Response<AnswerBody> {
    entry.metrics.count_refusal(refusal.code.number());
    log::info!(
        target: FAILURE_LOG,
        "event=refused request={} route={} code={} tries={} after_ms={} last={:?}",
        call.head.attempt_id,
        call.route.name,
        refusal.code.number(),
        attempts.targets.len(),
        call.arrived_at.elapsed().as_millis(),
        attempts.last_error
    );
    refusal::response(refusal)
}

fn refusal_for(entry: &Entry, call: &Call, attempts: &Attempts) -> Refusal {
    if attempts.may_have_run > 0 {
        if call.time_left() < MIN_TIME_LEFT {
            return Refusal::new(ResultCode::TimedOut, "the target did not answer in time");
        }
        return match attempts.last_error {
            Some(AttemptError::Failed) => {
                Refusal::new(ResultCode::TargetFailed, "the target failed, and may have run it")
            }
            _ => Refusal::new(ResultCode::FateUnknown, "the target broke off"),
        };
    }
    let random = rank::key_of(&call.head.attempt_id);
    let jitter_ms = random % RETRY_JITTER_MS;
    match attempts.denied {
        Some(TrialDenied::Refused) => {
            return Refusal::new(ResultCode::Poisoned, "targets broke off while they ran it");
        }
        Some(TrialDenied::Busy) => {
            let detail = "a part of the prompt is tried, as targets broke off with it";
            let retry_after_ms = TRIAL_RETRY_AFTER_MS + jitter_ms;
            return Refusal::new(ResultCode::QueueFull, detail).retry_after(retry_after_ms);
        }
        None => {}
    }
    let allowed = call.allowed_data_centers.as_deref();
    let shortest_wait_ms = entry.targets().shortest_wait_in_ms(&call.service, allowed, entry.now());
    if let Some(wait_ms) = shortest_wait_ms {
        let jitter_ms = jitter_ms.max(wait_ms * (random % WAIT_JITTER_PERCENT) / 100);
        let detail = "all targets have asked to wait, have reached their limits or have no room";
        let retry_after_ms = wait_ms.max(MIN_WAIT_RETRY_AFTER_MS) + jitter_ms;
        return Refusal::new(ResultCode::QueueFull, detail).retry_after(retry_after_ms);
    }
    let (code, detail) = match attempts.last_error {
        None if call.origin.is_some() => {
            (ResultCode::NoTarget, "no target of the version that began the stream is listed")
        }
        None => (ResultCode::NoTarget, no_target_detail(entry, call)),
        Some(AttemptError::TurnedAway) => (ResultCode::QueueFull, "the targets have no room"),
        Some(_) => (ResultCode::TargetUnreachable, "no target could be reached"),
    };
    Refusal::new(code, detail).retry_after(NOT_RUN_RETRY_AFTER_MS + jitter_ms)
}

/// Returns why no target was chosen for a request.
fn no_target_detail(entry: &Entry, call: &Call) -> &'static str {
    if call.allowed_data_centers.is_some() {
        return "no target of the service is in an allowed region";
    }
    if entry.targets().evacuations.count() > 0 {
        return "no target of the service is in a data centre that is not evacuated";
    }
    "no target of the service is listed"
}
