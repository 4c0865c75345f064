//! Deliveries of a request that must run at most once.
//!
//! The request is claimed in the store before any sidecar sees it. A claim that
//! another delivery holds is joined, never run again. "Not run" is said only
//! under an own claim, or after the store or every sidecar of the route has
//! answered that there is none.

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
    Bill, MAX_EPOCH_REFUSALS, OpenFunding, RETRY_AFTER_MS, choose, delivery_end, may_retry,
    reserve, runs_elsewhere, shutting_down, undelivered,
};
use super::job::{Job, Reply};
use super::join::{self, Joined};

/// Largest body of an answer that is kept in the store, in bytes.
const MAX_STORED_BODY_BYTES: usize = 4 << 10;

/// Times that a request starts over after the claim it joined was released.
const MAX_ROUNDS: u32 = 3;

/// Delivers a request at most once; answers what the caller has to get.
pub async fn run(entry: &Entry, job: &Job, replies: &mpsc::Sender<Reply>) -> Vec<Reply> {
    let mut run = ActionRun {
        entry,
        job,
        replies,
        token: ClaimToken(rand::rng().random()),
        attempt: Attempt::default(),
        exclude: Vec::new(),
        claimed: false,
        epoch_refusals: 0,
        last_refusal: None,
    };
    for _ in 0..MAX_ROUNDS {
        match run.round().await {
            Joined::Replied(last) => return last,
            Joined::Released => {}
        }
    }
    let refusal = Refusal::new(ResultCode::ClaimUnavailable, "the request's claim keeps changing");
    vec![Reply::Refused(refusal.retry_after(RETRY_AFTER_MS))]
}

/// What follows once the reservation is settled.
enum Then {
    Reply(Vec<Reply>),
    /// Another epoch has to pay.
    Reserve,
    /// Another delivery holds the request.
    Join(Box<Claim>),
    /// This delivery did not run and will not.
    NotRun(Refusal),
}

struct Ended {
    bill: Bill,
    then: Then,
}

impl Ended {
    fn unpaid(then: Then) -> Ended {
        Ended { bill: Bill::Charge(0), then }
    }
}

struct ActionRun<'a> {
    entry: &'a Entry,
    job: &'a Job,
    replies: &'a mpsc::Sender<Reply>,
    token: ClaimToken,
    attempt: Attempt,
    exclude: Vec<String>,
    /// Whether the store holds this run's claim.
    claimed: bool,
    epoch_refusals: u32,
    last_refusal: Option<Refusal>,
}

