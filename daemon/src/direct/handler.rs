//! Admits callers' requests: route, key, body and money.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use rosemarymoor_lib::dispatch::catalog::{Catalog, Route, Workspace};
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::id::{BudgetId, digest128};
use rosemarymoor_lib::result_code::{FAILURE_LOG, Refusal, ResultCode};
use rosemarymoor_platform::request::{self, CallerHead, HeadFault};

use super::budget_client::{Reservation, ReservationDenied, ReservationParams};
use super::deliver;
use super::entry::Entry;
use super::refusal;
use crate::http_server::AnswerBody;

/// Name of the one budget that a workspace has on the platform.
const BUDGET_NAME: &str = "prepaid";

/// Part of the latency objective that a request may wait for money.
const RESERVATION_WAIT_DIVISOR: u32 = 3;

/// Longest wait for money at one holder.
const MAX_RESERVATION_WAIT: Duration = Duration::from_millis(250);

/// When a caller should come back whose money other holders have: they hand back
/// what they do not need within this time.
const SHORT_RETRY_AFTER_MS: u64 = 1_800;

/// When a caller should come back to an entry that has just started.
const START_RETRY_AFTER_MS: u64 = 400;

/// Time that a caller is taken to wait who names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Request that was admitted.
pub struct Call {
    pub head: CallerHead,
    pub method: Method,
    /// Path and query as the caller sent them.
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Digest of path, key and body: the same for a request that comes again.
    pub fingerprint: u128,
    pub route: Route,
    pub service: String,
    pub workspace: Option<String>,
    pub catalog_version: u64,
    pub arrived: Instant,
    /// When the caller, or the route, has waited long enough.
    pub until: Instant,
    /// Reservation money; dropping it settles what was used.
    pub reservation: Option<Reservation>,
    /// Most tokens that one event of the answer holds.
    pub tokens_per_event: u64,
    /// Whether its end was logged and counted.
    is_ended: bool,
    entry: Arc<Entry>,
}

impl Call {
    /// Counts the end of the request, once.
    pub fn ended(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        let metrics = &self.entry.metrics;
        metrics.count_request(&self.route, outcome, self.arrived.elapsed());
        metrics.count_charged_tokens(
            self.reservation.as_ref().map_or(0, |reservation| reservation.used),
        );
    }

    /// Time that is left for the whole answer.
    pub fn time_left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// Last part of the prompt that other prompts may share.
    pub fn shared_prompt(&self) -> Option<u64> {
        let parts = &self.head.prompt;
        let shared = parts.len().saturating_sub(2);
        parts.get(shared).map(|part| part.id)
    }

    /// Charges one event that goes to the caller, with the first one its prompt.
    ///
    /// A caller that gets nothing pays nothing.
    pub fn charge_event(&mut self) {
        let (Some(reservation), Some(tokens)) = (&mut self.reservation, self.head.tokens) else {
            return;
        };
        let used = reservation.used.max(tokens.input) + self.tokens_per_event;
        reservation.used = used.min(tokens.total());
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.is_ended {
            log::info!(
                "event=caller_left request={} route={} after_ms={} left_ms={}",
                self.head.attempt_id,
                self.route.name,
                self.arrived.elapsed().as_millis(),
                self.time_left().as_millis()
            );
            self.ended("left");
        }
    }
}

/// Serves one request of a caller.
pub async fn serve(entry: &Arc<Entry>, req: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let (parts, body) = req.into_parts();
    let head = match request::decode(&parts) {
        Ok(head) => head,
        Err(fault) => return refusal::response(&bad_head(fault)),
    };
    let attempt_id = head.attempt_id.clone();
    match admit(entry, head, parts, body, arrived).await {
        Ok(call) => deliver::deliver(entry, call).await,
        Err(refused) => {
            log::info!(
                target: FAILURE_LOG,
                "event=refused request={attempt_id} code={} detail={:?} after_ms={}",
                refused.code.number(),
                refused.detail,
                arrived.elapsed().as_millis()
            );
            entry.metrics.count_refusal(refused.code.number());
            refusal::response(&refused)
        }
    }
}

