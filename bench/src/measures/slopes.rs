//! `slopes`: what a node costs against the size of the fleet and its load.
//!
//! The idle windows show the cost of control alone, the loaded windows that of
//! control and traffic together.

use std::io;
use std::time::{Duration, Instant};

use rosemarymoor_lib::host_list::Role;
use rosemarymoor_testutils::fleet::{BudgetPlan, Fleet, FleetPlan};
use serde_json::{Value, json};

use super::{mix, plan, say};
use crate::caller::{Callers, Kind};
use crate::load::{self, Arrivals};
use crate::options::Options;
use crate::regression::fit;

const WINDOW_SECONDS: u64 = 5;
const WARM_UP: Duration = Duration::from_secs(2);
const RATE: u64 = 100;
/// Entries and sidecars of each fleet.
const FLEETS: &[(usize, usize)] = &[(1, 1), (2, 4), (4, 12), (8, 24), (12, 36)];
const BUDGETS: &[usize] = &[100, 1_000, 10_000, 100_000];
const RATES: &[u64] = &[50, 100, 200, 400];
const SHARDS: u32 = 256;
const BUDGET_TOKENS: u64 = 1_000_000;
const DEFAULT_BUDGETS: usize = 64;

/// Totals of one process at a moment.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    cpu_seconds: f64,
    memory_bytes: u64,
    peer_bytes: u64,
    platform_bytes: u64,
}

/// Cost of an average node of one role over a window.
#[derive(Clone, Copy, Debug)]
struct Cost {
    cpu_ms_per_s: f64,
    memory_bytes: f64,
    peer_bytes_per_s: f64,
    platform_bytes_per_s: f64,
}

/// One window over one fleet.
struct Window {
    entries: usize,
    sidecars: usize,
    budgets: usize,
    rate: u64,
    entry: Cost,
    sidecar: Cost,
    store_writes_per_s: f64,
    /// Reads and watches.
    store_reads_per_s: f64,
    answered: usize,
    requests: usize,
}

/// Runs the measure.
pub async fn run(options: &Options) -> io::Result<Value> {
    let length = Duration::from_secs(options.seconds.unwrap_or(WINDOW_SECONDS));
    let mut by_fleet = Vec::new();
    for (entries, sidecars) in FLEETS {
        let plan = sized(options, *entries, *sidecars, DEFAULT_BUDGETS)?;
        by_fleet.extend(measure(plan, &[0, RATE], length).await?);
    }
    let mut by_budgets = Vec::new();
    for budgets in BUDGETS {
        let plan = sized(options, 2, 2, *budgets)?;
        by_budgets.extend(measure(plan, &[0, RATE], length).await?);
    }
    let plan = sized(options, 2, 4, DEFAULT_BUDGETS)?;
    let by_rate = measure(plan, RATES, length).await?;
    Ok(json!({
        "measure": "slopes",
        "seed": options.seed,
        "window_s": length.as_secs(),
        "by_fleet": table(&by_fleet),
        "by_budgets": table(&by_budgets),
        "by_rate": table(&by_rate),
        "slopes": {
            "idle_by_processes": slopes(&idle(&by_fleet), processes),
            "idle_by_budgets": slopes(&idle(&by_budgets), |window| window.budgets as f64),
            "by_rate_per_entry": slopes(&by_rate.iter().collect::<Vec<_>>(), |window| {
                window.rate as f64 / window.entries as f64
            }),
        },
    }))
}

