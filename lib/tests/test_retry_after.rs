//! Tests of the retry delay while a budget cannot be reached: callers are refused throughout an outage, and
//! each comes back once.

use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::dispatch::retry_after::RetryAfter;
use rosemarymoor_lib::time::Millis;

const OUTAGE_MS: u64 = 5_000;

/// Time left of a caller that cannot wait.
const SHORT_TIME_LEFT_MS: u64 = 1_500;

/// Time that an answer takes once the store is back.
const ANSWER_MS: u64 = 500;

/// Guards against retries that arrive during the outage or all at once after it.
///
/// A caller fails every 10 ms during an outage of five seconds, and each retries once.
#[test]
fn retries_are_delayed_beyond_the_outage_and_jittered() {
    let mut retry_after = RetryAfter::default();
    let mut retries = Vec::new();
    for now in (0..OUTAGE_MS).step_by(10) {
        let random = rank::key_of(&now.to_string());
        retries.push(now + retry_after.record_failure(Millis(now), SHORT_TIME_LEFT_MS, random));
    }
    let after = retries.iter().filter(|at| **at >= OUTAGE_MS).count();
    assert!(
        after * 2 > retries.len(),
        "only {after} of {} retries come after the outage",
        retries.len()
    );
    let in_slot = |slot: u64| retries.iter().filter(|at| **at / 100 == slot).count();
    let max_in_slot = (0..100).map(in_slot).max().unwrap();
    assert!(max_in_slot < retries.len() / 10, "{max_in_slot} retries fall into the same 100 ms");
    retry_after.record_success();
    assert!(
        retry_after.record_failure(Millis(60_000), SHORT_TIME_LEFT_MS, 0) <= 700,
        "the first delay of a new outage is short"
    );
}

/// Returns how many of 100 callers that are refused in an outage are answered by their one repeat.
fn answered_percent(outage_ms: u64, time_left_ms: u64) -> u64 {
    let mut retry_after = RetryAfter::default();
    let refused: Vec<u64> = (0..outage_ms).step_by(10).collect();
    let is_answered = |now: &&u64| {
        let random = rank::key_of(&now.to_string());
        let delay_ms = retry_after.record_failure(Millis(**now), time_left_ms, random);
        **now + delay_ms >= outage_ms && delay_ms + ANSWER_MS <= time_left_ms
    };
    let answered = refused.iter().filter(is_answered).count();
    answered as u64 * 100 / refused.len() as u64
}

macro_rules! callers_in_an_outage {
    ($($name:ident: $outage_ms:expr, $time_left_ms:expr => $at_least:expr;)*) => {
        $(#[test]
        fn $name() {
            let answered = answered_percent($outage_ms, $time_left_ms);
            assert!(answered >= $at_least, "{answered} of 100 are answered");
        })*
    };
}

callers_in_an_outage! {
    callers_with_much_time_left_are_answered: OUTAGE_MS, 15_000 => 66;
    callers_with_some_time_left_are_answered: OUTAGE_MS, 6_000 => 50;
    all_with_much_time_left_outlast_a_short_outage: 2_000, 15_000 => 100;
    callers_with_little_time_left_come_back_early_enough: 500, SHORT_TIME_LEFT_MS => 100;
}

#[test]
fn no_caller_is_told_to_wait_for_more_than_a_third_of_its_time() {
    for time_left_ms in [3_000, 6_000, 15_000, 60_000] {
        let mut retry_after = RetryAfter::default();
        let longest =
            (0..1_000).map(|random| retry_after.record_failure(Millis(0), time_left_ms, random));
        assert!(longest.max().unwrap() * 3 <= time_left_ms);
    }
}
