//! Backoff from a target that turns requests away one after the other.
//!
//! A target that is full for a moment answers other requests meanwhile, and each answer ends the
//! backoff. While it lasts, the target gets a request now and then, so that it is used again soon
//! after it serves, and otherwise only if no other target is left.

use crate::time::Millis;

/// Consecutive refusals from which on a target gets fewer requests.
const MIN_REFUSALS: u32 = 3;

/// Bounds of the time after a refusal in which the target gets no request, in milliseconds; a whole
/// service that refuses is asked again within it.
const MIN_CLOSED_MS: u64 = 50;
const MAX_CLOSED_MS: u64 = 600;

/// Bounds of the time after a refusal in which other targets are preferred, in milliseconds.
const MIN_AVOIDED_MS: u64 = 500;
const MAX_AVOIDED_MS: u64 = 4_000;

/// Refusals of a target since its last answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalBackoff {
    consecutive: u32,
    closed_until: Millis,
    avoided_until: Millis,
}

impl RefusalBackoff {
    /// Records a refusal; returns for how many milliseconds others are preferred, if that has grown.
    pub fn record_refusal(&mut self, now: Millis) -> Option<u64> {
        // Requests that were under way together are refused together and count once.
        if now < self.closed_until {
            return None;
        }
        self.consecutive += 1;
        let doublings = self.consecutive.checked_sub(MIN_REFUSALS)?.min(8);
        let avoided_ms = (MIN_AVOIDED_MS << doublings).min(MAX_AVOIDED_MS);
        self.closed_until = now.plus((MIN_CLOSED_MS << doublings).min(MAX_CLOSED_MS));
        self.avoided_until = now.plus(avoided_ms);
        Some(avoided_ms)
    }

    /// Records an answer; returns whether it ends a backoff.
    pub fn record_answer(&mut self) -> bool {
        std::mem::take(self).consecutive >= MIN_REFUSALS
    }

    /// Returns the time in milliseconds in which the target gets no request; 0 if it may get one.
    pub fn closed_for_ms(&self, now: Millis) -> u64 {
        self.closed_until.since(now)
    }

    /// Returns whether other targets are preferred.
    pub fn is_avoided(&self, now: Millis) -> bool {
        now < self.avoided_until
    }
}
