//! Decides whether a request that a target has not begun to answer is sent to another one.
//!
//! A second run costs the request its place in the target's queue, and the fleet the prompt's
//! prefill once more, when there is least room for it. It helps only if the target has stopped. So a
//! request stays at a target that goes on with other answers, or that was predicted to be busy for so
//! long, and leaves a target that is silent to all. It never leaves without a place to go to: while
//! no other target takes it, or the retry budget is used up, the answer that may still come is its
//! only one.
//!
//! A caller leaves a stream that does not begin in time. A request whose first target would let
//! that time pass goes elsewhere shortly before, if the first event is predicted to come in time there.

/// Multiple of the latency objective after which a target that has sent nothing counts as silent.
const SILENT_AFTER_OBJECTIVES: u64 = 2;

/// Time without anything from a target after which it counts as stalled, in milliseconds. Without
/// begun streams the time since the request was sent does not count: nothing is due from it.
const STALLED_AFTER_MS: u64 = 600;

/// Multiple of the predicted time up to which a target counts as busy without a sign of life.
const BUSY_PREDICTIONS: f64 = 2.0;

/// Shortest time for which callers wait for a stream's first event, in milliseconds.
const MIN_PATIENCE_MS: u64 = 2_000;

/// Multiple of the latency objective for which callers wait at least.
const PATIENCE_OBJECTIVES: u64 = 4;

/// Part of the caller's patience, in percent, after which a busy target is left.
const LAST_RERUN_PERCENT: u64 = 70;

/// Part of the caller's patience, in percent, by which the first event of a second run must come.
const RERUN_END_PERCENT: u64 = 95;

/// Interval of further decisions on a request that goes on waiting, in milliseconds.
const RECHECK_MS: u64 = 100;

/// What is known of a request that waits for the beginning of its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Unanswered {
    /// Time since it was sent to the target, in milliseconds.
    pub waited_ms: u64,
    /// Time since it arrived, in milliseconds.
    pub age_ms: u64,
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Time since the target sent a part of an answer to this entry or reported that it runs requests;
    /// `None` if it has not lately.
    pub heard_ms_ago: Option<u64>,
    /// Streams of this entry that have begun at the target.
    pub begun_streams: u32,
    /// Time from its sending to the first event as it was predicted then, in milliseconds; `None`
    /// without a prediction.
    pub predicted_ms: Option<f64>,
    /// Predicted time to the first event at the best other target, in milliseconds; `None` if none
    /// takes it or the retry budget is used up.
    pub elsewhere_ms: Option<f64>,
}

/// Why a request leaves its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The target sends nothing of its begun streams either.
    Stalled,
    /// The target gave no sign of life in a multiple of the objective.
    Silent,
    /// The target is busy for longer than the caller waits.
    TooLong,
}

impl Reason {
    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Reason::Stalled => "silent_to_all",
            Reason::Silent => "silent",
            Reason::TooLong => "too_long",
        }
    }

    /// Returns whether the target counts as failed.
    pub fn is_failure(self) -> bool {
        self != Reason::TooLong
    }
}

/// Decision on a request that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It stays; the next decision is due after so many milliseconds.
    Stay { recheck_ms: u64 },
    /// It is sent to another target.
    Leave(Reason),
}

/// Returns the time until the first decision on a request that was just sent, in milliseconds.
pub fn first_check_ms(objective_ms: u64) -> u64 {
    objective_ms.max(RECHECK_MS)
}

/// Decides on a request that waits for the beginning of its answer.
pub fn decide(unanswered: &Unanswered) -> Verdict {
    let stay = Verdict::Stay { recheck_ms: RECHECK_MS };
    let Some(elsewhere_ms) = unanswered.elsewhere_ms else { return stay };
    if is_stalled(unanswered) {
        return Verdict::Leave(Reason::Stalled);
    }
    let is_due = unanswered.waited_ms >= SILENT_AFTER_OBJECTIVES * unanswered.objective_ms;
    if is_due && !is_busy(unanswered) {
        return Verdict::Leave(Reason::Silent);
    }
    let patience_ms = patience_ms(unanswered.objective_ms);
    let age_ms = unanswered.age_ms;
    let is_last_moment = age_ms * 100 >= patience_ms * LAST_RERUN_PERCENT;
    let answered_at_ms = age_ms as f64 + elsewhere_ms;
    if is_due
        && is_last_moment
        && answered_at_ms * 100.0 <= (patience_ms * RERUN_END_PERCENT) as f64
    {
        return Verdict::Leave(Reason::TooLong);
    }
    stay
}

/// Returns the time after which the caller of a stream leaves if it has not begun, in milliseconds.
pub fn patience_ms(objective_ms: u64) -> u64 {
    (PATIENCE_OBJECTIVES * objective_ms).max(MIN_PATIENCE_MS)
}

fn is_stalled(unanswered: &Unanswered) -> bool {
    let is_quiet = unanswered.heard_ms_ago.is_some_and(|ms| ms >= STALLED_AFTER_MS);
    unanswered.waited_ms >= unanswered.objective_ms && unanswered.begun_streams > 0 && is_quiet
}

fn is_busy(unanswered: &Unanswered) -> bool {
    let has_begun = unanswered.begun_streams > 0;
    let quiet_ms =
        if has_begun { STALLED_AFTER_MS } else { STALLED_AFTER_MS + unanswered.waited_ms };
    let is_alive = unanswered.heard_ms_ago.is_some_and(|ms| ms < quiet_ms);
    let predicted_ms = unanswered.predicted_ms.unwrap_or_default();
    is_alive || (unanswered.waited_ms as f64) < predicted_ms * BUSY_PREDICTIONS
}
