//! Streams that callers take up after an earlier request has broken off.
//!
//! A stream goes on only at the version that began it, and an entry that does not know that
//! version does not guess.

use rosemarymoor_lib::dispatch::catalog::Route;
use rosemarymoor_lib::dispatch::stream_origins::{OriginUnknown, StreamId, StreamOrigin};
use rosemarymoor_lib::result_code::{Refusal, ResultCode};
use rosemarymoor_platform::request::Resumption;

use super::entry::Entry;

/// Retry delay reported while who may know what began a stream does not answer.
const ORIGIN_RETRY_AFTER_MS: u64 = 400;

/// Returns what began the stream that a caller goes on with.
///
/// # Errors
///
/// Returns a refusal as not run if that is not known, or the route has left the stream's service.
pub async fn find_origin(
    entry: &Entry,
    attempt_id: &str,
    route: &Route,
    resumption: &Resumption,
) -> Result<StreamOrigin, Refusal> {
    let found = match &resumption.began_as {
        Some(began_as) => entry.streams.find(StreamId::begun_by(began_as)).await,
        None => Err(OriginUnknown::Nobody),
    };
    let outcome = match &found {
        Ok(origin) if !route.uses(&origin.service) => "moved",
        Ok(_) => "known",
        Err(OriginUnknown::Nobody) => "unknown",
        Err(OriginUnknown::NoAnswer) => "no_answer",
    };
    entry.metrics.count_taken_up(outcome);
    log::info!(
        "event=taken_up request={attempt_id} began_as={} after_event={:?} outcome={outcome} software={}",
        resumption.began_as.as_deref().unwrap_or("unnamed"),
        resumption.last_event,
        found.as_ref().map_or("unknown", |origin| origin.software.as_str())
    );
    match found {
        Ok(origin) if outcome == "known" => Ok(origin),
        Ok(_) => Err(Refusal::new(ResultCode::NoTarget, "the route has left the stream's service")),
        Err(OriginUnknown::Nobody) => {
            Err(Refusal::new(ResultCode::OriginUnknown, "nobody knows what began the stream"))
        }
        Err(OriginUnknown::NoAnswer) => {
            let detail = "who may know what began the stream does not answer";
            let refusal = Refusal::new(ResultCode::OriginUnknown, detail);
            Err(refusal.retry_after(ORIGIN_RETRY_AFTER_MS))
        }
    }
}
