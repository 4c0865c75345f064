//! Runs one request: waits for admission, calls the target at most once, writes the answer and
//! records the charge.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use rosemarymoor_lib::admission::Arrival;
use rosemarymoor_lib::answer_store::{Answer, AnswerEnd};
use rosemarymoor_lib::answer_usage::{Usage, UsageMeter};
use rosemarymoor_lib::budget::SpendWitness;
use rosemarymoor_lib::gate::GateEvent;
use rosemarymoor_lib::poison::RequestDigests;
use rosemarymoor_lib::prompt_parts::prompt_parts;
use rosemarymoor_lib::result_code::{Refusal, RefusalKind, ResultCode, says_not_run};
use rosemarymoor_lib::target_client::{AnswerHead, TargetAnswer, TargetCall, TargetError};
use rosemarymoor_lib::wire::{Class, Price, RunRequest};
use tokio::time::Instant;

use super::context::Sidecar;
use super::gate::{TicketEvent, TicketHandle};

/// Largest body that is accepted from a target, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Longest wait for the end of the answer to a cancelled call.
const CANCEL_GRACE: Duration = Duration::from_millis(1_000);
/// Time after its deadline for which the answer to a non-repeatable call is still accepted.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// Lowest HTTP status of an answer; lower ones announce one, or another protocol that nobody asked for.
const MIN_FINAL_STATUS: u16 = 200;
/// Lowest HTTP status that reports a server error.
const MIN_SERVER_ERROR_STATUS: u16 = 500;
/// Retry delay sent with a refusal when the target accepts no connection, in milliseconds.
const UNREACHABLE_RETRY_AFTER_MS: u64 = 1_000;

/// Why a call stopped before its answer was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopReason {
    /// The last reader of the answer asked to cancel.
    Cancelled,
    /// The time limit of the sidecar's drain was reached.
    Drained,
    /// The time limit of the call passed.
    TimedOut,
    /// The connection to the target broke.
    Lost,
    /// The answer belongs to another request.
    Crossed,
    /// The engine answered with a server error.
    ErrorStatus,
    /// The target answered with a status that says that the request did not run, which no target can state.
    UntruePromise,
    /// The stream goes on with something else than events.
    OtherText,
    /// The body exceeds [`MAX_ANSWER_BYTES`].
    TooLarge,
    /// The call was not sent to the target.
    NotStarted,
}

/// Result of a call to the target.
struct CallOutcome {
    /// `None` if the answer is complete.
    stop: Option<StopReason>,
    usage: Usage,
    /// Bytes of the body that were received.
    bytes: usize,
}

/// Runs a claimed request to its end, writes its answer and records the charge.
pub async fn run(cx: Arc<Sidecar>, answer: Arc<Answer>, req: RunRequest) {
    let _accepted = cx.track_request();
    let limit = CallLimit::new(&req);
    let end = match admit(&cx, &answer, &req).await {
        Ok(ticket) => {
            let outcome = call_target(&cx, &answer, &req, limit).await;
            match outcome.stop {
                None => ticket.answered(),
                Some(StopReason::Lost) => ticket.connection_lost().await,
                Some(_) => drop(ticket),
            }
            let end = answer_end(&req, &outcome);
            cx.receipts.charge(&req.funding, end.charge());
            end
        }
        Err(refusal) => AnswerEnd::Refused { refusal, charge: 0 },
    };
    finish(&cx, &answer, &req, end);
}

