//! Finds poison requests, which crash their target, by fingerprint, and parts of prompts that do so in
//! many requests.
//!
//! A sidecar's gate asks it how an arriving request may run.
//!
//! Each crash has an identifier. It is recorded for every fingerprint that was
//! running when the target crashed, and cleared once the fingerprint has run alone
//! to its end. A fingerprint with two uncleared crashes is refused. Rows only grow, so
//! that copies from other sidecars and from the store can be merged in any order.
//!
//! The parts of a prompt, but for the last one, have rows of their own. A part is cleared by any request
//! that completes, runs alone from two uncleared crashes on, and is refused after three, of which
//! one has to have happened while its request ran alone. Others that were in all its crashes are its
//! rivals: only requests with all of them are refused.

use serde::{Deserialize, Serialize};

/// Number of uncleared crashes after which a fingerprint is refused.
pub const MAX_CRASHES: usize = 2;
/// Number of uncleared crashes from which on a request with a part runs alone.
const MIN_ALONE_PART_CRASHES: usize = 2;
/// Number of uncleared crashes after which a part is refused.
pub const MAX_PART_CRASHES: usize = 3;
/// Maximum number of crash identifiers of a row.
const MAX_CRASHES_PER_ROW: usize = 8;
/// Maximum number of cleared crash identifiers of a row; they outlive the crashes, which other
/// copies of the row may still list.
const MAX_CLEARED_PER_ROW: usize = 64;
/// Maximum number of fingerprints; those with the fewest uncleared crashes are evicted first, then the
/// least recently changed one.
const MAX_ROWS: usize = 4_096;

/// Identifier of one crash of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Returns the identifier of a crash with these random bits; the last one says whether a single
    /// request ran.
    pub fn new(bits: u64, ran_alone: bool) -> CrashId {
        CrashId(bits & !1 | u64::from(ran_alone))
    }

    fn ran_alone(self) -> bool {
        self.0 & 1 == 1
    }
}

/// Digests of a request by which its crashes are counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestDigests {
    /// Digest of the whole request.
    pub fingerprint: u128,
    /// Digests of the parts of its prompt, without the last one.
    pub parts: Vec<u128>,
}

impl RequestDigests {
    fn contains(&self, digest: u128) -> bool {
        self.fingerprint == digest || self.parts.contains(&digest)
    }
}

/// Crashes of one fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonRow {
    /// Digest of the request.
    pub fingerprint: u128,
    /// Crashes during which it ran, sorted.
    pub crashes: Vec<CrashId>,
    /// Crashes that it was cleared of, sorted.
    pub cleared: Vec<CrashId>,
    /// Wall-clock time of the last change in Unix milliseconds, used for expiry only.
    pub touched_ms: u64,
}

impl PoisonRow {
    /// Returns the number of uncleared crashes.
    pub fn uncleared_crashes(&self) -> usize {
        self.uncleared().count()
    }

    fn uncleared(&self) -> impl Iterator<Item = CrashId> + '_ {
        let is_uncleared = |id: &CrashId| self.cleared.binary_search(id).is_err();
        self.crashes.iter().copied().filter(is_uncleared)
    }

    /// Adds a crash and returns whether the row changed. In a full row it takes the place of a
    /// cleared one; a row without one is refused already.
    fn add_crash(&mut self, id: CrashId) -> bool {
        if self.crashes.len() >= MAX_CRASHES_PER_ROW {
            let is_cleared = |id: &CrashId| self.cleared.binary_search(id).is_ok();
            let replaced = self.crashes.iter().position(is_cleared);
            let Some(at) = replaced.filter(|_| !is_cleared(&id)) else { return false };
            if self.crashes.binary_search(&id).is_ok() {
                return false;
            }
            self.crashes.remove(at);
        }
        insert(&mut self.crashes, id, MAX_CRASHES_PER_ROW)
    }

    /// Adds a cleared crash and returns whether the row changed. In a full row it takes the place
    /// of one that the row no longer lists as a crash.
    fn add_cleared(&mut self, id: CrashId) -> bool {
        if self.cleared.len() >= MAX_CLEARED_PER_ROW && self.cleared.binary_search(&id).is_err() {
            let is_unlisted = |id: &CrashId| self.crashes.binary_search(id).is_err();
            let is_needed = !is_unlisted(&id);
            let replaced = self.cleared.iter().position(is_unlisted);
            let Some(at) = replaced.filter(|_| is_needed) else { return false };
            self.cleared.remove(at);
        }
        insert(&mut self.cleared, id, MAX_CLEARED_PER_ROW)
    }
}

/// Decision on how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PoisonDecision {
    /// Together with other requests.
    RunShared,
    /// Only while no other request runs.
    RunAlone,
    /// Not at all.
    Refuse,
}

/// Table of all fingerprints with recorded crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoisonTable {
    /// Sorted by fingerprint.
    rows: Vec<PoisonRow>,
}

impl PoisonTable {
    /// Returns how a request with this fingerprint may run.
    pub fn decision(&self, fingerprint: u128) -> PoisonDecision {
        let uncleared_crashes = self.row(fingerprint).map_or(0, PoisonRow::uncleared_crashes);
        match uncleared_crashes {
            0 => PoisonDecision::RunShared,
            _ if uncleared_crashes < MAX_CRASHES => PoisonDecision::RunAlone,
            _ => PoisonDecision::Refuse,
        }
    }

