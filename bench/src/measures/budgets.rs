//! `budgets`: measures overspend, false refusals and unsettled tokens under faults.

use std::io;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use rosemarymoor_lib::budget::top_up;
use rosemarymoor_lib::id::{BudgetId, OperationId};
use rosemarymoor_testutils::fleet::{BudgetPlan, Fleet, FleetPlan};
use rosemarymoor_testutils::kv::Outage;
use serde_json::{Value, json};

use super::timeline::Timeline;
use super::{fleet_plan, mix, print_line, save_logs};
use crate::caller::Callers;
use crate::load::{self, Arrivals};
use crate::options::Options;
use crate::verifier::{Credit, Verifier};

const DEFAULT_SECONDS: u64 = 25;
/// Requests per second.
const DEFAULT_RATE: u64 = 300;
const DEFAULT_BUDGETS: usize = 64;
/// Time for settlements and reclaims after the load.
const SETTLE_TIME: Duration = Duration::from_secs(6);
const TOP_UP_ATTEMPTS: u32 = 20;
const LARGE_BUDGET_TOKENS: u64 = 2_000_000;
const SMALL_BUDGET_TOKENS: u64 = 4_000;
const TOP_UP_TOKENS: u64 = 4_000;

/// Points of the run at which the faults begin and end, in percent of its duration.
const FAULT_START_PERCENT: u32 = 25;
const FAULT_END_PERCENT: u32 = 70;
/// Point of the run at which budgets are topped up, in percent of its duration.
const TOP_UP_PERCENT: u32 = 50;

/// Returns the initial credits of the budgets in the fleet's plan.
pub fn initial_credits(plan: &FleetPlan) -> Vec<Credit> {
    let budgets = plan.budgets.iter().enumerate();
    budgets
        .map(|(budget, plan)| Credit { budget, confirmed_at: None, tokens: plan.tokens })
        .collect()
}

/// Runs the measure and returns its JSON object.
pub async fn run(options: &Options) -> io::Result<Value> {
    let mut plan = fleet_plan(options)?;
    plan.budgets = budget_plans(options.budgets.unwrap_or(DEFAULT_BUDGETS));
    let duration = Duration::from_secs(options.seconds.unwrap_or(DEFAULT_SECONDS));
    let arrivals =
        Arrivals { seed: options.seed, rate: options.rate.unwrap_or(DEFAULT_RATE), duration };
    let mut fleet = Fleet::open(plan.clone()).await?;
    let callers = Callers::open(fleet.entry_urls());
    let before = fleet.kv.counts();
    let timeline = Timeline::start(duration);
    let load = load::run(&callers, arrivals, |rng, number| {
        let budget = pick_budget(rng, plan.budgets.len());
        let kind = mix::kind(rng);
        mix::call(&plan, rng, number, kind, budget)
    });
    let (records, mut credits) = tokio::join!(load, inject_faults(options, &mut fleet, timeline));
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.stop().await;
    let after = fleet.kv.counts();
    credits.extend(initial_credits(&plan));
    let verifier = Verifier::new(&fleet, &records, &credits);
    let summary = verifier.summarize(&plan, &records, &fleet.ledger());
    save_logs(options, &fleet)?;
    print_line(format_args!("{summary:#?}"));
    Ok(json!({
        "measure": "budgets",
        "fault": options.fault,
        "policy": plan.policy,
        "seed": options.seed,
        "entries": plan.entries,
        "sidecars": plan.engines + plan.applications,
        "budgets": plan.budgets.len(),
        "requests": summary.requests,
        "answered": summary.answered,
        "refused": summary.refused,
        "broken": summary.broken,
        "truncated": summary.truncated,
        "crossed": summary.crossed,
        "false_refusals": summary.false_refusals,
        "covered_requests": summary.covered_requests,
        "false_refusals_covered": summary.false_refusals_covered,
        "overspend_tokens": summary.overspend_tokens,
        "billed_twice": summary.billed_twice,
        "billed_unanswered_tokens": summary.billed_unanswered_tokens,
        "stranded_tokens": summary.stranded_tokens,
        "ran_tokens": summary.ran_tokens,
        "rerun_tokens": summary.rerun_tokens,
        "settled_tokens": summary.settled_tokens,
        "unsettled_tokens": summary.unsettled_tokens,
        "store_writes": after.writes - before.writes,
        "store_reads": after.reads + after.watches - before.reads - before.watches,
        "store_calls_by_area": fleet.kv.area_counts(),
        "refused_by_code": summary.codes,
    }))
}

