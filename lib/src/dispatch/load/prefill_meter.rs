//! Measures the prefill rate of an engine from how its requests' tokens in memory grow.

use crate::time::Millis;

/// Weight of the newest measure in the rate, an exponential moving average.
const RATE_WEIGHT: f64 = 0.2;

/// Shortest interval that is measured, in milliseconds.
const MIN_INTERVAL_MS: u64 = 40;

/// Longest interval that is measured, in milliseconds.
const MAX_INTERVAL_MS: u64 = 1_000;

/// Request at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRun {
    pub id: String,
    /// Tokens in memory.
    pub tokens: u64,
    /// Events that it has made; none while its prompt is prefilled.
    pub events: u64,
}

/// Prefill rate of one engine.
#[derive(Clone, Debug, Default)]
pub struct PrefillMeter {
    /// Requests of the last report with its time, sorted by id.
    last: Option<(Millis, Vec<EngineRun>)>,
    tokens_per_ms: Option<f64>,
}

impl PrefillMeter {
    /// Returns the rate in tokens per millisecond; `None` before the first measure.
    pub fn tokens_per_ms(&self) -> Option<f64> {
        self.tokens_per_ms
    }

    /// Records the requests of a report.
    ///
    /// The interval since the last one counts only if no prompt began or ended in it, as the engine
    /// may have prefilled that one for an unknown part of the interval.
    pub fn record(&mut self, mut runs: Vec<EngineRun>, now: Millis) {
        runs.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        let last = self.last.replace((now, runs));
        let (Some((since, before)), Some((_, after))) = (last, &self.last) else { return };
        let interval_ms = now.since(since);
        if !(MIN_INTERVAL_MS..=MAX_INTERVAL_MS).contains(&interval_ms) {
            return;
        }
        let Some(grown) = grown_tokens(&before, after) else { return };
        let measured = grown as f64 / interval_ms as f64;
        let rate = self.tokens_per_ms.unwrap_or(measured);
        self.tokens_per_ms = Some(rate + (measured - rate) * RATE_WEIGHT);
    }
}

/// Returns the tokens that were prefilled between two reports; `None` if that is not certain, or
/// there were none.
fn grown_tokens(before: &[EngineRun], after: &[EngineRun]) -> Option<u64> {
    let find =
        |runs: &[EngineRun], id: &str| runs.binary_search_by(|run| run.id.as_str().cmp(id)).ok();
    let is_prefilling = |run: &&EngineRun| run.events == 0;
    let mut grown = 0_u64;
    for old in before.iter().filter(is_prefilling) {
        let new = &after[find(after, &old.id)?];
        if new.events > 0 || new.tokens < old.tokens {
            return None;
        }
        // The first tokens of a prompt may come from the cache.
        if old.tokens == 0 && new.tokens > 0 {
            return None;
        }
        grown = grown.saturating_add(new.tokens - old.tokens);
    }
    let has_begun = after.iter().any(|run| find(before, &run.id).is_none() && run.tokens > 0);
    (grown > 0 && !has_begun).then_some(grown)
}
