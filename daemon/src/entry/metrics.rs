//! Metrics of an entry: answers, refusals, charges and retries of its requests.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};
use rosemarymoor_lib::result_code::ResultCode;

/// Instruments of an entry.
pub struct EntryMetrics {
    answered: Counter<u64>,
    refused: Counter<u64>,
    charged: Counter<u64>,
    dropped_frames: Counter<u64>,
    retries: Counter<u64>,
    resumed: Counter<u64>,
    joined: Counter<u64>,
    duration: Histogram<f64>,
}

impl EntryMetrics {
    /// Creates the instruments on a meter.
    pub fn open(meter: &Meter) -> EntryMetrics {
        let counter = |name: &'static str| meter.u64_counter(name).build();
        EntryMetrics {
            answered: counter("requests_answered"),
            refused: counter("requests_refused"),
            charged: counter("tokens_charged"),
            dropped_frames: counter("frames_dropped"),
            retries: counter("deliveries_retried"),
            resumed: counter("streams_resumed"),
            joined: counter("retries_joined"),
            duration: meter.f64_histogram("request_seconds").build(),
        }
    }

    /// Counts a complete answer and records its duration.
    pub fn record_answer(&self, route: &str, elapsed: Duration) {
        let route = [KeyValue::new("route", route.to_owned())];
        self.answered.add(1, &route);
        self.duration.record(elapsed.as_secs_f64(), &route);
    }

    /// Counts tokens charged for a request.
    pub fn count_charged_tokens(&self, route: &str, charge: u64) {
        self.charged.add(charge, &[KeyValue::new("route", route.to_owned())]);
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, code: ResultCode) {
        self.refused.add(1, &[KeyValue::new("code", i64::from(code.number()))]);
    }

    /// Counts a frame that was dropped because it belongs to another request or attempt.
    pub fn count_dropped_frame(&self) {
        self.dropped_frames.add(1, &[]);
    }

    /// Counts a further attempt of a request.
    pub fn count_retry(&self, route: &str) {
        self.retries.add(1, &[KeyValue::new("route", route.to_owned())]);
    }

    /// Counts an answer that was resumed after its stream broke.
    pub fn count_resume(&self) {
        self.resumed.add(1, &[]);
    }

    /// Counts a request that joined an earlier delivery of the same identity.
    pub fn count_join(&self) {
        self.joined.add(1, &[]);
    }
}