/// Returns one large, busy budget, a quarter of small ones that are exhausted during the
/// run, and medium ones, most of which are rarely used.
fn budget_plans(count: usize) -> Vec<BudgetPlan> {
    let tokens = |number: usize| match number {
        0 => LARGE_BUDGET_TOKENS,
        number if number % 4 == 1 => SMALL_BUDGET_TOKENS,
        _ => LARGE_BUDGET_TOKENS / 20,
    };
    let plan = |number| BudgetPlan {
        workspace: number % 2,
        name: format!("household-{number:05}"),
        tokens: tokens(number),
    };
    (0..count).map(plan).collect()
}

/// Returns the first budget for two in five requests, and one of the first 24 for most
/// others.
fn pick_budget(rng: &mut SmallRng, budgets: usize) -> usize {
    if rng.random_bool(0.4) {
        return 0;
    }
    let active = if rng.random_bool(0.9) { budgets.min(24) } else { budgets };
    rng.random_range(0..active)
}

async fn inject_faults(options: &Options, fleet: &mut Fleet, timeline: Timeline) -> Vec<Credit> {
    if options.has_fault("lost-answers") {
        fleet.kv.set_faults(|faults| {
            faults.lose_answers = 0.15;
            faults.late_writes = 0.05;
            faults.late_by = Duration::from_millis(400);
        });
    }
    timeline.wait_until(FAULT_START_PERCENT).await;
    let partitioned = partitioned_nodes(fleet);
    if options.has_fault("partition") {
        print_line("cutting off the first entry and the sidecars in its data centre");
        fleet.set_partition(&partitioned, true);
    }
    if options.has_fault("store-outage") {
        let kinds = [Outage::Refuse, Outage::Drop, Outage::Hang];
        let kind = kinds[options.seed as usize % kinds.len()];
        print_line(format_args!("starting a store outage of kind {kind:?}"));
        fleet.kv.set_faults(|faults| faults.outage = Some(kind));
    }
    let killed_entry = 1 % fleet.plan.entries;
    if options.has_fault("entry-kill") {
        print_line("killing an entry");
        fleet.nodes[killed_entry].daemon.kill();
    }
    let paused_entry = 2 % fleet.plan.entries;
    if options.has_fault("entry-pause") {
        print_line("pausing an entry");
        fleet.nodes[paused_entry].daemon.pause();
    }
    timeline.wait_until(FAULT_START_PERCENT + 10).await;
    if options.has_fault("entry-kill") && fleet.nodes[killed_entry].daemon.restart().is_err() {
        print_line("the killed entry failed to restart");
    }
    timeline.wait_until(TOP_UP_PERCENT).await;
    let (mut credits, is_deferred) = if options.has_fault("store-outage") {
        (Vec::new(), true)
    } else {
        (top_up_small_budgets(fleet).await, false)
    };
    timeline.wait_until(FAULT_END_PERCENT).await;
    fleet.set_partition(&partitioned, false);
    fleet.kv.set_faults(|faults| faults.outage = None);
    fleet.nodes[paused_entry].daemon.resume();
    if is_deferred {
        credits = top_up_small_budgets(fleet).await;
    }
    timeline.wait_until(100).await;
    fleet.kv.set_faults(|faults| *faults = Default::default());
    credits
}

/// Returns the indices of the first entry and of every sidecar in its data centre.
fn partitioned_nodes(fleet: &Fleet) -> Vec<usize> {
    let data_center = &fleet.nodes[0].data_center;
    let sidecars = fleet.sidecars().filter(|node| fleet.nodes[*node].data_center == *data_center);
    std::iter::once(0).chain(sidecars).collect()
}

/// Tops up every second small budget among the first 24 and returns the credits that the
/// store confirmed.
///
/// The calls go straight to the store, so that a partition doesn't affect them.
async fn top_up_small_budgets(fleet: &Fleet) -> Vec<Credit> {
    let store = fleet.store();
    let mut credits = Vec::new();
    for (budget, plan) in fleet.plan.budgets.iter().enumerate().take(24) {
        if plan.tokens != SMALL_BUDGET_TOKENS || budget % 8 != 1 {
            continue;
        }
        let id = BudgetId {
            workspace: FleetPlan::workspace_name(plan.workspace),
            name: plan.name.clone(),
        };
        let operation = OperationId::random();
        for _ in 0..TOP_UP_ATTEMPTS {
            let shards = fleet.plan.shards;
            if top_up(&store, shards, &id, TOP_UP_TOKENS, operation).await.is_ok() {
                let confirmed_at = Some(Instant::now());
                credits.push(Credit { budget, confirmed_at, tokens: TOP_UP_TOKENS });
                break;
            }
        }
    }
    credits
}
