//! Selects the target of a request by the lowest estimated cost.
//!
//! Model requests have prompt affinity: all entries rank the targets in the same
//! order for a prompt's last shared part, so that few targets prefill and cache
//! that part, without coordination between entries. Each rank further down that
//! order costs as much as a wait of `RANK_MS`. The load is expected to be steady,
//! with many shared parts; in a burst for one part its requests overflow to the
//! next ranks as the first targets fill.
//!
//! Other requests, which are expected to be short calls, go to the target with the
//! shortest estimated wait.

use super::rank;
use super::targets::{Target, TargetKey, TargetTable};
use crate::time::Millis;

/// Cost of each rank further down a prompt part's order, in milliseconds.
const RANK_MS: f64 = 250.0;

/// Prefill rate of an engine, in tokens per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 60.0;

/// Prefilled tokens that cost as much as the attention of a million pairs of a new token and an
/// earlier one.
const TOKENS_PER_M_PAIRS: f64 = 30.0;

/// Delay that each running request adds to the others, in milliseconds.
const RUNNING_MS: f64 = 6.0;

/// Duration of a typical call to a target without an engine, in milliseconds.
const CALL_MS: f64 = 30.0;

/// Cost of a failure rate of 1, in milliseconds.
const FAILURE_MS: f64 = 2_500.0;

/// Cost of a suspended target, in milliseconds.
const SUSPENDED_MS: f64 = 100_000.0;

/// Cost of a target that turns requests away, in milliseconds.
const AVOIDED_MS: f64 = 50_000.0;

/// Cost of a target in another data centre, in milliseconds.
const OTHER_DATA_CENTER_MS: f64 = 3.0;

/// Properties of a request that its target is selected by.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// Service whose targets are candidates.
    pub service: &'a str,
    /// Software version that the target must have; `None` if any will do.
    pub software: Option<&'a str>,
    /// Data centres that the target may be in, sorted; `None` if any will do.
    pub allowed_data_centers: Option<&'a [String]>,
    /// Data centre of this entry.
    pub data_center: &'a str,
    /// Identifier of the prompt's last shared part; `None` for calls without a prompt.
    pub prompt: Option<u64>,
    /// Random number that breaks ties between targets of equal cost.
    pub random: u64,
    /// Whether targets are left out for which a permit would have to be asked for.
    pub without_asking: bool,
    /// Number of entries, whose unobserved requests add to the targets' load.
    pub entry_count: u64,
}

/// Returns the target with the lowest cost that is not in `attempted`, has not asked for a pause, has
/// not reached its limit and has not just turned requests away.
///
/// Returns `None` if no such target takes new work.
pub fn choose(
    table: &TargetTable,
    criteria: SelectionCriteria<'_>,
    attempted: &[TargetKey],
    now: Millis,
) -> Option<TargetKey> {
    let mut candidates: Vec<&Target> = table
        .of_service(criteria.service)
        .filter(|target| !attempted.contains(&target.key) && target.closed_for_ms(now) == 0)
        .filter(|target| !criteria.without_asking || target.limit.is_ready(now))
        .filter(|target| target.is_in(criteria.allowed_data_centers))
        .filter(|target| criteria.software.is_none_or(|software| target.has_software(software)))
        .collect();
    let rank_key = criteria.prompt.unwrap_or(criteria.random);
    rank::order(rank_key, &mut candidates, |target| target.registration.id.as_str());
    let mut best: Option<(f64, TargetKey)> = None;
    for (rank, target) in candidates.iter().enumerate() {
        let cost = estimated_cost_ms(target, rank, criteria, now);
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, target.key));
        }
    }
    best.map(|(_, key)| key)
}

/// Estimates the work to prefill the new tokens of a prompt, as the number of tokens of a short
/// prompt that take as long.
///
/// It grows faster than the prompt, since each token attends to all earlier ones.
pub fn prefill_work(new_tokens: u64, all_tokens: u64) -> u64 {
    let (new, all) = (new_tokens as f64, all_tokens as f64);
    let pairs = new * (all - new / 2.0);
    (new + pairs / 1e6 * TOKENS_PER_M_PAIRS) as u64
}

/// Estimates the time that an engine takes to prefill the new tokens of a prompt, in
/// milliseconds.
pub fn prefill_ms(new_tokens: u64, all_tokens: u64) -> f64 {
    prefill_work(new_tokens, all_tokens) as f64 / PREFILL_TOKENS_PER_MS
}

fn estimated_cost_ms(
    target: &Target,
    rank: usize,
    criteria: SelectionCriteria<'_>,
    now: Millis,
) -> f64 {
    let mut cost = target.failure_rate(now) * FAILURE_MS + target.delay_ms(now);
    if target.is_suspended(now) {
        cost += SUSPENDED_MS;
    }
    if target.is_avoided(now) {
        cost += AVOIDED_MS;
    }
    if criteria.prompt.is_some() {
        cost += rank as f64 * RANK_MS;
        let pending_ms = target.pending_tokens as f64 / PREFILL_TOKENS_PER_MS;
        cost += pending_ms * fleet_load_factor(criteria.entry_count);
        cost += f64::from(target.running) * RUNNING_MS;
        return cost;
    }
    if target.registration.data_center != criteria.data_center {
        cost += OTHER_DATA_CENTER_MS;
    }
    cost + f64::from(target.running) * CALL_MS
}

/// Estimates the load of all entries per unit of this entry's own load.
///
/// Half of the other entries' load is assumed to be on the same targets.
fn fleet_load_factor(entry_count: u64) -> f64 {
    const MAX_FACTOR: f64 = 3.0;
    (1.0 + entry_count.saturating_sub(1) as f64 * 0.5).min(MAX_FACTOR)
}
