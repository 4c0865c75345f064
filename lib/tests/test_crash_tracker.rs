//! Tests of the crash tracker, which refuses requests during whose runs several targets crashed.

use rosemarymoor_lib::dispatch::crash_tracker::{Crash, CrashTracker, MAX_CRASHES};
use rosemarymoor_lib::time::Millis;

const NOW: Millis = Millis(1_000);

fn crash(fingerprint: u128, target: usize) -> Crash {
    Crash { fingerprint, target: format!("t{target}") }
}

#[test]
fn a_request_is_refused_after_three_different_targets_crashed() {
    let mut tracker = CrashTracker::default();
    let is_new: Vec<bool> = (0..4).map(|target| tracker.record(&crash(7, target), NOW)).collect();
    assert_eq!(is_new, [false, false, true, false]);
    assert!(tracker.is_refused(7, NOW));
    assert!(!tracker.is_refused(8, NOW));
}

#[test]
fn repeated_crashes_of_one_target_do_not_refuse_a_request() {
    let mut tracker = CrashTracker::default();
    assert!((0..20).all(|_| !tracker.record(&crash(7, 1), NOW)));
    assert!(!tracker.is_refused(7, NOW));
}

#[test]
fn crashes_of_too_few_targets_refuse_none_of_their_requests() {
    let mut tracker = CrashTracker::default();
    for target in 0..MAX_CRASHES - 1 {
        assert!((0..500).all(|request| !tracker.record(&crash(request, target), NOW)));
    }
    assert!((0..500).all(|request| !tracker.is_refused(request, NOW)));
}

#[test]
fn a_request_refused_by_another_process_is_refused_for_a_minute() {
    let mut tracker = CrashTracker::default();
    tracker.refuse(7, NOW);
    assert!(tracker.is_refused(7, NOW.plus(59_000)));
    assert!(!tracker.is_refused(7, NOW.plus(60_000)));
}

#[test]
fn the_oldest_request_is_evicted_first() {
    let mut tracker = CrashTracker::default();
    tracker.refuse(1, NOW);
    for request in 2..5_000 {
        tracker.refuse(request, NOW.plus(1));
    }
    assert!(!tracker.is_refused(1, NOW.plus(2)));
    assert!(tracker.is_refused(4_999, NOW.plus(2)));
}
