//! Chooses the target of a request.
//!
//! Model requests follow their prompt: all entries rank the targets in the same
//! order for a prompt's last shared part, so that the part is read by few
//! targets without any talk between entries. A place further back in that order
//! costs as much as a wait of [`PLACE_MS`]. This answers steady loads with many
//! shared parts; under a burst for one part its requests spread over the next
//! places as the first ones fill.
//!
//! Other requests go to the target with the least expected wait, which answers
//! loads of short calls.

use super::rank;
use super::targets::{Target, TargetKey, TargetTable};
use crate::time::Millis;

/// Wait that is worth one place nearer to the front of a part's order.
const PLACE_MS: f64 = 250.0;

/// Speed at which an engine reads a prompt, in tokens a millisecond.
const READ_TOKENS_PER_MS: f64 = 60.0;

/// Time for each million pairs of a new token and one before it, in milliseconds.
const READ_PAIRS_MS_PER_M: f64 = 0.5;

/// Time for which each running request slows the others, in milliseconds.
const RUNNING_MS: f64 = 6.0;

/// Time of one ordinary call at a target without an engine, in milliseconds.
const CALL_MS: f64 = 30.0;

/// Wait that a target is worth that fails every request, in milliseconds.
const FAILURE_MS: f64 = 2_500.0;

/// Wait that a resting target counts for, in milliseconds.
const RESTING_MS: f64 = 100_000.0;

/// Wait that a target in another data centre counts for, in milliseconds.
const OTHER_DATA_CENTER_MS: f64 = 3.0;

/// What the choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    pub service: &'a str,
    pub data_center: &'a str,
    /// Last shared part of the prompt; `None` for calls without a prompt.
    pub prompt: Option<u64>,
    /// Spreads calls over targets that are equal otherwise.
    pub random: u64,
    /// Entries whose unseen work adds to the targets' load.
    pub entries: u64,
}

/// Target with the least expected wait, not among those `tried`.
pub fn choose(
    table: &TargetTable,
    criteria: SelectionCriteria<'_>,
    tried: &[TargetKey],
    now: Millis,
) -> Option<TargetKey> {
    let mut candidates: Vec<&Target> =
        table.of_service(criteria.service).filter(|target| !tried.contains(&target.key)).collect();
    let order_by = criteria.prompt.unwrap_or(criteria.random);
    rank::order(order_by, &mut candidates, |target| target.registration.id.as_str());
    let mut best: Option<(f64, TargetKey)> = None;
    for (place, target) in candidates.iter().enumerate() {
        let wait = expected_wait(target, place, criteria, now);
        if best.is_none_or(|(least, _)| wait < least) {
            best = Some((wait, target.key));
        }
    }
    best.map(|(_, key)| key)
}

/// Time that an engine takes to read the new tokens of a prompt, in milliseconds.
///
/// It grows faster than the prompt: each token is set against all before it.
pub fn prefill_ms(new_tokens: u64, all_tokens: u64) -> f64 {
    let (new, all) = (new_tokens as f64, all_tokens as f64);
    let pairs = new * (all - new / 2.0);
    new / READ_TOKENS_PER_MS + pairs / 1e6 * READ_PAIRS_MS_PER_M
}

fn expected_wait(
    target: &Target,
    place: usize,
    criteria: SelectionCriteria<'_>,
    now: Millis,
) -> f64 {
    let mut wait = target.failure_rate(now) * FAILURE_MS + target.delay(now);
    if target.is_suspended(now) {
        wait += RESTING_MS;
    }
    if criteria.prompt.is_some() {
        wait += place as f64 * PLACE_MS;
        wait += target.pending_prefill_ms * unseen_factor(criteria.entries);
        wait += f64::from(target.running) * RUNNING_MS;
        return wait;
    }
    if target.registration.data_center != criteria.data_center {
        wait += OTHER_DATA_CENTER_MS;
    }
    wait + f64::from(target.running) * CALL_MS
}

/// Load of all entries for each unit that this entry sees.
///
/// Half of the others' load is assumed to lie where this entry's does.
fn unseen_factor(entries: u64) -> f64 {
    const MOST: f64 = 3.0;
    (1.0 + entries.saturating_sub(1) as f64 * 0.5).min(MOST)
}
