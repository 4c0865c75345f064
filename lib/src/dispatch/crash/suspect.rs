//! What may have crashed targets, and what processes tell each other of it.

use serde::{Deserialize, Serialize};

/// Number of crashes after which a suspect is refused.
pub const MAX_CRASHES: usize = 3;

/// Number of crashes from which on a suspect runs as a trial.
pub const TRIAL_CRASHES: usize = 2;

/// Time in which all reports of a crash arrive, in milliseconds.
pub const SETTLING_MS: u64 = 50;

/// Maximum number of parts of one prompt that are tracked.
const MAX_PARTS: usize = 64;

/// What may have crashed a target: the digest of a prompt's part or of a whole request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Suspect(pub u128);

impl Suspect {
    /// Returns the suspect for a part of prompts.
    pub fn part(id: u64) -> Suspect {
        Suspect(u128::from(id))
    }

    /// Returns whether it is a part: the digest of a whole request is longer.
    pub fn is_part(self) -> bool {
        self.0 <= u128::from(u64::MAX)
    }
}

/// Returns the suspects of a request, sorted: the whole request and the parts of its prompt, but not
/// the last one, which belongs to the request or its session.
pub fn suspects_of(fingerprint: u128, parts: &[u64]) -> Vec<Suspect> {
    let shared = &parts[..parts.len().saturating_sub(1)];
    let parts = shared.iter().take(MAX_PARTS).map(|part| Suspect::part(*part));
    let mut suspects: Vec<Suspect> = parts.chain([Suspect(fingerprint)]).collect();
    suspects.sort();
    suspects.dedup();
    suspects
}

/// What processes tell each other of a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    pub suspect: Suspect,
    pub level: Level,
    /// Others that were in all its crashes, sorted.
    pub rivals: Vec<Suspect>,
}

/// How a suspect may run, from the least to the most suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// As any other request.
    Free,
    /// One at a time.
    Tried,
    /// Not at all, except in a rare trial.
    Refused,
}
