//! HTTP server of a process: health, readiness, metrics and further routes.
//!
//! Rocket is configured here alone: it reads no file and no environment, and
//! leaves signals to the process, which drains before it stops the server.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use rocket::config::{LogLevel, Shutdown as ShutdownConfig};
use rocket::fairing::AdHoc;
use rocket::http::{ContentType, Status};
use rocket::{Build, Config, Rocket, Shutdown, State, get, routes};
use snafu::{ResultExt, Snafu};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Time in which the last bytes of finished responses reach their callers.
///
/// Rocket waits it out whenever an idle connection is open, so that it must not
/// be the drain's limit; the drain comes before it.
const GRACE_SECONDS: u32 = 3;
const MERCY_SECONDS: u32 = 2;
const KEEP_ALIVE_SECONDS: u32 = 30;

/// Why the HTTP server does not run.
#[derive(Debug, Snafu)]
pub enum HttpServerError {
    #[snafu(display("the metrics exporter cannot start"))]
    Metrics { source: opentelemetry_sdk::error::OTelSdkError },
    #[snafu(display("the HTTP server cannot start: {detail}"))]
    Launch { detail: String },
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
    pub fn start() -> Result<Metrics, HttpServerError> {
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

    /// Text for the scraper; `None` if it cannot be encoded.
    pub fn render(&self) -> Option<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather()).ok()
    }
}

/// Rocket with the common routes, to which a role mounts its own.
pub fn build(address: SocketAddr, probe: Arc<dyn Probe>, metrics: Metrics) -> Rocket<Build> {
    rocket::custom(config(address))
        .manage(probe)
        .manage(metrics)
        .mount("/", routes![health, ready, scrape])
}

fn config(address: SocketAddr) -> Config {
    let mut cfg = Config {
        address: address.ip(),
        port: address.port(),
        ip_header: None,
        keep_alive: KEEP_ALIVE_SECONDS,
        log_level: LogLevel::Off,
        cli_colors: false,
        ..Config::release_default()
    };
    cfg.shutdown = ShutdownConfig {
        ctrlc: false,
        signals: Default::default(),
        grace: GRACE_SECONDS,
        mercy: MERCY_SECONDS,
        force: false,
        ..ShutdownConfig::default()
    };
    cfg
}

#[get("/health")]
fn health() -> &'static str {
    "ok\n"
}

#[get("/ready")]
fn ready(probe: &State<Arc<dyn Probe>>) -> (Status, &'static str) {
    if probe.is_ready() {
        (Status::Ok, "ready\n")
    } else {
        (Status::ServiceUnavailable, "not ready\n")
    }
}

#[get("/metrics")]
fn scrape(metrics: &State<Metrics>) -> (Status, (ContentType, String)) {
    match metrics.render() {
        Some(text) => (Status::Ok, (ContentType::Plain, text)),
        None => (Status::InternalServerError, (ContentType::Plain, String::new())),
    }
}

/// Running HTTP server.
pub struct HttpServer {
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Starts the server and answers once its address is bound.
    pub async fn spawn(rocket: Rocket<Build>) -> Result<HttpServer, HttpServerError> {
        let (bound_tx, bound_rx) = oneshot::channel();
        let rocket = rocket
            .attach(signal_liftoff(bound_tx))
            .ignite()
            .await
            .map_err(|err| HttpServerError::Launch { detail: err.to_string() })?;
        let shutdown = rocket.shutdown();
        let (failed_tx, failed_rx) = oneshot::channel();
        let task = tokio::spawn(async move {
            if let Err(err) = rocket.launch().await {
                let _ = failed_tx.send(err.to_string());
            }
        });
        tokio::select! {
            Ok(()) = bound_rx => Ok(HttpServer { shutdown, task }),
            Ok(detail) = failed_rx => LaunchSnafu { detail }.fail(),
            else => LaunchSnafu { detail: "the server stopped" }.fail(),
        }
    }

    /// Takes no new connection and waits until open responses have ended.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}

fn signal_liftoff(tx: oneshot::Sender<()>) -> AdHoc {
    let tx = Mutex::new(Some(tx));
    AdHoc::on_liftoff("bound", move |_| {
        let tx = tx.lock().ok().and_then(|mut tx| tx.take());
        Box::pin(async move {
            if let Some(tx) = tx {
                let _ = tx.send(());
            }
        })
    })
}
