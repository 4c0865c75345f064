//! Listeners of an entry: callers' connections and readiness checks.
//!
//! hyper serves them: callers' connections need a limit on a request's head, a
//! close without an answer and `Connection: close` while the entry stops, which
//! rocket does not give.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::entry::Entry;
use super::handler;
use super::refusal::{AnswerBody, whole_body};
use super::settings::DirectSettings;
use crate::small_server;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Bytes of a connection's buffer beyond a request's head.
const BUFFER_EXTRA: usize = 8 * 1024;

/// Time that a balancer's connection may stay idle.
const READY_IDLE: Duration = Duration::from_secs(10);

/// Why an entry cannot listen.
#[derive(Debug, Snafu)]
pub enum ListenError {
    #[snafu(display("the settings name no address for `{name}`"))]
    NoAddress { name: &'static str },
    #[snafu(display("address={address} {source}"))]
    Bind { address: SocketAddr, source: std::io::Error },
}

/// Running listeners.
pub struct Listeners {
    accepting: JoinHandle<()>,
    closing: watch::Sender<bool>,
}

/// Binds the addresses for callers and for readiness checks.
pub async fn spawn(settings: &DirectSettings, entry: Arc<Entry>) -> Result<Listeners, ListenError> {
    let callers = settings.callers.ok_or(ListenError::NoAddress { name: "callers" })?;
    let ready = settings.ready.ok_or(ListenError::NoAddress { name: "ready" })?;
    let ready = bind(ready)?;
    let callers = bind(callers)?;
    let (closing, closed) = watch::channel(false);
    let checked = entry.clone();
    tokio::spawn(small_server::serve(ready, READY_IDLE, move |_| {
        std::future::ready(check_answer(checked.is_ready()))
    }));
    let accepting = tokio::spawn(accept_callers(callers, entry, closed));
    Ok(Listeners { accepting, closing })
}

impl Listeners {
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

fn bind(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let open = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().context(BindSnafu { address })
}

async fn accept_callers(listener: TcpListener, entry: Arc<Entry>, closed: watch::Receiver<bool>) {
    loop {
        let stream = small_server::accept(&listener).await;
        tokio::spawn(serve_caller(stream, entry.clone(), closed.clone()));
    }
}

async fn serve_caller(stream: TcpStream, entry: Arc<Entry>, mut closed: watch::Receiver<bool>) {
    let limits = entry.catalog.load().as_ref().map(|catalog| catalog.limits).unwrap_or_default();
    let service = service_fn(move |req| {
        let entry = entry.clone();
        async move {
            let mut resp = handler::serve(&entry, req).await;
            if entry.is_stopping() {
                resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(resp)
        }
    });
    // hyper counts an idle connection as one whose next head is awaited.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes + BUFFER_EXTRA)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = told_to_close(&mut closed) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = ended {
        log::debug!("event=caller_connection_ended reason={err}");
    }
}

async fn told_to_close(closed: &mut watch::Receiver<bool>) {
    // An error says that the listeners are gone, which comes to the same.
    let _ = closed.wait_for(|closed| *closed).await;
}

fn check_answer(is_ready: bool) -> Response<AnswerBody> {
    let mut resp = Response::new(whole_body(Default::default()));
    if !is_ready {
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    resp
}
