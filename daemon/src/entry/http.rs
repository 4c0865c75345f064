//! HTTP interface for callers: chat completions and application routes.
//!
//! Reads and admits a request, starts its delivery and turns its replies into a response.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use rosemarymoor_lib::config::TargetKind;
use rosemarymoor_lib::id::RequestId;
use rosemarymoor_lib::peer_memory::ReadError;
use rosemarymoor_lib::result_code::{Refusal, ResultCode};
use tokio::sync::mpsc;

use super::admission::{AppCall, CHAT_PATH, CallHeaders, authenticate, body_too_large};
use super::body::StreamBody;
use super::drain::RunningGuard;
use super::job::{CompleteAnswer, Job, Reply};
use super::{Entry, delivery, problem};
use crate::http_server::{AnswerBody, full_body};

/// Header with the charge of a complete answer, in tokens.
const CHARGE_HEADER: HeaderName = HeaderName::from_static("rosemarymoor-charge");

const APPS_PREFIX: &str = "/v1/apps/";

/// Time limit for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for the reply of a delivery once the entry cuts off what runs.
const LAST_REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of replies that are buffered for a slow caller.
const REPLIES_BUFFERED: usize = 16;

/// Answers one request of a caller.
pub async fn serve(entry: Arc<Entry>, req: Request<Incoming>) -> Response<AnswerBody> {
    let guard = entry.drain.enter();
    let admitted = admit(&entry, req).await;
    // The drain may have begun while the body came.
    match admitted.and_then(|job| check_draining(job, entry.drain.is_draining())) {
        Ok(job) => run(&entry, job, guard).await,
        Err(refusal) => refuse(&entry, &refusal),
    }
}

async fn admit(entry: &Entry, req: Request<Incoming>) -> Result<Job, Refusal> {
    let (head, body) = req.into_parts();
    let path = head.uri.path();
    if path == CHAT_PATH && head.method == Method::POST {
        return admit_chat(entry, &head, body).await;
    }
    if path.starts_with(APPS_PREFIX) && is_app_method(&head.method) {
        return admit_app(entry, &head, body).await;
    }
    Err(Refusal::new(ResultCode::UnknownRoute, "nothing is served at this path"))
}

fn is_app_method(method: &Method) -> bool {
    [
        Method::GET,
        Method::PUT,
        Method::POST,
        Method::DELETE,
        Method::OPTIONS,
        Method::HEAD,
        Method::PATCH,
    ]
    .contains(method)
}

async fn admit_chat(entry: &Entry, head: &Parts, body: Incoming) -> Result<Job, Refusal> {
    let cfg = entry.cfg.current();
    let caller = authenticate(&cfg, &entry.keys, call_headers(&head.headers))?;
    let body = read_body(entry, body, caller.max_chat_body_bytes()).await?;
    caller.admit_chat(&body)
}

async fn admit_app(entry: &Entry, head: &Parts, body: Incoming) -> Result<Job, Refusal> {
    let cfg = entry.cfg.current();
    let caller = authenticate(&cfg, &entry.keys, call_headers(&head.headers))?;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let app = app_call(path, head.method.as_str())
        .ok_or_else(|| Refusal::new(ResultCode::UnknownRoute, "no application route"))?;
    let route = caller.route(app.route, TargetKind::Application)?;
    let body = read_body(entry, body, route.max_body_bytes).await?;
    caller.admit_app(route, &app, body)
}

/// Refuses new requests while draining, but lets retries join an earlier delivery.
///
/// Refusing such a retry as not run would be wrong if the first delivery ran.
fn check_draining(job: Job, draining: bool) -> Result<Job, Refusal> {
    match draining {
        false => Ok(job),
        true if job.has_stable_identity() => Ok(Job { join_only: true, ..job }),
        true => Err(delivery::shutting_down()),
    }
}

