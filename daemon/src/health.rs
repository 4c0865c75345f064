//! Health, readiness and metrics of a process over HTTP.

use std::sync::Arc;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

use crate::http_server::{AnswerBody, full_body};

const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

/// Why metrics are not collected.
#[derive(Debug, Snafu)]
#[snafu(display("the metrics exporter cannot start"))]
pub struct MetricsError {
    source: opentelemetry_sdk::error::OTelSdkError,
}

/// Health of the process, for the balancer and for operators.
pub trait Probe: Send + Sync + 'static {
    /// Whether the process takes new work.
    fn is_ready(&self) -> bool;
}

/// Metrics of the process and their scrape registry.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Starts collecting.
    pub fn start() -> Result<Metrics, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context(MetricsSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Metrics { registry, provider })
    }

    /// Meter for instruments of one part of the process.
    pub fn meter(&self, part: &'static str) -> Meter {
        self.provider.meter(part)
    }

    /// Text for the scraper; `None`, and a log line, if it cannot be encoded.
    pub fn text(&self) -> Option<String> {
        let text = TextEncoder::new().encode_to_string(&self.registry.gather());
        text.inspect_err(|err| log::error!("event=metrics_unavailable reason={err}")).ok()
    }

    /// Text for the scraper, as an answer.
    pub fn scrape(&self) -> Response<AnswerBody> {
        match self.text() {
            Some(text) => text_answer(StatusCode::OK, text),
            None => text_answer(StatusCode::INTERNAL_SERVER_ERROR, String::new()),
        }
    }
}

/// The three routes that every process of the product's own fleet serves.
#[derive(Clone)]
pub struct Health {
    probe: Arc<dyn Probe>,
    metrics: Metrics,
}

impl Health {
    /// Routes over a probe and metrics.
    pub fn new(probe: Arc<dyn Probe>, metrics: Metrics) -> Health {
        Health { probe, metrics }
    }

    /// Answers `/health`, `/ready` and `/metrics`; `None` for anything else.
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

/// Plain text as an answer.
pub fn text_answer(status: StatusCode, text: String) -> Response<AnswerBody> {
    let mut resp = Response::new(full_body(text.into()));
    *resp.status_mut() = status;
    resp.headers_mut().insert(CONTENT_TYPE, TEXT);
    resp
}
