//! `actions`: checks under faults that submissions run at most once, and that no request
//! that ran is refused as not run.

use std::io;
use std::time::Duration;

use rand::Rng;
use rosemarymoor_testutils::fleet::{Fleet, FleetPlan};
use rosemarymoor_testutils::kv::{KvFaults, Outage};
use serde_json::{Value, json};

use super::timeline::Timeline;
use super::{equal_budgets, fleet_plan, mix, print_line, save_logs};
use crate::caller::{CallKind, CallRecord, Callers, Outcome};
use crate::load::{self, Arrivals};
use crate::options::Options;
use crate::verifier::Verifier;

const DEFAULT_SECONDS: u64 = 20;
/// Requests per second.
const DEFAULT_RATE: u64 = 100;
const DEFAULT_BUDGETS: usize = 8;
const BUDGET_TOKENS: u64 = 10_000_000;
/// Time for late answers and settlements after the load.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Share of the answered submissions that are sent again under the same key.
const REPEATED_SHARE: f64 = 0.1;

/// Runs the measure and returns its JSON object.
pub async fn run(options: &Options) -> io::Result<Value> {
    let mut plan = fleet_plan(options)?;
    plan.budgets = equal_budgets(options.budgets.unwrap_or(DEFAULT_BUDGETS), BUDGET_TOKENS);
    let duration = Duration::from_secs(options.seconds.unwrap_or(DEFAULT_SECONDS));
    let arrivals =
        Arrivals { seed: options.seed, rate: options.rate.unwrap_or(DEFAULT_RATE), duration };
    let mut fleet = Fleet::open(plan.clone()).await?;
    let callers = Callers::open(fleet.entry_urls());
    let timeline = Timeline::start(duration);
    let load = load::run(&callers, arrivals, |rng, number| {
        let kind = if rng.random_bool(0.8) { CallKind::Submission } else { CallKind::Status };
        mix::call(&plan, rng, number, kind, number as usize % plan.budgets.len())
    });
    let (records, ()) = tokio::join!(load, inject_faults(options, &mut fleet, timeline));
    let repeated = repeat_submissions(&callers, &records).await;
    tokio::time::sleep(SETTLE_TIME).await;
    save_logs(options, &fleet)?;
    let report = report(options, &plan, &fleet, &records, &repeated);
    fleet.stop().await;
    Ok(report)
}

/// Sends a share of the answered submissions again, cycling through the entries.
async fn repeat_submissions(callers: &Callers, records: &[CallRecord]) -> Vec<CallRecord> {
    let answered = records
        .iter()
        .filter(|record| record.is_answered() && record.call.kind == CallKind::Submission);
    let step = (1.0 / REPEATED_SHARE) as usize;
    let mut repeated = Vec::new();
    for (first_entry, record) in answered.step_by(step).enumerate() {
        repeated.push(callers.call(record.call.clone(), first_entry).await);
    }
    repeated
}

async fn inject_faults(options: &Options, fleet: &mut Fleet, timeline: Timeline) {
    for application in &fleet.applications {
        application.set_faults(|faults| {
            let has_faults = options.fault != "none";
            faults.drop_reply = if has_faults { 0.01 } else { 0.0 };
            faults.late = if has_faults { 0.01 } else { 0.0 };
            faults.late_by = Duration::from_secs(2);
        });
    }
    if options.has_fault("lost-answers") {
        fleet.kv.set_faults(|faults| {
            faults.lose_answers = 0.2;
            faults.late_writes = 0.05;
            faults.late_by = Duration::from_millis(300);
        });
    }
    let last_sidecar = fleet.sidecars().end - 1;
    let killed_entry = 1 % fleet.plan.entries;
    for round in 0..3 {
        timeline.wait_until(20 + round * 25).await;
        if options.has_fault("entry-kill") {
            print_line("killing an entry");
            fleet.nodes[killed_entry].daemon.kill();
        }
        if options.has_fault("sidecar-kill") {
            print_line("killing a sidecar");
            fleet.nodes[last_sidecar].daemon.kill();
        }
        if options.has_fault("partition") {
            fleet.set_partition(&[0, last_sidecar], true);
        }
        if options.has_fault("store-outage") {
            fleet.kv.set_faults(|faults| faults.outage = Some(Outage::Hang));
        }
        timeline.wait_until(30 + round * 25).await;
        if options.has_fault("entry-kill") && fleet.nodes[killed_entry].daemon.restart().is_err() {
            print_line("the killed entry failed to restart");
        }
        if options.has_fault("sidecar-kill") && fleet.nodes[last_sidecar].daemon.restart().is_err()
        {
            print_line("the killed sidecar failed to restart");
        }
        fleet.set_partition(&[0, last_sidecar], false);
        fleet.kv.set_faults(|faults| faults.outage = None);
    }
    timeline.wait_until(100).await;
    fleet.kv.set_faults(|faults| *faults = KvFaults::default());
}

fn report(
    options: &Options,
    plan: &FleetPlan,
    fleet: &Fleet,
    records: &[CallRecord],
    repeated: &[CallRecord],
) -> Value {
    let credits = super::budgets::initial_credits(plan);
    let verifier = Verifier::new(fleet, records, &credits);
    let actions: Vec<&CallRecord> =
        records.iter().filter(|record| record.call.kind == CallKind::Submission).collect();
    let count = |predicate: &dyn Fn(&CallRecord) -> bool| {
        actions.iter().filter(|record| predicate(record)).count()
    };
    // The caller doesn't learn whether such a call ran.
    let is_unknown = |record: &CallRecord| match &record.last_attempt().outcome {
        Outcome::Refused { .. } => !record.last_attempt().outcome.is_not_run(),
        outcome => *outcome == Outcome::Broken,
    };
    // A retry joins the first attempt if the call is answered and ran only once.
    let is_joined = |record: &&CallRecord| record.is_answered() && verifier.times_run(record) == 1;
    let retried = actions.iter().copied().filter(|record| record.attempts.len() > 1);
    let summary = verifier.summarize(plan, records, &fleet.ledger());
    let examples: Vec<&str> = actions
        .iter()
        .filter(|record| verifier.times_run(record) > 1 || verifier.has_false_not_run(record))
        .map(|record| record.call.marker.as_str())
        .take(5)
        .collect();
    print_line(format_args!(
        "calls that ran twice or were falsely refused as not run (first 5): {examples:?}"
    ));
    json!({
        "measure": "actions",
        "fault": options.fault,
        "seed": options.seed,
        "entries": plan.entries,
        "sidecars": plan.engines + plan.applications,
        "requests": records.len(),
        "answered": summary.answered,
        "refused": summary.refused,
        "actions": actions.len(),
        "ran_twice": count(&|record| verifier.times_run(record) > 1),
        "false_not_run": count(&|record| verifier.has_false_not_run(record)),
        "unknown": count(&is_unknown),
        "lost": count(&|record| record.is_answered() && verifier.times_run(record) == 0),
        "crossed": summary.crossed,
        "truncated": summary.truncated,
        "retries_joined": retried.filter(is_joined).count()
            + repeated.iter().filter(is_joined).count(),
        "repeated": repeated.len(),
        "refused_by_code": summary.codes,
    })
}
