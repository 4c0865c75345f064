//! News of targets' load in an entry's table, and what the entry has sent itself.

use super::super::targets::{Target, TargetTable};
use super::known::{Dated, SentWork};
use super::news::{LoadReply, PartsChange, TargetEndpoint, TargetNews};
use crate::time::Millis;

/// Returns what this entry has sent and what is not answered, for each target with any of it.
pub fn sent_work(table: &TargetTable) -> Vec<(TargetEndpoint, SentWork)> {
    let work = |target: &Target| {
        let sent = SentWork { requests: target.running, pending_tokens: target.pending_tokens };
        (endpoint(target), sent)
    };
    table.iter().map(work).filter(|(_, sent)| *sent != SentWork::default()).collect()
}

/// Applies a reply to the table; returns the targets whose parts have to be read whole.
///
/// `is_new_board` says that the board was not read before: what others have sent is not known then,
/// except for what the reply says. A complete reply also confirms what it does not mention.
pub fn apply(
    table: &mut TargetTable,
    reply: &LoadReply,
    is_new_board: bool,
    now: Millis,
) -> Vec<TargetEndpoint> {
    let mut targets: Vec<&mut Target> = table.iter_mut().collect();
    if is_new_board {
        targets.iter_mut().for_each(|target| target.known.others = None);
    }
    targets.sort_unstable_by_key(|target| endpoint(target));
    let mut gaps = Vec::new();
    for news in &reply.news {
        let address = news.target.address;
        let first = targets.partition_point(|target| target.registration.address < address);
        let at_address =
            targets[first..].iter_mut().take_while(|target| target.registration.address == address);
        for target in at_address {
            if !may_be(target, news.target) {
                record_other_process(target, news, now);
            } else if !apply_news(target, news, now) {
                gaps.push(news.target);
            }
        }
    }
    if reply.is_complete {
        for target in targets {
            let value = target.known.others.map_or_else(SentWork::default, |others| others.value);
            target.known.others = Some(Dated { value, at: now });
        }
    }
    gaps
}

/// Records that another process than the one that registered has reported at an address.
fn record_other_process(target: &mut Target, news: &TargetNews, now: Millis) {
    if let Some((_, age_ms)) = news.report {
        target.record_other_process(Millis(now.0.saturating_sub(u64::from(age_ms))));
    }
}

/// Applies news of one target; returns false if its parts have to be read whole.
fn apply_news(target: &mut Target, news: &TargetNews, now: Millis) -> bool {
    let at = |age_ms: u32| Millis(now.0.saturating_sub(u64::from(age_ms)));
    if endpoint(target) == news.target {
        target.known.others = Some(Dated { value: news.sent, at: now });
    }
    if let Some((value, age_ms)) = news.report {
        target.known.report = Some(Dated { value, at: at(age_ms) });
    }
    let Some((change, age_ms)) = &news.parts else { return true };
    apply_parts(target, change, at(*age_ms))
}

fn apply_parts(target: &mut Target, change: &PartsChange, at: Millis) -> bool {
    let mut parts = target.known.parts.take().map(|known| known.value);
    let is_known = change.apply(&mut parts);
    target.known.parts = parts.map(|value| Dated { value, at });
    is_known
}

fn endpoint(target: &Target) -> TargetEndpoint {
    let registration = &target.registration;
    TargetEndpoint { address: registration.address, started_ms: registration.started_ms }
}

/// Returns whether news from an address may concern a target that is registered there; either may
/// not say when it started.
fn may_be(target: &Target, endpoint: TargetEndpoint) -> bool {
    let started_ms = target.registration.started_ms;
    started_ms == endpoint.started_ms || started_ms == 0 || endpoint.started_ms == 0
}
