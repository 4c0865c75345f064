//! The life of an admitted request: money, target, deliveries, settlement.
//!
//! Every path through [`run`] ends in exactly one `settle` or
//! `settle_unknown`, and in exactly one final reply to the caller.

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

/// Longest wait for money of a request that somebody waits for.
const MAX_SHORT_WAIT: Duration = Duration::from_millis(1_000);

/// Reservations of one request that sidecars may refuse for their epoch.
pub const MAX_EPOCH_REFUSALS: u32 = 3;

/// When to ask again after a failure that another target may not share.
pub const RETRY_AFTER_MS: u64 = 1_000;

/// What a request owes at its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bill {
    /// Tokens, zero for a request that did not run.
    Charge(u64),
    /// A sidecar will report it later.
    Unknown,
    /// Nothing, since a sidecar refused the paying epoch; another may pay.
    EpochRefused,
}

/// Runs a request to its end; counted as in flight until then.
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
        // A caller that went away does not need its reply.
        let _ = replies.send(reply).await;
    }
}

/// Reserves the worst case of a request.
pub async fn reserve(entry: &Entry, job: &Job) -> Result<Funding, Refusal> {
    let req = ReserveRequest {
        budget: job.budget.clone(),
        tokens: job.worst_case,
        class: job.route.class,
        max_wait: max_wait(job),
    };
    entry.gate.reserve(req).await
}

/// How long a request may wait for money, as its class allows.
fn max_wait(job: &Job) -> Duration {
    match job.route.class {
        Class::Quick | Class::Check => MAX_SHORT_WAIT.min(job.remaining() / 2),
        Class::Long | Class::Action => job.remaining() / 2,
    }
}

/// Money reserved for one request; dropped unsettled, it counts as spent.
pub struct OpenReservation<'a> {
    entry: &'a Entry,
    job: &'a Job,
    funding: Funding,
    settled: bool,
}

impl<'a> OpenReservation<'a> {
    /// Takes over a fresh reservation.
    pub fn new(entry: &'a Entry, job: &'a Job, funding: Funding) -> OpenReservation<'a> {
        OpenReservation { entry, job, funding, settled: false }
    }

    /// Money as the sidecars are told of it.
    pub fn funding(&self) -> &Funding {
        &self.funding
    }

    /// Ends the reservation.
    pub fn settle(mut self, bill: Bill) {
        self.end(bill);
    }

    fn end(&mut self, bill: Bill) {
        self.settled = true;
        let OpenReservation { entry, job, funding, .. } = self;
        match bill {
            Bill::Charge(charge) => {
                entry.gate.settle(funding, charge);
                entry.metrics.charged(&job.route.name, charge);
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

/// Chooses the target of the next delivery and logs why.
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

/// Whether time and the route's retry budget allow another delivery.
pub fn may_retry(entry: &Entry, job: &Job) -> bool {
    let allowed = !job.remaining().is_zero() && entry.router.try_retry(&job.route.name);
    if allowed {
        entry.metrics.retried(&job.route.name);
    }
    allowed
}

/// Refusal of new work by an entry that drains.
pub fn shutting_down() -> Refusal {
    Refusal::new(ResultCode::ShuttingDown, "ask another entry").retry_after(RETRY_AFTER_MS)
}

/// Refusal of a delivery that certainly did not reach its sidecar.
pub fn undelivered(target: &str, detail: &str) -> Refusal {
    let refusal = Refusal::new(ResultCode::TargetUnreachable, format!("target {target}: {detail}"));
    refusal.retry_after(RETRY_AFTER_MS)
}

/// How routing counts the end of a delivery.
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

/// Whether another target may do what this one refused.
pub fn is_retryable_elsewhere(code: ResultCode) -> bool {
    use ResultCode::*;
    match code {
        NoTarget | QueueFull | DeadlineTooShort | Leaving | ShuttingDown | Overloaded
        | NotConfigured | TargetUnreachable | FateUnknown | TargetFailed | AnswerGone
        | AnswerCutOff => true,
        BadRequest | BodyTooLarge | Unauthorized | UnknownRoute | UnknownBudget | PromptTooLong
        | MaxTokensTooLarge | KeyReused | BodyTimeout | BudgetExhausted | BudgetUnavailable
        | EpochClosed | ClaimUnavailable | Poisoned | Withdrawn | StillRunning | TimedOut => false,
    }
}
