//! `streams`: answers are whole and the caller's own through deaths and drains.

use std::io;
use std::time::{Duration, Instant};

use rand::Rng;
use rosemarymoor_testutils::fleet::Fleet;
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
const SETTLE: Duration = Duration::from_secs(4);
/// One request in this many carries the poison.
const POISON_EVERY: u64 = 400;
const POISON: &str = "poison ";

/// Entry that was told to drain, and when.
type Drained = Option<(usize, Instant)>;

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
        let kinds = [Kind::Dossier, Kind::Digest, Kind::Quick];
        let kind = kinds[rng.random_range(0..kinds.len())];
        let budget = number as usize % plan.budgets.len();
        let mut call = mix::call(&plan, rng, number, kind, budget);
        if options.has_fault("poison") && number % POISON_EVERY == POISON_EVERY / 2 {
            call.prefix = POISON.to_owned();
        }
        call
    });
    let (records, drained) = tokio::join!(load, cause_faults(options, &mut fleet, timeline));
    tokio::time::sleep(SETTLE).await;
    fleet.stop().await;
    keep_logs(options, &fleet)?;
    let credits = super::budgets::first_credits(&plan);
    let judge = Judge::open(&fleet, &records, &credits);
    let verdict = judge.verdict(&plan, &records, &fleet.ledger());
    say(format_args!("{verdict:#?}"));
    let honest: Vec<&CallRecord> =
        records.iter().filter(|record| record.call.prefix != POISON).collect();
    let poison_refused = honest.iter().filter(|record| has_code(record, 3007)).count();
    Ok(json!({
        "measure": "streams",
        "fault": options.fault,
        "seed": options.seed,
        "entries": plan.entries,
        "sidecars": plan.engines + plan.applications,
        "requests": verdict.requests,
        "answered": verdict.answered,
        "refused": verdict.refused,
        "broken": verdict.broken,
        "truncated": verdict.truncated,
        "crossed": verdict.crossed,
        "billed_twice": verdict.billed_twice,
        "overspend_tokens": verdict.overspend_tokens,
        "cut_by_shutdown": cut_by_shutdown(options, &records, drained),
        "poison_crashes": poison_crashes(&fleet),
        "innocents_quarantined": poison_refused,
        "false_not_run": records.iter().filter(|record| judge.has_false_not_run(record)).count(),
        "ran_tokens": verdict.ran_tokens,
        "rerun_tokens": verdict.rerun_tokens,
        "settled_tokens": verdict.settled_tokens,
        "refused_by_code": verdict.codes,
    }))
}

async fn cause_faults(options: &Options, fleet: &mut Fleet, timeline: Timeline) -> Drained {
    for engine in &fleet.engines {
        engine.set_faults(|faults| {
            faults.crossed = if options.has_fault("crossed") { 0.02 } else { 0.0 };
            faults.late = if options.has_fault("late") { 0.02 } else { 0.0 };
            faults.late_by = Duration::from_secs(3);
        });
    }
    let mut drained = None;
    let (killed, leaving) = (0, fleet.plan.entries - 1);
    let (cut, leaving_sidecar) = (fleet.sidecars().start, fleet.sidecars().start + 1);
    timeline.at(25).await;
    if options.has_fault("entry-kill") {
        say("killing an entry");
        fleet.nodes[killed].daemon.kill();
    }
    if options.has_fault("sidecar-cut") {
        say("cutting a sidecar off");
        fleet.entries().for_each(|entry| fleet.set_cut(entry, cut, true));
    }
    if options.has_fault("target-kill") {
        say("killing an engine");
        fleet.engines[fleet.plan.engines - 1].kill();
    }
    timeline.at(35).await;
    fleet.entries().for_each(|entry| fleet.set_cut(entry, cut, false));
    if options.has_fault("entry-kill") && fleet.nodes[killed].daemon.restart().is_err() {
        say("the killed entry does not start again");
    }
    timeline.at(55).await;
    if options.has_fault("drain") {
        say("draining an entry and a sidecar");
        drained = Some((leaving, Instant::now()));
        fleet.nodes[leaving].daemon.terminate();
        fleet.nodes[leaving_sidecar].daemon.terminate();
    }
    if options.has_fault("target-kill") {
        fleet.engines[0].kill();
    }
    drained
}

/// Tries that were running at the drained entry and did not get their answer;
/// without other faults, every answer that was cut off.
fn cut_by_shutdown(options: &Options, records: &[CallRecord], drained: Drained) -> usize {
    let Some((entry, at)) = drained else {
        return 0;
    };
    let tries = records.iter().flat_map(|record| &record.tries);
    let running = tries.filter(|tried| tried.started < at && tried.finished > at);
    let cut = running.filter(|tried| {
        let here = tried.entry == entry;
        match &tried.end {
            End::Broken => here || options.fault == "drain",
            End::Refused { code: 5001, .. } => options.fault == "drain",
            _ => false,
        }
    });
    cut.count()
}

fn has_code(record: &CallRecord, wanted: u16) -> bool {
    let mut ends = record.tries.iter().map(|tried| &tried.end);
    ends.any(|end| matches!(end, End::Refused { code, .. } if *code == wanted))
}

/// Most target crashes that one poison request caused.
fn poison_crashes(fleet: &Fleet) -> usize {
    let mut crashes: Vec<String> =
        fleet.engines.iter().flat_map(|engine| engine.crashes()).collect();
    crashes.sort_unstable();
    crashes.chunk_by(|a, b| a == b).map(<[String]>::len).max().unwrap_or(0)
}
