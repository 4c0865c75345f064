//! The life of an admitted request: money, target, deliveries, settlement.
//!
//! Every path through [`run`] ends in exactly one `settle` or
//! `settle_unknown`, and in exactly one final reply to the caller.

use std::sync::Arc;
use std::time::Duration;

use rosemarymoor_lib::budget::ReserveRequest;
use rosemarymoor_lib::id::Attempt;
use rosemarymoor_lib::result_code::{Refusal, RefusalKind, ResultCode};
use rosemarymoor_lib::routing::{Choice, Delivery, DeliveryEnd};
use rosemarymoor_lib::wire::{Class, Funding};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Entry;
use super::attempt::{AttemptEnd, AttemptRun};
use super::drain::RunningGuard;
use super::job::{Job, Reply};

/// Longest wait for money of a request that somebody waits for.
const SHORT_PATIENCE: Duration = Duration::from_millis(1_000);

/// Reservations of one request, under another epoch each time.
const MAX_RESERVATIONS: u32 = 3;

/// When to ask again after a failure that another target may not share.
const RETRY_AFTER_MS: u64 = 1_000;

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

/// End of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    pub bill: Bill,
    /// Replies that the caller still has to get.
    pub last: Vec<Reply>,
}

impl Verdict {
    fn refused(refusal: Refusal, bill: Bill) -> Verdict {
        Verdict { bill, last: vec![Reply::Refused(refusal)] }
    }
}

/// Runs a request to its end; counted as in flight until then.
pub async fn run(
    entry: Arc<Entry>,
    job: Job,
    replies: mpsc::Sender<Reply>,
    _guard: Arc<RunningGuard>,
) {
    for reply in pay_and_deliver(&entry, &job, &replies).await {
        entry.record(&job, &reply);
        // A caller that went away does not need its reply.
        let _ = replies.send(reply).await;
    }
}

/// Reserves, delivers and settles; reserves anew if a sidecar refused the epoch.
async fn pay_and_deliver(entry: &Entry, job: &Job, replies: &mpsc::Sender<Reply>) -> Vec<Reply> {
    let mut deliveries = DeliveryRun::new(entry, job, replies);
    for _ in 0..MAX_RESERVATIONS {
        let funding = match reserve(entry, job).await {
            Ok(funding) => funding,
            Err(refusal) => return vec![Reply::Refused(refusal)],
        };
        let open = OpenFunding::new(entry, job, funding);
        let verdict = deliveries.run(&open.funding).await;
        open.settle(verdict.bill);
        if verdict.bill != Bill::EpochRefused {
            return verdict.last;
        }
    }
    let refusal = Refusal::new(ResultCode::EpochClosed, "the entry's epochs are closed");
    vec![Reply::Refused(refusal.retry_after(RETRY_AFTER_MS))]
}

async fn reserve(entry: &Entry, job: &Job) -> Result<Funding, Refusal> {
    let req = ReserveRequest {
        budget: job.budget.clone(),
        tokens: job.worst_case,
        class: job.route.class,
        patience: patience(job),
    };
    entry.gate.reserve(req).await
}

/// How long a request may wait for money, as its class allows.
fn patience(job: &Job) -> Duration {
    match job.route.class {
        Class::Quick | Class::Check => SHORT_PATIENCE.min(job.remaining() / 2),
        Class::Long | Class::Action => job.remaining() / 2,
    }
}

/// Money reserved for one request; dropped unsettled, it counts as spent.
struct OpenFunding<'a> {
    entry: &'a Entry,
    job: &'a Job,
    funding: Funding,
    settled: bool,
}

impl<'a> OpenFunding<'a> {
    fn new(entry: &'a Entry, job: &'a Job, funding: Funding) -> OpenFunding<'a> {
        OpenFunding { entry, job, funding, settled: false }
    }

    fn settle(mut self, bill: Bill) {
        self.end(bill);
    }

    fn end(&mut self, bill: Bill) {
        self.settled = true;
        let OpenFunding { entry, job, funding, .. } = self;
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
            funding.reserve()
        );
    }
}

