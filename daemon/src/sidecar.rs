//! Role sidecar: admits, runs and answers every request for one target.
//!
//! The sidecar serves the entries over QUIC, admits or refuses each request, calls its
//! target once for each admitted request, and keeps the answers so that an entry can resume
//! a broken stream.

mod context;
mod gate;
mod job;
mod orders;
mod peer;
pub mod poison_propagation;
mod shutdown;
mod stream;
mod watch;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Response, StatusCode};
use rosemarymoor_lib::config::{
    ConfigHandle, ConfigPeerHandler, ConfigPropagation, PropagationParams,
};
use rosemarymoor_lib::fleet_key::{FleetKey, FleetKeyError};
use rosemarymoor_lib::kv_http::{KvHttp, KvHttpError};
use rosemarymoor_lib::kv_store::KvStore;
use rosemarymoor_lib::target_http::HttpTarget;
use rosemarymoor_lib::transport::{Transport, TransportError};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::health::{Health, Metrics, MetricsError, text_answer};
use crate::http_server::{self, AnswerBody, ConnectionLimits, HttpServer};
use crate::settings::{Settings, TargetSettings};

use context::{Dependencies, Sidecar};
use peer::SidecarPeerHandler;
use poison_propagation::PoisonPropagation;

/// Time after which an idle connection to the health and metrics server is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a sidecar cannot start.
#[derive(Debug, Snafu)]
enum SidecarError {
    #[snafu(display("the settings name no target"))]
    NoTarget,
    #[snafu(display("the fleet key is unusable"))]
    Key { source: FleetKeyError },
    #[snafu(display("the transport cannot start"))]
    Transport { source: TransportError },
    #[snafu(display("the key-value service cannot be used"))]
    Store { source: KvHttpError },
    #[snafu(display("metrics cannot be collected"))]
    Metrics { source: MetricsError },
    #[snafu(display("the HTTP server cannot start at {address}"))]
    Http { address: SocketAddr, source: io::Error },
    #[snafu(display("signals cannot be received"))]
    Signals { source: std::io::Error },
}

/// Runs a sidecar until it has drained; returns the exit code of the process.
pub async fn run(settings: Settings) -> i32 {
    match serve(settings).await {
        Ok(()) => 0,
        Err(err) => {
            log::error!("event=stop error=\"{}\"", snafu::Report::from_error(err));
            1
        }
    }
}

async fn serve(settings: Settings) -> Result<(), SidecarError> {
    let target: TargetSettings = settings.target.clone().context(NoTargetSnafu)?;
    let key = FleetKey::from_base64(&settings.fleet_key).context(KeySnafu)?;
    let transport = Transport::bind(settings.quic, &key).context(TransportSnafu)?;
    let kv: Arc<dyn KvStore> = Arc::new(KvHttp::open(&settings.kv_url).context(StoreSnafu)?);
    let poison = PoisonPropagation::open(settings.name.clone(), transport.clone(), kv.clone());
    let cfg = ConfigHandle::default();
    let config = ConfigPropagation::spawn(PropagationParams {
        host: settings.name.clone(),
        data_center: settings.data_center.clone(),
        parent_count: settings.config_parents,
        kv: kv.clone(),
        transport: transport.clone(),
        handle: cfg.clone(),
    });
    let metrics = Metrics::start().context(MetricsSnafu)?;
    let deps = Dependencies { target: Arc::new(HttpTarget::open(&target.url)), cfg, kv, poison };
    let cx = Sidecar::open(settings.clone(), target, deps, &metrics);
    watch::read_initial_state(&cx).await;
    let watchers = watch::spawn(cx.clone(), config.node());
    let http = serve_health(settings.http, Health::new(cx.clone(), metrics))?;
    let signals = shutdown::spawn_signals(cx.clone()).context(SignalsSnafu)?;
    let peer = Arc::new(SidecarPeerHandler::new(cx.clone()));
    let handler = Arc::new(ConfigPeerHandler::new(config.node(), peer));
    let serving = tokio::spawn(transport.clone().serve(handler));
    log::info!("event=start role=sidecar name={} target={}", settings.name, cx.target_name());
    shutdown::drained(&cx).await;
    signals.abort();
    cx.poison.flush().await;
    drop(watchers);
    transport.close().await;
    http.close(http_server::CLOSE_TIMEOUT).await;
    serving.abort();
    log::info!("event=stop role=sidecar name={}", settings.name);
    Ok(())
}

fn serve_health(address: SocketAddr, health: Health) -> Result<HttpServer, SidecarError> {
    let listener = http_server::bind(address).context(HttpSnafu { address })?;
    let limits = ConnectionLimits::idle(IDLE_TIMEOUT).for_all();
    Ok(HttpServer::spawn(listener, limits, move |req| {
        let answer = health.answer(&req);
        std::future::ready(answer.unwrap_or_else(not_found))
    }))
}

fn not_found() -> Response<AnswerBody> {
    text_answer(StatusCode::NOT_FOUND, "nothing is served at this path\n".to_owned())
}
