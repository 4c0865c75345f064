//! Connection of one call to a target, which carries nothing else.
//!
//! It is closed as soon as the answer has been read or is dropped, also while the target sends bytes
//! without end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, BoxStream, StreamExt};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::header::{HOST, HeaderValue};
use hyper::http::response::Parts;
use hyper::http::uri::Scheme;
use hyper::{Request, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::answer_traffic::{CountedBody, MAX_BUFFER_BYTES, Traffic};
use crate::counted_stream::CountedStream;
use crate::peer_memory::PeerMemory;
use crate::target_client::TargetError;

/// Timeout for opening the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Port of a URL that names none.
const DEFAULT_PORT: u16 = 80;

/// Task of a connection; dropping it closes the connection.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Parts of a body; an error means that it broke off.
pub type BodyStream = BoxStream<'static, Result<Bytes, TargetError>>;

/// Sends a request with an absolute URL over a new connection; returns the head of the answer and its
/// body. What its head takes is a share of `memory`.
///
/// # Errors
///
/// Returns [`TargetError::NotStarted`] only if no connection could be opened.
pub async fn send(
    req: Request<Full<Bytes>>,
    memory: &PeerMemory,
) -> Result<(Parts, BodyStream), TargetError> {
    let mut req = req;
    let (stream, host) = open(req.uri()).await.ok_or(TargetError::NotStarted)?;
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str()).parse();
    *req.uri_mut() = path.map_err(|_| TargetError::NotStarted)?;
    req.headers_mut().insert(HOST, host);
    let traffic = Traffic::open(memory);
    let io = TokioIo::new(CountedStream::new(stream, Arc::new(traffic.clone())));
    let handshake = http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(io).await;
    let (mut sender, connection) = handshake.map_err(|_| TargetError::NotStarted)?;
    let task = tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("event=connection_ended reason={err}");
        }
    });
    let task = ConnectionTask(task.abort_handle());
    let resp = sender.send_request(req).await.map_err(|_| TargetError::MaybeRan)?;
    traffic.end_head();
    let (parts, body) = resp.into_parts();
    let body = CountedBody::new(body, traffic);
    let body_parts = stream::unfold((body, task), |(mut body, task)| async move {
        let part = next_part(&mut body).await?;
        Some((part, (body, task)))
    });
    Ok((parts, body_parts.boxed()))
}

/// Returns the next part of a body; `None` at its end.
async fn next_part(body: &mut CountedBody) -> Option<Result<Bytes, TargetError>> {
    loop {
        match body.frame().await? {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    return Some(Ok(data));
                }
            }
            Err(_) => return Some(Err(TargetError::MaybeRan)),
        }
    }
}

/// Opens a connection to the host of a URL; returns it with the value of the header `host`.
async fn open(url: &Uri) -> Option<(TcpStream, HeaderValue)> {
    if url.scheme() != Some(&Scheme::HTTP) {
        return None;
    }
    let authority = url.authority()?;
    let address = format!("{}:{}", authority.host(), authority.port_u16().unwrap_or(DEFAULT_PORT));
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream, HeaderValue::from_str(authority.as_str()).ok()?))
}
