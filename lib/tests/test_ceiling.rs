//! Ceilings over a model of the store: conflicts, lost and late writes, deaths.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemarymoor_lib::budget::ceiling::{
    CeilingEffect, CeilingSystem, Headroom, ReservationId, ReservationReply, ReservationRequest,
    Settlement, account_key,
};
use rosemarymoor_lib::budget::{Grant, Shard};
use rosemarymoor_lib::id::{BudgetId, EpochId};
use rosemarymoor_lib::kv_store::{NotDone, Outcome, Revision, Versioned};
use rosemarymoor_lib::time::Millis;

const PREPAID: u64 = 100_000;

fn budget() -> BudgetId {
    BudgetId { workspace: "phone-line".to_owned(), name: "prepaid".to_owned() }
}

fn ask(id: ReservationId, tokens: u64) -> ReservationRequest {
    ReservationRequest {
        id,
        budget: budget(),
        prepaid: PREPAID,
        prepaid_version: 1,
        tokens,
        max_wait_ms: 200,
        lifetime_ms: 1_000,
    }
}

/// Store of one key.
#[derive(Default)]
struct ModelStore {
    revision: u64,
    value: Option<Versioned>,
}

impl ModelStore {
    fn write(&mut self, expected: Revision, value: Vec<u8>) -> Outcome<Revision> {
        let current = self.value.as_ref().map_or(Revision::ABSENT, |held| held.revision);
        if current != expected {
            return Outcome::NotDone(NotDone::Conflict { current });
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        self.value = Some(Versioned { revision, value });
        Outcome::Done(revision)
    }

    fn grants(&self) -> Vec<Grant> {
        let Some(held) = &self.value else { return Vec::new() };
        let shard = Shard::decode(&held.value).unwrap();
        shard.account(&budget()).unwrap().grants.clone()
    }

    fn granted(&self) -> u64 {
        self.grants().iter().map(|grant| grant.granted).sum()
    }
}

/// One holder with its open calls.
struct Holder {
    system: CeilingSystem,
    effects: Vec<CeilingEffect>,
    replies: Vec<(ReservationId, ReservationReply)>,
}

impl Holder {
    fn open(epoch: u64, headroom: Headroom) -> Holder {
        let system = CeilingSystem::open(EpochId(epoch), headroom);
        Holder { system, effects: Vec::new(), replies: Vec::new() }
    }

    fn sort_effects(&mut self) {
        let replies = &mut self.replies;
        self.effects.retain(|effect| {
            let CeilingEffect::Answer { id, reply } = effect else { return true };
            replies.push((*id, *reply));
            false
        });
    }

    fn ask(&mut self, ask: ReservationRequest, now: u64) {
        self.system.reserve(ask, Millis(now), &mut self.effects);
        self.sort_effects();
    }

    fn settle(&mut self, id: ReservationId, used: u64, now: u64) {
        let settlement = Settlement { id, budget: budget(), used };
        self.system.settle(&settlement, Millis(now), &mut self.effects);
        self.sort_effects();
    }

    fn tick(&mut self, now: u64) {
        self.system.tick(Millis(now), &mut self.effects);
        self.sort_effects();
    }

    fn read_done(&mut self, outcome: Outcome<Option<Versioned>>, now: u64) {
        self.system.read_done(&budget(), outcome, Millis(now), &mut self.effects);
        self.sort_effects();
    }

    fn write_done(&mut self, outcome: Outcome<Revision>, now: u64) {
        self.system.write_done(&budget(), outcome, Millis(now), &mut self.effects);
        self.sort_effects();
    }

    /// Carries calls out until none is open.
    fn run(&mut self, store: &mut ModelStore, now: u64) {
        while let Some(effect) = self.effects.pop() {
            match effect {
                CeilingEffect::Read { .. } => {
                    self.read_done(Outcome::Done(store.value.clone()), now);
                }
                CeilingEffect::Write { expected, value, .. } => {
                    let outcome = store.write(expected, value);
                    self.write_done(outcome, now);
                }
                CeilingEffect::Answer { .. } => unreachable!("answers are sorted out"),
            }
        }
    }

