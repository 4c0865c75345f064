//! Checks the invariants of a run after its processes have ended, from what callers received,
//! what targets ran and what the ledger counts.

mod crashes;
mod limits;
mod notices;
mod stops;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rosemarymoor_platform_standins::fixtures::all_events;
use serde::Serialize;

use crate::crashes::DOWN_TIME;
use crate::fleet::{Fleet, WORKSPACES};
use crate::record::{Component, Exchange, Outcome, RequestKind, Violation};
use crate::target::{TOKENS_PER_EVENT, Target, without_versions};
use crate::{Plan, Report};

pub use stops::ACCEPT_TIME;

/// Time after a target starts to drain in which requests may still reach it.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// Longest time from a request's deadline until it has its answer.
const MAX_OVERDUE_TIME: Duration = Duration::from_secs(1);

/// Findings that a report describes; violations beyond them are only counted.
const MAX_FINDINGS: usize = 20;

/// Violations of each invariant; all are 0 in a run that passes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ViolationCounts {
    /// Tokens delivered beyond the prepaid ones, over all workspaces.
    pub overspent: u64,
    /// Tokens delivered that the ledger does not count, over all workspaces.
    ///
    /// A workspace whose ledger counts more than was prepaid adds 1.
    pub unbilled: u64,
    /// 1 if the requests of the fault-free part were not charged exactly once each.
    pub wrongly_billed: u64,
    /// Unsafe calls that ran more than once.
    pub ran_twice: u64,
    /// Unsafe calls that ran although the answer says that they did not.
    pub false_not_run: u64,
    /// Answers that belong to another request, or have a wrong body.
    #[serde(rename = "mixed")]
    pub wrong_answers: u64,
    /// Requests that a target received and that got no answer, though their entry had no fault.
    #[serde(rename = "lost")]
    pub unanswered: u64,
    /// Streams that hold events of two software versions, in one answer or after they were taken up.
    pub mixed_versions: u64,
    /// Successful answers that ended early, though neither entry nor target had a fault.
    pub cut_off: u64,
    /// Requests sent to a stopping entry that it took and did not answer, or refused though they ran.
    pub lost_in_stop: u64,
    /// Valid requests that were refused as invalid, with a 4xx status.
    pub denied: u64,
    /// Requests that ended more than 1 s after their deadline, though their entry had no fault.
    #[serde(rename = "held")]
    pub overdue: u64,
    /// Requests that reached a target more than 3 s after it started to drain, though no fault kept
    /// their entry from being notified.
    #[serde(rename = "sent_to_leaving")]
    pub sent_to_draining: u64,
    /// Requests that reached a target from an entry more than 2 s after the entry had passed on an
    /// answer in which the target said that it was leaving.
    pub sent_after_notice: u64,
    /// Times that more than two requests reached a target from an entry in a pause that it had
    /// asked that entry for.
    pub sent_in_pause: u64,
    /// Windows in which a target got more requests than its limit allows, over the entries that it
    /// had told.
    pub beyond_limit: u64,
    /// Requests with a part in their prompts that had crashed five targets, which reached targets from
    /// entries without a fault, if there are more than three; 1 if too many reached targets in all.
    pub bad_part_sent: u64,
    /// Times that an entry went back to an older configuration.
    pub config_reverted: u64,
    /// Configurations that an entry did not apply in time.
    pub config_late: u64,
    /// Processes that ended by themselves, or did not stop with exit code 0.
    pub bad_exits: u64,
    /// Entries and requests that failed although the faults were over.
    pub not_recovered: u64,
}

/// Delivery of a request to a target.
struct Run<'a> {
    target: &'a Target,
    at: Instant,
    /// Whether the target answered that the request did not run.
    was_rejected: bool,
}

/// Deliveries by id of the request.
type Runs<'a> = BTreeMap<String, Vec<Run<'a>>>;

/// Checks the invariants and collects their violations.
struct Verifier<'a> {
    fleet: &'a Fleet,
    runs: Runs<'a>,
    violations: ViolationCounts,
    findings: Vec<String>,
    bad_parts_reached: u64,
    sent_late: u64,
    sent_late_reached: u64,
}

