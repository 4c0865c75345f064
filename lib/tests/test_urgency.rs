//! Tests of the urgency of requests at a target.

use rosemarymoor_lib::dispatch::order::urgency::{Beginning, PriorityRanks, urgency_of};

macro_rules! rank_cases {
    ($($name:ident: $first:expr, $second:expr;)*) => {
        $(#[test]
        fn $name() {
            let routes = vec![None, Some(0), Some(1), Some(3)];
            let workspaces = vec![None, Some(1), Some(4)];
            let ranks = PriorityRanks::new(routes, workspaces);
            let rank = |(of_workspace, of_route)| ranks.rank(of_route, of_workspace);
            let (first, second) = (rank($first).unwrap(), rank($second).unwrap());
            assert!(first < second, "{first} before {second}");
        })*
    };
}

rank_cases! {
    the_workspace_goes_before_the_route: (Some(1), Some(3)), (Some(4), Some(0));
    routes_order_the_requests_of_one_workspace: (Some(4), Some(0)), (Some(4), Some(1));
    routes_order_requests_of_workspaces_without_a_priority: (None, Some(1)), (None, Some(3));
    a_workspace_without_a_priority_goes_last: (Some(4), Some(3)), (None, Some(0));
    a_route_without_a_priority_goes_last: (Some(1), Some(3)), (Some(1), None);
}

#[test]
fn a_request_without_any_priority_has_no_rank() {
    let ranks = PriorityRanks::new(vec![None, Some(1)], vec![None]);
    assert_eq!(ranks.rank(None, None), None);
}

#[test]
fn a_configuration_with_few_priorities_uses_the_first_levels() {
    let ranks = PriorityRanks::new(vec![Some(0), Some(1), Some(2)], vec![Some(1), Some(1)]);
    let of = |route: u8| ranks.rank(Some(route), Some(1));
    assert_eq!([of(0), of(1), of(2)], [Some(0), Some(1), Some(2)]);
}

#[test]
fn a_stream_that_is_taken_up_goes_before_new_requests_of_its_priority() {
    for rank in 0..=8 {
        let taken_up = urgency_of(rank, Beginning::TakenUp);
        assert!(taken_up < urgency_of(rank, Beginning::New));
        assert!(taken_up > 0 || rank == 0);
    }
}

#[test]
fn no_urgency_is_beyond_the_lowest() {
    assert_eq!(urgency_of(9, Beginning::New), 9);
    assert_eq!(urgency_of(u8::MAX, Beginning::TakenUp), 9);
}
