//! HTTP servers of a process: connections, limits and their orderly end.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http_pool::set_socket_options;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Pause after a failed accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time in which the last bytes of finished answers reach their callers.
///
/// Drains come before it and have limits of their own.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Body of an answer; an error in it breaks the connection off.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// Body that is there as a whole.
pub fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Time in which the next request's head must arrive.
    pub idle: Duration,
    /// Size of the buffer, which bounds a request's head; hyper's own if `None`.
    pub buffer_bytes: Option<usize>,
}

impl ConnectionLimits {
    /// Limits that only close idle connections.
    pub fn idle(idle: Duration) -> ConnectionLimits {
        ConnectionLimits { idle, buffer_bytes: None }
    }
}

/// Binds an address that may still have connections of an earlier process.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Running HTTP server; dropping it leaves it running.
pub struct HttpServer {
    accepting: JoinHandle<()>,
    closing: watch::Sender<bool>,
}

impl HttpServer {
    /// Serves connections; `limits` is asked for each new one.
    pub fn spawn<L, H, F, B>(listener: TcpListener, limits: L, handle: H) -> HttpServer
    where
        L: Fn() -> ConnectionLimits + Send + 'static,
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body + Send + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let (closing, closed) = watch::channel(false);
        let handle = Arc::new(handle);
        let accepting = tokio::spawn(async move {
            loop {
                let stream = accept(&listener).await;
                let serving = serve(stream, limits(), handle.clone(), closed.clone());
                tokio::spawn(serving);
            }
        });
        HttpServer { accepting, closing }
    }

    /// Takes no new connection and waits until the open ones have ended.
    ///
    /// Answers the number of connections that were open at the limit.
    pub async fn close(self, limit: Duration) -> usize {
        self.accepting.abort();
        self.closing.send_replace(true);
        let _ = tokio::time::timeout(limit, self.closing.closed()).await;
        // One receiver belongs to the accepting task until it is dropped.
        self.closing.receiver_count()
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                set_socket_options(&stream);
                return stream;
            }
            Err(err) => {
                log::warn!("event=accept_failed reason={err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<H, F, B>(
    stream: TcpStream,
    limits: ConnectionLimits,
    handle: Arc<H>,
    mut closed: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let service = service_fn(move |req| {
        let answer = handle(req);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut http = http1::Builder::new();
    // hyper counts an idle connection as one whose next head is awaited.
    http.timer(TokioTimer::new()).header_read_timeout(limits.idle);
    if let Some(bytes) = limits.buffer_bytes {
        http.max_buf_size(bytes);
    }
    let connection = http.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = told_to_close(&mut closed) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = ended {
        log::debug!("event=served_connection_ended reason={err}");
    }
}

async fn told_to_close(closed: &mut watch::Receiver<bool>) {
    // An error says that the server was dropped and runs on.
    if closed.wait_for(|closed| *closed).await.is_err() {
        std::future::pending().await
    }
}
