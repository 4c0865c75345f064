//! HTTP/1.1 servers of a process: listening, connection limits and graceful shutdown.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use rosemarymoor_lib::counted_stream::CountedStream;
use rosemarymoor_lib::head_memory::HeadMemory;
use rosemarymoor_lib::peer_memory::{MemoryShare, NoRoom, PeerMemory};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::http_pool::set_socket_options;
use crate::idle_connections::{IdleConnection, IdleConnections, RunningBody};

/// Longest wait for an address that is in use.
const ADDRESS_WAIT: Duration = Duration::from_secs(3);

/// Time from one attempt to bind an address that is in use to the next.
const ADDRESS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Pause after a failed accept, for example while no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time after the close of a server or a connection in which requests that have arrived are read.
const READ_TIME: Duration = Duration::from_millis(50);

/// Longest wait for open connections to end when a server closes.
///
/// It covers the last bytes of finished answers; running requests are waited for earlier, by
/// drains with their own time limits.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Body of an answer; an error in it closes the connection before the answer is complete.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// Returns a body whose bytes are all available.
pub fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Memory that an open connection takes beside what exceeds its buffer, in bytes.
const CONNECTION_BYTES: usize = 14 << 10;

/// Part of it that is the buffer for what arrives, in bytes.
const BUFFER_BYTES: usize = 8 << 10;

/// Longest wait of a new connection for the room of one that is closed for it.
const ROOM_TIMEOUT: Duration = Duration::from_millis(200);

/// Limits of one connection.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Time in which the head of the next request must arrive.
    pub idle_timeout: Duration,
    /// Buffer size in bytes, which limits the size of a request's head; hyper's default if
    /// `None`.
    pub max_buffer_bytes: Option<usize>,
    /// Memory of which all connections take shares; without room for a new one, idle ones are closed.
    pub memory: PeerMemory,
}

impl ConnectionLimits {
    /// Creates limits that close idle connections, and share a memory of their own.
    pub fn idle(idle_timeout: Duration) -> ConnectionLimits {
        ConnectionLimits::idle_within(idle_timeout, &PeerMemory::default())
    }

    /// Creates limits that close idle connections, and share `memory`.
    pub fn idle_within(idle_timeout: Duration, memory: &PeerMemory) -> ConnectionLimits {
        ConnectionLimits { idle_timeout, max_buffer_bytes: None, memory: memory.clone() }
    }

    /// Returns the limits of a server whose connections all have the same.
    pub fn for_all(self) -> impl Fn() -> ConnectionLimits + Send + 'static {
        move || self.clone()
    }
}

/// Connection on which a request came; an extension of the request.
#[derive(Clone, Copy, Debug)]
pub struct ServedConnection {
    /// Number of requests read from it, this one included.
    pub requests: u32,
}

/// Binds an address, even while connections of an earlier process at it are still closing.
///
/// # Errors
///
/// Returns an error if the address is in use or cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Binds an address as [`bind`] does; waits while it is in use, since a process that was there before may
/// still be ending.
///
/// # Errors
///
/// Returns an error if the address is in use for longer than [`ADDRESS_WAIT`] or cannot be bound.
pub async fn bind_when_free(address: SocketAddr) -> io::Result<TcpListener> {
    let give_up_at = Instant::now() + ADDRESS_WAIT;
    let mut has_waited = false;
    loop {
        match bind(address) {
            Err(err) if err.kind() == io::ErrorKind::AddrInUse && Instant::now() < give_up_at => {
                if !has_waited {
                    log::warn!("event=address_in_use address={address}");
                }
                has_waited = true;
                tokio::time::sleep(ADDRESS_POLL_INTERVAL).await;
            }
            result => return result,
        }
    }
}

/// How far a server is with its close.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CloseStage {
    Serving,
    /// No connection is accepted; open ones end with their answers.
    Closing,
    /// Open connections are dropped.
    Aborted,
}