impl Drop for OpenFunding<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.end(Bill::Unknown);
        }
    }
}

/// Deliveries of one request, one after another.
struct DeliveryRun<'a> {
    entry: &'a Entry,
    job: &'a Job,
    replies: &'a mpsc::Sender<Reply>,
    attempt: Attempt,
    exclude: Vec<String>,
    /// Whether any byte of an answer was handed to the caller.
    started: bool,
    /// Whether an earlier delivery may have run with an unknown charge.
    owes_unknown: bool,
    last_refusal: Option<Refusal>,
}

enum Next {
    End(Verdict),
    Elsewhere(Refusal),
}

impl<'a> DeliveryRun<'a> {
    fn new(entry: &'a Entry, job: &'a Job, replies: &'a mpsc::Sender<Reply>) -> DeliveryRun<'a> {
        DeliveryRun {
            entry,
            job,
            replies,
            attempt: Attempt::default(),
            exclude: Vec::new(),
            started: false,
            owes_unknown: false,
            last_refusal: None,
        }
    }

    async fn run(&mut self, funding: &Funding) -> Verdict {
        loop {
            let choice = match self.choose() {
                Ok(choice) => choice,
                Err(refusal) => return self.refuse(refusal),
            };
            let end = self.deliver(&choice, funding).await;
            self.entry.router.finish(&choice.target, delivery_end(&end));
            match self.judge(&choice, end) {
                Next::End(verdict) => return verdict,
                Next::Elsewhere(refusal) => {
                    self.exclude.push(choice.target);
                    if !self.may_retry() {
                        return self.refuse(refusal);
                    }
                    self.last_refusal = Some(refusal);
                }
            }
        }
    }

    fn choose(&self) -> Result<Choice, Refusal> {
        let delivery = Delivery {
            route: &self.job.route.name,
            prompt: &self.job.call.body,
            exclude: &self.exclude,
        };
        let chosen = self.entry.router.choose(delivery);
        match &chosen {
            Ok(choice) => log::info!(
                "decision=route request={} attempt={} route={} target={} reason={}",
                self.job.identity.request,
                self.attempt.0 + 1,
                self.job.route.name,
                choice.target,
                choice.reason
            ),
            Err(refusal) => log::info!(
                "decision=no-route request={} route={} code={}",
                self.job.identity.request,
                self.job.route.name,
                refusal.code.number()
            ),
        }
        // What an earlier target said is closer to the cause.
        chosen.map_err(|refusal| self.last_refusal.clone().unwrap_or(refusal))
    }

    async fn deliver(&mut self, choice: &Choice, funding: &Funding) -> AttemptEnd {
        self.attempt = Attempt(self.attempt.0 + 1);
        let attempt = AttemptRun {
            entry: self.entry,
            job: self.job,
            choice,
            attempt: self.attempt,
            holder: funding.holder,
            replies: self.replies,
            started: &mut self.started,
            heard: Instant::now(),
        };
        attempt.run(funding).await
    }

    /// Decides what follows from the end of a delivery.
    fn judge(&mut self, choice: &Choice, end: AttemptEnd) -> Next {
        let target = &choice.target;
        match end {
            AttemptEnd::Answered { charge, last } => {
                Next::End(Verdict { bill: Bill::Charge(charge), last })
            }
            AttemptEnd::Refused { refusal, charge } => self.judge_refusal(refusal, charge),
            AttemptEnd::Undelivered { detail } => {
                let detail = format!("target {target}: {detail}");
                let refusal = Refusal::new(ResultCode::TargetUnreachable, detail);
                Next::Elsewhere(refusal.retry_after(RETRY_AFTER_MS))
            }
            AttemptEnd::Lost { detail } => self.judge_lost(target, &detail),
            AttemptEnd::CallerGone { charge } => {
                let bill = charge.map_or(Bill::Unknown, Bill::Charge);
                let refusal = Refusal::new(ResultCode::AnswerCutOff, "the caller went away");
                Next::End(self.broken(refusal, bill))
            }
            AttemptEnd::DeadlinePassed { charge } => {
                let bill = charge.map_or(Bill::Unknown, Bill::Charge);
                let refusal = Refusal::new(ResultCode::TimedOut, "the route's deadline passed");
                Next::End(self.broken(refusal, bill))
            }
        }
    }

    fn judge_refusal(&mut self, refusal: Refusal, charge: u64) -> Next {
        let not_run = refusal.code.kind() == RefusalKind::NotRun;
        if refusal.code == ResultCode::EpochClosed && !self.started && !self.owes_unknown {
            return Next::End(Verdict::refused(refusal, Bill::EpochRefused));
        }
        if self.started || (!not_run && !self.job.route.repeatable) {
            return Next::End(self.broken(refusal, Bill::Charge(charge)));
        }
        if !runs_elsewhere(refusal.code) {
            return Next::End(self.broken(refusal, Bill::Charge(charge)));
        }
        Next::Elsewhere(refusal)
    }

    fn judge_lost(&mut self, target: &str, detail: &str) -> Next {
        self.owes_unknown = true;
        let detail = format!("target {target} may have run the request: {detail}");
        if self.started {
            let refusal = Refusal::new(ResultCode::AnswerCutOff, detail);
            return Next::End(self.broken(refusal, Bill::Unknown));
        }
        let refusal = Refusal::new(ResultCode::FateUnknown, detail).retry_after(RETRY_AFTER_MS);
        if self.job.route.repeatable {
            Next::Elsewhere(refusal)
        } else {
            Next::End(Verdict::refused(refusal, Bill::Unknown))
        }
    }

    fn may_retry(&self) -> bool {
        let allowed =
            !self.job.remaining().is_zero() && self.entry.router.take_retry(&self.job.route.name);
        if allowed {
            self.entry.metrics.retried(&self.job.route.name);
        }
        allowed
    }

    /// Refuses before any byte went to the caller.
    fn refuse(&self, refusal: Refusal) -> Verdict {
        if !self.owes_unknown {
            return Verdict::refused(refusal, Bill::Charge(0));
        }
        // A refusal of a later target must not hide that an earlier one may have run.
        let refusal = match refusal.code.kind() {
            RefusalKind::NotRun => Refusal {
                code: ResultCode::FateUnknown,
                retry_after_ms: Some(refusal.retry_after_ms.unwrap_or(RETRY_AFTER_MS)),
                detail: refusal.detail,
            },
            RefusalKind::MayHaveRun | RefusalKind::Partial => refusal,
        };
        Verdict::refused(refusal, Bill::Unknown)
    }

    /// Ends a request whose answer may already be on its way to the caller.
    fn broken(&self, refusal: Refusal, bill: Bill) -> Verdict {
        if !self.started {
            let verdict = self.refuse(refusal);
            let bill = if self.owes_unknown { Bill::Unknown } else { bill };
            return Verdict { bill, ..verdict };
        }
        let refusal = match refusal.code.kind() {
            RefusalKind::Partial => refusal,
            RefusalKind::NotRun | RefusalKind::MayHaveRun => Refusal {
                code: ResultCode::AnswerCutOff,
                retry_after_ms: refusal.retry_after_ms,
                detail: format!("{}: {}", refusal.code.title(), refusal.detail),
            },
        };
        Verdict { bill, last: vec![Reply::Broken(refusal)] }
    }
}

/// How routing counts the end of a delivery.
fn delivery_end(end: &AttemptEnd) -> DeliveryEnd {
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
fn runs_elsewhere(code: ResultCode) -> bool {
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