    /// Returns how a request with these digests may run.
    pub fn decision_on(&self, digests: &RequestDigests) -> PoisonDecision {
        let parts = digests.parts.iter().map(|part| self.part_decision(*part, digests));
        parts.fold(self.decision(digests.fingerprint), PoisonDecision::max)
    }

    /// Returns how a request with these digests may run because of one part.
    fn part_decision(&self, part: u128, digests: &RequestDigests) -> PoisonDecision {
        let Some(row) = self.row(part) else { return PoisonDecision::RunShared };
        let crashes = row.uncleared_crashes();
        if crashes < MIN_ALONE_PART_CRASHES {
            return PoisonDecision::RunShared;
        }
        match crashes >= MAX_PART_CRASHES && self.is_told_apart(row, digests) {
            true => PoisonDecision::Refuse,
            false => PoisonDecision::RunAlone,
        }
    }

    /// Returns whether a part has crashed a target alone, and all that may be the cause in its place are
    /// in the request too.
    fn is_told_apart(&self, row: &PoisonRow, digests: &RequestDigests) -> bool {
        let crashes: Vec<CrashId> = row.uncleared().collect();
        let is_rival =
            |other: &&PoisonRow| crashes.iter().all(|id| other.uncleared().any(|at| at == *id));
        crashes.iter().any(|id| id.ran_alone())
            && self.rows.iter().filter(is_rival).all(|rival| digests.contains(rival.fingerprint))
    }

    /// Returns all rows, sorted by fingerprint.
    pub fn rows(&self) -> &[PoisonRow] {
        &self.rows
    }

    /// Records that a fingerprint ran when a target crashed, and returns its row.
    pub fn record_crash(&mut self, fingerprint: u128, crash: CrashId, now_ms: u64) -> PoisonRow {
        let row = self.row_mut(fingerprint);
        row.add_crash(crash);
        row.touched_ms = row.touched_ms.max(now_ms);
        let updated = row.clone();
        self.evict_oldest();
        updated
    }

    /// Clears a fingerprint that ran alone to its end, and returns its row if it changed.
    pub fn clear(&mut self, fingerprint: u128, now_ms: u64) -> Option<PoisonRow> {
        let at = self.position(fingerprint).ok()?;
        let row = &mut self.rows[at];
        if row.uncleared_crashes() == 0 {
            return None;
        }
        let crashes = row.crashes.clone();
        for crash in crashes {
            row.add_cleared(crash);
        }
        row.touched_ms = row.touched_ms.max(now_ms);
        Some(row.clone())
    }

    /// Merges rows from other sidecars or the store; returns whether a crash or clearance was
    /// new.
    pub fn merge(&mut self, rows: &[PoisonRow]) -> bool {
        let mut changed = false;
        for other in rows {
            let row = self.row_mut(other.fingerprint);
            for id in &other.cleared {
                changed |= row.add_cleared(*id);
            }
            for id in &other.crashes {
                changed |= row.add_crash(*id);
            }
            row.touched_ms = row.touched_ms.max(other.touched_ms);
        }
        self.evict_oldest();
        changed
    }

    /// Drops rows that were last changed before `since_ms`, in Unix milliseconds.
    pub fn expire(&mut self, since_ms: u64) {
        self.rows.retain(|row| row.touched_ms >= since_ms);
    }

    /// Drops all but the `count` rows that were last changed.
    pub fn keep_newest(&mut self, count: usize) {
        self.rows.sort_by_key(|row| std::cmp::Reverse(row.touched_ms));
        self.rows.truncate(count);
        self.rows.sort_by_key(|row| row.fingerprint);
    }

    /// Drops the row with the fewest uncleared crashes, the oldest of them, if there are too many.
    fn evict_oldest(&mut self) {
        while self.rows.len() > MAX_ROWS {
            let weight = |row: &PoisonRow| (row.uncleared_crashes(), row.touched_ms);
            let least = (0..self.rows.len()).min_by_key(|at| weight(&self.rows[*at]));
            self.rows.remove(least.unwrap_or_default());
        }
    }

    fn position(&self, fingerprint: u128) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&fingerprint, |row| row.fingerprint)
    }

    fn row(&self, fingerprint: u128) -> Option<&PoisonRow> {
        Some(&self.rows[self.position(fingerprint).ok()?])
    }

    fn row_mut(&mut self, fingerprint: u128) -> &mut PoisonRow {
        let at = match self.position(fingerprint) {
            Ok(at) => at,
            Err(at) => {
                let (crashes, cleared) = (Vec::new(), Vec::new());
                self.rows.insert(at, PoisonRow { fingerprint, crashes, cleared, touched_ms: 0 });
                at
            }
        };
        &mut self.rows[at]
    }
}

/// Adds an identifier; returns false if the list already contains it or has `max` already.
fn insert(ids: &mut Vec<CrashId>, id: CrashId, max: usize) -> bool {
    match ids.binary_search(&id) {
        Err(at) if ids.len() < max => {
            ids.insert(at, id);
            true
        }
        Ok(_) | Err(_) => false,
    }
}
