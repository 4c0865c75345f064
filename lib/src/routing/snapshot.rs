//! Immutable snapshot of routes and targets, which traffic threads choose from.

use std::net::SocketAddr;
use std::sync::Arc;

use super::counters::TargetCounters;
use super::policy::{Candidate, RoutePolicy};
use super::retry_budget::RetryBudget;

/// Routes and targets as published by the control thread.
#[derive(Default)]
pub struct RoutingSnapshot {
    /// Sorted by name.
    pub routes: Vec<RouteView>,
    /// Sorted by name.
    pub targets: Vec<TargetView>,
}

impl RoutingSnapshot {
    /// Returns the route with this name.
    pub fn route(&self, name: &str) -> Option<&RouteView> {
        let at = self.routes.binary_search_by(|route| route.name.as_str().cmp(name)).ok()?;
        Some(&self.routes[at])
    }

    /// Returns the target with this name.
    pub fn target(&self, name: &str) -> Option<&TargetView> {
        let at = self.targets.binary_search_by(|target| target.name.as_str().cmp(name)).ok()?;
        Some(&self.targets[at])
    }
}

/// Route with the targets that this process uses.
pub struct RouteView {
    pub name: String,
    pub policy: &'static dyn RoutePolicy,
    /// Indices into [`RoutingSnapshot::targets`] of this process's subset.
    pub targets: Vec<u32>,
    /// Retry budget, shared by all snapshots.
    pub retries: Arc<RetryBudget>,
}

/// Target as traffic threads see it.
pub struct TargetView {
    pub name: String,
    /// Digest of the name.
    pub digest: u64,
    /// QUIC address of its sidecar; `None` while the host list does not contain its host.
    pub sidecar: Option<SocketAddr>,
    pub data_center: String,
    /// Requests that it can run concurrently; reduced while it ramps up after an ejection.
    pub slots: u32,
    /// False while the target is leaving or ejected.
    pub available: bool,
    /// Counters, shared by all snapshots.
    pub counters: Arc<TargetCounters>,
}

impl TargetView {
    /// Returns whether a delivery may be sent to the target now.
    pub fn accepts(&self) -> bool {
        self.available && self.sidecar.is_some() && !self.counters.is_leaving()
    }

    /// Returns the target as a candidate for a policy.
    pub fn candidate(&self) -> Candidate {
        Candidate { digest: self.digest, load: self.counters.load(), slots: self.slots }
    }
}