/// Waits until the request may start, and checks that its reservation is accepted.
async fn admit(cx: &Sidecar, answer: &Answer, req: &RunRequest) -> Result<TicketHandle, Refusal> {
    let cfg = cx.cfg.current();
    let weight = cfg.workspace(&req.workspace).map_or(1, |workspace| workspace.weight);
    let deadline = cx.clock.now().plus(req.deadline_ms);
    let parts = prompt_parts(&req.call.body);
    let digests = RequestDigests { fingerprint: req.fingerprint, parts };
    let mut ticket = cx.gate.enter(digests, |ticket| Arrival {
        ticket,
        workspace: req.workspace.clone(),
        weight,
        class: req.class,
        deadline,
        alone: false,
    });
    let mut withdrawn = false;
    loop {
        tokio::select! {
            event = ticket.next() => match event {
                Some(TicketEvent::Queued) => answer.update(|log| log.accepted = true),
                Some(TicketEvent::Started) if cx.is_cut_off() => return Err(stopping()),
                Some(TicketEvent::Started) => break,
                Some(TicketEvent::Refused(refusal)) => {
                    let is_cut_off = refusal.code == ResultCode::Withdrawn && cx.is_cut_off();
                    return Err(if is_cut_off { stopping() } else { refusal });
                }
                Some(TicketEvent::LossResolved) => {}
                None => return Err(stopping()),
            },
            () = withdrawal(cx, answer), if !withdrawn => {
                withdrawn = true;
                ticket.withdraw();
            }
        }
    }
    cx.receipts.admit(&req.funding)?;
    Ok(ticket)
}

/// Waits until a request that waits for a slot is cancelled or the sidecar stops.
async fn withdrawal(cx: &Sidecar, answer: &Answer) {
    tokio::select! {
        () = answer.cancelled() => {}
        () = cx.limit_reached() => {}
    }
}

/// Returns the refusal of a request that waits when the sidecar stops.
fn stopping() -> Refusal {
    Refusal::new(ResultCode::Leaving, "the sidecar stops")
}

/// Logs and counts the end of a request and publishes it to the readers of the answer.
fn finish(cx: &Sidecar, answer: &Answer, req: &RunRequest, end: AnswerEnd) {
    cx.counters.charged_tokens.add(end.charge(), &[]);
    match &end {
        AnswerEnd::Complete { charge } => {
            cx.counters.answered.add(1, &[]);
            log::info!("decision=answer request={} charge={charge}", req.request);
        }
        AnswerEnd::Refused { refusal, charge } => {
            cx.count_refusal(refusal);
            let code = refusal.code.number();
            log::info!("decision=refuse request={} code={code} charge={charge}", req.request);
        }
    }
    let ran = !matches!(&end, AnswerEnd::Refused { refusal, .. }
        if refusal.code.kind() == RefusalKind::NotRun);
    // A request that did not run is removed before its readers see the end, so that a retry is
    // not joined to the refused answer.
    if !ran {
        cx.answers.remove(req.request);
    }
    answer.update(|log| log.end = Some(end));
    if ran {
        cx.answers.finish(req.request, cx.clock.now());
    }
}

async fn call_target(
    cx: &Sidecar,
    answer: &Answer,
    req: &RunRequest,
    mut limit: CallLimit,
) -> CallOutcome {
    let call = TargetCall {
        request: req.request.to_string(),
        attempt: req.attempt.0,
        method: req.call.method.clone(),
        path: req.call.path.clone(),
        content_type: req.call.content_type.clone(),
        priority: priority(req.class),
        body: req.call.body.clone(),
    };
    log::info!("decision=run request={} attempt={} class={}", req.request, req.attempt, req.class);
    let sent_at = cx.clock.now();
    let mut calling = cx.target.call(call);
    let called = loop {
        tokio::select! {
            called = &mut calling => break called.map_err(Some),
            stop = limit.reached(cx, answer) => {
                if !limit.begin_cancel(cx, req, stop).await {
                    break Err(None);
                }
            }
        }
    };
    match called {
        Ok(target_answer) => {
            cx.gate.apply_limit(target_answer.limit, sent_at);
            read_answer(cx, answer, req, target_answer, limit).await
        }
        Err(Some(TargetError::NotStarted)) => CallOutcome::empty(StopReason::NotStarted),
        Err(Some(TargetError::MaybeRan)) => {
            CallOutcome::empty(limit.stop.unwrap_or(StopReason::Lost))
        }
        Err(None) => CallOutcome::empty(limit.stop.unwrap_or(StopReason::TimedOut)),
    }
}

