//! `actions`: submissions run at most once, and refusals tell the truth.

use std::io;
use std::time::Duration;

use rand::Rng;
use rosemarymoor_testutils::fleet::{Fleet, FleetPlan};
use rosemarymoor_testutils::kv::{KvFaults, Outage};
use serde_json::{Value, json};

use super::timeline::Timeline;
use super::{equal_budgets, keep_logs, mix, plan, say};
use crate::caller::{CallRecord, Callers, End, Kind};
use crate::judge::Judge;
use crate::load::{self, Arrivals};
use crate::options::Options;

const SECONDS: u64 = 20;
const RATE: u64 = 100;
const BUDGETS: usize = 8;
const BUDGET_TOKENS: u64 = 10_000_000;
const SETTLE: Duration = Duration::from_secs(2);
/// Share of the submissions that are sent again after their answer.
const REPEATED: f64 = 0.1;

/// Runs the measure.
pub async fn run(options: &Options) -> io::Result<Value> {
    let mut plan = plan(options)?;
    plan.budgets = equal_budgets(options.budgets.unwrap_or(BUDGETS), BUDGET_TOKENS);
    let length = Duration::from_secs(options.seconds.unwrap_or(SECONDS));
    let arrivals = Arrivals { seed: options.seed, rate: options.rate.unwrap_or(RATE), length };
    let mut fleet = Fleet::open(plan.clone()).await?;
    let callers = Callers::open(fleet.entry_urls());
    let timeline = Timeline::start(length);
    let load = load::run(&callers, arrivals, |rng, number| {
        let kind = if rng.random_bool(0.8) { Kind::Submission } else { Kind::Status };
        mix::call(&plan, rng, number, kind, number as usize % plan.budgets.len())
    });
    let (records, ()) = tokio::join!(load, cause_faults(options, &mut fleet, timeline));
    let repeated = repeat(&callers, &records).await;
    tokio::time::sleep(SETTLE).await;
    keep_logs(options, &fleet)?;
    let report = report(options, &plan, &fleet, &records, &repeated);
    fleet.stop().await;
    Ok(report)
}

/// Sends some answered submissions again through another entry.
async fn repeat(callers: &Callers, records: &[CallRecord]) -> Vec<CallRecord> {
    let answered = records
        .iter()
        .filter(|record| record.is_answered() && record.call.kind == Kind::Submission);
    let step = (1.0 / REPEATED) as usize;
    let mut repeated = Vec::new();
    for (number, record) in answered.step_by(step).enumerate() {
        repeated.push(callers.call(record.call.clone(), number).await);
    }
    repeated
}

async fn cause_faults(options: &Options, fleet: &mut Fleet, timeline: Timeline) {
    for application in &fleet.applications {
        application.set_faults(|faults| {
            let faulty = options.fault != "none";
            faults.drop_reply = if faulty { 0.01 } else { 0.0 };
            faults.late = if faulty { 0.01 } else { 0.0 };
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
    let sidecar = fleet.sidecars().end - 1;
    let killed = 1 % fleet.plan.entries;
    for round in 0..3 {
        timeline.at(20 + round * 25).await;
        if options.has_fault("entry-kill") {
            say("killing an entry");
            fleet.nodes[killed].daemon.kill();
        }
        if options.has_fault("sidecar-kill") {
            say("killing a sidecar");
            fleet.nodes[sidecar].daemon.kill();
        }
        if options.has_fault("partition") {
            fleet.set_partition(&[0, sidecar], true);
        }
        if options.has_fault("store-outage") {
            fleet.kv.set_faults(|faults| faults.outage = Some(Outage::Hang));
        }
        timeline.at(30 + round * 25).await;
        if options.has_fault("entry-kill") && fleet.nodes[killed].daemon.restart().is_err() {
            say("the killed entry does not start again");
        }
        if options.has_fault("sidecar-kill") && fleet.nodes[sidecar].daemon.restart().is_err() {
            say("the killed sidecar does not start again");
        }
        fleet.set_partition(&[0, sidecar], false);
        fleet.kv.set_faults(|faults| faults.outage = None);
    }
    timeline.at(100).await;
    fleet.kv.set_faults(|faults| *faults = KvFaults::default());
}

fn report(
    options: &Options,
    plan: &FleetPlan,
    fleet: &Fleet,
    records: &[CallRecord],
    repeated: &[CallRecord],
) -> Value {
    let credits = super::budgets::first_credits(plan);
    let judge = Judge::open(fleet, records, &credits);
    let actions: Vec<&CallRecord> =
        records.iter().filter(|record| record.call.kind == Kind::Submission).collect();
    let count =
        |test: &dyn Fn(&CallRecord) -> bool| actions.iter().filter(|record| test(record)).count();
    let unknown = |record: &CallRecord| match &record.last().end {
        End::Refused { .. } => !record.last().end.is_not_run(),
        end => *end == End::Broken,
    };
    let joined = |record: &&CallRecord| record.is_answered() && judge.times_run(record) == 1;
    let retried = actions.iter().copied().filter(|record| record.tries.len() > 1);
    let verdict = judge.verdict(plan, records, &fleet.ledger());
    let examples: Vec<&str> = actions
        .iter()
        .filter(|record| judge.times_run(record) > 1 || judge.has_false_not_run(record))
        .map(|record| record.call.marker.as_str())
        .take(5)
        .collect();
    say(format_args!("examples of faults: {examples:?}"));
    json!({
        "measure": "actions",
        "fault": options.fault,
        "seed": options.seed,
        "entries": plan.entries,
        "sidecars": plan.engines + plan.applications,
        "requests": records.len(),
        "answered": verdict.answered,
        "refused": verdict.refused,
        "actions": actions.len(),
        "ran_twice": count(&|record| judge.times_run(record) > 1),
        "false_not_run": count(&|record| judge.has_false_not_run(record)),
        "unknown": count(&unknown),
        "lost": count(&|record| record.is_answered() && judge.times_run(record) == 0),
        "crossed": verdict.crossed,
        "truncated": verdict.truncated,
        "retries_joined": retried.filter(joined).count()
            + repeated.iter().filter(joined).count(),
        "repeated": repeated.len(),
        "refused_by_code": verdict.codes,
    })
}
