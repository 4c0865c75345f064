//! Immutable view of routes and targets that traffic threads read.

use std::net::SocketAddr;
use std::sync::Arc;

use super::counters::TargetCounters;
use super::policy::{Candidate, RoutePolicy};
use super::retry_budget::RetryBudget;

/// Routes and targets as the control thread last published them.
#[derive(Default)]
pub struct RoutingSnapshot {
    /// Sorted by name.
    pub routes: Vec<RouteView>,
    /// Sorted by name.
    pub targets: Vec<TargetView>,
}

impl RoutingSnapshot {
    /// Route by name.
    pub fn route(&self, name: &str) -> Option<&RouteView> {
        let at = self.routes.binary_search_by(|route| route.name.as_str().cmp(name)).ok()?;
        Some(&self.routes[at])
    }

    /// Target by name.
    pub fn target(&self, name: &str) -> Option<&TargetView> {
        let at = self.targets.binary_search_by(|target| target.name.as_str().cmp(name)).ok()?;
        Some(&self.targets[at])
    }
}

/// One route.
pub struct RouteView {
    pub name: String,
    pub policy: &'static dyn RoutePolicy,
    /// Positions in [`RoutingSnapshot::targets`] of this process's subset.
    pub targets: Vec<u32>,
    pub retries: Arc<RetryBudget>,
}

/// One target.
pub struct TargetView {
    pub name: String,
    /// Digest of the name.
    pub digest: u64,
    /// Address of its sidecar; `None` while the host list does not give one.
    pub sidecar: Option<SocketAddr>,
    pub data_center: String,
    /// Slots, lowered while the target ramps up after an ejection.
    pub slots: u32,
    /// False while the target leaves or is ejected.
    pub available: bool,
    pub counters: Arc<TargetCounters>,
}

impl TargetView {
    /// Whether a delivery may go there now.
    pub fn accepts(&self) -> bool {
        self.available && self.sidecar.is_some() && !self.counters.leaving()
    }

    /// What a policy sees of the target.
    pub fn candidate(&self) -> Candidate {
        Candidate { digest: self.digest, load: self.counters.load(), slots: self.slots }
    }
}