/// Copies the target's answer to `answer` until it ends or the call is stopped.
async fn read_answer(
    cx: &Sidecar,
    answer: &Answer,
    req: &RunRequest,
    target_answer: TargetAnswer,
    mut limit: CallLimit,
) -> CallOutcome {
    let TargetAnswer { head, ends_with_connection, mut body, .. } = target_answer;
    if !is_answer_to(req, &head) {
        cx.counters.crossed.add(1, &[]);
        log::warn!("event=crossed request={} attempt={}", req.request, req.attempt);
        return CallOutcome::empty(StopReason::Crossed);
    }
    if head.status < MIN_FINAL_STATUS {
        return CallOutcome::empty(StopReason::Lost);
    }
    if says_not_run(head.status) {
        log::warn!("event=untrue_promise request={} status={}", req.request, head.status);
        return CallOutcome::empty(StopReason::UntruePromise);
    }
    if is_engine(req) && head.status >= MIN_SERVER_ERROR_STATUS {
        return CallOutcome::empty(StopReason::ErrorStatus);
    }
    let mut share = cx.running_answers.open_share();
    let mut meter = UsageMeter::new(&head.content_type);
    let status = head.status;
    answer.update(|log| log.head = Some((status, head.content_type)));
    let stop = loop {
        tokio::select! {
            part = body.next() => match part {
                Some(Ok(bytes)) => {
                    meter.feed(&bytes);
                    let other_text = meter.bytes_before_other_text();
                    let passed_on = &bytes[..other_text.unwrap_or(bytes.len())];
                    answer.update(|log| log.body.extend_from_slice(passed_on));
                    if other_text.is_some() {
                        cancel(cx, req).await;
                        break Some(StopReason::OtherText);
                    }
                    let (length, capacity) =
                        answer.read(|log| (log.body.len(), log.body.capacity()));
                    if length > MAX_ANSWER_BYTES || share.resize(capacity).is_err() {
                        cancel(cx, req).await;
                        break Some(StopReason::TooLarge);
                    }
                }
                Some(Err(_)) => break Some(limit.stop.unwrap_or(StopReason::Lost)),
                None if ends_with_connection && is_engine(req) => {
                    let is_whole = answer.read(|log| meter.is_whole(&log.body));
                    break if is_whole { limit.stop } else { limit.stop.or(Some(StopReason::Lost)) };
                }
                None if meter.is_complete() => break limit.stop,
                None => break Some(limit.stop.unwrap_or(StopReason::Lost)),
            },
            stop = limit.reached(cx, answer) => {
                if !limit.begin_cancel(cx, req, stop).await {
                    break limit.stop;
                }
            }
        }
    };
    let usage = answer.read(|log| meter.finish(&log.body));
    CallOutcome { stop, usage, bytes: answer.read(|log| log.body.len()) }
}

impl CallOutcome {
    fn empty(stop: StopReason) -> CallOutcome {
        CallOutcome { stop: Some(stop), usage: Usage::Counted(0), bytes: 0 }
    }
}

/// Time limit and cancellation of one call.
struct CallLimit {
    deadline: Instant,
    cancellable: bool,
    /// Why the call was cancelled or timed out, if it was.
    stop: Option<StopReason>,
}

impl CallLimit {
    fn new(req: &RunRequest) -> CallLimit {
        let time_limit = Duration::from_millis(req.deadline_ms);
        // Giving up on a non-repeatable call would leave unknown whether it ran.
        let wait = if req.repeatable { time_limit } else { time_limit + LATE_ANSWER_TIMEOUT };
        CallLimit { deadline: Instant::now() + wait, cancellable: req.repeatable, stop: None }
    }

    /// Waits until the time limit passes, the answer is cancelled or the sidecar stops.
    async fn reached(&self, cx: &Sidecar, answer: &Answer) -> StopReason {
        let may_cancel = self.cancellable && self.stop.is_none();
        tokio::select! {
            () = tokio::time::sleep_until(self.deadline) => StopReason::TimedOut,
            () = answer.cancelled(), if may_cancel => StopReason::Cancelled,
            () = cx.limit_reached(), if may_cancel => StopReason::Drained,
        }
    }

