//! Refusals as RFC 9457 problem documents.

use std::io::Cursor;

use rocket::http::{ContentType, Header, Status};
use rocket::response::Response;
use rosemarymoor_lib::id::RequestId;
use rosemarymoor_lib::result_code::{Refusal, ResultCode};
use serde::Serialize;

/// Header that names a refusal's kind.
pub const REFUSAL_HEADER: &str = "Rosemarymoor-Refusal";

/// Header that carries the request's identity.
pub const REQUEST_HEADER: &str = "Rosemarymoor-Request";

const TYPE_BASE: &str = "urn:rosemarymoor:result-code:";

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

/// Problem document of a refusal, as JSON.
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
    serde_json::to_string(&problem).expect("a problem document always serialises")
}

/// HTTP response of a refusal.
pub fn response(refusal: &Refusal, request: Option<RequestId>) -> Response<'static> {
    let body = document(refusal, request);
    let mut response = Response::new();
    response.set_status(Status::new(refusal.code.status()));
    response.set_header(ContentType::new("application", "problem+json"));
    response.set_header(Header::new(REFUSAL_HEADER, refusal.code.kind().to_string()));
    if let Some(request) = request {
        response.set_header(Header::new(REQUEST_HEADER, request.to_string()));
    }
    if let Some(ms) = refusal.retry_after_ms {
        response.set_header(Header::new("Retry-After", ms.div_ceil(1_000).max(1).to_string()));
    }
    response.set_sized_body(body.len(), Cursor::new(body));
    response
}

/// Refusal for a request that ended without a reply, which only a fault causes.
pub fn internal() -> Refusal {
    Refusal::new(ResultCode::FateUnknown, "the request ended without a reply")
}
