//! Stand-in for the platform's key-value service, with injected faults.
//!
//! It serves the HTTP interface through which the fleet stores its shared state, such as the
//! budget ledger and the configuration. Tests and the bench read the stored values directly.

mod store;

use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use rosemarymoor_lib::kv_store::MAX_VALUE_BYTES;
use serde::Serialize;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::seeded_rng::SeededRng;
use crate::server::{Body, DropConnection, Handler, Reply, Server};
use crate::server::{answer, empty, query_param, read_body};
use store::{Put, Store};

const KV_PATH: &str = "/v1/kv/";
const LEASES_PATH: &str = "/v1/leases";
const REVISION_HEADER: &str = "x-revision";
/// Interval between checks for expired leases.
const LEASE_SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a hanging call checks whether the outage has ended.
const HANG_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Failure of every call to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Refuses every call with 503.
    Refuse,
    /// Closes every connection.
    Drop,
    /// Leaves every call without an answer, and closes its connection when the outage ends.
    Hang,
}

/// Faults that are injected into the service.
///
/// Probabilities range from 0 to 1. The default injects none.
#[derive(Clone, Debug, Default)]
pub struct KvFaults {
    /// Failure of every call, if any.
    pub outage: Option<Outage>,
    /// Time before a call takes effect.
    pub delay: Duration,
    /// Probability that a write or lease call takes effect but its connection is closed
    /// without an answer.
    pub lose_answers: f64,
    /// Probability that a write's connection is closed without an answer and the write
    /// takes effect only after [`KvFaults::late_by`].
    pub late_writes: f64,
    /// Additional delay of a late write.
    pub late_by: Duration,
    /// Calls per second; the service refuses those above with 503.
    pub rate_limit: Option<u32>,
}

/// Calls that the service has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvCounts {
    /// Reads of one key.
    pub reads: u64,
    /// Conditional writes, successful or not.
    pub writes: u64,
    /// Reads that wait for a change of a key.
    pub watches: u64,
    /// Calls that open, renew or close a lease.
    pub lease_calls: u64,
    /// Writes whose expected revision was not the current one.
    pub conflicts: u64,
    /// Calls answered 503 by an outage or the rate limit.
    pub refused: u64,
    /// Bytes of the values that writes carried.
    pub bytes_in: u64,
    /// Bytes of the values that reads and watches returned.
    pub bytes_out: u64,
}

/// Calls for the keys of one area; a key's area is its first path segment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AreaCounts {
    /// First path segment of the keys.
    pub area: String,
    /// Reads of one key.
    pub reads: u64,
    /// Conditional writes, successful or not.
    pub writes: u64,
    /// Reads that wait for a change of a key.
    pub watches: u64,
}

/// Running key-value service.
pub struct KvStandIn {
    server: Server,
    shared: Arc<Shared>,
    sweep_task: JoinHandle<()>,
}

struct Shared {
    store: Mutex<Store>,
    /// Increases with each change of the store, to wake the watches.
    version_tx: watch::Sender<u64>,
    faults: Mutex<KvFaults>,
    counts: Mutex<KvCounts>,
    /// Sorted by area.
    areas: Mutex<Vec<AreaCounts>>,
    /// Start of the current second of the rate limit and the calls since then.
    rate_window: Mutex<(Instant, u32)>,
    rng: SeededRng,
}

impl KvStandIn {
    /// Starts an empty service; `seed` determines its random faults.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be bound.
    pub async fn bind(seed: u64) -> io::Result<KvStandIn> {
        let shared = Arc::new(Shared {
            store: Mutex::default(),
            version_tx: watch::Sender::new(0),
            faults: Mutex::default(),
            counts: Mutex::default(),
            areas: Mutex::default(),
            rate_window: Mutex::new((Instant::now(), 0)),
            rng: SeededRng::new(seed),
        });
        let server = Server::bind(Arc::new(Service(shared.clone()))).await?;
        let sweep_task = tokio::spawn(sweep_leases(shared.clone()));
        Ok(KvStandIn { server, shared, sweep_task })
    }

