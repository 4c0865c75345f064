//! Control-thread side of routing: maintains the table of targets and publishes
//! snapshots.
//!
//! It combines the configuration, the host list, leaving states and ejections. A
//! target is ejected after consecutive failures and ramps up its slots afterwards.

use std::net::SocketAddr;
use std::sync::Arc;

use super::counters::TargetCounters;
use super::policy::{mix, policy};
use super::retry_budget::RetryBudget;
use super::snapshot::{RouteView, RoutingSnapshot, TargetView};
use crate::config::{Config, Route, Target};
use crate::control::System;
use crate::host_list::{Host, HostState, Role};
use crate::id::digest128;
use crate::time::Millis;
use crate::wire::SidecarState;

/// Maximum number of a route's targets that one process uses, so that its state does not
/// grow with the fleet.
pub const SUBSET_SIZE: usize = 32;

/// Number of consecutive failures after which a target is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;

/// Duration of the first ejection, in milliseconds; each further one is twice as long.
const MIN_EJECTION_MS: u64 = 1_000;

/// Maximum duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 30_000;

/// Time in which a target's slots ramp up after an ejection, in milliseconds.
const RAMP_MS: u64 = 10_000;

/// Number of steps of the ramp-up.
const RAMP_STEPS: u64 = 10;

/// Event for [`RoutingSystem`].
#[derive(Clone, Debug)]
pub enum RoutingEvent {
    /// A new configuration was applied.
    Config(Arc<Config>),
    /// The platform's host list was read.
    Hosts(Vec<Host>),
    /// A frame reported that a sidecar is leaving, or that it was restarted.
    StateChanged { target: String, state: SidecarState },
}

/// Effect that the driver of [`RoutingSystem`] carries out.
pub enum RoutingEffect {
    /// Publish a snapshot to the router.
    Publish(Arc<RoutingSnapshot>),
    /// Log a decision.
    Log(String),
}

/// Table of routes and targets, with the latest list of sidecar hosts.
pub struct RoutingSystem {
    process: String,
    routes: Vec<RouteRow>,
    /// Sorted by name, like those of the configuration.
    targets: Vec<TargetRow>,
    /// Sidecar hosts, sorted by name.
    hosts: Vec<Host>,
    /// Whether the table changed since the last snapshot.
    changed: bool,
}

struct RouteRow {
    route: Route,
    retries: Arc<RetryBudget>,
}

struct TargetRow {
    target: Target,
    digest: u64,
    sidecar: Option<SocketAddr>,
    /// Whether the host list marks the host as leaving.
    listed_leaving: bool,
    /// Incarnation that reported it is leaving; only another one may receive deliveries again.
    leaving_incarnation: Option<u64>,
    ejection: Ejection,
    counters: Arc<TargetCounters>,
}

#[derive(Clone, Copy, Default)]
struct Ejection {
    /// End of the ejection; `None` while the target is not ejected.
    until: Option<Millis>,
    /// Ejections since the last completed ramp-up.
    count: u32,
    /// End of the last ejection, from which the slots ramp up.
    ramp_start: Option<Millis>,
    /// Step of the ramp-up that was last published.
    ramp_step: u64,
}

impl RoutingSystem {
    /// Creates an empty table; the name of the process determines the subsets of targets.
    pub fn open(process: &str) -> RoutingSystem {
        RoutingSystem {
            process: process.to_owned(),
            routes: Vec::new(),
            targets: Vec::new(),
            hosts: Vec::new(),
            changed: false,
        }
    }

    fn apply_config(&mut self, cfg: &Config) {
        let targets: Vec<_> = cfg.targets.iter().map(|target| self.target_row(target)).collect();
        let routes: Vec<_> = cfg.routes.iter().map(|route| self.route_row(route)).collect();
        self.targets = targets;
        self.routes = routes;
        self.locate_targets();
    }

