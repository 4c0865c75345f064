//! Delivers a request that may run more than once.
//!
//! After an attempt that certainly did not run, the next attempt uses the same
//! reservation. After one whose fate is unknown, that reservation stays charged until
//! a witness reports the cost, and the next attempt uses a new reservation.

use rosemarymoor_lib::id::Attempt;
use rosemarymoor_lib::result_code::{Refusal, RefusalKind, ResultCode};
use rosemarymoor_lib::routing::Choice;
use rosemarymoor_lib::wire::Funding;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Entry;
use super::attempt::{AttemptEnd, AttemptRun};
use super::delivery::{
    Bill, MAX_EPOCH_REFUSALS, OpenReservation, RETRY_AFTER_MS, choose, delivery_end,
    is_retryable_elsewhere, may_retry, reserve, shutting_down, undelivered,
};
use super::job::{Job, Reply};
use super::join;

/// Delivers a request until it is answered or refused and returns the replies that
/// are still to be sent.
pub async fn run(entry: &Entry, job: &Job, replies: &mpsc::Sender<Reply>) -> Vec<Reply> {
    let last_replies = match job.join_only {
        true => vec![Reply::Refused(shutting_down())],
        false => deliver(entry, job, replies).await,
    };
    match last_replies.as_slice() {
        // An earlier delivery with the same key may have run at another sidecar.
        [Reply::Refused(refusal)]
            if job.has_stable_identity() && refusal.code.kind() == RefusalKind::NotRun =>
        {
            join::refuse_or_join_at_sidecars(entry, job, replies, refusal.clone()).await
        }
        _ => last_replies,
    }
}

async fn deliver(entry: &Entry, job: &Job, replies: &mpsc::Sender<Reply>) -> Vec<Reply> {
    let mut deliveries = DeliveryRun::new(entry, job, replies);
    loop {
        let funding = match reserve(entry, job).await {
            Ok(funding) => funding,
            Err(refusal) => return deliveries.refuse(refusal),
        };
        let reservation = OpenReservation::new(entry, job, funding);
        let end = deliveries.run(reservation.funding()).await;
        reservation.settle(end.bill);
        if let Some(last_replies) = end.last_replies {
            return last_replies;
        }
    }
}

/// How a reservation is settled and whether the request has ended.
struct ReservationEnd {
    bill: Bill,
    /// Replies still to be sent; `None` if the request needs another reservation.
    last_replies: Option<Vec<Reply>>,
}

/// What to do after an attempt.
enum NextStep {
    /// End the request with these replies.
    End { bill: Bill, last_replies: Vec<Reply> },
    /// Try another target, since the request did not run or its cost is waived.
    Elsewhere(Refusal),
    /// Settle and reserve again, since this reservation cannot pay for another attempt.
    Reserve { bill: Bill, refusal: Refusal },
}

