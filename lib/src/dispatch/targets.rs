//! Table of the targets registered in the platform's store, with the load, failures
//! and delays that this entry observes.
//!
//! Target selection reads it. A target that is leaving, or that has asked for a pause, gets no
//! new requests. A registration that disappears during a store outage is
//! kept until a grace time after the outage: registrations lapse in an outage although
//! their targets are alive, and are renewed soon after it.

use std::collections::VecDeque;
use std::net::SocketAddr;

use super::cold_start::{ColdStart, ColdState};
use super::evacuations::Evacuations;
use super::load::known::KnownLoad;
use super::prefill_rate::{Pace, ServicePace, TargetSpeed};
use super::refusal_backoff::RefusalBackoff;
use super::target_limit::TargetLimit;
use super::target_process::TargetProcess;
use crate::time::Millis;

/// Time in milliseconds after a store outage until a registration that disappeared during
/// it is dropped.
pub const DEREGISTRATION_GRACE_MS: u64 = 2_000;

/// Bounds of the time for which an unreachable target is suspended, in milliseconds.
const MIN_SUSPENSION_MS: u64 = 400;
const MAX_SUSPENSION_MS: u64 = 3_000;

/// Half-life of the failure rate and the smoothed delay, in milliseconds.
const DECAY_HALF_LIFE_MS: f64 = 4_000.0;

/// Failure rate at which a target is logged as suspected; target selection uses the rate
/// itself.
const SUSPECTED_FAILURE_RATE: f64 = 0.25;

/// Weight of the newest answer in the failure rate, an exponential moving average.
const FAILURE_RATE_WEIGHT: f64 = 0.25;

/// Weight of the newest answer in the smoothed delay, an exponential moving average.
const DELAY_WEIGHT: f64 = 0.25;

/// Maximum number of prompt parts tracked for each target.
const MAX_CACHED_PARTS: usize = 256;

/// Time for which a target is assumed to cache a prompt part, in milliseconds.
const PART_CACHE_MS: u64 = 30_000;

/// Maximum number of departed processes that are remembered.
const MAX_DEPARTED: usize = 1_024;

/// Time for which a report of another process at a target's address counts, in milliseconds; its
/// registration follows within that time.
const OTHER_PROCESS_MS: u64 = 4_000;

/// Key of a target in its table; never reused for another target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetKey(u64);

/// Data that a target registers about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Identifier of the target.
    pub id: String,
    /// Name of the service that it serves.
    pub service: String,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    pub data_center: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Version of its software; `None` if it names none.
    pub software: Option<String>,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Wall-clock start in Unix milliseconds; it differs after a restart under the same id.
    pub started_ms: u64,
    /// Time for which it stays cold, in milliseconds; `None` if it does not say.
    pub cold_for_ms: Option<u64>,
}

/// Registered target with the state that this entry observes.
#[derive(Clone, Debug)]
pub struct Target {
    /// Key in the table.
    pub key: TargetKey,
    /// Latest registration.
    pub registration: Registration,
    /// Number of this entry's requests that it runs.
    pub running: u32,
    /// Prefill work of this entry's requests whose answers have not begun, in tokens.
    pub pending_tokens: u64,
    /// What the fleet knows of its load.
    pub known: KnownLoad,
    /// When another process has last reported at its address.
    other_process_at: Option<Millis>,
    /// Speed in relation to its service, as its answers showed it.
    pub speed: TargetSpeed,
    /// Smoothed delay beyond the expected time, in milliseconds, as of `delay_at`.
    pub delay_ms: f64,
    delay_at: Millis,
    /// Failure rate from 0 to 1, as of `failure_at`.
    failure_rate: f64,
    /// Whether it was last logged as suspected.
    suspected: bool,
    failure_at: Millis,
    /// Connection failures since the last answer.
    connection_failures: u32,
    suspended_until: Millis,
    /// Prompt parts that this entry sent to it, with the time of the last request; sorted
    /// by part.
    cached_parts: Vec<(u64, Millis)>,
    /// Whether its registration disappeared during a store outage.
    missing: bool,
    /// Whether it has said that it is leaving, in its registration or in an answer; it does not
    /// change its mind.
    leaving: bool,
    /// Until when it has asked for no further requests.
    paused_until: Millis,
    /// Requests that it turned away since its last answer.
    refusals: RefusalBackoff,
    /// Limit of requests that it has named.
    pub limit: TargetLimit,
    /// Until when it is cold.
    pub(super) cold: ColdState,
}

