//! Finds out what crashes targets: a whole request, or one part of the prompts of many requests.
//!
//! A crash ends all requests that its target runs, so each of them, and each part of their prompts
//! but the last one, is only suspected. These rules tell the cause from what was there by chance:
//!
//! - What completes is sound. A completion takes all crashes from a suspect, and a part that has
//!   completed lately is not suspected at all. An answer that ends with its connection may have been
//!   broken off by a crash: it counts only if its target did not crash at that moment, and proves a part
//!   only when it has happened again.
//! - A crash counts only for requests that were sent after the crash counted before. Targets that
//!   end at the same moment count once, and so do requests that ran when the first one crashed.
//! - From [`TRIAL_CRASHES`] on a suspect runs as a trial: one at a time, and not at a target at which
//!   another suspect is tried, so that the next crash says which of them it was, nor at one at which it
//!   was in a crash: a target that stays counts once, however often it breaks off.
//!
//! After [`MAX_CRASHES`] a suspect is refused, once all reports of the last crash are there. Others
//! that were in all its crashes are its rivals: only requests with all of them are refused, and one
//! with some of them is a trial. What is refused without a rival explains its crashes, so that they no
//! longer count for others.
//!
//! What many requests of each crash have in common is hardly the cause, which ends a target with the
//! first of them that begins; it takes twice as many crashes. It takes some more, too, to refuse what may
//! have been in its crashes by chance, since targets crash more often without it.
//!
//! A refusal is tried again, ever less often, and ends when a trial completes. It ends by itself when
//! nobody has sent such a request for [`RETENTION_MS`].

use serde::{Deserialize, Serialize};

use super::super::rank;
use super::moments::CrashMoments;
use super::recent_suspects::RecentSuspects;
use super::row::Row;
use super::suspect::{Level, Suspect, Suspicion, TRIAL_CRASHES};
use crate::time::Millis;

/// Time for which a suspect is tracked after its last crash or refused request, in milliseconds.
pub const RETENTION_MS: u64 = 600_000;

/// Time around the end of a connection in which a reported crash of its target may be what ended it,
/// in milliseconds.
const DOUBT_MS: u64 = 200;

/// The same for a completion of unknown age, in milliseconds.
const UNDATED_DOUBT_MS: u64 = 2_000;

/// Time after which the fleet is told once more that a refusal is needed, in milliseconds.
const RENEWAL_MS: u64 = 20_000;

/// Maximum number of suspects; those with the fewest crashes are evicted first, then the oldest.
const MAX_ROWS: usize = 4_096;

/// Number of suspects that are evicted together.
const EVICTED_ROWS: usize = 256;

/// Maximum number of rivals of a suspect that are kept.
const MAX_RIVALS: usize = 16;

/// Maximum number of crashed processes that are remembered.
const MAX_CRASHED: usize = 256;

/// Crash of a target while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Process of the target, another one after each start.
    pub target: String,
    /// Suspects of the request, sorted.
    pub suspects: Vec<Suspect>,
    /// Time since the request was sent, in milliseconds.
    pub sent_ago_ms: u64,
}

/// Completion of a request with suspects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Process of the target.
    pub target: String,
    /// Suspects of the request, sorted.
    pub suspects: Vec<Suspect>,
    /// Whether the answer said itself that it is complete. One that ends with its connection may have
    /// been broken off by a crash.
    pub is_certain: bool,
    /// Time since the answer ended, in milliseconds. Older builds do not say.
    #[serde(default)]
    pub ended_ago_ms: Option<u64>,
}

impl Completion {
    /// Returns whether a crash of its target at this time may be what ended the answer.
    fn may_be_crash(&self, crashed_at: Millis, now: Millis) -> bool {
        match self.ended_ago_ms {
            Some(ended_ago_ms) => now.since(crashed_at).abs_diff(ended_ago_ms) < DOUBT_MS,
            None => now.since(crashed_at) < UNDATED_DOUBT_MS,
        }
    }
}

