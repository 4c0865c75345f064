//! Policies that choose among the available targets of a route.

use crate::config::PolicyName;

/// Load of a target relative to the mean at which rendezvous passes on, in percent.
const BOUND_PERCENT: u64 = 125;

/// Fixed-point scale of the load per slot.
const LOAD_SCALE: u64 = 1_000;

/// Target that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Digest of the target's name.
    pub digest: u64,
    /// Requests that run or wait there, as estimated by this process.
    pub load: u32,
    /// Requests that it can run at the same time, lowered while it ramps up.
    pub slots: u32,
}

impl Candidate {
    fn load_per_slot(&self) -> u64 {
        u64::from(self.load) * LOAD_SCALE / u64::from(self.slots.max(1))
    }
}

/// Chooses one of several targets.
pub trait RoutePolicy: Send + Sync {
    /// Index of the chosen candidate; `candidates` is not empty.
    ///
    /// `prefix` is the digest of the prompt's beginning, `random` a random number.
    fn choose(&self, candidates: &[Candidate], prefix: u64, random: u64) -> usize;

    /// Name for the log.
    fn name(&self) -> &'static str;
}

/// The policy that a route names.
pub fn policy(name: PolicyName) -> &'static dyn RoutePolicy {
    match name {
        PolicyName::Uniform => &Uniform,
        PolicyName::TwoChoices => &TwoChoices,
        PolicyName::BoundedRendezvous => &BoundedRendezvous,
    }
}

/// Uniform random choice, the baseline.
pub struct Uniform;

impl RoutePolicy for Uniform {
    fn choose(&self, candidates: &[Candidate], _prefix: u64, random: u64) -> usize {
        index(random, candidates.len())
    }

    fn name(&self) -> &'static str {
        "uniform"
    }
}

/// The less loaded of two random targets.
pub struct TwoChoices;

impl RoutePolicy for TwoChoices {
    fn choose(&self, candidates: &[Candidate], _prefix: u64, random: u64) -> usize {
        let first = index(random, candidates.len());
        if candidates.len() == 1 {
            return first;
        }
        let step = 1 + index(mix(random), candidates.len() - 1);
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
/// A target over the bound passes the request on to the next in its order; if
/// all are over it, two choices by load decide.
pub struct BoundedRendezvous;

impl RoutePolicy for BoundedRendezvous {
    fn choose(&self, candidates: &[Candidate], prefix: u64, random: u64) -> usize {
        let bound = load_bound(candidates);
        let within = |at: &usize| candidates[*at].load_per_slot() < bound;
        let weight = |at: &usize| mix(prefix ^ candidates[*at].digest);
        (0..candidates.len())
            .filter(within)
            .max_by_key(weight)
            .unwrap_or_else(|| TwoChoices.choose(candidates, prefix, random))
    }

    fn name(&self) -> &'static str {
        "bounded-rendezvous"
    }
}

/// Load per slot below which a target keeps its prefixes.
///
/// One request is added to the mean, so that an idle fleet has room for affinity.
fn load_bound(candidates: &[Candidate]) -> u64 {
    let load: u64 = candidates.iter().map(|candidate| u64::from(candidate.load)).sum();
    let slots: u64 = candidates.iter().map(|candidate| u64::from(candidate.slots.max(1))).sum();
    (load + candidates.len() as u64) * LOAD_SCALE * BOUND_PERCENT / 100 / slots.max(1)
}

/// Maps a random number to `0..len`.
fn index(random: u64, len: usize) -> usize {
    ((u128::from(random) * len as u128) >> 64) as usize
}

/// Mixes the bits of a number; equal inputs give equal outputs on every host.
pub(super) fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
