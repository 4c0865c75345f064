//! Which requests are refused because targets broke off while they ran them.

use rosemarymoor_lib::dispatch::crash_tracker::{Crash, CrashTracker, MAX_CRASHES};
use rosemarymoor_lib::time::Millis;

const NOW: Millis = Millis(1_000);

fn crash(fingerprint: u128, target: usize) -> Crash {
    Crash { fingerprint, target: format!("t{target}") }
}

#[test]
fn a_request_is_refused_after_three_different_targets() {
    let mut marks = CrashTracker::default();
    let is_new: Vec<bool> = (0..4).map(|target| marks.record(&crash(7, target), NOW)).collect();
    assert_eq!(is_new, [false, false, true, false]);
    assert!(marks.is_refused(7, NOW));
    assert!(!marks.is_refused(8, NOW));
}

#[test]
fn one_target_that_breaks_off_again_and_again_is_the_targets_fault() {
    let mut marks = CrashTracker::default();
    assert!((0..20).all(|_| !marks.record(&crash(7, 1), NOW)));
    assert!(!marks.is_refused(7, NOW));
}

#[test]
fn one_crash_that_strikes_many_requests_refuses_none() {
    let mut marks = CrashTracker::default();
    for target in 0..MAX_CRASHES - 1 {
        assert!((0..500).all(|request| !marks.record(&crash(request, target), NOW)));
    }
    assert!((0..500).all(|request| !marks.is_refused(request, NOW)));
}

#[test]
fn what_others_refuse_is_refused_for_a_minute() {
    let mut marks = CrashTracker::default();
    marks.refuse(7, NOW);
    assert!(marks.is_refused(7, NOW.plus(59_000)));
    assert!(!marks.is_refused(7, NOW.plus(60_000)));
}

#[test]
fn the_oldest_request_is_forgotten_first() {
    let mut marks = CrashTracker::default();
    marks.refuse(1, NOW);
    for request in 2..5_000 {
        marks.refuse(request, NOW.plus(1));
    }
    assert!(!marks.is_refused(1, NOW.plus(2)));
    assert!(marks.is_refused(4_999, NOW.plus(2)));
}
