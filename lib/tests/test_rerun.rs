//! When a request leaves a target that does not begin to answer it.

use rosemarymoor_lib::dispatch::heard_targets::HeardTargets;
use rosemarymoor_lib::dispatch::rerun::{Reason, Unanswered, Verdict, decide};
use rosemarymoor_lib::dispatch::targets::{Registration, TargetKey, TargetTable};
use rosemarymoor_lib::time::Millis;

/// Request with an objective of 500 ms, whose caller waits for 2 s, at a target of which nothing is
/// known.
const UNKNOWN: Unanswered = Unanswered {
    waited_ms: 1_000,
    age_ms: 1_000,
    objective_ms: 500,
    heard_ms_ago: None,
    begun_streams: 0,
    predicted_ms: Some(150.0),
    elsewhere_ms: Some(150.0),
};

macro_rules! decisions {
    ($($case:ident: $unanswered:expr => $expected:expr;)*) => {
        $(#[test]
        fn $case() {
            let reason = match decide(&$unanswered) {
                Verdict::Leave(reason) => Some(reason),
                Verdict::Stay { .. } => None,
            };
            assert_eq!(reason, $expected);
        })*
    };
}

decisions! {
    a_target_without_a_sign_of_life_is_left: UNKNOWN => Some(Reason::Silent);
    it_is_not_left_before_twice_the_objective:
        Unanswered { waited_ms: 990, ..UNKNOWN } => None;
    it_is_not_left_without_a_place_to_go_to:
        Unanswered { elsewhere_ms: None, ..UNKNOWN } => None;
    a_target_that_goes_on_with_other_streams_is_busy:
        Unanswered { begun_streams: 2, heard_ms_ago: Some(30), ..UNKNOWN } => None;
    a_target_that_answered_since_the_request_was_sent_is_busy:
        Unanswered { heard_ms_ago: Some(900), ..UNKNOWN } => None;
    a_target_that_answered_long_before_is_left:
        Unanswered { heard_ms_ago: Some(4_000), ..UNKNOWN } => Some(Reason::Silent);
    a_target_is_busy_as_predicted:
        Unanswered { predicted_ms: Some(900.0), ..UNKNOWN } => None;
    a_target_whose_begun_streams_stand_still_is_left_soon:
        Unanswered { waited_ms: 600, begun_streams: 2, heard_ms_ago: Some(700), ..UNKNOWN }
        => Some(Reason::Stalled);
    a_busy_target_is_left_shortly_before_the_caller_leaves:
        Unanswered { waited_ms: 1_500, age_ms: 1_500, heard_ms_ago: Some(10), ..UNKNOWN }
        => Some(Reason::TooLong);
    it_is_not_left_if_the_other_one_would_be_too_late:
        Unanswered {
            waited_ms: 1_500, age_ms: 1_500, heard_ms_ago: Some(10), elsewhere_ms: Some(800.0),
            ..UNKNOWN
        } => None;
}

fn key() -> TargetKey {
    let mut table = TargetTable::default();
    table.register(Registration {
        id: "t1".to_owned(),
        service: "s1".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_center: "a".to_owned(),
        slots: 1,
        software: None,
        leaving: false,
        cold_for_ms: None,
        started_ms: 1,
    });
    table.iter().next().unwrap().key
}

#[test]
fn begun_streams_are_counted_until_they_end() {
    let (key, mut heard) = (key(), HeardTargets::default());
    assert_eq!(heard.get(key), None);
    heard.begin_stream(key, Millis(100));
    heard.begin_stream(key, Millis(200));
    heard.record(key, Millis(300));
    heard.end_stream(key, Millis(400));
    let row = heard.get(key).unwrap();
    assert_eq!((row.begun_streams, row.at), (1, Millis(300)));
    heard.end_stream(key, Millis(60_000));
    assert_eq!(heard.get(key), None, "a target is forgotten a while after its last stream");
}
