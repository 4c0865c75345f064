//! HTTP responses of refusals, as RFC 9457 problem documents.

use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};
use rosemarymoor_lib::id::RequestId;
use rosemarymoor_lib::result_code::{Refusal, ResultCode};
use serde::Serialize;

use crate::http_server::{AnswerBody, full_body};

/// Header with the kind of a refusal.
const REFUSAL_HEADER: HeaderName = HeaderName::from_static("rosemarymoor-refusal");

/// Header with the identity of the request.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("rosemarymoor-request");

const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");

/// Prefix of a problem's type, followed by the number of its result code.
const TYPE_BASE: &str = "urn:rosemarymoor:result-code:";

/// Problem document as it is sent to the caller.
#[derive(Serialize)]
struct Problem<'a> {
    r#type: String,
    status: u16,
    code: u16,
    kind: String,
    title: &'a str,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Returns the problem document of a refusal, as JSON.
pub fn document(refusal: &Refusal, request: Option<RequestId>) -> String {
    let problem = Problem {
        r#type: format!("{TYPE_BASE}{}", refusal.code.number()),
        status: refusal.code.status(),
        code: refusal.code.number(),
        kind: refusal.code.kind().to_string(),
        title: refusal.code.title(),
        detail: &refusal.detail,
        request: request.map(|request| request.to_string()),
        retry_after_ms: refusal.retry_after_ms,
    };
    serde_json::to_string(&problem).expect("serializing a problem document to JSON cannot fail")
}

/// Returns the HTTP response of a refusal; its `Retry-After` is rounded up to seconds.
pub fn response(refusal: &Refusal, request: Option<RequestId>) -> Response<AnswerBody> {
    let body = document(refusal, request);
    let mut resp = Response::new(full_body(body.into()));
    let status = StatusCode::from_u16(refusal.code.status());
    *resp.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = resp.headers_mut();
    headers.insert(CONTENT_TYPE, PROBLEM_JSON);
    set_header(headers, REFUSAL_HEADER, &refusal.code.kind().to_string());
    if let Some(request) = request {
        set_header(headers, REQUEST_HEADER, &request.to_string());
    }
    if let Some(ms) = refusal.retry_after_ms {
        let seconds = ms.div_ceil(1_000).max(1);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    resp
}

/// Sets a header; logs an error and leaves it out if `text` is not a valid value.
pub fn set_header(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(err) => log::error!("event=header_left_out name={name} reason={err}"),
    }
}

/// Returns the refusal of a request whose delivery ended without a final reply, which is a bug.
pub fn internal_error() -> Refusal {
    Refusal::new(ResultCode::FateUnknown, "the request ended without a reply")
}
