//! Judgement of a run by what stand-ins and callers saw and what the ledger holds.

use std::collections::BTreeMap;
use std::time::Instant;

use rosemarymoor_lib::id::BudgetId;
use rosemarymoor_testutils::engine::EngineRun;
use rosemarymoor_testutils::fleet::{Fleet, FleetPlan, LedgerView};

use crate::caller::{CallRecord, End, Kind, SUBMISSION_TOKENS};

/// Spend of one run, attributed to its marker.
struct Run {
    marker: String,
    started: Instant,
    finished: Option<Instant>,
    first_tokens: u64,
    tokens: u64,
}

impl Run {
    fn of_engine(run: EngineRun) -> Run {
        Run {
            started: run.started,
            finished: run.finished,
            first_tokens: run.prompt_tokens,
            tokens: run.tokens(),
            marker: run.marker,
        }
    }

    /// Tokens that had truly been spent at a moment.
    fn spent_by(&self, at: Instant) -> u64 {
        match self.finished {
            _ if self.started > at => 0,
            Some(finished) if finished > at => self.first_tokens,
            _ => self.tokens,
        }
    }
}

/// Credit of a budget and when the store confirmed it.
#[derive(Clone, Copy, Debug)]
pub struct Credit {
    pub budget: usize,
    pub at: Option<Instant>,
    pub tokens: u64,
}

/// Everything that was seen of a run, by budget.
pub struct Judge {
    runs: Vec<Vec<Run>>,
    credits: Vec<Vec<Credit>>,
}

/// Figures of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub requests: u64,
    pub answered: u64,
    pub refused: u64,
    pub truncated: u64,
    pub crossed: u64,
    pub broken: u64,
    pub false_refusals: u64,
    pub covered_requests: u64,
    pub false_refusals_covered: u64,
    pub overspend_tokens: u64,
    pub charged_tokens: u64,
    pub ran_tokens: u64,
    pub settled_tokens: u64,
    /// Tokens that ran and that the ledger does not count as spent.
    pub unsettled_tokens: u64,
    /// Tokens of all but the longest run of each call.
    pub rerun_tokens: u64,
    pub billed_twice: u64,
    pub billed_unanswered_tokens: u64,
    pub stranded_tokens: u64,
    /// Refusals by their code.
    pub codes: BTreeMap<u16, u64>,
}

impl Judge {
    /// Collects what the stand-ins ran for the given calls.
    pub fn open(fleet: &Fleet, records: &[CallRecord], credits: &[Credit]) -> Judge {
        let budgets = fleet.plan.budgets.len();
        let mut by_marker: Vec<(&str, usize, Kind)> = records
            .iter()
            .map(|record| (record.call.marker.as_str(), record.call.budget, record.call.kind))
            .collect();
        by_marker.sort_unstable_by_key(|(marker, ..)| *marker);
        let find = |marker: &str| {
            let at = by_marker.binary_search_by_key(&marker, |(marker, ..)| *marker).ok()?;
            Some(by_marker[at])
        };
        let mut runs: Vec<Vec<Run>> = (0..budgets).map(|_| Vec::new()).collect();
        for run in fleet.engines.iter().flat_map(|engine| engine.runs()) {
            if let Some((_, budget, _)) = find(&run.marker) {
                runs[budget].push(Run::of_engine(run));
            }
        }
        for run in fleet.applications.iter().flat_map(|application| application.runs()) {
            if let Some((_, budget, kind)) = find(&run.marker) {
                let tokens = if kind == Kind::Submission { SUBMISSION_TOKENS } else { 0 };
                let (marker, started) = (run.marker, run.started);
                let finished = Some(started);
                runs[budget].push(Run { marker, started, finished, first_tokens: 0, tokens });
            }
        }
        let mut by_budget: Vec<Vec<Credit>> = vec![Vec::new(); budgets];
        for credit in credits {
            by_budget[credit.budget].push(*credit);
        }
        Judge { runs, credits: by_budget }
    }

    /// Tokens prepaid for a budget at a moment.
    fn prepaid(&self, budget: usize, at: Instant) -> u64 {
        let credits = self.credits[budget].iter();
        let confirmed = credits.filter(|credit| credit.at.is_none_or(|credited| credited <= at));
        confirmed.map(|credit| credit.tokens).sum()
    }

    /// Tokens truly left in a budget at a moment.
    fn left(&self, budget: usize, at: Instant) -> u64 {
        let spent: u64 = self.runs[budget].iter().map(|run| run.spent_by(at)).sum();
        self.prepaid(budget, at).saturating_sub(spent)
    }

    /// Times that a call ran.
    pub fn times_run(&self, record: &CallRecord) -> usize {
        let runs = self.runs[record.call.budget].iter();
        runs.filter(|run| run.marker == record.call.marker).count()
    }

