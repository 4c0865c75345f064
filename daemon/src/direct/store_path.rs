//! Paths to the platform's store: direct, or relayed by a budget server.
//!
//! The store may be unreachable for a host, or reject its calls, while hosts beside the
//! targets still reach it. After a failure of the direct path calls are relayed by budget
//! servers, until a probe shows that the direct path works again. Watches of the entries
//! of a large data centre go to one budget server first, which shares them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use hyper::{Method, StatusCode};
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_platform::store::{
    self, CallError, StoreAnswer, StoreCall, StoreTransport, WatchRequest, is_served,
};

use super::direct_path::{DirectPath, send};
use super::peers::Peers;
use super::probed_path::{ProbePolicy, ProbedPath};
use crate::http_pool::HttpPool;

/// Path prefix of the store calls that a budget server relays.
pub const RELAY_PREFIX: &str = "/store";

/// Status with which a relay answers if the store did not: the call may have been carried out.
pub const STORE_SILENT: StatusCode = StatusCode::BAD_GATEWAY;

/// Status with which a relay answers if the call certainly did not reach the store, the same as
/// that of a store which refuses a call.
pub const STORE_NOT_REACHED: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

/// Longest wait for changes at the server that shares watches. A server that has become silent is
/// noticed after it, early enough for a change to be applied in time over another path.
const SHARED_WATCH_WAIT: Duration = Duration::from_millis(800);

/// Time for the answer to a shared watch beyond its wait.
const SHARED_WATCH_GRACE: Duration = Duration::from_millis(250);

/// Time after a shared watch failed for which this process watches the store itself.
const SHARED_WATCH_BACKOFF: Duration = Duration::from_millis(2_000);

/// How the direct path is given up while relays can take its place.
const PROBE_POLICY: ProbePolicy =
    ProbePolicy { max_failures: 1, interval: Duration::from_millis(1_000) };

/// Number of budget servers that are asked to relay one call.
const MAX_RELAYS: usize = 3;

/// First backoff of relaying after no relay reached the store, which is then unavailable to all
/// of them, so that each attempt would only cost it a further call. Doubles with each failure.
const MIN_RELAY_BACKOFF: Duration = Duration::from_millis(400);

/// Longest backoff of relaying.
const MAX_RELAY_BACKOFF: Duration = Duration::from_millis(1_600);

/// Path to the store that falls back to budget servers as relays.
pub struct RelayedPath {
    direct: Arc<ProbedPath>,
    pool: HttpPool,
    peers: Arc<Peers>,
    /// Data centre of this process.
    data_center: String,
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
        Arc::new(RelayedPath {
            pool: direct.pool(),
            direct: ProbedPath::spawn(direct, PROBE_POLICY),
            peers,
            data_center: data_center.to_owned(),
            key: rank::key_of(name),
            next_relay: AtomicU64::new(0),
            relay_backoff: Mutex::default(),
            shares_watches_at: Mutex::default(),
        })
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
        let is_direct_unavailable = self.direct.is_unavailable();
        if is_direct_unavailable && are_relays_backing_off {
            // No path works. The probe, which costs the store next to nothing, notices when one
            // does; all the calls of a large fleet would only keep the store busy.
            return Err(CallError::NotSent);
        }
        if !is_direct_unavailable {
            let answer = self.direct.attempt(&call).await;
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
