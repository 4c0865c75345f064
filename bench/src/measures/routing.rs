//! `routing`: measures the latency of quick requests beside long ones under bounded
//! rendezvous hashing, with uniform random choice as the baseline.

use std::io;
use std::time::{Duration, Instant};

use rand::Rng;
use rosemarymoor_lib::config::PolicyName;
use rosemarymoor_lib::host_list::HostState;
use rosemarymoor_testutils::engine::EngineRun;
use rosemarymoor_testutils::fleet::{Fleet, FleetPlan};
use serde_json::{Value, json};

use super::timeline::Timeline;
use super::{equal_budgets, fleet_plan, mix, print_line, save_logs};
use crate::caller::{Call, CallKind, CallRecord, Callers};
use crate::load::{self, Arrivals};
use crate::options::Options;
use crate::percentile::percentile;

const DEFAULT_SECONDS: u64 = 12;
/// Requests per second.
const DEFAULT_RATE: u64 = 60;
/// Requests per second that a surge adds.
const SURGE_RATE: u64 = 120;
const DEFAULT_ENGINES: usize = 6;
/// Requests that one engine runs at the same time.
const SLOTS: u32 = 8;
const DEFAULT_BUDGETS: usize = 8;
const BUDGET_TOKENS: u64 = 50_000_000;
/// Number of distinct prompt prefixes; four times as many as one engine caches.
const PREFIXES: u64 = 96;
/// Number of prefixes that one engine caches.
const CACHED_PREFIXES: usize = 24;
const PREFIX_BYTES: usize = 1_200;
/// Time to generate one token on an otherwise idle engine.
const TOKEN_TIME: Duration = Duration::from_millis(3);
/// Time to prefill one prompt token.
const PREFILL_TIME: Duration = Duration::from_micros(400);
/// Age of the engines' load reports with the fault `stale-load`.
const STALE_LOAD_LAG: Duration = Duration::from_secs(5);
/// Start and length of a surge, in percent of the run's duration.
const SURGE_START_PERCENT: u32 = 30;
const SURGE_LENGTH_PERCENT: u32 = 40;

/// Records of one fleet under one routing policy.
struct FleetRun {
    records: Vec<CallRecord>,
    /// Runs of each engine.
    runs: Vec<Vec<EngineRun>>,
    /// Index of the engine whose sidecar was drained, and when the drain began.
    drained: Option<(usize, Instant)>,
}

/// Runs the measure and returns its JSON object.
pub async fn run(options: &Options) -> io::Result<Value> {
    let measured = run_fleet(options, PolicyName::BoundedRendezvous).await?;
    let baseline = run_fleet(options, PolicyName::Uniform).await?;
    let leaving_ms = measured.last_new_work_ms();
    Ok(json!({
        "measure": "routing",
        "fault": options.fault,
        "seed": options.seed,
        "sidecars": options.sidecars.unwrap_or(DEFAULT_ENGINES),
        "requests": measured.records.len(),
        "answered": measured.records.iter().filter(|record| record.is_answered()).count(),
        "quick_p95_ms": measured.quick_p95_ms(),
        "quick_p95_baseline_ms": baseline.quick_p95_ms(),
        "quick_done": measured.answered(CallKind::Quick),
        "quick_done_baseline": baseline.answered(CallKind::Quick),
        "long_done": measured.answered(CallKind::Dossier),
        "long_lost": measured.sent(CallKind::Dossier) - measured.answered(CallKind::Dossier),
        "long_lost_baseline": baseline.sent(CallKind::Dossier) - baseline.answered(CallKind::Dossier),
        "prefix_hit_ratio": measured.prefix_hit_ratio(),
        "prefix_hit_ratio_baseline": baseline.prefix_hit_ratio(),
        "leaving_last_new_work_ms": leaving_ms,
        "retry_ratio": measured.retry_ratio(),
        "retry_ratio_baseline": baseline.retry_ratio(),
    }))
}

