//! Budget server: holds ceilings for entries, counts crashes of targets and relays store
//! calls.
//!
//! It serves HTTP at the host's internal address:
//!
//! - `POST /reserve` accepts a [`ReservationRequest`] and answers with a
//!   [`ReservationReply`];
//! - `POST /draw` accepts a list of [`Draw`] and answers with the tokens that may be used of each
//!   reservation, or `null`;
//! - `POST /settle` accepts a list of [`Settlement`];
//! - `POST /witness` accepts a [`WitnessReport`], after the store was restored;
//! - `POST /crashed` accepts a [`Crash`] of a target that broke its connection while it ran
//!   a request, and answers with the [`Suspicion`]s against it, `POST /sound` a [`Completion`] and answers whether it counts, `POST /suspected` a list
//!   of [`Suspicion`]s for which an entry refuses requests;
//! - `POST /trial` accepts a [`TrialRequest`] and answers with a [`Decision`];
//! - `POST /begun` accepts a list of [`BegunStream`], `POST /origin` a [`StreamId`] and answers with the
//!   stream's origin or `null`;
//! - `POST /permit` accepts a [`PermitRequest`] and answers with the permits to send to a target,
//!   `POST /limit` a [`LimitReport`];
//! - `POST /load` accepts a [`LoadQuery`] and answers with news of targets' load, if the settings
//!   name the target beside the server;
//! - every path under `/store` is a call to the platform's store, relayed unchanged, but for
//!   watches, of which equal ones share a call;
//!   status 502 means that the store did not answer, so that a write may have been applied;
//!   status 503, that the store refused the call or was not reached.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use rosemarymoor_lib::budget::ceiling::{
    Draw, Headroom, ReservationReply, ReservationRequest, Settlement, WitnessReport,
};
use rosemarymoor_lib::dispatch::crash::suspect::Suspicion;
use rosemarymoor_lib::dispatch::crash::tracker::{Completion, Crash, TrialRequest};
use rosemarymoor_lib::dispatch::load::news::{self, LoadQuery};
use rosemarymoor_lib::dispatch::send_permits::{LimitReport, PermitRequest};
use rosemarymoor_lib::dispatch::stream_origins::{BegunStream, StreamId};
use rosemarymoor_lib::kv_feed::KvFeed;
use rosemarymoor_lib::kv_store::{KvStore, Outcome};
use rosemarymoor_lib::peer_memory::{PeerGroup, PeerMemory};
use rosemarymoor_platform::store::{self, CallError, PlatformStore, StoreCall, StoreTransport};
use serde::{Deserialize, Serialize};

use super::begun_streams::{BEGUN_PATH, BegunStreams, ORIGIN_PATH, StreamDirectory};
use super::ceilings::Ceilings;
use super::context::{ProcessContext, reload_on_hangup};
use super::fleet_keys::PEER_PREFIX;
use super::load_collector::{self, CollectorContext};
use super::load_server::{LOAD_PATH, LoadServer};
use super::metrics::{self, LoadMetrics, StoreMetrics};
use super::peer_client::PeerClient;
use super::poison::{CRASH_PATH, PoisonedRequests, SOUND_PATH, SUSPECTED_PATH, TRIAL_PATH};
use super::poison_publisher::PoisonPublisher;
use super::send_permits::{LIMIT_PATH, PERMIT_PATH, SharedIssuer};
use super::server_stop::{CALL_TIMEOUT, ServerStop};
use super::settings::DirectSettings;
use super::shared_watch::SharedWatches;
use super::store_path::{DirectPath, RELAY_PREFIX, RelayedPath, STORE_NOT_REACHED, STORE_SILENT};
use super::target_watch;
use crate::http_server::{self, ConnectionLimits, HttpServer};

/// Timeout of a relayed call other than a watch, which waits as long as it says.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest time for handing over the begun streams.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Size limit of the body of an internal call.
const MAX_BODY_BYTES: usize = 2 << 20;

/// Time after which an idle connection of an entry is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Path of requests for reservations.
pub const RESERVE_PATH: &str = "/reserve";

/// Headers of a granted reservation: the epoch of the holder, and the tokens of the budget that it
/// has used and reserved.
pub const HOLDER_EPOCH: HeaderName = HeaderName::from_static("holder-epoch");
pub const HOLDER_COMMITTED: HeaderName = HeaderName::from_static("holder-committed");

