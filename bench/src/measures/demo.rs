//! `demo`: a small fleet answers a mix of all kinds of requests without faults.

use std::io;
use std::time::Duration;

use rosemarymoor_testutils::fleet::{BudgetPlan, Fleet};
use serde_json::{Value, json};

use super::{fleet_plan, mix, print_line, save_logs};
use crate::caller::Callers;
use crate::load::{self, Arrivals};
use crate::options::Options;
use crate::verifier::{Credit, Verifier};

const DEFAULT_SECONDS: u64 = 10;
/// Requests per second.
const DEFAULT_RATE: u64 = 60;
const BUDGET_TOKENS: u64 = 100_000;
/// Size of the budget that is exhausted during the demo.
const SMALL_BUDGET_TOKENS: u64 = 4_000;
/// Time for settlements after the load.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Runs the measure and returns its JSON object.
pub async fn run(options: &Options) -> io::Result<Value> {
    let mut plan = fleet_plan(options)?;
    plan.budgets = (0..4)
        .map(|number| BudgetPlan {
            workspace: number % 2,
            name: format!("household-{number}"),
            tokens: if number == 3 { SMALL_BUDGET_TOKENS } else { BUDGET_TOKENS },
        })
        .collect();
    print_line("starting 3 entries, 4 engines and 2 applications, with a sidecar for each target");
    let mut fleet = Fleet::open(plan.clone()).await?;
    let callers = Callers::open(fleet.entry_urls());
    let arrivals = Arrivals {
        seed: options.seed,
        rate: options.rate.unwrap_or(DEFAULT_RATE),
        duration: Duration::from_secs(options.seconds.unwrap_or(DEFAULT_SECONDS)),
    };
    let records = load::run(&callers, arrivals, |rng, number| {
        let kind = mix::kind(rng);
        mix::call(&plan, rng, number, kind, number as usize % plan.budgets.len())
    })
    .await;
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.stop().await;
    let credits: Vec<Credit> = super::budgets::initial_credits(&plan);
    let verifier = Verifier::new(&fleet, &records, &credits);
    let ledger = fleet.ledger();
    let summary = verifier.summarize(&plan, &records, &ledger);
    print_line(format_args!("{:<16} {:>9} {:>9} {:>9}", "budget", "prepaid", "spent", "free"));
    for account in ledger.accounts() {
        let (name, prepaid) = (&account.budget.name, account.prepaid);
        print_line(format_args!(
            "{name:<16} {prepaid:>9} {:>9} {:>9}",
            account.spent(),
            account.free()
        ));
    }
    print_line(format_args!("{} calls answered, {} refused", summary.answered, summary.refused));
    save_logs(options, &fleet)?;
    Ok(json!({
        "measure": "demo",
        "seed": options.seed,
        "entries": plan.entries,
        "sidecars": plan.engines + plan.applications,
        "requests": summary.requests,
        "answered": summary.answered,
        "refused": summary.refused,
        "broken": summary.broken,
        "truncated": summary.truncated,
        "crossed": summary.crossed,
        "overspend_tokens": summary.overspend_tokens,
        "charged_tokens": summary.charged_tokens,
        "ran_tokens": summary.ran_tokens,
        "settled_tokens": summary.settled_tokens,
        "refused_by_code": summary.codes,
    }))
}
