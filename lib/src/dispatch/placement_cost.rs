//! Estimates what a request costs at a target, in milliseconds.
//!
//! The cost of a model request is its predicted time to the first event, plus the time that its
//! prefill takes from others. A prefill delays the requests that arrive while it runs, on average
//! [`DELAYED_REQUESTS`] of them; their delay is computed at the service's mean rate. Work that waits at the target is known from this entry's own requests and from
//! news of the others'; without news the other entries are taken to send what this one sends.
//!
//! A call without a prompt costs the calls that run at the target.

use super::cache_belief;
use super::criteria::SelectionCriteria;
use super::load::known::{LoadReport, SentWork};
use super::prefill_rate::Pace;
use super::prompt;
use super::targets::Target;
use crate::time::Millis;

/// Age in milliseconds up to which a target's reported load and the other entries' work count.
const LOAD_MAX_AGE_MS: u64 = 1_500;

/// Mean number of other requests that a prefill delays, at targets that are busy two thirds of the
/// time.
const DELAYED_REQUESTS: f64 = 2.0;

/// Age in milliseconds up to which a reported prefill rate counts.
const RATE_MAX_AGE_MS: u64 = 10_000;

/// Delay that each request of the fleet at a target adds to the others, in milliseconds.
const REQUEST_MS: f64 = 2.0;

/// Delay of each request beyond those that a target runs at once, in milliseconds.
const EXCESS_REQUEST_MS: f64 = 50.0;

/// Duration of a typical call to a target without an engine, in milliseconds.
const CALL_MS: f64 = 30.0;

/// Cost of a failure rate of 1, in milliseconds.
const FAILURE_MS: f64 = 2_500.0;

/// Cost of a suspended target, in milliseconds.
const SUSPENDED_MS: f64 = 100_000.0;

/// Cost of a target that turns requests away, in milliseconds.
const AVOIDED_MS: f64 = 50_000.0;

/// Cost of a target whose memory does not hold the request, in milliseconds.
const MEMORY_FULL_MS: f64 = 25_000.0;

/// Cost of a target in another data centre, in milliseconds.
const OTHER_DATA_CENTER_MS: f64 = 3.0;

/// Cost of a request at a target, by its terms in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementCost {
    /// Time of an answer that needs no prefill.
    pub base_ms: f64,
    /// Prefill of other requests that comes first.
    pub wait_ms: f64,
    /// Prefill of the request itself.
    pub prefill_ms: f64,
    /// Time that the prefill takes from other requests.
    pub others_ms: f64,
    /// What the requests at the target add.
    pub running_ms: f64,
    /// Delay that answers of the target had lately.
    pub delay_ms: f64,
    /// Failures, memory, and where the target is.
    pub penalty_ms: f64,
    /// Prefill work of the request, in tokens.
    pub prefill_tokens: u64,
}

impl PlacementCost {
    /// Returns the predicted time to the first event.
    pub fn first_event_ms(&self) -> f64 {
        self.base_ms + self.wait_ms + self.prefill_ms + self.running_ms + self.delay_ms
    }

    /// Returns the sum that targets are compared by.
    pub fn total_ms(&self) -> f64 {
        self.first_event_ms() + self.others_ms + self.penalty_ms
    }
}

/// Estimates the cost of a request at a target; `rank` is the target's place in the order of the
/// prompt's last shared part, and `pace` is that of its service.
pub fn estimate(
    target: &Target,
    rank: usize,
    pace: Pace,
    criteria: &SelectionCriteria<'_>,
    now: Millis,
) -> PlacementCost {
    let load = FleetLoad::of(target, criteria.entry_count, now);
    let mut cost = PlacementCost {
        base_ms: pace.base_ms,
        delay_ms: target.delay_ms(now),
        penalty_ms: penalty_ms(target, criteria, &load, now),
        ..PlacementCost::default()
    };
    if criteria.prompt.is_empty() {
        if target.registration.data_center != criteria.data_center {
            cost.penalty_ms += OTHER_DATA_CENTER_MS;
        }
        cost.running_ms = load.calls * CALL_MS;
        return cost;
    }
    let rate = tokens_per_ms(target, pace, now);
    let uncached = cache_belief::uncached_tokens(target, rank, criteria.prompt, now);
    cost.prefill_tokens = prompt::prefill_work(uncached, prompt::all_tokens(criteria.prompt));
    cost.prefill_ms = cost.prefill_tokens as f64 / rate;
    cost.others_ms = cost.prefill_tokens as f64 / pace.tokens_per_ms * DELAYED_REQUESTS;
    cost.wait_ms = load.pending_tokens / rate;
    cost.running_ms = load.requests * REQUEST_MS;
    let excess = load.requests + 1.0 - f64::from(target.registration.slots);
    cost.running_ms += excess.max(0.0) * EXCESS_REQUEST_MS;
    cost
}

