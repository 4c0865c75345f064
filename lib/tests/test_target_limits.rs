//! Limits that targets name: what an entry knows of one, and permits that keep to it in sum.

use proptest::prelude::*;
use rosemarymoor_lib::dispatch::known_limit::KnownLimit;
use rosemarymoor_lib::dispatch::send_permits::{
    IssuerRank, LimitReport, PERMIT_VALIDITY_MS, PermitIssuer, PermitReply, PermitRequest,
};
use rosemarymoor_lib::dispatch::target_limit::{LimitChange, SendDecision, TargetLimit};
use rosemarymoor_lib::dispatch::target_process::TargetProcess;
use rosemarymoor_lib::time::Millis;

/// Length of the window in which the users count requests, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Length of a random run, in milliseconds.
const RUN_MS: u64 = 30_000;

fn process() -> TargetProcess {
    TargetProcess { id: "t0".to_owned(), started_ms: 7 }
}

/// What an entry is cut off from.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reach {
    Both,
    OnlySecond,
    None,
}

fn reach() -> impl Strategy<Value = Reach> {
    prop_oneof![4 => Just(Reach::Both), 2 => Just(Reach::OnlySecond), 1 => Just(Reach::None)]
}

/// World of issuers and entries, each of which wants to send all the time.
struct World {
    issuers: [PermitIssuer; 2],
    entries: Vec<(TargetLimit, Reach)>,
    sent: Vec<u64>,
}

impl World {
    fn new(limit: f64, reaches: &[Reach], now: Millis) -> World {
        let entries = reaches.iter().map(|reach| {
            let mut known = TargetLimit::default();
            known.apply(Some(limit), now, now);
            (known, *reach)
        });
        World { issuers: Default::default(), entries: entries.collect(), sent: Vec::new() }
    }

    /// Lets an entry send a request if it may.
    fn try_send(&mut self, entry: usize, random: f64, now: Millis) {
        let entry_count = self.entries.len() as u64;
        let (known, reach) = &mut self.entries[entry];
        let is_sent = match known.decide(now) {
            SendDecision::Send => true,
            SendDecision::Wait => false,
            SendDecision::Ask(limit) => {
                let report = LimitReport { target: process(), limit };
                let rank = match reach {
                    Reach::Both => Some(IssuerRank::First),
                    Reach::OnlySecond => Some(IssuerRank::Second),
                    Reach::None => None,
                };
                match rank {
                    Some(rank) => {
                        let req = PermitRequest { report, rank };
                        let reply = self.issuers[rank as usize].issue(&req, now);
                        known.apply_reply(&reply, now);
                        known.decide(now) == SendDecision::Send
                    }
                    None => known.take_unassisted(entry_count, random, now),
                }
            }
        };
        if is_sent {
            self.sent.push(now.0);
        }
    }

