//! Crashes counted for one suspect, and its trials.

use super::moments::{CrashMoments, MOMENT_MS};
use super::suspect::{Level, MAX_CRASHES, SETTLING_MS, Suspect, Suspicion, TRIAL_CRASHES};
use crate::time::Millis;

/// Mean number of requests with a suspect in its crashes from which on it is taken for common: what
/// crashes targets ends them with the first of its requests that begins.
const MIN_COMMON_REQUESTS: usize = 3;

/// Largest number of requests that counts in one crash.
const MAX_COUNTED_REQUESTS: usize = 8;

/// Number of crashes after which what is common is refused too.
const MAX_COMMON_CRASHES: usize = 2 * MAX_CRASHES;

/// Number of crashes after which a suspect is refused if targets crash without it, too.
const MAX_AMBIGUOUS_CRASHES: usize = MAX_CRASHES + 2;

/// Number of moments at which targets crashed without a suspect, for each one with it, from which on its
/// crashes may have happened by chance.
const MIN_MOMENTS_WITHOUT: usize = 2;

/// Time by which a report of a crash may be later than the crash, in milliseconds.
const REPORT_DELAY_MS: u64 = 100;

/// Longest time for which a trial keeps other requests with its suspects waiting, in milliseconds.
const TRIAL_MS: u64 = 2_000;

/// Time until a refused suspect is tried for the first time, in milliseconds; doubles each time.
const MIN_RETRIAL_MS: u64 = 30_000;

/// Longest time between two trials of a refused suspect, in milliseconds.
const MAX_RETRIAL_MS: u64 = 3_600_000;

/// Maximum number of crashes of a row; those that do not count are evicted first.
const MAX_ROW_CRASHES: usize = 16;

/// Crash of a target that ran the suspect.
#[derive(Clone, Debug)]
struct RowCrash {
    /// Digest of the target's process.
    process: u64,
    is_counted: bool,
    /// When it was reported first.
    reported_at: Millis,
    /// Digests of the requests with the suspect that it ended, as many as count.
    requests: Vec<u32>,
}

impl RowCrash {
    /// Adds a request that it ended, unless that was sent later.
    fn add_request(&mut self, request: u32, sent_at: Millis) {
        let is_ended = sent_at < self.reported_at.plus(REPORT_DELAY_MS);
        let is_known = self.requests.contains(&request);
        if is_ended && !is_known && self.requests.len() < MAX_COUNTED_REQUESTS {
            self.requests.push(request);
        }
    }
}

/// Running trial of a suspect.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Digest of the target's process.
    process: u64,
    /// Digest of the id of the request that runs.
    request: u64,
    until: Millis,
}

/// Crashes counted for one suspect.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub suspect: Suspect,
    crashes: Vec<RowCrash>,
    last_counted_at: Millis,
    /// Number of moments at which targets crashed with it, counted or not, and the first and the last.
    moments: usize,
    first_moment: Millis,
    last_moment: Millis,
    pub level: Level,
    /// Others that were in all its counted crashes, sorted; known once it is refused.
    pub rivals: Vec<Suspect>,
    trial: Option<Trial>,
    /// When a refused suspect may be tried, and how often it was.
    pub retrial_at: Millis,
    retrials: u32,
    /// When the fleet was told last that the refusal is still needed.
    pub told_at: Millis,
    pub touched_at: Millis,
}

impl Row {
    pub fn new(suspect: Suspect, now: Millis) -> Row {
        Row {
            suspect,
            crashes: Vec::new(),
            last_counted_at: Millis(0),
            moments: 0,
            first_moment: now,
            last_moment: now,
            level: Level::Free,
            rivals: Vec::new(),
            trial: None,
            retrial_at: Millis(0),
            retrials: 0,
            told_at: now,
            touched_at: now,
        }
    }

    pub fn suspicion(&self) -> Suspicion {
        let Row { suspect, level, .. } = *self;
        Suspicion { suspect, level, rivals: self.rivals.clone() }
    }

    /// Returns the number of crashes that count.
    pub fn counted(&self) -> usize {
        self.crashes.iter().filter(|crash| crash.is_counted).count()
    }

    /// Adds a crash of a request, which counts unless the request was sent before the crash that was
    /// counted last. A process counts once: it may be broken itself, and what was sent to it after its
    /// crash was not ended by that one.
    pub fn add_crash(&mut self, process: u64, request: u32, sent_at: Millis, now: Millis) {
        self.touched_at = now;
        self.trial = None;
        self.record_moment(now);
        let is_later = self.counted() == 0 || sent_at.plus(REPORT_DELAY_MS) >= self.last_counted_at;
        if let Some(known) = self.crashes.iter_mut().find(|crash| crash.process == process) {
            known.add_request(request, sent_at);
            return;
        }
        if self.crashes.len() >= MAX_ROW_CRASHES {
            let Some(at) = self.crashes.iter().position(|crash| !crash.is_counted) else { return };
            self.crashes.remove(at);
        }
        let requests = vec![request];
        self.crashes.push(RowCrash { process, is_counted: is_later, reported_at: now, requests });
        if is_later {
            self.last_counted_at = now;
        }
    }