/// Returns whether a target is no last resort.
pub fn is_sound(target: &Target, criteria: &SelectionCriteria<'_>, now: Millis) -> bool {
    let load = FleetLoad::of(target, criteria.entry_count, now);
    !target.is_suspended(now)
        && !target.is_avoided(now)
        && !is_memory_full(target, criteria.tokens, &load, now)
}

/// Returns the prefill rate of a target: the reported one, or the learned one.
pub fn tokens_per_ms(target: &Target, pace: Pace, now: Millis) -> f64 {
    let report = target.known.report.as_ref();
    let reported = report
        .and_then(|report| report.fresh(RATE_MAX_AGE_MS, now))
        .and_then(|report| report.prefill_tokens_per_ms)
        .filter(|rate| rate.is_finite() && *rate > 0.0);
    reported.unwrap_or_else(|| pace.tokens_per_ms * target.speed.factor())
}

/// Load of all entries at a target.
struct FleetLoad {
    pending_tokens: f64,
    requests: f64,
    /// Calls that run; without news this entry's own ones.
    calls: f64,
}

impl FleetLoad {
    fn of(target: &Target, entry_count: u64, now: Millis) -> FleetLoad {
        let (pending, running) = (target.pending_tokens as f64, f64::from(target.running));
        if let Some(others) = work_of_others(target, now) {
            let requests = running + f64::from(others.requests);
            let pending_tokens = pending + others.pending_tokens as f64;
            return FleetLoad { pending_tokens, requests, calls: requests };
        }
        let factor = fleet_load_factor(entry_count);
        FleetLoad { pending_tokens: pending * factor, requests: running * factor, calls: running }
    }
}

/// Returns what the other entries have sent to a target, as far as that is known.
pub fn work_of_others(target: &Target, now: Millis) -> Option<&SentWork> {
    target.known.others.as_ref()?.fresh(LOAD_MAX_AGE_MS, now)
}

/// Estimates the load of all entries per unit of this entry's own load.
///
/// Half of the other entries' load is assumed to be on the same targets.
fn fleet_load_factor(entry_count: u64) -> f64 {
    const MAX_FACTOR: f64 = 3.0;
    (1.0 + entry_count.saturating_sub(1) as f64 * 0.5).min(MAX_FACTOR)
}

fn penalty_ms(
    target: &Target,
    criteria: &SelectionCriteria<'_>,
    load: &FleetLoad,
    now: Millis,
) -> f64 {
    let mut penalty = target.failure_rate(now) * FAILURE_MS;
    if target.is_suspended(now) {
        penalty += SUSPENDED_MS;
    }
    if target.is_avoided(now) {
        penalty += AVOIDED_MS;
    }
    if is_memory_full(target, criteria.tokens, load, now) {
        penalty += MEMORY_FULL_MS;
    }
    penalty
}

/// Returns whether a request does not fit into the memory with what is there and what waits.
fn is_memory_full(target: &Target, tokens: u64, load: &FleetLoad, now: Millis) -> bool {
    let report = target.known.report.as_ref();
    let Some(report) = report.and_then(|report| report.fresh(LOAD_MAX_AGE_MS, now)) else {
        return false;
    };
    let LoadReport { memory_used, memory_total, .. } = *report;
    let needed = memory_used as f64 + load.pending_tokens + tokens as f64;
    memory_total > 0 && tokens > 0 && needed > memory_total as f64
}
