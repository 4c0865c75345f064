//! `routing`: quick answers beside long work, against uniform random choice.

use std::io;
use std::time::{Duration, Instant};

use rand::Rng;
use rosemarymoor_lib::config::PolicyName;
use rosemarymoor_lib::host_list::HostState;
use rosemarymoor_testutils::engine::EngineRun;
use rosemarymoor_testutils::fleet::{Fleet, FleetPlan};
use serde_json::{Value, json};

use super::timeline::Timeline;
use super::{equal_budgets, keep_logs, mix, plan, say};
use crate::caller::{Call, CallRecord, Callers, Kind};
use crate::load::{self, Arrivals};
use crate::options::Options;
use crate::percentile::percentile;

const SECONDS: u64 = 12;
const RATE: u64 = 60;
const SURGE_RATE: u64 = 120;
const ENGINES: usize = 6;
const SLOTS: u32 = 8;
const BUDGETS: usize = 8;
const BUDGET_TOKENS: u64 = 50_000_000;
const PREFIXES: u64 = 96;
const CACHED_PREFIXES: usize = 24;
const PREFIX_BYTES: usize = 1_200;
const TOKEN_TIME: Duration = Duration::from_millis(3);
const PREFILL_TIME: Duration = Duration::from_micros(400);
const STALE_LOAD: Duration = Duration::from_secs(5);
const SURGE_FROM: u32 = 30;
const SURGE_SHARE: u32 = 40;

/// What one fleet did under one policy.
struct Round {
    records: Vec<CallRecord>,
    runs: Vec<Vec<EngineRun>>,
    /// Engine whose sidecar left, and when it said so.
    left: Option<(usize, Instant)>,
}

/// Runs the measure.
pub async fn run(options: &Options) -> io::Result<Value> {
    let tried = round(options, PolicyName::BoundedRendezvous).await?;
    let baseline = round(options, PolicyName::Uniform).await?;
    let leaving_ms = tried.last_new_work_ms();
    Ok(json!({
        "measure": "routing",
        "fault": options.fault,
        "seed": options.seed,
        "sidecars": options.sidecars.unwrap_or(ENGINES),
        "requests": tried.records.len(),
        "answered": tried.records.iter().filter(|record| record.is_answered()).count(),
        "quick_p95_ms": tried.quick_p95_ms(),
        "quick_p95_baseline_ms": baseline.quick_p95_ms(),
        "quick_done": tried.answered(Kind::Quick),
        "quick_done_baseline": baseline.answered(Kind::Quick),
        "long_done": tried.answered(Kind::Dossier),
        "long_lost": tried.asked(Kind::Dossier) - tried.answered(Kind::Dossier),
        "long_lost_baseline": baseline.asked(Kind::Dossier) - baseline.answered(Kind::Dossier),
        "prefix_hit_ratio": tried.prefix_hit_ratio(),
        "prefix_hit_ratio_baseline": baseline.prefix_hit_ratio(),
        "leaving_last_new_work_ms": leaving_ms,
        "retry_ratio": tried.retry_ratio(),
        "retry_ratio_baseline": baseline.retry_ratio(),
    }))
}

