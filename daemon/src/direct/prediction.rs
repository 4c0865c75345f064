//! Predicts what a target would do with a request, and how far that can be relied on.

use rosemarymoor_lib::dispatch::choice::Choice;
use rosemarymoor_lib::dispatch::placement_cost;

use super::entry::Entry;

/// Age up to which a target's report of its load is fresh, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 1_000;

/// Delay of the latest answers from which on a prediction can be relied on without a report, in
/// milliseconds.
const CLEAR_DELAY_MS: f64 = 200.0;

/// Predicted beginning of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Whether it is based on a fresh report or on clearly delayed answers.
    pub is_reliable: bool,
    /// Whether requests wait at the target by its fresh report.
    pub has_queue: bool,
}

/// Predicts the answer of a chosen target; `None` if it is no longer listed.
pub fn prediction_of(entry: &Entry, choice: &Choice) -> Option<Prediction> {
    let now = entry.now();
    let table = entry.targets();
    let target = table.get(choice.key)?;
    let report = target.known.report.as_ref();
    let report = report.and_then(|report| report.fresh(MAX_REPORT_AGE_MS, now));
    let has_news = report.is_some() || placement_cost::work_of_others(target, now).is_some();
    Some(Prediction {
        first_event_ms: choice.first_event_ms,
        is_reliable: has_news || target.delay_ms(now) >= CLEAR_DELAY_MS,
        has_queue: report.is_some_and(|report| report.waiting > 0),
    })
}
