//! Short seeded runs of the fault soak, and every seed that ever failed.

use std::path::PathBuf;
use std::time::Duration;

use rosemarymoor_soak::{Plan, run};

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Runs under faults for this long; the whole soak takes twenty seconds.
const SHORT: Duration = Duration::from_secs(6);

async fn assert_good(plan: Plan) {
    let report = run(&plan).await.unwrap();
    assert!(report.findings.is_empty(), "{report:#?}");
    assert!(report.faults > 0 && report.answered > 0, "{report:#?}");
}

fn short(seed: u64) -> Plan {
    let plan = Plan::new(PathBuf::from(BINARY), seed);
    Plan { duration: SHORT, entries: 3, budget_servers: 3, engines: 3, callers: 12, ..plan }
}

/// Names a test for each seed.
macro_rules! seeds {
    ($($name:ident: $plan:expr;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                assert_good($plan).await;
            }
        )*
    };
}

seeds! {
    a_short_run_keeps_all_promises: short(1);
    // Found when four soaks ran at once: a port that was free when it was chosen
    // belonged to another soak's process when the entry bound it. Every test
    // process has a loopback address of its own since then.
    seed_132_whose_entry_found_its_port_taken: short(132);
}
