//! Direct path to the platform's store, and how a call travels to the store or to a relay.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use rosemarymoor_platform::store::{self, CallError, StoreAnswer, StoreCall, StoreTransport};

use super::metrics::StoreMetrics;
use crate::http_pool::{HttpPool, SendError};

/// Timeout for a connection to the store or to a budget server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Size limit of the store's answers, for a full page of items in text form.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Direct path to the store.
#[derive(Clone)]
pub struct DirectPath {
    pool: HttpPool,
    store: SocketAddr,
    metrics: StoreMetrics,
}

impl DirectPath {
    /// Opens the path; connects on first use.
    pub fn open(pool: HttpPool, store: SocketAddr, metrics: StoreMetrics) -> DirectPath {
        DirectPath { pool, store, metrics }
    }

    /// Returns the connections that the path uses.
    pub fn pool(&self) -> HttpPool {
        self.pool.clone()
    }
}

#[async_trait]
impl StoreTransport for DirectPath {
    async fn call(&self, call: StoreCall) -> Result<StoreAnswer, CallError> {
        let started = Instant::now();
        let answer = send(&self.pool, self.store, &call, &call.path).await;
        self.metrics.record_call(call.operation(), &answer, started.elapsed());
        answer
    }
}

/// Sends a call to an address under a path, which a relay knows by another one than the store.
///
/// # Errors
///
/// Fails if no answer arrives within the call's time limit.
pub(super) async fn send(
    pool: &HttpPool,
    address: SocketAddr,
    call: &StoreCall,
    path: &str,
) -> Result<StoreAnswer, CallError> {
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = path.parse().map_err(|_| CallError::NotSent)?;
    let host = HeaderValue::from_str(&address.to_string()).map_err(|_| CallError::NotSent)?;
    req.headers_mut().insert(HOST, host);
    if !call.body.is_empty() {
        req.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    let fetch = pool.fetch(address, req, CONNECT_TIMEOUT, MAX_ANSWER_BYTES);
    match tokio::time::timeout(call.timeout, fetch).await {
        Ok(Ok((status, headers, body))) => {
            Ok(StoreAnswer { status: status.as_u16(), era: store::era_of(&headers), body })
        }
        Ok(Err(SendError::NotSent)) => Err(CallError::NotSent),
        Ok(Err(SendError::Broken)) | Err(_) => Err(CallError::NoAnswer),
    }
}
