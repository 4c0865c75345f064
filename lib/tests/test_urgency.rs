//! Tests of the urgency of requests at a target.

use std::time::Duration;

use rosemarymoor_lib::dispatch::catalog::{CallKind, Route, Workspace};
use rosemarymoor_lib::dispatch::urgency::{Beginning, priority_of, urgency_of};

fn route(priority: Option<u8>) -> Route {
    Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: CallKind::Stream { resumable: true },
        timeout: Duration::from_secs(5),
        latency_objective: Duration::from_secs(1),
        backends: Vec::new(),
        max_attempts: 2,
        priority,
        public: false,
        allowed_regions: Vec::new(),
    }
}

fn workspace(priority: Option<u8>) -> Workspace {
    Workspace { name: "w".to_owned(), prepaid: None, priority, allowed_regions: Vec::new() }
}

macro_rules! priority_cases {
    ($($name:ident: $route:expr, $workspace:expr => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(priority_of(&route($route), Some(&workspace($workspace))), $expected);
        })*
    };
}

priority_cases! {
    the_workspace_goes_before_the_route: Some(3), Some(1) => Some(1);
    a_lower_workspace_goes_before_the_route_too: Some(0), Some(4) => Some(4);
    the_route_counts_without_one_of_the_workspace: Some(3), None => Some(3);
    neither_names_one: None, None => None;
}

#[test]
fn a_stream_that_is_taken_up_goes_before_new_requests_of_its_priority() {
    for priority in 0..=8 {
        let taken_up = urgency_of(priority, Beginning::TakenUp);
        assert!(taken_up < urgency_of(priority, Beginning::New));
        assert!(taken_up > 0 || priority == 0);
    }
}

#[test]
fn no_urgency_is_beyond_the_lowest() {
    assert_eq!(urgency_of(9, Beginning::New), 9);
    assert_eq!(urgency_of(u8::MAX, Beginning::TakenUp), 9);
}
