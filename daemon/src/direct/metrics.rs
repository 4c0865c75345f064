//! Counters and latency histograms of the roles for direct delivery.
//!
//! Labels have few values: the kind of a call, its route up to [`MAX_ROUTES`], an
//! outcome, a result code. Workspaces and targets are in the log, not here.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};
use rosemarymoor_lib::dispatch::catalog::{CallKind, Route};

use rosemarymoor_platform::store::{CallFailure, StoreAnswer, is_served};

use super::ceilings::Ceilings;
use super::entry::Entry;
use crate::health::{Metrics, MetricsError};
use crate::http_server::{self, ConnectionLimits, HttpServer};

/// Bounds of latency histograms, in milliseconds: around the objectives of calls
/// (150), first events (500 to 1,000) and whole streams.
const LATENCY_BUCKETS_MS: &[f64] =
    &[10.0, 30.0, 75.0, 150.0, 300.0, 500.0, 800.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0];

/// Bounds of waits for money, in milliseconds.
const RESERVATION_BUCKETS_MS: &[f64] = &[1.0, 3.0, 10.0, 30.0, 100.0, 300.0, 1_000.0];

/// Bounds of the store's answers, in milliseconds; a watch may wait for seconds.
const STORE_CALL_BUCKETS_MS: &[f64] = &[1.0, 3.0, 10.0, 30.0, 100.0, 300.0, 1_000.0, 3_000.0];

/// Routes that get a label of their own; further ones share one.
pub const MAX_ROUTES: usize = 100;

/// Label of the routes beyond [`MAX_ROUTES`].
const OTHER_ROUTES: &str = "other";

/// Time that a scraper's connection may stay idle.
const IDLE: Duration = Duration::from_secs(10);

/// Instruments of an entry.
pub struct DirectMetrics {
    requests: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    money_asked: Counter<u64>,
    tokens_charged: Counter<u64>,
    answer_ms: Histogram<f64>,
    first_event_ms: Histogram<f64>,
    money_ms: Histogram<f64>,
    /// Names of the routes that have a label, sorted.
    routes: Mutex<Vec<String>>,
}

impl DirectMetrics {
    /// Opens the instruments on a meter.
    pub fn open(meter: &Meter) -> DirectMetrics {
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let histogram = |name: &'static str, bounds: &[f64]| {
            meter.f64_histogram(name).with_boundaries(bounds.to_vec()).build()
        };
        DirectMetrics {
            requests: counter("requests"),
            refusals: counter("refusals"),
            attempts: counter("tries"),
            money_asked: counter("money_asked"),
            tokens_charged: counter("tokens_charged"),
            answer_ms: histogram("answer_ms", LATENCY_BUCKETS_MS),
            first_event_ms: histogram("first_event_ms", LATENCY_BUCKETS_MS),
            money_ms: histogram("money_ms", RESERVATION_BUCKETS_MS),
            routes: Mutex::new(Vec::new()),
        }
    }

    /// Counts the end of a request: `answered`, `failed`, `refused`, `broken` or `left`.
    pub fn count_request(&self, route: &Route, outcome: &'static str, took: Duration) {
        let kind = kind_label(route.kind);
        let route = KeyValue::new("route", self.route_label(&route.name));
        self.requests.add(1, &[kind.clone(), route, KeyValue::new("outcome", outcome)]);
        if outcome == "answered" {
            self.answer_ms.record(millis(took), &[kind]);
        }
    }

    fn route_label(&self, name: &str) -> String {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        match routes.binary_search_by(|known| known.as_str().cmp(name)) {
            Ok(_) => name.to_owned(),
            Err(at) if routes.len() < MAX_ROUTES => {
                routes.insert(at, name.to_owned());
                name.to_owned()
            }
            Err(_) => OTHER_ROUTES.to_owned(),
        }
    }

    /// Counts a refusal by its result code.
    pub fn count_refusal(&self, code: u16) {
        self.refusals.add(1, &[KeyValue::new("code", i64::from(code))]);
    }

    /// Counts a try at a target by its outcome.
    pub fn count_attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Notes the time to a stream's first event.
    pub fn record_first_event(&self, took: Duration) {
        self.first_event_ms.record(millis(took), &[]);
    }

    /// Notes an ask for money by its outcome.
    pub fn record_reservation(&self, outcome: &'static str, took: Duration) {
        self.money_asked.add(1, &[KeyValue::new("outcome", outcome)]);
        self.money_ms.record(millis(took), &[]);
    }

    /// Counts tokens charged to a request.
    pub fn count_charged_tokens(&self, tokens: u64) {
        self.tokens_charged.add(tokens, &[]);
    }
}

