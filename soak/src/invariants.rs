//! Judges a run by what callers got, what targets ran and what the ledger says.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rosemarymoor_platform_standins::fixtures::all_events;
use serde::Serialize;

use crate::fleet::{Fleet, WORKSPACES};
use crate::record::{Exchange, Kind, Outcome, Struck, Violation};
use crate::target::{TOKENS_PER_EVENT, Target};
use crate::{Plan, Report};

/// Time after its registration says so in which a leaving target may get work.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Time that a request may be held: its deadline and a second.
const HELD_LIMIT: Duration = Duration::from_millis(4_000);

/// Findings that a report tells in words; the counts go on.
const MOST_FINDINGS: usize = 20;

/// Breaches by promise; all are zero in a good run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ViolationCounts {
    /// Tokens delivered beyond what was prepaid.
    pub overspent: u64,
    /// Tokens delivered that the ledger does not know of.
    pub unbilled: u64,
    /// Calm requests that were not billed exactly once.
    pub wrongly_billed: u64,
    /// Calls that must not repeat and ran more than once.
    pub ran_twice: u64,
    /// Calls that were said not to have run, though they had.
    pub false_not_run: u64,
    /// Answers of another request, or with a wrong body.
    pub mixed: u64,
    /// Accepted requests without an answer.
    pub lost: u64,
    /// Answers broken off though neither entry nor target was struck.
    pub cut_off: u64,
    /// Proper requests that were refused as improper.
    pub denied: u64,
    /// Requests held beyond their deadline.
    pub held: u64,
    /// Requests that reached a target long after it asked for no more.
    pub sent_to_leaving: u64,
    pub config_reverted: u64,
    pub config_late: u64,
    pub bad_exits: u64,
    pub not_recovered: u64,
}

/// Run of a request at a target.
struct Run<'a> {
    target: &'a Target,
    at: Instant,
    was_turned_away: bool,
}

type Runs<'a> = BTreeMap<String, Vec<Run<'a>>>;

struct Judge<'a> {
    fleet: &'a Fleet,
    runs: Runs<'a>,
    broken: ViolationCounts,
    findings: Vec<String>,
}

/// Judges a run whose processes have ended.
pub fn judge(fleet: &Fleet, plan: &Plan, faults: u64) -> Report {
    let targets = fleet.targets();
    let runs = collect_runs(&targets);
    let mut judge = Judge { fleet, runs, broken: ViolationCounts::default(), findings: Vec::new() };
    let exchanges = fleet.record.exchanges();
    for exchange in &exchanges {
        judge.judge_exchange(exchange);
    }
    for workspace in 0..WORKSPACES.len() {
        judge.judge_money(&exchanges, workspace);
    }
    for (breach, detail) in fleet.record.breaches() {
        judge.take_breach(breach, detail);
    }
    let is_answered =
        |exchange: &&Exchange| matches!(exchange.outcome, Outcome::Answered { status: 200, .. });
    Report {
        seed: plan.seed,
        processes: fleet.members().count(),
        faults,
        requests: exchanges.len() as u64,
        answered: exchanges.iter().filter(is_answered).count() as u64,
        violations: judge.broken,
        findings: judge.findings,
    }
}

fn collect_runs<'a>(targets: &'a [std::sync::Arc<Target>]) -> Runs<'a> {
    let mut runs = Runs::new();
    for target in targets {
        let turned_away = target.turned_away();
        for received in target.stand_in.received() {
            let id = received.attempt_id().to_owned();
            let was_turned_away = turned_away.contains(&id);
            runs.entry(id).or_default().push(Run { target, at: received.at, was_turned_away });
        }
    }
    runs
}

