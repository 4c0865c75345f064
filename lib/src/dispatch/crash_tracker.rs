//! Requests that crash their targets, by fingerprint.
//!
//! A request whose target breaks off is noted with that target. One that has broken
//! off at [`MAX_CRASHES`] different targets is refused from then on: a crash of one
//! target strikes many requests, but hardly the same one three times.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// Different targets after which a request is refused.
pub const MAX_CRASHES: usize = 3;

/// Time for which a request is remembered after its last crash, in milliseconds.
const KEEP_MS: u64 = 60_000;

/// Requests that are remembered; the one whose last crash is oldest goes first.
const MAX_ROWS: usize = 4_096;

/// One target that broke off while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Digest of the request's path, key and body.
    pub fingerprint: u128,
    /// Identity of the target.
    pub target: String,
}

/// What is known of one request.
#[derive(Clone, Debug)]
struct Row {
    fingerprint: u128,
    /// Sorted.
    targets: Vec<String>,
    is_refused: bool,
    at: Millis,
}

/// All requests that are remembered, sorted by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    rows: Vec<Row>,
}

impl CrashTracker {
    /// Notes a crash; answers whether the request is refused from now on and was not.
    pub fn record(&mut self, crash: &Crash, now: Millis) -> bool {
        let row = self.open(crash.fingerprint, now);
        if let Err(at) = row.targets.binary_search(&crash.target) {
            row.targets.insert(at, crash.target.clone());
        }
        let is_new = !row.is_refused && row.targets.len() >= MAX_CRASHES;
        row.is_refused |= is_new;
        is_new
    }

    /// Takes over that others refuse a request.
    pub fn refuse(&mut self, fingerprint: u128, now: Millis) {
        self.open(fingerprint, now).is_refused = true;
    }

    /// Whether a request is refused.
    pub fn is_refused(&self, fingerprint: u128, now: Millis) -> bool {
        let at = self.rows.binary_search_by_key(&fingerprint, |row| row.fingerprint);
        let row = at.ok().map(|at| &self.rows[at]);
        row.is_some_and(|row| row.is_refused && now.since(row.at) < KEEP_MS)
    }

    fn open(&mut self, fingerprint: u128, now: Millis) -> &mut Row {
        self.rows.retain(|row| now.since(row.at) < KEEP_MS);
        let find = |row: &Row| row.fingerprint;
        if self.rows.len() >= MAX_ROWS
            && self.rows.binary_search_by_key(&fingerprint, find).is_err()
            && let Some(oldest) = (0..self.rows.len()).min_by_key(|at| self.rows[*at].at)
        {
            self.rows.remove(oldest);
        }
        let at = match self.rows.binary_search_by_key(&fingerprint, find) {
            Ok(at) => at,
            Err(at) => {
                let row = Row { fingerprint, targets: Vec::new(), is_refused: false, at: now };
                self.rows.insert(at, row);
                at
            }
        };
        self.rows[at].at = now;
        &mut self.rows[at]
    }
}
