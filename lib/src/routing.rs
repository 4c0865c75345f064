//! Choice of a target for each delivery of a request.
//!
//! The control thread owns the table of targets ([`RoutingSystem`]) and
//! publishes snapshots; traffic threads choose from the newest snapshot without
//! locks through a [`Router`]. Counters that must be fresher than a snapshot,
//! such as deliveries in flight, are atomics that both sides share.

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

/// What a policy needs to know of a delivery.
#[derive(Clone, Copy, Debug)]
pub struct Delivery<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Beginning of the prompt or body, which decides on prefix affinity.
    pub prompt: &'a [u8],
    /// Targets that must not be chosen, because they failed this request.
    pub exclude: &'a [String],
}

/// Chosen target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    pub target: String,
    /// QUIC address of the target's sidecar.
    pub sidecar: SocketAddr,
    pub data_center: String,
    /// Why the policy chose it, for the log.
    pub reason: &'static str,
}

/// Target of a route and the sidecar before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLocation {
    pub target: String,
    /// `None` while the host list does not give its address.
    pub sidecar: Option<SocketAddr>,
    /// Process start that the last frame came from; zero before the first.
    pub incarnation: u64,
}

/// How a delivery ended, as far as routing cares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryEnd {
    /// The target answered.
    Answered,
    /// The sidecar refused, because of its load or because it leaves.
    Refused,
    /// The sidecar or target could not be reached, or broke off.
    Failed,
}

/// Routes deliveries; called by traffic threads.
pub trait TargetRouter: Send + Sync {
    /// Chooses a target and counts the delivery as in flight there.
    fn choose(&self, delivery: Delivery<'_>) -> Result<Choice, Refusal>;

    /// Takes a retry from the route's retry budget; false if it is used up.
    fn try_retry(&self, route: &str) -> bool;

    /// Records the state that a sidecar put on a frame.
    fn observe(&self, target: &str, state: SidecarState);

    /// Ends a delivery that [`TargetRouter::choose`] counted.
    fn finish(&self, target: &str, end: DeliveryEnd);

    /// Every target of a route, whether it takes work or not.
    fn target_locations(&self, route: &str) -> Vec<TargetLocation>;
}
