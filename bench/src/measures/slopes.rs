//! `slopes`: measures the cost of a node as a function of the fleet's size and its load.
//!
//! Idle windows show the cost of the control plane alone, loaded windows that of the
//! control plane and the traffic together.

use std::io;
use std::time::{Duration, Instant};

use rosemarymoor_lib::host_list::Role;
use rosemarymoor_testutils::fleet::{BudgetPlan, Fleet, FleetPlan};
use serde_json::{Value, json};

use super::{fleet_plan, mix, print_line};
use crate::caller::{CallKind, Callers};
use crate::load::{self, Arrivals};
use crate::options::Options;
use crate::regression::fit;

/// Length of each window.
const DEFAULT_SECONDS: u64 = 5;
/// Wait before each window, so that it doesn't count start-up or earlier load.
const WARM_UP: Duration = Duration::from_secs(2);
/// Requests per second in the loaded windows of varying fleets and budgets.
const LOADED_RATE: u64 = 100;
/// Numbers of entries and sidecars of the fleets compared.
const FLEETS: &[(usize, usize)] = &[(1, 1), (2, 4), (4, 12), (8, 24), (12, 36)];
/// Numbers of budgets compared.
const BUDGETS: &[usize] = &[100, 1_000, 10_000, 100_000];
/// Requests per second compared.
const RATES: &[u64] = &[50, 100, 200, 400];
/// Shards of the budget ledger.
const SHARDS: u32 = 256;
const BUDGET_TOKENS: u64 = 1_000_000;
const DEFAULT_BUDGETS: usize = 64;

/// Resource usage of one process since its start; the memory is the current one.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_seconds: f64,
    memory_bytes: u64,
    peer_bytes: u64,
    platform_bytes: u64,
}

/// Mean cost of the nodes of one role over a window.
#[derive(Clone, Copy, Debug)]
struct Cost {
    cpu_ms_per_s: f64,
    memory_bytes: f64,
    peer_bytes_per_s: f64,
    platform_bytes_per_s: f64,
}

/// Figures of one fleet over one window.
struct Window {
    entries: usize,
    sidecars: usize,
    budgets: usize,
    /// Requests per second; zero for an idle window.
    rate: u64,
    entry: Cost,
    sidecar: Cost,
    store_writes_per_s: f64,
    /// Reads and watches per second.
    store_reads_per_s: f64,
    answered: usize,
    requests: usize,
}

/// Runs the measure and returns its JSON object.
pub async fn run(options: &Options) -> io::Result<Value> {
    let duration = Duration::from_secs(options.seconds.unwrap_or(DEFAULT_SECONDS));
    let mut by_fleet = Vec::new();
    for (entries, sidecars) in FLEETS {
        let plan = sized_plan(options, *entries, *sidecars, DEFAULT_BUDGETS)?;
        by_fleet.extend(measure_fleet(plan, &[0, LOADED_RATE], duration).await?);
    }
    let mut by_budgets = Vec::new();
    for budgets in BUDGETS {
        let plan = sized_plan(options, 2, 2, *budgets)?;
        by_budgets.extend(measure_fleet(plan, &[0, LOADED_RATE], duration).await?);
    }
    let plan = sized_plan(options, 2, 4, DEFAULT_BUDGETS)?;
    let by_rate = measure_fleet(plan, RATES, duration).await?;
    Ok(json!({
        "measure": "slopes",
        "seed": options.seed,
        "window_s": duration.as_secs(),
        "by_fleet": window_rows(&by_fleet),
        "by_budgets": window_rows(&by_budgets),
        "by_rate": window_rows(&by_rate),
        "slopes": {
            "idle_by_processes": slopes(&idle_windows(&by_fleet), process_count),
            "idle_by_budgets": slopes(&idle_windows(&by_budgets), |window| window.budgets as f64),
            "by_rate_per_entry": slopes(&by_rate.iter().collect::<Vec<_>>(), |window| {
                window.rate as f64 / window.entries as f64
            }),
        },
    }))
}