/// Checks a run whose processes have ended, and returns its report.
pub fn verify(fleet: &Fleet, plan: &Plan, faults: u64) -> Report {
    let targets = fleet.targets();
    let runs = collect_runs(&targets);
    for target in &targets {
        for since in target.crashes_since() {
            let component = Component::Target(target.number);
            fleet.record.add_fault(component, since, since + DOWN_TIME * 2);
        }
    }
    let mut verifier = Verifier {
        fleet,
        runs,
        violations: ViolationCounts::default(),
        findings: Vec::new(),
        bad_parts_reached: 0,
        sent_late: 0,
        sent_late_reached: 0,
    };
    let exchanges = fleet.record.exchanges();
    verifier.verify_stops(&exchanges);
    for exchange in &exchanges {
        verifier.verify_exchange(exchange);
    }
    verifier.verify_versions(&exchanges);
    if plan.notices {
        verifier.verify_notices(&exchanges);
    }
    verifier.verify_limits(&exchanges);
    verifier.verify_crashes();
    for workspace in 0..WORKSPACES.len() {
        verifier.verify_billing(&exchanges, workspace);
    }
    for (violation, detail) in fleet.record.violations() {
        verifier.count_violation(violation, detail);
    }
    let is_answered =
        |exchange: &&Exchange| matches!(exchange.outcome, Outcome::Answered { status: 200, .. });
    let taken_up: Vec<&Exchange> =
        exchanges.iter().filter(|exchange| exchange.taken_up.is_some()).collect();
    Report {
        seed: plan.seed,
        processes: fleet.members().count(),
        faults,
        requests: exchanges.len() as u64,
        answered: exchanges.iter().filter(is_answered).count() as u64,
        taken_up: taken_up.len() as u64,
        went_on: taken_up.iter().filter(|exchange| is_answered(exchange)).count() as u64,
        sent_late: verifier.sent_late,
        sent_late_reached: verifier.sent_late_reached,
        bad_parts_reached: verifier.bad_parts_reached,
        violations: verifier.violations,
        findings: verifier.findings,
    }
}

fn collect_runs<'a>(targets: &'a [std::sync::Arc<Target>]) -> Runs<'a> {
    let mut runs = Runs::new();
    for target in targets {
        let not_run_ids = target.not_run_ids();
        for received in target.stand_in.received() {
            let id = received.attempt_id().to_owned();
            let was_rejected = not_run_ids.contains(&id);
            runs.entry(id).or_default().push(Run {
                target,
                at: received.received_at,
                was_rejected,
            });
        }
    }
    runs
}