impl Target {
    fn new(key: TargetKey, registration: Registration) -> Target {
        Target {
            key,
            registration,
            running: 0,
            pending_tokens: 0,
            known: KnownLoad::default(),
            other_process_at: None,
            speed: TargetSpeed::default(),
            delay_ms: 0.0,
            delay_at: Millis(0),
            failure_rate: 0.0,
            suspected: false,
            failure_at: Millis(0),
            connection_failures: 0,
            suspended_until: Millis(0),
            cached_parts: Vec::new(),
            missing: false,
            leaving: false,
            paused_until: Millis(0),
            refusals: RefusalBackoff::default(),
            limit: TargetLimit::default(),
            cold: ColdState::default(),
        }
    }

    /// Logs when the failure rate crosses [`SUSPECTED_FAILURE_RATE`] in either direction.
    fn update_suspicion(&mut self) {
        let is_suspected = self.failure_rate >= SUSPECTED_FAILURE_RATE;
        if is_suspected == self.suspected {
            return;
        }
        self.suspected = is_suspected;
        let event = if is_suspected { "target_suspected" } else { "target_trusted" };
        log::info!(
            "event={event} target={} failures={:.2} unreachable={}",
            self.registration.id,
            self.failure_rate,
            self.connection_failures
        );
    }

    /// Returns the decayed failure rate, from 0 to 1.
    pub fn failure_rate(&self, now: Millis) -> f64 {
        self.failure_rate * decay(now, self.failure_at)
    }

    /// Returns the decayed delay beyond the expected time, in milliseconds.
    pub fn delay_ms(&self, now: Millis) -> f64 {
        self.delay_ms * decay(now, self.delay_at)
    }

    /// Returns whether it is suspended after a failed connection.
    pub fn is_suspended(&self, now: Millis) -> bool {
        now < self.suspended_until
    }

    /// Returns whether it accepts no new requests because it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the time in milliseconds for which it still asks for no further requests; 0 if it
    /// does not.
    pub fn pause_left_ms(&self, now: Millis) -> u64 {
        self.paused_until.since(now)
    }

    /// Returns the time in milliseconds until it takes a request of this entry, as far as that is
    /// known; 0 if it may take one now.
    pub fn closed_for_ms(&self, now: Millis) -> u64 {
        self.pause_left_ms(now).max(self.limit.wait_ms(now)).max(self.refusals.closed_for_ms(now))
    }

    /// Returns whether it turned away so many requests that others are preferred.
    pub fn is_avoided(&self, now: Millis) -> bool {
        self.refusals.is_avoided(now)
    }

    /// Records that it turned a request away.
    fn record_refusal(&mut self, now: Millis) {
        if let Some(avoided_ms) = self.refusals.record_refusal(now) {
            log::info!("event=target_avoided target={} for_ms={avoided_ms}", self.registration.id);
        }
    }

    /// Records that it answered, which ends a backoff.
    fn record_answer(&mut self) {
        if self.refusals.record_answer() {
            log::info!("event=target_serves_again target={}", self.registration.id);
        }
    }

    /// Returns which process it is.
    pub fn process(&self) -> TargetProcess {
        let Registration { id, started_ms, .. } = &self.registration;
        TargetProcess { id: id.clone(), started_ms: *started_ms }
    }

    /// Records that another process reported at its address.
    pub fn record_other_process(&mut self, at: Millis) {
        self.other_process_at = self.other_process_at.max(Some(at));
    }

    /// Returns whether another process may have its address that has not registered yet.
    pub fn may_be_replaced(&self, now: Millis) -> bool {
        let Some(at) = self.other_process_at else { return false };
        let has_reported_since = self.known.report.is_some_and(|report| report.at > at);
        now.since(at) < OTHER_PROCESS_MS && !has_reported_since
    }

