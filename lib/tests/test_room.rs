//! What becomes of a request when there is too little room, and the tables that decide it.

use rosemarymoor_lib::dispatch::order::early_repeats::EarlyRepeats;
use rosemarymoor_lib::dispatch::order::room::{Decision, Demand, Room, decide, retry_after_ms};
use rosemarymoor_lib::dispatch::order::wait_queue::{Place, WaitQueue};
use rosemarymoor_lib::dispatch::order::workspace_rates::WorkspaceRates;
use rosemarymoor_lib::time::Millis;

/// Stream with an objective of 800 ms, whose caller waits 3.2 s for its first event.
const STREAM: Demand = Demand {
    age_ms: 0,
    objective_ms: 800,
    time_left_ms: 10_000,
    is_stream: true,
    is_taken_up: false,
};

const TAKEN_UP: Demand = Demand { is_taken_up: true, ..STREAM };

const SEND: Decision = Decision::Send { yields: false };

fn open(first_event_ms: f64, is_reliable: bool, has_queue: bool) -> Room {
    Room::Open { first_event_ms, is_reliable, has_queue }
}

macro_rules! decisions {
    ($($case:ident: $demand:expr, $room:expr => $expected:expr;)*) => {
        $(#[test]
        fn $case() {
            assert_eq!(decide(&$demand, &$room), $expected);
        })*
    };
}

decisions! {
    a_request_in_time_is_sent: STREAM, open(400.0, true, true) => SEND;
    one_that_can_only_be_late_yields: STREAM, open(900.0, true, true) => Decision::Send { yields: true };
    it_does_not_yield_by_old_news: STREAM, open(900.0, false, false) => SEND;
    a_stream_that_is_taken_up_never_yields: TAKEN_UP, open(9_000.0, true, true) => SEND;
    a_late_answer_is_better_than_a_refusal:
        STREAM, open(4_000.0, true, true) => Decision::Send { yields: true };
    a_request_whose_caller_will_have_left_is_refused_until_there_is_room:
        STREAM, open(5_000.0, true, true) => Decision::Refuse { room_after_ms: 1_800 };
    it_is_not_refused_by_old_news: STREAM, open(5_000.0, false, true) => SEND;
    it_is_not_refused_where_nothing_waits:
        STREAM, open(5_000.0, true, false) => Decision::Send { yields: true };
    a_deadline_before_the_answer_refuses_a_call:
        Demand { is_stream: false, time_left_ms: 300, ..STREAM }, open(500.0, true, true)
        => Decision::Refuse { room_after_ms: 200 };
    it_waits_for_a_target_that_opens_soon:
        STREAM, Room::Closed { wait_ms: 150 } => Decision::Wait { max_ms: 200 };
    it_is_not_held_in_vain:
        STREAM, Room::Closed { wait_ms: 300 } => Decision::Refuse { room_after_ms: 300 };
    it_is_not_held_again_and_again:
        Demand { age_ms: 190, ..STREAM }, Room::Closed { wait_ms: 50 }
        => Decision::Refuse { room_after_ms: 50 };
    nothing_is_held_for_an_unknown_service: STREAM, Room::Unknown => SEND;
}

#[test]
fn callers_come_back_when_there_is_room_and_not_together() {
    let delays: Vec<u64> = (0..1_000).map(|random| retry_after_ms(1_800, random)).collect();
    assert!(delays.iter().all(|delay| (1_800..2_300).contains(delay)));
    assert!(delays.iter().max() > delays.iter().min().map(|min| min + 400).as_ref());
}

fn place(class: u8, useful_until: u64, ticket: u64) -> Place {
    Place { class, useful_until: Millis(useful_until), work: 10, ticket }
}

#[test]
fn the_queue_serves_by_class_and_then_by_the_time_left() {
    let mut queue = WaitQueue::default();
    let places = [place(2, 100, 1), place(1, 900, 2), place(1, 300, 3)];
    for place in places {
        assert_eq!(queue.join(place, 100, place.ticket), Ok(vec![]));
    }
    let order: Vec<u64> = std::iter::from_fn(|| {
        let ticket = *queue.first()?;
        queue.leave(*places.iter().find(|place| place.ticket == ticket)?);
        Some(ticket)
    })
    .collect();
    assert_eq!(order, [3, 2, 1]);
    assert!(!queue.leave(places[0]), "it has left already");
}

#[test]
fn a_full_queue_gives_up_its_last_for_one_before_it() {
    let mut queue = WaitQueue::default();
    let mut ticket = 0;
    while queue.join(place(3, 100, ticket), 1 << 20, ticket).is_ok() {
        ticket += 1;
    }
    assert_eq!(queue.len(), 4, "bounded in bytes");
    assert_eq!(queue.join(place(4, 100, 90), 1, 90), Err(90), "a last one finds no room");
    assert_eq!(queue.join(place(0, 100, 91), 1 << 20, 91), Ok(vec![3]));
    assert_eq!(queue.join(place(0, 100, 92), 64 << 20, 92), Err(92), "one that never fits");
    assert!(queue.is_first(place(0, 100, 91)));
}

#[test]
fn many_times_the_usual_traffic_of_a_workspace_is_excess() {
    let mut rates = WorkspaceRates::default();
    for at in 0..200 {
        assert_eq!(rates.record("quiet", Millis(at * 100)), 0.0);
        assert_eq!(rates.record("hot", Millis(at * 100)), 0.0);
    }
    let mut excess = 0.0;
    for at in 0..300 {
        let now = Millis(20_000 + at * 13);
        excess = rates.record("hot", now);
        if at % 8 == 0 {
            assert_eq!(rates.record("quiet", now), 0.0);
        }
    }
    assert!(excess > 0.4, "{excess}");
}

#[test]
fn a_new_entry_finds_no_excess() {
    let mut rates = WorkspaceRates::default();
    let excess: f64 = (0..500).map(|at| rates.record("hot", Millis(at * 10))).sum();
    assert_eq!(excess, 0.0);
}

#[test]
fn who_comes_again_before_the_time_is_early() {
    let mut repeats = EarlyRepeats::default();
    repeats.record_refusal(7, Millis(500));
    assert!(repeats.is_early(7, Millis(400)) && !repeats.is_early(8, Millis(400)));
    assert!(!repeats.is_early(7, Millis(500)));
}
