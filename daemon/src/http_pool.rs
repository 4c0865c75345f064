//! Kept HTTP/1.1 connections to targets, to the store and between processes.
//!
//! A connection goes back to the pool only after a whole answer, and stays out
//! of use for a moment in which bytes that belong to no answer show up; hyper
//! closes it then. Dropping an [`Exchange`] closes its connection, so that a
//! target learns at once that its caller has left.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rosemarymoor_platform::request::keep_alive_timeout;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;

/// Time that an idle connection is kept where its peer names no time.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Part of the peer's idle time that is left unused, for clocks and the way there.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Time after an answer in which stray bytes show up before the next request.
const REST: Duration = Duration::from_millis(40);

/// Idle connections kept for one address.
const MAX_IDLE: usize = 32;

/// Time after which unacknowledged bytes end a connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Silence after which a connection is probed, and the pause between probes.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;

/// Time in which a finished connection has to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

type Sender = SendRequest<Full<Bytes>>;

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    NotSent,
    /// The connection broke after it may have carried the request.
    Broken,
}

/// Kept connection with its task.
struct Connection {
    sender: Sender,
    task: AbortHandle,
}

struct Idle {
    connection: Connection,
    since: Instant,
    keep: Duration,
}

#[derive(Default)]
struct Peers {
    /// Sorted by address.
    idle: Vec<(SocketAddr, Vec<Idle>)>,
}

impl Peers {
    /// Opens a place for an address, and drops those of addresses that are gone;
    /// answers its index.
    fn open(&mut self, address: SocketAddr) -> usize {
        for (_, idle) in &mut self.idle {
            idle.retain(Idle::is_usable);
        }
        self.idle.retain(|(_, idle)| !idle.is_empty());
        let at = self.idle.partition_point(|peer| peer.0 < address);
        self.idle.insert(at, (address, Vec::new()));
        at
    }
}

/// Pool of kept connections; clones share it.
#[derive(Clone, Default)]
pub struct HttpPool {
    peers: Arc<Mutex<Peers>>,
}

/// Answer whose body has still to be read.
pub struct Exchange {
    pub head: Parts,
    pub body: Incoming,
    /// Holds the connection until the body was read.
    pub lease: ConnectionLease,
}

/// Connection in use; dropping it closes the connection.
pub struct ConnectionLease {
    connection: Option<Connection>,
    pool: HttpPool,
    address: SocketAddr,
    keep: Duration,
}

impl HttpPool {
    /// Opens an empty pool.
    pub fn open() -> HttpPool {
        HttpPool::default()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// The caller bounds the wait; `connect_timeout` bounds a new connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        connect_timeout: Duration,
    ) -> Result<Exchange, SendError> {
        let mut req = req;
        loop {
            let (mut connection, is_kept) = match self.take_idle(address) {
                Some(connection) => (connection, true),
                None => (connect(address, connect_timeout).await?, false),
            };
            let mut lease = ConnectionLease {
                connection: None,
                pool: self.clone(),
                address,
                keep: DEFAULT_IDLE,
            };
            if connection.sender.ready().await.is_err() {
                connection.task.abort();
                if is_kept {
                    continue;
                }
                return Err(SendError::NotSent);
            }
            let answer = connection.sender.try_send_request(req);
            lease.connection = Some(connection);
            match answer.await {
                Ok(resp) => return Ok(lease.exchange(resp)),
                Err(mut err) => match err.take_message() {
                    Some(unsent) if is_kept => req = unsent,
                    Some(_) => return Err(SendError::NotSent),
                    None => return Err(SendError::Broken),
                },
            }
        }
    }

    /// Sends a request and reads its whole answer, up to `max_bytes`.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        connect_timeout: Duration,
        max_bytes: usize,
    ) -> Result<(StatusCode, HeaderMap, Bytes), SendError> {
        let exchange = self.send(address, req, connect_timeout).await?;
        let body = Limited::new(exchange.body, max_bytes).collect().await;
        let body = body.map_err(|_| SendError::Broken)?.to_bytes();
        exchange.lease.finish();
        Ok((exchange.head.status, exchange.head.headers, body))
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut peers = self.lock();
        let at = peers.idle.binary_search_by_key(&address, |peer| peer.0).ok()?;
        let idle = &mut peers.idle[at].1;
        idle.retain(Idle::is_usable);
        // The longest idle one first: it had most time to show stray bytes.
        let rested = idle.iter().position(|idle| idle.since.elapsed() >= REST)?;
        Some(idle.remove(rested).connection)
    }

    fn keep(&self, address: SocketAddr, connection: Connection, keep: Duration) {
        let mut peers = self.lock();
        let at = match peers.idle.binary_search_by_key(&address, |peer| peer.0) {
            Ok(at) => at,
            Err(_) => peers.open(address),
        };
        let idle = &mut peers.idle[at].1;
        if idle.len() >= MAX_IDLE {
            idle.remove(0);
        }
        idle.push(Idle { connection, since: Instant::now(), keep });
    }

    fn lock(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Idle {
    fn is_usable(&self) -> bool {
        !self.connection.sender.is_closed() && self.since.elapsed() < self.keep
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ConnectionLease {
    fn exchange(mut self, resp: Response<Incoming>) -> Exchange {
        let (head, body) = resp.into_parts();
        if let Some(timeout) = keep_alive_timeout(&head.headers) {
            self.keep = timeout.saturating_sub(IDLE_MARGIN);
        }
        Exchange { head, body, lease: self }
    }

    /// Gives the connection back after its answer was read to the end.
    pub fn finish(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        if self.keep.is_zero() {
            return;
        }
        let (pool, address, keep) = (self.pool.clone(), self.address, self.keep);
        tokio::spawn(async move {
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                pool.keep(address, connection, keep);
            }
        });
    }
}

async fn connect(address: SocketAddr, timeout: Duration) -> Result<Connection, SendError> {
    let stream = tokio::time::timeout(timeout, open_stream(address)).await;
    let stream = match stream {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) => {
            log::debug!("event=connect_failed address={address} reason={err}");
            return Err(SendError::NotSent);
        }
        Err(_) => {
            log::debug!("event=connect_failed address={address} reason=timeout");
            return Err(SendError::NotSent);
        }
    };
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| SendError::NotSent)?;
    let task = tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("event=connection_ended address={address} reason={err}");
        }
    });
    Ok(Connection { sender, task: task.abort_handle() })
}

async fn open_stream(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let stream = socket.connect(address).await?;
    set_socket_options(&stream);
    // A close takes back what the peer has not read yet: a request whose caller
    // has left must not be delivered when a silent host wakes up.
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Sets the options by which a silent peer is noticed.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive =
        TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER).with_retries(PROBES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(USER_TIMEOUT)));
    if let Err(err) = set {
        log::debug!("event=socket_option_failed reason={err}");
    }
}
