//! Paths to the platform's store: direct, or relayed by a budget server.
//!
//! The store may be unreachable for a host, or reject its calls, while hosts beside the
//! targets still reach it. After a failure of the direct path calls are relayed by budget
//! servers, and a periodic probe detects when the direct path works again. Watches of the entries
//! of a large data centre go to one budget server first, which shares them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::peer_memory::PeerGroup;
use rosemarymoor_platform::store::{
    self, CallError, StoreAnswer, StoreCall, StoreTransport, WatchRequest, is_served,
};

use super::metrics::StoreMetrics;
use super::peers::Peers;
use crate::http_pool::{HttpPool, SendError};

/// Path prefix of the store calls that a budget server relays.
pub const RELAY_PREFIX: &str = "/store";

/// Status with which a relay answers if the store did not: the call may have been carried out.
pub const STORE_SILENT: StatusCode = StatusCode::BAD_GATEWAY;

/// Status with which a relay answers if the call certainly did not reach the store, the same as
/// that of a store which refuses a call.
pub const STORE_NOT_REACHED: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

/// Timeout for a connection to the store or to a budget server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for changes at the server that shares watches. A server that has become silent is
/// noticed after it, early enough for a change to be applied in time over another path.
const SHARED_WATCH_WAIT: Duration = Duration::from_millis(800);

/// Time for the answer to a shared watch beyond its wait.
const SHARED_WATCH_GRACE: Duration = Duration::from_millis(250);

/// Time after a shared watch failed for which this process watches the store itself.
const SHARED_WATCH_BACKOFF: Duration = Duration::from_millis(2_000);

/// Interval of probes of the direct path while it is unavailable.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of budget servers that are asked to relay one call.
const MAX_RELAYS: usize = 3;

/// First backoff of relaying after no relay reached the store, which is then unavailable to all
/// of them, so that each attempt would only cost it a further call. Doubles with each failure.
const MIN_RELAY_BACKOFF: Duration = Duration::from_millis(400);

/// Longest backoff of relaying.
const MAX_RELAY_BACKOFF: Duration = Duration::from_millis(1_600);

/// Size limit of the store's answers, for a full page of items in text form.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Direct path to the store.
#[derive(Clone)]
pub struct DirectPath {
    pool: HttpPool,
    store: SocketAddr,
    metrics: StoreMetrics,
}

impl DirectPath {
    /// Opens the path; connects on first use.
    pub fn open(pool: HttpPool, store: SocketAddr, metrics: StoreMetrics) -> DirectPath {
        DirectPath { pool: pool.for_group(PeerGroup::Fleet), store, metrics }
    }
}

#[async_trait]
impl StoreTransport for DirectPath {
    async fn call(&self, call: StoreCall) -> Result<StoreAnswer, CallError> {
        let started = Instant::now();
        let answer = send(&self.pool, self.store, &call, &call.path).await;
        self.metrics.record_call(call.operation(), &answer, started.elapsed());
        answer
    }
}

/// Path to the store that falls back to budget servers as relays.
pub struct RelayedPath {
    direct: DirectPath,
    pool: HttpPool,
    peers: Arc<Peers>,
    /// Data centre of this process.
    data_center: String,
    direct_unavailable: AtomicBool,
    /// Key by which this process ranks the relays; it differs between processes, which
    /// distributes their calls over the relays.
    key: u64,
    /// Index of the relay to ask first; advances with each failure.
    next_relay: AtomicU64,
    relay_backoff: Mutex<RelayBackoff>,
    /// Until when watches are not shared, after a shared one failed.
    shares_watches_at: Mutex<Option<Instant>>,
}

/// Backoff of all relays.
#[derive(Clone, Copy, Debug, Default)]
struct RelayBackoff {
    /// Until when no relay is asked.
    until: Option<Instant>,
    /// Calls in a row that no relay could deliver.
    consecutive_failures: u32,
}

impl RelayedPath {
    /// Opens the path and spawns the task that probes the direct one.
    pub fn spawn(
        direct: DirectPath,
        peers: Arc<Peers>,
        name: &str,
        data_center: &str,
    ) -> Arc<RelayedPath> {
        let path = Arc::new(RelayedPath {
            pool: direct.pool.clone(),
            direct,
            peers,
            data_center: data_center.to_owned(),
            direct_unavailable: AtomicBool::new(false),
            key: rank::key_of(name),
            next_relay: AtomicU64::new(0),
            relay_backoff: Mutex::default(),
            shares_watches_at: Mutex::default(),
        });
        tokio::spawn(probe(Arc::downgrade(&path)));
        path
    }

    fn mark_direct_unavailable(&self, reason: &str) {
        if !self.direct_unavailable.swap(true, Ordering::Relaxed) {
            log::warn!("event=dependency_lost dependency=store_direct reason={reason}");
        }
    }

    fn mark_direct_available(&self) {
        if self.direct_unavailable.swap(false, Ordering::Relaxed) {
            log::warn!("event=dependency_regained dependency=store_direct");
        }
    }

    fn relay_backoff(&self) -> MutexGuard<'_, RelayBackoff> {
        self.relay_backoff.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn are_relays_backing_off(&self) -> bool {
        self.relay_backoff().until.is_some_and(|until| Instant::now() < until)
    }

    fn back_off_relays(&self) {
        let mut backoff = self.relay_backoff();
        let pause = MIN_RELAY_BACKOFF * 2_u32.pow(backoff.consecutive_failures.min(4));
        backoff.until = Some(Instant::now() + pause.min(MAX_RELAY_BACKOFF));
        backoff.consecutive_failures += 1;
    }

