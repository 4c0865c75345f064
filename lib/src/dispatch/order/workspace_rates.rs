//! Recent and usual rates of requests by workspace, to find those with many times their usual traffic.
//!
//! An entry that has just started, or that has not known a workspace for long, has no usual rate to
//! compare with and finds nothing.

use std::collections::VecDeque;

use crate::time::Millis;

/// Largest number of workspaces that are known.
const MAX_WORKSPACES: usize = 1_024;

/// Half-life of the recent count, in milliseconds.
const RECENT_HALF_LIFE_MS: f64 = 2_000.0;

/// Length of the spans whose median is the usual count, in milliseconds, and their number: traffic of
/// less than half of their time does not change what is usual.
const SPAN_MS: u64 = 2_000;
const SPANS: usize = 20;

/// Number of spans for which a workspace has to be known.
const MIN_SPANS: usize = 3;

/// Multiple of the usual rate up to which traffic is no excess.
const USUAL_MULTIPLE: f64 = 2.0;

/// Requests in a span that are usual for everyone.
const MIN_USUAL: f64 = 4.0;

/// Traffic of one workspace.
#[derive(Clone, Debug)]
struct Rates {
    workspace: String,
    /// Decayed number of requests, as of `at`.
    recent: f64,
    /// Requests in the latest completed spans, the newest one last.
    spans: VecDeque<u32>,
    /// Number of the span that runs, and the requests in it.
    span: u64,
    in_span: u32,
    at: Millis,
}

/// Traffic of all workspaces that sent requests lately.
#[derive(Debug, Default)]
pub struct WorkspaceRates {
    /// Sorted by workspace.
    rows: Vec<Rates>,
}

impl WorkspaceRates {
    /// Records a request and returns the share of the workspace's requests beyond its usual rate, from 0
    /// to 1.
    pub fn record(&mut self, workspace: &str, now: Millis) -> f64 {
        let at = match self.rows.binary_search_by(|row| row.workspace.as_str().cmp(workspace)) {
            Ok(at) => at,
            Err(_) => self.add(workspace, now),
        };
        self.rows[at].record(now)
    }

    /// Adds a workspace in place of the one that was silent for longest if there are too many.
    fn add(&mut self, workspace: &str, now: Millis) -> usize {
        if self.rows.len() >= MAX_WORKSPACES {
            let oldest = self.rows.iter().enumerate().min_by_key(|(_, row)| row.at);
            if let Some(at) = oldest.map(|(at, _)| at) {
                self.rows.remove(at);
            }
        }
        let at = self.rows.partition_point(|row| row.workspace.as_str() < workspace);
        let workspace = workspace.to_owned();
        self.rows.insert(at, Rates::open(workspace, now));
        at
    }
}

impl Rates {
    fn open(workspace: String, now: Millis) -> Rates {
        let span = now.0 / SPAN_MS;
        Rates { workspace, recent: 0.0, spans: VecDeque::new(), span, in_span: 0, at: now }
    }

    fn record(&mut self, now: Millis) -> f64 {
        self.complete_spans(now.0 / SPAN_MS);
        self.in_span += 1;
        let age_ms = now.since(self.at) as f64;
        self.recent = self.recent * 0.5_f64.powf(age_ms / RECENT_HALF_LIFE_MS) + 1.0;
        self.at = now;
        self.excess()
    }

    /// Completes the spans before the one that runs now; those without a request count too.
    fn complete_spans(&mut self, span: u64) {
        for _ in 0..span.saturating_sub(self.span).min(SPANS as u64) {
            if self.spans.len() >= SPANS {
                self.spans.pop_front();
            }
            self.spans.push_back(std::mem::take(&mut self.in_span));
        }
        self.span = span;
    }

    fn excess(&self) -> f64 {
        if self.spans.len() < MIN_SPANS {
            return 0.0;
        }
        let mut sorted: Vec<u32> = self.spans.iter().copied().collect();
        sorted.sort_unstable();
        let usual = f64::from(sorted[sorted.len() / 2]).max(MIN_USUAL);
        // A steady rate's decayed count is its requests in a half-life, divided by ln 2.
        let recent = self.recent * std::f64::consts::LN_2 * SPAN_MS as f64 / RECENT_HALF_LIFE_MS;
        (1.0 - USUAL_MULTIPLE * usual / recent).max(0.0)
    }
}
