//! Load-balancing policies, which choose among the available targets of a route.

use crate::config::PolicyName;

/// Load bound of rendezvous hashing, as a percentage of the mean load.
const LOAD_BOUND_PERCENT: u64 = 125;

/// Fixed-point scale of a load per slot.
const LOAD_SCALE: u64 = 1_000;

/// Available target as a policy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Digest of the target's name.
    pub digest: u64,
    /// Estimated number of requests that run or wait at the target.
    pub load: u32,
    /// Requests that it can run concurrently; reduced while it ramps up.
    pub slots: u32,
}

impl Candidate {
    fn load_per_slot(&self) -> u64 {
        u64::from(self.load) * LOAD_SCALE / u64::from(self.slots.max(1))
    }
}

/// Load-balancing policy of a route.
pub trait RoutePolicy: Send + Sync {
    /// Returns the index of the chosen candidate; `candidates` must not be empty.
    ///
    /// `prefix` is the digest of the prompt's first bytes, `random` a uniform random number.
    fn choose(&self, candidates: &[Candidate], prefix: u64, random: u64) -> usize;

    /// Returns the policy's name for the log.
    fn name(&self) -> &'static str;
}

/// Returns the policy with this name.
pub fn policy(name: PolicyName) -> &'static dyn RoutePolicy {
    match name {
        PolicyName::Uniform => &Uniform,
        PolicyName::TwoChoices => &TwoChoices,
        PolicyName::BoundedRendezvous => &BoundedRendezvous,
    }
}

/// Uniform random choice; the baseline for measurements.
pub struct Uniform;

impl RoutePolicy for Uniform {
    fn choose(&self, candidates: &[Candidate], _prefix: u64, random: u64) -> usize {
        random_index(random, candidates.len())
    }

    fn name(&self) -> &'static str {
        "uniform"
    }
}

/// Power of two choices: the less loaded of two random targets.
pub struct TwoChoices;

impl RoutePolicy for TwoChoices {
    fn choose(&self, candidates: &[Candidate], _prefix: u64, random: u64) -> usize {
        let first = random_index(random, candidates.len());
        if candidates.len() == 1 {
            return first;
        }
        let step = 1 + random_index(mix(random), candidates.len() - 1);
        let second = (first + step) % candidates.len();
        if candidates[second].load_per_slot() < candidates[first].load_per_slot() {
            second
        } else {
            first
        }
    }

    fn name(&self) -> &'static str {
        "two-choices"
    }
}

/// Rendezvous hashing on the prompt prefix with bounded load.
///
/// A target at or above the load bound is skipped in favour of the next one in the prefix's
/// order. If all targets are skipped, [`TwoChoices`] decides.
pub struct BoundedRendezvous;

impl RoutePolicy for BoundedRendezvous {
    fn choose(&self, candidates: &[Candidate], prefix: u64, random: u64) -> usize {
        let bound = load_bound(candidates);
        let is_below_bound = |at: &usize| candidates[*at].load_per_slot() < bound;
        let weight = |at: &usize| mix(prefix ^ candidates[*at].digest);
        (0..candidates.len())
            .filter(is_below_bound)
            .max_by_key(weight)
            .unwrap_or_else(|| TwoChoices.choose(candidates, prefix, random))
    }

    fn name(&self) -> &'static str {
        "bounded-rendezvous"
    }
}

/// Returns the load per slot below which a target may receive requests by affinity.
///
/// One request per target is added to the total load, so that affinity also works in an idle
/// fleet.
fn load_bound(candidates: &[Candidate]) -> u64 {
    let load: u64 = candidates.iter().map(|candidate| u64::from(candidate.load)).sum();
    let slots: u64 = candidates.iter().map(|candidate| u64::from(candidate.slots.max(1))).sum();
    (load + candidates.len() as u64) * LOAD_SCALE * LOAD_BOUND_PERCENT / 100 / slots.max(1)
}

/// Maps a random number to `0..len`.
fn random_index(random: u64, len: usize) -> usize {
    ((u128::from(random) * len as u128) >> 64) as usize
}

/// Mixes the bits of a number by a step of SplitMix64; the result is the same on every host.
pub(super) fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