/// Request that is to run as a trial, and its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// Suspects of the request, sorted.
    pub suspects: Vec<Suspect>,
    /// What the asking process knows of them.
    pub suspicions: Vec<Suspicion>,
    /// Crash of the request's attempt before, whose report may still be under way.
    pub crash: Option<Crash>,
    /// Process of the target.
    pub target: String,
    /// Digest of the request's id: its own trial does not keep it from another target.
    pub request: u64,
    /// Whether no other target is left for the request. Older builds do not say.
    #[serde(default)]
    pub is_last_target: bool,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// It may run.
    Run,
    /// It may run as a trial, which has to be granted.
    AskTrial,
    /// A suspect in it is tried just now.
    Wait,
    /// Another suspect is tried at the chosen target, or one in it was in a crash there.
    OtherTarget,
    /// It is refused.
    Refuse,
}

/// Table of what may crash targets.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Sorted by suspect.
    rows: Vec<Row>,
    /// Parts that have certainly completed, or again and again.
    sound: RecentSuspects,
    /// Parts of an answer that ended with its connection.
    completed_once: RecentSuspects,
    /// Digests of crashed processes with the times, oldest first.
    crashed: Vec<(u64, Millis)>,
    moments: CrashMoments,
}

impl CrashTracker {
    /// Returns the suspects without the parts that have completed lately.
    pub fn unproven(&self, suspects: &[Suspect]) -> Vec<Suspect> {
        suspects.iter().copied().filter(|suspect| !self.sound.contains(*suspect)).collect()
    }

    /// Records a crash; returns the suspects whose level it changed.
    ///
    /// [`CrashTracker::settle`] refuses suspects once all reports of the crash are there.
    pub fn record_crash(&mut self, crash: &Crash, now: Millis) -> Vec<Suspicion> {
        self.expire(now);
        let process = rank::key_of(&crash.target);
        self.record_end(process, now);
        self.moments.record(now);
        let sent_at = Millis(now.0.saturating_sub(crash.sent_ago_ms));
        let whole = crash.suspects.iter().find(|suspect| !suspect.is_part());
        let request = whole.map_or(0, |whole| whole.0 as u32);
        let mut changes = Vec::new();
        for suspect in self.unproven(&crash.suspects) {
            let row = self.row_mut(suspect, now);
            row.add_crash(process, request, sent_at, now);
            if row.counted() >= TRIAL_CRASHES && row.raise(Level::Tried, now) {
                changes.push(row.suspicion());
            }
        }
        changes
    }

    /// Records that a process has crashed.
    fn record_end(&mut self, process: u64, now: Millis) {
        self.crashed.retain(|(other, _)| *other != process);
        if self.crashed.len() >= MAX_CRASHED {
            self.crashed.remove(0);
        }
        self.crashed.push((process, now));
    }

    /// Refuses the suspects with enough crashes, and updates the rivals of those that are refused;
    /// returns what changed.
    pub fn settle(&mut self, now: Millis) -> Vec<Suspicion> {
        let is_due = |row: &&Row| {
            let is_final = row.level == Level::Refused && row.rivals.is_empty();
            !is_final && row.is_settled(now) && row.has_enough_crashes(&self.moments)
        };
        let mut due: Vec<(usize, Suspect)> =
            self.rows.iter().filter(is_due).map(|row| (row.counted(), row.suspect)).collect();
        due.sort_by_key(|(crashes, _)| std::cmp::Reverse(*crashes));
        let mut changes = Vec::new();
        for (_, suspect) in due {
            let Ok(at) = self.position(suspect) else { continue };
            if !self.rows[at].has_enough_crashes(&self.moments) {
                continue;
            }
            let rivals = self.rivals(&self.rows[at]);
            let row = &mut self.rows[at];
            if !row.raise(Level::Refused, now) && row.rivals == rivals {
                continue;
            }
            row.rivals = rivals;
            changes.push(row.suspicion());
            if row.rivals.is_empty() {
                changes.extend(self.explain(at));
            }
        }
        changes
    }