    fn committed(&self) -> u64 {
        self.system.budgets().iter().map(|held| held.used + held.reserved).sum()
    }

    fn used(&self) -> u64 {
        self.system.budgets().iter().map(|held| held.used).sum()
    }

    fn reply(&self, id: ReservationId) -> Option<ReservationReply> {
        self.replies.iter().find(|reply| reply.0 == id).map(|reply| reply.1)
    }
}

#[test]
fn the_key_names_workspace_and_budget() {
    assert_eq!(account_key(&budget()), "account/phone-line/prepaid");
}

#[test]
fn money_is_granted_after_the_store_has_acknowledged_it() {
    let mut holder = Holder::open(1, Headroom::None);
    let mut store = ModelStore::default();
    holder.ask(ask(1, 1_000), 0);
    assert_eq!(holder.reply(1), None);
    holder.run(&mut store, 1);
    assert_eq!(holder.reply(1), Some(ReservationReply::Granted));
    assert_eq!(store.granted(), 1_000);
}

#[test]
fn a_used_reservation_frees_the_rest() {
    let mut holder = Holder::open(1, Headroom::None);
    let mut store = ModelStore::default();
    holder.ask(ask(1, 1_000), 0);
    holder.run(&mut store, 1);
    holder.settle(1, 300, 2);
    assert_eq!((holder.used(), holder.committed()), (300, 300));
}

#[test]
fn what_certainly_does_not_fit_is_exhausted() {
    let mut holder = Holder::open(1, Headroom::None);
    let mut store = ModelStore::default();
    holder.ask(ask(1, PREPAID), 0);
    holder.run(&mut store, 1);
    holder.ask(ask(2, 1), 2);
    holder.run(&mut store, 2);
    assert_eq!(holder.reply(2), Some(ReservationReply::Exhausted));
}

#[test]
fn what_a_dead_holder_may_have_left_is_short_not_exhausted() {
    let mut dead = Holder::open(1, Headroom::None);
    let mut store = ModelStore::default();
    dead.ask(ask(1, PREPAID), 0);
    dead.run(&mut store, 1);
    let mut holder = Holder::open(2, Headroom::None);
    holder.ask(ask(2, 1), 2);
    holder.run(&mut store, 2);
    assert_eq!(holder.reply(2), Some(ReservationReply::Short));
}

#[test]
fn a_top_up_is_used_by_its_version() {
    let mut holder = Holder::open(1, Headroom::None);
    let mut store = ModelStore::default();
    holder.ask(ask(1, PREPAID), 0);
    holder.run(&mut store, 1);
    let raised = ReservationRequest { prepaid: PREPAID + 500, prepaid_version: 2, ..ask(2, 500) };
    holder.ask(raised, 2);
    holder.run(&mut store, 2);
    assert_eq!(holder.reply(2), Some(ReservationReply::Granted));
    // An entry with the older version does not take the raise back.
    holder.ask(ask(3, 1), 3);
    holder.run(&mut store, 3);
    assert_eq!(holder.system.budgets()[0].prepaid, PREPAID + 500);
}

#[test]
fn a_request_waits_no_longer_than_its_patience() {
    let mut holder = Holder::open(1, Headroom::None);
    holder.ask(ask(1, 10), 0);
    holder.tick(199);
    assert_eq!(holder.reply(1), None);
    holder.tick(200);
    assert_eq!(holder.reply(1), Some(ReservationReply::Unavailable));
}

#[test]
fn a_settlement_before_its_ask_cancels_it() {
    let mut holder = Holder::open(1, Headroom::None);
    holder.settle(1, 0, 0);
    holder.ask(ask(1, 10), 1);
    assert_eq!(holder.reply(1), Some(ReservationReply::Unavailable));
}

#[test]
fn a_reservation_that_is_never_settled_counts_as_spent() {
    let mut holder = Holder::open(1, Headroom::None);
    let mut store = ModelStore::default();
    holder.ask(ask(1, 1_000), 0);
    holder.run(&mut store, 1);
    holder.tick(10_000);
    assert_eq!(holder.used(), 1_000);
    assert_eq!(holder.system.budgets()[0].in_doubt, 1_000);
}

#[test]
fn an_idle_holder_hands_its_headroom_back() {
    let mut holder = Holder::open(1, Headroom::ByRate);
    let mut store = ModelStore::default();
    holder.ask(ask(1, 1_000), 0);
    holder.run(&mut store, 1);
    assert!(store.granted() > 1_000, "a budget server holds headroom");
    holder.settle(1, 400, 100);
    holder.tick(3_000);
    holder.run(&mut store, 3_000);
    assert_eq!(store.grants(), [Grant { epoch: EpochId(1), granted: 400, settled: 400 }]);
}

/// Found on the users' bench (shires-orders trouble-3, 15.03 s): the holder had
/// lowered its books, met a conflict and never wrote again.
#[test]
fn a_lowering_that_met_a_conflict_is_written_again() {
    let mut holder = Holder::open(1, Headroom::None);
    let mut other = Holder::open(2, Headroom::None);
    let mut store = ModelStore::default();
    holder.ask(ask(1, 50_000), 0);
    holder.run(&mut store, 1);
    holder.settle(1, 0, 2);
    other.ask(ask(2, 100), 3);
    other.run(&mut store, 3);
    for now in (2_000..6_000).step_by(100) {
        holder.tick(now);
        holder.run(&mut store, now);
    }
    assert_eq!(store.granted(), 100);
}

#[test]
fn a_lost_raise_is_not_spent_before_a_later_write() {
    let mut holder = Holder::open(1, Headroom::None);
    let mut store = ModelStore::default();
    holder.ask(ask(1, 1_000), 0);
    holder.read_done(Outcome::Done(None), 1);
    let Some(CeilingEffect::Write { expected, value, .. }) = holder.effects.pop() else {
        panic!("a write follows the read");
    };
    holder.effects.clear();
    store.write(expected, value);
    holder.write_done(Outcome::Unknown, 2);
    assert_eq!(holder.reply(1), None);
    holder.tick(100);
    holder.run(&mut store, 100);
    assert_eq!(holder.reply(1), Some(ReservationReply::Granted));
    assert_eq!(store.granted(), 1_000);
}

#[test]
fn a_closed_holder_leaves_only_what_was_used() {
    let mut holder = Holder::open(1, Headroom::ByRate);
    let mut store = ModelStore::default();
    holder.ask(ask(1, 1_000), 0);
    holder.run(&mut store, 1);
    holder.settle(1, 10, 2);
    holder.system.close(Millis(3), &mut holder.effects);
    holder.run(&mut store, 3);
    assert!(holder.system.is_closed());
    assert_eq!(store.granted(), 10);
}

#[test]
fn headroom_shrinks_as_the_budget_runs_dry() {
    let mut holder = Holder::open(1, Headroom::ByRate);
    let mut store = ModelStore::default();
    let mut left_behind = Vec::new();
    for step in 0..90 {
        let now = step * 20;
        holder.ask(ask(u128::from(step), 1_000), now);
        holder.run(&mut store, now);
        holder.settle(u128::from(step), 1_000, now + 1);
        left_behind.push(store.granted() - holder.committed());
    }
    let most = |steps: std::ops::Range<usize>| left_behind[steps].iter().copied().max();
    let (early, late) = (most(0..20).unwrap(), most(80..90).unwrap());
    assert!(early > 5_000, "{early} tokens outlive an outage early in the day");
    assert!(late < 500, "{late} tokens are left behind by a death near the end");
}

/// World of several holders under random faults.
struct World {
    rng: StdRng,
    store: ModelStore,
    holders: Vec<Holder>,
    /// Writes that were not answered and may still land.
    late: Vec<(Revision, Vec<u8>)>,
    /// Tokens that dead holders had used or reserved.
    dead_committed: u64,
    next_epoch: u64,
    next_id: ReservationId,
    open: Vec<(usize, ReservationId, u64)>,
    prepaid: u64,
    version: u64,
}

impl World {
    fn open(seed: u64) -> World {
        let mut world = World {
            rng: StdRng::seed_from_u64(seed),
            store: ModelStore::default(),
            holders: Vec::new(),
            late: Vec::new(),
            dead_committed: 0,
            next_epoch: 1,
            next_id: 1,
            open: Vec::new(),
            prepaid: PREPAID,
            version: 1,
        };
        for _ in 0..3 {
            let holder = world.fresh_holder();
            world.holders.push(holder);
        }
        world
    }

