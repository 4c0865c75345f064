//! Calls from an entry to the budget servers' internal interface.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderMap};
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use tokio_util::task::TaskTracker;

use rosemarymoor_lib::peer_memory::PeerGroup;

use super::peers::{PeerRecord, Peers};
use crate::http_pool::{HttpPool, SendError};

/// Timeout for a connection to a budget server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Size limit of a budget server's answer.
const MAX_ANSWER_BYTES: usize = 4096;

/// Client of the budget servers; clones share its connections.
#[derive(Clone)]
pub struct PeerClient {
    pool: HttpPool,
    /// What is told to the servers in the background.
    reports: TaskTracker,
    pub peers: Arc<Peers>,
}

impl PeerClient {
    /// Opens a client of the listed budget servers.
    pub fn open(pool: HttpPool, peers: Arc<Peers>) -> PeerClient {
        let pool = pool.for_group(PeerGroup::Fleet);
        PeerClient { pool, reports: TaskTracker::new(), peers }
    }

    /// Runs a report to the servers in the background; the process waits for it when it ends.
    pub fn spawn_report(&self, report: impl Future<Output = ()> + Send + 'static) {
        self.reports.spawn(report);
    }

    /// Waits until all reports have ended; returns how many have not within `timeout`.
    pub async fn finish_reports(&self, timeout: Duration) -> usize {
        self.reports.close();
        // Those that are left are counted below.
        let _ = tokio::time::timeout(timeout, self.reports.wait()).await;
        self.reports.len()
    }

    /// Posts a message; an answer with any status but 200 counts as a broken connection.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`], which says whether the message may have been sent.
    pub async fn post<T: Serialize>(
        &self,
        server: &PeerRecord,
        path: &'static str,
        payload: &T,
        timeout: Duration,
    ) -> Result<(HeaderMap, Bytes), SendError> {
        let body = serde_json::to_vec(payload).expect("serializing a message to JSON cannot fail");
        match self.post_bytes(server, path, body.into(), timeout, MAX_ANSWER_BYTES).await? {
            (StatusCode::OK, headers, body) => Ok((headers, body)),
            _ => Err(SendError::Broken),
        }
    }

    /// Posts a body and reads an answer of at most `max_bytes`, with any status.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`], which says whether the body may have been sent.
    pub async fn post_bytes(
        &self,
        server: &PeerRecord,
        path: &'static str,
        body: Bytes,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<(StatusCode, HeaderMap, Bytes), SendError> {
        let req = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(HOST, server.internal.to_string())
            .body(Full::new(body))
            .map_err(|_| SendError::NotSent)?;
        let fetch = self.pool.fetch(server.internal, req, CONNECT_TIMEOUT, max_bytes);
        tokio::time::timeout(timeout, fetch).await.unwrap_or(Err(SendError::Broken))
    }
}
