//! Requests that were refused and for how long their callers were asked to wait, to find those that
//! come again before that time.

use std::collections::VecDeque;

use crate::time::Millis;

/// Largest number of refused requests that are known.
const MAX_REFUSED: usize = 512;

/// Refused requests, by the fingerprint of what they ask for.
#[derive(Debug, Default)]
pub struct EarlyRepeats {
    /// Fingerprint and end of the wait, the latest refusal last.
    refused: VecDeque<(u64, Millis)>,
}

impl EarlyRepeats {
    /// Records that a request was refused until a time.
    pub fn record_refusal(&mut self, fingerprint: u64, until: Millis) {
        if self.refused.len() >= MAX_REFUSED {
            self.refused.pop_front();
        }
        self.refused.push_back((fingerprint, until));
    }

    /// Returns whether a request was refused and comes again too early.
    pub fn is_early(&mut self, fingerprint: u64, now: Millis) -> bool {
        while self.refused.front().is_some_and(|(_, until)| *until <= now) {
            self.refused.pop_front();
        }
        self.refused.iter().any(|(refused, until)| *refused == fingerprint && now < *until)
    }
}
