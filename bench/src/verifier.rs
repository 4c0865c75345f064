//! Verification of a measure: compares what the callers received with what the
//! stand-ins ran and what the ledger holds.

use std::collections::BTreeMap;
use std::time::Instant;

use rosemarymoor_lib::id::BudgetId;
use rosemarymoor_testutils::engine::EngineRun;
use rosemarymoor_testutils::fleet::{Fleet, FleetPlan, LedgerView};

use crate::caller::{CallKind, CallRecord, Outcome, SUBMISSION_TOKENS};

/// Run of a call at a stand-in, with the tokens that it cost.
struct Run {
    marker: String,
    started_at: Instant,
    finished_at: Option<Instant>,
    /// Tokens that count as spent while the run lasts.
    prompt_tokens: u64,
    /// All tokens of the run.
    tokens: u64,
}

impl Run {
    fn from_engine(run: EngineRun) -> Run {
        Run {
            started_at: run.started_at,
            finished_at: run.finished_at,
            prompt_tokens: run.prompt_tokens,
            tokens: run.tokens(),
            marker: run.marker,
        }
    }

    /// Returns the tokens that count as spent at a given time: those of the prompt while
    /// the run lasts, all of them once it has finished or if no end was recorded.
    fn spent_by(&self, at: Instant) -> u64 {
        match self.finished_at {
            _ if self.started_at > at => 0,
            Some(finished) if finished > at => self.prompt_tokens,
            _ => self.tokens,
        }
    }
}

/// Tokens credited to a budget.
#[derive(Clone, Copy, Debug)]
pub struct Credit {
    /// Index of the budget in the fleet's plan.
    pub budget: usize,
    /// When the store confirmed the credit; `None` for a budget's initial tokens.
    pub confirmed_at: Option<Instant>,
    pub tokens: u64,
}

/// Runs and credits of a measure, each by the index of its budget.
pub struct Verifier {
    runs: Vec<Vec<Run>>,
    credits: Vec<Vec<Credit>>,
}

/// Figures of a measure. Fields without a remark count calls.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub requests: u64,
    pub answered: u64,
    pub refused: u64,
    /// Incomplete answers that look complete.
    pub truncated: u64,
    /// Answers that belong to another call.
    pub crossed: u64,
    /// Calls without an answer, or with one that is visibly cut off.
    pub broken: u64,
    /// Budget refusals although the budget covered the call when it was refused.
    pub false_refusals: u64,
    /// Calls that the budget covered at their start, with a tenth or more of its prepaid
    /// tokens left.
    pub covered_requests: u64,
    /// False refusals among the covered requests.
    pub false_refusals_covered: u64,
    /// Tokens that ran beyond those prepaid.
    pub overspend_tokens: u64,
    /// Tokens charged by the answers.
    pub charged_tokens: u64,
    /// Tokens of all runs at the stand-ins.
    pub ran_tokens: u64,
    /// Tokens that the ledger counts as spent.
    pub settled_tokens: u64,
    /// Tokens that ran but that the ledger doesn't count as spent.
    pub unsettled_tokens: u64,
    /// Tokens of all runs of each call but its most expensive one.
    pub rerun_tokens: u64,
    /// Lower bound of the retried calls that were charged twice.
    pub billed_twice: u64,
    /// Tokens that the ledger counts as spent beyond those charged by the answers.
    pub billed_unanswered_tokens: u64,
    /// Tokens that are granted and not settled in the final ledger.
    pub stranded_tokens: u64,
    /// Number of refusals by result code.
    pub codes: BTreeMap<u16, u64>,
}

