//! Checks what becomes of requests to an entry that stops.

use std::time::Duration;

use super::Verifier;
use crate::record::{EntryStop, Exchange, Outcome, RequestKind};

/// Time after SIGTERM in which callers may send requests; later ones have to be answered or refused.
pub const ACCEPT_TIME: Duration = Duration::from_secs(3);

/// Longest time from the last byte of a request to the end of its connection, if it was not taken.
const CLOSE_TIME: Duration = Duration::from_millis(200);

impl Verifier<'_> {
    /// Checks the requests sent while their entry stopped: calls, and what was sent late.
    ///
    /// A stream that was sent earlier may be cut at the end.
    pub(super) fn verify_stops(&mut self, exchanges: &[Exchange]) {
        let stops = self.fleet.record.stops();
        for exchange in exchanges {
            let Some(stop) = stops.iter().find(|stop| is_during(exchange, stop)) else { continue };
            let is_late = exchange.started_at > stop.signalled_at + ACCEPT_TIME;
            if is_late {
                self.sent_late += 1;
                self.sent_late_reached += u64::from(self.has_run(exchange));
            }
            let is_call = matches!(exchange.kind, RequestKind::Safe | RequestKind::Unsafe);
            if (is_late || is_call) && self.is_lost(exchange) {
                let sent_after = exchange.started_at.duration_since(stop.signalled_at);
                let ended_after = exchange.ended_at.duration_since(stop.signalled_at);
                self.add_violation(
                    |counts| &mut counts.lost_in_stop,
                    format!(
                        "sent {sent_after:?} after SIGTERM, ended {ended_after:?} after it: {exchange:?}"
                    ),
                );
            }
        }
    }

    /// Returns whether a request has neither a complete answer nor a true refusal, nor was closed unread.
    fn is_lost(&self, exchange: &Exchange) -> bool {
        let is_idempotent = matches!(exchange.kind, RequestKind::Safe | RequestKind::Resumable);
        match &exchange.outcome {
            Outcome::Cancelled => false,
            Outcome::NoAnswer => {
                self.has_run(exchange) || exchange.ended_at > exchange.sent_at + CLOSE_TIME
            }
            Outcome::Answered { complete: false, .. } => {
                !exchange.has_left && !self.was_target_affected(exchange)
            }
            Outcome::Answered { status, signed, .. } => {
                let says_not_run = matches!(status, 408 | 421 | 429 | 503) && !signed;
                says_not_run && !is_idempotent && self.has_run(exchange)
            }
        }
    }

    /// Returns whether a target took a request.
    fn has_run(&self, exchange: &Exchange) -> bool {
        let runs = self.runs.get(&exchange.id).map_or(&[][..], Vec::as_slice);
        runs.iter().any(|run| !run.was_rejected)
    }
}

/// Returns whether a request was sent while its entry stopped.
fn is_during(exchange: &Exchange, stop: &EntryStop) -> bool {
    exchange.entry == stop.entry
        && (stop.signalled_at..stop.ended_at).contains(&exchange.started_at)
}