async fn admit(
    entry: &Arc<Entry>,
    head: CallerHead,
    parts: Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<Call, Refusal> {
    let Some(catalog) = entry.catalog.load_full() else {
        let refusal = Refusal::new(ResultCode::NotConfigured, "no configuration has been read yet");
        return Err(refusal.retry_after(START_RETRY_AFTER_MS));
    };
    let path = parts.uri.path();
    let route = catalog.route(&head.host, path);
    let route = route.ok_or_else(|| Refusal::new(ResultCode::UnknownRoute, "no route"))?.clone();
    let workspace = workspace(&catalog, &route, &head)?.cloned();
    let draw = rank::key_of(&head.attempt_id);
    let service = route.service_for(draw).map(str::to_owned).ok_or_else(no_backend)?;
    let deadline = head.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
    let until = arrived + deadline;
    let uri = parts.uri.path_and_query().map_or("/", |path| path.as_str()).parse();
    let uri = uri.map_err(|_| Refusal::new(ResultCode::BadRequest, "the path cannot be read"))?;
    let body = read_body(body, &catalog, until).await?;
    let key = head.key.as_deref().unwrap_or_default();
    let fingerprint = digest128(&[parts.uri.to_string().as_bytes(), key.as_bytes(), &body]);
    if entry.poison.is_refused(fingerprint) {
        return Err(Refusal::new(ResultCode::Poisoned, "targets broke off while they ran it"));
    }
    entry.retries().record_request(&service, entry.now());
    let engine = catalog.service(&service).and_then(|service| service.engine.as_ref());
    let tokens_per_event = engine.map_or(1, |engine| engine.tokens_per_event);
    let reservation = match &workspace {
        Some(workspace) => reserve(entry, &catalog, &route, &head, workspace, until).await?,
        None => None,
    };
    log::info!(
        "event=admitted request={} route={} service={service} workspace={} version={} deadline_ms={} body_bytes={}",
        head.attempt_id,
        route.name,
        workspace.as_ref().map_or("none", |workspace| workspace.name.as_str()),
        catalog.version,
        deadline.as_millis(),
        body.len()
    );
    Ok(Call {
        head,
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
        fingerprint,
        service,
        workspace: workspace.map(|workspace| workspace.name),
        catalog_version: catalog.version,
        route,
        arrived,
        until,
        reservation,
        tokens_per_event,
        is_ended: false,
        entry: entry.clone(),
    })
}

fn workspace<'a>(
    catalog: &'a Catalog,
    route: &Route,
    head: &CallerHead,
) -> Result<Option<&'a Workspace>, Refusal> {
    let holder = head.key.as_deref().and_then(|key| catalog.workspace_of(key));
    if holder.is_none() && !route.public {
        return Err(Refusal::new(ResultCode::Unauthorized, "the key is missing or unknown"));
    }
    Ok(holder)
}

async fn read_body(body: Incoming, catalog: &Catalog, until: Instant) -> Result<Bytes, Refusal> {
    let limits = catalog.limits;
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(too_large());
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let read = Limited::new(body, limits.body_bytes).collect();
    let limit = until.min(Instant::now() + limits.read_timeout);
    match tokio::time::timeout_at(limit.into(), read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(Refusal::new(ResultCode::BadRequest, "the body broke off")),
        Err(_) => Err(Refusal::new(ResultCode::BodyTimeout, "the body did not arrive in time")),
    }
}

async fn reserve(
    entry: &Entry,
    catalog: &Catalog,
    route: &Route,
    head: &CallerHead,
    workspace: &Workspace,
    until: Instant,
) -> Result<Option<Reservation>, Refusal> {
    let (Some(prepaid), Some(tokens)) = (workspace.prepaid, head.tokens) else { return Ok(None) };
    let lifetime = until.saturating_duration_since(Instant::now());
    let max_wait = (route.latency_objective / RESERVATION_WAIT_DIVISOR)
        .min(MAX_RESERVATION_WAIT)
        .min(lifetime);
    let params = ReservationParams {
        request: head.attempt_id.clone(),
        budget: BudgetId { workspace: workspace.name.clone(), name: BUDGET_NAME.to_owned() },
        prepaid,
        prepaid_version: catalog.version,
        tokens: tokens.total(),
        max_wait,
        lifetime,
    };
    let asked = Instant::now();
    let answer = entry.budgets.reserve(&params).await;
    let outcome = match &answer {
        Ok(_) => "granted",
        Err(ReservationDenied::Exhausted) => "exhausted",
        Err(ReservationDenied::Short) => "short",
        Err(ReservationDenied::Unavailable) => "unavailable",
    };
    entry.metrics.record_reservation(outcome, asked.elapsed());
    match answer {
        Ok(reserved) => {
            entry.budget_retry_after().record_success();
            Ok(Some(reserved))
        }
        Err(ReservationDenied::Exhausted) => {
            let detail = format!("{} tokens do not fit into what is left", params.tokens);
            Err(Refusal::new(ResultCode::BudgetExhausted, detail))
        }
        Err(ReservationDenied::Short) => {
            let refusal = Refusal::new(ResultCode::BudgetUnavailable, "other holders have it");
            Err(refusal.retry_after(SHORT_RETRY_AFTER_MS))
        }
        Err(ReservationDenied::Unavailable) => {
            let refusal = Refusal::new(ResultCode::BudgetUnavailable, "no holder has the money");
            let draw = rank::key_of(&head.attempt_id);
            let back_ms = entry.budget_retry_after().record_failure(entry.now(), draw);
            Err(refusal.retry_after(back_ms))
        }
    }
}

fn no_backend() -> Refusal {
    Refusal::new(ResultCode::NoTarget, "the route has no service").retry_after(START_RETRY_AFTER_MS)
}

fn too_large() -> Refusal {
    Refusal::new(ResultCode::BodyTooLarge, "the body exceeds the limit")
}

fn bad_head(fault: HeadFault) -> Refusal {
    let detail = match fault {
        HeadFault::NoAttemptId => "the request has no identity",
        HeadFault::NoHost => "the request names no host",
        HeadFault::BadDeadline => "the deadline is no number",
        HeadFault::BadTokens => "the token bound cannot be read",
        HeadFault::BadPrompt => "the prompt's parts cannot be read",
    };
    Refusal::new(ResultCode::BadRequest, detail)
}