impl Verifier {
    /// Collects the stand-ins' runs of the given calls; `credits` are all credits of the
    /// budgets.
    pub fn new(fleet: &Fleet, records: &[CallRecord], credits: &[Credit]) -> Verifier {
        let budgets = fleet.plan.budgets.len();
        let mut by_marker: Vec<(&str, usize, CallKind)> = records
            .iter()
            .map(|record| (record.call.marker.as_str(), record.call.budget, record.call.kind))
            .collect();
        by_marker.sort_unstable_by_key(|(marker, ..)| *marker);
        let find_call = |marker: &str| {
            let at = by_marker.binary_search_by_key(&marker, |(marker, ..)| *marker).ok()?;
            Some(by_marker[at])
        };
        let mut runs: Vec<Vec<Run>> = (0..budgets).map(|_| Vec::new()).collect();
        for run in fleet.engines.iter().flat_map(|engine| engine.runs()) {
            if let Some((_, budget, _)) = find_call(&run.marker) {
                runs[budget].push(Run::from_engine(run));
            }
        }
        for run in fleet.applications.iter().flat_map(|application| application.runs()) {
            if let Some((_, budget, kind)) = find_call(&run.marker) {
                let tokens = if kind == CallKind::Submission { SUBMISSION_TOKENS } else { 0 };
                let (marker, started_at) = (run.marker, run.started_at);
                let finished_at = Some(started_at);
                runs[budget].push(Run {
                    marker,
                    started_at,
                    finished_at,
                    prompt_tokens: 0,
                    tokens,
                });
            }
        }
        let mut by_budget: Vec<Vec<Credit>> = vec![Vec::new(); budgets];
        for credit in credits {
            by_budget[credit.budget].push(*credit);
        }
        Verifier { runs, credits: by_budget }
    }

    /// Returns the tokens prepaid for a budget at a given time.
    fn prepaid(&self, budget: usize, at: Instant) -> u64 {
        let credits = self.credits[budget].iter();
        let confirmed = credits
            .filter(|credit| credit.confirmed_at.is_none_or(|confirmed_at| confirmed_at <= at));
        confirmed.map(|credit| credit.tokens).sum()
    }

    /// Returns the tokens remaining in a budget at a given time, by the stand-ins' runs.
    fn remaining(&self, budget: usize, at: Instant) -> u64 {
        let spent: u64 = self.runs[budget].iter().map(|run| run.spent_by(at)).sum();
        self.prepaid(budget, at).saturating_sub(spent)
    }

    /// Returns the number of runs of a call.
    pub fn times_run(&self, record: &CallRecord) -> usize {
        let runs = self.runs[record.call.budget].iter();
        runs.filter(|run| run.marker == record.call.marker).count()
    }

    /// Returns whether an attempt was refused as not run although the call ran.
    ///
    /// A run that started after the next attempt is attributed to that one.
    pub fn has_false_not_run(&self, record: &CallRecord) -> bool {
        let runs = self.runs[record.call.budget].iter();
        let started: Vec<Instant> =
            runs.filter(|run| run.marker == record.call.marker).map(|run| run.started_at).collect();
        record.attempts.iter().enumerate().any(|(index, attempt)| {
            let next = record.attempts.get(index + 1).map(|next| next.started_at);
            let ran_after_retry = |run: &Instant| next.is_some_and(|next| *run >= next);
            attempt.outcome.is_not_run() && started.iter().any(|run| !ran_after_retry(run))
        })
    }

    /// Returns the figures over all calls and the final state of the ledger.
    pub fn summarize(
        &self,
        plan: &FleetPlan,
        records: &[CallRecord],
        ledger: &LedgerView,
    ) -> Summary {
        let mut summary = Summary { requests: records.len() as u64, ..Summary::default() };
        for record in records {
            self.add_call(record, &mut summary);
        }
        for budget in 0..plan.budgets.len() {
            self.add_budget(plan, budget, records, ledger, &mut summary);
        }
        summary
    }

