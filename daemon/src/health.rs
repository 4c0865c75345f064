//! HTTP routes for the health, readiness and metrics of a process.

use std::sync::Arc;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

use crate::http_server::{AnswerBody, full_body};

const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

/// Why metrics cannot be collected.
#[derive(Debug, Snafu)]
#[snafu(display("the metrics exporter cannot start"))]
pub struct MetricsError {
    source: opentelemetry_sdk::error::OTelSdkError,
}

/// Source of the process's readiness, for load balancers and operators.
pub trait Probe: Send + Sync + 'static {
    /// Returns whether the process accepts new work.
    fn is_ready(&self) -> bool;
}

/// Metrics of the process, exported in the Prometheus text format.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Starts collecting metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be built.
    pub fn start() -> Result<Metrics, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context(MetricsSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Metrics { registry, provider })
    }

    /// Returns the meter for the instruments of one part of the process.
    pub fn meter(&self, part: &'static str) -> Meter {
        self.provider.meter(part)
    }

    /// Returns all metrics as text; logs an error and returns `None` if they cannot be encoded.
    pub fn text(&self) -> Option<String> {
        let text = TextEncoder::new().encode_to_string(&self.registry.gather());
        text.inspect_err(|err| log::error!("event=metrics_unavailable reason={err}")).ok()
    }

    /// Returns the answer to a scrape: the metrics as text, or status 500.
    pub fn scrape(&self) -> Response<AnswerBody> {
        match self.text() {
            Some(text) => text_answer(StatusCode::OK, text),
            None => text_answer(StatusCode::INTERNAL_SERVER_ERROR, String::new()),
        }
    }
}

/// Routes `/health`, `/ready` and `/metrics` of an entry or a sidecar.
#[derive(Clone)]
pub struct Health {
    probe: Arc<dyn Probe>,
    metrics: Metrics,
}

impl Health {
    /// Creates the routes over a readiness probe and metrics.
    pub fn new(probe: Arc<dyn Probe>, metrics: Metrics) -> Health {
        Health { probe, metrics }
    }

    /// Answers a GET or HEAD request for one of the routes; returns `None` for any other request.
    pub fn answer<B>(&self, req: &Request<B>) -> Option<Response<AnswerBody>> {
        if req.method() != Method::GET && req.method() != Method::HEAD {
            return None;
        }
        match req.uri().path() {
            "/health" => Some(text_answer(StatusCode::OK, "ok\n".to_owned())),
            "/ready" => Some(self.readiness()),
            "/metrics" => Some(self.metrics.scrape()),
            _ => None,
        }
    }

    fn readiness(&self) -> Response<AnswerBody> {
        if self.probe.is_ready() {
            text_answer(StatusCode::OK, "ready\n".to_owned())
        } else {
            text_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
        }
    }
}

/// Returns an answer with a plain text body.
pub fn text_answer(status: StatusCode, text: String) -> Response<AnswerBody> {
    let mut resp = Response::new(full_body(text.into()));
    *resp.status_mut() = status;
    resp.headers_mut().insert(CONTENT_TYPE, TEXT);
    resp
}
