//! One request at the target: called once, answered once, charged once.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use rosemarymoor_lib::admission::Arrival;
use rosemarymoor_lib::answer_store::{Answer, AnswerEnd};
use rosemarymoor_lib::answer_usage::{Usage, UsageMeter};
use rosemarymoor_lib::budget::SpendWitness;
use rosemarymoor_lib::result_code::{Refusal, RefusalKind, ResultCode};
use rosemarymoor_lib::target_client::{AnswerHead, TargetAnswer, TargetCall, TargetError};
use rosemarymoor_lib::wire::{Class, Price, RunRequest};
use tokio::time::Instant;

use super::context::Sidecar;
use super::gate::{TicketEvent, TicketHandle};

/// Largest answer that is taken from a target, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// How long a cancelled engine may take to end its answer.
const CANCEL_GRACE: Duration = Duration::from_millis(1_000);
/// How long the late answer of a call that must not repeat is waited for.
const LATE_ANSWER: Duration = Duration::from_secs(60);
/// First HTTP status that reports a failure of the server.
const SERVER_ERROR: u16 = 500;
const UNREACHABLE_RETRY_MS: u64 = 1_000;

/// Why a call stopped before its answer was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    Cancelled,
    TimedOut,
    /// The connection to the target broke.
    Lost,
    /// The answer belongs to another request.
    Crossed,
    /// The engine answered with a server error.
    ErrorStatus,
    TooLarge,
    /// The call never left.
    NotStarted,
}

/// What came of a call.
struct CallEnd {
    stop: Option<Stop>,
    usage: Usage,
    bytes: usize,
}

/// Runs a claimed request to its end and writes its answer.
pub async fn run(cx: Arc<Sidecar>, answer: Arc<Answer>, req: RunRequest) {
    let _accepted = cx.enter();
    let limit = Limit::new(&req);
    let end = match admit(&cx, &answer, &req).await {
        Ok(ticket) => {
            let end = call_target(&cx, &answer, &req, limit).await;
            match end.stop {
                None => ticket.answered(),
                Some(Stop::Lost) => ticket.lost().await,
                Some(_) => drop(ticket),
            }
            let end = conclude(&req, &end);
            cx.receipts.charge(&req.funding, end.charge());
            end
        }
        Err(refusal) => AnswerEnd::Refused { refusal, charge: 0 },
    };
    finish(&cx, &answer, &req, end);
}

/// Waits until the request may start, with its money admitted.
async fn admit(cx: &Sidecar, answer: &Answer, req: &RunRequest) -> Result<TicketHandle, Refusal> {
    let cfg = cx.cfg.current();
    let weight = cfg.workspace(&req.workspace).map_or(1, |workspace| workspace.weight);
    let deadline = cx.clock.now().plus(req.deadline_ms);
    let mut ticket = cx.gate.enter(req.fingerprint, |ticket| Arrival {
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
                Some(TicketEvent::Started) => break,
                Some(TicketEvent::Refused(refusal)) => return Err(refusal),
                Some(TicketEvent::Judged) => {}
                None => return Err(Refusal::new(ResultCode::Leaving, "the sidecar stops")),
            },
            () = answer.cancelled(), if !withdrawn => {
                withdrawn = true;
                ticket.withdraw();
            }
        }
    }
    cx.receipts.admit(&req.funding)?;
    Ok(ticket)
}

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
    // The store forgets a request that did not run before its readers hear of
    // it, so that a retry finds the way free.
    if !ran {
        cx.answers.forget(req.request);
    }
    answer.update(|log| log.end = Some(end));
    if ran {
        cx.answers.finish(req.request, cx.clock.now());
    }
}

async fn call_target(cx: &Sidecar, answer: &Answer, req: &RunRequest, mut limit: Limit) -> CallEnd {
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
    let mut calling = cx.target.call(call);
    let called = loop {
        tokio::select! {
            called = &mut calling => break called.map_err(Some),
            stop = limit.reached(answer) => {
                if !limit.begin_cancel(cx, req, stop).await {
                    break Err(None);
                }
            }
        }
    };
    match called {
        Ok(target_answer) => read_answer(cx, answer, req, target_answer, limit).await,
        Err(Some(TargetError::NotStarted)) => CallEnd::empty(Stop::NotStarted),
        Err(Some(TargetError::MaybeRan)) => CallEnd::empty(limit.stop.unwrap_or(Stop::Lost)),
        Err(None) => CallEnd::empty(limit.stop.unwrap_or(Stop::TimedOut)),
    }
}

