//! Pool of HTTP/1.1 connections to targets, to the store and between processes.
//!
//! A connection returns to the pool only after a complete answer. It is reused only after a
//! short pause: if bytes that belong to no answer arrive meanwhile, hyper closes it. Dropping an
//! [`Exchange`] closes its connection, so that a target notices at once that its caller has
//! left.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rosemarymoor_lib::answer_traffic::{CountedBody, MAX_BUFFER_BYTES, Traffic};
use rosemarymoor_lib::counted_stream::CountedStream;
use rosemarymoor_lib::http_client::ConnectionReuse;
use rosemarymoor_lib::peer_memory::{PeerGroup, PeerMemory};
use rosemarymoor_platform::answer::ConnectionAge;
use rosemarymoor_platform::request::keep_alive_timeout;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;

/// Time after which an idle connection is dropped if its peer sends no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time by which a connection is dropped before the peer's keep-alive timeout, to allow for
/// network delay and clock differences.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Pause after an answer before its connection is reused, in which stray bytes are detected.
const MIN_IDLE: Duration = Duration::from_millis(40);

/// Maximum number of idle connections for one address.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Time after which a connection with unacknowledged bytes is closed.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the first TCP keep-alive probe, and the pause between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Longest wait for a connection to become ready again after an answer.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Client side of an HTTP/1.1 connection.
type Sender = SendRequest<Full<Bytes>>;

/// Why a request failed without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    NotSent,
    /// The connection broke after it may have carried the request.
    Broken,
}

/// HTTP connection and the task that drives it; dropping it closes the connection.
struct Connection {
    sender: Sender,
    traffic: Traffic,
    task: AbortHandle,
}

/// Connection in the pool.
struct IdleConnection {
    connection: Connection,
    since: Instant,
    idle_timeout: Duration,
}

/// Idle connections by address.
#[derive(Default)]
struct PooledConnections {
    /// Sorted by address; the connections of an address, longest idle first.
    by_address: Vec<(SocketAddr, Vec<IdleConnection>)>,
}

impl PooledConnections {
    /// Inserts an address without connections and returns its index; removes unusable connections
    /// and the addresses that are left without any.
    fn insert(&mut self, address: SocketAddr) -> usize {
        for (_, idle) in &mut self.by_address {
            idle.retain(IdleConnection::is_usable);
        }
        self.by_address.retain(|(_, idle)| !idle.is_empty());
        let at = self.by_address.partition_point(|peer| peer.0 < address);
        self.by_address.insert(at, (address, Vec::new()));
        at
    }
}

/// Pool of idle connections; clones share it.
#[derive(Clone)]
pub struct HttpPool {
    idle: Arc<Mutex<PooledConnections>>,
    memory: PeerMemory,
}

/// What marks the end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// Its length, given in the head.
    Length,
    /// Its last chunk.
    LastChunk,
    /// The end of the connection, which also ends an answer that was broken off.
    Connection,
}

impl BodyEnd {
    /// Returns the name in the log.
    pub fn label(self) -> &'static str {
        match self {
            BodyEnd::Length => "length",
            BodyEnd::LastChunk => "chunk",
            BodyEnd::Connection => "connection",
        }
    }
}

/// Answer whose body has not been read yet.
pub struct Exchange {
    pub head: Parts,
    pub body: CountedBody,
    /// Whether the connection carried an earlier exchange.
    pub connection: ConnectionAge,
    /// Holds the connection until the body has been read.
    pub lease: ConnectionLease,
}

/// Connection in use; dropping it closes the connection.
pub struct ConnectionLease {
    connection: Option<Connection>,
    age: ConnectionAge,
    pool: HttpPool,
    address: SocketAddr,
    idle_timeout: Duration,
}

impl Exchange {
    /// Returns what marks the end of the body.
    pub fn body_end(&self) -> BodyEnd {
        let encodings = self.head.headers.get_all(TRANSFER_ENCODING);
        if encodings.iter().any(|value| value.as_bytes().ends_with(b"chunked")) {
            BodyEnd::LastChunk
        } else if self.head.headers.contains_key(CONTENT_LENGTH) {
            BodyEnd::Length
        } else {
            BodyEnd::Connection
        }
    }
}

impl HttpPool {
    /// Creates an empty pool, for calls to targets, within the memory of the smallest host.
    pub fn open() -> HttpPool {
        HttpPool::within(&PeerMemory::default())
    }

    /// Creates an empty pool, for calls to targets, whose answers take shares of `memory`.
    pub fn within(memory: &PeerMemory) -> HttpPool {
        HttpPool { idle: Arc::default(), memory: memory.for_group(PeerGroup::Targets) }
    }

    /// Returns the same pool for calls to another group of peers.
    pub fn for_group(&self, group: PeerGroup) -> HttpPool {
        HttpPool { idle: self.idle.clone(), memory: self.memory.for_group(group) }
    }