fn kind_label(kind: CallKind) -> KeyValue {
    let label = match kind {
        CallKind::Safe => "safe",
        CallKind::Unsafe => "unsafe",
        CallKind::Stream { resumable: true } => "resumable-stream",
        CallKind::Stream { resumable: false } => "stream",
    };
    KeyValue::new("kind", label)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Shows what an entry believes: configuration, targets, age of its news.
pub fn observe_entry(meter: &Meter, entry: &Arc<Entry>) {
    let gauge = |name: &'static str, read: fn(&Entry) -> u64| {
        let entry = Arc::downgrade(entry);
        meter
            .u64_observable_gauge(name)
            .with_callback(move |observer| {
                if let Some(entry) = entry.upgrade() {
                    observer.observe(read(&entry), &[]);
                }
            })
            .build();
    };
    gauge("catalog_version", |entry| {
        entry.catalog.load().as_ref().map_or(0, |catalog| catalog.version)
    });
    gauge("targets_listed", |entry| entry.targets().iter().count() as u64);
    gauge("entries_listed", |entry| entry.peers.entry_count());
    gauge("news_age_ms", Entry::update_age_ms);
    gauge("is_ready", |entry| u64::from(entry.is_ready()));
}

/// Shows the money that a holder has: granted, spent and reserved.
pub fn observe_ceilings(meter: &Meter, ceilings: &Ceilings) {
    let gauge = |name: &'static str, read: fn(&Ceilings) -> u64| {
        let ceilings = ceilings.clone();
        meter
            .u64_observable_gauge(name)
            .with_callback(move |observer| observer.observe(read(&ceilings), &[]))
            .build();
    };
    gauge("budgets_held", |held| held.budgets().len() as u64);
    gauge("tokens_granted", |held| held.budgets().iter().map(|held| held.ceiling).sum());
    gauge("tokens_spent", |held| held.budgets().iter().map(|held| held.used).sum());
    gauge("tokens_reserved", |held| held.budgets().iter().map(|held| held.reserved).sum());
    gauge("tokens_in_doubt", |held| held.budgets().iter().map(|held| held.in_doubt).sum());
}

/// Instruments of a process's calls to the platform's store.
#[derive(Clone)]
pub struct StoreMetrics {
    calls: Counter<u64>,
    call_ms: Histogram<f64>,
}

impl StoreMetrics {
    /// Opens the instruments on a meter.
    pub fn open(meter: &Meter) -> StoreMetrics {
        let call_ms =
            meter.f64_histogram("store_call_ms").with_boundaries(STORE_CALL_BUCKETS_MS.to_vec());
        StoreMetrics { calls: meter.u64_counter("store_calls").build(), call_ms: call_ms.build() }
    }

    /// Counts a call that went straight to the store.
    pub fn record_call(
        &self,
        operation: &'static str,
        answer: &Result<StoreAnswer, CallFailure>,
        took: Duration,
    ) {
        let outcome = match answer {
            Ok(answer) if is_served(answer.status) => "served",
            Ok(_) => "turned_away",
            Err(CallFailure::NotSent) => "not_sent",
            Err(CallFailure::NoAnswer) => "no_answer",
        };
        let operation = KeyValue::new("operation", operation);
        self.calls.add(1, &[operation.clone(), KeyValue::new("outcome", outcome)]);
        self.call_ms.record(millis(took), &[operation]);
    }
}

/// Opens the metrics of a process and serves them, if it has an address for them.
///
/// A scraper must not keep a process from serving: a failure is logged only.
pub fn open(address: Option<SocketAddr>) -> Result<Metrics, MetricsError> {
    let metrics = Metrics::start()?;
    let Some(address) = address else { return Ok(metrics) };
    match http_server::bind(address) {
        Ok(listener) => {
            let scraped = metrics.clone();
            HttpServer::spawn(
                listener,
                || ConnectionLimits::idle(IDLE),
                move |_| std::future::ready(scraped.scrape()),
            );
        }
        Err(err) => log::error!("event=metrics_unavailable address={address} reason={err}"),
    }
    Ok(metrics)
}
