//! Table of the targets that the platform lists, with what this entry saw of them.
//!
//! A registration that vanishes while the platform's store is in trouble is
//! kept for a while: registrations lapse in an outage although their targets
//! live, and come back soon after it.

use std::net::SocketAddr;

use crate::time::Millis;

/// Time after the store's return until a vanished registration counts as gone.
pub const DEREGISTRATION_GRACE_MS: u64 = 2_000;

/// Shortest and longest time for which an unreachable target is left out.
const MIN_REST_MS: u64 = 400;
const MAX_REST_MS: u64 = 3_000;

/// Time in which the weight of an old failure halves, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 4_000.0;

/// Share of failures from which the log calls a target suspected; choices go by the
/// share itself.
const SUSPECTED: f64 = 0.25;

/// Weight of the newest answer in the share of failures.
const FAILURE_STEP: f64 = 0.25;

/// Weight of the newest answer in the smoothed delay.
const DELAY_STEP: f64 = 0.25;

/// Prompt parts remembered for each target.
const MAX_CACHED_PARTS: usize = 256;

/// Time for which a target is taken to keep a prompt part, in milliseconds.
const PART_CACHE_MS: u64 = 30_000;

/// Index of a target in its table; never used again for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetKey(u64);

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Identity of the target's process.
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub data_center: String,
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Wall-clock start in Unix milliseconds; tells a restart under the same id.
    pub started_ms: u64,
}

/// Target with what this entry saw of it.
#[derive(Clone, Debug)]
pub struct Target {
    pub key: TargetKey,
    pub registration: Registration,
    /// Requests of this entry that it runs.
    pub running: u32,
    /// Time that it will take to read this entry's waiting prompts, in milliseconds.
    pub pending_prefill_ms: f64,
    /// Smoothed time beyond what was expected, in milliseconds.
    pub delay_ms: f64,
    delay_at: Millis,
    failure_share: f64,
    /// Whether the log has called it suspected.
    is_suspected: bool,
    failure_at: Millis,
    unreachable: u32,
    suspended_until: Millis,
    /// Prompt parts that this entry sent to it, with the time; sorted by part.
    cached_parts: Vec<(u64, Millis)>,
    /// Whether its registration vanished while the store was in trouble.
    vanished: bool,
}

impl Target {
    fn new(key: TargetKey, registration: Registration) -> Target {
        Target {
            key,
            registration,
            running: 0,
            pending_prefill_ms: 0.0,
            delay_ms: 0.0,
            delay_at: Millis(0),
            failure_share: 0.0,
            is_suspected: false,
            failure_at: Millis(0),
            unreachable: 0,
            suspended_until: Millis(0),
            cached_parts: Vec::new(),
            vanished: false,
        }
    }

    /// Logs that callers' failures have made the target suspected, or that it is
    /// trusted again.
    fn note_suspicion(&mut self) {
        let is_suspected = self.failure_share >= SUSPECTED;
        if is_suspected == self.is_suspected {
            return;
        }
        self.is_suspected = is_suspected;
        let event = if is_suspected { "target_suspected" } else { "target_trusted" };
        log::info!(
            "event={event} target={} failures={:.2} unreachable={}",
            self.registration.id,
            self.failure_share,
            self.unreachable
        );
    }

    /// Share of recent requests that failed, from 0 to 1.
    pub fn failure_rate(&self, now: Millis) -> f64 {
        self.failure_share * decay(now, self.failure_at)
    }

    /// Smoothed delay beyond what was expected, in milliseconds.
    pub fn delay(&self, now: Millis) -> f64 {
        self.delay_ms * decay(now, self.delay_at)
    }

    /// Whether it is left out after connections to it failed.
    pub fn is_suspended(&self, now: Millis) -> bool {
        now < self.suspended_until
    }

    /// Whether this entry sent a prompt part to it not long ago.
    pub fn caches_part(&self, part: u64, now: Millis) -> bool {
        match self.cached_parts.binary_search_by_key(&part, |seen| seen.0) {
            Ok(at) => now.since(self.cached_parts[at].1) < PART_CACHE_MS,
            Err(_) => false,
        }
    }
}

fn decay(now: Millis, since: Millis) -> f64 {
    0.5_f64.powf(now.since(since) as f64 / FAILURE_HALF_LIFE_MS)
}

/// How a request at a target ended, as far as it tells of the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// It answered; the time beyond what was expected in milliseconds.
    Answered { delay_ms: f64 },
    /// It failed the request or broke off.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// It had no room.
    Full,
}

/// Targets of all services.
#[derive(Debug, Default)]
pub struct TargetTable {
    next_key: u64,
    /// Sorted by key.
    targets: Vec<Target>,
    /// Until when vanished registrations are kept; `None` while the store is well.
    keep_until: Option<Millis>,
    store_in_trouble: bool,
}

