//! Refuses requests at an entry that cannot keep up, by their order where the configuration has one.

use hyper::Uri;
use rosemarymoor_lib::dispatch::catalog::Workspace;
use rosemarymoor_lib::dispatch::rank::key_of;
use rosemarymoor_lib::dispatch::shed_order::Standing;
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
    const SCALE: u64 = 1_000;
    let random = key_of(&head.attempt_id);
    let fingerprint = fingerprint(head, uri);
    let now = entry.now();
    let mut traffic = entry.traffic();
    let Traffic { rates, repeats } = &mut *traffic;
    let excess = workspace.map_or(0.0, |workspace| rates.record(&workspace.name, now));
    let is_beyond = ((random / RETRY_JITTER_MS % SCALE) as f64) < excess * SCALE as f64;
    let is_early = repeats.is_early(fingerprint, now);
    let standing =
        Standing { priority: rank, is_excess: is_beyond || is_early, work: work_of(head) };
    let is_refused = entry.load.shedder().is_refused_in_order(&standing, random.rotate_left(32));
    if is_refused {
        repeats.record_refusal(fingerprint, now.plus(retry_after_ms));
        entry.metrics.count_shed(standing.class());
        log::info!(
            "event=shed request={} rank={rank} is_beyond={is_beyond} is_early={is_early} work={}",
            head.attempt_id,
            standing.work
        );
    }
    is_refused
}

/// Returns a number that a caller's repetition of a request shares with it.
fn fingerprint(head: &CallerHead, uri: &Uri) -> u64 {
    let last_part = head.prompt.last().map_or(0, |part| part.id);
    let key = head.key.as_deref().unwrap_or_default();
    key_of(&format!("{uri} {key} {last_part}"))
}