    /// Returns the largest number of requests in a window.
    fn busiest_window(&self) -> usize {
        let count =
            |to: &u64| self.sent.iter().filter(|at| **at + WINDOW_MS > *to && **at <= *to).count();
        self.sent.iter().map(count).max().unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn the_sum_keeps_the_limit_whatever_the_entries_reach(
        limit in prop_oneof![Just(0.0), 0.1..2.0, 2.0..60.0_f64],
        reaches in proptest::collection::vec(reach(), 1..60),
        changes in proptest::collection::vec((0..60_usize, reach()), 0..20),
        seed in any::<u64>(),
    ) {
        let mut now = Millis(100_000);
        let mut world = World::new(limit, &reaches, now);
        let mut changes = changes.into_iter().peekable();
        let mut random = seed | 1;
        for step in 0..RUN_MS / 10 {
            now = now.plus(10);
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let entry = (random >> 33) as usize % reaches.len();
            world.try_send(entry, (random >> 11) as f64 / (1_u64 << 53) as f64, now);
            let change = changes.next_if(|_| step % 100 == 99);
            if let Some((entry, reach)) = change {
                world.entries[entry % reaches.len()].1 = reach;
            }
            if random % 1_999 == 0 {
                world.issuers[0] = PermitIssuer::default();
            }
        }
        let allowed = limit * 6.0 + 5.0;
        prop_assert!(world.busiest_window() as f64 <= allowed, "{} in 4 s", world.busiest_window());
    }
}

/// Runs entries that all reach the issuers for 20 s.
fn run_undisturbed(entries: usize, limit: f64) -> World {
    let mut now = Millis(0);
    let reaches: Vec<Reach> = std::iter::repeat_n(Reach::Both, entries).collect();
    let mut world = World::new(limit, &reaches, now);
    while now < Millis(20_000) {
        now = now.plus(5);
        world.try_send((now.0 / 5) as usize % entries, 0.5, now);
    }
    world
}

/// Defines a test for each number of entries and limit, with the least number sent in 20 s.
macro_rules! use_cases {
    ($($case:ident: $entries:literal, $limit:literal => $sent:literal;)*) => {
        $(#[test]
        fn $case() {
            let world = run_undisturbed($entries, $limit);
            assert!(world.sent.len() >= $sent, "{}", world.sent.len());
            assert!(world.busiest_window() as f64 <= $limit * 6.0 + 5.0);
        })*
    };
}

use_cases! {
    one_entry_uses_a_limit: 1, 2.0 => 36;
    sixty_entries_use_half_a_request_a_second: 60, 0.5 => 8;
    twelve_entries_use_a_high_limit: 12, 50.0 => 900;
}

#[test]
fn a_limit_of_nothing_still_lets_a_request_through_now_and_then() {
    let mut world = World::new(0.0, &[Reach::Both], Millis(0));
    for at in (0..120_000).step_by(100) {
        world.try_send(0, 0.5, Millis(at));
    }
    assert!((1..10).contains(&world.sent.len()), "{}", world.sent.len());
}

#[test]
fn an_answer_without_a_limit_that_was_asked_for_before_does_not_end_it() {
    let mut known = TargetLimit::default();
    assert_eq!(known.apply(Some(2.0), Millis(10), Millis(30)), LimitChange::Limited(2.0));
    assert_eq!(known.apply(None, Millis(20), Millis(40)), LimitChange::Unchanged);
    assert_eq!(known.per_second(), Some(2.0));
    assert_eq!(known.apply(None, Millis(50), Millis(60)), LimitChange::Ended);
    assert_eq!(known.decide(Millis(60)), SendDecision::Send);
}

#[test]
fn a_permit_that_was_not_used_in_time_is_lost() {
    let mut known = TargetLimit::default();
    known.apply(Some(2.0), Millis(0), Millis(0));
    let limit = KnownLimit::new(Some(2.0), Millis(0), Millis(0));
    known.apply_reply(&PermitReply { limit, granted: 2, wait_ms: 0 }, Millis(0));
    assert_eq!(known.decide(Millis(1)), SendDecision::Send);
    assert!(matches!(known.decide(Millis(PERMIT_VALIDITY_MS)), SendDecision::Ask(_)));
}

#[test]
fn an_entry_learns_from_an_issuer_that_a_limit_has_ended() {
    let (mut issuer, mut known) = (PermitIssuer::default(), TargetLimit::default());
    known.apply(Some(1.0), Millis(0), Millis(0));
    let ended = KnownLimit::new(None, Millis(500), Millis(500));
    issuer.apply_report(&LimitReport { target: process(), limit: ended }, Millis(500));
    let SendDecision::Ask(limit) = known.decide(Millis(600)) else { panic!("it has no permit") };
    let report = LimitReport { target: process(), limit };
    let reply = issuer.issue(&PermitRequest { report, rank: IssuerRank::First }, Millis(600));
    assert_eq!(known.apply_reply(&reply, Millis(600)), LimitChange::Ended);
    assert_eq!(known.decide(Millis(600)), SendDecision::Send);
}

#[test]
fn a_process_that_starts_anew_has_no_limit_at_an_issuer() {
    let mut issuer = PermitIssuer::default();
    let old = KnownLimit::new(Some(1.0), Millis(0), Millis(0));
    issuer.apply_report(&LimitReport { target: process(), limit: old }, Millis(0));
    let target = TargetProcess { started_ms: 8, ..process() };
    let limit = KnownLimit::new(Some(30.0), Millis(0), Millis(0));
    let req = PermitRequest { report: LimitReport { target, limit }, rank: IssuerRank::First };
    issuer.issue(&req, Millis(0));
    assert!(
        issuer.issue(&req, Millis(200)).granted > 0,
        "at 30 a second there is one after 200 ms"
    );
}
