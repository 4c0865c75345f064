//! Refuses requests at an entry that cannot keep up, by their order where the configuration has one.

use hyper::Uri;
use rosemarymoor_lib::dispatch::catalog::Workspace;
use rosemarymoor_lib::dispatch::order::shed_order::RequestClass;
use rosemarymoor_lib::dispatch::rank::key_of;
use rosemarymoor_lib::result_code::{Refusal, ResultCode};
use rosemarymoor_platform::request::CallerHead;

use super::call::work_of;
use super::entry::Entry;
use super::traffic::Traffic;

/// Shortest retry delay reported by an overloaded entry: a retry over a new connection leads to
/// another one.
const RETRY_AFTER_MS: u64 = 150;

/// Upper bound of the jitter added to [`RETRY_AFTER_MS`].
const RETRY_JITTER_MS: u64 = 250;

/// Returns the refusal of a request for which an overloaded entry has no time.
pub fn check(
    entry: &Entry,
    head: &CallerHead,
    uri: &Uri,
    rank: Option<u8>,
    workspace: Option<&Workspace>,
) -> Result<(), Refusal> {
    let random = key_of(&head.attempt_id);
    let retry_after_ms = RETRY_AFTER_MS + random % RETRY_JITTER_MS;
    let is_refused = match rank {
        Some(rank) => is_refused_in_order(entry, head, uri, workspace, rank, retry_after_ms),
        None => entry.load.shedder().is_refused(random),
    };
    if !is_refused {
        return Ok(());
    }
    let refusal = Refusal::new(ResultCode::Overloaded, "the entry cannot keep up");
    Err(refusal.retry_after(retry_after_ms))
}

fn is_refused_in_order(
    entry: &Entry,
    head: &CallerHead,
    uri: &Uri,
    workspace: Option<&Workspace>,
    rank: u8,
    retry_after_ms: u64,
) -> bool {
    let random = key_of(&head.attempt_id);
    let fingerprint = fingerprint(head, uri);
    let now = entry.now();
    let mut traffic = entry.traffic();
    let Traffic { rates, repeats } = &mut *traffic;
    let excess = workspace.map_or(0.0, |workspace| rates.record(&workspace.name, now));
    let draw = (random >> 32) as f64 / f64::from(u32::MAX);
    let exceeds_rate = draw < excess;
    let is_early = fingerprint.is_some_and(|fingerprint| repeats.is_early(fingerprint, now));
    let request =
        RequestClass { priority: rank, is_excess: exceeds_rate || is_early, work: work_of(head) };
    let is_refused = entry
        .load
        .shedder()
        .is_refused_in_order(&request, key_of(&format!("shed {}", head.attempt_id)));
    if is_refused {
        if let Some(fingerprint) = fingerprint {
            repeats.record_refusal(fingerprint, now.plus(retry_after_ms));
        }
        entry.metrics.count_shed(request.class());
        log::info!(
            "event=shed request={} rank={rank} exceeds_rate={exceeds_rate} is_early={is_early} work={}",
            head.attempt_id,
            request.work
        );
    }
    is_refused
}

/// Returns a number that a caller's repetition of a request shares with it; `None` for a call without
/// a prompt, which its head does not identify.
fn fingerprint(head: &CallerHead, uri: &Uri) -> Option<u64> {
    let last_part = head.prompt.last()?.id;
    let key = head.key.as_deref().unwrap_or_default();
    Some(key_of(&format!("{uri} {key} {last_part}")))
}