impl TargetTable {
    /// Target by its key.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        let at = self.targets.binary_search_by_key(&key, |target| target.key).ok()?;
        Some(&self.targets[at])
    }

    fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        let at = self.targets.binary_search_by_key(&key, |target| target.key).ok()?;
        Some(&mut self.targets[at])
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter()
    }

    /// Targets of a service that take new work.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        self.targets
            .iter()
            .filter(move |target| target.registration.service == service)
            .filter(|target| !target.registration.leaving)
    }

    /// Takes in a registration; answers whether it tells something new.
    pub fn register(&mut self, registration: Registration) -> bool {
        let held = self.targets.iter_mut().find(|held| held.registration.id == registration.id);
        let Some(held) = held else {
            self.add(registration);
            return true;
        };
        held.vanished = false;
        if held.registration.started_ms != registration.started_ms {
            let id = registration.id.clone();
            self.targets.retain(|held| held.registration.id != id);
            self.add(registration);
            return true;
        }
        let is_new = held.registration != registration;
        held.registration = registration;
        is_new
    }

    /// Drops a registration, or marks it while the store is in trouble.
    pub fn deregister(&mut self, id: &str) {
        if self.keep_until.is_none() && !self.store_in_trouble {
            self.targets.retain(|held| held.registration.id != id);
            return;
        }
        if let Some(held) = self.targets.iter_mut().find(|held| held.registration.id == id) {
            held.vanished = true;
        }
    }

    /// Replaces the whole list, as read at one time.
    pub fn replace(&mut self, registrations: Vec<Registration>) {
        let is_listed = |id: &str| registrations.iter().any(|registration| registration.id == id);
        let gone: Vec<String> = self
            .targets
            .iter()
            .map(|held| held.registration.id.clone())
            .filter(|id| !is_listed(id))
            .collect();
        for id in gone {
            self.deregister(&id);
        }
        for registration in registrations {
            self.register(registration);
        }
    }

    /// Notes that the store does not answer.
    pub fn store_unavailable(&mut self) {
        self.store_in_trouble = true;
    }

    /// Notes that the store answers again.
    pub fn store_available(&mut self, now: Millis) {
        if self.store_in_trouble {
            self.store_in_trouble = false;
            self.keep_until = Some(now.plus(DEREGISTRATION_GRACE_MS));
        }
    }

    /// Drops what has not come back in time after the store's return.
    pub fn expire(&mut self, now: Millis) {
        if self.keep_until.is_some_and(|until| now >= until) && !self.store_in_trouble {
            self.keep_until = None;
            self.targets.retain(|held| !held.vanished);
        }
    }

    /// Counts a request that is sent, with the time that its prompt will take.
    pub fn start(&mut self, key: TargetKey, prefill_ms: f64, parts: &[u64], now: Millis) {
        let Some(target) = self.get_mut(key) else { return };
        target.running += 1;
        target.pending_prefill_ms += prefill_ms;
        for part in parts {
            match target.cached_parts.binary_search_by_key(part, |seen| seen.0) {
                Ok(at) => target.cached_parts[at].1 = now,
                Err(at) => target.cached_parts.insert(at, (*part, now)),
            }
        }
        if target.cached_parts.len() > MAX_CACHED_PARTS {
            target.cached_parts.retain(|seen| now.since(seen.1) < PART_CACHE_MS);
            target.cached_parts.truncate(MAX_CACHED_PARTS);
        }
    }

    /// Counts a prompt as read: its first event has come, or it has ended.
    pub fn prefill_done(&mut self, key: TargetKey, prefill_ms: f64) {
        if let Some(target) = self.get_mut(key) {
            target.pending_prefill_ms = (target.pending_prefill_ms - prefill_ms).max(0.0);
        }
    }

    /// Counts a request as ended.
    pub fn end(&mut self, key: TargetKey) {
        if let Some(target) = self.get_mut(key) {
            target.running = target.running.saturating_sub(1);
        }
    }

    /// Notes how a request went.
    pub fn observe(&mut self, key: TargetKey, observation: Observation, now: Millis) {
        let Some(target) = self.get_mut(key) else { return };
        let failed = match observation {
            Observation::Answered { delay_ms } => {
                let held = target.delay(now);
                target.delay_ms = held + (delay_ms - held) * DELAY_STEP;
                target.delay_at = now;
                target.unreachable = 0;
                0.0
            }
            Observation::Full => return,
            Observation::Failed => 1.0,
            Observation::Unreachable => {
                let rest = (MIN_REST_MS << target.unreachable.min(8)).min(MAX_REST_MS);
                target.unreachable += 1;
                target.suspended_until = now.plus(rest);
                1.0
            }
        };
        let held = target.failure_rate(now);
        target.failure_share = held + (failed - held) * FAILURE_STEP;
        target.failure_at = now;
        target.note_suspicion();
    }

    fn add(&mut self, registration: Registration) {
        let key = TargetKey(self.next_key);
        self.next_key += 1;
        self.targets.push(Target::new(key, registration));
    }
}