    /// Returns whether it runs this software version, as far as it registered one.
    pub fn has_software(&self, software: &str) -> bool {
        self.registration.software.as_deref() == Some(software)
    }

    /// Returns whether it is in one of these data centres, which are sorted; `None` stands for all.
    pub fn is_in(&self, data_centers: Option<&[String]>) -> bool {
        let data_center = &self.registration.data_center;
        data_centers.is_none_or(|allowed| allowed.binary_search(data_center).is_ok())
    }

    /// Returns whether it is assumed to cache a prompt part, because this entry sent the part
    /// to it recently.
    pub fn caches_part(&self, part: u64, now: Millis) -> bool {
        match self.cached_parts.binary_search_by_key(&part, |cached| cached.0) {
            Ok(at) => now.since(self.cached_parts[at].1) < PART_CACHE_MS,
            Err(_) => false,
        }
    }

    /// Returns whether this entry has sent it a prompt part after `since`.
    pub fn was_sent_part_since(&self, part: u64, since: Millis) -> bool {
        match self.cached_parts.binary_search_by_key(&part, |cached| cached.0) {
            Ok(at) => self.cached_parts[at].1 > since,
            Err(_) => false,
        }
    }
}

/// Returns the factor by which an average has decayed since its update.
fn decay(now: Millis, since: Millis) -> f64 {
    0.5_f64.powf(now.since(since) as f64 / DECAY_HALF_LIFE_MS)
}

/// Outcome of a request that updates the target's observed state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The target answered; `delay_ms` is the delay beyond the expected time in milliseconds.
    Answered { delay_ms: f64 },
    /// The target failed the request, or its connection broke.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// The target rejected the request for lack of capacity.
    Full,
}

/// Targets of all services, with the state of the platform's store.
#[derive(Debug, Default)]
pub struct TargetTable {
    next_key: u64,
    /// Sorted by key.
    pub(super) targets: Vec<Target>,
    /// What was learned of each service's engines; sorted by service.
    paces: Vec<(String, ServicePace)>,
    /// Data centres whose targets get nothing new.
    pub evacuations: Evacuations,
    /// How the targets of services start, sorted by service.
    pub(super) cold_starts: Vec<(String, ColdStart)>,
    /// End of the grace time for missing registrations; `None` if no grace time is running.
    grace_until: Option<Millis>,
    store_unavailable: bool,
    /// Leaving processes whose registration has been removed, the latest one last: a store that
    /// was restored from a copy may list them once more.
    departed: VecDeque<TargetProcess>,
}

