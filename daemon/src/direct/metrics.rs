//! Metrics of the processes for direct delivery.
//!
//! Labels have few values: the kind of a call, an outcome, a result code, and at most
//! [`MAX_ROUTES`] routes. Workspaces and targets appear in the log, not in metrics.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};
use rosemarymoor_lib::dispatch::catalog::{CallKind, Route};
use rosemarymoor_lib::dispatch::load::board::LoadBoard;
use rosemarymoor_platform::store::{CallError, StoreAnswer, is_served};

use super::ceilings::Ceilings;
use super::load_server::LoadServer;
use crate::health::{Metrics, MetricsError};
use crate::http_server::{self, ConnectionLimits, HttpServer};

/// Bucket bounds of request latencies in milliseconds, around the objectives of calls (150),
/// first events (500 to 1,000) and complete streams.
const LATENCY_BUCKETS_MS: &[f64] =
    &[10.0, 30.0, 75.0, 150.0, 300.0, 500.0, 800.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0];

/// Bucket bounds of waits for reservations, in milliseconds.
const RESERVATION_BUCKETS_MS: &[f64] = &[1.0, 3.0, 10.0, 30.0, 100.0, 300.0, 1_000.0];

/// Bucket bounds of store calls, in milliseconds; a watch may wait for seconds.
const STORE_CALL_BUCKETS_MS: &[f64] = &[1.0, 3.0, 10.0, 30.0, 100.0, 300.0, 1_000.0, 3_000.0];

/// Number of routes that have a label of their own; all others share the label `other`.
pub const MAX_ROUTES: usize = 100;

/// Label of the routes beyond [`MAX_ROUTES`].
const OTHER_ROUTES: &str = "other";