    async fn call_direct(&self, call: &StoreCall) -> Result<StoreAnswer, CallError> {
        let answer = self.direct.call(call.clone()).await;
        match &answer {
            Ok(answer) if is_served(answer.status) => self.mark_direct_available(),
            Ok(answer) => self.mark_direct_unavailable(&format!("status_{}", answer.status)),
            Err(err) => self.mark_direct_unavailable(&format!("{err:?}")),
        }
        answer
    }

    fn shares_watches_at(&self) -> MutexGuard<'_, Option<Instant>> {
        self.shares_watches_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for changes at the server that shares this data centre's watches; returns `None` if
    /// there is none or it fails.
    async fn share_watch(&self, request: WatchRequest) -> Option<StoreAnswer> {
        if self.shares_watches_at().is_some_and(|at| Instant::now() < at) {
            return None;
        }
        let server = self.peers.watch_server(&self.data_center, self.key)?;
        let wait = request.wait.min(SHARED_WATCH_WAIT);
        let call = StoreCall::watch(&WatchRequest { wait, ..request }, wait + SHARED_WATCH_GRACE);
        let path = format!("{RELAY_PREFIX}{}", call.path);
        match send(&self.pool, server.internal, &call, &path).await {
            Ok(answer) if matches!(answer.status, store::OK | store::GONE) => Some(answer),
            result => {
                let reason = result.map(|answer| answer.status);
                log::info!("event=shared_watch_failed server={} reason={reason:?}", server.name);
                // An answer shows that the server runs; its store does not serve it.
                if reason.is_err() {
                    self.peers.record_failure(server.internal);
                }
                *self.shares_watches_at() = Some(Instant::now() + SHARED_WATCH_BACKOFF);
                None
            }
        }
    }

    /// Sends a call to one relay after another. A call that is not a read is not repeated after
    /// the store or a relay failed to answer it, because the store may have applied it.
    async fn call_relays(&self, call: &StoreCall) -> Result<StoreAnswer, CallError> {
        let servers = self.peers.ranked_budget_servers(self.key);
        let first = self.next_relay.load(Ordering::Relaxed) as usize;
        let is_read = call.method == Method::GET;
        let mut result = Err(CallError::NotSent);
        for offset in 0..servers.len().min(MAX_RELAYS) {
            let server = &servers[(first + offset) % servers.len()];
            let path = format!("{RELAY_PREFIX}{}", call.path);
            match send(&self.pool, server.internal, call, &path).await {
                Ok(answer) if answer.status == STORE_SILENT.as_u16() => {
                    result = Err(CallError::NoAnswer);
                    if !is_read {
                        self.next_relay.fetch_add(1, Ordering::Relaxed);
                        return result;
                    }
                }
                Ok(answer) if is_served(answer.status) => {
                    self.relay_backoff().consecutive_failures = 0;
                    return Ok(answer);
                }
                Ok(answer) => result = Ok(answer),
                Err(err) => {
                    self.peers.record_failure(server.internal);
                    if err == CallError::NoAnswer && !is_read {
                        self.next_relay.fetch_add(1, Ordering::Relaxed);
                        return Err(err);
                    }
                }
            }
            self.next_relay.fetch_add(1, Ordering::Relaxed);
        }
        self.back_off_relays();
        result
    }
}

#[async_trait]
impl StoreTransport for RelayedPath {
    async fn call(&self, call: StoreCall) -> Result<StoreAnswer, CallError> {
        if let Some(request) = call.as_watch()
            && let Some(answer) = self.share_watch(request).await
        {
            return Ok(answer);
        }
        let are_relays_backing_off = self.are_relays_backing_off();
        let is_direct_unavailable = self.direct_unavailable.load(Ordering::Relaxed);
        if is_direct_unavailable && are_relays_backing_off {
            // No path works. The probe, which costs the store next to nothing, notices when one
            // does; all the calls of a large fleet would only keep the store busy.
            return Err(CallError::NotSent);
        }
        if !is_direct_unavailable {
            let answer = self.call_direct(&call).await;
            let is_read = call.method == Method::GET;
            let is_final = match &answer {
                Ok(answer) => is_served(answer.status),
                Err(err) => *err == CallError::NoAnswer && !is_read,
            };
            if is_final || are_relays_backing_off {
                return answer;
            }
        }
        self.call_relays(&call).await
    }
}

/// Probes the direct path while it is unavailable, until the path is dropped.
async fn probe(path: std::sync::Weak<RelayedPath>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let Some(path) = path.upgrade() else { return };
        if !path.direct_unavailable.load(Ordering::Relaxed) {
            continue;
        }
        let call = store::probe(PROBE_TIMEOUT);
        // The call itself records whether the direct path works.
        let _ = path.call_direct(&call).await;
    }
}

async fn send(
    pool: &HttpPool,
    address: SocketAddr,
    call: &StoreCall,
    path: &str,
) -> Result<StoreAnswer, CallError> {
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = path.parse().map_err(|_| CallError::NotSent)?;
    let host = HeaderValue::from_str(&address.to_string()).map_err(|_| CallError::NotSent)?;
    req.headers_mut().insert(HOST, host);
    if !call.body.is_empty() {
        req.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    let fetch = pool.fetch(address, req, CONNECT_TIMEOUT, MAX_ANSWER_BYTES);
    match tokio::time::timeout(call.timeout, fetch).await {
        Ok(Ok((status, headers, body))) => {
            Ok(StoreAnswer { status: status.as_u16(), era: store::era_of(&headers), body })
        }
        Ok(Err(SendError::NotSent)) => Err(CallError::NotSent),
        Ok(Err(SendError::Broken)) | Err(_) => Err(CallError::NoAnswer),
    }
}
