//! HTTP server on a loopback port, on which the stand-ins are built.
//!
//! It can close a connection without an answer, stop and restart on the same port, so that
//! stand-ins can simulate lost answers and crashes.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

/// Body of an answer, complete or streamed.
pub type Body = BoxBody<Bytes, io::Error>;

/// Error that makes the server close the connection without an answer.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("an injected fault closes the connection without an answer")]
pub struct DropConnection;

/// Answer, or an error that closes the connection without one.
pub type Reply = Result<Response<Body>, DropConnection>;

/// Answers the requests of a [`Server`].
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    ///
    /// # Errors
    ///
    /// Fails if the connection is to be closed without an answer.
    async fn handle(&self, req: Request<Incoming>) -> Reply;
}

/// Running server; it stops when it is dropped.
pub struct Server {
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    accept_task: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    /// Binds a free loopback port and serves `handler` there.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn bind(handler: Arc<dyn Handler>) -> io::Result<Server> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let accept_task = tokio::spawn(accept_connections(listener, handler.clone()));
        Ok(Server { address, handler, accept_task: Mutex::new(Some(accept_task)) })
    }

    /// Returns the address that the server listens on; it stays the same while stopped.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of the server, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Closes the port and every connection.
    pub fn stop(&self) {
        if let Some(accept_task) = self.accept_task.lock().expect("no holder panics").take() {
            accept_task.abort();
        }
    }

    /// Listens again on the same port after [`Server::stop`].
    ///
    /// # Errors
    ///
    /// Fails if the port cannot be bound again.
    pub async fn restart(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        let accept_task = tokio::spawn(accept_connections(listener, self.handler.clone()));
        *self.accept_task.lock().expect("no holder panics") = Some(accept_task);
        Ok(())
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept_connections(listener: TcpListener, handler: Arc<dyn Handler>) {
    // Aborting this task drops the set, which aborts every connection.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        if let Ok((socket, _)) = listener.accept().await {
            connections.spawn(serve_connection(socket, handler.clone()));
        }
    }
}

async fn serve_connection(socket: TcpStream, handler: Arc<dyn Handler>) {
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |req| {
        let handler = handler.clone();
        async move { handler.handle(req).await }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    let _ = connection.await;
}

/// Reads the complete body of a request.
///
/// # Errors
///
/// Fails if the connection ends before the body is complete.
pub async fn read_body(req: Request<Incoming>) -> Result<Bytes, DropConnection> {
    req.into_body().collect().await.map(|body| body.to_bytes()).map_err(|_| DropConnection)
}

/// Returns an answer with a complete body.
///
/// # Panics
///
/// Panics if the status or the content type is not valid in HTTP.
pub fn answer(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(full_body(body))
        .expect("status and headers are valid")
}

/// Returns an answer with an empty body.
///
/// # Panics
///
/// Panics if the status is not valid in HTTP.
pub fn empty(status: u16) -> Response<Body> {
    answer(status, "text/plain", Bytes::new())
}

/// Returns a body whose content is complete from the start.
pub fn full_body(body: impl Into<Bytes>) -> Body {
    Full::new(body.into()).map_err(|err: Infallible| match err {}).boxed()
}

/// Returns a body whose parts arrive over a channel; an error item closes the connection.
pub fn streamed_body(rx: mpsc::Receiver<io::Result<Bytes>>) -> Body {
    let frames = futures_util::stream::unfold(rx, |mut rx| async move {
        let item = rx.recv().await?;
        Some((item.map(Frame::data), rx))
    });
    BodyExt::boxed(StreamBody::new(frames))
}

/// Returns the value of a parameter in the request's query, without percent-decoding.
pub fn query_param(req: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = req.uri().query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    values.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}
