//! Selects a target for each delivery of a request through a sidecar.
//!
//! The control thread owns the table of targets ([`RoutingSystem`]) and
//! publishes snapshots. Traffic threads choose from the newest snapshot without
//! locks through a [`Router`]. Counters that must be fresher than a snapshot,
//! such as deliveries in flight, are atomics shared by both sides.

mod counters;
mod policy;
mod retry_budget;
mod router;
mod snapshot;
mod system;

pub use counters::TargetCounters;
pub use policy::{BoundedRendezvous, Candidate, RoutePolicy, TwoChoices, Uniform, policy};
pub use retry_budget::RetryBudget;
pub use router::{PREFIX_BYTES, Router};
pub use snapshot::{RouteView, RoutingSnapshot, TargetView};
pub use system::{RoutingEffect, RoutingEvent, RoutingSystem};

use std::net::SocketAddr;

use crate::result_code::Refusal;
use crate::wire::SidecarState;

/// Properties of a delivery that its target is chosen by.
#[derive(Clone, Copy, Debug)]
pub struct Delivery<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Prompt or body; its first [`PREFIX_BYTES`] bytes determine the prefix affinity.
    pub prompt: &'a [u8],
    /// Targets that already failed this request and must not be chosen.
    pub exclude: &'a [String],
}

/// Chosen target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Name of the target.
    pub target: String,
    /// QUIC address of the target's sidecar.
    pub sidecar: SocketAddr,
    /// Data centre of the target.
    pub data_center: String,
    /// Name of the policy that chose it, for the log.
    pub reason: &'static str,
}

/// Target of a route and the address of its sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLocation {
    /// Name of the target.
    pub target: String,
    /// QUIC address of the sidecar; `None` while the host list does not contain its host.
    pub sidecar: Option<SocketAddr>,
    /// Incarnation of the sidecar that sent the last frame; zero before the first frame.
    pub incarnation: u64,
}

/// Outcome of a delivery, for the failure counters of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryEnd {
    /// The target answered.
    Answered,
    /// The sidecar refused the delivery because of its load or because it is leaving.
    Refused,
    /// The sidecar or target was unreachable, or its connection broke.
    Failed,
}

/// Target selection as seen by traffic threads.
pub trait TargetRouter: Send + Sync {
    /// Chooses a target and counts the delivery as in flight at that target.
    ///
    /// # Errors
    ///
    /// Returns a refusal with code `NoTarget` if the route is unknown or no target is available.
    fn choose(&self, delivery: Delivery<'_>) -> Result<Choice, Refusal>;

    /// Withdraws one retry from the route's retry budget; returns false if the budget is
    /// exhausted.
    fn try_retry(&self, route: &str) -> bool;

    /// Records the state that a sidecar sent with a frame.
    fn observe(&self, target: &str, state: SidecarState);

    /// Ends a delivery that [`TargetRouter::choose`] counted.
    fn finish(&self, target: &str, end: DeliveryEnd);

    /// Returns all targets of a route that this process uses, including unavailable ones.
    fn target_locations(&self, route: &str) -> Vec<TargetLocation>;
}
