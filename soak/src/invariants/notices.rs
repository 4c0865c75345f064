//! Checks that entries obey what targets say about themselves in their answers.

use std::time::{Duration, Instant};

use super::{Run, Verifier};
use crate::record::{Component, Exchange, Outcome};
use crate::target::PAUSE;

/// Time after an answer of a leaving target in which requests may still be sent to it.
const NOTICE_GRACE: Duration = Duration::from_secs(2);

/// Time from a rejection that asks for a pause until the pause binds.
const PAUSE_GRACE: Duration = Duration::from_millis(500);

/// Most requests from one entry that may reach a target in a pause.
const MAX_SENT_IN_PAUSE: usize = 2;

/// Delivery of a request from an entry to a target.
struct Delivery {
    entry: usize,
    target: usize,
    /// When the caller sent the request.
    sent_at: Instant,
    /// When it reached the target.
    at: Instant,
    was_rejected: bool,
    /// When the caller had the target's answer, if that said that the target was leaving.
    told_leaving_at: Option<Instant>,
}

/// Returns when an entry had passed on an answer of a run that said that its target was leaving.
fn told_leaving_at(exchange: &Exchange, run: &Run<'_>) -> Option<Instant> {
    let Outcome::Answered { status: 200, signed: true, complete: true, .. } = exchange.outcome
    else {
        return None;
    };
    let was_draining = run.target.draining_since().is_some_and(|since| since < run.at);
    (was_draining && !run.was_rejected).then_some(exchange.ended_at)
}

impl Verifier<'_> {
    /// Checks that entries obey what targets say in their answers, as far as no fault of the entry
    /// itself made it forget or cut it off.
    pub(super) fn verify_notices(&mut self, exchanges: &[Exchange]) {
        let mut deliveries = Vec::new();
        for exchange in exchanges {
            let runs = self.runs.get(&exchange.id).map_or(&[][..], Vec::as_slice);
            deliveries.extend(runs.iter().map(|run| Delivery {
                entry: exchange.entry,
                target: run.target.number,
                sent_at: exchange.started_at,
                at: run.at,
                was_rejected: run.was_rejected,
                // Of several runs only the last one's answer was passed on for certain.
                told_leaving_at: told_leaving_at(exchange, run).filter(|_| runs.len() == 1),
            }));
        }
        deliveries.sort_by_key(|delivery| (delivery.entry, delivery.target, delivery.at));
        for pair in deliveries.chunk_by(|a, b| (a.entry, a.target) == (b.entry, b.target)) {
            self.verify_pair(pair);
        }
    }

    /// Checks the deliveries from one entry to one target, in the order of their arrival.
    fn verify_pair(&mut self, pair: &[Delivery]) {
        let (entry, target) = (pair[0].entry, pair[0].target);
        let was_affected =
            |from, to| self.fleet.record.was_affected(Component::Entry(entry), from, to);
        let told_at = pair.iter().filter_map(|delivery| delivery.told_leaving_at).min();
        let late = told_at.map_or(0, |told_at| {
            let is_late = |delivery: &&Delivery| delivery.sent_at > told_at + NOTICE_GRACE;
            pair.iter().filter(is_late).filter(|late| !was_affected(told_at, late.at)).count()
        });
        let is_pause_broken = |rejected: &&Delivery| {
            let (from, to) = (rejected.at + PAUSE_GRACE, rejected.at + PAUSE);
            let sent = pair.iter().filter(|sent| sent.at > from && sent.at < to).count();
            sent > MAX_SENT_IN_PAUSE && !was_affected(rejected.at, to)
        };
        let rejected = pair.iter().filter(|delivery| delivery.was_rejected);
        let broken_pauses = rejected.filter(is_pause_broken).count();
        if late > 0 {
            self.violations.sent_after_notice += late as u64;
            self.add_finding(format!(
                "entry {entry} sent {late} requests to leaving target {target}"
            ));
        }
        if broken_pauses > 0 {
            self.violations.sent_in_pause += broken_pauses as u64;
            self.add_finding(format!(
                "entry {entry} broke {broken_pauses} pauses of target {target}"
            ));
        }
    }
}