    fn fresh_holder(&mut self) -> Holder {
        let headroom = if self.rng.random_bool(0.5) { Headroom::ByRate } else { Headroom::None };
        self.next_epoch += 1;
        Holder::open(self.next_epoch, headroom)
    }

    fn step(&mut self, now: u64, faults: bool) {
        let at = self.rng.random_range(0..self.holders.len());
        match self.rng.random_range(0..100) {
            0..40 => self.ask(at, now),
            40..65 => self.settle(now),
            65..70 if faults => self.land_late(),
            70..72 if faults => self.kill(at),
            72..74 => {
                self.prepaid += 1_000;
                self.version += 1;
            }
            _ => self.holders[at].tick(now),
        }
        for holder in 0..self.holders.len() {
            self.carry_out(holder, now, faults);
        }
        self.check();
    }

    fn ask(&mut self, at: usize, now: u64) {
        let tokens = self.rng.random_range(1..6_000);
        let id = self.next_id;
        self.next_id += 1;
        self.open.push((at, id, tokens));
        let ask = ReservationRequest {
            prepaid: self.prepaid,
            prepaid_version: self.version,
            ..ask(id, tokens)
        };
        self.holders[at].ask(ask, now);
    }

    fn settle(&mut self, now: u64) {
        if self.open.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.open.len());
        let (holder, id, tokens) = self.open.swap_remove(at);
        let used = self.rng.random_range(0..=tokens);
        self.holders[holder].settle(id, used, now);
    }

