//! Joins an earlier delivery of a request with the same identity.
//!
//! The earlier delivery is found by its claim or, failing that, by a lookup at every
//! sidecar of the route.

use std::time::Duration;

use futures_util::future::join_all;
use rosemarymoor_lib::claim::{Claim, ClaimState, ClaimToken, StoredAnswer};
use rosemarymoor_lib::id::{Attempt, EpochId};
use rosemarymoor_lib::result_code::{Refusal, ResultCode};
use rosemarymoor_lib::routing::{Choice, TargetLocation};
use rosemarymoor_lib::wire::{LookupRequest, PeerRequest, Price, RequestRecord};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Entry;
use super::action::stored_answer;
use super::attempt::{AttemptEnd, AttemptRun};
use super::delivery::{RETRY_AFTER_MS, with_retry_delay};
use super::job::{CompleteAnswer, Job, Reply};

/// Time limit for finding a claim in the store.
const FIND_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit of a lookup at a sidecar.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a claim is read again after its delivery could not be joined.
const REREAD_DELAY: Duration = Duration::from_millis(200);

/// How a join ended.
pub enum JoinEnd {
    /// The request ends with these replies, which are still to be sent.
    Replied(Vec<Reply>),
    /// The claim was released, because its delivery did not run.
    Released,
}

/// Joins the delivery that holds a claim and returns its outcome.
///
/// Refuses the request if its content differs from that of the claim.
pub async fn join(
    entry: &Entry,
    job: &Job,
    replies: &mpsc::Sender<Reply>,
    mut held: Claim,
) -> JoinEnd {
    let request = job.identity.request;
    log::info!("decision=join request={request} target={} attempt={}", held.target, held.attempt);
    entry.metrics.count_join();
    if held.fingerprint != job.identity.fingerprint {
        let refusal = Refusal::new(ResultCode::KeyReused, "the key names another request");
        return refused(refusal);
    }
    loop {
        if let ClaimState::Answered(stored) = &held.state
            && let Some(answer) = complete_answer(stored)
        {
            return JoinEnd::Replied(vec![Reply::Complete(answer)]);
        }
        let refusal = match join_claimed(entry, job, replies, &held).await {
            Ok(last_replies) => {
                record_answer(entry, &held, &last_replies);
                return JoinEnd::Replied(last_replies);
            }
            Err(refusal) => refusal,
        };
        tokio::time::sleep(REREAD_DELAY).await;
        match entry.claims.find(request, find_deadline(job)).await {
            Some(Some(newer)) if newer != held => held = newer,
            Some(None) => return JoinEnd::Released,
            Some(Some(_)) | None => return refused(refusal),
        }
    }
}

/// Refuses a request as not run, unless an earlier delivery is found or cannot be ruled out.
///
/// `own` is the token of the refused delivery, under whose claim nothing has run: the store may
/// have taken that claim without an answer.
pub async fn refuse_or_join(
    entry: &Entry,
    job: &Job,
    replies: &mpsc::Sender<Reply>,
    own: ClaimToken,
    refusal: Refusal,
) -> JoinEnd {
    match entry.claims.find(job.identity.request, find_deadline(job)).await {
        Some(Some(held)) if held.token == own => refused(refusal),
        Some(Some(held)) => join(entry, job, replies, held).await,
        Some(None) => refused(refusal),
        None => JoinEnd::Replied(refuse_or_join_at_sidecars(entry, job, replies, refusal).await),
    }
}

/// Looks the request up at every sidecar of the route and joins it where it is known.
///
/// Refuses with `refusal` only if no sidecar can have run the request, and with
/// [`ResultCode::FateUnknown`] otherwise.
pub async fn refuse_or_join_at_sidecars(
    entry: &Entry,
    job: &Job,
    replies: &mpsc::Sender<Reply>,
    refusal: Refusal,
) -> Vec<Reply> {
    let locations = entry.router.target_locations(&job.route.name);
    let answers = join_all(locations.iter().map(|location| lookup(entry, job, location))).await;
    let found = locations.iter().zip(&answers).find_map(|(location, answer)| match answer {
        Some(RequestRecord::Running { attempt } | RequestRecord::Finished { attempt, .. }) => {
            Some((location, *attempt))
        }
        Some(RequestRecord::Unknown { .. }) | None => None,
    });
    if let Some((location, attempt)) = found
        && let Some(sidecar) = location.sidecar
    {
        let choice = claimed_choice(location.target.clone(), sidecar);
        let replies_or_refusal =
            join_at_sidecar(entry, job, replies, &choice, attempt, EpochId(0)).await;
        entry.metrics.count_join();
        return replies_or_refusal.unwrap_or_else(|refusal| vec![Reply::Refused(refusal)]);
    }
    let ruled_out = |(location, answer): (&TargetLocation, &Option<RequestRecord>)| match answer {
        // A restarted sidecar has no record of what it ran before.
        Some(RequestRecord::Unknown { incarnation }) => {
            location.incarnation == 0 || location.incarnation == *incarnation
        }
        Some(RequestRecord::Running { .. } | RequestRecord::Finished { .. }) | None => false,
    };
    if locations.iter().zip(&answers).all(ruled_out) {
        return vec![Reply::Refused(refusal)];
    }
    let detail = format!("{}; whether an earlier delivery ran cannot be asked now", refusal.detail);
    let refusal = Refusal::new(ResultCode::FateUnknown, detail).retry_after(RETRY_AFTER_MS);
    vec![Reply::Refused(refusal)]
}

