//! Tests of the crash tracker, which refuses what crashes targets.

use rosemarymoor_lib::dispatch::crash::suspect::{
    Level, MAX_CRASHES, SETTLING_MS, Suspect, Suspicion, TRIAL_CRASHES, suspects_of,
};
use rosemarymoor_lib::dispatch::crash::tracker::{
    Completion, Crash, CrashTracker, Decision, RETENTION_MS, TrialRequest,
};
use rosemarymoor_lib::time::Millis;

const NOW: Millis = Millis(1_000_000);

/// Time between two crashes, long enough that each counts.
const GAP_MS: u64 = 1_000;

/// Requests with a bad part that may reach targets which stay: eight entries see the first crash each.
const MAX_REACHING: u64 = 11;

/// Part that is in most prompts.
const COMMON: u64 = 1;
const BAD: u64 = 2;
const LAST: u64 = 99;

fn fingerprint(number: u64) -> u128 {
    u128::from(u64::MAX) + 1 + u128::from(number)
}

/// Returns the suspects of a request with these parts; its last part is its own.
fn request(number: u64, parts: &[u64]) -> Vec<Suspect> {
    suspects_of(fingerprint(number), &[parts, &[LAST + number]].concat())
}

fn crash(suspects: &[Suspect], target: usize) -> Crash {
    Crash { target: format!("t{target}/1"), suspects: suspects.to_vec(), sent_ago_ms: 10 }
}

fn completion(suspects: &[Suspect], is_certain: bool) -> Completion {
    let (target, suspects) = ("t0/1".to_owned(), suspects.to_vec());
    Completion { target, suspects, is_certain, ended_ago_ms: Some(0) }
}

fn told(suspect: Suspect, level: Level) -> Suspicion {
    Suspicion { suspect, level, rivals: Vec::new() }
}

/// Records one crash after the other, each of another target, which runs these requests; returns the
/// time after the last one has settled.
fn crash_in_turn(tracker: &mut CrashTracker, crashes: &[Vec<Vec<Suspect>>]) -> Millis {
    let mut now = NOW;
    for (target, requests) in crashes.iter().enumerate() {
        now = now.plus(GAP_MS);
        for suspects in requests {
            tracker.record_crash(&crash(suspects, target), now);
        }
        tracker.settle(now.plus(SETTLING_MS));
    }
    now.plus(SETTLING_MS)
}

fn is_refused(tracker: &CrashTracker, suspects: &[Suspect], now: Millis) -> bool {
    tracker.decide(suspects, now) == Decision::Refuse
}

#[test]
fn a_request_is_refused_after_three_different_targets_crashed() {
    let mut tracker = CrashTracker::default();
    let refused: Vec<bool> = (0..4)
        .map(|target| {
            let now = NOW.plus(GAP_MS * target as u64);
            tracker.record_crash(&crash(&request(7, &[]), target), now);
            let changes = tracker.settle(now.plus(SETTLING_MS));
            changes.iter().any(|change| change.level == Level::Refused)
        })
        .collect();
    assert_eq!(refused, [false, false, true, false]);
    let now = NOW.plus(GAP_MS * 4);
    assert!(is_refused(&tracker, &request(7, &[]), now));
    assert_eq!(tracker.decide(&request(8, &[]), now), Decision::Run);
}

#[test]
fn repeated_crashes_of_one_target_do_not_refuse_a_request() {
    let mut tracker = CrashTracker::default();
    for number in 0..20 {
        let now = NOW.plus(GAP_MS * number);
        tracker.record_crash(&crash(&request(7, &[]), 1), now);
        assert!(tracker.settle(now.plus(SETTLING_MS)).is_empty());
        assert_eq!(tracker.decide(&request(7, &[]), now), Decision::Run);
    }
}

#[test]
fn crashes_of_too_few_targets_refuse_none_of_their_requests() {
    let mut tracker = CrashTracker::default();
    let requests: Vec<_> = (0..500).map(|number| request(number, &[])).collect();
    let now = crash_in_turn(&mut tracker, &vec![requests.clone(); MAX_CRASHES - 1]);
    assert!(requests.iter().all(|suspects| !is_refused(&tracker, suspects, now)));
}

