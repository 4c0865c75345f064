//! Crashes of targets, and the trials that requests need because of them.

use std::time::{Duration, Instant};

use rosemarymoor_lib::dispatch::crash::tracker::{Crash, Decision};
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::dispatch::targets::TargetKey;
use rosemarymoor_lib::time::Millis;

use super::call::Call;
use super::entry::Entry;

/// Longest time for which a request waits while a suspect in it is tried.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// Longest time for which a request waits that has run elsewhere.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(2_000);

/// Pause between two questions while a suspect is tried.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Largest number of a prompt's parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Attempt that was sent.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    /// Process of the target, another one after each start.
    process: String,
    sent_at: Millis,
    /// What was reported of the target's crash while it ran the request.
    crash: Option<Crash>,
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialDenied {
    /// It has crashed targets.
    Refused,
    /// A suspect in it is tried just now.
    Busy,
}

/// Target at which a request is to be tried.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub target: TargetKey,
    /// Whether no other one is left.
    pub is_last: bool,
}

/// Returns the attempt to be sent to a target; `None` if another target has to be chosen.
///
/// # Errors
///
/// Returns [`TrialDenied`] if the request may not be sent to any target now.
pub async fn acquire(
    entry: &Entry,
    call: &Call,
    candidate: Candidate,
    previous: Option<&SentAttempt>,
) -> Result<Option<SentAttempt>, TrialDenied> {
    let Some(process) = process_of(entry, candidate.target) else { return Ok(None) };
    let is_last = candidate.is_last;
    // The only other end of a request that has run would be a broken answer.
    let max_wait = if previous.is_some() { MAX_RETRY_WAIT } else { MAX_WAIT };
    let give_up_at = (Instant::now() + max_wait).min(call.deadline);
    let crash = previous.and_then(|previous| previous.crash.clone());
    let mut decision = decide(entry, call, &process, is_last, crash.as_ref()).await;
    while decision == Decision::Wait && Instant::now() < give_up_at {
        tokio::time::sleep(TRIAL_POLL_INTERVAL).await;
        decision = decide(entry, call, &process, is_last, crash.as_ref()).await;
    }
    match decision {
        Decision::Run | Decision::AskTrial => {
            Ok(Some(SentAttempt { process, sent_at: entry.now(), crash: None }))
        }
        Decision::OtherTarget => Ok(None),
        Decision::Wait => Err(TrialDenied::Busy),
        Decision::Refuse => {
            entry.poison.record_refused(&call.service, &call.suspects);
            Err(TrialDenied::Refused)
        }
    }
}

/// Decides on an attempt at a target's process. After a crash the budget servers are asked in any case,
/// as they know of it first.
async fn decide(
    entry: &Entry,
    call: &Call,
    process: &str,
    is_last: bool,
    crash: Option<&Crash>,
) -> Decision {
    let own = entry.poison.own();
    let decision = own.decide(&call.suspects);
    if decision == Decision::Refuse || (decision == Decision::Run && crash.is_none()) {
        return decision;
    }
    let request = rank::key_of(&call.head.attempt_id);
    let req = own.trial_request(&call.suspects, process, request, crash.cloned(), is_last);
    let decision = entry.poison.try_at(&call.service, &req).await;
    entry.metrics.count_trial(match decision {
        Decision::Run | Decision::AskTrial => "run",
        Decision::Wait => "wait",
        Decision::OtherTarget => "other_target",
        Decision::Refuse => "refuse",
    });
    log::info!(
        "event=trial request={} target={process} decision={decision:?}",
        call.head.attempt_id
    );
    decision
}

/// Records that a target broke off while it ran a request.
pub fn record_crash(entry: &Entry, call: &Call, attempt: &mut SentAttempt) {
    let parts = call.head.prompt.iter().take(MAX_LOGGED_PARTS);
    let parts: Vec<String> = parts.map(|part| format!("{:016x}", part.id)).collect();
    log::info!(
        "event=crash_suspects request={} target={} parts={} of={}",
        call.head.attempt_id,
        attempt.process,
        parts.join(","),
        call.head.prompt.len()
    );
    let crash = Crash {
        target: attempt.process.clone(),
        suspects: call.suspects.clone(),
        sent_ago_ms: entry.now().since(attempt.sent_at),
    };
    attempt.crash = Some(entry.poison.record_crash(&call.service, crash));
}

fn process_of(entry: &Entry, target: TargetKey) -> Option<String> {
    let table = entry.targets();
    Some(table.get(target)?.process().to_string())
}
