//! Predicts the time to the first event of a request at a target.

use super::choice::{prefill_ms, prefill_work};
use super::targets::Target;
use crate::time::Millis;

/// Time to the first event of a prompt that is cached, at an idle engine, in milliseconds.
const IDLE_MS: f64 = 120.0;

/// Part of a prompt with its length in tokens.
pub type Part = (u64, u64);

/// Work that a request needs at a target, and when it would begin to be answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEvent {
    /// Predicted time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Time to prefill what the target does not cache, in milliseconds.
    pub prefill_ms: f64,
}

/// Predicts the first event of a prompt at a target, by this entry's own requests there and the delay
/// of the latest answers.
pub fn predict(target: &Target, prompt: &[Part], now: Millis) -> FirstEvent {
    let is_uncached = |part: &&Part| !target.caches_part(part.0, now);
    let uncached_tokens = prompt.iter().filter(is_uncached).map(|part| part.1).sum();
    let all_tokens = prompt.iter().map(|part| part.1).sum();
    let work = prefill_work(uncached_tokens, all_tokens);
    let own_ms = prefill_ms(uncached_tokens, all_tokens);
    let ms_per_work = if work > 0 { own_ms / work as f64 } else { 0.0 };
    let pending_ms = target.pending_tokens as f64 * ms_per_work;
    let first_event_ms = IDLE_MS + own_ms + pending_ms + target.delay_ms(now);
    FirstEvent { first_event_ms, prefill_ms: own_ms }
}
