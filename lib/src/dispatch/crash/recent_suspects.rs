//! Suspects that were recorded lately, in bounded memory.
//!
//! A suspect is kept for one to two times [`GENERATION_MS`] after it was recorded, as long as callers
//! do not send more than fit.

use super::suspect::Suspect;
use crate::time::Millis;

/// Time after which a new generation begins, in milliseconds.
const GENERATION_MS: u64 = 120_000;

/// Maximum number of suspects of a generation.
const MAX_SUSPECTS: usize = 4_096;

/// Set of suspects in two generations.
#[derive(Debug, Default)]
pub struct RecentSuspects {
    /// Sorted.
    current: Vec<Suspect>,
    /// Sorted.
    previous: Vec<Suspect>,
    begun_at: Millis,
}

impl RecentSuspects {
    /// Adds a suspect.
    pub fn insert(&mut self, suspect: Suspect, now: Millis) {
        if self.current.len() >= MAX_SUSPECTS || now.since(self.begun_at) >= GENERATION_MS {
            self.previous = std::mem::take(&mut self.current);
            self.begun_at = now;
        }
        if let Err(at) = self.current.binary_search(&suspect) {
            self.current.insert(at, suspect);
        }
    }

    /// Removes a suspect; returns whether it was there.
    pub fn remove(&mut self, suspect: Suspect) -> bool {
        let mut is_removed = false;
        for generation in [&mut self.current, &mut self.previous] {
            if let Ok(at) = generation.binary_search(&suspect) {
                generation.remove(at);
                is_removed = true;
            }
        }
        is_removed
    }

    /// Returns whether a suspect was added lately.
    pub fn contains(&self, suspect: Suspect) -> bool {
        self.current.binary_search(&suspect).is_ok()
            || self.previous.binary_search(&suspect).is_ok()
    }
}