    /// Whether a try was refused as not run although the call ran.
    pub fn has_false_not_run(&self, record: &CallRecord) -> bool {
        let runs = self.runs[record.call.budget].iter();
        let started: Vec<Instant> =
            runs.filter(|run| run.marker == record.call.marker).map(|run| run.started).collect();
        record.tries.iter().enumerate().any(|(number, tried)| {
            let next = record.tries.get(number + 1).map(|next| next.started);
            let excused = |run: &Instant| next.is_some_and(|next| *run >= next);
            tried.end.is_not_run() && started.iter().any(|run| !excused(run))
        })
    }

    /// Figures over all calls and the ledger as it stands at the end.
    pub fn verdict(
        &self,
        plan: &FleetPlan,
        records: &[CallRecord],
        ledger: &LedgerView,
    ) -> Verdict {
        let mut verdict = Verdict { requests: records.len() as u64, ..Verdict::default() };
        for record in records {
            self.judge_call(record, &mut verdict);
        }
        for budget in 0..plan.budgets.len() {
            self.judge_budget(plan, budget, records, ledger, &mut verdict);
        }
        verdict
    }

    fn judge_call(&self, record: &CallRecord, verdict: &mut Verdict) {
        let call = &record.call;
        let worst_case = call.worst_case();
        let last = record.last();
        match &last.end {
            End::Answered { charge } => {
                verdict.answered += 1;
                verdict.charged_tokens += charge.unwrap_or(0);
            }
            End::Refused { code, .. } => {
                verdict.refused += 1;
                *verdict.codes.entry(*code).or_default() += 1;
            }
            End::Unreachable | End::Broken => verdict.broken += 1,
            End::Truncated => verdict.truncated += 1,
            End::Crossed => verdict.crossed += 1,
        }
        // A refusal is false if the money covers the request when it is refused,
        // after whatever wait.
        let refused =
            last.end.is_budget_refusal() && self.left(call.budget, last.finished) >= worst_case;
        verdict.false_refusals += u64::from(refused);
        let start = record.started();
        let left = self.left(call.budget, start);
        if left >= worst_case && left * 10 >= self.prepaid(call.budget, start) {
            verdict.covered_requests += 1;
            verdict.false_refusals_covered += u64::from(refused);
        }
    }

    fn judge_budget(
        &self,
        plan: &FleetPlan,
        budget: usize,
        records: &[CallRecord],
        ledger: &LedgerView,
        verdict: &mut Verdict,
    ) {
        let ran: u64 = self.runs[budget].iter().map(|run| run.tokens).sum();
        let prepaid: u64 = self.credits[budget].iter().map(|credit| credit.tokens).sum();
        let name = &plan.budgets[budget].name;
        let workspace = FleetPlan::workspace_name(plan.budgets[budget].workspace);
        let account = ledger.account(&BudgetId { workspace, name: name.clone() });
        let settled = account.map_or(0, |account| account.spent());
        let open =
            account.map_or(0, |account| account.grants.iter().map(|grant| grant.open()).sum());
        verdict.ran_tokens += ran;
        verdict.rerun_tokens += self.rerun_tokens(budget);
        verdict.settled_tokens += settled;
        verdict.overspend_tokens += ran.saturating_sub(prepaid);
        verdict.unsettled_tokens += ran.saturating_sub(settled);
        if ran > settled {
            eprintln!("{name}: ran {ran}, settled {settled}, prepaid {prepaid}");
        }
        verdict.stranded_tokens += open;
        let answered: Vec<&CallRecord> = records
            .iter()
            .filter(|record| record.call.budget == budget && record.is_answered())
            .collect();
        let charged: u64 = answered.iter().filter_map(|record| record.charge()).sum();
        let beyond = settled.saturating_sub(charged);
        verdict.billed_unanswered_tokens += beyond;
        verdict.billed_twice += self.billed_twice(budget, settled, &answered);
    }

    fn rerun_tokens(&self, budget: usize) -> u64 {
        let mut runs: Vec<&Run> = self.runs[budget].iter().collect();
        runs.sort_unstable_by(|a, b| (&a.marker, b.tokens).cmp(&(&b.marker, a.tokens)));
        let groups = runs.chunk_by(|a, b| a.marker == b.marker);
        groups.flat_map(|group| &group[1..]).map(|run| run.tokens).sum()
    }

    /// Fewest retried calls whose second bill explains what the ledger counts
    /// beyond all that ran.
    fn billed_twice(&self, budget: usize, settled: u64, answered: &[&CallRecord]) -> u64 {
        let ran: u64 = self.runs[budget].iter().map(|run| run.tokens).sum();
        let mut excess = settled.saturating_sub(ran);
        let mut charges: Vec<u64> = answered
            .iter()
            .filter(|record| record.tries.len() > 1)
            .filter_map(|record| record.charge())
            .collect();
        charges.sort_unstable_by(|a, b| b.cmp(a));
        let mut twice = 0;
        for charge in charges {
            if excess == 0 || charge == 0 {
                break;
            }
            excess = excess.saturating_sub(charge);
            twice += 1;
        }
        twice
    }
}