async fn run_fleet(options: &Options, policy: PolicyName) -> io::Result<FleetRun> {
    let mut plan = fleet_plan(options)?;
    plan.routing = policy;
    plan.engines = options.sidecars.unwrap_or(DEFAULT_ENGINES);
    plan.applications = 0;
    plan.engine.slots = SLOTS;
    plan.engine.token_time = TOKEN_TIME;
    plan.engine.prefill_time = PREFILL_TIME;
    plan.engine.cached_prefixes = CACHED_PREFIXES;
    if options.fault == "stale-load" {
        plan.engine.load_lag = STALE_LOAD_LAG;
    }
    plan.budgets = equal_budgets(options.budgets.unwrap_or(DEFAULT_BUDGETS), BUDGET_TOKENS);
    let duration = Duration::from_secs(options.seconds.unwrap_or(DEFAULT_SECONDS));
    let mut fleet = Fleet::open(plan.clone()).await?;
    let callers = Callers::open(fleet.entry_urls());
    let timeline = Timeline::start(duration);
    let rate = options.rate.unwrap_or(DEFAULT_RATE);
    let base_load =
        load::run(&callers, Arrivals { seed: options.seed, rate, duration }, |rng, number| {
            let kind = if rng.random_bool(0.2) { CallKind::Dossier } else { CallKind::Quick };
            routed_call(&plan, rng, number, kind)
        });
    let surge = async {
        if options.fault != "surge" {
            return Vec::new();
        }
        timeline.wait_until(SURGE_START_PERCENT).await;
        let duration = duration * SURGE_LENGTH_PERCENT / 100;
        let arrivals = Arrivals { seed: options.seed + 1, rate: SURGE_RATE, duration };
        load::run(&callers, arrivals, |rng, number| {
            let kind = if rng.random_bool(0.4) { CallKind::Dossier } else { CallKind::Quick };
            let mut call = routed_call(&plan, rng, number, kind);
            call.marker = format!("x{}", call.marker);
            call
        })
        .await
    };
    let faults = inject_faults(options, &mut fleet, timeline);
    let (mut records, surge_records, drained) = tokio::join!(base_load, surge, faults);
    records.extend(surge_records);
    save_logs(options, &fleet)?;
    print_line(format_args!("policy {policy}: {} requests made", records.len()));
    let runs = fleet.engines.iter().map(|engine| engine.runs()).collect();
    Ok(FleetRun { records, runs, drained })
}

/// Returns a call whose prompt starts with one of [`PREFIXES`] shared prefixes.
fn routed_call(
    plan: &FleetPlan,
    rng: &mut rand::rngs::SmallRng,
    number: u64,
    kind: CallKind,
) -> Call {
    let budget = number as usize % plan.budgets.len();
    let mut call = mix::call(plan, rng, number, kind, budget);
    let prefix = format!("rules of municipality {} ", rng.random_range(0..PREFIXES));
    call.prefix = prefix.repeat(PREFIX_BYTES / prefix.len());
    call
}

async fn inject_faults(
    options: &Options,
    fleet: &mut Fleet,
    timeline: Timeline,
) -> Option<(usize, Instant)> {
    if options.fault == "slow-target" {
        fleet.engines[0].set_faults(|faults| faults.time_factor = 6.0);
    }
    timeline.wait_until(45).await;
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

impl FleetRun {
    fn sent(&self, kind: CallKind) -> usize {
        self.records.iter().filter(|record| record.call.kind == kind).count()
    }

    fn answered(&self, kind: CallKind) -> usize {
        let of_kind = self.records.iter().filter(|record| record.call.kind == kind);
        of_kind.filter(|record| record.is_answered()).count()
    }

    fn quick_p95_ms(&self) -> u64 {
        let quick = self.records.iter().filter(|record| record.call.kind == CallKind::Quick);
        // An immediate refusal must not count as a low latency.
        let quick = quick.filter(|record| record.is_answered());
        percentile(quick.map(|record| record.latency().as_millis() as u64), 95)
    }

    fn prefix_hit_ratio(&self) -> f64 {
        let runs = self.runs.iter().flatten();
        let hits = runs.clone().filter(|run| run.prefix_hit).count();
        hits as f64 / runs.count().max(1) as f64
    }

    /// Returns the mean number of repeated runs per request that ran.
    fn retry_ratio(&self) -> f64 {
        let mut markers: Vec<&str> =
            self.runs.iter().flatten().map(|run| run.marker.as_str()).collect();
        let runs = markers.len() as f64;
        markers.sort_unstable();
        markers.dedup();
        runs / (markers.len().max(1) as f64) - 1.0
    }

    /// Returns the time from the start of the drain to the last run that the engine began,
    /// in milliseconds; zero without a drain.
    fn last_new_work_ms(&self) -> u64 {
        let Some((engine, at)) = self.drained else {
            return 0;
        };
        let last = self.runs[engine].iter().map(|run| run.started_at).max();
        last.map_or(0, |last| last.saturating_duration_since(at).as_millis() as u64)
    }
}
