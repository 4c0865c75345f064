//! HTTP answers for the refusals of a direct entry.

use hyper::Response;
use hyper::header::RETRY_AFTER;
use rosemarymoor_lib::result_code::Refusal;

use crate::entry::problem;
use crate::http_server::AnswerBody;

const MS_PER_S: f64 = 1_000.0;

/// Returns the problem document of a refusal; its `Retry-After` is in seconds with three
/// decimals.
pub fn response(refusal: &Refusal) -> Response<AnswerBody> {
    let mut resp = problem::response(refusal, None);
    if let Some(ms) = refusal.retry_after_ms {
        let seconds = format!("{:.3}", ms as f64 / MS_PER_S);
        problem::set_header(resp.headers_mut(), RETRY_AFTER, &seconds);
    }
    resp
}
