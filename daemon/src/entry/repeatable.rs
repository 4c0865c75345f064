//! Deliveries of a request that may run more than once.
//!
//! A delivery that certainly did not run is followed by another under the same
//! reservation. One whose fate is unknown keeps its reservation until a witness
//! reports what it cost, and the next delivery is paid by another.

use rosemarymoor_lib::id::Attempt;
use rosemarymoor_lib::result_code::{Refusal, RefusalKind, ResultCode};
use rosemarymoor_lib::routing::Choice;
use rosemarymoor_lib::wire::Funding;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Entry;
use super::attempt::{AttemptEnd, AttemptRun};
use super::delivery::{
    Bill, MAX_EPOCH_REFUSALS, OpenFunding, RETRY_AFTER_MS, choose, delivery_end, may_retry,
    reserve, runs_elsewhere, shutting_down, undelivered,
};
use super::job::{Job, Reply};
use super::join;

/// Delivers a request until it is answered or refused; answers what the caller
/// still has to get.
pub async fn run(entry: &Entry, job: &Job, replies: &mpsc::Sender<Reply>) -> Vec<Reply> {
    let last = match job.retry_only {
        true => vec![Reply::Refused(shutting_down())],
        false => deliver(entry, job, replies).await,
    };
    match last.as_slice() {
        // An earlier delivery under the same key may have run elsewhere.
        [Reply::Refused(refusal)]
            if job.is_named() && refusal.code.kind() == RefusalKind::NotRun =>
        {
            join::ask_sidecars(entry, job, replies, refusal.clone()).await
        }
        _ => last,
    }
}

async fn deliver(entry: &Entry, job: &Job, replies: &mpsc::Sender<Reply>) -> Vec<Reply> {
    let mut deliveries = DeliveryRun::new(entry, job, replies);
    loop {
        let funding = match reserve(entry, job).await {
            Ok(funding) => funding,
            Err(refusal) => return deliveries.refuse(refusal),
        };
        let open = OpenFunding::new(entry, job, funding);
        let ended = deliveries.run(open.funding()).await;
        open.settle(ended.bill);
        if let Some(last) = ended.last {
            return last;
        }
    }
}

/// End of one reservation.
struct Ended {
    bill: Bill,
    /// Replies that the caller still has to get; `None` asks for another reservation.
    last: Option<Vec<Reply>>,
}

enum Next {
    End {
        bill: Bill,
        last: Vec<Reply>,
    },
    /// The delivery did not run, or its cost is known and waived.
    Elsewhere(Refusal),
    /// The reservation cannot pay for another delivery.
    Reserve {
        bill: Bill,
        refusal: Refusal,
    },
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
    /// Whether an earlier delivery may have run.
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

    async fn run(&mut self, funding: &Funding) -> Ended {
        loop {
            let choice = match choose(self.entry, self.job, &self.exclude, self.attempt) {
                Ok(choice) => choice,
                Err(refusal) => return self.no_target(refusal),
            };
            let end = self.deliver(&choice, funding).await;
            self.entry.router.finish(&choice.target, delivery_end(&end));
            let (bill, refusal) = match self.judge(&choice, end) {
                Next::End { bill, last } => return Ended { bill, last: Some(last) },
                Next::Elsewhere(refusal) => (None, refusal),
                Next::Reserve { bill, refusal } => (Some(bill), refusal),
            };
            let epoch_refused = bill == Some(Bill::EpochRefused);
            if !epoch_refused {
                self.exclude.push(choice.target);
            }
            if !epoch_refused && !may_retry(self.entry, self.job) {
                let last = Some(self.refuse(refusal));
                return Ended { bill: bill.unwrap_or(Bill::Charge(0)), last };
            }
            self.last_refusal = Some(refusal);
            if let Some(bill) = bill {
                return Ended { bill, last: None };
            }
        }
    }

    fn no_target(&self, refusal: Refusal) -> Ended {
        // What an earlier target said is closer to the cause.
        let refusal = self.last_refusal.clone().unwrap_or(refusal);
        Ended { bill: Bill::Charge(0), last: Some(self.refuse(refusal)) }
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
        match end {
            AttemptEnd::Answered { charge, last } => Next::End { bill: Bill::Charge(charge), last },
            AttemptEnd::Refused { refusal, charge } => self.judge_refusal(refusal, charge),
            AttemptEnd::Undelivered { detail } => {
                Next::Elsewhere(undelivered(&choice.target, &detail))
            }
            AttemptEnd::Lost { detail } => self.judge_lost(&choice.target, &detail),
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

    fn judge_refusal(&mut self, refusal: Refusal, charge: u64) -> Next {
        if refusal.code == ResultCode::EpochClosed && !self.started {
            return self.judge_epoch(refusal);
        }
        if refusal.code == ResultCode::FateUnknown && !self.started {
            return self.judge_unknown(refusal);
        }
        self.may_have_run |= refusal.code.kind() != RefusalKind::NotRun;
        if self.started || !runs_elsewhere(refusal.code) {
            return self.end(refusal, Bill::Charge(charge));
        }
        Next::Elsewhere(refusal)
    }

    fn judge_epoch(&mut self, refusal: Refusal) -> Next {
        self.epoch_refusals += 1;
        if self.epoch_refusals >= MAX_EPOCH_REFUSALS {
            let refusal = refusal.retry_after(RETRY_AFTER_MS);
            return self.end(refusal, Bill::EpochRefused);
        }
        Next::Reserve { bill: Bill::EpochRefused, refusal }
    }

    fn judge_lost(&mut self, target: &str, detail: &str) -> Next {
        let detail = format!("target {target} may have run the request: {detail}");
        if self.started {
            return self.end(Refusal::new(ResultCode::AnswerCutOff, detail), Bill::Unknown);
        }
        let refusal = Refusal::new(ResultCode::FateUnknown, detail);
        self.judge_unknown(refusal.retry_after(RETRY_AFTER_MS))
    }

    fn judge_unknown(&mut self, refusal: Refusal) -> Next {
        self.may_have_run = true;
        Next::Reserve { bill: Bill::Unknown, refusal }
    }

    /// Refuses before any byte went to the caller.
    fn refuse(&self, refusal: Refusal) -> Vec<Reply> {
        let hides_run = self.may_have_run && refusal.code.kind() == RefusalKind::NotRun;
        let code = if hides_run { ResultCode::FateUnknown } else { refusal.code };
        vec![Reply::Refused(Refusal { code, ..refusal })]
    }

    /// Ends a request whose answer may already be on its way to the caller.
    fn end(&self, refusal: Refusal, bill: Bill) -> Next {
        if !self.started {
            return Next::End { bill, last: self.refuse(refusal) };
        }
        let refusal = match refusal.code.kind() {
            RefusalKind::Partial => refusal,
            RefusalKind::NotRun | RefusalKind::MayHaveRun => Refusal {
                code: ResultCode::AnswerCutOff,
                retry_after_ms: refusal.retry_after_ms,
                detail: format!("{}: {}", refusal.code.title(), refusal.detail),
            },
        };
        Next::End { bill, last: vec![Reply::Broken(refusal)] }
    }
}
