//! Prompt parts in a target's cache, with the latest changes for readers that know earlier ones.

use std::collections::VecDeque;

use super::known::Dated;
use super::news::PartsChange;
use crate::time::Millis;

/// Number of parts of one target that are kept; further ones count as not cached.
pub const MAX_PARTS: usize = 4_096;

/// Number of changes that are kept for readers; others read all parts.
const MAX_CHANGES: usize = 512;

/// Cached parts of one target.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    /// Sorted list with the time at which it held; `None` while it is not known.
    known: Option<Dated<Vec<u64>>>,
    /// Changed parts with the numbers of their changes, in their order.
    changes: VecDeque<(u64, u64)>,
    /// Number of the change from which on `changes` is complete.
    complete_since: u64,
}

impl CachedParts {
    /// Returns the parts with the time at which they held.
    pub fn known(&self) -> Option<&Dated<Vec<u64>>> {
        self.known.as_ref()
    }

    /// Forgets the parts.
    pub fn forget(&mut self, sequence: u64) {
        self.known = None;
        self.changes.clear();
        self.complete_since = sequence;
    }

    /// Applies a change with its number; returns whether the parts are known now.
    pub fn apply(&mut self, change: &PartsChange, sequence: u64, at: Millis) -> bool {
        let mut parts = self.known.take().map(|known| known.value);
        let before = parts.clone().unwrap_or_default();
        if !change.apply(&mut parts) {
            return false;
        }
        let mut parts = parts.unwrap_or_default();
        parts.truncate(MAX_PARTS);
        match change {
            PartsChange::Whole(_) => {
                self.changes.clear();
                self.complete_since = sequence;
            }
            PartsChange::Changed { added, removed } => {
                for part in added.iter().chain(removed) {
                    let was_known = before.binary_search(part).is_ok();
                    if was_known != parts.binary_search(part).is_ok() {
                        self.changes.push_back((sequence, *part));
                    }
                }
            }
        }
        while self.changes.len() > MAX_CHANGES {
            let dropped = self.changes.pop_front();
            self.complete_since = dropped.map_or(sequence, |(number, _)| number);
        }
        self.known = Some(Dated { value: parts, at });
        true
    }

    /// Returns what has changed after a number; `None` while the parts are not known.
    pub fn changed_since(&self, sequence: u64) -> Option<PartsChange> {
        let parts = &self.known.as_ref()?.value;
        if sequence < self.complete_since {
            return Some(PartsChange::Whole(parts.clone()));
        }
        let newer = self.changes.iter().filter(|(number, _)| *number > sequence);
        let mut changed: Vec<u64> = newer.map(|(_, part)| *part).collect();
        changed.sort_unstable();
        changed.dedup();
        let (added, removed) =
            changed.into_iter().partition(|part| parts.binary_search(part).is_ok());
        Some(PartsChange::Changed { added, removed })
    }
}
