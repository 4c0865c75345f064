//! Delivers a request that must run at most once.
//!
//! The request is claimed in the store before it is sent to a sidecar. If another
//! delivery holds the claim, the request joins that delivery and does not run again.
//! It is refused as not run only while this delivery holds the claim, or after
//! the store or every sidecar of the route has confirmed that no earlier delivery exists.

use rand::Rng;
use rosemarymoor_lib::claim::{AcquireResult, Claim, ClaimState, ClaimToken, StoredAnswer};
use rosemarymoor_lib::id::Attempt;
use rosemarymoor_lib::result_code::{Refusal, RefusalKind, ResultCode};
use rosemarymoor_lib::routing::{Choice, DeliveryEnd};
use rosemarymoor_lib::wire::Funding;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Entry;
use super::attempt::{AttemptEnd, AttemptRun};
use super::delivery::{
    Bill, MAX_EPOCH_REFUSALS, OpenReservation, RETRY_AFTER_MS, choose, delivery_end,
    is_retryable_elsewhere, may_retry, reserve, shutting_down, undelivered, with_retry_delay,
};
use super::job::{Job, Reply};
use super::join::{self, JoinEnd};

/// Largest answer body that is stored with a claim, in bytes.
const MAX_STORED_BODY_BYTES: usize = 4 << 10;

/// Rounds of a request; the next round starts when a joined claim has been released.
const MAX_CLAIM_ROUNDS: u32 = 3;

/// Delivers a request at most once and returns the replies that are still to be sent.
pub async fn run(entry: &Entry, job: &Job, replies: &mpsc::Sender<Reply>) -> Vec<Reply> {
    let mut run = ActionRun {
        entry,
        job,
        replies,
        token: ClaimToken(rand::rng().random()),
        attempt: Attempt::default(),
        exclude: Vec::new(),
        claimed: false,
        started: false,
        epoch_refusals: 0,
        last_refusal: None,
    };
    for _ in 0..MAX_CLAIM_ROUNDS {
        match run.round().await {
            JoinEnd::Replied(last_replies) => return last_replies,
            JoinEnd::Released => {}
        }
    }
    let refusal = Refusal::new(ResultCode::ClaimUnavailable, "the request's claim keeps changing");
    vec![Reply::Refused(refusal.retry_after(RETRY_AFTER_MS))]
}

/// What to do once the reservation is settled.
enum NextStep {
    /// Send these replies and finish.
    Reply(Vec<Reply>),
    /// Reserve again, since a sidecar refused the paying epoch.
    Reserve,
    /// Join the delivery that holds this claim.
    Join(Box<Claim>),
    /// Refuse, since this delivery did not run and will not.
    NotRun(Refusal),
}

/// How a reservation is settled and what to do afterwards.
struct ReservationEnd {
    bill: Bill,
    next: NextStep,
}

impl ReservationEnd {
    fn uncharged(next: NextStep) -> ReservationEnd {
        ReservationEnd { bill: Bill::Charge(0), next }
    }
}

/// Deliveries of one request under one claim token.
struct ActionRun<'a> {
    entry: &'a Entry,
    job: &'a Job,
    replies: &'a mpsc::Sender<Reply>,
    token: ClaimToken,
    attempt: Attempt,
    /// Targets that this request is not sent to again.
    exclude: Vec<String>,
    /// Whether the store holds this run's claim.
    claimed: bool,
    /// Whether any part of an answer was sent to the caller.
    started: bool,
    epoch_refusals: u32,
    last_refusal: Option<Refusal>,
}

