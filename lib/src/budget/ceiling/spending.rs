//! What a holder has spent of one budget, and the reservations that may still spend of it.
//!
//! A requester that draws uses no more of a reservation than it has drawn, and sends word of it as long
//! as it runs. A reservation without word lapses: only what was drawn of it may have been spent.

use super::{ReservationId, ReservationRequest};
use crate::time::Millis;

/// Time after the end of its lifetime for which a reservation waits for its
/// settlement, in milliseconds.
const SETTLE_GRACE_MS: u64 = 5_000;

/// Time without word of its requester after which a reservation lapses, in milliseconds.
pub const MAX_SILENCE_MS: u64 = 4_000;

/// Time without word from which on it is not certain that a requester still runs, in milliseconds.
const CERTAIN_FOR_MS: u64 = 1_400;

/// Number of lapsed reservations that still take a settlement.
const MAX_LAPSED: usize = 1_024;

/// Granted reservation that has not been settled.
struct Reservation {
    id: ReservationId,
    /// Worst case of its request.
    tokens: u64,
    /// Part of `tokens` that its requester may use without a further draw.
    drawn: u64,
    /// Whether its requester draws; one that does not may use all of it.
    is_drawn: bool,
    lapsed: bool,
    heard_at: Millis,
    expires_at: Millis,
}

impl Reservation {
    /// Returns the tokens that are kept for the reservation.
    fn held(&self) -> u64 {
        if self.lapsed { self.drawn } else { self.tokens }
    }

    /// Returns when the reservation lapses without further word.
    fn lapses_at(&self) -> Millis {
        match self.is_drawn {
            true => self.expires_at.min(self.heard_at.plus(MAX_SILENCE_MS)),
            false => self.expires_at,
        }
    }
}

/// Tokens used and reserved.
#[derive(Default)]
pub(super) struct Spending {
    used: u64,
    reserved: u64,
    in_doubt: u64,
    /// Open and lapsed reservations, oldest first.
    reservations: Vec<Reservation>,
}

impl Spending {
    /// Returns the tokens that settlements have confirmed as spent.
    pub(super) fn used(&self) -> u64 {
        self.used
    }

    /// Returns the tokens of the open reservations.
    pub(super) fn reserved(&self) -> u64 {
        self.reserved
    }

    /// Returns the reserved tokens of requests that certainly still run, as far as this holder knows.
    pub(super) fn certainly_reserved(&self, now: Millis) -> u64 {
        let is_certain = |reservation: &&Reservation| {
            let is_heard = now.since(reservation.heard_at) < CERTAIN_FOR_MS;
            !reservation.lapsed && (is_heard || !reservation.is_drawn)
        };
        self.reservations.iter().filter(is_certain).map(|reservation| reservation.tokens).sum()
    }

    /// Returns the tokens drawn of lapsed reservations, which may have been spent.
    pub(super) fn in_doubt(&self) -> u64 {
        self.in_doubt
    }

    /// Returns the tokens used, reserved and in doubt.
    pub(super) fn committed(&self) -> u64 {
        self.used + self.reserved + self.in_doubt
    }

    /// Adds a reservation for a granted request.
    pub(super) fn reserve(&mut self, req: &ReservationRequest, now: Millis) {
        self.reserved += req.tokens;
        self.reservations.push(Reservation {
            id: req.id,
            tokens: req.tokens,
            drawn: req.drawn.unwrap_or(req.tokens).min(req.tokens),
            is_drawn: req.drawn.is_some(),
            lapsed: false,
            heard_at: now,
            expires_at: now.plus(req.lifetime_ms).plus(SETTLE_GRACE_MS),
        });
    }

    /// Raises what was drawn of a reservation to `drawn`, which is word of its requester, too; a lapsed
    /// reservation is opened again if `free` tokens cover the rest of it.
    ///
    /// Returns the tokens that the requester may use, or `None` if the reservation is not known.
    pub(super) fn draw(
        &mut self,
        id: ReservationId,
        drawn: u64,
        free: u64,
        now: Millis,
    ) -> Option<u64> {
        let reservation = self.reservations.iter_mut().find(|reservation| reservation.id == id)?;
        reservation.heard_at = now;
        if reservation.lapsed {
            let undrawn = reservation.tokens - reservation.drawn;
            if undrawn > free || now >= reservation.expires_at {
                return Some(reservation.drawn);
            }
            reservation.lapsed = false;
            self.in_doubt -= reservation.drawn;
            self.reserved += reservation.tokens;
        }
        reservation.drawn = reservation.drawn.max(drawn.min(reservation.tokens));
        Some(reservation.drawn)
    }

    /// Ends a reservation, of which at most what was kept for it is used; returns the reserved
    /// tokens, or `None` if it is not known.
    pub(super) fn settle(&mut self, id: ReservationId, used: u64) -> Option<u64> {
        let at = self.reservations.iter().position(|reservation| reservation.id == id)?;
        let reservation = self.reservations.remove(at);
        match reservation.lapsed {
            true => self.in_doubt -= reservation.drawn,
            false => self.reserved -= reservation.tokens,
        }
        self.used += used.min(reservation.held());
        Some(reservation.tokens)
    }

    /// Lapses reservations without word; returns the tokens that are in doubt for it.
    pub(super) fn lapse(&mut self, now: Millis) -> u64 {
        let (mut freed, mut doubted) = (0, 0);
        for reservation in self.reservations.iter_mut() {
            if reservation.lapsed || now < reservation.lapses_at() {
                continue;
            }
            reservation.lapsed = true;
            freed += reservation.tokens;
            doubted += reservation.drawn;
        }
        self.reserved -= freed;
        self.in_doubt += doubted;
        if doubted > 0 {
            self.forget_oldest_lapsed();
        }
        doubted
    }

    /// Returns when the next reservation lapses.
    pub(super) fn next_lapse(&self) -> Option<Millis> {
        let open = self.reservations.iter().filter(|reservation| !reservation.lapsed);
        open.map(Reservation::lapses_at).min()
    }

    /// Forgets the oldest lapsed reservations beyond the limit; their tokens stay in doubt.
    fn forget_oldest_lapsed(&mut self) {
        let lapsed = self.reservations.iter().filter(|reservation| reservation.lapsed).count();
        let mut surplus = lapsed.saturating_sub(MAX_LAPSED);
        self.reservations.retain(|reservation| {
            let is_forgotten = reservation.lapsed && surplus > 0;
            surplus -= usize::from(is_forgotten);
            !is_forgotten
        });
    }
}