#[test]
fn targets_that_end_at_the_same_moment_refuse_nothing() {
    let mut tracker = CrashTracker::default();
    for target in 0..50 {
        let suspects = request(target as u64, &[COMMON, BAD]);
        let crash = Crash { sent_ago_ms: 500, ..crash(&suspects, target) };
        tracker.record_crash(&crash, NOW.plus(target as u64));
    }
    let later = NOW.plus(GAP_MS);
    assert!(tracker.settle(later).is_empty());
    assert_eq!(tracker.decide(&request(77, &[COMMON, BAD]), later), Decision::Run);
}

#[test]
fn a_refusal_by_another_process_lasts_while_such_requests_come() {
    let mut tracker = CrashTracker::default();
    let suspects = request(7, &[]);
    tracker.apply(&told(suspects[0], Level::Refused), NOW);
    let mut now = NOW;
    for _ in 0..5 {
        now = now.plus(RETENTION_MS - 1);
        tracker.apply(&told(Suspect(1), Level::Tried), now);
        assert_ne!(tracker.decide(&suspects, now), Decision::Run);
        tracker.record_refused(&suspects, now);
    }
    now = now.plus(RETENTION_MS);
    tracker.apply(&told(Suspect(1), Level::Tried), now);
    assert_eq!(tracker.decide(&suspects, now), Decision::Run);
}

#[test]
fn the_oldest_request_is_evicted_first() {
    let mut tracker = CrashTracker::default();
    tracker.apply(&told(Suspect(fingerprint(1)), Level::Refused), NOW);
    for number in 2..5_000 {
        let suspect = Suspect(fingerprint(number));
        tracker.apply(&told(suspect, Level::Refused), NOW.plus(1));
    }
    assert!(!is_refused(&tracker, &request(1, &[]), NOW.plus(2)));
    assert!(is_refused(&tracker, &request(4_999, &[]), NOW.plus(2)));
}

#[test]
fn many_parts_of_callers_evict_no_suspect_with_more_crashes() {
    let mut tracker = CrashTracker::default();
    let bad = |number| request(number, &[BAD]);
    crash_in_turn(&mut tracker, &[vec![bad(1)], vec![bad(2)]]);
    let now = NOW.plus(GAP_MS * 10);
    for number in 0..100 {
        let parts: Vec<u64> = (0..200).map(|part| 10_000 + number * 200 + part).collect();
        tracker.record_crash(&crash(&request(number, &parts), 77), now);
    }
    assert_eq!(tracker.decide(&bad(3), now), Decision::AskTrial);
}

#[test]
fn a_part_is_refused_whatever_else_its_requests_hold() {
    let mut tracker = CrashTracker::default();
    let requests = [[BAD, 10, 11], [12, BAD, 13], [14, 15, BAD]];
    let crashes: Vec<_> = requests.iter().map(|parts| vec![request(parts[0], parts)]).collect();
    let now = crash_in_turn(&mut tracker, &crashes);
    assert!(is_refused(&tracker, &request(50, &[20, BAD, 21]), now));
    for part in 10..16 {
        assert_eq!(tracker.decide(&request(51, &[part]), now), Decision::Run, "{part}");
    }
}

#[test]
fn the_last_part_of_a_prompt_is_never_suspected() {
    assert_eq!(suspects_of(fingerprint(1), &[BAD]), [Suspect(fingerprint(1))]);
    let suspects = suspects_of(fingerprint(1), &[COMMON, BAD]);
    assert_eq!(suspects, [Suspect::part(COMMON), Suspect(fingerprint(1))]);
}

#[test]
fn a_part_that_has_completed_is_not_suspected() {
    let mut tracker = CrashTracker::default();
    tracker.record_sound(&completion(&request(1, &[COMMON]), true), NOW);
    let bad = |number| vec![request(number, &[COMMON, BAD])];
    let now = crash_in_turn(&mut tracker, &[bad(1), bad(2), bad(3)]);
    assert!(is_refused(&tracker, &request(50, &[COMMON, BAD]), now));
    assert_eq!(tracker.decide(&request(51, &[COMMON]), now), Decision::Run);
}

#[test]
fn parts_that_nobody_can_tell_apart_are_refused_together_and_tried_alone() {
    let mut tracker = CrashTracker::default();
    let bad = |number| vec![request(number, &[COMMON, BAD])];
    let now = crash_in_turn(&mut tracker, &[bad(1), bad(2), bad(3)]);
    assert!(is_refused(&tracker, &request(50, &[COMMON, BAD]), now));
    let sound = request(51, &[COMMON]);
    assert_eq!(tracker.try_at(&sound, "t8/1", 1, now), Decision::Run);
    assert_eq!(tracker.try_at(&request(52, &[COMMON]), "t9/1", 2, now), Decision::Wait);
    tracker.record_sound(&completion(&sound, true), now);
    tracker.settle(now);
    assert_eq!(tracker.decide(&request(53, &[COMMON]), now), Decision::Run);
    assert!(is_refused(&tracker, &request(54, &[BAD]), now), "it is told apart now");
}

