//! Grant policies: how many tokens an entry holds beyond what requests need now.
//!
//! The settings name the policy. The budget system asks it whether the entry's grant in
//! the ledger has to change, and by how much.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Time for which a grant covers requests at the current rate without the store, in
/// seconds.
const HORIZON_S: u64 = 300;

/// Smallest number of tokens to hold of a budget in use, in requests of the latest one's
/// size.
const MIN_HELD_REQUESTS: u64 = 8;

/// Tokens that a standby entry keeps of an idle budget.
const STANDBY_TOKENS: u64 = 8_192;

/// Name of a grant policy in the settings.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantPolicyName {
    /// Grants follow the measured rate of requested tokens.
    #[default]
    #[display("adaptive")]
    Adaptive,
    /// Each entry holds an equal share of what is prepaid.
    #[display("static-split")]
    StaticSplit,
    /// Each request has its tokens granted by a write to the ledger.
    #[display("per-request")]
    PerRequest,
}

impl GrantPolicyName {
    /// Returns the policy with a name in the settings; `None` if there is none.
    pub fn parse(name: &str) -> Option<GrantPolicyName> {
        match name {
            "adaptive" => Some(GrantPolicyName::Adaptive),
            "static-split" => Some(GrantPolicyName::StaticSplit),
            "per-request" => Some(GrantPolicyName::PerRequest),
            _ => None,
        }
    }

    /// Creates the policy.
    pub fn open(self) -> Box<dyn GrantPolicy> {
        match self {
            GrantPolicyName::Adaptive => Box::new(Adaptive),
            GrantPolicyName::StaticSplit => Box::new(StaticSplit),
            GrantPolicyName::PerRequest => Box::new(PerRequest),
        }
    }
}

/// State of one budget at this entry, as a policy needs it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicyInput {
    /// Smoothed rate of the worst cases of requests, in tokens per second.
    pub requested_tokens_per_s: u64,
    /// Worst case of the latest request, in tokens.
    pub last_request_tokens: u64,
    /// Tokens that this entry may still reserve.
    pub available: u64,
    /// Tokens reserved by running requests.
    pub reserved: u64,
    /// Tokens granted to this epoch, in all.
    pub granted: u64,
    /// Tokens that are not granted to any epoch.
    pub free: u64,
    /// Prepaid tokens that are not known to be spent, granted or not.
    pub unsettled: u64,
    /// Tokens prepaid, in all.
    pub prepaid: u64,
    /// Number of entries of the fleet, including this one.
    pub entry_count: u64,
    /// Whether no request has used the budget here for a while.
    pub idle: bool,
    /// Whether this entry keeps tokens of the budget while no requests use it.
    pub standby: bool,
}

/// Decides how many tokens an entry holds beyond the needs of waiting requests.
pub trait GrantPolicy: Send {
    /// Returns the tokens to add to the grant before requests need them.
    fn prefetch(&self, input: PolicyInput) -> u64;

    /// Returns the tokens to return to the ledger.
    fn surplus(&self, input: PolicyInput) -> u64;

    /// Returns whether entries lend tokens to each other.
    fn lends(&self) -> bool;

    /// Returns whether one entry in each data centre keeps tokens of idle budgets.
    fn keeps_standby(&self) -> bool {
        false
    }
}

/// Grants by the measured rate of requested tokens.
struct Adaptive;

impl Adaptive {
    /// Returns the tokens to hold: the demand within the horizon, up to an equal share of
    /// what is left.
    ///
    /// No reserve stays in the store: nobody could use it during a store outage, while
    /// entries can lend each other what they hold.
    fn desired_tokens(input: PolicyInput) -> u64 {
        let minimum = if input.standby { STANDBY_TOKENS } else { 0 };
        let demand = (input.requested_tokens_per_s * HORIZON_S)
            .max(input.last_request_tokens * MIN_HELD_REQUESTS)
            .max(minimum);
        let share = input.unsettled / input.entry_count.max(1);
        demand.min(share)
    }
}

impl GrantPolicy for Adaptive {
    fn prefetch(&self, input: PolicyInput) -> u64 {
        let desired = Adaptive::desired_tokens(input);
        if input.idle || input.available * 2 >= desired {
            return 0;
        }
        desired - input.available
    }

    fn surplus(&self, input: PolicyInput) -> u64 {
        if input.idle {
            return input.available;
        }
        let keep = Adaptive::desired_tokens(input) * 2;
        let surplus = input.available.saturating_sub(keep);
        if surplus > keep { surplus } else { 0 }
    }

    fn lends(&self) -> bool {
        true
    }

    fn keeps_standby(&self) -> bool {
        true
    }
}

/// Grants each entry an equal share of what is prepaid.
struct StaticSplit;

impl GrantPolicy for StaticSplit {
    fn prefetch(&self, input: PolicyInput) -> u64 {
        (input.prepaid / input.entry_count.max(1)).saturating_sub(input.granted)
    }

    fn surplus(&self, _input: PolicyInput) -> u64 {
        0
    }

    fn lends(&self) -> bool {
        false
    }
}

/// Holds nothing beyond what requests need now.
struct PerRequest;

impl GrantPolicy for PerRequest {
    fn prefetch(&self, _input: PolicyInput) -> u64 {
        0
    }

    fn surplus(&self, input: PolicyInput) -> u64 {
        input.available
    }

    fn lends(&self) -> bool {
        false
    }
}
