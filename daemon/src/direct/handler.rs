//! Admits callers' requests: finds the route, checks the key, reads the body and reserves
//! tokens. Admitted requests go on to [`deliver`].

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use rosemarymoor_lib::dispatch::catalog::{Catalog, Route, Workspace};
use rosemarymoor_lib::dispatch::crash::suspect::{Suspect, suspects_of};
use rosemarymoor_lib::dispatch::crash::tracker::Decision;
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::id::digest128;
use rosemarymoor_lib::peer_memory::{self, PeerMemory, ReadError};
use rosemarymoor_lib::result_code::{FAILURE_LOG, Refusal, ResultCode};
use rosemarymoor_platform::request::{self, CallerHead, HeadError};

use super::call::Call;
use super::deliver;
use super::entry::Entry;
use super::overload;
use super::stop::CutWatch;
use super::{refusal, reserving, resumption, stop_check};
use crate::http_server::AnswerBody;

/// Retry delay reported while the entry is not configured or a route has no service.
const NOT_CONFIGURED_RETRY_AFTER_MS: u64 = 400;

/// Retry delay reported while there is no room for a body.
const NO_ROOM_RETRY_AFTER_MS: u64 = 500;

/// Longest time for which a body is read that is dropped.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(1);

/// Longest wait for the room of a large body.
const MAX_ROOM_WAIT: Duration = Duration::from_secs(1);

/// Identity in the log of a request whose head cannot be read.
const NO_IDENTITY: &str = "none";

/// Assumed deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Serves one request of a caller, from its head to its answer or refusal.
pub async fn serve(entry: &Arc<Entry>, req: Request<Incoming>) -> Response<AnswerBody> {
    let arrived_at = Instant::now();
    let (parts, body) = req.into_parts();
    let head = match request::decode(&parts) {
        Ok(head) => head,
        Err(err) => return refuse(entry, NO_IDENTITY, &malformed_head(err), arrived_at),
    };
    let attempt_id = head.attempt_id.clone();
    let mut cut = entry.stop.cut();
    let admitted = tokio::select! {
        biased;
        admitted = admit(entry, head, parts, body, arrived_at) => admitted,
        () = cut.begun() => Err(stop_check::refusal("the entry ends")),
    };
    let delivered = match admitted {
        Ok(call) => deliver_until_cut(entry, call, &mut cut).await,
        Err(refusal) => Err(refusal),
    };
    delivered.unwrap_or_else(|refusal| refuse(entry, &attempt_id, &refusal, arrived_at))
}

/// Delivers a request; returns the refusal of one that the entry cuts before its answer begins.
async fn deliver_until_cut(
    entry: &Arc<Entry>,
    call: Call,
    cut: &mut CutWatch,
) -> Result<Response<AnswerBody>, Refusal> {
    let sent = call.sent.clone();
    tokio::select! {
        biased;
        resp = deliver::deliver(entry, call) => Ok(resp),
        () = cut.begun() => match sent.load(Ordering::Relaxed) {
            true => Err(Refusal::new(ResultCode::FateUnknown, "the entry ends before the target answers")),
            false => Err(stop_check::refusal("the entry ends")),
        }
    }
}

/// Counts and logs the refusal of a request that was not admitted, and returns its answer.
fn refuse(
    entry: &Entry,
    attempt_id: &str,
    refusal: &Refusal,
    arrived_at: Instant,
) -> Response<AnswerBody> {
    log::info!(
        target: FAILURE_LOG,
        "event=refused request={attempt_id} code={} detail={:?} after_ms={}",
        refusal.code.number(),
        refusal.detail,
        arrived_at.elapsed().as_millis()
    );
    entry.metrics.count_refusal(refusal.code.number());
    refusal::response(refusal)
}

/// Checks a request, reads its body and reserves its worst case in tokens.
async fn admit(
    entry: &Arc<Entry>,
    head: CallerHead,
    parts: Parts,
    body: Incoming,
    arrived_at: Instant,
) -> Result<Call, Refusal> {
    let Some(catalog) = entry.catalog.load_full() else {
        let refusal = Refusal::new(ResultCode::NotConfigured, "no configuration has been read yet");
        return Err(refusal.retry_after(NOT_CONFIGURED_RETRY_AFTER_MS));
    };
    let path = parts.uri.path();
    let route = catalog.route(&head.host, path);
    let route = route.ok_or_else(|| Refusal::new(ResultCode::UnknownRoute, "no route"))?.clone();
    let workspace = workspace(&catalog, &route, &head)?.cloned();
    let allowed_data_centers = allowed_data_centers(entry, &route, workspace.as_ref());
    let random = rank::key_of(&head.attempt_id);
    let rank = catalog.rank(&route, workspace.as_ref());
    overload::check(entry, &head, &parts.uri, rank, workspace.as_ref())?;
    let load = entry.load.track_request();
    let time_limit = head.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
    let deadline = arrived_at + time_limit;
    let uri = parts.uri.path_and_query().map_or("/", |path| path.as_str()).parse();
    let uri = uri.map_err(|_| Refusal::new(ResultCode::BadRequest, "the path cannot be read"))?;
    let body = read_body(body, &entry.caller_memory, &catalog, deadline).await?;
    stop_check::check(entry, &route, &parts, &head, deadline)?;
    let key = head.key.as_deref().unwrap_or_default();
    let suspects = suspects(&parts, key, &head, &body);
    if entry.poison.own().decide(&suspects) == Decision::Refuse {
        let service = route.service_for(random).unwrap_or_default();
        entry.poison.record_refused(service, &suspects);
        return Err(Refusal::new(ResultCode::Poisoned, "targets broke off while they ran it"));
    }
    let origin = match &head.resumption {
        Some(resumption) if route.kind.is_stream() => {
            Some(resumption::find_origin(entry, &head.attempt_id, &route, resumption).await?)
        }
        _ => None,
    };
    let service = match &origin {
        Some(origin) => origin.service.clone(),
        None => route.service_for(random).map(str::to_owned).ok_or_else(no_service)?,
    };
    entry.retries().record_request(&service, entry.now());
    let engine = catalog.service(&service).and_then(|service| service.engine.as_ref());
    let tokens_per_event = engine.map_or(1, |engine| engine.tokens_per_event);
    let reservation = match &workspace {
        Some(workspace) => {
            reserving::reserve(entry, &catalog, &route, &head, workspace, deadline).await?
        }
        None => None,
    };
    log::info!(
        "event=admitted request={} route={} rank={rank:?} service={service} workspace={} version={} deadline_ms={} \
         body_bytes={}",
        head.attempt_id,
        route.name,
        workspace.as_ref().map_or("none", |workspace| workspace.name.as_str()),
        catalog.version,
        time_limit.as_millis(),
        body.len()
    );
    Ok(Call {
        head,
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
        suspects,
        service,
        allowed_data_centers,
        origin,
        rank,
        yields: false,
        workspace: workspace.map(|workspace| workspace.name),
        catalog_version: catalog.version,
        route,
        arrived_at,
        deadline,
        reservation,
        tokens_per_event,
        sent: Arc::default(),
        ended: false,
        _load: load,
        entry: entry.clone(),
    })
}