impl ActionRun<'_> {
    /// Reserves and delivers until the request ends or has to join another delivery.
    async fn round(&mut self) -> JoinEnd {
        if self.job.join_only {
            return self.refuse_not_run(shutting_down()).await;
        }
        loop {
            let funding = match reserve(self.entry, self.job).await {
                Ok(funding) => funding,
                Err(refusal) => return self.refuse_not_run(refusal).await,
            };
            let reservation = OpenReservation::new(self.entry, self.job, funding);
            let end = self.deliver_once(reservation.funding()).await;
            reservation.settle(end.bill);
            match end.next {
                NextStep::Reply(last_replies) => return JoinEnd::Replied(last_replies),
                NextStep::Reserve => {}
                NextStep::Join(held) => {
                    return join::join(self.entry, self.job, self.replies, *held).await;
                }
                NextStep::NotRun(refusal) => return self.refuse_not_run(refusal).await,
            }
        }
    }

    /// Claims and delivers the request, trying further targets while none has run it.
    async fn deliver_once(&mut self, funding: &Funding) -> ReservationEnd {
        loop {
            let choice = match choose(self.entry, self.job, &self.exclude, self.attempt) {
                Ok(choice) => choice,
                Err(refusal) => {
                    // The refusal of an earlier target is closer to the cause.
                    let refusal = self.last_refusal.take().unwrap_or(refusal);
                    return ReservationEnd::uncharged(NextStep::NotRun(refusal));
                }
            };
            self.attempt = Attempt(self.attempt.0 + 1);
            if let Some(end) = self.claim(&choice, funding).await {
                self.entry.router.finish(&choice.target, DeliveryEnd::Refused);
                return end;
            }
            let end = self.deliver(&choice, funding).await;
            self.entry.router.finish(&choice.target, delivery_end(&end));
            match self.handle_end(&choice, end) {
                Ok(end) => return end,
                Err(refusal) => {
                    self.exclude.push(choice.target);
                    if !may_retry(self.entry, self.job) {
                        return ReservationEnd::uncharged(NextStep::NotRun(refusal));
                    }
                    self.last_refusal = Some(refusal);
                }
            }
        }
    }

    /// Claims the request for the sidecar; returns `None` if the claim is acquired.
    async fn claim(&mut self, choice: &Choice, funding: &Funding) -> Option<ReservationEnd> {
        let claim = Claim {
            request: self.job.identity.request,
            token: self.token,
            fingerprint: self.job.identity.fingerprint,
            holder: funding.holder,
            attempt: self.attempt,
            target: choice.target.clone(),
            sidecar: choice.sidecar,
            window_ms: self.job.route.retry_window_ms,
            state: ClaimState::Claimed,
        };
        // Leaves half of the remaining time to the run itself.
        let until = Instant::now() + self.job.remaining() / 2;
        let acquired = self.entry.claims.acquire(claim, until).await;
        log::info!(
            "decision=claim request={} attempt={} target={} outcome={}",
            self.job.identity.request,
            self.attempt,
            choice.target,
            outcome_name(&acquired)
        );
        match acquired {
            AcquireResult::Acquired => {
                self.claimed = true;
                None
            }
            AcquireResult::HeldByOther(held) => {
                Some(ReservationEnd::uncharged(NextStep::Join(held)))
            }
            AcquireResult::Unavailable => {
                self.claimed = false;
                let refusal = Refusal::new(ResultCode::ClaimUnavailable, "the store is away");
                Some(ReservationEnd::uncharged(NextStep::NotRun(
                    refusal.retry_after(RETRY_AFTER_MS),
                )))
            }
        }
    }

    async fn deliver(&mut self, choice: &Choice, funding: &Funding) -> AttemptEnd {
        let attempt = AttemptRun {
            entry: self.entry,
            job: self.job,
            choice,
            attempt: self.attempt,
            holder: funding.holder,
            replies: self.replies,
            started: &mut self.started,
            last_frame_at: Instant::now(),
        };
        attempt.run(funding).await
    }

    /// Decides how to go on after an attempt.
    ///
    /// Returns the refusal as an error if the request did not run and another
    /// target may run it.
    fn handle_end(&mut self, choice: &Choice, end: AttemptEnd) -> Result<ReservationEnd, Refusal> {
        match end {
            AttemptEnd::Answered { charge, last_replies } => {
                self.record_answer(&last_replies);
                Ok(ReservationEnd {
                    bill: Bill::Charge(charge),
                    next: NextStep::Reply(last_replies),
                })
            }
            AttemptEnd::Refused { refusal, charge } => self.handle_refusal(refusal, charge),
            AttemptEnd::Undelivered { detail } => Err(undelivered(&choice.target, &detail)),
            AttemptEnd::Lost { detail } => {
                let detail = format!("target {} may have run it: {detail}", choice.target);
                Ok(self.unknown_end(Refusal::new(ResultCode::FateUnknown, detail)))
            }
            AttemptEnd::CallerGone { .. } | AttemptEnd::DeadlinePassed { .. } => {
                let refusal = Refusal::new(ResultCode::TimedOut, "the route's deadline passed");
                Ok(self.unknown_end(refusal))
            }
        }
    }

    fn handle_refusal(&mut self, refusal: Refusal, charge: u64) -> Result<ReservationEnd, Refusal> {
        if refusal.code == ResultCode::EpochClosed {
            self.epoch_refusals += 1;
            let again = self.epoch_refusals < MAX_EPOCH_REFUSALS;
            let next = if again { NextStep::Reserve } else { NextStep::NotRun(refusal) };
            return Ok(ReservationEnd { bill: Bill::EpochRefused, next });
        }
        match refusal.code.kind() {
            RefusalKind::NotRun if is_retryable_elsewhere(refusal.code) => Err(refusal),
            RefusalKind::NotRun => {
                Ok(ReservationEnd { bill: Bill::Charge(charge), next: NextStep::NotRun(refusal) })
            }
            RefusalKind::MayHaveRun | RefusalKind::Partial => Ok(self.unknown_end(refusal)),
        }
    }

    /// Releases the claim and refuses the request as not run.
    ///
    /// Without a claim, joins an earlier delivery if there may be one.
    async fn refuse_not_run(&mut self, refusal: Refusal) -> JoinEnd {
        let request = self.job.identity.request;
        if self.claimed {
            self.entry.claims.release(request, self.token);
            self.claimed = false;
            return JoinEnd::Replied(vec![Reply::Refused(refusal)]);
        }
        join::refuse_or_join(self.entry, self.job, self.replies, self.token, refusal).await
    }

    /// Ends a delivery that may have run, with its charge unknown.
    fn unknown_end(&self, refusal: Refusal) -> ReservationEnd {
        let reply = Reply::failure(with_retry_delay(refusal), self.started);
        ReservationEnd { bill: Bill::Unknown, next: NextStep::Reply(vec![reply]) }
    }

    fn record_answer(&self, last_replies: &[Reply]) {
        if let Some(answer) = last_replies.iter().find_map(stored_answer) {
            self.entry.claims.record_answer(self.job.identity.request, self.token, answer);
        }
    }
}

/// Returns a complete answer as it is stored with the claim, or `None` for any other reply.
///
/// A body above `MAX_STORED_BODY_BYTES` is left out.
pub fn stored_answer(reply: &Reply) -> Option<StoredAnswer> {
    let Reply::Complete(answer) = reply else { return None };
    let fits = answer.body.len() <= MAX_STORED_BODY_BYTES;
    Some(StoredAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: fits.then(|| answer.body.clone()),
        charge: answer.charge,
    })
}

/// Returns the name of an outcome for the log.
fn outcome_name(acquired: &AcquireResult) -> &'static str {
    match acquired {
        AcquireResult::Acquired => "taken",
        AcquireResult::HeldByOther(_) => "held",
        AcquireResult::Unavailable => "unavailable",
    }
}
