//! Short runs of the fault soak: a general one, and one for each seed that once failed.

use std::path::PathBuf;
use std::time::Duration;

use rosemarymoor_soak::{Plan, run};

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Time under faults; the full soak takes 20 s.
const FAULT_DURATION: Duration = Duration::from_secs(6);

/// Runs a plan and checks that it violates no invariant, injects faults and answers requests.
async fn assert_no_violations(plan: Plan) {
    let report = run(&plan).await.unwrap();
    assert!(report.findings.is_empty(), "{report:#?}");
    assert!(report.faults > 0 && report.answered > 0, "{report:#?}");
}

/// Returns the plan of the soak by hand.
fn full(seed: u64) -> Plan {
    let logs = Some(PathBuf::from(env!("CARGO_TARGET_TMPDIR")));
    Plan { logs, ..Plan::new(PathBuf::from(BINARY), seed) }
}

/// Returns a plan of 6 processes and 12 callers.
fn short(seed: u64) -> Plan {
    Plan {
        duration: FAULT_DURATION,
        entries: 3,
        budget_servers: 3,
        engines: 3,
        callers: 12,
        ..full(seed)
    }
}

/// Defines a test for each named plan.
macro_rules! seeds {
    ($($name:ident: $plan:expr;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                assert_no_violations($plan).await;
            }
        )*
    };
}

seeds! {
    a_short_run_violates_no_invariant: short(1);
    a_short_run_with_notices_violates_no_invariant: Plan { notices: true, ..short(3) };
    a_short_run_with_limits_violates_no_invariant: Plan { limits: true, ..short(4) };
    a_short_run_with_a_part_that_crashes_targets_violates_no_invariant: Plan { crashes: true, ..short(5) };
    a_short_run_with_restores_violates_no_invariant: Plan { restores: true, ..short(2) };
    a_short_run_with_stops_violates_no_invariant: Plan { stops: true, ..short(6) };
    // Entries that stopped took streams after their listener had closed, and cut them and running calls at
    // their end.
    seed_4701_whose_entries_cut_what_they_took_last: Plan { stops: true, ..full(4701) };
    // With four soaks at once, a port that was free when it was chosen was taken by another
    // soak's process before the entry bound it. Every test process now has a loopback address
    // of its own.
    seed_132_whose_entry_found_its_port_taken: short(132);
    // A budget server that heard of one entry's crashes only took the common part for the cause,
    // and those that knew better said nothing.
    seed_7105_whose_server_heard_of_one_entry: Plan { crashes: true, ..full(7105) };
    // Just after the start, reports of the bad part went to other servers than those of the
    // requests beside it.
    seed_7206_whose_reports_went_to_different_servers: Plan { crashes: true, ..full(7206) };
}