    fn target_row(&self, target: &Target) -> TargetRow {
        let known = self.targets.iter().find(|row| row.target.name == target.name);
        TargetRow {
            target: target.clone(),
            digest: digest128(&["target", &target.name]) as u64,
            sidecar: None,
            listed_leaving: false,
            leaving_incarnation: known.and_then(|row| row.leaving_incarnation),
            ejection: known.map(|row| row.ejection).unwrap_or_default(),
            counters: known.map(|row| row.counters.clone()).unwrap_or_default(),
        }
    }

    fn route_row(&self, route: &Route) -> RouteRow {
        let known = self.routes.iter().find(|row| row.route.name == route.name);
        let kept = known.filter(|row| row.retries.percent() == route.retry_percent);
        let retries = match kept {
            Some(row) => row.retries.clone(),
            None => Arc::new(RetryBudget::open(route.retry_percent)),
        };
        RouteRow { route: route.clone(), retries }
    }

    fn apply_hosts(&mut self, mut hosts: Vec<Host>) {
        hosts.retain(|host| host.role == Role::Sidecar);
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        if hosts != self.hosts {
            self.hosts = hosts;
            self.locate_targets();
        }
    }

    fn locate_targets(&mut self) {
        for row in &mut self.targets {
            let found = self.hosts.binary_search_by(|host| host.name.cmp(&row.target.host));
            let host = found.ok().map(|at| &self.hosts[at]);
            row.sidecar = host.map(|host| host.address);
            row.listed_leaving = host.is_some_and(|host| host.state == HostState::Leaving);
        }
        self.changed = true;
    }

    fn apply_state(&mut self, target: &str, state: SidecarState, effects: &mut Vec<RoutingEffect>) {
        let found = self.targets.binary_search_by(|row| row.target.name.as_str().cmp(target));
        let Ok(at) = found else { return };
        let row = &mut self.targets[at];
        if state.leaving && row.leaving_incarnation != Some(state.incarnation) {
            row.leaving_incarnation = Some(state.incarnation);
            effects.push(RoutingEffect::Log(format!(
                "decision=target-leaving target={target} incarnation={:016x}",
                state.incarnation
            )));
        }
        self.changed = true;
    }

    fn eject_failing(&mut self, now: Millis, effects: &mut Vec<RoutingEffect>) {
        for row in &mut self.targets {
            let failures = row.counters.consecutive_failures();
            if row.ejection.until.is_none() && failures >= EJECT_AFTER_FAILURES {
                let ms = row.ejection.start(now);
                effects.push(RoutingEffect::Log(format!(
                    "decision=eject target={} failures={failures} for_ms={ms}",
                    row.target.name
                )));
                self.changed = true;
            }
        }
    }

    fn end_due_ejections(&mut self, now: Millis, effects: &mut Vec<RoutingEffect>) {
        for row in &mut self.targets {
            if row.ejection.end_if_due(now) {
                row.counters.clear_failures();
                effects.push(RoutingEffect::Log(format!(
                    "decision=return target={}",
                    row.target.name
                )));
                self.changed = true;
            }
            self.changed |= row.ejection.end_ramp_if_due(now) | row.ejection.advance_ramp(now);
        }
    }

    fn snapshot(&self, now: Millis) -> RoutingSnapshot {
        let targets: Vec<_> = self.targets.iter().map(|row| row.view(now)).collect();
        let routes = self.routes.iter().map(|row| self.route_view(row)).collect();
        RoutingSnapshot { routes, targets }
    }

    fn route_view(&self, row: &RouteRow) -> RouteView {
        RouteView {
            name: row.route.name.clone(),
            policy: policy(row.route.policy),
            targets: self.subset(&row.route),
            retries: row.retries.clone(),
        }
    }

    /// Returns the indices of the route's targets that this process uses, chosen by rendezvous
    /// hashing.
    fn subset(&self, route: &Route) -> Vec<u32> {
        let position = |name: &String| {
            let found = self.targets.binary_search_by(|row| row.target.name.cmp(name));
            found.ok().map(|at| at as u32)
        };
        let mut positions: Vec<u32> = route.targets.iter().filter_map(position).collect();
        if positions.len() > SUBSET_SIZE {
            let process = digest128(&["process", &self.process]) as u64;
            positions.sort_by_key(|at| mix(process ^ self.targets[*at as usize].digest));
            positions.truncate(SUBSET_SIZE);
        }
        positions
    }
}

