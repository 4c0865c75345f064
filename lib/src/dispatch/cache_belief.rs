//! Estimates how much of a prompt a target has cached.
//!
//! A part counts only together with all parts before it. The target's own list of cached parts
//! decides where it is known. Without it a target is believed to hold what this entry sent there
//! lately, and, less and less, what the part's rendezvous order made other entries send there.

use super::load::known::Dated;
use super::prompt::{self, PromptPart};
use super::targets::Target;
use crate::time::Millis;

/// Age in milliseconds up to which a list of cached parts counts; it is confirmed less often.
const PARTS_MAX_AGE_MS: u64 = 4_000;

/// Time by which a target's list of cached parts may lag, in milliseconds.
const PARTS_LAG_MS: u64 = 500;

/// Probability that a target still holds a part that this entry sent there lately.
const SENT_BELIEF: f64 = 0.95;

/// Probability that the first target in a part's order holds it.
const FIRST_BELIEF: f64 = 0.9;

/// Factor of that probability from one target in the order to the next.
const BELIEF_PER_RANK: f64 = 0.7;

/// Probability that another entry sent a part to the first target in its order too lately for the
/// target's list to show it.
const UNLISTED_BELIEF: f64 = 0.1;

/// Returns the expected number of a prompt's tokens that a target has to prefill; `rank` is its
/// place in the rendezvous order of the last shared part.
pub fn uncached_tokens(target: &Target, rank: usize, parts: &[PromptPart], now: Millis) -> u64 {
    let shared = prompt::shared_count(parts);
    let order = BELIEF_PER_RANK.powi(rank.min(64) as i32);
    let mut belief = 1.0_f64;
    let mut uncached = 0.0;
    for (at, part) in parts.iter().enumerate() {
        let order = if at < shared { order } else { 0.0 };
        belief = belief.min(belief_of(target, part.id, order, now));
        uncached += part.tokens as f64 * (1.0 - belief);
    }
    uncached as u64
}

/// Returns whether a target is known to hold a part, or was sent it by this entry lately.
pub fn holds(target: &Target, part: u64, now: Millis) -> bool {
    belief_of(target, part, 0.0, now) > 0.0
}

/// Returns whether the parts in a target's cache are known.
pub fn knows_cached_parts(target: &Target, now: Millis) -> bool {
    let parts = target.known.parts.as_ref();
    parts.is_some_and(|parts| parts.fresh(PARTS_MAX_AGE_MS, now).is_some())
}

/// Returns the probability that a target holds a part; `order` falls from 1 to 0 along the part's
/// order.
fn belief_of(target: &Target, part: u64, order: f64, now: Millis) -> f64 {
    let sent_belief = |is_sent: bool| if is_sent { SENT_BELIEF } else { 0.0 };
    match target.known.caches(part, PARTS_MAX_AGE_MS, now) {
        Some(true) => 1.0,
        Some(false) => {
            let listed_at = target.known.parts.as_ref().map_or(now, |Dated { at, .. }| *at);
            let sent_after = Millis(listed_at.0.saturating_sub(PARTS_LAG_MS));
            let is_sent = target.was_sent_part_since(part, sent_after);
            sent_belief(is_sent).max(UNLISTED_BELIEF * order)
        }
        None => sent_belief(target.caches_part(part, now)).max(FIRST_BELIEF * order),
    }
}