async fn read_answer(
    cx: &Sidecar,
    answer: &Answer,
    req: &RunRequest,
    target_answer: TargetAnswer,
    mut limit: Limit,
) -> CallEnd {
    let TargetAnswer { head, mut body } = target_answer;
    if !is_own(req, &head) {
        cx.counters.crossed.add(1, &[]);
        log::warn!("event=crossed request={} attempt={}", req.request, req.attempt);
        return CallEnd::empty(Stop::Crossed);
    }
    if is_engine(req) && head.status >= SERVER_ERROR {
        return CallEnd::empty(Stop::ErrorStatus);
    }
    let mut meter = UsageMeter::new(&head.content_type);
    let status = head.status;
    answer.update(|log| log.head = Some((status, head.content_type)));
    let stop = loop {
        tokio::select! {
            part = body.next() => match part {
                Some(Ok(bytes)) => {
                    meter.feed(&bytes);
                    answer.update(|log| log.body.extend_from_slice(&bytes));
                    if answer.read(|log| log.body.len()) > MAX_ANSWER_BYTES {
                        cx.target.cancel(&req.request.to_string()).await;
                        break Some(Stop::TooLarge);
                    }
                }
                Some(Err(_)) => break Some(limit.stop.unwrap_or(Stop::Lost)),
                None if meter.is_complete() => break limit.stop,
                None => break Some(limit.stop.unwrap_or(Stop::Lost)),
            },
            stop = limit.reached(answer) => {
                if !limit.begin_cancel(cx, req, stop).await {
                    break limit.stop;
                }
            }
        }
    };
    let usage = answer.read(|log| meter.finish(&log.body));
    CallEnd { stop, usage, bytes: answer.read(|log| log.body.len()) }
}

impl CallEnd {
    fn empty(stop: Stop) -> CallEnd {
        CallEnd { stop: Some(stop), usage: Usage::Counted(0), bytes: 0 }
    }
}

/// Time and cancellation of one call.
struct Limit {
    at: Instant,
    cancellable: bool,
    stop: Option<Stop>,
}

impl Limit {
    fn new(req: &RunRequest) -> Limit {
        let deadline = Duration::from_millis(req.deadline_ms);
        // The fate of a call that must not repeat is worth waiting for.
        let wait = if req.repeatable { deadline } else { deadline + LATE_ANSWER };
        Limit { at: Instant::now() + wait, cancellable: req.repeatable, stop: None }
    }

    async fn reached(&self, answer: &Answer) -> Stop {
        let cancelled = async {
            if self.cancellable && self.stop.is_none() {
                answer.cancelled().await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = tokio::time::sleep_until(self.at) => Stop::TimedOut,
            () = cancelled => Stop::Cancelled,
        }
    }

    /// Asks the target to stop; false if it was asked before and did not.
    async fn begin_cancel(&mut self, cx: &Sidecar, req: &RunRequest, stop: Stop) -> bool {
        if self.stop.is_some() || !self.cancellable {
            self.stop.get_or_insert(stop);
            return false;
        }
        log::info!("decision=cancel request={} reason={stop:?}", req.request);
        self.stop = Some(stop);
        cx.target.cancel(&req.request.to_string()).await;
        self.at = Instant::now() + CANCEL_GRACE;
        true
    }
}

fn is_own(req: &RunRequest, head: &AnswerHead) -> bool {
    match &head.echo {
        Some(echo) => echo.request == req.request.to_string() && echo.attempt == req.attempt.0,
        // A plain service does not echo; its connection carried this call alone.
        None => !is_engine(req),
    }
}

fn is_engine(req: &RunRequest) -> bool {
    matches!(req.price, Price::Usage)
}

fn conclude(req: &RunRequest, end: &CallEnd) -> AnswerEnd {
    let charge = charge(req, end);
    let Some(stop) = end.stop else { return AnswerEnd::Complete { charge } };
    let code = match stop {
        Stop::NotStarted => ResultCode::TargetUnreachable,
        Stop::TimedOut => ResultCode::TimedOut,
        Stop::Cancelled | Stop::TooLarge => ResultCode::AnswerCutOff,
        Stop::Lost if end.bytes > 0 => ResultCode::AnswerCutOff,
        Stop::Lost | Stop::Crossed | Stop::ErrorStatus if req.repeatable => {
            ResultCode::TargetFailed
        }
        Stop::Lost | Stop::Crossed | Stop::ErrorStatus => ResultCode::FateUnknown,
    };
    let mut refusal = Refusal::new(code, detail(stop, end.usage));
    if stop == Stop::NotStarted {
        refusal = refusal.retry_after(UNREACHABLE_RETRY_MS);
    }
    AnswerEnd::Refused { refusal, charge }
}

fn charge(req: &RunRequest, end: &CallEnd) -> u64 {
    let reserve = req.funding.reserved_tokens();
    match req.price {
        Price::Usage => end.usage.charge(reserve),
        Price::Fixed(tokens) if end.stop.is_none() => tokens.min(reserve),
        Price::Fixed(_) => 0,
    }
}

fn detail(stop: Stop, usage: Usage) -> String {
    let reason = match stop {
        Stop::Cancelled => "the caller went away",
        Stop::TimedOut => "the deadline passed while the target ran the request",
        Stop::Lost => "the connection to the target broke",
        Stop::Crossed => "the target answered another request",
        Stop::ErrorStatus => "the engine answered with a server error",
        Stop::TooLarge => "the answer exceeds the size limit",
        Stop::NotStarted => "the target does not accept connections",
    };
    match usage {
        Usage::Counted(chunks) if chunks > 0 => {
            format!("{reason}; charged for {chunks} chunks, as the target reported no usage")
        }
        Usage::Reported(_) | Usage::Counted(_) => reason.to_owned(),
    }
}

fn priority(class: Class) -> u8 {
    match class {
        Class::Quick => 0,
        Class::Action | Class::Check => 1,
        Class::Long => 2,
    }
}
