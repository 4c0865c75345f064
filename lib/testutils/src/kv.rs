//! Stand-in for the platform's key-value service.

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
const LEASE_SWEEP: Duration = Duration::from_millis(50);
const HANG_CHECK: Duration = Duration::from_millis(50);

/// How the service fails as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Refuses every call with 503.
    Refuse,
    /// Closes every connection.
    Drop,
    /// Never answers.
    Hang,
}

/// Faults of the service.
#[derive(Clone, Debug, Default)]
pub struct KvFaults {
    pub outage: Option<Outage>,
    /// Time before a call takes effect.
    pub delay: Duration,
    /// Probability that a write takes effect but its connection drops.
    pub lose_answers: f64,
    /// Probability that a write's connection drops and it takes effect only
    /// after [`KvFaults::late_by`].
    pub late_writes: f64,
    pub late_by: Duration,
    /// Calls a second above which the service refuses.
    pub rate_limit: Option<u32>,
}

/// Calls that the service has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvCounts {
    pub reads: u64,
    pub writes: u64,
    pub watches: u64,
    pub lease_calls: u64,
    pub conflicts: u64,
    pub refused: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

/// Calls for the keys under one area, which is a key's first segment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AreaCounts {
    pub area: String,
    pub reads: u64,
    pub writes: u64,
    pub watches: u64,
}

/// Running key-value service.
pub struct KvStandIn {
    server: Server,
    shared: Arc<Shared>,
    sweeping: JoinHandle<()>,
}

struct Shared {
    store: Mutex<Store>,
    changed: watch::Sender<u64>,
    faults: Mutex<KvFaults>,
    counts: Mutex<KvCounts>,
    /// Sorted by area.
    areas: Mutex<Vec<AreaCounts>>,
    window: Mutex<(Instant, u32)>,
    rng: SeededRng,
}

impl KvStandIn {
    /// Starts an empty service; `seed` decides its random faults.
    pub async fn bind(seed: u64) -> io::Result<KvStandIn> {
        let shared = Arc::new(Shared {
            store: Mutex::default(),
            changed: watch::Sender::new(0),
            faults: Mutex::default(),
            counts: Mutex::default(),
            areas: Mutex::default(),
            window: Mutex::new((Instant::now(), 0)),
            rng: SeededRng::new(seed),
        });
        let server = Server::bind(Arc::new(Service(shared.clone()))).await?;
        let sweeping = tokio::spawn(sweep_leases(shared.clone()));
        Ok(KvStandIn { server, shared, sweeping })
    }

    /// Port and address of the service.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut KvFaults)) {
        change(&mut self.shared.faults.lock().expect("no holder panics"));
    }

    /// Calls seen so far.
    pub fn counts(&self) -> KvCounts {
        *self.shared.counts.lock().expect("no holder panics")
    }

    /// Calls seen so far, by the area of their key.
    pub fn area_counts(&self) -> Vec<AreaCounts> {
        self.shared.areas.lock().expect("no holder panics").clone()
    }

    /// Value of a key as the service holds it, past all faults.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.shared.store().get(key).map(|held| held.value.clone())
    }

    /// Keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.shared.store().keys(prefix)
    }
}

impl Drop for KvStandIn {
    fn drop(&mut self) {
        self.sweeping.abort();
    }
}

struct Service(Arc<Shared>);

#[async_trait]
impl Handler for Service {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let shared = self.0.clone();
        // A call that was taken in takes effect although its caller goes away.
        let serving = tokio::spawn(async move { shared.serve(req).await });
        serving.await.unwrap_or(Err(DropConnection))
    }
}

impl Shared {
    async fn serve(self: Arc<Shared>, req: Request<Incoming>) -> Reply {
        let faults = self.faults.lock().expect("no holder panics").clone();
        tokio::time::sleep(faults.delay).await;
        self.check_outage(&faults).await?;
        if faults.outage == Some(Outage::Refuse) || self.over_rate(faults.rate_limit) {
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

    fn count(&self, change: impl FnOnce(&mut KvCounts)) {
        change(&mut self.counts.lock().expect("no holder panics"));
    }

    fn count_area(&self, key: &str, change: impl FnOnce(&mut AreaCounts)) {
        let area = key.split('/').next().unwrap_or_default();
        let mut areas = self.areas.lock().expect("no holder panics");
        let at = areas.binary_search_by(|held| held.area.as_str().cmp(area)).unwrap_or_else(|at| {
            let counts = AreaCounts { area: area.to_owned(), ..AreaCounts::default() };
            areas.insert(at, counts);
            at
        });
        change(&mut areas[at]);
    }

    async fn check_outage(&self, faults: &KvFaults) -> Result<(), DropConnection> {
        match faults.outage {
            Some(Outage::Drop) => Err(DropConnection),
            Some(Outage::Hang) => {
                while self.outage() == Some(Outage::Hang) {
                    tokio::time::sleep(HANG_CHECK).await;
                }
                Err(DropConnection)
            }
            Some(Outage::Refuse) | None => Ok(()),
        }
    }

    fn outage(&self) -> Option<Outage> {
        self.faults.lock().expect("no holder panics").outage
    }

    fn over_rate(&self, limit: Option<u32>) -> bool {
        let Some(limit) = limit else {
            return false;
        };
        let mut window = self.window.lock().expect("no holder panics");
        if window.0.elapsed() >= Duration::from_secs(1) {
            *window = (Instant::now(), 0);
        }
        window.1 += 1;
        window.1 > limit
    }

    fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

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
        let mut changed = self.changed.subscribe();
        let differs = async {
            while self.store().revision(key) == after {
                if changed.changed().await.is_err() {
                    break;
                }
            }
        };
        let waited = tokio::time::timeout(Duration::from_millis(wait_ms), differs).await;
        // An outage that began meanwhile also cuts the waiting watch.
        let faults = self.faults.lock().expect("no holder panics").clone();
        self.check_outage(&faults).await?;
        Ok(if waited.is_ok() { self.read(key) } else { empty(304) })
    }

    fn read(&self, key: &str) -> Response<Body> {
        let Some((revision, value)) =
            self.store().get(key).map(|held| (held.revision, held.value.clone()))
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
        tokio::time::sleep(LEASE_SWEEP).await;
        let swept = shared.store().expire_leases(Instant::now());
        if swept {
            shared.notify();
        }
    }
}
