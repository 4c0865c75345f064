//! Attempts of one request: which target is next, and what the failed ones mean.
//!
//! A request that may have run is sent to another target only if its route is idempotent.

use std::net::SocketAddr;
use std::time::Duration;

use rosemarymoor_lib::dispatch::cache_belief;
use rosemarymoor_lib::dispatch::choice::{self, Choice};
use rosemarymoor_lib::dispatch::placement_cost;
use rosemarymoor_lib::dispatch::targets::{Target, TargetKey};
use rosemarymoor_lib::http_client::ConnectionReuse;
use rosemarymoor_lib::result_code::FAILURE_LOG;

use super::attempt::AttemptError;
use super::call::Call;
use super::entry::Entry;
use super::target_limits;
use super::trials::{self, Candidate, SentAttempt, TrialDenied};

/// Largest number of attempts that certainly did not run after which one more is made.
const MAX_NOT_RUN_ATTEMPTS: u32 = 4;

/// Number of targets for which a request asks in vain for a permit before it goes to one that needs
/// none.
const PERMIT_REQUESTS_BEFORE_OTHERS: usize = 2;

/// Largest number of targets with a limit for which a request asks for a permit, one after the other.
const MAX_PERMIT_REQUESTS: usize = 8;

/// Remaining time below which no further attempt is made.
pub const MIN_TIME_LEFT: Duration = Duration::from_millis(15);

/// Attempts made for one request.
#[derive(Default)]
pub struct Attempts {
    /// Targets of all attempts, the latest one last.
    pub targets: Vec<TargetKey>,
    /// Their addresses; a target that was listed anew is another one with the same address.
    addresses: Vec<SocketAddr>,
    /// Number of attempts that ran or may have run.
    pub may_have_run: u32,
    /// Number of attempts that certainly did not run.
    pub not_run: u32,
    /// Error of the latest attempt; `None` if there was no attempt or the target answered with
    /// a failure.
    pub last_error: Option<AttemptError>,
    /// Latest attempt.
    pub latest: Option<SentAttempt>,
    /// Why the request may not be sent because of what may crash targets.
    pub denied: Option<TrialDenied>,
}

impl Attempts {
    /// Records a failed attempt; [`AttemptError::Broken`] also counts as a crash of its target.
    pub fn record_failure(&mut self, entry: &Entry, call: &Call, err: AttemptError) {
        self.last_error = Some(err);
        if err.did_not_run() {
            self.not_run += 1;
        } else {
            self.may_have_run += 1;
        }
        if let (AttemptError::Broken, Some(latest)) = (err, &mut self.latest) {
            trials::record_crash(entry, call, latest);
        }
    }

    /// Returns whether the latest attempt may go over a connection that is kept.
    ///
    /// At an address where the request has been before, the earlier answer may come once more, and
    /// both bear the id of the request.
    pub fn connection_reuse(&self) -> ConnectionReuse {
        match self.addresses.split_last() {
            Some((latest, earlier)) if earlier.contains(latest) => ConnectionReuse::Never,
            _ => ConnectionReuse::Pooled,
        }
    }

    /// Adds an attempt at a target.
    fn push(&mut self, entry: &Entry, key: TargetKey) {
        let address = entry.targets().get(key).map(|target| target.registration.address);
        self.targets.push(key);
        self.addresses.extend(address);
    }

    /// Returns whether the request may be sent to one more target.
    pub fn may_retry(&self, call: &Call) -> bool {
        if call.time_left() < MIN_TIME_LEFT || self.not_run > MAX_NOT_RUN_ATTEMPTS {
            return false;
        }
        if self.may_have_run == 0 {
            return true;
        }
        call.route.kind.is_idempotent() && self.may_have_run < call.route.max_attempts
    }
}

/// Chooses the target of the next attempt and adds it to `attempts`.
///
/// Returns `None` if no further attempt is allowed or no target is left.
pub async fn next_target(entry: &Entry, call: &Call, attempts: &mut Attempts) -> Option<TargetKey> {
    let is_retry = !attempts.targets.is_empty();
    if is_retry && !attempts.may_retry(call) {
        return None;
    }
    let mut excluded = attempts.targets.clone();
    if is_retry && choose(entry, call, &excluded, false).is_some() && !try_retry(entry, call) {
        return None;
    }
    let mut sent_away_from = None;
    for asked in 0..MAX_PERMIT_REQUESTS {
        if call.time_left() < MIN_TIME_LEFT {
            return None;
        }
        let without_asking = asked >= PERMIT_REQUESTS_BEFORE_OTHERS;
        let other = choose(entry, call, &excluded, without_asking)
            .or_else(|| choose(entry, call, &excluded, false));
        let chosen = other.or(sent_away_from.filter(|choice| is_open(entry, choice)))?;
        let key = chosen.key;
        if !target_limits::acquire(entry, key).await {
            continue;
        }
        let candidate = Candidate { target: key, is_last: other.is_none() };
        match trials::acquire(entry, call, candidate, attempts.latest.as_ref()).await {
            // It may have left or been evacuated while the request waited.
            Ok(Some(_)) if !may_receive(entry, key) => excluded.push(key),
            Ok(Some(latest)) => {
                attempts.latest = Some(latest);
                attempts.push(entry, key);
                log_placement(entry, call, &chosen, attempts.targets.len());
                return Some(key);
            }
            Ok(None) if candidate.is_last => return None,
            Ok(None) => {
                excluded.push(key);
                sent_away_from = sent_away_from.or(Some(chosen));
            }
            Err(denied) => {
                attempts.denied = Some(denied);
                return None;
            }
        }
    }
    None
}