/// Time after which an idle connection of a scraper is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Instruments of an entry.
pub struct DirectMetrics {
    requests: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    reruns: Counter<u64>,
    room_decisions: Counter<u64>,
    shed: Counter<u64>,
    stop_decisions: Counter<u64>,
    unfinished_events: Counter<u64>,
    taken_up: Counter<u64>,
    target_notices: Counter<u64>,
    cold_targets: Counter<u64>,
    evacuations: Counter<u64>,
    permits: Counter<u64>,
    trials: Counter<u64>,
    malformed_inputs: Counter<u64>,
    load_news: Counter<u64>,
    reservations: Counter<u64>,
    late_draws: Counter<u64>,
    process_checks: Counter<u64>,
    tokens_charged: Counter<u64>,
    answer_ms: Histogram<f64>,
    first_event_ms: Histogram<f64>,
    reservation_ms: Histogram<f64>,
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
            reruns: counter("reruns"),
            room_decisions: counter("room_decisions"),
            shed: counter("shed"),
            stop_decisions: counter("stop_decisions"),
            unfinished_events: counter("unfinished_events"),
            taken_up: counter("streams_taken_up"),
            target_notices: counter("target_notices"),
            cold_targets: counter("cold_targets"),
            evacuations: counter("evacuations"),
            permits: counter("send_permits"),
            trials: counter("suspect_trials"),
            malformed_inputs: counter("malformed_inputs"),
            load_news: counter("load_news"),
            reservations: counter("money_asked"),
            late_draws: counter("late_draws"),
            process_checks: counter("process_checks"),
            tokens_charged: counter("tokens_charged"),
            answer_ms: histogram("answer_ms", LATENCY_BUCKETS_MS),
            first_event_ms: histogram("first_event_ms", LATENCY_BUCKETS_MS),
            reservation_ms: histogram("money_ms", RESERVATION_BUCKETS_MS),
            routes: Mutex::new(Vec::new()),
        }
    }

    /// Counts a request by its outcome: `answered`, `failed`, `refused`, `broken` or `left`;
    /// records the latency of an answered one.
    pub fn count_request(&self, route: &Route, outcome: &'static str, elapsed: Duration) {
        let kind = kind_label(route.kind);
        let route = KeyValue::new("route", self.route_label(&route.name));
        self.requests.add(1, &[kind.clone(), route, KeyValue::new("outcome", outcome)]);
        if outcome == "answered" {
            self.answer_ms.record(to_ms(elapsed), &[kind]);
        }
    }

    fn route_label(&self, name: &str) -> String {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        match routes.binary_search_by(|existing| existing.as_str().cmp(name)) {
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

    /// Counts an attempt at a target by its outcome.
    pub fn count_attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that left a target which had not begun to answer, by the reason.
    pub fn count_rerun(&self, reason: &'static str) {
        self.reruns.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts what became of a request that found too little room: `yields`, `opened`, `too_long`,
    /// `displaced` or `refused`.
    pub fn count_room_decision(&self, outcome: &'static str) {
        self.room_decisions.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that an overloaded entry refused, by its class in the order.
    pub fn count_shed(&self, class: u8) {
        self.shed.add(1, &[KeyValue::new("class", i64::from(class))]);
    }

    /// Counts a request that arrived while the entry stops, by the phase of the stop and whether it was
    /// `admitted` or `refused`.
    pub fn count_stop_decision(&self, phase: &'static str, outcome: &'static str) {
        let labels = [KeyValue::new("phase", phase), KeyValue::new("outcome", outcome)];
        self.stop_decisions.add(1, &labels);
    }

    /// Counts a stream that ended inside an event, by what marked the end of its body.
    pub fn count_unfinished_event(&self, body_end: &'static str) {
        self.unfinished_events.add(1, &[KeyValue::new("body_end", body_end)]);
    }

    /// Counts a stream that a caller takes up, by whether what began it is known: `known`,
    /// `unknown`, `no_answer`, or `moved` if its route has another service now.
    pub fn count_taken_up(&self, outcome: &'static str) {
        self.taken_up.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an answer in which a target says that it is leaving, asks for a pause, or names another
    /// limit or none any more.
    pub fn count_target_notice(&self, kind: &'static str) {
        self.target_notices.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a target that has become cold, by the reason: `registered`, `started` or `evacuated`.
    pub fn count_cold_target(&self, reason: &'static str) {
        self.cold_targets.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an evacuation of a data centre that `began` or `ended`.
    pub fn count_evacuation(&self, change: &'static str) {
        self.evacuations.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts a request for a permit to send to a target with a limit, by its outcome: `granted`,
    /// `denied`, `unassisted` or `unanswered`.
    pub fn count_permit(&self, outcome: &'static str) {
        self.permits.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a decision on a request with suspects of crashes: `run`, `wait`, `other_target` or
    /// `refuse`.
    pub fn count_trial(&self, outcome: &'static str) {
        self.trials.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a value from outside that cannot be decoded, by its kind.
    pub fn count_malformed_input(&self, kind: &'static str) {
        self.malformed_inputs.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a question for news of targets' load by its outcome: `news`, `nothing`, `no_board` or
    /// `no_answer`.
    pub fn count_load_news(&self, outcome: &'static str) {
        self.load_news.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the time to a stream's first event.
    pub fn record_first_event(&self, elapsed: Duration) {
        self.first_event_ms.record(to_ms(elapsed), &[]);
    }

    /// Counts a request for a reservation by its outcome and records its duration.
    pub fn record_reservation(&self, outcome: &'static str, elapsed: Duration) {
        self.reservations.add(1, &[KeyValue::new("outcome", outcome)]);
        self.reservation_ms.record(to_ms(elapsed), &[]);
    }

    /// Counts an event that waited for a draw by what became of it: `drawn`, `reserved_anew` or `denied`.
    pub fn count_late_draw(&self, outcome: &'static str) {
        self.late_draws.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a check of which process of a target answers by its outcome, or a stream whose origin turned
    /// out to be uncertain.
    pub fn count_process_check(&self, outcome: &'static str) {
        self.process_checks.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Adds the tokens charged to a request.
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

fn to_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Registers gauges of the tokens at a holder of ceilings: granted, spent, reserved and in
/// doubt.
pub fn observe_ceilings(meter: &Meter, ceilings: &Ceilings) {
    let gauge = |name: &'static str, value: fn(&Ceilings) -> u64| {
        let ceilings = ceilings.clone();
        meter
            .u64_observable_gauge(name)
            .with_callback(move |observer| observer.observe(value(&ceilings), &[]))
            .build();
    };
    gauge("budgets_held", |ceilings| ceilings.budgets().len() as u64);
    gauge("tokens_granted", |ceilings| {
        ceilings.budgets().iter().map(|status| status.ceiling).sum()
    });
    gauge("tokens_spent", |ceilings| ceilings.budgets().iter().map(|status| status.used).sum());
    gauge("tokens_reserved", |ceilings| {
        ceilings.budgets().iter().map(|status| status.reserved).sum()
    });
    gauge("tokens_in_doubt", |ceilings| {
        ceilings.budgets().iter().map(|status| status.in_doubt).sum()
    });
}

/// Instruments of the reading of the target beside a budget server.
#[derive(Clone)]
pub struct LoadMetrics {
    target_reads: Counter<u64>,
}

impl LoadMetrics {
    /// Opens the instruments on a meter, with gauges of the board.
    pub fn open(meter: &Meter, board: &LoadServer) -> LoadMetrics {
        let gauge = |name: &'static str, value: fn(&LoadBoard) -> u64| {
            let board = board.clone();
            meter
                .u64_observable_gauge(name)
                .with_callback(move |observer| observer.observe(value(&board.lock()), &[]))
                .build();
        };
        gauge("load_targets", |board| board.reported_targets() as u64);
        gauge("load_news_dropped", LoadBoard::dropped);
        LoadMetrics { target_reads: meter.u64_counter("target_reads").build() }
    }

    /// Counts a question to the target by its outcome: `read`, `parts_changed`, `parts_listed`,
    /// `status`, `malformed` or `no_answer`.
    pub fn count_target_read(&self, outcome: &'static str) {
        self.target_reads.add(1, &[KeyValue::new("outcome", outcome)]);
    }
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

    /// Counts a direct call to the store by operation and outcome, and records its duration.
    pub fn record_call(
        &self,
        operation: &'static str,
        answer: &Result<StoreAnswer, CallError>,
        elapsed: Duration,
    ) {
        let outcome = match answer {
            Ok(answer) if is_served(answer.status) => "served",
            Ok(_) => "turned_away",
            Err(CallError::NotSent) => "not_sent",
            Err(CallError::NoAnswer) => "no_answer",
        };
        let operation = KeyValue::new("operation", operation);
        self.calls.add(1, &[operation.clone(), KeyValue::new("outcome", outcome)]);
        self.call_ms.record(to_ms(elapsed), &[operation]);
    }
}

/// Opens the metrics of a process and serves them if an address is set.
///
/// A failure to bind the address is only logged, because a process must run without its
/// scraper too. Fails if the exporter cannot be started.
pub fn open(address: Option<SocketAddr>) -> Result<Metrics, MetricsError> {
    let metrics = Metrics::start()?;
    let Some(address) = address else { return Ok(metrics) };
    match http_server::bind(address) {
        Ok(listener) => {
            let scraped = metrics.clone();
            let limits = ConnectionLimits::idle(IDLE_TIMEOUT).for_all();
            HttpServer::spawn(listener, limits, move |_| std::future::ready(scraped.scrape()));
        }
        Err(err) => log::error!("event=metrics_unavailable address={address} reason={err}"),
    }
    Ok(metrics)
}