#[test]
fn a_sound_request_that_crashed_beside_the_bad_ones_is_not_refused() {
    let mut tracker = CrashTracker::default();
    let sound = request(1, &[COMMON, 5]);
    let bad = |number| vec![sound.clone(), request(number, &[COMMON, BAD])];
    let now = crash_in_turn(&mut tracker, &[bad(2), bad(3), bad(4)]);
    assert!(!is_refused(&tracker, &sound, now));
    assert!(!is_refused(&tracker, &request(5, &[COMMON]), now));
    // The next two crashes of the bad part have the sound one not beside it.
    let mut now = now;
    for target in 9..11 {
        tracker.record_crash(&crash(&request(6 + target as u64, &[BAD]), target), now.plus(GAP_MS));
        now = now.plus(GAP_MS + SETTLING_MS);
        tracker.settle(now);
    }
    assert!(is_refused(&tracker, &request(7, &[BAD]), now));
    assert_eq!(tracker.decide(&sound, now), Decision::Run);
}

#[test]
fn a_chance_crash_of_a_trial_does_not_tell_two_suspects_apart() {
    let mut tracker = CrashTracker::default();
    let bad = |number| vec![request(number, &[COMMON, BAD])];
    let now = crash_in_turn(&mut tracker, &[bad(1), bad(2), bad(3)]).plus(GAP_MS);
    let sound = request(51, &[COMMON]);
    assert_eq!(tracker.try_at(&sound, "t3/1", 3, now), Decision::Run);
    tracker.record_crash(&crash(&sound, 3), now);
    let now = now.plus(GAP_MS);
    tracker.settle(now);
    assert_eq!(tracker.try_at(&request(52, &[COMMON]), "t4/1", 4, now), Decision::Run);
}

#[test]
fn what_many_requests_of_each_crash_have_is_not_refused_with_the_first_crashes() {
    let mut tracker = CrashTracker::default();
    // The requests with the bad part are reported elsewhere.
    let common = |first| (first..first + 4).map(|number| request(number, &[COMMON])).collect();
    let now = crash_in_turn(&mut tracker, &[common(0), common(10), common(20)]);
    assert_eq!(tracker.try_at(&request(50, &[COMMON]), "t8/1", 5, now), Decision::Run);
}

#[test]
fn a_bad_part_that_comes_in_bursts_is_refused() {
    let mut tracker = CrashTracker::default();
    let burst = |first| (first..first + 9).map(|number| request(number, &[BAD])).collect();
    let one = |number| vec![request(number, &[BAD])];
    let crashes = [burst(0), burst(10), one(20), one(21), one(22), one(23)];
    let now = crash_in_turn(&mut tracker, &crashes);
    assert!(is_refused(&tracker, &request(50, &[BAD]), now));
}

#[test]
fn a_bad_part_is_refused_whose_targets_stay_and_get_it_from_many_entries() {
    let mut tracker = CrashTracker::default();
    let mut now = NOW;
    let mut reached = 0;
    // Entries in turn choose the target at which they have seen no crash yet.
    for target in 0..8 {
        for entry in 0..8 {
            let suspects = request(target * 8 + entry, &[COMMON, BAD]);
            now = now.plus(GAP_MS);
            let process = format!("t{target}/1");
            if tracker.try_at(&suspects, &process, reached, now) != Decision::Run {
                continue;
            }
            reached += 1;
            tracker.record_crash(&crash(&suspects, target as usize), now.plus(50));
            tracker.settle(now.plus(50 + SETTLING_MS));
        }
    }
    assert!(is_refused(&tracker, &request(99, &[COMMON, BAD]), now));
    assert!(reached <= MAX_REACHING, "{reached} reached targets");
}

#[test]
fn a_suspect_is_tried_again_where_it_crashed_only_if_no_other_target_is_left() {
    let mut tracker = CrashTracker::default();
    let now = crash_in_turn(&mut tracker, &vec![vec![request(1, &[BAD])]; TRIAL_CRASHES]);
    let suspects = request(3, &[BAD]);
    assert_eq!(tracker.try_at(&suspects, "t0/1", 1, now), Decision::OtherTarget);
    let req = TrialRequest {
        suspects,
        suspicions: Vec::new(),
        crash: None,
        target: "t0/1".to_owned(),
        request: 1,
        is_last_target: true,
    };
    assert_eq!(tracker.try_request(&req, now), Decision::Run);
}