    fn add_call(&self, record: &CallRecord, summary: &mut Summary) {
        let call = &record.call;
        let worst_case_tokens = call.worst_case_tokens();
        let last = record.last_attempt();
        match &last.outcome {
            Outcome::Answered { charge } => {
                summary.answered += 1;
                summary.charged_tokens += charge.unwrap_or(0);
            }
            Outcome::Refused { code, .. } => {
                summary.refused += 1;
                *summary.codes.entry(*code).or_default() += 1;
            }
            Outcome::Unreachable | Outcome::Broken => summary.broken += 1,
            Outcome::Truncated => summary.truncated += 1,
            Outcome::Crossed => summary.crossed += 1,
        }
        // A refusal is false if the budget covers the call at the time of the refusal,
        // however long the call waited before.
        let is_false_refusal = last.outcome.is_budget_refusal()
            && self.remaining(call.budget, last.finished_at) >= worst_case_tokens;
        summary.false_refusals += u64::from(is_false_refusal);
        let start = record.started_at();
        let remaining = self.remaining(call.budget, start);
        if remaining >= worst_case_tokens && remaining * 10 >= self.prepaid(call.budget, start) {
            summary.covered_requests += 1;
            summary.false_refusals_covered += u64::from(is_false_refusal);
        }
    }

    fn add_budget(
        &self,
        plan: &FleetPlan,
        budget: usize,
        records: &[CallRecord],
        ledger: &LedgerView,
        summary: &mut Summary,
    ) {
        let ran: u64 = self.runs[budget].iter().map(|run| run.tokens).sum();
        let prepaid: u64 = self.credits[budget].iter().map(|credit| credit.tokens).sum();
        let name = &plan.budgets[budget].name;
        let workspace = FleetPlan::workspace_name(plan.budgets[budget].workspace);
        let account = ledger.account(&BudgetId { workspace, name: name.clone() });
        let settled = account.map_or(0, |account| account.spent());
        let outstanding = account
            .map_or(0, |account| account.grants.iter().map(|grant| grant.open_tokens()).sum());
        summary.ran_tokens += ran;
        summary.rerun_tokens += self.rerun_tokens(budget);
        summary.settled_tokens += settled;
        summary.overspend_tokens += ran.saturating_sub(prepaid);
        summary.unsettled_tokens += ran.saturating_sub(settled);
        if ran > settled {
            eprintln!("{name}: {ran} tokens ran, {settled} settled, {prepaid} prepaid");
        }
        summary.stranded_tokens += outstanding;
        let answered: Vec<&CallRecord> = records
            .iter()
            .filter(|record| record.call.budget == budget && record.is_answered())
            .collect();
        let charged: u64 = answered.iter().filter_map(|record| record.charge()).sum();
        let uncharged = settled.saturating_sub(charged);
        summary.billed_unanswered_tokens += uncharged;
        summary.billed_twice += self.billed_twice(budget, settled, &answered);
    }

    fn rerun_tokens(&self, budget: usize) -> u64 {
        let mut runs: Vec<&Run> = self.runs[budget].iter().collect();
        runs.sort_unstable_by(|a, b| (&a.marker, b.tokens).cmp(&(&b.marker, a.tokens)));
        let groups = runs.chunk_by(|a, b| a.marker == b.marker);
        groups.flat_map(|group| &group[1..]).map(|run| run.tokens).sum()
    }

    /// Returns the smallest number of retried calls whose double charge explains the
    /// tokens that the ledger counts beyond those that ran.
    fn billed_twice(&self, budget: usize, settled: u64, answered: &[&CallRecord]) -> u64 {
        let ran: u64 = self.runs[budget].iter().map(|run| run.tokens).sum();
        let mut excess = settled.saturating_sub(ran);
        let mut charges: Vec<u64> = answered
            .iter()
            .filter(|record| record.attempts.len() > 1)
            .filter_map(|record| record.charge())
            .collect();
        charges.sort_unstable_by(|a, b| b.cmp(a));
        let mut count = 0;
        for charge in charges {
            if excess == 0 || charge == 0 {
                break;
            }
            excess = excess.saturating_sub(charge);
            count += 1;
        }
        count
    }
}
