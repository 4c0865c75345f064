//! HTTP for callers: chat completions and application routes.

use std::io::Cursor;
use std::sync::Arc;
use std::time::Duration;

use rocket::data::ByteUnit;
use rocket::http::{Header, Method, Status};
use rocket::response::Response;
use rocket::route::{Handler, Outcome};
use rocket::shield::Shield;
use rocket::{Build, Catcher, Data, Request, Rocket, Route, catcher};
use rosemarymoor_lib::config::TargetKind;
use rosemarymoor_lib::id::RequestId;
use rosemarymoor_lib::result_code::{Refusal, ResultCode};
use tokio::sync::mpsc;

use super::admission::{AppCall, CHAT_PATH, CallHeaders, authenticate, body_too_large};
use super::body::StreamBody;
use super::drain::RunningGuard;
use super::job::{Job, Reply, WholeAnswer};
use super::{Entry, delivery, problem};

/// Header with the tokens that a whole answer cost.
const CHARGE_HEADER: &str = "Rosemarymoor-Charge";

const APPS_PREFIX: &str = "/v1/apps/";
const APPS_PATTERN: &str = "/v1/apps/<route>/<path..>";
const APP_METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Patch,
];

/// Time in which a request's body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Replies that may wait for a slow caller.
const REPLIES_BUFFERED: usize = 16;

const STREAM_CHUNK_BYTES: usize = 64 << 10;

/// Mounts the callers' routes.
pub fn mount(rocket: Rocket<Build>, entry: &Arc<Entry>) -> Rocket<Build> {
    let chat = CallHandler { entry: entry.clone(), kind: TargetKind::Engine };
    let app = CallHandler { entry: entry.clone(), kind: TargetKind::Application };
    let apps = APP_METHODS.map(|method| Route::new(method, APPS_PATTERN, app.clone()));
    rocket
        .mount("/", [Route::new(Method::Post, CHAT_PATH, chat)])
        .mount("/", apps)
        .register("/", [Catcher::new(None, DefaultCatcher)])
        .attach(Shield::new())
}

#[derive(Clone)]
struct CallHandler {
    entry: Arc<Entry>,
    kind: TargetKind,
}

#[rocket::async_trait]
impl Handler for CallHandler {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let guard = self.entry.drain.enter();
        let draining = self.entry.drain.is_draining();
        let admitted = match self.kind {
            TargetKind::Engine => self.admit_chat(req, data).await,
            TargetKind::Application => self.admit_app(req, data).await,
        };
        let admitted = admitted.and_then(|job| while_draining(job, draining));
        Outcome::Success(match admitted {
            Ok(job) => self.serve(job, guard).await,
            Err(refusal) => self.refuse(&refusal),
        })
    }
}

/// Lets a draining entry answer retries of requests that it can recognise.
///
/// "Not run" would be false for one whose first delivery ran.
fn while_draining(job: Job, draining: bool) -> Result<Job, Refusal> {
    match draining {
        false => Ok(job),
        true if job.is_named() => Ok(Job { retry_only: true, ..job }),
        true => Err(delivery::shutting_down()),
    }
}

impl CallHandler {
    async fn admit_chat(&self, req: &Request<'_>, data: Data<'_>) -> Result<Job, Refusal> {
        let cfg = self.entry.cfg.current();
        let caller = authenticate(&cfg, &self.entry.keys, headers(req))?;
        let body = read_body(data, caller.largest_chat_body()).await?;
        caller.admit_chat(&body)
    }

    async fn admit_app(&self, req: &Request<'_>, data: Data<'_>) -> Result<Job, Refusal> {
        let cfg = self.entry.cfg.current();
        let caller = authenticate(&cfg, &self.entry.keys, headers(req))?;
        let uri = req.uri().to_string();
        let app = app_call(&uri, req.method().as_str())
            .ok_or_else(|| Refusal::new(ResultCode::UnknownRoute, "no application route"))?;
        let route = caller.route(app.route, TargetKind::Application)?;
        let body = read_body(data, route.max_body_bytes).await?;
        caller.admit_app(route, &app, body)
    }