impl TargetTable {
    /// Returns the target with this key.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        let at = self.targets.binary_search_by_key(&key, |target| target.key).ok()?;
        Some(&self.targets[at])
    }

    /// Returns the target with this key for a change.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        let at = self.targets.binary_search_by_key(&key, |target| target.key).ok()?;
        Some(&mut self.targets[at])
    }

    /// Returns the target that is registered under an identifier.
    pub fn with_id(&self, id: &str) -> Option<&Target> {
        self.targets.iter().find(|target| target.registration.id == id)
    }

    /// Iterates over all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter()
    }

    /// Iterates over all targets for changes of their state.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.targets.iter_mut()
    }

    /// Iterates over the targets of a service that accept new requests.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        self.targets
            .iter()
            .filter(move |target| target.registration.service == service)
            .filter(|target| self.may_receive(target))
    }

    /// Returns whether a target gets new requests: it is not leaving, and its data centre is not
    /// evacuated.
    pub fn may_receive(&self, target: &Target) -> bool {
        !target.leaving && !self.evacuations.contains(&target.registration.data_center)
    }

    /// Returns the pace of a service's engines, as far as their answers showed it.
    pub fn pace(&self, service: &str) -> Pace {
        match self.paces.binary_search_by(|(known, _)| known.as_str().cmp(service)) {
            Ok(at) => self.paces[at].1.pace(),
            Err(_) => Pace::default(),
        }
    }

    /// Learns from the time of a first answer to a request that waited for nothing known.
    pub fn learn_pace(&mut self, key: TargetKey, work_tokens: f64, elapsed_ms: f64) {
        let Some(target) = self.get_mut(key) else { return };
        let service = target.registration.service.clone();
        let expected_ms = self.pace(&service).first_answer_ms(work_tokens);
        let found = self.paces.binary_search_by(|(known, _)| known.cmp(&service));
        let at = found.unwrap_or_else(|at| {
            self.paces.insert(at, (service, ServicePace::default()));
            at
        });
        self.paces[at].1.learn(work_tokens, elapsed_ms);
        if let Some(target) = self.get_mut(key) {
            target.speed.learn(expected_ms, elapsed_ms);
        }
    }

    /// Returns the shortest time in milliseconds until a target of a service accepts requests
    /// again, if there are any and all of them have asked for a pause or have reached their limits.
    pub fn shortest_wait_ms(&self, service: &str, now: Millis) -> Option<u64> {
        self.shortest_wait_in_ms(service, None, now)
    }

    /// Returns the shortest time as [`TargetTable::shortest_wait_ms`] does, among the targets in
    /// `data_centers`, which are sorted; `None` stands for all.
    pub fn shortest_wait_in_ms(
        &self,
        service: &str,
        data_centers: Option<&[String]>,
        now: Millis,
    ) -> Option<u64> {
        let targets = self.of_service(service).filter(|target| target.is_in(data_centers));
        targets.map(|target| target.closed_for_ms(now)).min().filter(|ms| *ms > 0)
    }

    /// Adds or updates a target and returns whether its registration changed.
    ///
    /// A restarted target is replaced, which drops its observed state.
    pub fn register(&mut self, registration: Registration) -> bool {
        let target =
            self.targets.iter_mut().find(|target| target.registration.id == registration.id);
        let Some(target) = target else {
            self.add(registration);
            return true;
        };
        target.missing = false;
        if target.registration.started_ms != registration.started_ms {
            let id = registration.id.clone();
            self.remove(|target| target.registration.id == id);
            self.add(registration);
            return true;
        }
        let cold_for_ms = target.registration.cold_for_ms;
        let is_changed =
            target.registration != Registration { cold_for_ms, ..registration.clone() };
        target.leaving |= registration.leaving;
        target.registration = registration;
        is_changed
    }

    /// Records that a target said in an answer that it is leaving; returns whether that is new.
    pub fn mark_leaving(&mut self, key: TargetKey) -> bool {
        self.get_mut(key).is_some_and(|target| !std::mem::replace(&mut target.leaving, true))
    }

    /// Records that a target asked for no further requests until `until`.
    pub fn pause(&mut self, key: TargetKey, until: Millis) {
        if let Some(target) = self.get_mut(key) {
            target.paused_until = target.paused_until.max(until);
        }
    }

    /// Drops a target, or marks it as missing during a store outage and its grace time.
    pub fn deregister(&mut self, id: &str) {
        if self.grace_until.is_none() && !self.store_unavailable {
            self.remove(|target| target.registration.id == id);
            return;
        }
        if let Some(target) = self.targets.iter_mut().find(|target| target.registration.id == id) {
            target.missing = true;
        }
    }

    /// Replaces all registrations by a complete list read from the store.
    pub fn replace(&mut self, registrations: Vec<Registration>) {
        let is_listed = |id: &str| registrations.iter().any(|registration| registration.id == id);
        let unlisted: Vec<String> = self
            .targets
            .iter()
            .map(|target| target.registration.id.clone())
            .filter(|id| !is_listed(id))
            .collect();
        for id in unlisted {
            self.deregister(&id);
        }
        for registration in registrations {
            self.register(registration);
        }
    }

    /// Records that the store does not answer.
    pub fn store_unavailable(&mut self) {
        self.store_unavailable = true;
    }

    /// Records that the store answers again, and starts the grace time.
    pub fn store_available(&mut self, now: Millis) {
        if self.store_unavailable {
            self.store_unavailable = false;
            self.grace_until = Some(now.plus(DEREGISTRATION_GRACE_MS));
        }
    }

    /// Drops the targets that are still missing when the grace time has passed.
    pub fn expire(&mut self, now: Millis) {
        if self.grace_until.is_some_and(|until| now >= until) && !self.store_unavailable {
            self.grace_until = None;
            self.remove(|target| target.missing);
        }
    }

    /// Records a request sent to a target, with its tokens to prefill and prompt parts.
    pub fn start(&mut self, key: TargetKey, new_tokens: u64, parts: &[u64], now: Millis) {
        let Some(target) = self.get_mut(key) else { return };
        target.running += 1;
        target.pending_tokens = target.pending_tokens.saturating_add(new_tokens);
        for part in parts {
            match target.cached_parts.binary_search_by_key(part, |cached| cached.0) {
                Ok(at) => target.cached_parts[at].1 = now,
                Err(at) => target.cached_parts.insert(at, (*part, now)),
            }
        }
        if target.cached_parts.len() > MAX_CACHED_PARTS {
            target.cached_parts.retain(|cached| now.since(cached.1) < PART_CACHE_MS);
            target.cached_parts.sort_by_key(|cached| std::cmp::Reverse(cached.1));
            target.cached_parts.truncate(MAX_CACHED_PARTS);
            target.cached_parts.sort_by_key(|cached| cached.0);
        }
    }

    /// Records that a prompt is no longer pending: its first event has arrived, or the request
    /// has ended.
    pub fn prefill_done(&mut self, key: TargetKey, new_tokens: u64) {
        if let Some(target) = self.get_mut(key) {
            target.pending_tokens = target.pending_tokens.saturating_sub(new_tokens);
        }
    }

    /// Records the end of a request.
    pub fn end(&mut self, key: TargetKey) {
        if let Some(target) = self.get_mut(key) {
            target.running = target.running.saturating_sub(1);
        }
    }

    /// Updates a target's observed state by the outcome of a request.
    pub fn observe(&mut self, key: TargetKey, observation: Observation, now: Millis) {
        let Some(target) = self.get_mut(key) else { return };
        let failed = match observation {
            Observation::Answered { delay_ms } => {
                let previous = target.delay_ms(now);
                target.delay_ms = previous + (delay_ms - previous) * DELAY_WEIGHT;
                target.delay_at = now;
                target.connection_failures = 0;
                target.record_answer();
                0.0
            }
            Observation::Full => return target.record_refusal(now),
            Observation::Failed => 1.0,
            Observation::Unreachable => {
                let suspension_ms =
                    (MIN_SUSPENSION_MS << target.connection_failures.min(8)).min(MAX_SUSPENSION_MS);
                target.connection_failures += 1;
                target.suspended_until = now.plus(suspension_ms);
                1.0
            }
        };
        let previous = target.failure_rate(now);
        target.failure_rate = previous + (failed - previous) * FAILURE_RATE_WEIGHT;
        target.failure_at = now;
        target.update_suspicion();
    }

    fn add(&mut self, registration: Registration) {
        let key = TargetKey(self.next_key);
        self.next_key += 1;
        let mut target = Target::new(key, registration);
        target.leaving = target.registration.leaving || self.has_departed(&target.registration);
        self.targets.push(target);
    }

    /// Removes the targets that match, and remembers those that were leaving.
    fn remove(&mut self, is_removed: impl Fn(&Target) -> bool) {
        let departed = &mut self.departed;
        self.targets.retain(|target| {
            if !is_removed(target) {
                return true;
            }
            if target.leaving {
                departed.push_back(target.process());
            }
            false
        });
        let surplus = departed.len().saturating_sub(MAX_DEPARTED);
        departed.drain(..surplus);
    }

    /// Returns whether the process of a registration was leaving when it was removed. A process
    /// that does not say when it started cannot be recognised.
    fn has_departed(&self, registration: &Registration) -> bool {
        let Registration { id, started_ms, .. } = registration;
        *started_ms > 0
            && self.departed.iter().any(|left| left.id == *id && left.started_ms == *started_ms)
    }
}
