//! Lock-free target selection on traffic threads, from the newest routing snapshot.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;

use super::policy::mix;
use super::snapshot::{RouteView, RoutingSnapshot, TargetView};
use super::system::RoutingEvent;
use super::{Choice, Delivery, DeliveryEnd, TargetLocation, TargetRouter};
use crate::control::EventSink;
use crate::result_code::{Refusal, ResultCode};
use crate::wire::SidecarState;

/// Number of a prompt's first bytes that determine its affinity.
pub const PREFIX_BYTES: usize = 512;

/// Delay until a caller should retry if no target is available, in milliseconds.
const NO_TARGET_RETRY_AFTER_MS: u64 = 1_000;

/// Chooses targets from the newest snapshot.
pub struct Router {
    snapshot: ArcSwap<RoutingSnapshot>,
    sink: EventSink<RoutingEvent>,
    random_state: AtomicU64,
}

impl Router {
    /// Creates a router that has no targets until the first [`Router::publish`].
    ///
    /// Changes of sidecar state that traffic observes are sent to `sink`; `seed` seeds the
    /// random numbers.
    pub fn open(sink: EventSink<RoutingEvent>, seed: u64) -> Arc<Router> {
        let snapshot = ArcSwap::from_pointee(RoutingSnapshot::default());
        Arc::new(Router { snapshot, sink, random_state: AtomicU64::new(seed) })
    }

    /// Replaces the current snapshot.
    pub fn publish(&self, snapshot: Arc<RoutingSnapshot>) {
        self.snapshot.store(snapshot);
    }

    /// Returns the current snapshot.
    pub fn snapshot(&self) -> Arc<RoutingSnapshot> {
        self.snapshot.load_full()
    }

    fn random(&self) -> u64 {
        mix(self.random_state.fetch_add(1, Ordering::Relaxed))
    }
}

impl TargetRouter for Router {
    fn choose(&self, delivery: Delivery<'_>) -> Result<Choice, Refusal> {
        let snapshot = self.snapshot.load();
        let route = snapshot.route(delivery.route).ok_or_else(|| no_target(delivery.route))?;
        if delivery.exclude.is_empty() {
            route.retries.deposit();
        }
        let accepting = accepting_targets(&snapshot, route, delivery.exclude);
        if accepting.is_empty() {
            return Err(no_target(delivery.route));
        }
        let candidates: Vec<_> = accepting.iter().map(|target| target.candidate()).collect();
        let at = route.policy.choose(&candidates, prefix_digest(delivery.prompt), self.random());
        let target = accepting[at];
        let sidecar = target.sidecar.ok_or_else(|| no_target(delivery.route))?;
        target.counters.start();
        Ok(Choice {
            target: target.name.clone(),
            sidecar,
            data_center: target.data_center.clone(),
            reason: route.policy.name(),
        })
    }

    fn target_locations(&self, route: &str) -> Vec<TargetLocation> {
        let snapshot = self.snapshot.load();
        let Some(route) = snapshot.route(route) else { return Vec::new() };
        let location = |at: &u32| {
            let target = &snapshot.targets[*at as usize];
            TargetLocation {
                target: target.name.clone(),
                sidecar: target.sidecar,
                incarnation: target.counters.incarnation(),
            }
        };
        route.targets.iter().map(location).collect()
    }

    fn try_retry(&self, route: &str) -> bool {
        self.snapshot.load().route(route).is_some_and(|route| route.retries.withdraw())
    }

    fn observe(&self, target: &str, state: SidecarState) {
        let snapshot = self.snapshot.load();
        let Some(view) = snapshot.target(target) else { return };
        if view.counters.observe(state) {
            (self.sink)(RoutingEvent::StateChanged { target: target.to_owned(), state });
        }
    }

    fn finish(&self, target: &str, end: DeliveryEnd) {
        let snapshot = self.snapshot.load();
        let Some(view) = snapshot.target(target) else { return };
        view.counters.finish(end == DeliveryEnd::Failed);
    }
}

fn accepting_targets<'a>(
    snapshot: &'a RoutingSnapshot,
    route: &RouteView,
    exclude: &[String],
) -> Vec<&'a TargetView> {
    route
        .targets
        .iter()
        .map(|at| &snapshot.targets[*at as usize])
        .filter(|target| target.accepts() && !exclude.contains(&target.name))
        .collect()
}

fn no_target(route: &str) -> Refusal {
    Refusal::new(ResultCode::NoTarget, format!("no target of route {route} is available"))
        .retry_after(NO_TARGET_RETRY_AFTER_MS)
}

fn prefix_digest(prompt: &[u8]) -> u64 {
    let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(prefix).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