fn sized_plan(
    options: &Options,
    entries: usize,
    sidecars: usize,
    budgets: usize,
) -> io::Result<FleetPlan> {
    let mut plan = fleet_plan(options)?;
    plan.entries = entries;
    plan.applications = (sidecars / 4).min(4);
    plan.engines = sidecars - plan.applications;
    plan.shards = SHARDS;
    plan.log_level = "warn".to_owned();
    plan.budgets = (0..budgets)
        .map(|number| BudgetPlan {
            workspace: number % 2,
            name: format!("household-{number:06}"),
            tokens: BUDGET_TOKENS,
        })
        .collect();
    Ok(plan)
}

/// Measures one fleet at each of the rates, in requests per second; zero leaves it idle.
async fn measure_fleet(
    plan: FleetPlan,
    rates: &[u64],
    duration: Duration,
) -> io::Result<Vec<Window>> {
    let fleet = Fleet::open(plan.clone()).await?;
    let callers = Callers::open(fleet.entry_urls());
    let mut windows = Vec::new();
    for rate in rates {
        tokio::time::sleep(WARM_UP).await;
        let window = measure_window(&fleet, &callers, *rate, duration).await;
        print_line(format_args!(
            "{} entries, {} sidecars, {} budgets, {} requests/s: entry CPU {:.2} ms/s, memory {:.1} MB; \
             sidecar CPU {:.2} ms/s, memory {:.1} MB; store {:.1} writes/s, {:.1} reads/s; \
             {} of {} requests answered",
            window.entries,
            window.sidecars,
            window.budgets,
            rate,
            window.entry.cpu_ms_per_s,
            window.entry.memory_bytes / 1e6,
            window.sidecar.cpu_ms_per_s,
            window.sidecar.memory_bytes / 1e6,
            window.store_writes_per_s,
            window.store_reads_per_s,
            window.answered,
            window.requests,
        ));
        windows.push(window);
    }
    Ok(windows)
}

async fn measure_window(fleet: &Fleet, callers: &Callers, rate: u64, duration: Duration) -> Window {
    let plan = &fleet.plan;
    let (before, counts_before, start) = (read_usage(fleet), fleet.kv.counts(), Instant::now());
    let records = if rate == 0 {
        tokio::time::sleep(duration).await;
        Vec::new()
    } else {
        let arrivals = Arrivals { seed: plan.seed, rate, duration };
        let has_applications = plan.applications > 0;
        load::run(callers, arrivals, |rng, number| {
            let kind = if has_applications { mix::kind(rng) } else { CallKind::Quick };
            let budget = number as usize % plan.budgets.len();
            let mut call = mix::call(plan, rng, number, kind, budget);
            call.marker = format!("r{rate}-{}", call.marker);
            call
        })
        .await
    };
    let seconds = start.elapsed().as_secs_f64();
    let (after, counts_after) = (read_usage(fleet), fleet.kv.counts());
    let cost = |role| mean_cost(fleet, role, &before, &after, seconds);
    let reads =
        counts_after.reads + counts_after.watches - counts_before.reads - counts_before.watches;
    Window {
        entries: plan.entries,
        sidecars: plan.engines + plan.applications,
        budgets: plan.budgets.len(),
        rate,
        entry: cost(Role::Entry),
        sidecar: cost(Role::Sidecar),
        store_writes_per_s: (counts_after.writes - counts_before.writes) as f64 / seconds,
        store_reads_per_s: reads as f64 / seconds,
        answered: records.iter().filter(|record| record.is_answered()).count(),
        requests: records.len(),
    }
}

fn read_usage(fleet: &Fleet) -> Vec<Usage> {
    let nodes = fleet.nodes.iter().enumerate();
    let usages = nodes.map(|(number, node)| {
        let usage = node.daemon.usage();
        Usage {
            cpu_seconds: usage.cpu_seconds,
            memory_bytes: usage.memory_bytes,
            peer_bytes: fleet.peer_bytes(number),
            platform_bytes: fleet.platform_bytes(number),
        }
    });
    usages.collect()
}