impl Judge<'_> {
    fn find(&mut self, count: fn(&mut ViolationCounts) -> &mut u64, detail: String) {
        *count(&mut self.broken) += 1;
        self.note(detail);
    }

    fn note(&mut self, detail: String) {
        if self.findings.len() < MOST_FINDINGS {
            self.findings.push(detail);
        }
    }

    fn judge_exchange(&mut self, exchange: &Exchange) {
        self.judge_runs(exchange);
        self.judge_leaving(exchange);
        let took = exchange.ended.duration_since(exchange.begun);
        let struck = Struck::Entry(exchange.entry);
        let record = &self.fleet.record;
        let is_entry_struck = record.was_struck(struck, exchange.begun, exchange.ended);
        if took > HELD_LIMIT && !is_entry_struck {
            self.find(|broken| &mut broken.held, format!("held for {took:?}: {exchange:?}"));
        }
        match &exchange.outcome {
            Outcome::Left => {}
            Outcome::NoAnswer => {
                if !is_entry_struck && self.runs.contains_key(&exchange.id) {
                    self.find(|broken| &mut broken.lost, format!("no answer: {exchange:?}"));
                }
            }
            Outcome::Answered { .. } => self.judge_answer(exchange, is_entry_struck),
        }
    }

    fn judge_runs(&mut self, exchange: &Exchange) {
        if exchange.kind != Kind::Unsafe {
            return;
        }
        let runs = self.runs.get(&exchange.id).map_or(&[][..], Vec::as_slice);
        let count = runs.iter().filter(|run| !run.was_turned_away).count();
        if count > 1 {
            self.find(|broken| &mut broken.ran_twice, format!("ran {count} times: {exchange:?}"));
        }
        let Outcome::Answered { status, is_signed, .. } = &exchange.outcome else { return };
        let promises = matches!(status, 408 | 421 | 429 | 503) && !is_signed;
        if promises && count > 0 {
            self.find(|broken| &mut broken.false_not_run, format!("has run: {exchange:?}"));
        }
    }

    fn judge_leaving(&mut self, exchange: &Exchange) {
        let runs = self.runs.get(&exchange.id).map_or(&[][..], Vec::as_slice);
        let late = runs.iter().find(|run| {
            let Some(left) = run.target.left_at() else { return false };
            let record = &self.fleet.record;
            run.at > left + DRAIN_LIMIT
                && !record.was_struck(Struck::Control, left, run.at)
                && !record.was_struck(Struck::Entry(exchange.entry), left, run.at)
        });
        if let Some(run) = late {
            let detail = format!("{} had left: {exchange:?}", run.target.id);
            self.find(|broken| &mut broken.sent_to_leaving, detail);
        }
    }

    fn judge_answer(&mut self, exchange: &Exchange, is_entry_struck: bool) {
        let Outcome::Answered { status, is_own, is_signed, is_complete, body } = &exchange.outcome
        else {
            return;
        };
        let expected = match exchange.kind {
            Kind::Safe | Kind::Unsafe => "done".to_owned(),
            Kind::Stream | Kind::Resumable => all_events(exchange.events),
        };
        let is_success = *status == 200;
        let is_wrong = is_success && *is_complete && *body != expected;
        let is_foreign = (is_success || *is_signed) && !*is_own;
        if is_wrong || is_foreign || !expected.starts_with(body.as_str()) && is_success {
            self.find(|broken| &mut broken.mixed, format!("wrong answer: {exchange:?}"));
        }
        if is_success && !is_complete && !is_entry_struck && !self.was_target_struck(exchange) {
            self.find(|broken| &mut broken.cut_off, format!("broken off: {exchange:?}"));
        }
        let is_exhausted = *status == 402 && exchange.workspace == 0;
        let is_denial = (400..500).contains(status) && !matches!(status, 408 | 421 | 429);
        if is_denial && !is_exhausted {
            self.find(|broken| &mut broken.denied, format!("denied: {exchange:?}"));
        }
    }

    fn was_target_struck(&self, exchange: &Exchange) -> bool {
        let runs = self.runs.get(&exchange.id).map_or(&[][..], Vec::as_slice);
        runs.iter().any(|run| {
            let struck = Struck::Target(run.target.number);
            self.fleet.record.was_struck(struck, exchange.begun, exchange.ended)
        })
    }

    fn judge_money(&mut self, exchanges: &[Exchange], workspace: usize) {
        let delivered: u64 = exchanges
            .iter()
            .filter(|exchange| exchange.workspace == workspace)
            .map(tokens_delivered)
            .sum();
        let name = WORKSPACES[workspace].0;
        let prepaid = self.fleet.prepaid(workspace);
        if delivered > prepaid {
            self.broken.overspent += delivered - prepaid;
            self.note(format!("{name} got {delivered} tokens of {prepaid}"));
        }
        let booked = self.fleet.booked(workspace);
        if booked < delivered || booked > prepaid {
            self.broken.unbilled += delivered.saturating_sub(booked).max(1);
            let detail = format!("{name} got {delivered} tokens, {booked} of {prepaid} are booked");
            self.note(detail);
        }
    }

    fn take_breach(&mut self, breach: Violation, detail: String) {
        let count: fn(&mut ViolationCounts) -> &mut u64 = match breach {
            Violation::Reverted => |broken| &mut broken.config_reverted,
            Violation::NotInForce => |broken| &mut broken.config_late,
            Violation::BadExit => |broken| &mut broken.bad_exits,
            Violation::NotRecovered => |broken| &mut broken.not_recovered,
            Violation::WronglyBilled => |broken| &mut broken.wrongly_billed,
        };
        self.find(count, detail);
    }
}

/// Tokens that a caller got: with the first event its prompt.
fn tokens_delivered(exchange: &Exchange) -> u64 {
    let is_stream = matches!(exchange.kind, Kind::Stream | Kind::Resumable);
    let Outcome::Answered { status: 200, body, .. } = &exchange.outcome else { return 0 };
    let events = body.matches("\n\n").count() as u64;
    if !is_stream || events == 0 {
        return 0;
    }
    exchange.input + events * TOKENS_PER_EVENT
}
