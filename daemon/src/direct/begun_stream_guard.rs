//! Counts a stream as begun at its target for as long as the entry reads it.

use std::sync::Arc;

use rosemarymoor_lib::dispatch::targets::TargetKey;

use super::entry::Entry;

/// Begun stream; dropping it ends the count.
pub struct BegunStreamGuard {
    entry: Arc<Entry>,
    target: TargetKey,
}

impl BegunStreamGuard {
    /// Counts a stream that has just begun.
    pub fn open(entry: &Arc<Entry>, target: TargetKey) -> BegunStreamGuard {
        entry.heard().begin_stream(target, entry.now());
        BegunStreamGuard { entry: entry.clone(), target }
    }

    /// Records that an event has arrived.
    pub fn record_event(&self) {
        self.entry.heard().record(self.target, self.entry.now());
    }
}

impl Drop for BegunStreamGuard {
    fn drop(&mut self) {
        self.entry.heard().end_stream(self.target, self.entry.now());
    }
}