impl Verifier<'_> {
    /// Counts a violation and describes it in the findings.
    fn add_violation(&mut self, count: fn(&mut ViolationCounts) -> &mut u64, detail: String) {
        *count(&mut self.violations) += 1;
        self.add_finding(detail);
    }

    fn add_finding(&mut self, detail: String) {
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(detail);
        }
    }

    /// Checks the duration, the deliveries and the answer of a request.
    fn verify_exchange(&mut self, exchange: &Exchange) {
        self.verify_runs(exchange);
        self.verify_draining(exchange);
        let took = exchange.ended_at.duration_since(exchange.started_at);
        let component = Component::Entry(exchange.entry);
        let record = &self.fleet.record;
        let was_entry_affected =
            record.was_affected(component, exchange.started_at, exchange.ended_at);
        if took > exchange.time_limit + MAX_OVERDUE_TIME && !was_entry_affected {
            self.add_violation(
                |counts| &mut counts.overdue,
                format!("answered only after {took:?}: {exchange:?}"),
            );
        }
        match &exchange.outcome {
            Outcome::Cancelled => {}
            Outcome::NoAnswer => {
                if !was_entry_affected && self.runs.contains_key(&exchange.id) {
                    self.add_violation(
                        |counts| &mut counts.unanswered,
                        format!("no answer: {exchange:?}"),
                    );
                }
            }
            Outcome::Answered { .. } => self.verify_answer(exchange, was_entry_affected),
        }
    }

    /// Checks that an unsafe call ran at most once, and not at all if the answer says so.
    fn verify_runs(&mut self, exchange: &Exchange) {
        if exchange.kind != RequestKind::Unsafe {
            return;
        }
        let runs = self.runs.get(&exchange.id).map_or(&[][..], Vec::as_slice);
        let count = runs.iter().filter(|run| !run.was_rejected).count();
        if count > 1 {
            self.add_violation(
                |counts| &mut counts.ran_twice,
                format!("ran {count} times: {exchange:?}"),
            );
        }
        let Outcome::Answered { status, signed, .. } = &exchange.outcome else { return };
        let claims_not_run = matches!(status, 408 | 421 | 429 | 503) && !signed;
        if claims_not_run && count > 0 {
            self.add_violation(
                |counts| &mut counts.false_not_run,
                format!("refused as not run, but it ran: {exchange:?}"),
            );
        }
    }

    /// Checks that the request reached no target that had been draining for longer than
    /// [`DRAIN_GRACE`], unless a fault kept the entry from being notified.
    fn verify_draining(&mut self, exchange: &Exchange) {
        let runs = self.runs.get(&exchange.id).map_or(&[][..], Vec::as_slice);
        let late = runs.iter().find(|run| {
            let Some(since) = run.target.draining_since() else { return false };
            let record = &self.fleet.record;
            run.at > since + DRAIN_GRACE
                && !record.was_affected(Component::ControlPlane, since, run.at)
                && !record.was_affected(Component::Entry(exchange.entry), since, run.at)
        });
        if let Some(run) = late {
            let detail = format!("{} was draining: {exchange:?}", run.target.id);
            self.add_violation(|counts| &mut counts.sent_to_draining, detail);
        }
    }

    /// Checks that the answer belongs to the request and is complete, and that no valid request
    /// is refused as invalid.
    fn verify_answer(&mut self, exchange: &Exchange, was_entry_affected: bool) {
        let Outcome::Answered { status, matches_request, signed, complete, body } =
            &exchange.outcome
        else {
            return;
        };
        let body = &without_versions(body).0;
        let begun = exchange.taken_up.as_ref().map_or(0, |taken_up| taken_up.last_event);
        let expected = match exchange.kind {
            RequestKind::Safe | RequestKind::Unsafe => "done".to_owned(),
            RequestKind::Stream | RequestKind::Resumable => {
                all_events(exchange.events).split_off(all_events(begun).len())
            }
        };
        let is_success = *status == 200;
        let is_wrong = is_success && *complete && *body != expected;
        let is_foreign = (is_success || *signed) && !*matches_request;
        if is_wrong || is_foreign || !expected.starts_with(body.as_str()) && is_success {
            self.add_violation(
                |counts| &mut counts.wrong_answers,
                format!("wrong answer: {exchange:?}"),
            );
        }
        let is_cut_off = is_success && !complete && !exchange.has_left;
        if is_cut_off && !was_entry_affected && !self.was_target_affected(exchange) {
            self.add_violation(
                |counts| &mut counts.cut_off,
                format!("answer ended early: {exchange:?}"),
            );
        }
        let is_exhausted = *status == 402 && exchange.workspace == 0;
        let is_denial = (400..500).contains(status) && !matches!(status, 408 | 421 | 429);
        if is_denial && !is_exhausted {
            self.add_violation(
                |counts| &mut counts.denied,
                format!("valid request refused: {exchange:?}"),
            );
        }
    }

    /// Checks that no stream holds events of two versions, in one answer or over its caller's
    /// requests.
    fn verify_versions(&mut self, exchanges: &[Exchange]) {
        let body_of = |exchange: &Exchange| match &exchange.outcome {
            Outcome::Answered { status: 200, body, .. } => body.clone(),
            _ => String::new(),
        };
        let bodies: BTreeMap<&str, String> =
            exchanges.iter().map(|exchange| (exchange.id.as_str(), body_of(exchange))).collect();
        for exchange in exchanges {
            let begun = exchange.taken_up.as_ref().and_then(|taken| bodies.get(&*taken.began_as));
            let body = begun.cloned().unwrap_or_default() + &bodies[exchange.id.as_str()];
            if without_versions(&body).1 > 1 {
                let detail = format!("events of two versions: {exchange:?} after {begun:?}");
                self.add_violation(|counts| &mut counts.mixed_versions, detail);
            }
        }
    }

    /// Returns whether a target of the request had a fault while the request was open.
    fn was_target_affected(&self, exchange: &Exchange) -> bool {
        let runs = self.runs.get(&exchange.id).map_or(&[][..], Vec::as_slice);
        runs.iter().any(|run| {
            let component = Component::Target(run.target.number);
            self.fleet.record.was_affected(component, exchange.started_at, exchange.ended_at)
        })
    }

    /// Checks that a workspace got at most what it prepaid, and that the ledger counts it.
    fn verify_billing(&mut self, exchanges: &[Exchange], workspace: usize) {
        let delivered: u64 = exchanges
            .iter()
            .filter(|exchange| exchange.workspace == workspace)
            .map(tokens_delivered)
            .sum();
        let name = WORKSPACES[workspace].0;
        let prepaid = self.fleet.prepaid(workspace);
        if delivered > prepaid {
            self.violations.overspent += delivered - prepaid;
            self.add_finding(format!("{name} got {delivered} tokens, {prepaid} are prepaid"));
        }
        let charged_or_granted = self.fleet.charged_or_granted(workspace);
        if charged_or_granted < delivered || charged_or_granted > prepaid {
            self.violations.unbilled += delivered.saturating_sub(charged_or_granted).max(1);
            let detail = format!(
                "{name} got {delivered} tokens, the ledger counts {charged_or_granted} of {prepaid}"
            );
            self.add_finding(detail);
        }
    }

    /// Counts a violation that was recorded during the run.
    fn count_violation(&mut self, violation: Violation, detail: String) {
        let count: fn(&mut ViolationCounts) -> &mut u64 = match violation {
            Violation::ConfigReverted => |counts| &mut counts.config_reverted,
            Violation::ConfigLate => |counts| &mut counts.config_late,
            Violation::BadExit => |counts| &mut counts.bad_exits,
            Violation::NotRecovered => |counts| &mut counts.not_recovered,
            Violation::WronglyBilled => |counts| &mut counts.wrongly_billed,
        };
        self.add_violation(count, detail);
    }
}

/// Returns the tokens that a caller got: the prompt with the first event, and
/// [`TOKENS_PER_EVENT`] for each event.
fn tokens_delivered(exchange: &Exchange) -> u64 {
    let is_stream = matches!(exchange.kind, RequestKind::Stream | RequestKind::Resumable);
    let Outcome::Answered { status: 200, body, .. } = &exchange.outcome else { return 0 };
    let events = body.matches("\n\n").count() as u64;
    if !is_stream || events == 0 {
        return 0;
    }
    exchange.prompt_tokens + events * TOKENS_PER_EVENT
}
