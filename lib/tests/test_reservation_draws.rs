//! Reservations whose requesters draw: what a holder keeps for one that falls silent, and that nothing
//! is spent twice whenever requesters die.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rosemarymoor_lib::budget::ceiling::{
    CeilingEffect, CeilingStatus, CeilingSystem, Draw, Headroom, MAX_SILENCE_MS, ReservationId,
    ReservationReply, ReservationRequest, Settlement,
};
use rosemarymoor_lib::id::{BudgetId, EpochId};
use rosemarymoor_lib::kv_store::{Outcome, Revision, Versioned};
use rosemarymoor_lib::time::Millis;

const PREPAID: u64 = 10_000;

/// Worst case of each request, and what its requester draws at first.
const TOKENS: u64 = 1_600;
const FIRST_DRAW: u64 = 1_100;

fn budget() -> BudgetId {
    BudgetId { workspace: "phone-line".to_owned(), name: "prepaid".to_owned() }
}

fn request(id: ReservationId) -> ReservationRequest {
    ReservationRequest {
        id,
        budget: budget(),
        prepaid: PREPAID,
        prepaid_version: 1,
        tokens: TOKENS,
        max_wait_ms: 200,
        lifetime_ms: 10_000,
        drawn: Some(FIRST_DRAW),
    }
}

/// One holder before a store that answers at once.
struct Holder {
    system: CeilingSystem,
    stored: Option<Versioned>,
    revision: u64,
    replies: Vec<(ReservationId, ReservationReply)>,
}

impl Holder {
    fn open() -> Holder {
        let system = CeilingSystem::open(EpochId(1), Headroom::ByRate);
        Holder { system, stored: None, revision: 0, replies: Vec::new() }
    }

    fn run(&mut self, mut effects: Vec<CeilingEffect>, now: u64) {
        while let Some(effect) = effects.pop() {
            let now = Millis(now);
            match effect {
                CeilingEffect::Answer { id, reply } => self.replies.push((id, reply)),
                CeilingEffect::Read { budget } => {
                    let outcome = Outcome::Done(self.stored.clone());
                    self.system.read_done(&budget, outcome, now, &mut effects);
                }
                CeilingEffect::Write { budget, value, .. } => {
                    self.revision += 1;
                    let revision = Revision(self.revision);
                    self.stored = Some(Versioned { revision, value });
                    let outcome = Outcome::Done(revision);
                    self.system.write_done(&budget, outcome, now, &mut effects);
                }
            }
        }
    }

    /// Requests a reservation; returns the reply.
    fn reserve(&mut self, id: ReservationId, now: u64) -> Option<ReservationReply> {
        let mut effects = Vec::new();
        self.system.reserve(request(id), Millis(now), &mut effects);
        self.run(effects, now);
        self.replies.iter().find(|reply| reply.0 == id).map(|reply| reply.1)
    }

    fn draw(&mut self, id: ReservationId, drawn: u64, now: u64) -> Option<u64> {
        self.system.draw(&Draw { id, budget: budget(), drawn }, Millis(now))
    }

    fn settle(&mut self, id: ReservationId, used: u64, now: u64) {
        let mut effects = Vec::new();
        let settlement = Settlement { id, budget: budget(), used };
        self.system.settle(&settlement, Millis(now), &mut effects);
        self.run(effects, now);
    }

    fn tick(&mut self, now: u64) {
        let mut effects = Vec::new();
        self.system.tick(Millis(now), &mut effects);
        self.run(effects, now);
    }

    fn close(&mut self, now: u64) {
        let mut effects = Vec::new();
        self.system.close(Millis(now), &mut effects);
        self.run(effects, now);
    }

    fn status(&self) -> CeilingStatus {
        self.system.budgets().remove(0)
    }

    /// Returns the tokens used and in doubt, reserved, and in doubt.
    fn totals(&self) -> (u64, u64, u64) {
        let status = self.status();
        (status.used, status.reserved, status.in_doubt)
    }
}

const GRANTED: Option<ReservationReply> = Some(ReservationReply::Granted);

/// Time at which a reservation of time 0 without word has lapsed.
const LAPSED: u64 = MAX_SILENCE_MS + 1;

fn lapsed_holder() -> Holder {
    let mut holder = Holder::open();
    assert_eq!(holder.reserve(1, 0), GRANTED);
    holder.tick(LAPSED);
    holder
}

/// Guards against the worst case of a silent requester counting as spent (review/5).
#[test]
fn what_was_drawn_stays_of_a_reservation_without_word() {
    let holder = lapsed_holder();
    assert_eq!(holder.totals(), (FIRST_DRAW, 0, FIRST_DRAW));
}

#[test]
fn a_reservation_stays_whole_while_its_requester_sends_word() {
    let mut holder = Holder::open();
    holder.reserve(1, 0);
    for now in (500..9_000).step_by(500) {
        assert_eq!(holder.draw(1, FIRST_DRAW, now), Some(FIRST_DRAW));
        holder.tick(now);
        assert_eq!(holder.totals(), (0, TOKENS, 0));
    }
}

#[test]
fn a_requester_that_does_not_draw_may_have_used_all() {
    let mut holder = Holder::open();
    let mut effects = Vec::new();
    let req = ReservationRequest { drawn: None, ..request(1) };
    holder.system.reserve(req, Millis(0), &mut effects);
    holder.run(effects, 0);
    holder.tick(14_999);
    assert_eq!(holder.totals(), (0, TOKENS, 0));
    holder.tick(15_000);
    assert_eq!(holder.totals(), (TOKENS, 0, TOKENS));
}

