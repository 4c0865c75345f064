//! Load of a target as the fleet knows it: what its own process reports, what other entries have
//! sent to it and which parts of prompts it caches.
//!
//! News is some tenths of a second old and may stop. Each is kept with its time; whoever reads it
//! decides how old it may be.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// What a target reports of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that wait to be run.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Tokens in memory that cannot be evicted.
    pub memory_used: u64,
    /// Tokens that fit into the memory.
    pub memory_total: u64,
    /// Measured prefill rate in tokens per millisecond; `None` before the first measure.
    pub prefill_tokens_per_ms: Option<f64>,
}

/// Requests that have been sent to a target and have not been answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentWork {
    /// Requests that have not ended.
    pub requests: u32,
    /// Prefill work of those whose answers have not begun, in tokens.
    pub pending_tokens: u64,
}

/// Value with the time at which it held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dated<T> {
    pub value: T,
    pub at: Millis,
}

impl<T> Dated<T> {
    /// Returns the value unless it is older than `max_age_ms`.
    pub fn fresh(&self, max_age_ms: u64, now: Millis) -> Option<&T> {
        (now.since(self.at) <= max_age_ms).then_some(&self.value)
    }
}

/// What an entry knows of a target's load; empty until news arrives.
#[derive(Clone, Debug, Default)]
pub struct KnownLoad {
    /// Latest report of the target.
    pub report: Option<Dated<LoadReport>>,
    /// What the other entries have sent, all together.
    pub others: Option<Dated<SentWork>>,
    /// Prompt parts in the target's cache, sorted; `None` while they are not known.
    pub parts: Option<Dated<Vec<u64>>>,
}

impl KnownLoad {
    /// Returns whether the target caches a prompt part; `None` while that is not known.
    pub fn caches(&self, part: u64, max_age_ms: u64, now: Millis) -> Option<bool> {
        let parts = self.parts.as_ref()?.fresh(max_age_ms, now)?;
        Some(parts.binary_search(&part).is_ok())
    }
}
