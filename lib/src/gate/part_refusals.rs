//! Since when a gate refuses requests because of parts of their prompts.
//!
//! A wrong refusal has to end, also if every request with the part is refused: after
//! [`TRIAL_INTERVAL_MS`] without a crash of it one request may run alone.

use crate::poison::PoisonRow;
use crate::time::Millis;

/// Time after which a request with a refused part runs alone, in milliseconds.
pub const TRIAL_INTERVAL_MS: u64 = 600_000;

/// Maximum number of parts; one that does not fit is refused without a trial.
const MAX_PARTS: usize = 4_096;

/// Refused parts.
#[derive(Debug, Default)]
pub(super) struct PartRefusals {
    /// Each with the time since which it is refused, sorted.
    since: Vec<(u128, Millis)>,
}

impl PartRefusals {
    /// Returns whether a request with these parts is refused now; if not, it is their trial.
    pub fn refuse(&mut self, parts: &[u128], now: Millis) -> bool {
        let is_due = parts.iter().any(|part| {
            let at = self.since.binary_search_by_key(part, |(other, _)| *other);
            at.is_ok_and(|at| now.since(self.since[at].1) >= TRIAL_INTERVAL_MS)
        });
        for part in parts {
            match self.since.binary_search_by_key(part, |(other, _)| *other) {
                Ok(at) if is_due => self.since[at].1 = now,
                Err(at) if self.since.len() < MAX_PARTS => self.since.insert(at, (*part, now)),
                Ok(_) | Err(_) => {}
            }
        }
        !is_due
    }

    /// Refuses the parts of these rows for longer, after a crash of theirs at another target.
    pub fn extend(&mut self, rows: &[PoisonRow], now: Millis) {
        for row in rows.iter().filter(|row| row.uncleared_crashes() > 0) {
            if let Ok(at) = self.since.binary_search_by_key(&row.fingerprint, |(part, _)| *part) {
                self.since[at].1 = now;
            }
        }
    }
}