fn sized(
    options: &Options,
    entries: usize,
    sidecars: usize,
    budgets: usize,
) -> io::Result<FleetPlan> {
    let mut plan = plan(options)?;
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

/// Measures one fleet at each of the rates; zero leaves it idle.
async fn measure(plan: FleetPlan, rates: &[u64], length: Duration) -> io::Result<Vec<Window>> {
    let fleet = Fleet::open(plan.clone()).await?;
    let callers = Callers::open(fleet.entry_urls());
    let mut windows = Vec::new();
    for rate in rates {
        tokio::time::sleep(WARM_UP).await;
        let window = measure_window(&fleet, &callers, *rate, length).await;
        say(format_args!(
            "{} entries {} sidecars {} budgets {} requests/s: entry {:.2} ms/s {:.1} MB, \
             sidecar {:.2} ms/s {:.1} MB, store {:.1} writes/s {:.1} reads/s, {} of {} answered",
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

async fn measure_window(fleet: &Fleet, callers: &Callers, rate: u64, length: Duration) -> Window {
    let plan = &fleet.plan;
    let (before, counts, start) = (read(fleet), fleet.kv.counts(), Instant::now());
    let records = if rate == 0 {
        tokio::time::sleep(length).await;
        Vec::new()
    } else {
        let arrivals = Arrivals { seed: plan.seed, rate, length };
        let has_applications = plan.applications > 0;
        load::run(callers, arrivals, |rng, number| {
            let kind = if has_applications { mix::kind(rng) } else { Kind::Quick };
            let budget = number as usize % plan.budgets.len();
            let mut call = mix::call(plan, rng, number, kind, budget);
            call.marker = format!("r{rate}-{}", call.marker);
            call
        })
        .await
    };
    let seconds = start.elapsed().as_secs_f64();
    let (after, later) = (read(fleet), fleet.kv.counts());
    let cost = |role| cost(fleet, role, &before, &after, seconds);
    let reads = later.reads + later.watches - counts.reads - counts.watches;
    Window {
        entries: plan.entries,
        sidecars: plan.engines + plan.applications,
        budgets: plan.budgets.len(),
        rate,
        entry: cost(Role::Entry),
        sidecar: cost(Role::Sidecar),
        store_writes_per_s: (later.writes - counts.writes) as f64 / seconds,
        store_reads_per_s: reads as f64 / seconds,
        answered: records.iter().filter(|record| record.is_answered()).count(),
        requests: records.len(),
    }
}

fn read(fleet: &Fleet) -> Vec<Reading> {
    let nodes = fleet.nodes.iter().enumerate();
    let reading = nodes.map(|(number, node)| {
        let usage = node.daemon.usage();
        Reading {
            cpu_seconds: usage.cpu_seconds,
            memory_bytes: usage.memory_bytes,
            peer_bytes: fleet.peer_bytes(number),
            platform_bytes: fleet.platform_bytes(number),
        }
    });
    reading.collect()
}

fn cost(fleet: &Fleet, role: Role, before: &[Reading], after: &[Reading], seconds: f64) -> Cost {
    let of_role: Vec<usize> =
        (0..fleet.nodes.len()).filter(|node| fleet.nodes[*node].role == role).collect();
    let mean = |value: &dyn Fn(usize) -> f64| {
        of_role.iter().map(|node| value(*node)).sum::<f64>() / of_role.len() as f64
    };
    let bytes = |read: fn(&Reading) -> u64| {
        mean(&|node| (read(&after[node]) - read(&before[node])) as f64) / seconds
    };
    let cpu = mean(&|node| after[node].cpu_seconds - before[node].cpu_seconds);
    Cost {
        cpu_ms_per_s: cpu * 1_000.0 / seconds,
        memory_bytes: mean(&|node| after[node].memory_bytes as f64),
        peer_bytes_per_s: bytes(|reading| reading.peer_bytes),
        platform_bytes_per_s: bytes(|reading| reading.platform_bytes),
    }
}

fn processes(window: &Window) -> f64 {
    (window.entries + window.sidecars) as f64
}

fn idle(windows: &[Window]) -> Vec<&Window> {
    windows.iter().filter(|window| window.rate == 0).collect()
}

fn table(windows: &[Window]) -> Value {
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
            "store_writes_per_s": round(window.store_writes_per_s),
            "store_reads_per_s": round(window.store_reads_per_s),
        })
    });
    rows.collect()
}

fn cost_row(cost: &Cost) -> Value {
    json!({
        "cpu_ms_per_s": round(cost.cpu_ms_per_s),
        "memory_bytes": cost.memory_bytes.round(),
        "peer_bytes_per_s": cost.peer_bytes_per_s.round(),
        "platform_bytes_per_s": cost.platform_bytes_per_s.round(),
    })
}

/// Least-squares slopes of every figure against a size.
fn slopes(windows: &[&Window], size: impl Fn(&Window) -> f64) -> Value {
    let slope = |value: fn(&Window) -> f64| {
        let points: Vec<(f64, f64)> =
            windows.iter().map(|window| (size(window), value(window))).collect();
        let line = fit(&points);
        json!({ "at_zero": line.at_zero, "slope": line.slope, "spread": line.spread })
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

fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
