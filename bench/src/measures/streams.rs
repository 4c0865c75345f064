//! `streams`: checks that answers are complete and belong to their call while processes
//! and targets crash or drain.

use std::io;
use std::time::{Duration, Instant};

use rand::Rng;
use rosemarymoor_testutils::fleet::Fleet;
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
/// Time for retries and settlements after the load.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// One request in this many is poisonous if that fault is injected.
const POISON_EVERY: u64 = 400;
/// Start of a prompt that crashes the engine stand-in.
const POISON: &str = "poison ";

/// Index of the entry that was drained, and when its drain began.
type DrainedEntry = Option<(usize, Instant)>;

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
        let kinds = [CallKind::Dossier, CallKind::Digest, CallKind::Quick];
        let kind = kinds[rng.random_range(0..kinds.len())];
        let budget = number as usize % plan.budgets.len();
        let mut call = mix::call(&plan, rng, number, kind, budget);
        if options.has_fault("poison") && number % POISON_EVERY == POISON_EVERY / 2 {
            call.prefix = POISON.to_owned();
        }
        call
    });
    let (records, drained) = tokio::join!(load, inject_faults(options, &mut fleet, timeline));
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.stop().await;
    save_logs(options, &fleet)?;
    let credits = super::budgets::initial_credits(&plan);
    let verifier = Verifier::new(&fleet, &records, &credits);
    let summary = verifier.summarize(&plan, &records, &fleet.ledger());
    print_line(format_args!("{summary:#?}"));
    let unpoisoned: Vec<&CallRecord> =
        records.iter().filter(|record| record.call.prefix != POISON).collect();
    // A request without poison must not be quarantined with code 3007.
    let quarantined = unpoisoned.iter().filter(|record| has_code(record, 3007)).count();
    Ok(json!({
        "measure": "streams",
        "fault": options.fault,
        "seed": options.seed,
        "entries": plan.entries,
        "sidecars": plan.engines + plan.applications,
        "requests": summary.requests,
        "answered": summary.answered,
        "refused": summary.refused,
        "broken": summary.broken,
        "truncated": summary.truncated,
        "crossed": summary.crossed,
        "billed_twice": summary.billed_twice,
        "overspend_tokens": summary.overspend_tokens,
        "cut_by_shutdown": cut_by_shutdown(options, &records, drained),
        "poison_crashes": poison_crashes(&fleet),
        "innocents_quarantined": quarantined,
        "false_not_run": records.iter().filter(|record| verifier.has_false_not_run(record)).count(),
        "ran_tokens": summary.ran_tokens,
        "rerun_tokens": summary.rerun_tokens,
        "settled_tokens": summary.settled_tokens,
        "refused_by_code": summary.codes,
    }))
}

async fn inject_faults(options: &Options, fleet: &mut Fleet, timeline: Timeline) -> DrainedEntry {
    for engine in &fleet.engines {
        engine.set_faults(|faults| {
            faults.crossed = if options.has_fault("crossed") { 0.02 } else { 0.0 };
            faults.late = if options.has_fault("late") { 0.02 } else { 0.0 };
            faults.late_by = Duration::from_secs(3);
        });
    }
    let mut drained = None;
    let (killed_entry, leaving_entry) = (0, fleet.plan.entries - 1);
    let (cut_sidecar, leaving_sidecar) = (fleet.sidecars().start, fleet.sidecars().start + 1);
    timeline.wait_until(25).await;
    if options.has_fault("entry-kill") {
        print_line("killing an entry");
        fleet.nodes[killed_entry].daemon.kill();
    }
    if options.has_fault("sidecar-cut") {
        print_line("cutting off a sidecar from all entries");
        fleet.entries().for_each(|entry| fleet.set_cut(entry, cut_sidecar, true));
    }
    if options.has_fault("target-kill") {
        print_line("killing an engine");
        fleet.engines[fleet.plan.engines - 1].kill();
    }
    timeline.wait_until(35).await;
    fleet.entries().for_each(|entry| fleet.set_cut(entry, cut_sidecar, false));
    if options.has_fault("entry-kill") && fleet.nodes[killed_entry].daemon.restart().is_err() {
        print_line("the killed entry failed to restart");
    }
    timeline.wait_until(55).await;
    if options.has_fault("drain") {
        print_line("draining an entry and a sidecar");
        drained = Some((leaving_entry, Instant::now()));
        fleet.nodes[leaving_entry].daemon.terminate();
        fleet.nodes[leaving_sidecar].daemon.terminate();
    }
    if options.has_fault("target-kill") {
        fleet.engines[0].kill();
    }
    drained
}

/// Returns the number of attempts that were running when the drain began and were cut
/// off: those at the drained entry and, if the drain is the only fault, at any entry.
fn cut_by_shutdown(options: &Options, records: &[CallRecord], drained: DrainedEntry) -> usize {
    let Some((entry, at)) = drained else {
        return 0;
    };
    let attempts = records.iter().flat_map(|record| &record.attempts);
    let running = attempts.filter(|attempt| attempt.started_at < at && attempt.finished_at > at);
    let cut = running.filter(|attempt| {
        let is_at_drained = attempt.entry == entry;
        match &attempt.outcome {
            Outcome::Broken => is_at_drained || options.fault == "drain",
            // Code 5001 reports an answer that was cut off.
            Outcome::Refused { code: 5001, .. } => options.fault == "drain",
            _ => false,
        }
    });
    cut.count()
}

fn has_code(record: &CallRecord, expected: u16) -> bool {
    let mut outcomes = record.attempts.iter().map(|attempt| &attempt.outcome);
    outcomes.any(|outcome| matches!(outcome, Outcome::Refused { code, .. } if *code == expected))
}

/// Returns the largest number of engine crashes that one request caused.
fn poison_crashes(fleet: &Fleet) -> usize {
    let mut crashes: Vec<String> =
        fleet.engines.iter().flat_map(|engine| engine.crashes()).collect();
    crashes.sort_unstable();
    crashes.chunk_by(|a, b| a == b).map(<[String]>::len).max().unwrap_or(0)
}
