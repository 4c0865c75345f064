//! Refusals of an entry as HTTP answers.

use std::io;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use rosemarymoor_lib::result_code::Refusal;

use crate::entry::problem;

const REFUSAL_HEADER: HeaderName = HeaderName::from_static("rosemarymoor-refusal");
const MS_PER_S: f64 = 1_000.0;

/// Body of an answer to a caller; an error in it breaks the connection off.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// Problem document of a refusal.
pub fn response(refusal: &Refusal) -> Response<AnswerBody> {
    let code = refusal.code;
    let body = problem::document(refusal, None);
    let mut resp = Response::new(whole_body(body.into()));
    *resp.status_mut() = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = resp.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if let Ok(kind) = HeaderValue::from_str(&code.kind().to_string()) {
        headers.insert(REFUSAL_HEADER, kind);
    }
    if let Some(ms) = refusal.retry_after_ms {
        let seconds = format!("{:.3}", ms as f64 / MS_PER_S);
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, seconds);
        }
    }
    resp
}

/// Body that is there as a whole.
pub fn whole_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
