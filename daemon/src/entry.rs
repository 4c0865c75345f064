//! Role `entry`: serves callers over HTTP and delivers their requests to sidecars.
//!
//! `admission` authenticates a request, bounds its cost and identifies it;
//! `delivery` reserves its budget and delivers it; `http` sends the reply.
//! Control state lives on one thread (`control`); requests run on tokio's threads.

mod action;
mod admission;
mod answer;
mod attempt;
mod body;
mod control;
mod delivery;
mod drain;
mod exchange;
mod http;
mod job;
mod join;
mod key_index;
mod metrics;
mod peer;
pub(crate) mod problem;
mod process;
mod repeatable;
mod sse;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarymoor_lib::budget::{BudgetGate, BudgetHandle};
use rosemarymoor_lib::claim::Claims;
use rosemarymoor_lib::config::{ConfigHandle, ConfigNode, ConfigPeerHandler};
use rosemarymoor_lib::fleet_key::FleetKeyError;
use rosemarymoor_lib::kv_http::KvHttpError;
use rosemarymoor_lib::peer_memory::PeerMemory;
use rosemarymoor_lib::routing::TargetRouter;
use rosemarymoor_lib::transport::{PeerHandler, Transport, TransportError};
use snafu::{ResultExt, Snafu};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::health::{Health, Metrics, MetricsError, Probe};
use crate::http_server::{self, ConnectionLimits, HttpServer};
use crate::settings::Settings;

use drain::Drain;
use job::{Job, Reply};
use key_index::WorkspaceKeys;
use metrics::EntryMetrics;
use peer::EntryPeerHandler;
use process::EntryProcess;

const METER_NAME: &str = "entry";

/// Time after which an idle connection of a caller is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait for the charges of requests that are cut off.
const CUT_OFF_TIMEOUT: Duration = Duration::from_secs(1);

/// Exit code of an entry that failed to start.
const EXIT_START_FAILED: i32 = 1;

/// Reason why an entry fails to start.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// The fleet key cannot be read or is invalid.
    #[snafu(display("the fleet key is unusable"))]
    Key { source: FleetKeyError },
    /// The QUIC endpoint for peers cannot be bound.
    #[snafu(display("cannot bind the QUIC endpoint"))]
    Transport { source: TransportError },
    /// The metrics exporter cannot be started.
    #[snafu(display("cannot start the metrics exporter"))]
    Metrics { source: MetricsError },
    /// The HTTP address for callers cannot be bound.
    #[snafu(display("cannot serve HTTP at {address}"))]
    Http { address: SocketAddr, source: io::Error },
    /// The client of the key-value service cannot be opened.
    #[snafu(display("cannot open the client of the key-value service"))]
    Store { source: KvHttpError },
    /// The settings name an unknown grant policy.
    #[snafu(display("`{policy}` is not a grant policy"))]
    Policy { policy: String },
    /// The handlers of the stop signals cannot be installed.
    #[snafu(display("cannot install the signal handlers"))]
    Signal { source: std::io::Error },
}

/// Library components that an entry is built from.
pub struct EntryComponents {
    /// Current configuration.
    pub cfg: ConfigHandle,
    /// Reserves and settles the tokens of requests.
    pub gate: Arc<dyn BudgetGate>,
    /// Chooses targets by their state and limits retries.
    pub router: Arc<dyn TargetRouter>,
    /// Connections to sidecars and other peers.
    pub transport: Arc<Transport>,
    /// Claims of requests that must not run twice.
    pub claims: Claims,
    /// Answers peers that want to borrow tokens; `None` if none are lent.
    pub budgets: Option<BudgetHandle>,
    /// Answers peers that fetch configurations; `None` if this process serves none.
    pub config: Option<ConfigNode>,
}

/// State that all requests of an entry share.
pub struct Entry {
    settings: Settings,
    cfg: ConfigHandle,
    keys: WorkspaceKeys,
    gate: Arc<dyn BudgetGate>,
    router: Arc<dyn TargetRouter>,
    transport: Arc<Transport>,
    claims: Claims,
    budgets: Option<BudgetHandle>,
    metrics: Arc<EntryMetrics>,
    drain: Drain,
    /// Memory for what callers send.
    caller_memory: PeerMemory,
    /// Notified when a peer requests that the entry stops.
    stop: Notify,
}