/// Header of a granted reservation of which the requester has to draw before it uses more.
pub const HOLDER_DRAWS: HeaderName = HeaderName::from_static("holder-draws");

/// Path of draws of open reservations.
pub const DRAW_PATH: &str = "/draw";

/// Path of what entries know of other holders' grants, after the store was restored.
pub const WITNESS_PATH: &str = "/witness";

/// Path of settlements.
pub const SETTLE_PATH: &str = "/settle";

/// Calls that are refused while the server stops: what they ask it to keep would be lost with it.
const REFUSED_WHILE_STOPPING: [&str; 5] =
    [RESERVE_PATH, CRASH_PATH, SOUND_PATH, SUSPECTED_PATH, TRIAL_PATH];

/// State that all internal calls share.
struct Server {
    ceilings: Ceilings,
    store: DirectPath,
    watches: SharedWatches,
    kv: Arc<dyn KvStore>,
    poison: PoisonedRequests,
    publisher: PoisonPublisher,
    streams: BegunStreams,
    permits: SharedIssuer,
    /// News of targets' load; `None` without a target beside the server.
    load: Option<LoadServer>,
    /// Memory for what callers send.
    memory: PeerMemory,
    stop: ServerStop,
}

/// Runs a budget server until it is requested to stop; returns the exit code.
pub async fn run(settings: DirectSettings, path: PathBuf) -> i32 {
    let cx = ProcessContext::open(&settings);
    let metrics = match metrics::open(settings.metrics) {
        Ok(metrics) => metrics,
        Err(err) => {
            log::error!("event=stop reason=no_metrics {err}");
            return 1;
        }
    };
    let meter = metrics.meter("budget-server");
    let store = DirectPath::open(cx.pool.clone(), settings.store, StoreMetrics::open(&meter));
    let kv = Arc::new(PlatformStore::open(Arc::new(store.clone())));
    let ceilings = Ceilings::spawn(kv.clone(), cx.clock, Headroom::ByRate);
    let epoch = ceilings.epoch();
    log::warn!("event=start role=budget-server host={} epoch={epoch}", settings.name);
    metrics::observe_ceilings(&meter, &ceilings);
    let poison = PoisonedRequests::open(cx.clock);
    let client = PeerClient::open(cx.pool.clone(), cx.peers.clone());
    let load = settings.target.map(|target| {
        let board = LoadServer::open(cx.clock);
        let metrics = LoadMetrics::open(&meter, &board);
        target_watch::spawn(target, cx.pool.clone(), board.clone(), cx.clock, metrics);
        collect_load(&cx, &settings, store.clone(), client.clone(), board.clone());
        board
    });
    let publisher = PoisonPublisher::spawn(poison.clone(), kv.clone(), client);
    let server = Arc::new(Server {
        ceilings: ceilings.clone(),
        watches: SharedWatches::open(Arc::new(store.clone())),
        store,
        kv: kv.clone(),
        poison,
        publisher,
        streams: BegunStreams::open(cx.clock),
        permits: SharedIssuer::open(cx.clock),
        load,
        memory: cx.pool.memory().for_group(PeerGroup::Fleet),
        stop: ServerStop::open(),
    });
    let listener = match http_server::bind_when_free(settings.internal).await {
        Ok(listener) => listener,
        Err(err) => {
            log::error!("event=stop reason=bind_failed address={} {err}", settings.internal);
            return 1;
        }
    };
    reload_on_hangup(path, |_| {});
    let handling = server.clone();
    let limits = ConnectionLimits::idle_within(IDLE_TIMEOUT, &server.memory).for_all();
    let calls = HttpServer::spawn(listener, limits, move |req| {
        let server = handling.clone();
        async move {
            let mut resp = server.serve(req).await;
            if server.stop.has_begun() {
                resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            resp
        }
    });
    cx.register(&settings, kv.clone());
    cx.stop_requested().await;
    stop(&cx, kv.as_ref(), &server, calls, &settings).await;
    0
}

/// Stops a server: waits for open reservations, answers what runs, hands over streams and returns tokens.
async fn stop(
    cx: &ProcessContext,
    kv: &PlatformStore,
    server: &Server,
    calls: HttpServer,
    settings: &DirectSettings,
) {
    let started = Instant::now();
    let host = &settings.name;
    log::warn!("event=stopping role=budget-server host={host}");
    let settling_time = server.stop.begin(settings.grace);
    server.ceilings.begin_close();
    let _ = tokio::time::timeout(settling_time, server.ceilings.settled()).await;
    server.stop.begin_closing();
    log::warn!(
        "event=listener_closes host={host} open_connections={} after_ms={}",
        calls.open_connections(),
        started.elapsed().as_millis()
    );
    let open = calls.close(CALL_TIMEOUT).await;
    let handing_over = hand_over(cx, kv, server, settings.internal);
    let handing_over = tokio::time::timeout(HAND_OVER_TIMEOUT, handing_over);
    let (_, handed_over) = tokio::join!(server.ceilings.close(), handing_over);
    if handed_over.is_err() {
        log::warn!("event=streams_not_handed_over reason=timeout");
    }
    let took_ms = started.elapsed().as_millis();
    log::warn!(
        "event=stop role=budget-server host={host} open_connections={open} took_ms={took_ms}"
    );
}

/// Spawns the tasks that follow the fleet's own list and collect the news of its targets' load.
fn collect_load(
    cx: &ProcessContext,
    settings: &DirectSettings,
    store: DirectPath,
    client: PeerClient,
    board: LoadServer,
) {
    let path = RelayedPath::spawn(store, cx.peers.clone(), &settings.name, &settings.data_center);
    cx.follow_peers(Arc::new(PlatformStore::open(path)));
    let (name, data_center) = (settings.name.clone(), settings.data_center.clone());
    load_collector::spawn(CollectorContext { name, data_center, client, board });
}

/// Hands the begun streams over to the servers that are listed now.
async fn hand_over(cx: &ProcessContext, kv: &PlatformStore, server: &Server, own: SocketAddr) {
    if server.streams.recent().is_empty() {
        return;
    }
    match kv.list(PEER_PREFIX, RELAY_TIMEOUT).await {
        Outcome::Done(listing) => cx.peers.apply_listing(&listing, false),
        Outcome::NotDone(reason) => {
            log::warn!("event=streams_not_handed_over reason={reason:?}");
            return;
        }
        Outcome::Unknown => {
            log::warn!("event=streams_not_handed_over reason=no_answer");
            return;
        }
    }
    let client = PeerClient::open(cx.pool.clone(), cx.peers.clone());
    StreamDirectory::open(server.streams.clone(), client).hand_over(own).await;
}

impl Server {
    async fn serve(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = req.into_parts();
        let Ok(body) = self.memory.read(body, MAX_BODY_BYTES).await else {
            return empty(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        if let Some(path) = path.strip_prefix(RELAY_PREFIX) {
            return self.relay(head.method, path.to_owned(), body).await;
        }
        match (head.method, path) {
            (_, path) if self.refuses(path) => {
                log::info!("event=call_refused reason=stopping path={path}");
                empty(StatusCode::SERVICE_UNAVAILABLE)
            }
            (Method::POST, RESERVE_PATH) => self.reserve(&body).await,
            (Method::POST, DRAW_PATH) => self.draw(&body),
            (Method::POST, SETTLE_PATH) => self.settle(&body),
            (Method::POST, WITNESS_PATH) => self.apply_witnesses(&body).await,
            (Method::POST, CRASH_PATH) => self.record_crash(&body),
            (Method::POST, SOUND_PATH) => self.record_sound(&body),
            (Method::POST, SUSPECTED_PATH) => self.apply_suspicions(&body),
            (Method::POST, TRIAL_PATH) => self.grant_trial(&body),
            (Method::POST, BEGUN_PATH) => self.record_streams(&body),
            (Method::POST, PERMIT_PATH) => self.issue_permits(&body),
            (Method::POST, LIMIT_PATH) => self.apply_limit(&body),
            (Method::POST, ORIGIN_PATH) => self.find_origin(&body),
            (Method::POST, LOAD_PATH) => self.answer_load(&body).await,
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    /// Returns whether a call is refused since the server stops.
    fn refuses(&self, path: &str) -> bool {
        self.stop.has_begun() && REFUSED_WHILE_STOPPING.contains(&path)
    }

    async fn reserve(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(request) = decode::<ReservationRequest>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let (budget, is_drawn) = (request.budget.clone(), request.drawn.is_some());
        let reply = self.ceilings.reserve(request).await;
        let mut resp = json(&reply);
        if reply == ReservationReply::Granted {
            let (epoch, committed) = (self.ceilings.epoch(), self.ceilings.committed(&budget));
            resp.headers_mut().insert(HOLDER_EPOCH, HeaderValue::from(epoch.0));
            resp.headers_mut().insert(HOLDER_COMMITTED, HeaderValue::from(committed));
            if is_drawn {
                resp.headers_mut().insert(HOLDER_DRAWS, HeaderValue::from(1));
            }
        }
        resp
    }

    async fn apply_witnesses(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(WitnessReport { era, witnesses }) = decode(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let has_seen =
            self.kv.era().is_some_and(|seen| seen.borrow().is_some_and(|seen| seen >= era));
        if !has_seen {
            // Any call shows the era to all parts of this process. Its outcome does not matter: the
            // entries report again.
            let _ = self.kv.get(PEER_PREFIX, RELAY_TIMEOUT).await;
        }
        log::info!("event=grants_witnessed era={era} count={}", witnesses.len());
        for witness in &witnesses {
            self.ceilings.apply_witness(witness);
        }
        empty(StatusCode::OK)
    }

    fn draw(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(draws) = decode::<Vec<Draw>>(body) else { return empty(StatusCode::BAD_REQUEST) };
        let limits: Vec<Option<u64>> = draws.iter().map(|draw| self.ceilings.draw(draw)).collect();
        json(&limits)
    }

    fn settle(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(settlements) = decode::<Vec<Settlement>>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        for settlement in settlements {
            self.ceilings.settle(&settlement);
        }
        empty(StatusCode::OK)
    }

    fn record_crash(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(crash) = decode::<Crash>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        self.publisher.record_crash(&crash);
        json(&self.poison.suspicions(&crash.suspects))
    }

    fn record_sound(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(completion) = decode::<Completion>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        json(&self.publisher.record_sound(&completion))
    }

    fn apply_suspicions(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(told) = decode::<Vec<Suspicion>>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        self.publisher.apply(&told);
        empty(StatusCode::OK)
    }

    fn grant_trial(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(req) = decode::<TrialRequest>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        if let Some(crash) = &req.crash {
            self.publisher.record_crash(crash);
        }
        self.publisher.publish(self.poison.apply(&req.suspicions));
        let decision = self.poison.try_at(&req);
        log::info!("event=trial_asked target={} decision={decision:?}", req.target);
        json(&decision)
    }

    fn record_streams(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(streams) = decode::<Vec<BegunStream>>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        for stream in &streams {
            self.streams.record(stream);
        }
        empty(StatusCode::OK)
    }

    fn find_origin(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(id) = decode::<StreamId>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        json(&self.streams.answer(id))
    }

    fn issue_permits(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(req) = decode::<PermitRequest>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        json(&self.permits.issue(&req))
    }

    fn apply_limit(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(report) = decode::<LimitReport>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        self.permits.apply_report(&report);
        empty(StatusCode::OK)
    }

    async fn answer_load(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Some(board) = &self.load else { return empty(StatusCode::NOT_FOUND) };
        let Ok(query) = news::decode::<LoadQuery>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let reply = tokio::select! {
            reply = board.answer(&query) => reply,
            () = self.stop.closing() => return empty(StatusCode::SERVICE_UNAVAILABLE),
        };
        Response::new(Full::new(news::encode(&reply).into()))
    }

    /// Relays a call to the store; `path` includes the query.
    async fn relay(&self, method: Method, path: String, body: Bytes) -> Response<Full<Bytes>> {
        let call = StoreCall { method, path, body, timeout: RELAY_TIMEOUT };
        let result = match call.as_watch() {
            Some(request) => tokio::select! {
                result = self.watches.call(&request) => result,
                () = self.stop.closing() => Err(CallError::NotSent),
            },
            None => self.store.call(call).await,
        };
        match result {
            Ok(answer) => {
                let mut resp = Response::new(Full::new(answer.body));
                *resp.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(STORE_SILENT);
                if let Some(era) = answer.era {
                    store::set_era(resp.headers_mut(), era);
                }
                resp
            }
            Err(err) => {
                log::debug!("event=relay_failed reason={err:?}");
                empty(match err {
                    CallError::NotSent => STORE_NOT_REACHED,
                    CallError::NoAnswer => STORE_SILENT,
                })
            }
        }
    }
}

fn decode<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, serde_json::Error> {
    serde_json::from_slice(body)
}

fn json<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("serializing a reply to JSON cannot fail");
    Response::new(Full::new(body.into()))
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut resp = Response::new(Full::default());
    *resp.status_mut() = status;
    resp
}
