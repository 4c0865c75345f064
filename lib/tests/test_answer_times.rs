//! Tests of what an entry that stops can still answer.

use rosemarymoor_lib::dispatch::order::answer_times::AnswerTimes;
use rosemarymoor_lib::time::Millis;

/// Returns whether a request ends in time after answers that took so long.
fn ends_within(took_ms: &[u64], left_ms: u64) -> bool {
    let mut times = AnswerTimes::default();
    for took_ms in took_ms {
        times.record("route", *took_ms, Millis(1));
    }
    times.ends_within("route", left_ms)
}

macro_rules! requests_at_a_stop {
    ($($name:ident: $took_ms:expr, $left_ms:expr => $ends:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(ends_within(&$took_ms, $left_ms), $ends);
        })*
    };
}

requests_at_a_stop! {
    a_route_of_short_answers_is_served: [60, 200, 90], 200 => true;
    a_route_with_one_long_answer_of_three_is_refused: [60, 4_000, 90], 300 => false;
    a_route_of_long_answers_is_refused: [3_000, 4_000, 90], 2_900 => false;
    one_long_answer_of_ten_is_served: [100, 100, 100, 100, 100, 100, 100, 100, 100, 4_000], 100 => true;
    two_long_answers_of_ten_are_refused: [100, 100, 100, 100, 100, 100, 100, 100, 4_000, 4_000], 100 => false;
    a_route_without_answers_is_served: [], 0 => true;
}

#[test]
fn old_answers_are_forgotten() {
    let mut took_ms = vec![9_000; 32];
    took_ms.extend([100; 29]);
    assert!(ends_within(&took_ms, 200));
    assert!(!ends_within(&took_ms[..60], 200));
}

#[test]
fn many_routes_evict_the_one_without_an_answer_for_the_longest_time() {
    let mut times = AnswerTimes::default();
    for route in 0..400 {
        times.record(&format!("r{route}"), 9_000, Millis(route));
    }
    assert!(times.ends_within("r0", 200));
    assert!(!times.ends_within("r399", 200));
}
