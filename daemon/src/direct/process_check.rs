//! Asks a target which process of it answers.
//!
//! A target may start anew under its identifier, with other software, and register a moment later. A
//! report that is read after an answer has begun, while its connection is open, is of the process that
//! answers.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use rosemarymoor_platform::report;

use crate::http_pool::HttpPool;

/// Longest wait for the report; a caller waits for it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Size limit of the report.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Which process answers at a target's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessCheck {
    /// The one that has registered.
    Same,
    Other,
    /// The target does not say.
    Unnamed,
    /// The target does not answer.
    NoAnswer,
}

impl ProcessCheck {
    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            ProcessCheck::Same => "same",
            ProcessCheck::Other => "other",
            ProcessCheck::Unnamed => "unnamed",
            ProcessCheck::NoAnswer => "no_answer",
        }
    }
}

/// Reads the target's report and compares the start of its process.
pub async fn check(pool: &HttpPool, address: SocketAddr, started_ms: u64) -> ProcessCheck {
    let req = Request::builder().uri(report::REPORT_PATH).header(HOST, address.to_string());
    let Ok(req) = req.body(Full::default()) else { return ProcessCheck::NoAnswer };
    let fetch = pool.fetch(address, req, CONNECT_TIMEOUT, MAX_REPORT_BYTES);
    let (status, body) = match tokio::time::timeout(REPORT_TIMEOUT, fetch).await {
        Ok(Ok((status, _, body))) => (status, body),
        Ok(Err(_)) | Err(_) => return ProcessCheck::NoAnswer,
    };
    match report::decode(&body) {
        Ok(report) if status == StatusCode::OK && report.started_ms > 0 && started_ms > 0 => {
            match report.started_ms == started_ms {
                true => ProcessCheck::Same,
                false => ProcessCheck::Other,
            }
        }
        _ => ProcessCheck::Unnamed,
    }
}