    /// Returns the HTTP server of the service.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut KvFaults)) {
        change(&mut self.shared.faults.lock().expect("no holder panics"));
    }

    /// Returns the calls received so far.
    pub fn counts(&self) -> KvCounts {
        *self.shared.counts.lock().expect("no holder panics")
    }

    /// Returns the calls received so far by the area of their key, sorted by area.
    pub fn area_counts(&self) -> Vec<AreaCounts> {
        self.shared.areas.lock().expect("no holder panics").clone()
    }

    /// Returns the stored value of a key; no fault applies.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.shared.store().get(key).map(|stored| stored.value.clone())
    }

    /// Returns the keys that begin with `prefix`, sorted; no fault applies.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.shared.store().keys(prefix)
    }
}

impl Drop for KvStandIn {
    fn drop(&mut self) {
        self.sweep_task.abort();
    }
}

struct Service(Arc<Shared>);

#[async_trait]
impl Handler for Service {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let shared = self.0.clone();
        // A received call takes effect even if its caller disconnects.
        let serving = tokio::spawn(async move { shared.serve(req).await });
        serving.await.unwrap_or(Err(DropConnection))
    }
}

impl Shared {
    async fn serve(self: Arc<Shared>, req: Request<Incoming>) -> Reply {
        let faults = self.faults.lock().expect("no holder panics").clone();
        tokio::time::sleep(faults.delay).await;
        self.check_outage(&faults).await?;
        if faults.outage == Some(Outage::Refuse) || self.exceeds_rate_limit(faults.rate_limit) {
            self.count(|counts| counts.refused += 1);
            return Ok(empty(503));
        }
        let path = req.uri().path().to_owned();
        if let Some(key) = path.strip_prefix(KV_PATH) {
            return match *req.method() {
                Method::GET => self.get(key, &req).await,
                Method::PUT => self.put(key, req, &faults).await,
                _ => Ok(empty(405)),
            };
        }
        match path.strip_prefix(LEASES_PATH) {
            Some(id) => {
                self.count(|counts| counts.lease_calls += 1);
                let resp = self.lease(id.trim_start_matches('/'), &req);
                if self.rng.random_bool(faults.lose_answers) {
                    Err(DropConnection)
                } else {
                    Ok(resp)
                }
            }
            None => Ok(empty(404)),
        }
    }