    /// Returns whether a completion counts.
    pub fn is_completion(&self, completion: &Completion, now: Millis) -> bool {
        let process = rank::key_of(&completion.target);
        let is_end =
            |(other, at): &(u64, Millis)| *other == process && completion.may_be_crash(*at, now);
        completion.is_certain || !self.crashed.iter().any(is_end)
    }

    /// Records that a request has completed, which takes all crashes from its suspects; returns those
    /// that were tried or refused. Its parts are sound if that is certain.
    ///
    /// An answer that ends with its connection may have been broken off: it counts for nothing if its
    /// target has crashed lately.
    pub fn record_sound(&mut self, completion: &Completion, now: Millis) -> Vec<Suspicion> {
        if !self.is_completion(completion, now) {
            return Vec::new();
        }
        for part in completion.suspects.iter().filter(|suspect| suspect.is_part()) {
            if completion.is_certain || self.completed_once.contains(*part) {
                self.sound.insert(*part, now);
            } else {
                self.completed_once.insert(*part, now);
            }
        }
        let is_cleared = |row: &mut Row| completion.suspects.binary_search(&row.suspect).is_ok();
        let cleared: Vec<Row> = self.rows.extract_if(.., is_cleared).collect();
        for row in &cleared {
            self.forget_rival(row.suspect);
        }
        let suspected = cleared.iter().filter(|row| row.level > Level::Free);
        suspected.map(|row| Suspicion { level: Level::Free, ..row.suspicion() }).collect()
    }

    /// Applies what another process knows of a suspect; returns whether that is new.
    pub fn apply(&mut self, told: &Suspicion, now: Millis) -> bool {
        self.expire(now);
        if told.level == Level::Free {
            let before = self.rows.len();
            self.rows.retain(|row| row.suspect != told.suspect);
            self.forget_rival(told.suspect);
            return self.rows.len() < before;
        }
        if self.sound.contains(told.suspect) {
            return false;
        }
        let row = self.row_mut(told.suspect, now);
        row.touched_at = now;
        let is_raised = row.raise(told.level, now);
        let has_other_rivals = row.level == told.level && row.rivals != told.rivals;
        if is_raised || has_other_rivals {
            row.rivals = told.rivals.clone();
        }
        is_raised || has_other_rivals
    }

    /// Returns those of the suspected parts that are known to be sound.
    pub fn certainly_sound(&self, told: &[Suspicion]) -> Vec<Suspect> {
        let told = told.iter().filter(|told| told.level > Level::Free);
        let suspects = told.map(|told| told.suspect);
        suspects.filter(|suspect| self.sound.contains(*suspect)).collect()
    }

    /// Decides on a request with these suspects, which are sorted.
    pub fn decide(&self, suspects: &[Suspect], now: Millis) -> Decision {
        let rows = || suspects.iter().filter_map(|suspect| self.row(*suspect));
        if rows().any(|row| row.refuses(suspects) && now < row.retrial_at) {
            return Decision::Refuse;
        }
        match rows().any(|row| row.level > Level::Free) {
            true => Decision::AskTrial,
            false => Decision::Run,
        }
    }

    /// Decides on a request with these suspects at a target, and begins their trial if it may run.
    /// `request` is the digest of its id.
    pub fn try_at(
        &mut self,
        suspects: &[Suspect],
        target: &str,
        request: u64,
        now: Millis,
    ) -> Decision {
        self.begin_trial(suspects, target, request, false, now)
    }

    /// Decides as [`CrashTracker::try_at`] does, also at a target that is the last one left.
    pub fn try_request(&mut self, req: &TrialRequest, now: Millis) -> Decision {
        self.begin_trial(&req.suspects, &req.target, req.request, req.is_last_target, now)
    }