    fn kill(&mut self, at: usize) {
        self.dead_committed += self.holders[at].committed();
        let calls = std::mem::take(&mut self.holders[at].effects);
        for call in calls {
            if let CeilingEffect::Write { expected, value, .. } = call {
                self.late.push((expected, value));
            }
        }
        self.open.retain(|open| open.0 != at);
        self.holders[at] = self.fresh_holder();
    }

    fn land_late(&mut self) {
        if let Some((expected, value)) = self.late.pop() {
            self.store.write(expected, value);
        }
    }

    fn carry_out(&mut self, at: usize, now: u64, faults: bool) {
        let Some(effect) = self.holders[at].effects.pop() else { return };
        let fault = if faults { self.rng.random_range(0..10) } else { 9 };
        match effect {
            CeilingEffect::Read { .. } if fault == 0 => {
                self.holders[at].read_done(Outcome::NotDone(NotDone::Unavailable), now);
            }
            CeilingEffect::Read { .. } => {
                let value = self.store.value.clone();
                self.holders[at].read_done(Outcome::Done(value), now);
            }
            CeilingEffect::Write { expected, value, .. } => match fault {
                0 => self.holders[at].write_done(Outcome::NotDone(NotDone::Unavailable), now),
                1 => {
                    self.late.push((expected, value));
                    self.holders[at].write_done(Outcome::Unknown, now);
                }
                2 => {
                    self.store.write(expected, value);
                    self.holders[at].write_done(Outcome::Unknown, now);
                }
                _ => {
                    let outcome = self.store.write(expected, value);
                    self.holders[at].write_done(outcome, now);
                }
            },
            CeilingEffect::Answer { .. } => unreachable!("answers are sorted out"),
        }
    }

    fn check(&self) {
        let living: u64 = self.holders.iter().map(Holder::committed).sum();
        let spent = self.dead_committed + living;
        assert!(spent <= self.prepaid, "{spent} of {} tokens are spent", self.prepaid);
        assert!(self.store.granted() <= self.prepaid);
    }
}

#[test]
fn no_interleaving_overspends_and_nothing_of_the_living_is_stranded() {
    for seed in 0..300 {
        let mut world = World::open(seed);
        let mut now = 0;
        for _ in 0..400 {
            now += world.rng.random_range(1..60);
            world.step(now, true);
        }
        world.late.clear();
        while !world.open.is_empty() {
            world.settle(now);
        }
        for _ in 0..400 {
            now += 50;
            for at in 0..world.holders.len() {
                world.holders[at].tick(now);
                world.carry_out(at, now, false);
            }
            world.check();
        }
        for holder in &world.holders {
            let epoch = holder.system.epoch();
            let grants = world.store.grants();
            let granted =
                grants.iter().find(|grant| grant.epoch == epoch).map_or(0, |grant| grant.granted);
            assert_eq!(granted, holder.used(), "seed {seed}: a living holder strands money");
        }
    }
}

