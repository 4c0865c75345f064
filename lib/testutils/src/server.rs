//! HTTP server on a loopback port that can drop connections, stop and restart.

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

/// Body of an answer.
pub type Body = BoxBody<Bytes, io::Error>;

/// Tells the server to close the connection without an answer.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("the connection is dropped by a fault")]
pub struct DropConnection;

/// Answer, or the end of the connection.
pub type Reply = Result<Response<Body>, DropConnection>;

/// Serves requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    async fn handle(&self, req: Request<Incoming>) -> Reply;
}

/// Running server; it stops when it is dropped.
pub struct Server {
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    accepting: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    /// Binds a free loopback port and serves `handler` there.
    pub async fn bind(handler: Arc<dyn Handler>) -> io::Result<Server> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let accepting = tokio::spawn(accept(listener, handler.clone()));
        Ok(Server { address, handler, accepting: Mutex::new(Some(accepting)) })
    }

    /// Address that the server listens on, also while it is stopped.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL of the server.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Closes the port and every connection.
    pub fn stop(&self) {
        if let Some(accepting) = self.accepting.lock().expect("no holder panics").take() {
            accepting.abort();
        }
    }

    /// Listens again on the same port after [`Server::stop`].
    pub async fn restart(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        let accepting = tokio::spawn(accept(listener, self.handler.clone()));
        *self.accepting.lock().expect("no holder panics") = Some(accepting);
        Ok(())
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept(listener: TcpListener, handler: Arc<dyn Handler>) {
    // The set aborts every connection when this task is aborted.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        if let Ok((socket, _)) = listener.accept().await {
            connections.spawn(serve(socket, handler.clone()));
        }
    }
}

async fn serve(socket: TcpStream, handler: Arc<dyn Handler>) {
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |req| {
        let handler = handler.clone();
        async move { handler.handle(req).await }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    let _ = connection.await;
}

/// Whole body of a request.
pub async fn read_body(req: Request<Incoming>) -> Result<Bytes, DropConnection> {
    req.into_body().collect().await.map(|body| body.to_bytes()).map_err(|_| DropConnection)
}

/// Answer with a whole body.
pub fn answer(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(full_body(body))
        .expect("status and headers are valid")
}

/// Empty answer.
pub fn empty(status: u16) -> Response<Body> {
    answer(status, "text/plain", Bytes::new())
}

/// Body that is known whole.
pub fn full_body(body: impl Into<Bytes>) -> Body {
    Full::new(body.into()).map_err(|err: Infallible| match err {}).boxed()
}

/// Body that arrives over a channel; an error item cuts the connection.
pub fn streamed_body(rx: mpsc::Receiver<io::Result<Bytes>>) -> Body {
    let frames = futures_util::stream::unfold(rx, |mut rx| async move {
        let item = rx.recv().await?;
        Some((item.map(Frame::data), rx))
    });
    BodyExt::boxed(StreamBody::new(frames))
}

/// Parameter of the request's query.
pub fn query_param(req: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = req.uri().query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    values.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}