impl Entry {
    fn new(settings: Settings, components: EntryComponents, metrics: &Metrics) -> Entry {
        Entry {
            settings,
            cfg: components.cfg,
            keys: WorkspaceKeys::default(),
            gate: components.gate,
            router: components.router,
            transport: components.transport,
            claims: components.claims,
            budgets: components.budgets,
            metrics: Arc::new(EntryMetrics::open(&metrics.meter(METER_NAME))),
            drain: Drain::open(),
            caller_memory: PeerMemory::default(),
            stop: Notify::new(),
        }
    }

    /// Counts and logs a reply if it is final.
    fn record(&self, job: &Job, reply: &Reply) {
        let request = job.identity.request;
        let route = &job.route.name;
        let elapsed = job.admitted_at.elapsed();
        let ms = elapsed.as_millis();
        match reply {
            Reply::Refused(refusal) | Reply::Broken(refusal) => {
                self.metrics.count_refusal(refusal.code);
                log::info!(
                    "decision=refuse request={request} route={route} code={} kind={} ms={ms} detail={:?}",
                    refusal.code.number(),
                    refusal.code.kind(),
                    refusal.detail
                );
            }
            Reply::Complete(_) | Reply::End => {
                self.metrics.record_answer(route, elapsed);
                log::info!("decision=answer request={request} route={route} ms={ms}");
            }
            Reply::Start { .. } | Reply::Chunk(_) => {}
        }
    }
}

impl Probe for Entry {
    fn is_ready(&self) -> bool {
        !self.drain.is_draining() && self.cfg.current().revision > 0
    }
}

/// Entry that serves callers and peers.
pub struct RunningEntry {
    entry: Arc<Entry>,
    http: HttpServer,
    peers: JoinHandle<()>,
}

impl RunningEntry {
    /// Starts to serve callers and peers.
    ///
    /// Fails if the metrics exporter does not start or the HTTP address cannot be bound.
    pub async fn spawn(
        settings: Settings,
        components: EntryComponents,
    ) -> Result<RunningEntry, EntryError> {
        let metrics = Metrics::start().context(MetricsSnafu)?;
        let address = settings.http;
        let config = components.config.clone();
        let entry = Arc::new(Entry::new(settings, components, &metrics));
        let listener = http_server::bind(address).context(HttpSnafu { address })?;
        let health = Health::new(entry.clone(), metrics);
        let callers = entry.clone();
        let limits = ConnectionLimits::idle_within(IDLE_TIMEOUT, &entry.caller_memory).for_all();
        let http = HttpServer::spawn(listener, limits, move |req| {
            let (entry, health) = (callers.clone(), health.clone());
            async move {
                match health.answer(&req) {
                    Some(resp) => resp,
                    None => http::serve(entry, req).await,
                }
            }
        });
        let peer: Arc<dyn PeerHandler> = Arc::new(EntryPeerHandler::new(entry.clone()));
        let handler = match config {
            Some(node) => Arc::new(ConfigPeerHandler::new(node, peer)),
            None => peer,
        };
        let peers = tokio::spawn(entry.transport.clone().serve(handler));
        Ok(RunningEntry { entry, http, peers })
    }

    /// Waits until a peer requests that the entry stops.
    pub async fn stop_requested(&self) {
        self.entry.stop.notified().await;
    }

    /// Lets running requests finish, returns unspent tokens and stops serving.
    ///
    /// Requests without an answer are refused at the limit of `drain_ms` of the settings, and cancelled
    /// where they may be repeated. Returns whether all requests ended before it.
    pub async fn stop(self) -> bool {
        self.entry.drain.start();
        log::info!("decision=drain running={}", self.entry.drain.running());
        let limit = Duration::from_millis(self.entry.settings.drain_ms);
        let idle = self.entry.drain.wait_idle(limit).await;
        let cut_off = self.entry.drain.running();
        if !idle {
            self.entry.drain.cut_off();
        }
        // The charges of what is cut off are settled while tokens are returned.
        tokio::join!(self.entry.gate.close(), self.entry.drain.wait_idle(CUT_OFF_TIMEOUT));
        self.http.close(http_server::CLOSE_TIMEOUT).await;
        self.entry.transport.close().await;
        self.peers.abort();
        log::info!("decision=stop cut_off={cut_off} unanswered={}", self.entry.drain.running());
        idle
    }
}

/// Runs an entry until it has drained and returns the exit code of the process.
pub async fn run(settings: Settings) -> i32 {
    match EntryProcess::spawn(settings).await {
        Ok(process) => process.run().await,
        Err(err) => {
            log::error!("decision=exit reason=\"{}\"", snafu::Report::from_error(err));
            EXIT_START_FAILED
        }
    }
}