    /// Cancels the call at the target and extends its time limit by [`CANCEL_GRACE`].
    ///
    /// Returns false if the call was cancelled before or cannot be cancelled.
    async fn begin_cancel(&mut self, cx: &Sidecar, req: &RunRequest, stop: StopReason) -> bool {
        if self.stop.is_some() || !self.cancellable {
            self.stop.get_or_insert(stop);
            return false;
        }
        log::info!("decision=cancel request={} reason={stop:?}", req.request);
        self.stop = Some(stop);
        cancel(cx, req).await;
        self.deadline = Instant::now() + CANCEL_GRACE;
        true
    }
}

/// Asks the target to cancel the request.
async fn cancel(cx: &Sidecar, req: &RunRequest) {
    cx.gate.send(GateEvent::ControlRequest);
    cx.target.cancel(&req.request.to_string()).await;
}

/// Returns whether the target's answer belongs to the request.
fn is_answer_to(req: &RunRequest, head: &AnswerHead) -> bool {
    match &head.echo {
        Some(echo) => echo.request == req.request.to_string() && echo.attempt == req.attempt.0,
        // An application does not echo the request; its connection carried only this call.
        None => !is_engine(req),
    }
}

fn is_engine(req: &RunRequest) -> bool {
    matches!(req.price, Price::Usage)
}

/// Returns the end of the answer: its charge, and the refusal if the call was stopped.
fn answer_end(req: &RunRequest, outcome: &CallOutcome) -> AnswerEnd {
    let charge = charge(req, outcome);
    let Some(stop) = outcome.stop else { return AnswerEnd::Complete { charge } };
    let code = match stop {
        StopReason::NotStarted => ResultCode::TargetUnreachable,
        StopReason::TimedOut => ResultCode::TimedOut,
        StopReason::Cancelled
        | StopReason::Drained
        | StopReason::TooLarge
        | StopReason::OtherText => ResultCode::AnswerCutOff,
        StopReason::Lost if outcome.bytes > 0 => ResultCode::AnswerCutOff,
        StopReason::Lost
        | StopReason::Crossed
        | StopReason::ErrorStatus
        | StopReason::UntruePromise => match req.repeatable {
            true => ResultCode::TargetFailed,
            false => ResultCode::FateUnknown,
        },
    };
    let mut refusal = Refusal::new(code, refusal_detail(stop, outcome.usage));
    if stop == StopReason::NotStarted {
        refusal = refusal.retry_after(UNREACHABLE_RETRY_AFTER_MS);
    }
    AnswerEnd::Refused { refusal, charge }
}

/// Returns the tokens to charge, at most the reservation.
fn charge(req: &RunRequest, outcome: &CallOutcome) -> u64 {
    let reserve = req.funding.reserved_tokens();
    match req.price {
        Price::Usage => outcome.usage.charge(reserve),
        Price::Fixed(tokens) if outcome.stop.is_none() => tokens.min(reserve),
        Price::Fixed(_) => 0,
    }
}

fn refusal_detail(stop: StopReason, usage: Usage) -> String {
    let reason = match stop {
        StopReason::Cancelled => "the caller went away",
        StopReason::Drained => "the sidecar stops",
        StopReason::TimedOut => "the deadline passed while the target ran the request",
        StopReason::Lost => "the connection to the target broke",
        StopReason::Crossed => "the target answered another request",
        StopReason::ErrorStatus => "the engine answered with a server error",
        StopReason::UntruePromise => "the target failed, and may have run the request",
        StopReason::OtherText => "the stream goes on with something else than events",
        StopReason::TooLarge => "the answer exceeds the size limit",
        StopReason::NotStarted => "the target does not accept connections",
    };
    match usage {
        Usage::Counted(chunks) if chunks > 0 => {
            format!("{reason}; charged for {chunks} chunks, as the target reported no usage")
        }
        Usage::Reported(_) | Usage::Counted(_) => reason.to_owned(),
    }
}

/// Returns the priority that is sent to the target; lower numbers run first.
fn priority(class: Class) -> u8 {
    match class {
        Class::Quick => 0,
        Class::Action | Class::Check => 1,
        Class::Long => 2,
    }
}