/// Returns what of a request may crash targets: the request as a whole and the parts of its prompt.
fn suspects(parts: &Parts, key: &str, head: &CallerHead, body: &[u8]) -> Vec<Suspect> {
    let prompt: Vec<u64> = head.prompt.iter().map(|part| part.id).collect();
    let prompt_bytes: Vec<u8> = prompt.iter().flat_map(|part| part.to_le_bytes()).collect();
    let uri = parts.uri.to_string();
    let fingerprint = digest128(&[uri.as_bytes(), key.as_bytes(), body, &prompt_bytes]);
    suspects_of(fingerprint, &prompt)
}

/// Returns the workspace of the request's key; refuses a request without one unless the
/// route is public.
fn workspace<'a>(
    catalog: &'a Catalog,
    route: &Route,
    head: &CallerHead,
) -> Result<Option<&'a Workspace>, Refusal> {
    let workspace = head.key.as_deref().and_then(|key| catalog.workspace_of(key));
    if workspace.is_none() && !route.public {
        return Err(Refusal::new(ResultCode::Unauthorized, "the key is missing or unknown"));
    }
    Ok(workspace)
}

/// Returns the data centres that may serve a request, by the regions that its route and its workspace
/// allow; `None` if any may.
fn allowed_data_centers(
    entry: &Entry,
    route: &Route,
    workspace: Option<&Workspace>,
) -> Option<Vec<String>> {
    let by_workspace = workspace.map_or(&[][..], |workspace| &workspace.allowed_regions);
    entry.regions.load().allowed_data_centers(&[&route.allowed_regions, by_workspace])
}

/// Reads the body up to the size limit, until the request's deadline at the latest.
async fn read_body(
    body: Incoming,
    memory: &PeerMemory,
    catalog: &Catalog,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let limits = catalog.limits;
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return Err(body_too_large());
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let length = body.size_hint().exact().unwrap_or(0) as usize;
    let room_until = deadline.min(Instant::now() + MAX_ROOM_WAIT);
    let Ok(share) = memory.reserve_large(length, room_until.into()).await else {
        return Err(no_room(body, limits.max_body_bytes).await);
    };
    let mut body = body;
    let reading = share.read(&mut body, limits.max_body_bytes);
    match tokio::time::timeout_at(deadline.into(), reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadError::TooLarge)) => Err(body_too_large()),
        Ok(Err(ReadError::NoRoom)) => Err(no_room(body, limits.max_body_bytes).await),
        Ok(Err(ReadError::Broken)) => {
            Err(Refusal::new(ResultCode::BadRequest, "the body broke off"))
        }
        Err(_) => Err(Refusal::new(ResultCode::BodyTimeout, "the body did not arrive in time")),
    }
}

fn no_service() -> Refusal {
    Refusal::new(ResultCode::NoTarget, "the route has no service")
        .retry_after(NOT_CONFIGURED_RETRY_AFTER_MS)
}

/// Returns the refusal of a request for whose body there is no room. What its caller still sends is dropped
/// first: a connection that is closed while it sends may lose the refusal.
async fn no_room(body: Incoming, max_bytes: usize) -> Refusal {
    peer_memory::discard(body, max_bytes, MAX_DISCARD_TIME).await;
    Refusal::new(ResultCode::Overloaded, "the entry has no memory left for the body")
        .retry_after(NO_ROOM_RETRY_AFTER_MS)
}

fn body_too_large() -> Refusal {
    Refusal::new(ResultCode::BodyTooLarge, "the body exceeds the limit")
}

fn malformed_head(err: HeadError) -> Refusal {
    let detail = match err {
        HeadError::NoAttemptId => "the request has no identity",
        HeadError::NoHost => "the request names no host",
        HeadError::BadDeadline => "the deadline is no number",
        HeadError::BadTokens => "the token bound cannot be read",
        HeadError::BadPrompt => "the prompt's parts cannot be read",
    };
    Refusal::new(ResultCode::BadRequest, detail)
}