/// Found on the users' bench (shires-orders-grown trouble-3, 31 s): the store went
/// away a second after holders had changed, and the new ones ran dry in 0.3 s.
#[test]
fn a_holder_that_has_just_taken_a_budget_over_outlives_an_outage() {
    const TOKENS: u64 = 100;
    const PAUSE_MS: u64 = 50;
    // Headroom for 8 s is raised when 35 % of it are left.
    const LASTS_MS: u64 = 2_800;
    let mut holder = Holder::open(1, Headroom::ByRate);
    let mut store = ModelStore::default();
    for at in (0..10_000).step_by(PAUSE_MS as usize) {
        let id = u128::from(at);
        holder.ask(ReservationRequest { prepaid: 10 * PREPAID, ..ask(id, TOKENS) }, at);
        holder.run(&mut store, at);
        holder.settle(id, TOKENS, at + 20);
        holder.run(&mut store, at + 20);
        let headroom = store.granted() - holder.committed();
        // The request that finds less than that raises it.
        let needed = LASTS_MS / PAUSE_MS * TOKENS - TOKENS;
        assert!(at < 500 || headroom >= needed, "{headroom} tokens at {at} ms, {needed} needed");
    }
}

#[test]
fn while_the_store_is_away_asks_beyond_the_ceiling_are_refused_at_once_and_probe_seldom() {
    const AWAY_MS: u64 = 4_000;
    let mut holder = Holder::open(1, Headroom::None);
    let mut calls = 0;
    let mut held_up = 0;
    for now in (0..AWAY_MS).step_by(20) {
        holder.ask(ask(u128::from(now), 100), now);
        held_up += u32::from(holder.reply(u128::from(now)).is_none());
        while let Some(effect) = holder.effects.pop() {
            assert!(matches!(effect, CeilingEffect::Read { .. }));
            calls += 1;
            holder.read_done(Outcome::NotDone(NotDone::Unavailable), now);
        }
    }
    assert!(calls <= 2 + AWAY_MS / 400 + 1, "{calls} calls to a store that is away");
    assert!(held_up <= 20, "{held_up} asks waited for a store that is away");

    let mut store = ModelStore::default();
    let back = AWAY_MS + 500;
    holder.ask(ask(9_999, 100), back);
    holder.run(&mut store, back);
    assert_eq!(holder.reply(9_999), Some(ReservationReply::Granted));
}

#[test]
fn one_lost_answer_does_not_make_a_holder_refuse() {
    let mut holder = Holder::open(1, Headroom::None);
    let mut store = ModelStore::default();
    holder.ask(ask(1, 100), 0);
    holder.effects.clear();
    holder.read_done(Outcome::Unknown, 10);
    holder.tick(100);
    holder.run(&mut store, 100);
    assert_eq!(holder.reply(1), Some(ReservationReply::Granted));
}

/// Found on the users' bench (bwf-ost trouble-3, 0.5 s): the store went away when
/// traffic had just begun, and budgets that were nearly full were refused.
#[test]
fn the_first_request_of_a_full_budget_brings_headroom_for_an_outage() {
    const TOKENS: u64 = 100;
    let mut holder = Holder::open(1, Headroom::ByRate);
    let mut store = ModelStore::default();
    holder.ask(ask(1, TOKENS), 0);
    holder.run(&mut store, 1);
    let mut granted = 0;
    for at in (50..3_000).step_by(50) {
        let id = u128::from(at);
        holder.ask(ask(id, TOKENS), at);
        holder.effects.clear();
        granted += u32::from(holder.reply(id) == Some(ReservationReply::Granted));
    }
    assert_eq!(granted, 59, "the store does not answer after the first request");
    assert!(store.granted() <= PREPAID / 5, "a death strands {}", store.granted());
}
