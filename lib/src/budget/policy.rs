//! Grant policies: how much money an entry holds beyond what requests need now.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Time that a well-funded grant lasts without the store, in seconds.
const HORIZON_S: u64 = 300;

/// Least prefetch of a budget in use, in requests of its usual size.
const LEAST_REQUESTS: u64 = 8;

/// Money kept of a budget that nobody draws on, in tokens.
const STANDBY_TOKENS: u64 = 8_192;

/// Name of a grant policy in the settings.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantPolicyName {
    /// Grants follow the measured drawing rate.
    #[default]
    #[display("adaptive")]
    Adaptive,
    /// Each entry holds an equal share of what is prepaid.
    #[display("static-split")]
    StaticSplit,
    /// One draw from the store for each request.
    #[display("per-request")]
    PerRequest,
}

impl GrantPolicyName {
    /// Policy by its name in the settings.
    pub fn parse(name: &str) -> Option<GrantPolicyName> {
        match name {
            "adaptive" => Some(GrantPolicyName::Adaptive),
            "static-split" => Some(GrantPolicyName::StaticSplit),
            "per-request" => Some(GrantPolicyName::PerRequest),
            _ => None,
        }
    }

    /// Opens the policy.
    pub fn open(self) -> Box<dyn GrantPolicy> {
        match self {
            GrantPolicyName::Adaptive => Box::new(Adaptive),
            GrantPolicyName::StaticSplit => Box::new(StaticSplit),
            GrantPolicyName::PerRequest => Box::new(PerRequest),
        }
    }
}

/// What a policy knows of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicyInput {
    /// Tokens drawn a second, smoothed.
    pub rate: u64,
    /// Worst case of the latest request.
    pub request: u64,
    /// Tokens that this entry may still reserve.
    pub available: u64,
    /// Tokens reserved by running requests.
    pub reserved: u64,
    /// Tokens granted to this epoch in all.
    pub granted: u64,
    /// Tokens that no epoch holds.
    pub free: u64,
    /// Tokens not settled, wherever they are held.
    pub unsettled: u64,
    /// Tokens prepaid in all.
    pub prepaid: u64,
    /// Entries of the fleet, this one included.
    pub entries: u64,
    /// Whether the budget was not drawn on for a while.
    pub idle: bool,
    /// Whether this entry keeps money of the budget while nobody draws on it.
    pub standby: bool,
}

/// Decides on money beyond the needs of waiting requests.
pub trait GrantPolicy: Send {
    /// Tokens to draw in advance.
    fn prefetch(&self, view: PolicyInput) -> u64;

    /// Tokens to hand back.
    fn surplus(&self, view: PolicyInput) -> u64;

    /// Whether entries lend money to each other.
    fn lends(&self) -> bool;

    /// Whether one entry in each data centre holds money of idle budgets.
    fn keeps_standby(&self) -> bool {
        false
    }
}

struct Adaptive;

impl Adaptive {
    /// Tokens to hold: the demand of the horizon, bounded by a fair share.
    ///
    /// Nothing is kept back in the store, since an outage would make it useless
    /// there, while peers lend what they hold.
    fn goal(view: PolicyInput) -> u64 {
        let least = if view.standby { STANDBY_TOKENS } else { 0 };
        let demand = (view.rate * HORIZON_S).max(view.request * LEAST_REQUESTS).max(least);
        let share = view.unsettled / view.entries.max(1);
        demand.min(share)
    }
}

impl GrantPolicy for Adaptive {
    fn prefetch(&self, view: PolicyInput) -> u64 {
        let goal = Adaptive::goal(view);
        if view.idle || view.available * 2 >= goal {
            return 0;
        }
        goal - view.available
    }

    fn surplus(&self, view: PolicyInput) -> u64 {
        if view.idle {
            return view.available;
        }
        let keep = Adaptive::goal(view) * 2;
        let surplus = view.available.saturating_sub(keep);
        if surplus > keep { surplus } else { 0 }
    }

    fn lends(&self) -> bool {
        true
    }

    fn keeps_standby(&self) -> bool {
        true
    }
}

struct StaticSplit;

impl GrantPolicy for StaticSplit {
    fn prefetch(&self, view: PolicyInput) -> u64 {
        (view.prepaid / view.entries.max(1)).saturating_sub(view.granted)
    }

    fn surplus(&self, _view: PolicyInput) -> u64 {
        0
    }

    fn lends(&self) -> bool {
        false
    }
}

struct PerRequest;

impl GrantPolicy for PerRequest {
    fn prefetch(&self, _view: PolicyInput) -> u64 {
        0
    }

    fn surplus(&self, view: PolicyInput) -> u64 {
        view.available
    }

    fn lends(&self) -> bool {
        false
    }
}