    fn begin_trial(
        &mut self,
        suspects: &[Suspect],
        target: &str,
        request: u64,
        is_last_target: bool,
        now: Millis,
    ) -> Decision {
        let decision = self.decide(suspects, now);
        if decision != Decision::AskTrial {
            return decision;
        }
        let process = rank::key_of(target);
        for row in &self.rows {
            let is_in_request = suspects.binary_search(&row.suspect).is_ok();
            if is_in_request
                && (row.is_tried_by_other(request, now) || row.is_settling(&self.moments, now))
            {
                return Decision::Wait;
            }
            if is_in_request && !is_last_target && row.has_crashed(process) {
                return Decision::OtherTarget;
            }
            if !is_in_request && row.is_tried_at(process, now) {
                return Decision::OtherTarget;
            }
        }
        for suspect in suspects {
            if let Ok(at) = self.position(*suspect) {
                self.rows[at].start_trial(suspects, process, request, now);
            }
        }
        Decision::Run
    }

    /// Records that a request was refused, which keeps its refusal for longer; returns what the rest
    /// of the fleet has to be told once more for the same reason.
    pub fn record_refused(&mut self, suspects: &[Suspect], now: Millis) -> Vec<Suspicion> {
        let mut due = Vec::new();
        for suspect in suspects {
            let Ok(at) = self.position(*suspect) else { continue };
            let row = &mut self.rows[at];
            row.touched_at = now;
            if row.level == Level::Refused && now.since(row.told_at) >= RENEWAL_MS {
                row.told_at = now;
                due.push(row.suspicion());
            }
        }
        due
    }

    /// Returns what is known against a request's suspects.
    pub fn suspicions(&self, suspects: &[Suspect]) -> Vec<Suspicion> {
        let rows = suspects.iter().filter_map(|suspect| self.row(*suspect));
        rows.filter(|row| row.level > Level::Free).map(Row::suspicion).collect()
    }

    /// Returns all suspects that are refused.
    pub fn refused(&self, now: Millis) -> Vec<Suspicion> {
        let is_refused =
            |row: &&Row| row.level == Level::Refused && now.since(row.touched_at) < RETENTION_MS;
        self.rows.iter().filter(is_refused).map(Row::suspicion).collect()
    }

    /// Takes the crashes of a refused suspect from all others; returns those that are free now.
    fn explain(&mut self, at: usize) -> Vec<Suspicion> {
        let cause = self.rows[at].clone();
        let others = self.rows.iter_mut().filter(|row| row.suspect != cause.suspect);
        let freed = others.filter_map(|row| row.explain(&cause).then(|| row.suspicion()));
        let freed: Vec<Suspicion> = freed.collect();
        for change in &freed {
            self.forget_rival(change.suspect);
        }
        freed
    }

    /// Returns the others that were in all counted crashes of a suspect.
    fn rivals(&self, row: &Row) -> Vec<Suspect> {
        let is_rival = |other: &&Row| other.suspect != row.suspect && other.has_crashes_of(row);
        self.rows.iter().filter(is_rival).map(|other| other.suspect).take(MAX_RIVALS).collect()
    }

    fn forget_rival(&mut self, rival: Suspect) {
        for row in &mut self.rows {
            row.rivals.retain(|other| *other != rival);
        }
    }

    fn expire(&mut self, now: Millis) {
        self.rows.retain(|row| now.since(row.touched_at) < RETENTION_MS);
    }

    fn position(&self, suspect: Suspect) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&suspect, |row| row.suspect)
    }

    fn row(&self, suspect: Suspect) -> Option<&Row> {
        Some(&self.rows[self.position(suspect).ok()?])
    }

    /// Returns the row of a suspect; adds it if it is missing.
    fn row_mut(&mut self, suspect: Suspect, now: Millis) -> &mut Row {
        if self.rows.len() >= MAX_ROWS && self.position(suspect).is_err() {
            self.evict();
        }
        let at = match self.position(suspect) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, Row::new(suspect, now));
                at
            }
        };
        &mut self.rows[at]
    }

    /// Removes the rows with the least suspicion, the oldest of them, so that there is room for others.
    fn evict(&mut self) {
        let weight = |row: &Row| (row.level, row.counted(), row.touched_at);
        self.rows.sort_by_cached_key(|row| std::cmp::Reverse(weight(row)));
        self.rows.truncate(MAX_ROWS - EVICTED_ROWS);
        self.rows.sort_by_key(|row| row.suspect);
    }
}
