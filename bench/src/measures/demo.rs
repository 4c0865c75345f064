//! `demo`: a small fleet answers both organisations' kinds of traffic.

use std::io;
use std::time::Duration;

use rosemarymoor_testutils::fleet::{BudgetPlan, Fleet};
use serde_json::{Value, json};

use super::{keep_logs, mix, plan, say};
use crate::caller::Callers;
use crate::judge::{Credit, Judge};
use crate::load::{self, Arrivals};
use crate::options::Options;

const SECONDS: u64 = 10;
const RATE: u64 = 60;
const BUDGET_TOKENS: u64 = 100_000;
/// Budget that runs dry during the demo.
const SMALL_BUDGET_TOKENS: u64 = 4_000;
const SETTLE: Duration = Duration::from_secs(2);

/// Runs the demo.
pub async fn run(options: &Options) -> io::Result<Value> {
    let mut plan = plan(options)?;
    plan.budgets = (0..4)
        .map(|number| BudgetPlan {
            workspace: number % 2,
            name: format!("household-{number}"),
            tokens: if number == 3 { SMALL_BUDGET_TOKENS } else { BUDGET_TOKENS },
        })
        .collect();
    say("starting 3 entries and 6 sidecars before 4 engines and 2 applications");
    let mut fleet = Fleet::open(plan.clone()).await?;
    let callers = Callers::open(fleet.entry_urls());
    let arrivals = Arrivals {
        seed: options.seed,
        rate: options.rate.unwrap_or(RATE),
        length: Duration::from_secs(options.seconds.unwrap_or(SECONDS)),
    };
    let records = load::run(&callers, arrivals, |rng, number| {
        let kind = mix::kind(rng);
        mix::call(&plan, rng, number, kind, number as usize % plan.budgets.len())
    })
    .await;
    tokio::time::sleep(SETTLE).await;
    fleet.stop().await;
    let credits: Vec<Credit> = super::budgets::first_credits(&plan);
    let judge = Judge::open(&fleet, &records, &credits);
    let ledger = fleet.ledger();
    let verdict = judge.verdict(&plan, &records, &ledger);
    say(format_args!("{:<16} {:>9} {:>9} {:>9}", "budget", "prepaid", "spent", "free"));
    for account in ledger.accounts() {
        let (name, prepaid) = (&account.budget.name, account.prepaid);
        say(format_args!("{name:<16} {prepaid:>9} {:>9} {:>9}", account.spent(), account.free()));
    }
    say(format_args!("{} answered, {} refused", verdict.answered, verdict.refused));
    keep_logs(options, &fleet)?;
    Ok(json!({
        "measure": "demo",
        "seed": options.seed,
        "entries": plan.entries,
        "sidecars": plan.engines + plan.applications,
        "requests": verdict.requests,
        "answered": verdict.answered,
        "refused": verdict.refused,
        "broken": verdict.broken,
        "truncated": verdict.truncated,
        "crossed": verdict.crossed,
        "overspend_tokens": verdict.overspend_tokens,
        "charged_tokens": verdict.charged_tokens,
        "ran_tokens": verdict.ran_tokens,
        "settled_tokens": verdict.settled_tokens,
        "refused_by_code": verdict.codes,
    }))
}
