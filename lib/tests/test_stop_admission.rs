//! Tests of what an entry that stops still takes.

use rosemarymoor_lib::dispatch::order::stop_admission::StopPhase::{Accepting, Closing};
use rosemarymoor_lib::dispatch::order::stop_admission::{StopDemand, takes};

/// Time until the cut, in milliseconds.
const LEFT_MS: u64 = 3_700;

macro_rules! decisions {
    ($($name:ident: $phase:expr, limit $limit_ms:expr, likely $likely:expr => $taken:expr;)*) => {
        $(#[test]
        fn $name() {
            let demand = StopDemand {
                left_ms: LEFT_MS,
                limit_ms: $limit_ms,
                is_likely_in_time: $likely,
            };
            assert_eq!(takes($phase, &demand), $taken);
        })*
    };
}

decisions! {
    while_callers_come_what_is_likely_is_taken: Accepting, limit 15_000, likely true => true;
    while_callers_come_what_is_unlikely_is_refused: Accepting, limit 15_000, likely false => false;
    while_callers_come_what_its_limit_ends_in_time_is_taken: Accepting, limit LEFT_MS, likely false => true;
    after_that_a_likely_end_is_not_enough: Closing, limit LEFT_MS + 1, likely true => false;
    after_that_what_its_limit_ends_in_time_is_taken: Closing, limit LEFT_MS, likely false => true;
}