/// Running HTTP server; dropping it leaves it running.
pub struct HttpServer {
    stage: watch::Sender<CloseStage>,
}

impl HttpServer {
    /// Serves connections; `limits` is called for each new connection and `handle` for each
    /// request.
    pub fn spawn<L, H, F, B>(listener: TcpListener, limits: L, handle: H) -> HttpServer
    where
        L: Fn() -> ConnectionLimits + Send + 'static,
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body + Send + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let (stage, stages) = watch::channel(CloseStage::Serving);
        let handle = Arc::new(handle);
        tokio::spawn(async move {
            let mut closing = stages.clone();
            let idle = IdleConnections::default();
            loop {
                let stream = tokio::select! {
                    stream = accept(&listener) => stream,
                    () = reached(&mut closing, CloseStage::Closing) => break,
                };
                // It waits here, where it takes no memory, for the room of others.
                if let Ok(connection) = open(stream, limits(), &idle).await {
                    tokio::spawn(serve(connection, handle.clone(), stages.clone()));
                }
            }
            for stream in waiting(listener) {
                if let Ok(connection) = open(stream, limits(), &idle).await {
                    tokio::spawn(serve(connection, handle.clone(), stages.clone()));
                }
            }
        });
        HttpServer { stage }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        // The task that accepts them has a receiver of its own and one to wait with.
        self.stage.receiver_count().saturating_sub(2)
    }

    /// Stops accepting and waits until the open connections have ended, at most for `timeout`.
    ///
    /// Returns the number of connections that were still open then.
    pub async fn close(self, timeout: Duration) -> usize {
        self.begin_close();
        self.wait_closed(timeout).await
    }

    /// Stops accepting and closes connections when they have answered what has arrived.
    pub fn begin_close(&self) {
        self.stage.send_replace(CloseStage::Closing);
    }

    /// Drops the connections that are still open after [`HttpServer::begin_close`], with what they answer,
    /// and waits until that is done, at most for `timeout`.
    pub async fn abort(&self, timeout: Duration) {
        self.stage.send_replace(CloseStage::Aborted);
        self.wait_closed(timeout).await;
    }

    /// Waits until the open connections have ended after [`HttpServer::begin_close`], at most for
    /// `timeout`; returns the number of those that are still open then.
    pub async fn wait_closed(&self, timeout: Duration) -> usize {
        // Connections that outlast the timeout are counted below.
        let _ = tokio::time::timeout(timeout, self.stage.closed()).await;
        self.stage.receiver_count()
    }
}

/// Closes a listener and returns the connections that waited to be accepted, whose requests would be
/// lost with it.
fn waiting(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(err) => {
            log::warn!("event=accept_failed reason={err}");
            return streams;
        }
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => {
                set_socket_options(&stream);
                streams.push(stream);
            }
            Err(err) => log::warn!("event=accept_failed reason={err}"),
        }
    }
    streams
}

