//! Stand-in for the platform's host list, which shows changes late and differs by viewer.
//!
//! Each process reads its list at `/viewers/NAME/hosts`, which can contain the addresses of
//! that process's own links through the fault proxy.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use rosemarymoor_lib::host_list::Host;
use rosemarymoor_lib::id::digest128;

use crate::server::{Handler, Reply, Server, answer, empty};

/// Running host-list service.
pub struct HostListStandIn {
    server: Server,
    shared: Arc<Shared>,
}

struct Shared {
    lag: Duration,
    down: Mutex<bool>,
    /// Lists in the order in which they were set, each with the time of the change.
    lists: Mutex<Vec<(Instant, Vec<Host>)>>,
    address_overrides: Mutex<Vec<AddressOverride>>,
    lists_sent: AtomicU64,
}

/// Address of a host that one viewer sees in place of the listed one.
struct AddressOverride {
    viewer: String,
    host: String,
    address: SocketAddr,
}

impl HostListStandIn {
    /// Starts a service that shows each change after `lag` and the first list at once.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be bound.
    pub async fn bind(lag: Duration) -> io::Result<HostListStandIn> {
        let shared = Arc::new(Shared {
            lag,
            down: Mutex::default(),
            lists: Mutex::default(),
            address_overrides: Mutex::default(),
            lists_sent: AtomicU64::new(0),
        });
        let server = Server::bind(Arc::new(Service(shared.clone()))).await?;
        Ok(HostListStandIn { server, shared })
    }

    /// Returns the URL of the list as `viewer` sees it.
    pub fn url(&self, viewer: &str) -> String {
        format!("{}/viewers/{viewer}/hosts", self.server.url())
    }

    /// Returns the HTTP server of the service.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Sets the current list, which viewers see after the lag.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.shared.lists.lock().expect("no holder panics").push((Instant::now(), hosts));
    }

    /// Sets the address at which `viewer` sees `host`.
    pub fn set_address(&self, viewer: &str, host: &str, address: SocketAddr) {
        let mut address_overrides = self.shared.address_overrides.lock().expect("no holder panics");
        address_overrides.retain(|known| known.viewer != viewer || known.host != host);
        let (viewer, host) = (viewer.to_owned(), host.to_owned());
        address_overrides.push(AddressOverride { viewer, host, address });
    }

    /// Returns the number of lists sent in full, without those answered 304.
    pub fn lists_sent(&self) -> u64 {
        self.shared.lists_sent.load(Ordering::Relaxed)
    }

    /// Sets whether every call is refused with 503.
    pub fn set_down(&self, down: bool) {
        *self.shared.down.lock().expect("no holder panics") = down;
    }
}

struct Service(Arc<Shared>);

#[async_trait]
impl Handler for Service {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        if *self.0.down.lock().expect("no holder panics") {
            return Ok(empty(503));
        }
        let path = req.uri().path().strip_prefix("/viewers/");
        let Some(viewer) = path.and_then(|path| path.strip_suffix("/hosts")) else {
            return Ok(empty(404));
        };
        let body = serde_json::to_vec(&self.0.hosts(viewer)).expect("hosts have string keys");
        let entity_tag = entity_tag(&body);
        if req.headers().get(IF_NONE_MATCH) == Some(&entity_tag) {
            return Ok(empty(304));
        }
        self.0.lists_sent.fetch_add(1, Ordering::Relaxed);
        let mut resp = answer(200, "application/json", body);
        resp.headers_mut().insert(ETAG, entity_tag);
        Ok(resp)
    }
}

/// Returns the quoted digest of a body, which identifies its content.
fn entity_tag(body: &[u8]) -> HeaderValue {
    let quoted = format!("\"{:032x}\"", digest128(&[body]));
    HeaderValue::from_str(&quoted).expect("hexadecimal digits are valid")
}

impl Shared {
    /// Returns the list that has reached the viewers, with the addresses that `viewer` sees.
    fn hosts(&self, viewer: &str) -> Vec<Host> {
        let lists = self.lists.lock().expect("no holder panics");
        let visible = lists.iter().rev().find(|(at, _)| at.elapsed() >= self.lag);
        let mut hosts = match visible.or(lists.first()) {
            Some((_, hosts)) => hosts.clone(),
            None => Vec::new(),
        };
        let address_overrides = self.address_overrides.lock().expect("no holder panics");
        for known in address_overrides.iter().filter(|known| known.viewer == viewer) {
            hosts
                .iter_mut()
                .filter(|host| host.name == known.host)
                .for_each(|host| host.address = known.address);
        }
        hosts
    }
}