impl ActionRun<'_> {
    async fn round(&mut self) -> Joined {
        if self.job.retry_only {
            return self.not_run(shutting_down()).await;
        }
        loop {
            let funding = match reserve(self.entry, self.job).await {
                Ok(funding) => funding,
                Err(refusal) => return self.not_run(refusal).await,
            };
            let open = OpenFunding::new(self.entry, self.job, funding);
            let ended = self.deliver_once(open.funding()).await;
            open.settle(ended.bill);
            match ended.then {
                Then::Reply(last) => return Joined::Replied(last),
                Then::Reserve => {}
                Then::Join(held) => {
                    return join::join(self.entry, self.job, self.replies, *held).await;
                }
                Then::NotRun(refusal) => return self.not_run(refusal).await,
            }
        }
    }

    /// Claims and delivers, to further targets while none has seen the request.
    async fn deliver_once(&mut self, funding: &Funding) -> Ended {
        loop {
            let choice = match choose(self.entry, self.job, &self.exclude, self.attempt) {
                Ok(choice) => choice,
                Err(refusal) => {
                    // What an earlier target said is closer to the cause.
                    let refusal = self.last_refusal.take().unwrap_or(refusal);
                    return Ended::unpaid(Then::NotRun(refusal));
                }
            };
            self.attempt = Attempt(self.attempt.0 + 1);
            if let Some(ended) = self.claim(&choice, funding).await {
                self.entry.router.finish(&choice.target, DeliveryEnd::Refused);
                return ended;
            }
            let end = self.deliver(&choice, funding).await;
            self.entry.router.finish(&choice.target, delivery_end(&end));
            match self.judge(&choice, end) {
                Ok(ended) => return ended,
                Err(refusal) => {
                    self.exclude.push(choice.target);
                    if !may_retry(self.entry, self.job) {
                        return Ended::unpaid(Then::NotRun(refusal));
                    }
                    self.last_refusal = Some(refusal);
                }
            }
        }
    }

    /// Claims the request for the sidecar; `None` once the claim is confirmed.
    async fn claim(&mut self, choice: &Choice, funding: &Funding) -> Option<Ended> {
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
        // Half of the time is left for the run itself.
        let until = Instant::now() + self.job.remaining() / 2;
        let taken = self.entry.claims.acquire(claim, until).await;
        log::info!(
            "decision=claim request={} attempt={} target={} outcome={}",
            self.job.identity.request,
            self.attempt,
            choice.target,
            outcome_name(&taken)
        );
        match taken {
            AcquireResult::Acquired => {
                self.claimed = true;
                None
            }
            AcquireResult::HeldByOther(held) => Some(Ended::unpaid(Then::Join(held))),
            AcquireResult::Unavailable => {
                self.claimed = false;
                let refusal = Refusal::new(ResultCode::ClaimUnavailable, "the store is away");
                Some(Ended::unpaid(Then::NotRun(refusal.retry_after(RETRY_AFTER_MS))))
            }
        }
    }

    async fn deliver(&mut self, choice: &Choice, funding: &Funding) -> AttemptEnd {
        let mut started = false;
        let attempt = AttemptRun {
            entry: self.entry,
            job: self.job,
            choice,
            attempt: self.attempt,
            holder: funding.holder,
            replies: self.replies,
            started: &mut started,
            heard: Instant::now(),
        };
        attempt.run(funding).await
    }

    /// Decides what follows; an error means that the delivery did not run and
    /// another target may do it.
    fn judge(&mut self, choice: &Choice, end: AttemptEnd) -> Result<Ended, Refusal> {
        match end {
            AttemptEnd::Answered { charge, last } => {
                self.keep_answer(&last);
                Ok(Ended { bill: Bill::Charge(charge), then: Then::Reply(last) })
            }
            AttemptEnd::Refused { refusal, charge } => self.judge_refusal(refusal, charge),
            AttemptEnd::Undelivered { detail } => Err(undelivered(&choice.target, &detail)),
            AttemptEnd::Lost { detail } => {
                let detail = format!("target {} may have run it: {detail}", choice.target);
                Ok(unknown(Refusal::new(ResultCode::FateUnknown, detail)))
            }
            AttemptEnd::CallerGone { .. } | AttemptEnd::DeadlinePassed { .. } => {
                Ok(unknown(Refusal::new(ResultCode::TimedOut, "the route's deadline passed")))
            }
        }
    }

    fn judge_refusal(&mut self, refusal: Refusal, charge: u64) -> Result<Ended, Refusal> {
        if refusal.code == ResultCode::EpochClosed {
            self.epoch_refusals += 1;
            let again = self.epoch_refusals < MAX_EPOCH_REFUSALS;
            let then = if again { Then::Reserve } else { Then::NotRun(refusal) };
            return Ok(Ended { bill: Bill::EpochRefused, then });
        }
        match refusal.code.kind() {
            RefusalKind::NotRun if runs_elsewhere(refusal.code) => Err(refusal),
            RefusalKind::NotRun => {
                Ok(Ended { bill: Bill::Charge(charge), then: Then::NotRun(refusal) })
            }
            RefusalKind::MayHaveRun | RefusalKind::Partial => Ok(unknown(refusal)),
        }
    }

    /// Refuses as not run, or joins the delivery that proves otherwise.
    async fn not_run(&mut self, refusal: Refusal) -> Joined {
        let request = self.job.identity.request;
        if self.claimed {
            self.entry.claims.release(request, self.token);
            self.claimed = false;
            return Joined::Replied(vec![Reply::Refused(refusal)]);
        }
        join::refuse_or_join(self.entry, self.job, self.replies, refusal).await
    }

    fn keep_answer(&self, last: &[Reply]) {
        if let Some(answer) = last.iter().find_map(stored_answer) {
            self.entry.claims.record_answer(self.job.identity.request, self.token, answer);
        }
    }
}

/// End of a delivery that may have run.
fn unknown(refusal: Refusal) -> Ended {
    let refusal = refusal.retry_after(RETRY_AFTER_MS);
    Ended { bill: Bill::Unknown, then: Then::Reply(vec![Reply::Refused(refusal)]) }
}

/// Answer as it is kept with the claim.
pub fn stored_answer(reply: &Reply) -> Option<StoredAnswer> {
    let Reply::Whole(answer) = reply else { return None };
    let fits = answer.body.len() <= MAX_STORED_BODY_BYTES;
    Some(StoredAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: fits.then(|| answer.body.clone()),
        charge: answer.charge,
    })
}

fn outcome_name(taken: &AcquireResult) -> &'static str {
    match taken {
        AcquireResult::Acquired => "taken",
        AcquireResult::HeldByOther(_) => "held",
        AcquireResult::Unavailable => "unavailable",
    }
}