impl System for RoutingSystem {
    type Event = RoutingEvent;
    type Effect = RoutingEffect;

    fn handle(&mut self, event: RoutingEvent, now: Millis, effects: &mut Vec<RoutingEffect>) {
        match event {
            RoutingEvent::Config(cfg) => self.apply_config(&cfg),
            RoutingEvent::Hosts(hosts) => self.apply_hosts(hosts),
            RoutingEvent::StateChanged { target, state } => {
                self.apply_state(&target, state, effects);
            }
        }
        self.publish_if_changed(now, effects);
    }

    fn tick(&mut self, now: Millis, effects: &mut Vec<RoutingEffect>) {
        self.eject_failing(now, effects);
        self.end_due_ejections(now, effects);
        self.publish_if_changed(now, effects);
    }
}

impl RoutingSystem {
    fn publish_if_changed(&mut self, now: Millis, effects: &mut Vec<RoutingEffect>) {
        if std::mem::take(&mut self.changed) {
            effects.push(RoutingEffect::Publish(Arc::new(self.snapshot(now))));
        }
    }
}

impl TargetRow {
    fn view(&self, now: Millis) -> TargetView {
        TargetView {
            name: self.target.name.clone(),
            digest: self.digest,
            sidecar: self.sidecar,
            data_center: self.target.data_center.clone(),
            slots: self.ejection.ramped_slots(self.target.slots, now),
            available: !self.is_leaving() && self.ejection.until.is_none(),
            counters: self.counters.clone(),
        }
    }

    /// Returns whether the sidecar or the host list reports the target as leaving.
    ///
    /// The host list lags, so its state "live" does not override the sidecar's report.
    fn is_leaving(&self) -> bool {
        let reported =
            self.leaving_incarnation.is_some_and(|leaving| leaving == self.counters.incarnation());
        self.listed_leaving || reported
    }
}

impl Ejection {
    /// Starts an ejection and returns its duration in milliseconds.
    fn start(&mut self, now: Millis) -> u64 {
        let ms = (MIN_EJECTION_MS << self.count.min(16)).min(MAX_EJECTION_MS);
        self.until = Some(now.plus(ms));
        self.count += 1;
        self.ramp_start = None;
        self.ramp_step = 0;
        ms
    }

    fn end_if_due(&mut self, now: Millis) -> bool {
        let due = self.until.is_some_and(|until| until <= now);
        if due {
            self.until = None;
            self.ramp_start = Some(now);
        }
        due
    }

    /// Ends a ramp-up whose time has passed; returns whether it ended.
    fn end_ramp_if_due(&mut self, now: Millis) -> bool {
        let finished = self.ramp_start.is_some_and(|start| now.since(start) >= RAMP_MS);
        if finished {
            *self = Ejection::default();
        }
        finished
    }

    /// Advances the ramp-up to the present step; returns whether the step changed.
    fn advance_ramp(&mut self, now: Millis) -> bool {
        let Some(step) = self.step_at(now) else { return false };
        std::mem::replace(&mut self.ramp_step, step) != step
    }

    /// Returns the step of the ramp-up, from 1 to [`RAMP_STEPS`]; `None` outside a ramp-up.
    fn step_at(&self, now: Millis) -> Option<u64> {
        let since = now.since(self.ramp_start?);
        Some((1 + since * RAMP_STEPS / RAMP_MS).min(RAMP_STEPS))
    }

    fn ramped_slots(&self, slots: u32, now: Millis) -> u32 {
        let Some(step) = self.step_at(now) else { return slots };
        let ramped = u64::from(slots) * step / RAMP_STEPS;
        (ramped as u32).max(1)
    }
}
