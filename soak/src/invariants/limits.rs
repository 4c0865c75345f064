//! Checks that targets get no more requests than the limits that they name, over all entries.

use rosemarymoor_platform_standins::limits::{Delivery, excesses};

use super::{Run, Verifier};
use crate::record::{Component, Exchange, Outcome};

/// Returns the delivery of an exchange to a target.
fn delivery(exchange: &Exchange, run: &Run<'_>, is_only: bool) -> Delivery {
    let is_signed = matches!(exchange.outcome, Outcome::Answered { signed: true, .. });
    // Of several runs only the last one's answer was passed on for certain.
    let is_told = is_signed && is_only && run.target.is_limited_at(run.at);
    let told_at = is_told.then_some(exchange.ended_at);
    Delivery { entry: exchange.entry, at: run.at, told_at }
}

impl Verifier<'_> {
    /// Checks the sums over all entries; one that had a fault since it was told is not counted.
    pub(super) fn verify_limits(&mut self, exchanges: &[Exchange]) {
        for target in self.fleet.targets() {
            let history = target.limits();
            if history.is_empty() {
                continue;
            }
            let mut deliveries = Vec::new();
            for exchange in exchanges {
                let runs = self.runs.get(&exchange.id).map_or(&[][..], Vec::as_slice);
                let own = runs.iter().filter(|run| run.target.number == target.number);
                deliveries.extend(own.map(|run| delivery(exchange, run, runs.len() == 1)));
            }
            let record = &self.fleet.record;
            let excesses = excesses(&deliveries, &history, |entry, from, to| {
                record.was_affected(Component::Entry(entry), from, to)
            });
            if let Some(first) = excesses.first() {
                self.violations.beyond_limit += excesses.len() as u64;
                self.add_finding(format!("{} got more than its limit: {first:?}", target.id));
            }
        }
    }
}