/// Starts the delivery of a request and responds with its first reply.
async fn run(entry: &Arc<Entry>, job: Job, guard: RunningGuard) -> Response<AnswerBody> {
    let request = job.identity.request;
    let guard = Arc::new(guard);
    let (tx, mut replies) = mpsc::channel(REPLIES_BUFFERED);
    log::info!(
        "decision=admit request={request} identity={} workspace={} route={} worst_case={}",
        job.identity.source,
        job.budget.workspace,
        job.route.name,
        job.worst_case_tokens
    );
    tokio::spawn(delivery::run(entry.clone(), job, tx, guard.clone()));
    match first_reply(entry, request, &mut replies).await {
        Some(Reply::Complete(answer)) => complete_response(answer, request),
        Some(Reply::Start { status, content_type }) => {
            let body = StreamBody::new(request, replies, guard);
            stream_response(status, &content_type, body, request)
        }
        Some(Reply::Refused(refusal)) => problem::response(&refusal, Some(request)),
        Some(Reply::Chunk(_) | Reply::End | Reply::Broken(_)) | None => {
            problem::response(&problem::internal_error(), Some(request))
        }
    }
}

/// Waits for the first reply of a delivery, at most until the entry cuts off what runs.
async fn first_reply(
    entry: &Entry,
    request: RequestId,
    replies: &mut mpsc::Receiver<Reply>,
) -> Option<Reply> {
    tokio::select! {
        reply = replies.recv() => return reply,
        () = entry.drain.limit_reached() => {}
    }
    // A delivery that has not reached a target says so itself.
    if let Ok(reply) = tokio::time::timeout(LAST_REPLY_TIMEOUT, replies.recv()).await {
        return reply;
    }
    let refusal = delivery::cut_off();
    entry.metrics.count_refusal(refusal.code);
    log::info!("decision=cut-off request={request} code={}", refusal.code.number());
    Some(Reply::Refused(refusal))
}

/// Records and answers the refusal of a call that was not admitted.
fn refuse(entry: &Entry, refusal: &Refusal) -> Response<AnswerBody> {
    entry.metrics.count_refusal(refusal.code);
    log::info!("decision=refuse code={} detail={:?}", refusal.code.number(), refusal.detail);
    problem::response(refusal, None)
}

fn call_headers(headers: &HeaderMap) -> CallHeaders<'_> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    CallHeaders {
        authorization: text("Authorization"),
        idempotency_key: text("Idempotency-Key"),
        budget: text("Rosemarymoor-Budget"),
        content_type: text("Content-Type"),
    }
}

/// Splits `/v1/apps/<route>/<path..>?query` into the route and the path with its query.
fn app_call<'a>(uri: &'a str, method: &'a str) -> Option<AppCall<'a>> {
    let rest = uri.strip_prefix(APPS_PREFIX)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (route, path) = rest.split_at(end);
    let path = if path.is_empty() { "/" } else { path };
    Some(AppCall { route, method, path })
}

/// Reads a body of at most `limit` bytes within [`BODY_TIMEOUT`].
async fn read_body(entry: &Entry, body: Incoming, limit: u64) -> Result<Vec<u8>, Refusal> {
    let max_bytes = usize::try_from(limit).unwrap_or(usize::MAX);
    let reading = entry.caller_memory.read(body, max_bytes);
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => Ok(body.into()),
        Ok(Err(ReadError::TooLarge)) => Err(body_too_large(limit)),
        Ok(Err(ReadError::NoRoom)) => {
            Err(Refusal::new(ResultCode::Overloaded, "the entry has no memory left for the body"))
        }
        Ok(Err(ReadError::Broken)) => {
            Err(Refusal::new(ResultCode::BadRequest, "the body broke off"))
        }
        Err(_) => Err(Refusal::new(ResultCode::BodyTimeout, "the body came too slowly")),
    }
}

fn complete_response(answer: CompleteAnswer, request: RequestId) -> Response<AnswerBody> {
    let body = full_body(answer.body.into());
    let mut resp = response(answer.status, &answer.content_type, body, request);
    resp.headers_mut().insert(CHARGE_HEADER, HeaderValue::from(answer.charge));
    resp
}

fn stream_response(
    status: u16,
    content_type: &str,
    body: StreamBody,
    request: RequestId,
) -> Response<AnswerBody> {
    let mut resp = response(status, content_type, body.boxed_unsync(), request);
    resp.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    resp
}

fn response(
    status: u16,
    content_type: &str,
    body: AnswerBody,
    request: RequestId,
) -> Response<AnswerBody> {
    let mut resp = Response::new(body);
    *resp.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = resp.headers_mut();
    if !content_type.is_empty() {
        problem::set_header(headers, CONTENT_TYPE, content_type);
    }
    problem::set_header(headers, problem::REQUEST_HEADER, &request.to_string());
    resp
}