/// Successive attempts to deliver one request.
struct DeliveryRun<'a> {
    entry: &'a Entry,
    job: &'a Job,
    replies: &'a mpsc::Sender<Reply>,
    attempt: Attempt,
    /// Targets that this request is not sent to again.
    exclude: Vec<String>,
    /// Whether any part of an answer was sent to the caller.
    started: bool,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
    epoch_refusals: u32,
    last_refusal: Option<Refusal>,
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
            may_have_run: false,
            epoch_refusals: 0,
            last_refusal: None,
        }
    }

    /// Makes attempts under one reservation until it has to be settled.
    async fn run(&mut self, funding: &Funding) -> ReservationEnd {
        loop {
            let choice = match choose(self.entry, self.job, &self.exclude, self.attempt) {
                Ok(choice) => choice,
                Err(refusal) => return self.no_target(refusal),
            };
            let end = self.deliver(&choice, funding).await;
            self.entry.router.finish(&choice.target, delivery_end(&end));
            let (bill, refusal) = match self.handle_end(&choice, end) {
                NextStep::End { bill, last_replies } => {
                    return ReservationEnd { bill, last_replies: Some(last_replies) };
                }
                NextStep::Elsewhere(refusal) => (None, refusal),
                NextStep::Reserve { bill, refusal } => (Some(bill), refusal),
            };
            let epoch_refused = bill == Some(Bill::EpochRefused);
            if !epoch_refused {
                self.exclude.push(choice.target);
            }
            if !epoch_refused && !may_retry(self.entry, self.job) {
                let last_replies = Some(self.refuse(refusal));
                return ReservationEnd { bill: bill.unwrap_or(Bill::Charge(0)), last_replies };
            }
            self.last_refusal = Some(refusal);
            if let Some(bill) = bill {
                return ReservationEnd { bill, last_replies: None };
            }
        }
    }

    fn no_target(&self, refusal: Refusal) -> ReservationEnd {
        // The refusal of an earlier target is closer to the cause.
        let refusal = self.last_refusal.clone().unwrap_or(refusal);
        ReservationEnd { bill: Bill::Charge(0), last_replies: Some(self.refuse(refusal)) }
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
            last_frame_at: Instant::now(),
        };
        attempt.run(funding).await
    }

    /// Decides how to go on after an attempt.
    fn handle_end(&mut self, choice: &Choice, end: AttemptEnd) -> NextStep {
        match end {
            AttemptEnd::Answered { charge, last_replies } => {
                NextStep::End { bill: Bill::Charge(charge), last_replies }
            }
            AttemptEnd::Refused { refusal, charge } => self.handle_refusal(refusal, charge),
            AttemptEnd::Undelivered { detail } => {
                NextStep::Elsewhere(undelivered(&choice.target, &detail))
            }
            AttemptEnd::Lost { detail } => self.handle_lost(&choice.target, &detail),
            AttemptEnd::CallerGone { charge } => {
                let refusal = Refusal::new(ResultCode::AnswerCutOff, "the caller went away");
                self.end(refusal, charge.map_or(Bill::Unknown, Bill::Charge))
            }
            AttemptEnd::DeadlinePassed { charge } => {
                self.may_have_run = true;
                let refusal = Refusal::new(ResultCode::TimedOut, "the route's deadline passed");
                self.end(refusal, charge.map_or(Bill::Unknown, Bill::Charge))
            }
        }
    }

    fn handle_refusal(&mut self, refusal: Refusal, charge: u64) -> NextStep {
        if refusal.code == ResultCode::EpochClosed && !self.started {
            return self.handle_epoch_refusal(refusal);
        }
        if refusal.code == ResultCode::FateUnknown && !self.started {
            return self.handle_unknown(refusal);
        }
        self.may_have_run |= refusal.code.kind() != RefusalKind::NotRun;
        if self.started || !is_retryable_elsewhere(refusal.code) {
            return self.end(refusal, Bill::Charge(charge));
        }
        NextStep::Elsewhere(refusal)
    }

    fn handle_epoch_refusal(&mut self, refusal: Refusal) -> NextStep {
        self.epoch_refusals += 1;
        if self.epoch_refusals >= MAX_EPOCH_REFUSALS {
            let refusal = refusal.retry_after(RETRY_AFTER_MS);
            return self.end(refusal, Bill::EpochRefused);
        }
        NextStep::Reserve { bill: Bill::EpochRefused, refusal }
    }

    fn handle_lost(&mut self, target: &str, detail: &str) -> NextStep {
        let detail = format!("target {target} may have run the request: {detail}");
        if self.started {
            return self.end(Refusal::new(ResultCode::AnswerCutOff, detail), Bill::Unknown);
        }
        let refusal = Refusal::new(ResultCode::FateUnknown, detail);
        self.handle_unknown(refusal.retry_after(RETRY_AFTER_MS))
    }

    fn handle_unknown(&mut self, refusal: Refusal) -> NextStep {
        self.may_have_run = true;
        NextStep::Reserve { bill: Bill::Unknown, refusal }
    }

    /// Refuses a request of which no part was answered; never as not run if it may have run.
    fn refuse(&self, refusal: Refusal) -> Vec<Reply> {
        let hides_run = self.may_have_run && refusal.code.kind() == RefusalKind::NotRun;
        let code = if hides_run { ResultCode::FateUnknown } else { refusal.code };
        vec![Reply::Refused(Refusal { code, ..refusal })]
    }

    /// Ends a request whose answer may already be partly sent.
    fn end(&self, refusal: Refusal, bill: Bill) -> NextStep {
        if !self.started {
            return NextStep::End { bill, last_replies: self.refuse(refusal) };
        }
        NextStep::End { bill, last_replies: vec![Reply::failure(refusal, true)] }
    }
}