/// Returns whether a target that was chosen before still takes new requests.
fn is_open(entry: &Entry, choice: &Choice) -> bool {
    let closed_for_ms = |target: &Target| target.closed_for_ms(entry.now());
    let is_closed = entry.targets().get(choice.key).is_none_or(|target| closed_for_ms(target) > 0);
    !is_closed && may_receive(entry, choice.key)
}

/// Returns whether a target is still listed and gets new requests.
fn may_receive(entry: &Entry, target: TargetKey) -> bool {
    let table = entry.targets();
    table.get(target).is_some_and(|target| table.may_receive(target))
}

/// Returns the target to which a request that is not answered would go next, if it may go there
/// without asking for a permit, which might be denied.
pub fn elsewhere(entry: &Entry, call: &Call, attempts: &Attempts) -> Option<Choice> {
    let is_last = attempts.may_have_run + 1 >= call.route.max_attempts;
    if !call.route.kind.is_idempotent() || is_last || call.time_left() < MIN_TIME_LEFT {
        return None;
    }
    let entry_count = entry.peers.entry_count();
    if !entry.retries().allows_retry(&call.service, entry_count, entry.now()) {
        return None;
    }
    choose(entry, call, &attempts.targets, true)
}

/// Returns the target to which the next attempt would go, if any takes a request now.
pub fn best_target(entry: &Entry, call: &Call, attempts: &Attempts) -> Option<Choice> {
    choose(entry, call, &attempts.targets, false)
}

/// Records a retry if the retry budget allows it.
fn try_retry(entry: &Entry, call: &Call) -> bool {
    let entry_count = entry.peers.entry_count();
    let is_allowed = entry.retries().try_retry(&call.service, entry_count, entry.now());
    if !is_allowed {
        log::info!("event=retry_denied request={} reason=retry_budget", call.head.attempt_id);
    }
    is_allowed
}

/// Returns the target of the lowest cost for the next attempt, if any takes a request now.
fn choose(
    entry: &Entry,
    call: &Call,
    excluded: &[TargetKey],
    without_asking: bool,
) -> Option<Choice> {
    let now = entry.now();
    let criteria = call.selection_criteria(without_asking);
    let mut table = entry.targets();
    table.expire(now);
    choice::choose(&table, criteria, excluded, now)
}

fn log_placement(entry: &Entry, call: &Call, chosen: &Choice, attempt: usize) {
    let table = entry.targets();
    let Some(target) = table.get(chosen.key) else { return };
    let now = entry.now();
    let cost = &chosen.cost;
    log::info!(
        "event=placed request={} try={attempt} target={} software={} data_center={} running={} pending_tokens={} \
         failures={:.2} delay_ms={:.0} wait_ms={:.0} prefill_tokens={} prefill_ms={:.0} running_ms={:.0} \
         penalty_ms={:.0} first_event_ms={:.0} load_news={} parts_news={} news_age_ms={}",
        call.head.attempt_id,
        target.registration.id,
        target.registration.software.as_deref().unwrap_or("unnamed"),
        target.registration.data_center,
        target.running,
        target.pending_tokens,
        target.failure_rate(now),
        cost.delay_ms,
        cost.wait_ms,
        cost.prefill_tokens,
        cost.prefill_ms,
        cost.running_ms,
        cost.penalty_ms,
        chosen.first_event_ms,
        placement_cost::work_of_others(target, now).is_some(),
        cache_belief::knows_cached_parts(target, now),
        entry.update_age_ms()
    );
}

/// Counts and logs a failed attempt.
pub fn record_failure(
    entry: &Entry,
    call: &Call,
    attempts: &mut Attempts,
    target: TargetKey,
    err: AttemptError,
) {
    entry.metrics.count_attempt(err.label());
    attempts.record_failure(entry, call, err);
    let target = entry.targets().get(target).map(|target| target.registration.id.clone());
    log::info!(
        target: FAILURE_LOG,
        "event=try_failed request={} target={} outcome={} tries={} left_ms={}",
        call.head.attempt_id,
        target.as_deref().unwrap_or("gone"),
        err.label(),
        attempts.targets.len(),
        call.time_left().as_millis()
    );
}
