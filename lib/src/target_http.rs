//! Client of a target over HTTP.
//!
//! Each call opens a new connection. If the target had just closed a reused one, it
//! would be unknown whether the call arrived, and hyper retries a call on another
//! connection if it believes that the first one did not start. With a new
//! connection neither can happen, and a failed connect proves that the target has
//! received nothing.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, TRANSFER_ENCODING};
use reqwest::{Client, StatusCode};

use crate::http_client::{self, ConnectionReuse};
use crate::peer_memory::PeerMemory;
use crate::target_client::{
    AnswerEcho, AnswerHead, LoadAnswer, TargetAnswer, TargetCall, TargetClient, TargetError,
    TargetOrder,
};
use crate::{limit_notice, target_connection};

/// Header with the request identity, which the target echoes.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header with the number of the delivery, which the target echoes.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// Header with the scheduling priority; lower values run first.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Header with the requests a second that the target takes; it may be in any answer.
pub const LIMIT_HEADER: HeaderName = HeaderName::from_static("server-limit");

/// Size limit of a load report.
const MAX_REPORT_BYTES: usize = 64 << 10;
/// Timeout for load reports and cancellations.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for an order, which covers the time that a target takes to load a model.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// Client of the target at a base URL.
pub struct HttpTarget {
    url: String,
    /// Client for orders, which never reuses a connection.
    orders: Client,
    /// Client for load reports and cancellations, which may be repeated.
    control: Client,
    memory: PeerMemory,
}

impl HttpTarget {
    /// Opens a client; connects on the first call.
    pub fn open(url: &str) -> HttpTarget {
        HttpTarget {
            url: url.trim_end_matches('/').to_owned(),
            orders: http_client::open(ConnectionReuse::Never),
            control: http_client::open(ConnectionReuse::Pooled),
            memory: PeerMemory::default(),
        }
    }
}

#[async_trait]
impl TargetClient for HttpTarget {
    async fn call(&self, call: TargetCall) -> Result<TargetAnswer, TargetError> {
        let mut req = Request::builder()
            .method(call.method.as_str())
            .uri(format!("{}{}", self.url, call.path))
            .header(REQUEST_HEADER, call.request)
            .header(ATTEMPT_HEADER, call.attempt)
            .header(PRIORITY_HEADER, u32::from(call.priority));
        if !call.content_type.is_empty() {
            req = req.header(CONTENT_TYPE, call.content_type);
        }
        let body = Full::new(Bytes::from(call.body));
        let req = req.body(body).map_err(|_| TargetError::NotStarted)?;
        let (parts, body) = target_connection::send(req, &self.memory).await?;
        let head = AnswerHead {
            status: parts.status.as_u16(),
            content_type: header(&parts.headers, CONTENT_TYPE.as_str()).unwrap_or_default(),
            echo: echo(&parts.headers),
        };
        let limit = limit_notice::decode(&parts.headers, &LIMIT_HEADER);
        let ends_with_connection = !has_body_end(&parts.headers);
        Ok(TargetAnswer { head, limit, ends_with_connection, body })
    }

    async fn load(&self) -> Option<LoadAnswer> {
        let req = self.control.get(format!("{}/load", self.url)).timeout(CONTROL_TIMEOUT);
        let response = req.send().await.ok()?.error_for_status().ok()?;
        let limit = limit_notice::decode(response.headers(), &LIMIT_HEADER);
        let body = http_client::read(response, MAX_REPORT_BYTES).await?;
        Some(LoadAnswer { load: serde_json::from_slice(&body).ok()?, limit })
    }

    async fn order(&self, order: TargetOrder) -> Result<bool, TargetError> {
        let req = self.orders.post(format!("{}/orders", self.url)).json(&order);
        let response = req.timeout(ORDER_TIMEOUT).send().await.map_err(classify)?;
        match response.status() {
            StatusCode::CONFLICT => Ok(false),
            status if status.is_success() => Ok(true),
            _ => Err(TargetError::MaybeRan),
        }
    }

    async fn cancel(&self, request: &str) {
        let req = self.control.post(format!("{}/cancel/{request}", self.url));
        let _ = req.timeout(CONTROL_TIMEOUT).send().await;
    }
}

/// Returns whether a failed call may have reached the target.
fn classify(err: reqwest::Error) -> TargetError {
    if err.is_connect() { TargetError::NotStarted } else { TargetError::MaybeRan }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Returns whether an answer has a length or chunks, which mark the end of its body.
fn has_body_end(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns the echoed identity, if both headers are present and valid.
fn echo(headers: &HeaderMap) -> Option<AnswerEcho> {
    let request = header(headers, REQUEST_HEADER)?;
    let attempt = header(headers, ATTEMPT_HEADER)?.parse().ok()?;
    Some(AnswerEcho { request, attempt })
}
