//! Selects the target of a request by the lowest estimated cost ([`placement_cost`]).
//!
//! All entries rank the targets in the same order for a prompt's last shared part, so that few
//! targets prefill and cache it without coordination. With news of the others' load, all entries
//! see the same idle target at once: a request then compares only the first targets of its part's
//! order, some that hold the part, and some that its random number picks.

use super::cache_belief;
use super::criteria::SelectionCriteria;
use super::placement_cost::{self, PlacementCost};
use super::prefill_rate::Pace;
use super::prompt;
use super::rank;
use super::targets::{Target, TargetKey, TargetTable};
use crate::time::Millis;

/// Number of targets in a part's order that are always compared.
const FIRST_RANKS: usize = 1;

/// Largest number of targets that are compared since they hold the part.
const MAX_HOLDERS: usize = 3;

/// Number of targets that the random number picks.
const MAX_PICKED: usize = 2;

/// Smallest gain for which a later target in the order is chosen, in milliseconds.
const MIN_GAIN_MS: f64 = 2.0;

/// Chosen target, with what is expected there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    pub key: TargetKey,
    /// Predicted time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Predicted time to prefill the prompt, in milliseconds.
    pub prefill_ms: f64,
    /// All terms of the cost.
    pub cost: PlacementCost,
}

/// Returns the target with the lowest cost that is not in `attempted`, has not asked for a pause,
/// has not reached its limit and has not just turned requests away.
///
/// Returns `None` if no such target takes new work.
pub fn choose(
    table: &TargetTable,
    criteria: SelectionCriteria<'_>,
    attempted: &[TargetKey],
    now: Millis,
) -> Option<Choice> {
    let takes_it = |target: &&Target| {
        !attempted.contains(&target.key)
            && target.closed_for_ms(now) == 0
            && (!criteria.without_asking || target.limit.is_ready(now))
            && target.is_in(criteria.allowed_data_centers)
            && criteria.software.is_none_or(|software| target.has_software(software))
    };
    let mut ranked = rank_targets(table, &criteria);
    ranked.retain(|ranked| takes_it(&ranked.target));
    let compared = compared_targets(&ranked, &criteria, now);
    let pace = table.pace(criteria.service);
    compared
        .iter()
        .map(|ranked| choice_of(ranked, pace, &criteria, now))
        .reduce(|best, other| if other.1 < best.1 - MIN_GAIN_MS { other } else { best })
        .map(|(choice, _)| choice)
}

/// Estimates the cost of a request at a target that has been chosen.
pub fn cost_at(
    table: &TargetTable,
    key: TargetKey,
    criteria: SelectionCriteria<'_>,
    now: Millis,
) -> Option<PlacementCost> {
    let ranked = rank_targets(table, &criteria);
    let RankedTarget { target, rank } = ranked.iter().find(|ranked| ranked.target.key == key)?;
    let pace = table.pace(criteria.service);
    Some(placement_cost::estimate(target, *rank, pace, &criteria, now))
}

/// Target with its place in the order of the prompt's last shared part.
#[derive(Clone, Copy)]
struct RankedTarget<'a> {
    target: &'a Target,
    rank: usize,
}

/// Returns the targets of the service that accept new requests, in the order of the last shared
/// part; of a call, in a random order.
fn rank_targets<'a>(
    table: &'a TargetTable,
    criteria: &SelectionCriteria<'a>,
) -> Vec<RankedTarget<'a>> {
    let key = prompt::last_shared(criteria.prompt).map_or(criteria.random, |part| part.id);
    let mut targets: Vec<&Target> = table.of_service(criteria.service).collect();
    rank::order(key, &mut targets, |target| target.registration.id.as_str());
    targets.into_iter().enumerate().map(|(rank, target)| RankedTarget { target, rank }).collect()
}

/// Returns the candidates whose costs are compared: all targets while the others' load is unknown,
/// otherwise those that [`pick`] draws.
fn compared_targets<'a>(
    ranked: &[RankedTarget<'a>],
    criteria: &SelectionCriteria<'_>,
    now: Millis,
) -> Vec<RankedTarget<'a>> {
    let has_news =
        |ranked: &RankedTarget<'_>| placement_cost::work_of_others(ranked.target, now).is_some();
    if !ranked.iter().any(has_news) {
        return ranked.to_vec();
    }
    let is_sound =
        |ranked: &&RankedTarget<'a>| placement_cost::is_sound(ranked.target, criteria, now);
    let sound: Vec<RankedTarget<'a>> = ranked.iter().filter(is_sound).copied().collect();
    if sound.is_empty() {
        return ranked.to_vec();
    }
    pick(sound, criteria, now)
}

/// Returns the first targets of the part's order, then random ones, then some that hold the part.
fn pick<'a>(
    sound: Vec<RankedTarget<'a>>,
    criteria: &SelectionCriteria<'_>,
    now: Millis,
) -> Vec<RankedTarget<'a>> {
    let part = prompt::last_shared(criteria.prompt);
    let first = if part.is_some() { FIRST_RANKS } else { 0 };
    let mut picked: Vec<RankedTarget<'a>> = sound.iter().take(first).copied().collect();
    let mut others: Vec<RankedTarget<'a>> = sound.into_iter().skip(first).collect();
    let random = rank::weight(criteria.random, "");
    rank::order(random, &mut others, |ranked| ranked.target.registration.id.as_str());
    let (mut holders, mut random_ones) = (0, 0);
    for ranked in others {
        if random_ones < MAX_PICKED {
            random_ones += 1;
            picked.push(ranked);
        } else if holders < MAX_HOLDERS
            && part.is_some_and(|part| cache_belief::holds(ranked.target, part.id, now))
        {
            holders += 1;
            picked.push(ranked);
        }
    }
    picked
}

/// Returns a choice with the cost that it is compared by.
fn choice_of(
    ranked: &RankedTarget<'_>,
    pace: Pace,
    criteria: &SelectionCriteria<'_>,
    now: Millis,
) -> (Choice, f64) {
    let cost = placement_cost::estimate(ranked.target, ranked.rank, pace, criteria, now);
    let choice = Choice {
        key: ranked.target.key,
        first_event_ms: cost.first_event_ms(),
        prefill_ms: cost.prefill_ms,
        cost,
    };
    (choice, cost.total_ms())
}