    fn record_moment(&mut self, now: Millis) {
        if self.moments == 0 {
            self.first_moment = now;
        } else if now.since(self.last_moment) < MOMENT_MS {
            return;
        }
        self.moments += 1;
        self.last_moment = now;
    }

    /// Raises the level; returns whether it changed.
    pub fn raise(&mut self, level: Level, now: Millis) -> bool {
        if level <= self.level {
            return false;
        }
        self.level = level;
        if level == Level::Refused {
            self.retrial_at = now.plus(MIN_RETRIAL_MS);
        }
        true
    }

    /// Returns whether there were enough crashes to refuse it; `all` are those of all targets.
    pub fn has_enough_crashes(&self, all: &CrashMoments) -> bool {
        let required = if self.is_common() {
            MAX_COMMON_CRASHES
        } else if self.may_be_chance(all) {
            MAX_AMBIGUOUS_CRASHES
        } else {
            MAX_CRASHES
        };
        self.counted() >= required
    }

    /// Returns whether targets crash so often without it that its crashes may have happened by chance.
    fn may_be_chance(&self, all: &CrashMoments) -> bool {
        let moments = all.count_between(self.first_moment, self.last_moment);
        moments.saturating_sub(self.moments) >= MIN_MOMENTS_WITHOUT * self.moments
    }

    /// Returns whether many requests with it were in each of its crashes.
    fn is_common(&self) -> bool {
        let requests = self.crashes.iter().map(|crash| crash.requests.len());
        requests.sum::<usize>() >= MIN_COMMON_REQUESTS * self.crashes.len()
    }

    /// Returns whether all reports of the last crash are there.
    pub fn is_settled(&self, now: Millis) -> bool {
        now.since(self.last_counted_at) >= SETTLING_MS
    }

    /// Returns whether it will be refused unless a report shows another cause.
    pub fn is_settling(&self, all: &CrashMoments, now: Millis) -> bool {
        self.level < Level::Refused && self.has_enough_crashes(all) && !self.is_settled(now)
    }

    /// Returns whether it was in all crashes that count for another suspect. One beyond the first ones
    /// may have happened by chance, and tells them not apart.
    pub fn has_crashes_of(&self, other: &Row) -> bool {
        let has = |process: u64| self.crashes.iter().any(|crash| crash.process == process);
        let counted = other.crashes.iter().filter(|crash| crash.is_counted);
        let missing = counted.filter(|crash| !has(crash.process)).count();
        missing <= usize::from(other.counted() > MAX_CRASHES)
    }

    /// Returns whether a request with these suspects is refused.
    pub fn refuses(&self, suspects: &[Suspect]) -> bool {
        let is_in_request = |rival: &Suspect| suspects.binary_search(rival).is_ok();
        self.level == Level::Refused && self.rivals.iter().all(is_in_request)
    }

    /// Removes the crashes of their cause; returns whether the suspect is free now and was not before.
    pub fn explain(&mut self, cause: &Row) -> bool {
        self.crashes.retain(|crash| !cause.crashes.iter().any(|at| at.process == crash.process));
        let is_freed = self.counted() < TRIAL_CRASHES && self.level > Level::Free;
        if is_freed {
            self.level = Level::Free;
            self.rivals.clear();
            self.trial = None;
        }
        is_freed
    }

    /// Returns whether it is suspected of a crash of this process, so that another trial there would say
    /// nothing more.
    pub fn has_crashed(&self, process: u64) -> bool {
        self.level > Level::Free && self.crashes.iter().any(|crash| crash.process == process)
    }

    /// Returns whether another request is its trial.
    pub fn is_tried_by_other(&self, request: u64, now: Millis) -> bool {
        self.trial.is_some_and(|trial| trial.request != request && now < trial.until)
    }

    pub fn is_tried_at(&self, process: u64, now: Millis) -> bool {
        self.trial.is_some_and(|trial| trial.process == process && now < trial.until)
    }

    /// Starts a trial in a request with these suspects. The next one of a request that would be refused
    /// comes later than this one did.
    pub fn start_trial(&mut self, suspects: &[Suspect], process: u64, request: u64, now: Millis) {
        if self.level == Level::Free {
            return;
        }
        if self.refuses(suspects) {
            self.retrials += 1;
            let pause_ms = (MIN_RETRIAL_MS << self.retrials.min(8)).min(MAX_RETRIAL_MS);
            self.retrial_at = now.plus(pause_ms);
        }
        self.trial = Some(Trial { process, request, until: now.plus(TRIAL_MS) });
    }
}
