//! Limits that targets name in their answers, and the permits that requests need because of them.

use rosemarymoor_lib::dispatch::send_permits::LimitReport;
use rosemarymoor_lib::dispatch::target_limit::{KnownLimit, LimitChange, SendDecision};
use rosemarymoor_lib::dispatch::targets::TargetKey;
use rosemarymoor_lib::time::Millis;

use super::entry::Entry;

/// Returns whether a request may be sent to a target now; asks for a permit if that is needed.
pub async fn acquire(entry: &Entry, target: TargetKey) -> bool {
    let (process, known) = {
        let mut table = entry.targets();
        let Some(target) = table.get_mut(target) else { return false };
        match target.limit.decide(entry.now()) {
            SendDecision::Send => return true,
            SendDecision::Wait => return false,
            SendDecision::Ask(known) => (target.process(), known),
        }
    };
    let reply = entry.permits.request(LimitReport { target: process, limit: known }).await;
    let now = entry.now();
    let entry_count = entry.peers.entry_count();
    let mut table = entry.targets();
    let Some(target) = table.get_mut(target) else { return false };
    let (outcome, is_sent) = match reply {
        Some(reply) => {
            let change = target.limit.apply_reply(&reply, now);
            log_change(&target.registration.id, change, "server");
            match target.limit.decide(now) {
                SendDecision::Send => ("granted", true),
                _ => ("denied", false),
            }
        }
        None => match target.limit.take_unassisted(entry_count, rand::random(), now) {
            true => ("unassisted", true),
            false => ("unanswered", false),
        },
    };
    log::info!(
        "event=permit_asked target={} outcome={outcome} wait_ms={}",
        target.registration.id,
        target.limit.wait_ms(now)
    );
    entry.metrics.count_permit(outcome);
    is_sent
}

/// Applies what an answer of a target says of its limit, and reports a change.
pub fn apply_limit(entry: &Entry, target: TargetKey, limit: Option<f64>, sent_at: Millis) {
    let now = entry.now();
    let mut table = entry.targets();
    let Some(target) = table.get_mut(target) else { return };
    let change = target.limit.apply(limit, sent_at, now);
    let kind = match change {
        LimitChange::Unchanged => return,
        LimitChange::Limited(_) => "limit",
        LimitChange::Ended => "limit_ended",
    };
    entry.metrics.count_target_notice(kind);
    log_change(&target.registration.id, change, "answer");
    let report = LimitReport { target: target.process(), limit: KnownLimit::new(limit, now, now) };
    entry.permits.report(report);
}

/// Logs a change of a target's limit, and who told it.
fn log_change(target: &str, change: LimitChange, reason: &str) {
    match change {
        LimitChange::Unchanged => {}
        LimitChange::Limited(per_second) => {
            log::info!(
                "event=target_limited target={target} per_second={per_second} reason={reason}"
            );
        }
        LimitChange::Ended => log::info!("event=target_unlimited target={target} reason={reason}"),
    }
}
