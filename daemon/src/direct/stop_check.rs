//! Asks whether an entry that stops takes a request.

use std::time::Instant;

use hyper::http::request::Parts;
use rosemarymoor_lib::dispatch::catalog::Route;
use rosemarymoor_lib::dispatch::order::stop_admission::{self, StopDemand};
use rosemarymoor_lib::result_code::{Refusal, ResultCode};
use rosemarymoor_platform::request::CallerHead;

use super::entry::Entry;
use crate::http_server::ServedConnection;

/// Retry delay reported by an entry that stops: another one serves the caller at once.
const RETRY_AFTER_MS: u64 = 10;

/// Refuses a request that a stopping entry does not take; logs and counts the decision.
pub fn check(
    entry: &Entry,
    route: &Route,
    parts: &Parts,
    head: &CallerHead,
    deadline: Instant,
) -> Result<(), Refusal> {
    let Some(progress) = entry.stop.progress() else { return Ok(()) };
    let left_ms = progress.left.as_millis() as u64;
    let demand = StopDemand {
        left_ms,
        limit_ms: deadline.saturating_duration_since(Instant::now()).as_millis() as u64,
        is_likely_in_time: entry.answer_times().ends_within(&route.name, left_ms),
    };
    let is_taken = stop_admission::takes(progress.phase, &demand);
    let outcome = if is_taken { "admitted" } else { "refused" };
    entry.metrics.count_stop_decision(progress.phase.label(), outcome);
    let requests =
        parts.extensions.get::<ServedConnection>().map_or(0, |connection| connection.requests);
    log::info!(
        "event=stop_decision request={} route={} outcome={outcome} {progress} limit_ms={} connection_requests={requests}",
        head.attempt_id,
        route.name,
        demand.limit_ms
    );
    if is_taken {
        return Ok(());
    }
    Err(refusal("it might not end before the entry does"))
}

/// Returns the refusal of a request that was not sent, since the entry stops.
pub fn refusal(detail: &str) -> Refusal {
    Refusal::new(ResultCode::ShuttingDown, detail).retry_after(RETRY_AFTER_MS)
}