#[test]
fn a_sound_part_that_one_broken_target_gets_is_not_refused() {
    let mut tracker = CrashTracker::default();
    let mut now = NOW;
    for number in 0..20 {
        now = now.plus(GAP_MS);
        let suspects = request(number, &[COMMON]);
        if tracker.try_at(&suspects, "t0/1", number, now) == Decision::Run {
            tracker.record_crash(&crash(&suspects, 0), now);
            tracker.settle(now.plus(SETTLING_MS));
        }
        let next = request(100 + number, &[COMMON]);
        assert!(!is_refused(&tracker, &next, now.plus(SETTLING_MS)));
    }
}

#[test]
fn a_report_that_comes_late_shows_the_cause_before_another_is_refused() {
    let mut tracker = CrashTracker::default();
    let sound = request(1, &[COMMON]);
    let mut now = NOW;
    for target in 0..MAX_CRASHES {
        now = now.plus(GAP_MS);
        tracker.record_crash(&crash(&sound, target), now);
        tracker.settle(now.plus(SETTLING_MS / 2));
        assert!(!is_refused(&tracker, &sound, now));
        let bad = request(10 + target as u64, &[COMMON, BAD]);
        tracker.record_crash(&crash(&bad, target), now.plus(SETTLING_MS / 2));
        tracker.settle(now.plus(SETTLING_MS * 2));
    }
    assert!(!is_refused(&tracker, &request(50, &[COMMON]), now.plus(SETTLING_MS * 2)));
}

#[test]
fn suspects_of_one_crash_are_tried_one_at_a_time_and_at_different_targets() {
    let mut tracker = CrashTracker::default();
    let (one, other) = (request(1, &[BAD]), request(2, &[5]));
    let both = vec![one.clone(), other.clone()];
    let now = crash_in_turn(&mut tracker, &vec![both; TRIAL_CRASHES]);
    assert_eq!(tracker.decide(&one, now), Decision::AskTrial);
    assert_eq!(tracker.try_at(&one, "t7/1", 6, now), Decision::Run);
    assert_eq!(tracker.try_at(&request(3, &[BAD]), "t8/1", 7, now), Decision::Wait);
    assert_eq!(tracker.try_at(&other, "t7/1", 8, now), Decision::OtherTarget);
    assert_eq!(tracker.try_at(&other, "t8/1", 9, now), Decision::Run);
}

#[test]
fn a_trial_that_did_not_reach_its_target_goes_on_at_another_one() {
    let mut tracker = CrashTracker::default();
    let bad = |number| vec![request(number, &[BAD])];
    let now = crash_in_turn(&mut tracker, &[bad(1), bad(2)]);
    let next = request(3, &[BAD]);
    assert_eq!(tracker.try_at(&next, "t7/1", 70, now), Decision::Run);
    assert_eq!(tracker.try_at(&next, "t8/1", 70, now), Decision::Run);
    assert_eq!(tracker.try_at(&next, "t8/1", 71, now), Decision::Wait);
}

#[test]
fn an_end_of_connection_is_no_completion_after_a_crash_of_the_target() {
    let mut tracker = CrashTracker::default();
    let bad = |number| vec![request(number, &[BAD])];
    let now = crash_in_turn(&mut tracker, &[bad(1), bad(2), bad(3)]);
    let crashed =
        Completion { target: "t2/1".to_owned(), ..completion(&request(9, &[BAD]), false) };
    assert!(tracker.record_sound(&crashed, now).is_empty());
    assert!(is_refused(&tracker, &request(10, &[BAD]), now));
    let alive = Completion { target: "t8/1".to_owned(), ..crashed };
    assert!(!tracker.record_sound(&alive, now).is_empty());
    assert_eq!(tracker.decide(&request(10, &[BAD]), now), Decision::Run);
}

#[test]
fn an_end_of_connection_is_a_completion_unless_the_target_crashed_then() {
    let mut tracker = CrashTracker::default();
    tracker.record_crash(&crash(&request(1, &[BAD]), 3), NOW);
    let ended = |ended_ago_ms| Completion {
        target: "t3/1".to_owned(),
        ended_ago_ms,
        ..completion(&request(9, &[BAD]), false)
    };
    let now = NOW.plus(1_000);
    assert!(!tracker.is_completion(&ended(Some(1_100)), now));
    assert!(!tracker.is_completion(&ended(Some(900)), now));
    assert!(!tracker.is_completion(&ended(None), now));
    assert!(tracker.is_completion(&ended(Some(300)), now));
    assert!(tracker.is_completion(&ended(Some(1_700)), now));
}