    async fn serve(&self, job: Job, guard: RunningGuard) -> Response<'static> {
        let request = job.identity.request;
        let guard = Arc::new(guard);
        let (tx, mut replies) = mpsc::channel(REPLIES_BUFFERED);
        log::info!(
            "decision=admit request={request} identity={} workspace={} route={} worst_case={}",
            job.identity.source,
            job.budget.workspace,
            job.route.name,
            job.worst_case
        );
        tokio::spawn(delivery::run(self.entry.clone(), job, tx, guard.clone()));
        match replies.recv().await {
            Some(Reply::Whole(answer)) => whole_response(answer, request),
            Some(Reply::Start { status, content_type }) => {
                let body = StreamBody::new(request, replies, guard);
                stream_response(status, &content_type, body, request)
            }
            Some(Reply::Refused(refusal)) => problem::response(&refusal, Some(request)),
            Some(Reply::Chunk(_) | Reply::End | Reply::Broken(_)) | None => {
                problem::response(&problem::internal(), Some(request))
            }
        }
    }

    /// Refuses a call that was not admitted.
    fn refuse(&self, refusal: &Refusal) -> Response<'static> {
        self.entry.metrics.refused(refusal.code);
        log::info!("decision=refuse code={} detail={:?}", refusal.code.number(), refusal.detail);
        problem::response(refusal, None)
    }
}

fn headers<'r>(req: &'r Request<'_>) -> CallHeaders<'r> {
    let headers = req.headers();
    CallHeaders {
        authorization: headers.get_one("Authorization"),
        idempotency_key: headers.get_one("Idempotency-Key"),
        budget: headers.get_one("Rosemarymoor-Budget"),
        content_type: headers.get_one("Content-Type"),
    }
}

/// Splits `/v1/apps/<route>/<path..>?query`.
fn app_call<'a>(uri: &'a str, method: &'a str) -> Option<AppCall<'a>> {
    let rest = uri.strip_prefix(APPS_PREFIX)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (route, path) = rest.split_at(end);
    let path = if path.is_empty() { "/" } else { path };
    Some(AppCall { route, method, path })
}

async fn read_body(data: Data<'_>, limit: u64) -> Result<Vec<u8>, Refusal> {
    let reading = data.open(ByteUnit::from(limit)).into_bytes();
    let body = match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(err)) => return Err(Refusal::new(ResultCode::BadRequest, err.to_string())),
        Err(_) => return Err(Refusal::new(ResultCode::BodyTimeout, "the body came too slowly")),
    };
    if !body.is_complete() {
        return Err(body_too_large(limit));
    }
    Ok(body.into_inner())
}

fn whole_response(answer: WholeAnswer, request: RequestId) -> Response<'static> {
    let mut response = head(answer.status, &answer.content_type, request);
    response.set_header(Header::new(CHARGE_HEADER, answer.charge.to_string()));
    response.set_sized_body(answer.body.len(), Cursor::new(answer.body));
    response
}

fn stream_response(
    status: u16,
    content_type: &str,
    body: StreamBody,
    request: RequestId,
) -> Response<'static> {
    let mut response = head(status, content_type, request);
    response.set_header(Header::new("Cache-Control", "no-cache"));
    response.set_streamed_body(body);
    response.set_max_chunk_size(STREAM_CHUNK_BYTES);
    response
}

fn head(status: u16, content_type: &str, request: RequestId) -> Response<'static> {
    let mut response = Response::new();
    response.set_status(Status::new(status));
    if !content_type.is_empty() {
        response.set_header(Header::new("Content-Type", content_type.to_owned()));
    }
    response.set_header(Header::new(problem::REQUEST_HEADER, request.to_string()));
    response
}

/// Answers what no route takes, and requests that cannot be parsed.
#[derive(Clone)]
struct DefaultCatcher;

#[rocket::async_trait]
impl catcher::Handler for DefaultCatcher {
    async fn handle<'r>(&self, status: Status, _req: &'r Request<'_>) -> catcher::Result<'r> {
        let refusal = match status.code {
            404 | 405 => Refusal::new(ResultCode::UnknownRoute, "nothing is served at this path"),
            413 => Refusal::new(ResultCode::BodyTooLarge, "the body is too large"),
            500.. => Refusal::new(ResultCode::FateUnknown, "the entry failed"),
            _ => Refusal::new(ResultCode::BadRequest, status.to_string()),
        };
        Ok(problem::response(&refusal, None))
    }
}
