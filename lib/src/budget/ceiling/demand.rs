//! Demand for tokens of one budget at a holder, and the headroom that it justifies.

use crate::time::Millis;

/// Longest time of spending at the current rate that the headroom covers, in
/// milliseconds.
///
/// The store may be unreachable for some seconds, and a store call for each
/// request would cost more than the headroom that is lost when a holder crashes.
const MAX_HEADROOM_MS: f64 = 8_000.0;

/// Share of the free tokens that one holder takes as headroom while much is free.
const AMPLE_HEADROOM_SHARE: f64 = 0.16;

/// Share of the free tokens that one holder takes as headroom when little is free.
///
/// Headroom that a crashed holder leaves behind counts as spent; when little is
/// free, callers would soon be refused for want of it.
const SCARCE_HEADROOM_SHARE: f64 = 0.015;

/// Free share of the prepaid tokens from which the headroom takes the ample share.
const AMPLE_FREE_SHARE: f64 = 0.6;

/// Free share of the prepaid tokens up to which the headroom takes the scarce
/// share; between the two limits the share grows linearly.
const SCARCE_FREE_SHARE: f64 = 0.3;

/// Time constant of the smoothed rate of requested tokens, in milliseconds.
const RATE_WINDOW_MS: f64 = 4_000.0;

/// Shortest time over which the first requests of a budget are averaged, in
/// milliseconds.
///
/// A single first request then yields a rate that fills the whole headroom of most
/// budgets, but never a headroom of more than eighty requests of its size.
const MIN_RATE_SPAN_MS: u64 = 100;

/// Smoothed rate of requested tokens.
pub(super) struct Demand {
    /// Rate as of `updated_at`, which starts at zero.
    tokens_per_ms: f64,
    updated_at: Millis,
    /// Time of the first request.
    since: Option<Millis>,
}

impl Demand {
    /// Creates the demand of a budget without a request.
    pub(super) fn new(now: Millis) -> Demand {
        Demand { tokens_per_ms: 0.0, updated_at: now, since: None }
    }

    /// Adds a request's tokens.
    pub(super) fn record(&mut self, tokens: u64, now: Millis) {
        let elapsed = now.since(self.updated_at) as f64;
        let decay = (-elapsed / RATE_WINDOW_MS).exp();
        self.tokens_per_ms = self.tokens_per_ms * decay + tokens as f64 / RATE_WINDOW_MS;
        self.updated_at = now;
        self.since.get_or_insert(now);
    }

    /// Returns the rate of requested tokens per millisecond.
    ///
    /// An average that starts at zero is too low during its first window, so it is
    /// divided by the share of the window that has been observed.
    fn tokens_per_ms(&self, now: Millis) -> f64 {
        let smoothed =
            self.tokens_per_ms * (-(now.since(self.updated_at) as f64) / RATE_WINDOW_MS).exp();
        let observed_ms = self.since.map_or(0, |since| now.since(since)).max(MIN_RATE_SPAN_MS);
        smoothed / (1.0 - (-(observed_ms as f64) / RATE_WINDOW_MS).exp())
    }

    /// Returns the desired headroom, with `free` tokens of the `prepaid` ones that the holder could
    /// still take.
    pub(super) fn headroom(&self, free: u64, prepaid: u64, now: Millis) -> u64 {
        let by_rate = self.tokens_per_ms(now) * MAX_HEADROOM_MS;
        let free_share = free as f64 / prepaid.max(1) as f64;
        let ampleness = ((free_share - SCARCE_FREE_SHARE) / (AMPLE_FREE_SHARE - SCARCE_FREE_SHARE))
            .clamp(0.0, 1.0);
        let share =
            SCARCE_HEADROOM_SHARE + (AMPLE_HEADROOM_SHARE - SCARCE_HEADROOM_SHARE) * ampleness;
        let by_share = free as f64 * share;
        by_rate.min(by_share) as u64
    }
}