/// Returns what a sidecar knows of the request, or `None` if it does not respond.
async fn lookup(entry: &Entry, job: &Job, location: &TargetLocation) -> Option<RequestRecord> {
    let req = PeerRequest::Lookup(LookupRequest { request: job.identity.request });
    entry.transport.call(location.sidecar?, &req, LOOKUP_TIMEOUT).await.ok()
}

/// Joins the delivery at the sidecar that the claim names.
async fn join_claimed(
    entry: &Entry,
    job: &Job,
    replies: &mpsc::Sender<Reply>,
    held: &Claim,
) -> Result<Vec<Reply>, Refusal> {
    let choice = claimed_choice(held.target.clone(), held.sidecar);
    join_at_sidecar(entry, job, replies, &choice, held.attempt, held.holder).await
}

/// Receives the answer of an earlier attempt from its sidecar; fails only if no part of the answer
/// was sent to the caller.
async fn join_at_sidecar(
    entry: &Entry,
    job: &Job,
    replies: &mpsc::Sender<Reply>,
    choice: &Choice,
    attempt: Attempt,
    holder: EpochId,
) -> Result<Vec<Reply>, Refusal> {
    let mut started = false;
    let attempt = AttemptRun {
        entry,
        job,
        choice,
        attempt,
        holder,
        replies,
        started: &mut started,
        last_frame_at: Instant::now(),
    };
    let refusal = match attempt.join().await {
        AttemptEnd::Answered { last_replies, .. } => {
            return Ok(with_route_price(job, last_replies));
        }
        AttemptEnd::Refused { refusal, .. } => match refusal.code {
            ResultCode::AnswerGone | ResultCode::TargetFailed | ResultCode::KeyReused => refusal,
            _ => Refusal::new(ResultCode::FateUnknown, refusal.detail),
        },
        AttemptEnd::Undelivered { detail } | AttemptEnd::Lost { detail } => {
            Refusal::new(ResultCode::FateUnknown, detail)
        }
        AttemptEnd::CallerGone { .. } | AttemptEnd::DeadlinePassed { .. } => {
            Refusal::new(ResultCode::StillRunning, "the first delivery has not ended yet")
        }
    };
    let refusal = with_retry_delay(refusal);
    if started { Ok(vec![Reply::failure(refusal, started)]) } else { Err(refusal) }
}

/// Sets the charge of complete answers to the route's fixed price, if it has one.
///
/// The joined delivery pays for the answer, so its sidecar reports no charge here.
fn with_route_price(job: &Job, mut last_replies: Vec<Reply>) -> Vec<Reply> {
    if let Price::Fixed(tokens) = job.route.price {
        for reply in &mut last_replies {
            if let Reply::Complete(answer) = reply {
                answer.charge = tokens;
            }
        }
    }
    last_replies
}

fn record_answer(entry: &Entry, held: &Claim, last_replies: &[Reply]) {
    if let Some(answer) = last_replies.iter().find_map(stored_answer) {
        entry.claims.record_answer(held.request, held.token, answer);
    }
}

/// Returns the answer stored with a claim, if its body is stored too.
fn complete_answer(stored: &StoredAnswer) -> Option<CompleteAnswer> {
    Some(CompleteAnswer {
        status: stored.status,
        content_type: stored.content_type.clone(),
        body: stored.body.clone()?,
        charge: stored.charge,
    })
}

fn claimed_choice(target: String, sidecar: std::net::SocketAddr) -> Choice {
    Choice { target, sidecar, data_center: String::new(), reason: "claimed" }
}

fn refused(refusal: Refusal) -> JoinEnd {
    JoinEnd::Replied(vec![Reply::Refused(refusal)])
}

fn find_deadline(job: &Job) -> Instant {
    Instant::now() + FIND_TIMEOUT.min(job.remaining().max(REREAD_DELAY))
}
