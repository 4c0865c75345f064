//! HTTP clients for the platform's services and the targets.
//!
//! A client sends each request once: without redirects, retries or a proxy from the
//! environment. If a pooled connection is closed before it is given a request,
//! another one is used; a request that may have been sent in part is not sent again.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use reqwest::{Client, Response};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_IDLE_PER_HOST: usize = 64;

/// Whether a client reuses connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Idle connections are kept for later requests.
    Pooled,
    /// Every request opens a new connection, so that a failed connect proves that
    /// nothing was delivered.
    Never,
}

/// Opens a client, which is to be cloned to share its connection pool.
///
/// # Panics
///
/// Panics if the TLS library cannot be initialised.
pub fn open(reuse: ConnectionReuse) -> Client {
    // Only the first call installs its provider; the later ones fail, with the same provider.
    let _ = rustls::crypto::ring::default_provider().install_default();
    let max_idle = match reuse {
        ConnectionReuse::Pooled => MAX_IDLE_PER_HOST,
        ConnectionReuse::Never => 0,
    };
    Client::builder()
        .tls_certs_only([])
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .build()
        .expect("the client's settings are constant")
}

/// Reads the body of an answer of at most `max_bytes`; `None` if it breaks off or is larger.
pub async fn read(resp: Response, max_bytes: usize) -> Option<Bytes> {
    let mut parts = resp.bytes_stream();
    let mut body = Vec::new();
    while let Some(part) = parts.next().await {
        let part = part.ok()?;
        if body.len() + part.len() > max_bytes {
            return None;
        }
        body.extend_from_slice(&part);
    }
    Some(body.into())
}
