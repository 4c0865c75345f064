//! Awaits the beginning of an answer for as long as [`rerun`] lets its request stay.

use std::future::Future;
use std::pin::pin;
use std::time::{Duration, Instant};

use rosemarymoor_lib::dispatch::choice;
use rosemarymoor_lib::dispatch::rerun::{self, Reason, Unanswered, Verdict};
use rosemarymoor_lib::dispatch::targets::{Observation, TargetKey};

use super::attempt::AttemptError;
use super::attempts::{Attempts, elsewhere};
use super::call::Call;
use super::entry::Entry;

/// Request that was just sent to a target.
pub struct Wait {
    target: TargetKey,
    sent_at: Instant,
    predicted_ms: Option<f64>,
}

impl Wait {
    /// Notes what is predicted for a request that is about to be sent.
    pub fn open(entry: &Entry, call: &Call, target: TargetKey) -> Wait {
        let criteria = call.selection_criteria(false);
        let cost = choice::cost_at(&entry.targets(), target, criteria, entry.now());
        let predicted_ms = cost.map(|cost| cost.first_event_ms());
        Wait { target, sent_at: Instant::now(), predicted_ms }
    }

    /// Awaits a part of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptError::Silent`] if the request is to go to another target.
    pub async fn until_answered<T>(
        &self,
        entry: &Entry,
        call: &Call,
        attempts: &Attempts,
        answer: impl Future<Output = Result<T, AttemptError>>,
    ) -> Result<T, AttemptError> {
        let mut answer = pin!(answer);
        let mut check_ms = rerun::first_check_ms(call.route.latency_objective.as_millis() as u64)
            .saturating_sub(self.sent_at.elapsed().as_millis() as u64);
        loop {
            let pause = Duration::from_millis(check_ms);
            if let Ok(answer) = tokio::time::timeout(pause, answer.as_mut()).await {
                return answer;
            }
            match rerun::decide(&self.unanswered(entry, call, attempts)) {
                Verdict::Stay { recheck_ms } => check_ms = recheck_ms,
                Verdict::Leave(reason) => {
                    self.record_leave(entry, call, reason);
                    return Err(AttemptError::Silent);
                }
            }
        }
    }

    fn unanswered(&self, entry: &Entry, call: &Call, attempts: &Attempts) -> Unanswered {
        let now = entry.now();
        let heard = entry.heard().get(self.target);
        let heard_ms_ago = heard.map(|heard| now.since(heard.at));
        let reported_ms_ago = reported_ms_ago(entry, self.target);
        let other = elsewhere(entry, call, attempts);
        Unanswered {
            waited_ms: self.sent_at.elapsed().as_millis() as u64,
            age_ms: call.arrived_at.elapsed().as_millis() as u64,
            objective_ms: call.route.latency_objective.as_millis() as u64,
            heard_ms_ago: heard_ms_ago.into_iter().chain(reported_ms_ago).min(),
            begun_streams: heard.map_or(0, |heard| heard.begun_streams),
            predicted_ms: self.predicted_ms,
            elsewhere_ms: other.map(|other| other.first_event_ms),
        }
    }

    fn record_leave(&self, entry: &Entry, call: &Call, reason: Reason) {
        if reason.is_failure() {
            entry.targets().observe(self.target, Observation::Failed, entry.now());
        }
        entry.metrics.count_rerun(reason.label());
        log::info!(
            "event=rerun request={} reason={} waited_ms={} predicted_ms={:.0}",
            call.head.attempt_id,
            reason.label(),
            self.sent_at.elapsed().as_millis(),
            self.predicted_ms.unwrap_or_default()
        );
    }
}

/// Returns the time since a target reported that it runs requests, in milliseconds.
fn reported_ms_ago(entry: &Entry, target: TargetKey) -> Option<u64> {
    let now = entry.now();
    let table = entry.targets();
    let report = table.get(target)?.known.report?;
    (report.value.running > 0).then(|| now.since(report.at))
}
