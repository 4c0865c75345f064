//! The control thread's table of targets and the systems over it.

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

/// Targets of one route that a process uses at most, so that its state does not
/// grow with the fleet.
pub const SUBSET_SIZE: usize = 32;

/// Failures in a row after which a target is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;

/// First ejection, in milliseconds; each further one is twice as long.
const EJECTION_MS: u64 = 1_000;

/// Longest ejection, in milliseconds.
const LONGEST_EJECTION_MS: u64 = 30_000;

/// Time over which a target's slots grow back after an ejection, in milliseconds.
const RAMP_MS: u64 = 10_000;

/// Steps in which the slots grow back.
const RAMP_STEPS: u64 = 10;

/// What the table learns.
#[derive(Clone, Debug)]
pub enum RoutingEvent {
    /// A configuration came into force.
    Config(Arc<Config>),
    /// The platform's host list was read.
    Hosts(Vec<Host>),
    /// A frame said that a sidecar leaves, or that it was restarted.
    StateChanged { target: String, state: SidecarState },
}

/// What the driver does.
pub enum RoutingEffect {
    /// Puts a snapshot in force.
    Publish(Arc<RoutingSnapshot>),
    /// Logs a placement decision.
    Log(String),
}

/// Table of targets, sorted by name.
pub struct RoutingSystem {
    process: String,
    routes: Vec<RouteRow>,
    targets: Vec<TargetRow>,
    hosts: Vec<Host>,
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
    /// Whether the host list names the host as leaving.
    listed_leaving: bool,
    /// Incarnation that said it leaves; only another one may take work again.
    left_incarnation: Option<u64>,
    ejection: Ejection,
    counters: Arc<TargetCounters>,
}

#[derive(Clone, Copy, Default)]
struct Ejection {
    until: Option<Millis>,
    /// Ejections since the target last ramped up fully.
    count: u32,
    returned: Option<Millis>,
}

impl RoutingSystem {
    /// Empty table of the process with this name, which decides on its subsets.
    pub fn open(process: &str) -> RoutingSystem {
        RoutingSystem {
            process: process.to_owned(),
            routes: Vec::new(),
            targets: Vec::new(),
            hosts: Vec::new(),
            changed: false,
        }
    }

    fn take_config(&mut self, cfg: &Config) {
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
            left_incarnation: known.and_then(|row| row.left_incarnation),
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

    fn take_hosts(&mut self, mut hosts: Vec<Host>) {
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

    fn take_state(&mut self, target: &str, state: SidecarState, effects: &mut Vec<RoutingEffect>) {
        let found = self.targets.binary_search_by(|row| row.target.name.as_str().cmp(target));
        let Ok(at) = found else { return };
        let row = &mut self.targets[at];
        if state.leaving && row.left_incarnation != Some(state.incarnation) {
            row.left_incarnation = Some(state.incarnation);
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

    fn return_ejected(&mut self, now: Millis, effects: &mut Vec<RoutingEffect>) {
        for row in &mut self.targets {
            if row.ejection.end_if_due(now) {
                row.counters.clear_failures();
                effects.push(RoutingEffect::Log(format!(
                    "decision=return target={}",
                    row.target.name
                )));
                self.changed = true;
            }
            self.changed |= row.ejection.ramp_finished(now) | row.ejection.ramps(now);
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

    /// Positions of the route's targets that this process uses, by rendezvous.
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
            RoutingEvent::Config(cfg) => self.take_config(&cfg),
            RoutingEvent::Hosts(hosts) => self.take_hosts(hosts),
            RoutingEvent::StateChanged { target, state } => {
                self.take_state(&target, state, effects);
            }
        }
        self.publish_if_changed(now, effects);
    }

    fn tick(&mut self, now: Millis, effects: &mut Vec<RoutingEffect>) {
        self.eject_failing(now, effects);
        self.return_ejected(now, effects);
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
            available: !self.leaves() && self.ejection.until.is_none(),
            counters: self.counters.clone(),
        }
    }

    /// Whether the target leaves by its own word or by the host list's.
    ///
    /// The list lags, so its "live" does not overrule what the sidecar said.
    fn leaves(&self) -> bool {
        let left = self.left_incarnation.is_some_and(|left| left == self.counters.incarnation());
        self.listed_leaving || left
    }
}

impl Ejection {
    fn start(&mut self, now: Millis) -> u64 {
        let ms = (EJECTION_MS << self.count.min(16)).min(LONGEST_EJECTION_MS);
        self.until = Some(now.plus(ms));
        self.count += 1;
        self.returned = None;
        ms
    }

    fn end_if_due(&mut self, now: Millis) -> bool {
        let due = self.until.is_some_and(|until| until <= now);
        if due {
            self.until = None;
            self.returned = Some(now);
        }
        due
    }

    /// Ends the ramp once it is over; tells whether it just ended.
    fn ramp_finished(&mut self, now: Millis) -> bool {
        let finished = self.returned.is_some_and(|returned| now.since(returned) >= RAMP_MS);
        if finished {
            *self = Ejection::default();
        }
        finished
    }

    /// Whether the slots reach a further step of the ramp within this tick.
    fn ramps(&self, now: Millis) -> bool {
        let tick = crate::control::TICK.as_millis() as u64;
        self.returned.is_some_and(|returned| {
            let step = RAMP_MS / RAMP_STEPS;
            now.since(returned) % step < tick
        })
    }

    fn ramped_slots(&self, slots: u32, now: Millis) -> u32 {
        let Some(returned) = self.returned else { return slots };
        let step = 1 + now.since(returned) * RAMP_STEPS / RAMP_MS;
        let ramped = u64::from(slots) * step.min(RAMP_STEPS) / RAMP_STEPS;
        (ramped as u32).max(1)
    }
}
