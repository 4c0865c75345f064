//! Requests that crash their target, known by fingerprint.
//!
//! Each crash has an identity. A fingerprint that was running when a target
//! crashed carries that identity until it has run to its end with no other
//! request beside it; with two of them it is refused. Rows only grow, so that
//! copies from other sidecars and from the store merge in any order.

use serde::{Deserialize, Serialize};

/// Crashes after which a fingerprint is refused.
pub const MAX_CRASHES: usize = 2;
/// Crash identities kept for a fingerprint.
const MAX_IDS: usize = 8;
/// Fingerprints kept; the least recently touched goes first.
const MAX_ROWS: usize = 4_096;

/// Identity of one crash of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId(pub u64);

/// What is known of one fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonRow {
    pub fingerprint: u128,
    /// Crashes beside which it ran, sorted.
    pub crashes: Vec<CrashId>,
    /// Those of them that it was cleared of, sorted.
    pub cleared: Vec<CrashId>,
    /// Wall-clock time of the last change, in milliseconds; for expiry only.
    pub touched_ms: u64,
}

impl PoisonRow {
    /// Crashes that the fingerprint is still suspected of.
    pub fn suspicions(&self) -> usize {
        let open = |id: &&CrashId| self.cleared.binary_search(id).is_err();
        self.crashes.iter().filter(open).count()
    }
}

/// How a request is to be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonDecision {
    /// Beside others.
    RunShared,
    /// With no other request beside it.
    RunAlone,
    /// Not at all.
    Refuse,
}

/// Everything known, sorted by fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoisonTable {
    rows: Vec<PoisonRow>,
}

impl PoisonTable {
    /// How a request with this fingerprint is to be run.
    pub fn decision(&self, fingerprint: u128) -> PoisonDecision {
        let suspicions = self.row(fingerprint).map_or(0, PoisonRow::suspicions);
        match suspicions {
            0 => PoisonDecision::RunShared,
            _ if suspicions < MAX_CRASHES => PoisonDecision::RunAlone,
            _ => PoisonDecision::Refuse,
        }
    }

    /// Every row.
    pub fn rows(&self) -> &[PoisonRow] {
        &self.rows
    }

    /// Records that a fingerprint ran when a target crashed; answers its row.
    pub fn record_crash(&mut self, fingerprint: u128, crash: CrashId, now_ms: u64) -> PoisonRow {
        let row = self.row_mut(fingerprint);
        insert(&mut row.crashes, crash);
        row.touched_ms = row.touched_ms.max(now_ms);
        let changed = row.clone();
        self.shrink();
        changed
    }

    /// Clears a fingerprint that ran alone to its end; answers its row if it changed.
    pub fn clear(&mut self, fingerprint: u128, now_ms: u64) -> Option<PoisonRow> {
        let at = self.position(fingerprint).ok()?;
        let row = &mut self.rows[at];
        if row.suspicions() == 0 {
            return None;
        }
        row.cleared = row.crashes.clone();
        row.touched_ms = row.touched_ms.max(now_ms);
        Some(row.clone())
    }

    /// Takes in rows from elsewhere; tells whether anything was new.
    pub fn merge(&mut self, rows: &[PoisonRow]) -> bool {
        let mut changed = false;
        for other in rows {
            let row = self.row_mut(other.fingerprint);
            for id in &other.crashes {
                changed |= insert(&mut row.crashes, *id);
            }
            for id in &other.cleared {
                changed |= insert(&mut row.cleared, *id);
            }
            row.touched_ms = row.touched_ms.max(other.touched_ms);
        }
        self.shrink();
        changed
    }

    /// Forgets what was touched before `since_ms`.
    pub fn expire(&mut self, since_ms: u64) {
        self.rows.retain(|row| row.touched_ms >= since_ms);
    }

    fn shrink(&mut self) {
        while self.rows.len() > MAX_ROWS {
            let oldest = (0..self.rows.len()).min_by_key(|at| self.rows[*at].touched_ms);
            self.rows.remove(oldest.expect("the table is not empty"));
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

fn insert(ids: &mut Vec<CrashId>, id: CrashId) -> bool {
    match ids.binary_search(&id) {
        Err(at) if ids.len() < MAX_IDS => {
            ids.insert(at, id);
            true
        }
        Ok(_) | Err(_) => false,
    }
}