async fn round(options: &Options, policy: PolicyName) -> io::Result<Round> {
    let mut plan = plan(options)?;
    plan.routing = policy;
    plan.engines = options.sidecars.unwrap_or(ENGINES);
    plan.applications = 0;
    plan.engine.slots = SLOTS;
    plan.engine.token_time = TOKEN_TIME;
    plan.engine.prefill_time = PREFILL_TIME;
    plan.engine.cached_prefixes = CACHED_PREFIXES;
    if options.fault == "stale-load" {
        plan.engine.load_lag = STALE_LOAD;
    }
    plan.budgets = equal_budgets(options.budgets.unwrap_or(BUDGETS), BUDGET_TOKENS);
    let length = Duration::from_secs(options.seconds.unwrap_or(SECONDS));
    let mut fleet = Fleet::open(plan.clone()).await?;
    let callers = Callers::open(fleet.entry_urls());
    let timeline = Timeline::start(length);
    let rate = options.rate.unwrap_or(RATE);
    let base = load::run(&callers, Arrivals { seed: options.seed, rate, length }, |rng, number| {
        let kind = if rng.random_bool(0.2) { Kind::Dossier } else { Kind::Quick };
        routed_call(&plan, rng, number, kind)
    });
    let surge = async {
        if options.fault != "surge" {
            return Vec::new();
        }
        timeline.at(SURGE_FROM).await;
        let length = length * SURGE_SHARE / 100;
        let arrivals = Arrivals { seed: options.seed + 1, rate: SURGE_RATE, length };
        load::run(&callers, arrivals, |rng, number| {
            let kind = if rng.random_bool(0.4) { Kind::Dossier } else { Kind::Quick };
            let mut call = routed_call(&plan, rng, number, kind);
            call.marker = format!("x{}", call.marker);
            call
        })
        .await
    };
    let faults = cause_faults(options, &mut fleet, timeline);
    let (mut records, extra, left) = tokio::join!(base, surge, faults);
    records.extend(extra);
    keep_logs(options, &fleet)?;
    say(format_args!("{policy}: {} requests", records.len()));
    let runs = fleet.engines.iter().map(|engine| engine.runs()).collect();
    Ok(Round { records, runs, left })
}

/// Quick request behind one of many shared prefixes, or a long one.
fn routed_call(plan: &FleetPlan, rng: &mut rand::rngs::SmallRng, number: u64, kind: Kind) -> Call {
    let budget = number as usize % plan.budgets.len();
    let mut call = mix::call(plan, rng, number, kind, budget);
    let prefix = format!("rules of municipality {} ", rng.random_range(0..PREFIXES));
    call.prefix = prefix.repeat(PREFIX_BYTES / prefix.len());
    call
}

async fn cause_faults(
    options: &Options,
    fleet: &mut Fleet,
    timeline: Timeline,
) -> Option<(usize, Instant)> {
    if options.fault == "slow-target" {
        fleet.engines[0].set_faults(|faults| faults.time_factor = 6.0);
    }
    timeline.at(45).await;
    if options.fault == "surge" {
        let half = fleet.engines.len() / 2;
        fleet.engines[..half].iter().for_each(|engine| engine.kill());
    }
    if options.fault != "leaving" {
        return None;
    }
    let node = fleet.sidecars().start;
    fleet.set_host_state(node, HostState::Leaving);
    fleet.nodes[node].daemon.terminate();
    Some((0, Instant::now()))
}

impl Round {
    fn asked(&self, kind: Kind) -> usize {
        self.records.iter().filter(|record| record.call.kind == kind).count()
    }

    fn answered(&self, kind: Kind) -> usize {
        let own = self.records.iter().filter(|record| record.call.kind == kind);
        own.filter(|record| record.is_answered()).count()
    }

    fn quick_p95_ms(&self) -> u64 {
        let quick = self.records.iter().filter(|record| record.call.kind == Kind::Quick);
        // A refusal at once must not pass for a quick answer.
        let quick = quick.filter(|record| record.is_answered());
        percentile(quick.map(|record| record.latency().as_millis() as u64), 95)
    }

    fn prefix_hit_ratio(&self) -> f64 {
        let runs = self.runs.iter().flatten();
        let hits = runs.clone().filter(|run| run.prefix_hit).count();
        hits as f64 / runs.count().max(1) as f64
    }

    /// Runs beyond the first for each request that ran.
    fn retry_ratio(&self) -> f64 {
        let mut markers: Vec<&str> =
            self.runs.iter().flatten().map(|run| run.marker.as_str()).collect();
        let runs = markers.len() as f64;
        markers.sort_unstable();
        markers.dedup();
        runs / (markers.len().max(1) as f64) - 1.0
    }

    /// Time from a target's leaving to the last new work that it got.
    fn last_new_work_ms(&self) -> u64 {
        let Some((engine, at)) = self.left else {
            return 0;
        };
        let last = self.runs[engine].iter().map(|run| run.started).max();
        last.map_or(0, |last| last.saturating_duration_since(at).as_millis() as u64)
    }
}
