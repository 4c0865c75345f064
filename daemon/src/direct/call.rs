//! Request that an entry has admitted.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use rosemarymoor_lib::dispatch::catalog::Route;
use rosemarymoor_lib::dispatch::crash::suspect::Suspect;
use rosemarymoor_lib::dispatch::crash::tracker::Completion;
use rosemarymoor_lib::dispatch::criteria::SelectionCriteria;
use rosemarymoor_lib::dispatch::order::shed_order;
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::dispatch::stream_origins::StreamOrigin;
use rosemarymoor_lib::result_code::FAILURE_LOG;
use rosemarymoor_platform::request::CallerHead;

use super::entry::Entry;
use super::load_monitor::LoadGuard;
use super::reservation::{Covered, Reservation};
use crate::http_pool::BodyEnd;

/// Admitted request; if it is dropped before its end is recorded, its caller has left.
pub struct Call {
    pub head: CallerHead,
    pub method: Method,
    /// Path and query as the caller sent them.
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// What of it may crash targets, sorted.
    pub suspects: Vec<Suspect>,
    pub route: Route,
    pub service: String,
    /// Data centres that may serve the request, sorted; `None` if any may.
    pub allowed_data_centers: Option<Vec<String>>,
    /// What began the stream; `None` before its first event, and if that is not known.
    pub origin: Option<StreamOrigin>,
    /// Name of the workspace; `None` for a request to a public route without a known key.
    pub workspace: Option<String>,
    /// Rank by the configuration's priorities, 0 is the highest; `None` if it names none.
    pub rank: Option<u8>,
    /// Whether it yields to requests that can still be in time.
    pub yields: bool,
    pub catalog_version: u64,
    pub arrived_at: Instant,
    /// Time by which the answer has to end, by the caller's or the route's limit.
    pub deadline: Instant,
    /// Reservation for the request; dropping it settles the tokens used.
    pub reservation: Option<Reservation>,
    /// Upper bound of the tokens in one event of the answer.
    pub tokens_per_event: u64,
    /// Whether it may have been sent to a target.
    pub sent: Arc<AtomicBool>,
    /// Whether the end has been counted.
    pub(super) ended: bool,
    pub(super) _load: LoadGuard,
    pub(super) entry: Arc<Entry>,
}

impl Call {
    /// Counts the end of the request and the tokens charged; only the first call counts.
    pub fn record_end(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        if outcome == "answered" {
            let took_ms = self.arrived_at.elapsed().as_millis() as u64;
            self.entry.answer_times().record(&self.route.name, took_ms, self.entry.now());
        }
        let metrics = &self.entry.metrics;
        metrics.count_request(&self.route, outcome, self.arrived_at.elapsed());
        metrics.count_charged_tokens(
            self.reservation.as_ref().map_or(0, |reservation| reservation.used),
        );
    }

    /// Records that a target has completed the request, so that nothing in it crashes targets; `target`
    /// is its process.
    pub fn record_sound(&self, target: &str, body_end: BodyEnd) {
        let completion = Completion {
            target: target.to_owned(),
            suspects: self.suspects.clone(),
            is_certain: body_end != BodyEnd::Connection,
            ended_ago_ms: Some(0),
        };
        self.entry.poison.record_sound(&self.service, completion);
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the work of the request in tokens of the prompt.
    pub fn work(&self) -> u64 {
        work_of(&self.head)
    }

    /// Returns what its target is selected by; with `without_asking` targets are left out for which
    /// a permit would have to be asked for.
    pub fn selection_criteria(&self, without_asking: bool) -> SelectionCriteria<'_> {
        SelectionCriteria {
            service: &self.service,
            software: self.origin.as_ref().map(|origin| origin.software.as_str()),
            allowed_data_centers: self.allowed_data_centers.as_deref(),
            data_center: &self.entry.data_center,
            prompt: &self.head.prompt,
            tokens: self.head.tokens.map_or(0, |tokens| tokens.total()),
            random: rank::key_of(&self.head.attempt_id),
            without_asking,
            entry_count: self.entry.peers.entry_count(),
        }
    }

    /// Charges one event that is forwarded to the caller; the first one includes the prompt.
    ///
    /// A caller that receives no event is charged nothing.
    pub fn charge_event(&mut self) {
        let used = self.used_with_next_event();
        if let Some(reservation) = &mut self.reservation {
            reservation.used = used;
        }
    }

    /// Waits until the next event may be forwarded to the caller: until it is covered by what is drawn
    /// of the reservation. Returns false if it is not covered before the deadline.
    pub async fn cover_event(&mut self) -> bool {
        let used = self.used_with_next_event();
        let Some(reservation) = &mut self.reservation else { return true };
        let covered = reservation.cover(used, self.deadline).await;
        match covered {
            Some(Covered::Drawn) => {}
            Some(Covered::DrawnLate) => self.entry.metrics.count_late_draw("drawn"),
            Some(Covered::ReservedAnew) => self.entry.metrics.count_late_draw("reserved_anew"),
            None => {
                self.entry.metrics.count_late_draw("denied");
                log::info!(
                    target: FAILURE_LOG,
                    "event=event_not_covered request={} used={used}",
                    self.head.attempt_id
                );
            }
        }
        covered.is_some()
    }

    /// Returns the tokens used once the next event is forwarded.
    fn used_with_next_event(&self) -> u64 {
        let (Some(reservation), Some(tokens)) = (&self.reservation, self.head.tokens) else {
            return 0;
        };
        let used = reservation.used.max(tokens.input).saturating_add(self.tokens_per_event);
        used.min(tokens.total())
    }
}

/// Returns the work of a request in tokens of the prompt; 0 without a token bound.
pub fn work_of(head: &CallerHead) -> u64 {
    let Some(tokens) = head.tokens else { return 0 };
    shed_order::work(tokens.input, tokens.output, head.length_hint)
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.ended {
            let (event, outcome) = match self.entry.stop.is_cutting() {
                true => ("event=cut_by_stop", "cut"),
                false => ("event=caller_left", "left"),
            };
            log::info!(
                "{event} request={} route={} after_ms={} left_ms={} arrived_after_stop_ms={:?}",
                self.head.attempt_id,
                self.route.name,
                self.arrived_at.elapsed().as_millis(),
                self.time_left().as_millis(),
                self.entry.stop.age_at(self.arrived_at).map(|age| age.as_millis())
            );
            self.record_end(outcome);
        }
    }
}
