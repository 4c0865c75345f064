//! Tokens reserved for one request.
//!
//! What the request uses has to be covered before it is passed on: by what is drawn of its reservation,
//! or, if the holder does not answer, by a further reservation for the rest at another holder.

use std::time::{Duration, Instant};

use super::budget_client::{BudgetClient, Part, ReservationDenied, ReservationParams};

/// Part of a step that is left when the next one is drawn, in percent.
const DRAW_AHEAD_PERCENT: u64 = 75;

/// Wait for a draw after which the rest is reserved anew.
const DRAW_PATIENCE: Duration = Duration::from_millis(300);

/// Failed draws after which the rest is reserved anew.
const MAX_DRAW_FAILURES: u32 = 2;

/// Pause after the rest could not be reserved.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How tokens were covered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Covered {
    /// They were drawn already.
    Drawn,
    /// They were drawn after a wait.
    DrawnLate,
    /// The rest was reserved anew.
    ReservedAnew,
}

/// Tokens reserved for one request; dropping it settles the tokens used.
pub struct Reservation {
    client: BudgetClient,
    params: ReservationParams,
    /// First reservation and those for the rest of it.
    parts: Vec<Part>,
    /// Tokens used so far.
    pub used: u64,
}

impl Reservation {
    /// Reserves the worst case of a request.
    ///
    /// # Errors
    ///
    /// Returns [`ReservationDenied`] if no holder grants it.
    pub async fn open(
        client: &BudgetClient,
        params: ReservationParams,
    ) -> Result<Reservation, ReservationDenied> {
        let first = client.reserve(&params).await?;
        Ok(Reservation { client: client.clone(), params, parts: vec![first], used: 0 })
    }

    /// Waits until `used` tokens may be used, until the deadline at the latest; `None` if they may not.
    pub async fn cover(&mut self, used: u64, deadline: Instant) -> Option<Covered> {
        let used = used.min(self.params.tokens);
        self.draw_ahead(used);
        if used <= self.limit() {
            return Some(Covered::Drawn);
        }
        let mut patience = Instant::now() + DRAW_PATIENCE;
        while Instant::now() < deadline {
            self.wait_for_draw(patience.min(deadline)).await;
            if used <= self.limit() {
                return Some(Covered::DrawnLate);
            }
            if Instant::now() >= patience || self.draw_failures() >= MAX_DRAW_FAILURES {
                if self.reserve_rest(used).await {
                    return Some(Covered::ReservedAnew);
                }
                tokio::time::sleep_until((Instant::now() + RETRY_PAUSE).min(deadline).into()).await;
                patience = Instant::now() + DRAW_PATIENCE;
            }
        }
        None
    }

    /// Returns the tokens that may be used.
    fn limit(&self) -> u64 {
        self.parts.iter().map(Part::limit).sum()
    }

    fn draw_failures(&self) -> u32 {
        self.parts.last().map_or(0, Part::draw_failures)
    }

    /// Draws the next step before it is needed.
    fn draw_ahead(&self, used: u64) {
        let Some((last, former)) = self.parts.split_last() else { return };
        let drawn_before: u64 = former.iter().map(Part::limit).sum();
        let limit = drawn_before + last.limit();
        let step = self.params.draw_step;
        if limit < self.params.tokens && used + step * DRAW_AHEAD_PERCENT / 100 > limit {
            let wanted = (used.max(limit) + step).min(self.params.tokens);
            last.want(wanted - drawn_before);
        }
    }

    /// Waits for news of a draw.
    async fn wait_for_draw(&mut self, until: Instant) {
        let Some(last) = self.parts.last_mut() else { return };
        let _ = tokio::time::timeout_at(until.into(), last.draw_changed()).await;
    }

    /// Reserves what is not drawn, so that `used` is covered; returns whether it was granted.
    async fn reserve_rest(&mut self, used: u64) -> bool {
        let limit = self.limit();
        let tokens = self.params.tokens.saturating_sub(limit);
        let first_draw = (used.saturating_sub(limit) + self.params.draw_step).min(tokens);
        let rest = ReservationParams { tokens, first_draw, ..self.params.clone() };
        let reply = self.client.reserve(&rest).await;
        log::info!(
            "event=rest_reserved request={} budget={} tokens={tokens} granted={}",
            self.params.request,
            self.params.budget,
            reply.is_ok()
        );
        match reply {
            Ok(part) => {
                self.parts.push(part);
                true
            }
            Err(_) => false,
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut left = self.used;
        for part in self.parts.drain(..) {
            let used = left.min(part.limit());
            left -= used;
            self.client.settle(part, &self.params, used);
        }
    }
}