/// Accepts the next connection; a failed accept is logged and retried.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                set_socket_options(&stream);
                return stream;
            }
            Err(err) => {
                log::warn!("event=accept_failed reason={err}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Connection that has found room.
struct OpenConnection {
    stream: TcpStream,
    limits: ConnectionLimits,
    idle: IdleConnection,
    share: MemoryShare,
}

/// Opens a connection if there is room for it.
async fn open(
    stream: TcpStream,
    limits: ConnectionLimits,
    idle: &IdleConnections,
) -> Result<OpenConnection, NoRoom> {
    let room = find_room(&limits.memory, idle).await;
    let share = room.inspect_err(|NoRoom| {
        log::debug!("event=served_connection_ended reason=no_room");
    })?;
    Ok(OpenConnection { stream, limits, idle: idle.open(), share })
}

/// Returns the share of a new connection; without room, it takes that of one that is idle.
async fn find_room(memory: &PeerMemory, idle: &IdleConnections) -> Result<MemoryShare, NoRoom> {
    let mut share = memory.for_connections().open_share();
    if share.resize(CONNECTION_BYTES).is_err() {
        let closing = tokio::time::timeout(ROOM_TIMEOUT, idle.close_first());
        if !closing.await.unwrap_or(false) {
            return Err(NoRoom);
        }
        share.replace(CONNECTION_BYTES);
    }
    Ok(share)
}

/// Serves one connection until it ends or the server closes.
async fn serve<H, F, B>(
    connection: OpenConnection,
    handle: Arc<H>,
    mut stages: watch::Receiver<CloseStage>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let OpenConnection { stream, limits, idle, share: _share } = connection;
    let idle = Arc::new(idle);
    let head = Arc::new(HeadMemory::open(limits.memory.open_share(), BUFFER_BYTES));
    let stream = CountedStream::new(stream, head.clone());
    let ends_with_connection = AtomicBool::new(false);
    let requests = AtomicU32::new(0);
    let service = service_fn(|mut req: Request<Incoming>| {
        let requests = requests.fetch_add(1, Ordering::Relaxed) + 1;
        req.extensions_mut().insert(ServedConnection { requests });
        ends_with_connection.store(req.version() == Version::HTTP_10, Ordering::Relaxed);
        head.end();
        let request = idle.begin_request();
        // The connection keeps room for this future, which is far larger than a box.
        let answer = Box::pin(handle(req));
        let head = head.clone();
        async move {
            let resp = answer.await;
            head.begin();
            Ok::<_, Infallible>(resp.map(|body| RunningBody::new(body, request)))
        }
    });
    let mut http = http1::Builder::new();
    // While a connection is idle, hyper waits for the next head, so this timeout closes it.
    http.timer(TokioTimer::new()).header_read_timeout(limits.idle_timeout);
    if let Some(bytes) = limits.max_buffer_bytes {
        http.max_buf_size(bytes);
    }
    let mut connection = http.serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        // A request that has arrived is read before the connection closes.
        biased;
        ended = &mut connection => Some(ended),
        () = asked_to_close(&idle) => None,
        () = close_after_arrived(&mut stages) => None,
    };
    let ended = match ended {
        Some(ended) => Some(ended),
        None if idle.is_to_close() => {
            log::debug!("event=served_connection_ended reason=idle");
            return;
        }
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            tokio::select! {
                ended = &mut connection => Some(ended),
                () = reached(&mut stages, CloseStage::Aborted) => None,
            }
        }
    };
    let is_cut = match ended {
        Some(Ok(())) => return,
        Some(Err(err)) => {
            log::debug!("event=served_connection_ended reason={err}");
            err.is_user()
        }
        None => true,
    };
    if is_cut && ends_with_connection.load(Ordering::Relaxed) {
        reset(&connection.into_parts().io.into_inner().into_inner());
    }
}

/// Waits until a connection is to close and requests that had arrived by then have been read.
async fn asked_to_close(idle: &IdleConnection) {
    idle.asked_to_close().await;
    tokio::time::sleep(READ_TIME).await;
}

/// Makes the close of a connection a reset, so that its end is not taken for the end of an answer.
fn reset(stream: &TcpStream) {
    if let Err(err) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("event=socket_option_failed reason={err}");
    }
}

/// Waits until the server is closed and requests that had arrived by then have been read.
async fn close_after_arrived(stages: &mut watch::Receiver<CloseStage>) {
    reached(stages, CloseStage::Closing).await;
    tokio::time::sleep(READ_TIME).await;
}

/// Waits until the server's close has reached a stage.
async fn reached(stages: &mut watch::Receiver<CloseStage>, stage: CloseStage) {
    // The sender is gone when the `HttpServer` was dropped; the connections continue then.
    if stages.wait_for(|reached| *reached >= stage).await.is_err() {
        std::future::pending().await
    }
}
