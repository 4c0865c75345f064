//! HTTP server for a process's own small calls: checks, metrics, other processes.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::http_pool::guard_stream;

/// Pause after a failed accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Waits for the next connection.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                guard_stream(&stream);
                return stream;
            }
            Err(err) => {
                log::warn!("event=accept_failed reason={err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves connections without end; idle ones are closed after `idle`.
pub async fn serve<H, F, B>(listener: TcpListener, idle: Duration, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let handle = Arc::new(handle);
    loop {
        let stream = accept(&listener).await;
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| {
                let answer = handle(req);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(idle)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(err) = served {
                log::debug!("event=small_connection_ended reason={err}");
            }
        });
    }
}
