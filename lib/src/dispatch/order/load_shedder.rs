//! Sheds load at an entry that cannot keep up.
//!
//! Callers are distributed unevenly, so that a small host may get several times as many requests
//! as its processor can serve, while its neighbours are idle. If it accepted them all, each would
//! be late. The entry therefore measures how late its own timers run, refuses the share of new
//! requests that brings this lag down, and asks the balancer for no new connections meanwhile.
//! The load that this answers is a burst of a few times the usual requests for some seconds; a
//! refused caller retries over a new connection, which leads to another entry.

use super::shed_order::{RequestClass, ShedOrder};
use crate::time::Millis;

/// Lag of timers from which on the refused share grows, in milliseconds.
const MAX_LAG_MS: f64 = 120.0;

/// Lag below which the refused share shrinks, in milliseconds.
const LOW_LAG_MS: f64 = 40.0;

/// Largest lag that one sample counts for, in milliseconds, so that a host that stood still for a
/// moment sheds nothing after it.
const MAX_SAMPLE_MS: f64 = 300.0;

/// Weight of the newest sample in the smoothed lag.
const LAG_WEIGHT: f64 = 0.3;

/// Change of the refused share with each sample while the lag is too high, and while it is low.
const SHARE_INCREASE: f64 = 0.10;
const SHARE_DECREASE: f64 = 0.04;

/// Largest share of new requests that is refused.
const MAX_REFUSED_SHARE: f64 = 0.9;

/// Time after the last refused share for which the entry is not ready for new connections, in
/// milliseconds; the balancer acts on two failed checks, one second apart.
const UNREADY_MS: u64 = 2_500;

/// Lag of an entry's timers and the share of requests that it refuses.
#[derive(Clone, Debug, Default)]
pub struct LoadShedder {
    lag_ms: f64,
    refused_share: f64,
    unready_until: Millis,
    order: ShedOrder,
}

impl LoadShedder {
    /// Records by how much a timer was late; returns whether shedding began or ended.
    pub fn record_lag(&mut self, lag_ms: f64, now: Millis) -> bool {
        let was_shedding = self.is_shedding();
        self.lag_ms += (lag_ms.min(MAX_SAMPLE_MS) - self.lag_ms) * LAG_WEIGHT;
        if self.lag_ms > MAX_LAG_MS {
            self.refused_share = (self.refused_share + SHARE_INCREASE).min(MAX_REFUSED_SHARE);
        } else if self.lag_ms < LOW_LAG_MS {
            self.refused_share = (self.refused_share - SHARE_DECREASE).max(0.0);
        }
        if self.is_shedding() {
            self.unready_until = now.plus(UNREADY_MS);
        }
        self.is_shedding() != was_shedding
    }

    /// Returns whether a share of the new requests is refused.
    pub fn is_shedding(&self) -> bool {
        self.refused_share > 0.0
    }

    /// Returns whether a new request is refused; `random` is uniformly distributed.
    pub fn is_refused(&self, random: u64) -> bool {
        const SCALE: u64 = 1_000;
        ((random % SCALE) as f64) < self.refused_share * SCALE as f64
    }

    /// Returns whether a new request with a standing is refused: of the share that is refused, the last
    /// in the order bear most.
    pub fn is_refused_in_order(&mut self, standing: &RequestClass, random: u64) -> bool {
        self.order.record(standing);
        self.order.is_refused(standing, self.refused_share, random)
    }

    /// Returns whether new connections should go to other entries.
    pub fn is_unready(&self, now: Millis) -> bool {
        now < self.unready_until
    }

    /// Returns the smoothed lag in milliseconds.
    pub fn lag_ms(&self) -> f64 {
        self.lag_ms
    }

    /// Returns the share of new requests that is refused, from 0 to 1.
    pub fn refused_share(&self) -> f64 {
        self.refused_share
    }
}