#[test]
fn a_settlement_after_the_lapse_ends_the_doubt() {
    let mut holder = lapsed_holder();
    holder.settle(1, 1_040, 60_000);
    assert_eq!(holder.totals(), (1_040, 0, 0));
}

#[test]
fn a_settlement_after_the_lapse_counts_no_more_than_was_drawn() {
    let mut holder = lapsed_holder();
    holder.settle(1, TOKENS, LAPSED);
    assert_eq!(holder.totals(), (FIRST_DRAW, 0, 0));
}

#[test]
fn a_lapsed_reservation_opens_again_while_its_rest_is_free() {
    let mut holder = lapsed_holder();
    assert_eq!(holder.reserve(2, LAPSED), GRANTED, "the holder has headroom");
    assert_eq!(holder.draw(1, 1_200, LAPSED), Some(1_200));
    assert_eq!(holder.totals(), (0, 2 * TOKENS, 0));
}

/// Mirror: what others were granted since is not drawn again.
#[test]
fn a_lapsed_reservation_whose_rest_others_have_draws_nothing() {
    let mut holder = lapsed_holder();
    let mut id = 1;
    while holder.reserve(id + 1, LAPSED) == GRANTED {
        id += 1;
    }
    assert_eq!(id, 6, "five more requests fit beside what was drawn");
    assert_eq!(holder.draw(1, TOKENS, LAPSED), Some(FIRST_DRAW));
    assert_eq!(holder.draw(99, TOKENS, LAPSED), None, "nobody has asked for it");
}

#[test]
fn a_request_that_fits_but_for_doubt_is_not_told_that_the_budget_is_exhausted() {
    let mut holder = Holder::open();
    for id in 1..=6 {
        assert_eq!(holder.reserve(id, 0), GRANTED);
    }
    assert_eq!(holder.reserve(7, 100), Some(ReservationReply::Exhausted), "all six run");
    for id in 8..=9 {
        let reply = holder.reserve(id, 1_500 + id as u64);
        assert_eq!(reply, Some(ReservationReply::Short), "they may have ended");
    }
    holder.tick(LAPSED);
    assert_eq!(holder.reserve(10, LAPSED), GRANTED);
}

#[test]
fn a_holder_that_closes_gives_all_of_a_reservation() {
    let mut holder = Holder::open();
    holder.reserve(1, 0);
    holder.close(10);
    assert_eq!(holder.draw(1, FIRST_DRAW, 20), Some(TOKENS));
}

/// Requester of one reservation, which passes on no more than it may.
struct Requester {
    id: ReservationId,
    limit: u64,
    passed_on: u64,
}

/// Requesters that draw, pass on, fall silent for a while, settle and die, before one holder.
struct World {
    rng: StdRng,
    holder: Holder,
    requesters: Vec<Requester>,
    /// Tokens that requesters passed on that have settled or died.
    ended: u64,
    next_id: ReservationId,
}

impl World {
    fn open(seed: u64) -> World {
        World {
            rng: StdRng::seed_from_u64(seed),
            holder: Holder::open(),
            requesters: Vec::new(),
            ended: 0,
            next_id: 1,
        }
    }

    fn step(&mut self, now: u64) {
        let (id, action) = (self.next_id, self.rng.random_range(0..10));
        if action < 3 && self.holder.reserve(id, now) == GRANTED {
            self.requesters.push(Requester { id, limit: FIRST_DRAW, passed_on: 0 });
        }
        self.next_id += 1;
        let count = self.requesters.len();
        if count == 0 {
            return;
        }
        let at = self.rng.random_range(0..count);
        match action {
            0..=5 => self.draw(at, now),
            6 | 7 => {
                let Requester { id, passed_on, .. } = self.requesters.swap_remove(at);
                self.ended += passed_on;
                self.holder.settle(id, passed_on, now);
            }
            8 => self.ended += self.requesters.swap_remove(at).passed_on,
            _ => self.holder.tick(now),
        }
    }

    /// Draws, loses the answer at times, and passes on all that may be.
    fn draw(&mut self, at: usize, now: u64) {
        let requester = &mut self.requesters[at];
        let step = [0, 100, 250].choose(&mut self.rng).copied().unwrap_or(0);
        let limit = self.holder.draw(requester.id, requester.limit + step, now);
        if self.rng.random_bool(0.8) {
            requester.limit = requester.limit.max(limit.unwrap_or(0));
        }
        requester.passed_on = requester.limit;
    }

    fn received(&self) -> u64 {
        self.ended + self.requesters.iter().map(|requester| requester.passed_on).sum::<u64>()
    }
}

/// Mirror of all of the above: whatever lapses, opens again, dies or settles late, callers never receive
/// more than is prepaid.
#[test]
fn no_order_of_draws_lapses_and_deaths_overspends() {
    let mut largest = 0;
    for seed in 0..400 {
        let mut world = World::open(seed);
        let mut now = 0;
        for _ in 0..200 {
            now += world.rng.random_range(1..600);
            world.step(now);
            assert!(world.received() <= PREPAID, "seed {seed}: {} received", world.received());
        }
        largest = largest.max(world.received());
    }
    assert!(largest > PREPAID * 9 / 10, "budgets are used up: {largest}");
}