    /// Returns the memory for what peers send; all pools of a process share it.
    pub fn memory(&self) -> &PeerMemory {
        &self.memory
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// `connect_timeout` limits the opening of a new connection; the caller has to limit the
    /// wait for the answer. An idle connection that closed before it carried the request is
    /// replaced by another. With [`ConnectionReuse::Never`] no idle connection is used.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`], which says whether the request may have been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        connect_timeout: Duration,
        reuse: ConnectionReuse,
    ) -> Result<Exchange, SendError> {
        let mut req = req;
        loop {
            let idle = match reuse {
                ConnectionReuse::Pooled => self.take_idle(address),
                ConnectionReuse::Never => None,
            };
            let (mut connection, age) = match idle {
                Some(connection) => (connection, ConnectionAge::Kept),
                None => {
                    let connection = connect(address, connect_timeout, &self.memory).await?;
                    (connection, ConnectionAge::New)
                }
            };
            let is_reused = age == ConnectionAge::Kept;
            let mut lease = ConnectionLease {
                connection: None,
                age,
                pool: self.clone(),
                address,
                idle_timeout: DEFAULT_IDLE_TIMEOUT,
            };
            if connection.sender.ready().await.is_err() {
                connection.task.abort();
                if is_reused {
                    continue;
                }
                return Err(SendError::NotSent);
            }
            connection.traffic.reset();
            let answer = connection.sender.try_send_request(req);
            lease.connection = Some(connection);
            match answer.await {
                Ok(resp) => return Ok(lease.exchange(resp)),
                Err(mut err) => match err.take_message() {
                    Some(unsent) if is_reused => req = unsent,
                    Some(_) => return Err(SendError::NotSent),
                    None => return Err(SendError::Broken),
                },
            }
        }
    }

    /// Sends a request and reads its complete answer, up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Broken`] also if the body is incomplete, exceeds `max_bytes` or finds no room in
    /// the memory.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        connect_timeout: Duration,
        max_bytes: usize,
    ) -> Result<(StatusCode, HeaderMap, Bytes), SendError> {
        let reuse = ConnectionReuse::Pooled;
        let exchange = self.send(address, req, connect_timeout, reuse).await?;
        let body = self.memory.read(exchange.body, max_bytes).await;
        let body = body.map_err(|_| SendError::Broken)?;
        exchange.lease.finish();
        Ok((exchange.head.status, exchange.head.headers, body))
    }

    /// Takes a connection that may be reused now out of the pool.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut all_idle = self.lock();
        let at = all_idle.by_address.binary_search_by_key(&address, |peer| peer.0).ok()?;
        let idle = &mut all_idle.by_address[at].1;
        idle.retain(IdleConnection::is_usable);
        // Prefers the longest idle connection: stray bytes had the most time to arrive on it.
        let index = idle.iter().position(|idle| idle.since.elapsed() >= MIN_IDLE)?;
        Some(idle.remove(index).connection)
    }

    /// Adds an idle connection; drops the longest idle one of the address if there are too many.
    fn put_idle(&self, address: SocketAddr, connection: Connection, idle_timeout: Duration) {
        let mut all_idle = self.lock();
        let at = match all_idle.by_address.binary_search_by_key(&address, |peer| peer.0) {
            Ok(at) => at,
            Err(_) => all_idle.insert(address),
        };
        let idle = &mut all_idle.by_address[at].1;
        if idle.len() >= MAX_IDLE_CONNECTIONS {
            idle.remove(0);
        }
        idle.push(IdleConnection { connection, since: Instant::now(), idle_timeout });
    }

    fn lock(&self) -> MutexGuard<'_, PooledConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        !self.connection.sender.is_closed() && self.since.elapsed() < self.idle_timeout
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
            self.idle_timeout = timeout.saturating_sub(IDLE_MARGIN);
        }
        let traffic = self.connection.as_ref().map(|connection| connection.traffic.clone());
        let traffic = traffic.unwrap_or_else(|| Traffic::open(&self.pool.memory));
        traffic.end_head();
        let body = CountedBody::new(body, traffic);
        Exchange { head, body, connection: self.age, lease: self }
    }

    /// Returns the connection to the pool after its answer has been read to the end.
    pub fn finish(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        if self.idle_timeout.is_zero() {
            return;
        }
        let (pool, address, idle_timeout) = (self.pool.clone(), self.address, self.idle_timeout);
        tokio::spawn(async move {
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                pool.put_idle(address, connection, idle_timeout);
            }
        });
    }
}

/// Opens an HTTP connection and spawns its task.
async fn connect(
    address: SocketAddr,
    timeout: Duration,
    memory: &PeerMemory,
) -> Result<Connection, SendError> {
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
    let traffic = Traffic::open(memory);
    let stream = CountedStream::new(stream, Arc::new(traffic.clone()));
    let mut http = http1::Builder::new();
    let handshake = http.max_buf_size(MAX_BUFFER_BYTES).handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| SendError::NotSent)?;
    let task = tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("event=connection_ended address={address} reason={err}");
        }
    });
    Ok(Connection { sender, traffic, task: task.abort_handle() })
}

/// Opens a TCP connection with the pool's socket options.
async fn open_stream(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let stream = socket.connect(address).await?;
    set_socket_options(&stream);
    // Closing with a zero linger resets the connection and discards what the peer has not
    // read: a request whose caller has left must not be delivered once an unresponsive host
    // recovers.
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Disables Nagle's algorithm and sets the timeouts that detect an unresponsive peer.
///
/// A failure is logged; the connection is used nevertheless.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(USER_TIMEOUT)));
    if let Err(err) = set {
        log::debug!("event=socket_option_failed reason={err}");
    }
}