#[test]
fn a_part_whose_answers_end_with_their_connections_again_and_again_is_sound() {
    let mut tracker = CrashTracker::default();
    tracker.record_sound(&completion(&request(1, &[COMMON]), false), NOW);
    assert_eq!(tracker.unproven(&request(2, &[COMMON])), request(2, &[COMMON]));
    tracker.record_sound(&completion(&request(2, &[COMMON]), false), NOW);
    assert_eq!(tracker.unproven(&request(3, &[COMMON])), request(3, &[]));
}

#[test]
fn crashes_that_happen_more_often_without_a_part_take_longer_to_refuse_it() {
    let other = |number| vec![request(1_000 + number, &[])];
    let bad = |number| vec![request(number, &[BAD])];
    let mut crashes = Vec::new();
    for number in 0..5 {
        crashes.extend([
            bad(number),
            other(3 * number),
            other(3 * number + 1),
            other(3 * number + 2),
        ]);
    }
    let is_refused_after = |count: usize| {
        let mut tracker = CrashTracker::default();
        let now = crash_in_turn(&mut tracker, &crashes[..count]);
        is_refused(&tracker, &request(99, &[BAD]), now)
    };
    assert_eq!([9, 13, 17].map(is_refused_after), [false, false, true]);
}

#[test]
fn a_wrong_refusal_ends_with_the_next_trial() {
    let mut tracker = CrashTracker::default();
    let bad = |number| vec![request(number, &[BAD])];
    let now = crash_in_turn(&mut tracker, &[bad(1), bad(2), bad(3)]);
    let next = request(4, &[BAD]);
    assert_eq!(tracker.try_at(&next, "t8/1", 10, now), Decision::Refuse);
    let due = now.plus(30_000);
    assert_eq!(tracker.try_at(&next, "t8/1", 11, due), Decision::Run);
    assert_eq!(tracker.try_at(&request(5, &[BAD]), "t9/1", 12, due), Decision::Refuse);
    tracker.record_sound(&completion(&next, true), due);
    assert_eq!(tracker.decide(&request(6, &[BAD]), due), Decision::Run);
}

#[test]
fn a_true_refusal_is_tried_ever_less_often() {
    let mut tracker = CrashTracker::default();
    let bad = |number| vec![request(number, &[BAD])];
    let refused_at = crash_in_turn(&mut tracker, &[bad(1), bad(2), bad(3)]);
    let mut trials = Vec::new();
    for second in 0..3_600 {
        let now = refused_at.plus(second * 1_000);
        let next = request(10 + second, &[BAD]);
        tracker.record_refused(&next, now);
        if tracker.try_at(&next, &format!("u{second}/1"), 13, now) == Decision::Run {
            trials.push(second);
            tracker.record_crash(&crash(&next, 100 + second as usize), now.plus(50));
            tracker.settle(now.plus(500));
        }
    }
    assert_eq!(trials, [30, 90, 210, 450, 930, 1_890]);
}

#[test]
fn what_completes_at_another_process_is_free() {
    let mut tracker = CrashTracker::default();
    let bad = |number| vec![request(number, &[COMMON, BAD])];
    let now = crash_in_turn(&mut tracker, &[bad(1), bad(2), bad(3)]);
    assert!(tracker.apply(&told(Suspect::part(BAD), Level::Free), now));
    assert!(tracker.apply(&told(Suspect::part(COMMON), Level::Free), now));
    assert_eq!(tracker.decide(&request(9, &[COMMON, BAD]), now), Decision::Run);
}

#[test]
fn a_process_that_has_seen_a_part_complete_objects_to_its_refusal() {
    let mut tracker = CrashTracker::default();
    tracker.record_sound(&completion(&request(1, &[COMMON]), true), NOW);
    let refusal = told(Suspect::part(COMMON), Level::Refused);
    assert!(!tracker.apply(&refusal, NOW));
    assert_eq!(tracker.certainly_sound(&[refusal]), [Suspect::part(COMMON)]);
    assert_eq!(tracker.decide(&request(2, &[COMMON]), NOW), Decision::Run);
}
