//! Delivers an admitted request: reservation, choice of targets, attempts and settlement.
//!
//! [`run`] settles each reservation exactly once and sends exactly one final reply
//! to the caller. Requests that must run at most once are delivered by
//! [`action`], all others by [`repeatable`].

use std::sync::Arc;
use std::time::Duration;

use rosemarymoor_lib::budget::ReserveRequest;
use rosemarymoor_lib::id::Attempt;
use rosemarymoor_lib::result_code::{Refusal, ResultCode};
use rosemarymoor_lib::routing::{Choice, Delivery, DeliveryEnd};
use rosemarymoor_lib::wire::{Class, Funding};
use tokio::sync::mpsc;

use super::Entry;
use super::attempt::AttemptEnd;
use super::drain::RunningGuard;
use super::job::{Job, Reply};
use super::{action, repeatable};

/// Longest time that a quick or check request waits for its reservation.
const MAX_SHORT_WAIT: Duration = Duration::from_millis(1_000);

/// Refusals of a closed epoch after which a request fails.
pub const MAX_EPOCH_REFUSALS: u32 = 3;

/// Retry-after of failures that may not recur at another target, in milliseconds.
pub const RETRY_AFTER_MS: u64 = 1_000;

/// How much a request is charged when its reservation is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bill {
    /// A known charge in tokens; zero for a request that did not run.
    Charge(u64),
    /// The charge is unknown until a sidecar reports it.
    Unknown,
    /// Nothing is charged, since a sidecar refused the paying epoch.
    EpochRefused,
}

/// Runs a request to its end; `_guard` counts it as running until then.
pub async fn run(
    entry: Arc<Entry>,
    job: Job,
    replies: mpsc::Sender<Reply>,
    _guard: Arc<RunningGuard>,
) {
    let last_replies = if job.route.repeatable {
        repeatable::run(&entry, &job, &replies).await
    } else {
        action::run(&entry, &job, &replies).await
    };
    for reply in last_replies {
        entry.record(&job, &reply);
        // A disconnected caller receives no reply.
        let _ = replies.send(reply).await;
    }
}

/// Reserves the worst-case cost of a request, or refuses the request.
pub async fn reserve(entry: &Entry, job: &Job) -> Result<Funding, Refusal> {
    let req = ReserveRequest {
        budget: job.budget.clone(),
        tokens: job.worst_case_tokens,
        class: job.route.class,
        max_wait: max_wait(job),
    };
    tokio::select! {
        funding = entry.gate.reserve(req) => funding,
        () = entry.drain.limit_reached() => Err(shutting_down()),
    }
}

/// Returns how long a request of this class may wait for a reservation.
fn max_wait(job: &Job) -> Duration {
    match job.route.class {
        Class::Quick | Class::Check => MAX_SHORT_WAIT.min(job.remaining() / 2),
        Class::Long | Class::Action => job.remaining() / 2,
    }
}

/// Guard of the tokens reserved for one request; if dropped unsettled, they count as spent.
pub struct OpenReservation<'a> {
    entry: &'a Entry,
    job: &'a Job,
    funding: Funding,
    settled: bool,
}

impl<'a> OpenReservation<'a> {
    /// Creates the guard of a new reservation.
    pub fn new(entry: &'a Entry, job: &'a Job, funding: Funding) -> OpenReservation<'a> {
        OpenReservation { entry, job, funding, settled: false }
    }

    /// Returns the funding that is sent to sidecars.
    pub fn funding(&self) -> &Funding {
        &self.funding
    }

    /// Settles the reservation.
    pub fn settle(mut self, bill: Bill) {
        self.end(bill);
    }

    fn end(&mut self, bill: Bill) {
        self.settled = true;
        let OpenReservation { entry, job, funding, .. } = self;
        match bill {
            Bill::Charge(charge) => {
                entry.gate.settle(funding, charge);
                entry.metrics.count_charged_tokens(&job.route.name, charge);
            }
            Bill::Unknown => entry.gate.settle_unknown(funding),
            Bill::EpochRefused => entry.gate.epoch_refused(funding),
        }
        log::info!(
            "decision=settle request={} budget={} reserve={} bill={bill:?}",
            job.identity.request,
            job.budget,
            funding.reserved_tokens()
        );
    }
}

