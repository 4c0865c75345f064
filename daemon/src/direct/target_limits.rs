//! Limits that targets name in their answers, and the permits that requests need because of them.

use rosemarymoor_lib::dispatch::known_limit::KnownLimit;
use rosemarymoor_lib::dispatch::send_permits::{LimitReport, PermitReply};
use rosemarymoor_lib::dispatch::target_limit::{LimitChange, SendDecision};
use rosemarymoor_lib::dispatch::targets::{Target, TargetKey};
use rosemarymoor_lib::time::Millis;

use super::entry::Entry;

/// Outcomes of a request for a permit, in logs and metrics, after which a request may be sent.
const GRANTED: &str = "granted";
const UNASSISTED: &str = "unassisted";

/// Returns whether a request may be sent to a target now; asks for a permit if that is needed.
pub async fn acquire(entry: &Entry, target: TargetKey) -> bool {
    let (process, limit) = {
        let mut table = entry.targets();
        let Some(target) = table.get_mut(target) else { return false };
        match target.limit.decide(entry.now()) {
            SendDecision::Send => return true,
            SendDecision::Wait => return false,
            SendDecision::Ask(limit) => (target.process(), limit),
        }
    };
    let reply = entry.permits.request(LimitReport { target: process, limit }).await;
    let entry_count = entry.peers.entry_count();
    let now = entry.now();
    let mut table = entry.targets();
    let Some(target) = table.get_mut(target) else { return false };
    let outcome = match reply {
        Some(reply) => apply_reply(target, &reply, now),
        None if target.limit.take_unassisted(entry_count, rand::random(), now) => UNASSISTED,
        None => "unanswered",
    };
    log::info!(
        "event=permit_asked target={} outcome={outcome} wait_ms={}",
        target.registration.id,
        target.limit.wait_ms(now)
    );
    entry.metrics.count_permit(outcome);
    matches!(outcome, GRANTED | UNASSISTED)
}

/// Applies an issuer's reply and takes a permit, if it brings one; returns the outcome's name.
fn apply_reply(target: &mut Target, reply: &PermitReply, now: Millis) -> &'static str {
    let change = target.limit.apply_reply(reply, now);
    log_change(&target.registration.id, change, "server");
    match target.limit.decide(now) {
        SendDecision::Send => GRANTED,
        SendDecision::Wait | SendDecision::Ask(_) => "denied",
    }
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