fn mean_cost(fleet: &Fleet, role: Role, before: &[Usage], after: &[Usage], seconds: f64) -> Cost {
    let nodes: Vec<usize> =
        (0..fleet.nodes.len()).filter(|node| fleet.nodes[*node].role == role).collect();
    let mean = |value: &dyn Fn(usize) -> f64| {
        nodes.iter().map(|node| value(*node)).sum::<f64>() / nodes.len() as f64
    };
    let bytes = |read: fn(&Usage) -> u64| {
        mean(&|node| (read(&after[node]) - read(&before[node])) as f64) / seconds
    };
    let cpu = mean(&|node| after[node].cpu_seconds - before[node].cpu_seconds);
    Cost {
        cpu_ms_per_s: cpu * 1_000.0 / seconds,
        memory_bytes: mean(&|node| after[node].memory_bytes as f64),
        peer_bytes_per_s: bytes(|usage| usage.peer_bytes),
        platform_bytes_per_s: bytes(|usage| usage.platform_bytes),
    }
}

fn process_count(window: &Window) -> f64 {
    (window.entries + window.sidecars) as f64
}

fn idle_windows(windows: &[Window]) -> Vec<&Window> {
    windows.iter().filter(|window| window.rate == 0).collect()
}

fn window_rows(windows: &[Window]) -> Value {
    let rows = windows.iter().map(|window| {
        json!({
            "entries": window.entries,
            "sidecars": window.sidecars,
            "budgets": window.budgets,
            "rate": window.rate,
            "requests": window.requests,
            "answered": window.answered,
            "entry": cost_row(&window.entry),
            "sidecar": cost_row(&window.sidecar),
            "store_writes_per_s": round_to_hundredths(window.store_writes_per_s),
            "store_reads_per_s": round_to_hundredths(window.store_reads_per_s),
        })
    });
    rows.collect()
}

fn cost_row(cost: &Cost) -> Value {
    json!({
        "cpu_ms_per_s": round_to_hundredths(cost.cpu_ms_per_s),
        "memory_bytes": cost.memory_bytes.round(),
        "peer_bytes_per_s": cost.peer_bytes_per_s.round(),
        "platform_bytes_per_s": cost.platform_bytes_per_s.round(),
    })
}

/// Returns the least-squares line of every figure as a function of `size`.
fn slopes(windows: &[&Window], size: impl Fn(&Window) -> f64) -> Value {
    let slope = |value: fn(&Window) -> f64| {
        let points: Vec<(f64, f64)> =
            windows.iter().map(|window| (size(window), value(window))).collect();
        let line = fit(&points);
        json!({ "at_zero": line.intercept, "slope": line.slope, "spread": line.slope_error })
    };
    json!({
        "entry_cpu_ms_per_s": slope(|window| window.entry.cpu_ms_per_s),
        "entry_memory_bytes": slope(|window| window.entry.memory_bytes),
        "entry_peer_bytes_per_s": slope(|window| window.entry.peer_bytes_per_s),
        "entry_platform_bytes_per_s": slope(|window| window.entry.platform_bytes_per_s),
        "sidecar_cpu_ms_per_s": slope(|window| window.sidecar.cpu_ms_per_s),
        "sidecar_memory_bytes": slope(|window| window.sidecar.memory_bytes),
        "sidecar_peer_bytes_per_s": slope(|window| window.sidecar.peer_bytes_per_s),
        "sidecar_platform_bytes_per_s": slope(|window| window.sidecar.platform_bytes_per_s),
        "store_writes_per_s": slope(|window| window.store_writes_per_s),
        "store_reads_per_s": slope(|window| window.store_reads_per_s),
    })
}

fn round_to_hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