impl Drop for OpenReservation<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.end(Bill::Unknown);
        }
    }
}

/// Chooses the target of the next attempt and logs the choice.
///
/// `previous` is the number of the last attempt.
pub fn choose(
    entry: &Entry,
    job: &Job,
    exclude: &[String],
    previous: Attempt,
) -> Result<Choice, Refusal> {
    let delivery = Delivery { route: &job.route.name, prompt: &job.prefix, exclude };
    let chosen = entry.router.choose(delivery);
    match &chosen {
        Ok(choice) => log::info!(
            "decision=route request={} attempt={} route={} target={} reason={}",
            job.identity.request,
            previous.0 + 1,
            job.route.name,
            choice.target,
            choice.reason
        ),
        Err(refusal) => log::info!(
            "decision=no-route request={} route={} code={}",
            job.identity.request,
            job.route.name,
            refusal.code.number()
        ),
    }
    chosen
}

/// Returns whether the deadline and the route's retry budget allow another attempt.
///
/// Takes one retry from the budget if so.
pub fn may_retry(entry: &Entry, job: &Job) -> bool {
    let allowed = !job.remaining().is_zero() && entry.router.try_retry(&job.route.name);
    if allowed {
        entry.metrics.count_retry(&job.route.name);
    }
    allowed
}

/// Adds a retry delay to the refusal of a request that may have run, unless a retry, which joins
/// that run, would only get the same refusal.
pub fn with_retry_delay(refusal: Refusal) -> Refusal {
    match refusal.code {
        ResultCode::KeyReused | ResultCode::AnswerGone | ResultCode::TargetFailed => refusal,
        _ => refusal.retry_after(RETRY_AFTER_MS),
    }
}

/// Returns the refusal of new requests by a draining entry.
pub fn shutting_down() -> Refusal {
    Refusal::new(ResultCode::ShuttingDown, "ask another entry").retry_after(RETRY_AFTER_MS)
}

/// Returns the refusal of a request that may run when the entry ends.
pub fn cut_off() -> Refusal {
    with_retry_delay(Refusal::new(ResultCode::FateUnknown, "the entry stops before the answer"))
}

/// Returns the refusal of a request that certainly did not reach the target's sidecar.
pub fn undelivered(target: &str, detail: &str) -> Refusal {
    let refusal = Refusal::new(ResultCode::TargetUnreachable, format!("target {target}: {detail}"));
    refusal.retry_after(RETRY_AFTER_MS)
}

/// Returns the outcome of an attempt for the failure counters of its target.
pub fn delivery_end(end: &AttemptEnd) -> DeliveryEnd {
    match end {
        AttemptEnd::Answered { .. } | AttemptEnd::CallerGone { .. } => DeliveryEnd::Answered,
        AttemptEnd::Refused { refusal, .. } => match refusal.code {
            ResultCode::TargetFailed | ResultCode::TargetUnreachable => DeliveryEnd::Failed,
            _ => DeliveryEnd::Refused,
        },
        AttemptEnd::Undelivered { .. }
        | AttemptEnd::Lost { .. }
        | AttemptEnd::DeadlinePassed { .. } => DeliveryEnd::Failed,
    }
}

/// Returns whether a request refused with `code` may be sent to another target.
pub fn is_retryable_elsewhere(code: ResultCode) -> bool {
    use ResultCode::*;
    match code {
        NoTarget | QueueFull | DeadlineTooShort | Leaving | ShuttingDown | Overloaded
        | NotConfigured | TargetUnreachable | FateUnknown | TargetFailed | AnswerGone
        | AnswerCutOff => true,
        BadRequest | BodyTooLarge | Unauthorized | UnknownRoute | UnknownBudget | PromptTooLong
        | MaxTokensTooLarge | KeyReused | BodyTimeout | BudgetExhausted | BudgetUnavailable
        | EpochClosed | ClaimUnavailable | Poisoned | Withdrawn | StillRunning | TimedOut
        | OriginUnknown => false,
    }
}