    fn store(&self) -> std::sync::MutexGuard<'_, Store> {
        self.store.lock().expect("no holder panics")
    }

    /// Updates the counts of all calls.
    fn count(&self, change: impl FnOnce(&mut KvCounts)) {
        change(&mut self.counts.lock().expect("no holder panics"));
    }

    /// Updates the counts of the calls to the area of `key`.
    fn count_area(&self, key: &str, change: impl FnOnce(&mut AreaCounts)) {
        let area = key.split('/').next().unwrap_or_default();
        let mut areas = self.areas.lock().expect("no holder panics");
        let index = areas.binary_search_by(|counts| counts.area.as_str().cmp(area)).unwrap_or_else(
            |index| {
                let counts = AreaCounts { area: area.to_owned(), ..AreaCounts::default() };
                areas.insert(index, counts);
                index
            },
        );
        change(&mut areas[index]);
    }

    /// Fails without an answer in an outage that drops or hangs calls.
    async fn check_outage(&self, faults: &KvFaults) -> Result<(), DropConnection> {
        match faults.outage {
            Some(Outage::Drop) => Err(DropConnection),
            Some(Outage::Hang) => {
                while self.outage() == Some(Outage::Hang) {
                    tokio::time::sleep(HANG_CHECK_INTERVAL).await;
                }
                Err(DropConnection)
            }
            Some(Outage::Refuse) | None => Ok(()),
        }
    }

    fn outage(&self) -> Option<Outage> {
        self.faults.lock().expect("no holder panics").outage
    }

    /// Counts a call and returns whether it exceeds the limit of calls in this second.
    fn exceeds_rate_limit(&self, limit: Option<u32>) -> bool {
        let Some(limit) = limit else {
            return false;
        };
        let mut rate_window = self.rate_window.lock().expect("no holder panics");
        if rate_window.0.elapsed() >= Duration::from_secs(1) {
            *rate_window = (Instant::now(), 0);
        }
        rate_window.1 += 1;
        rate_window.1 > limit
    }

    /// Wakes the watches after a change of the store.
    fn notify(&self) {
        self.version_tx.send_modify(|version| *version += 1);
    }

    /// Reads a key; with the parameter `after`, waits until its revision differs from it.
    async fn get(&self, key: &str, req: &Request<Incoming>) -> Reply {
        let after: Option<u64> = query_param(req, "after").and_then(|text| text.parse().ok());
        let Some(after) = after else {
            self.count(|counts| counts.reads += 1);
            self.count_area(key, |counts| counts.reads += 1);
            return Ok(self.read(key));
        };
        self.count(|counts| counts.watches += 1);
        self.count_area(key, |counts| counts.watches += 1);
        let wait_ms = query_param(req, "wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut version_rx = self.version_tx.subscribe();
        let differs = async {
            while self.store().revision(key) == after {
                if version_rx.changed().await.is_err() {
                    break;
                }
            }
        };
        let waited = tokio::time::timeout(Duration::from_millis(wait_ms), differs).await;
        // An outage that began during the wait also fails the watch.
        let faults = self.faults.lock().expect("no holder panics").clone();
        self.check_outage(&faults).await?;
        Ok(if waited.is_ok() { self.read(key) } else { empty(304) })
    }

    fn read(&self, key: &str) -> Response<Body> {
        let Some((revision, value)) =
            self.store().get(key).map(|stored| (stored.revision, stored.value.clone()))
        else {
            return empty(404);
        };
        self.count(|counts| counts.bytes_out += value.len() as u64);
        with_revision(answer(200, "application/octet-stream", value), revision)
    }

    async fn put(
        self: &Arc<Shared>,
        key: &str,
        req: Request<Incoming>,
        faults: &KvFaults,
    ) -> Reply {
        self.count(|counts| counts.writes += 1);
        self.count_area(key, |counts| counts.writes += 1);
        let expected = query_param(&req, "expect").and_then(|text| text.parse().ok());
        let lease = query_param(&req, "lease").and_then(|text| text.parse().ok());
        let Some(expected) = expected else {
            return Ok(empty(400));
        };
        let value = read_body(req).await?.to_vec();
        self.count(|counts| counts.bytes_in += value.len() as u64);
        if value.len() > MAX_VALUE_BYTES {
            return Ok(empty(413));
        }
        if self.rng.random_bool(faults.late_writes) {
            self.write_late(key.to_owned(), expected, value, lease, faults.late_by);
            return Err(DropConnection);
        }
        let resp = self.write(key, expected, value, lease);
        if self.rng.random_bool(faults.lose_answers) { Err(DropConnection) } else { Ok(resp) }
    }

    /// Writes after `late_by`, when the caller's connection is already closed.
    fn write_late(
        self: &Arc<Shared>,
        key: String,
        expected: u64,
        value: Vec<u8>,
        lease: Option<u64>,
        late_by: Duration,
    ) {
        let shared = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(late_by).await;
            shared.write(&key, expected, value, lease);
        });
    }

    fn write(
        &self,
        key: &str,
        expected: u64,
        value: Vec<u8>,
        lease: Option<u64>,
    ) -> Response<Body> {
        let put = self.store().put(key, expected, value, lease);
        match put {
            Put::Done(revision) => {
                self.notify();
                with_revision(empty(200), revision)
            }
            Put::Conflict(revision) => {
                self.count(|counts| counts.conflicts += 1);
                with_revision(empty(409), revision)
            }
            Put::LeaseGone => empty(410),
        }
    }

    /// Opens, renews or closes a lease.
    fn lease(&self, id: &str, req: &Request<Incoming>) -> Response<Body> {
        if *req.method() == Method::POST {
            let ttl_ms = query_param(req, "ttl_ms").and_then(|text| text.parse().ok());
            let ttl = Duration::from_millis(ttl_ms.unwrap_or(0));
            let id = self.store().open_lease(ttl, Instant::now());
            return answer(200, "text/plain", id.to_string());
        }
        let Ok(id) = id.parse() else {
            return empty(404);
        };
        let found = match *req.method() {
            Method::PUT => self.store().renew_lease(id, Instant::now()),
            Method::DELETE => self.store().close_lease(id),
            _ => return empty(405),
        };
        self.notify();
        empty(if found { 200 } else { 404 })
    }
}

fn with_revision(mut resp: Response<Body>, revision: u64) -> Response<Body> {
    resp.headers_mut().insert(REVISION_HEADER, revision.into());
    resp
}

async fn sweep_leases(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LEASE_SWEEP_INTERVAL).await;
        let expired = shared.store().expire_leases(Instant::now());
        if expired {
            shared.notify();
        }
    }
}
