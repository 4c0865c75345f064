//! Stand-in for the platform's host list, which lags and differs by viewer.
//!
//! Each process asks under `/viewers/NAME/hosts`, so that it can be given the
//! addresses of its own links through the fault proxy.

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

/// Running host list.
pub struct HostListStandIn {
    server: Server,
    shared: Arc<Shared>,
}

struct Shared {
    lag: Duration,
    down: Mutex<bool>,
    /// Lists in the order in which they became true.
    lists: Mutex<Vec<(Instant, Vec<Host>)>>,
    addresses: Mutex<Vec<ViewedAddress>>,
    sent: AtomicU64,
}

struct ViewedAddress {
    viewer: String,
    host: String,
    address: SocketAddr,
}

impl HostListStandIn {
    /// Starts a service that shows each change after `lag`; the first list at once.
    pub async fn bind(lag: Duration) -> io::Result<HostListStandIn> {
        let shared = Arc::new(Shared {
            lag,
            down: Mutex::default(),
            lists: Mutex::default(),
            addresses: Mutex::default(),
            sent: AtomicU64::new(0),
        });
        let server = Server::bind(Arc::new(Service(shared.clone()))).await?;
        Ok(HostListStandIn { server, shared })
    }

    /// URL of the list as `viewer` sees it.
    pub fn url(&self, viewer: &str) -> String {
        format!("{}/viewers/{viewer}/hosts", self.server.url())
    }

    /// Port and address of the service.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Changes the true list.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.shared.lists.lock().expect("no holder panics").push((Instant::now(), hosts));
    }

    /// Address of `host` as `viewer` is to see it.
    pub fn set_address(&self, viewer: &str, host: &str, address: SocketAddr) {
        let mut addresses = self.shared.addresses.lock().expect("no holder panics");
        addresses.retain(|held| held.viewer != viewer || held.host != host);
        let (viewer, host) = (viewer.to_owned(), host.to_owned());
        addresses.push(ViewedAddress { viewer, host, address });
    }

    /// Lists sent in full, apart from answers that nothing changed.
    pub fn lists_sent(&self) -> u64 {
        self.shared.sent.load(Ordering::Relaxed)
    }

    /// Stops or resumes answering.
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
        let tag = entity_tag(&body);
        if req.headers().get(IF_NONE_MATCH) == Some(&tag) {
            return Ok(empty(304));
        }
        self.0.sent.fetch_add(1, Ordering::Relaxed);
        let mut reply = answer(200, "application/json", body);
        reply.headers_mut().insert(ETAG, tag);
        Ok(reply)
    }
}

fn entity_tag(body: &[u8]) -> HeaderValue {
    let tag = format!("\"{:032x}\"", digest128(&[body]));
    HeaderValue::from_str(&tag).expect("hexadecimal digits are valid")
}

impl Shared {
    fn hosts(&self, viewer: &str) -> Vec<Host> {
        let lists = self.lists.lock().expect("no holder panics");
        let shown = lists.iter().rev().find(|(at, _)| at.elapsed() >= self.lag);
        let mut hosts = match shown.or(lists.first()) {
            Some((_, hosts)) => hosts.clone(),
            None => Vec::new(),
        };
        let addresses = self.addresses.lock().expect("no holder panics");
        for held in addresses.iter().filter(|held| held.viewer == viewer) {
            hosts
                .iter_mut()
                .filter(|host| host.name == held.host)
                .for_each(|host| host.address = held.address);
        }
        hosts
    }
}
