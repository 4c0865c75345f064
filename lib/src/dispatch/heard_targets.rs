//! When this entry last received anything of an answer from each target, and how many of its streams
//! have begun there.
//!
//! An engine that runs a stream sends an event every few milliseconds. A target with begun streams
//! of which nothing arrives has stopped; one that goes on with them is alive, however long a new
//! request waits there.

use super::targets::TargetKey;
use crate::time::Millis;

/// Time after which a target without begun streams is forgotten, in milliseconds.
const RETENTION_MS: u64 = 10_000;

/// What has been heard of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heard {
    /// Streams of this entry that have begun there and have not ended.
    pub begun_streams: u32,
    /// Time of the latest part of any answer.
    pub at: Millis,
}

/// Targets that have answered lately.
#[derive(Debug, Default)]
pub struct HeardTargets {
    /// Sorted by key.
    rows: Vec<(TargetKey, Heard)>,
}

impl HeardTargets {
    /// Records a part of an answer.
    pub fn record(&mut self, key: TargetKey, now: Millis) {
        self.row(key, now).at = now;
    }

    /// Records that a stream has begun.
    pub fn begin_stream(&mut self, key: TargetKey, now: Millis) {
        let row = self.row(key, now);
        row.begun_streams += 1;
        row.at = now;
    }

    /// Records that a begun stream has ended, whoever ended it.
    pub fn end_stream(&mut self, key: TargetKey, now: Millis) {
        if let Ok(at) = self.find(key) {
            let heard = &mut self.rows[at].1;
            heard.begun_streams = heard.begun_streams.saturating_sub(1);
        }
        let is_kept = |heard: &Heard| heard.begun_streams > 0 || now.since(heard.at) < RETENTION_MS;
        self.rows.retain(|(_, heard)| is_kept(heard));
    }

    /// Returns what has been heard of a target; `None` if nothing lately.
    pub fn get(&self, key: TargetKey) -> Option<Heard> {
        Some(self.rows[self.find(key).ok()?].1)
    }

    fn find(&self, key: TargetKey) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&key, |(key, _)| *key)
    }

    fn row(&mut self, key: TargetKey, now: Millis) -> &mut Heard {
        let at = match self.find(key) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, (key, Heard { begun_streams: 0, at: now }));
                at
            }
        };
        &mut self.rows[at].1
    }
}
