//! Admission: authenticates a caller, resolves the route and bounds the request's cost.
//!
//! A request that passes becomes a [`Job`], which is then delivered.

use std::sync::Arc;
use std::time::Instant;

use rosemarymoor_lib::config::{Config, Route, TargetKind, Workspace};
use rosemarymoor_lib::id::{BudgetId, RequestId};
use rosemarymoor_lib::request_bound::ChatRequest;
use rosemarymoor_lib::request_identity::{RequestContent, identify};
use rosemarymoor_lib::result_code::{Refusal, ResultCode};
use rosemarymoor_lib::routing::PREFIX_BYTES;
use rosemarymoor_lib::wire::{CallSpec, Price};

use super::job::Job;
use super::key_index::WorkspaceKeys;

/// Path of chat completions, at the entry and at an engine.
pub const CHAT_PATH: &str = "/v1/chat/completions";

const JSON: &str = "application/json";
const BEARER: &str = "Bearer ";
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
const MAX_BUDGET_NAME_BYTES: usize = 128;
/// Retry-after of an entry that has no configuration yet, in milliseconds.
const NOT_CONFIGURED_RETRY_AFTER_MS: u64 = 1_000;

/// Request headers that admission reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallHeaders<'a> {
    /// `Authorization`, with the workspace key as bearer token.
    pub authorization: Option<&'a str>,
    /// `Idempotency-Key`, which identifies retries of a request.
    pub idempotency_key: Option<&'a str>,
    /// `Rosemarymoor-Budget`, the name of the budget to charge.
    pub budget: Option<&'a str>,
    /// `Content-Type` of the body.
    pub content_type: Option<&'a str>,
}

/// Authenticated caller and the configuration that authenticated it.
pub struct Caller<'a> {
    /// Configuration that applies to the request.
    pub cfg: &'a Config,
    /// Workspace that the caller's key belongs to.
    pub workspace: &'a Workspace,
    headers: CallHeaders<'a>,
}

/// Call to an application route as the caller sent it.
pub struct AppCall<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query at the target.
    pub path: &'a str,
}

/// Finds the workspace that the bearer token belongs to and checks the headers' lengths.
///
/// Refuses the call if no configuration has arrived, the key is missing or unknown,
/// or a header is empty or too long.
pub fn authenticate<'a>(
    cfg: &'a Arc<Config>,
    keys: &WorkspaceKeys,
    headers: CallHeaders<'a>,
) -> Result<Caller<'a>, Refusal> {
    if cfg.revision == 0 {
        let refusal = Refusal::new(ResultCode::NotConfigured, "no configuration has arrived yet");
        return Err(refusal.retry_after(NOT_CONFIGURED_RETRY_AFTER_MS));
    }
    let key = headers.authorization.and_then(|value| value.strip_prefix(BEARER));
    let unauthorized = || Refusal::new(ResultCode::Unauthorized, "send a workspace key as bearer");
    let key = key.ok_or_else(unauthorized)?;
    let workspace = keys.find(cfg, key.trim()).ok_or_else(unauthorized)?;
    check_length(headers.idempotency_key, MAX_IDEMPOTENCY_KEY_BYTES, "Idempotency-Key")?;
    check_length(headers.budget, MAX_BUDGET_NAME_BYTES, "Rosemarymoor-Budget")?;
    Ok(Caller { cfg, workspace, headers })
}

fn check_length(value: Option<&str>, limit: usize, name: &str) -> Result<(), Refusal> {
    match value {
        Some(value) if value.is_empty() || value.len() > limit => Err(Refusal::new(
            ResultCode::BadRequest,
            format!("{name} must have between 1 and {limit} bytes"),
        )),
        _ => Ok(()),
    }
}

impl<'a> Caller<'a> {
    /// Returns a route of the given kind that the workspace may use, or refuses the call.
    pub fn route(&self, name: &str, kind: TargetKind) -> Result<&'a Route, Refusal> {
        let allowed = self.workspace.routes.binary_search_by(|route| route.as_str().cmp(name));
        let route = allowed.ok().and_then(|_| self.cfg.route(name));
        route.filter(|route| route.kind == kind).ok_or_else(|| {
            Refusal::new(ResultCode::UnknownRoute, format!("no {kind} route `{name}`"))
        })
    }

    /// Returns the largest body that any engine route of the workspace accepts, in bytes.
    pub fn max_chat_body_bytes(&self) -> u64 {
        let routes = self.workspace.routes.iter().filter_map(|name| self.cfg.route(name));
        let engines = routes.filter(|route| route.kind == TargetKind::Engine);
        engines.map(|route| route.max_body_bytes).max().unwrap_or_default()
    }

    /// Admits a chat completions call, or refuses it if it is invalid or above a limit.
    pub fn admit_chat(&self, body: &[u8]) -> Result<Job, Refusal> {
        let chat = ChatRequest::parse(body)?;
        let route = self.route(chat.model()?, TargetKind::Engine)?;
        check_body(body.len() as u64, route)?;
        let budget = self.budget(chat.user()?)?;
        let bounded = chat.into_bounded(route)?;
        let call = CallSpec {
            method: "POST".to_owned(),
            path: CHAT_PATH.to_owned(),
            content_type: JSON.to_owned(),
            stream: bounded.stream,
            body: bounded.body,
        };
        Ok(self.job(route, budget, bounded.worst_case_tokens, bounded.prefix, call))
    }

    /// Admits a call to an application route, or refuses it if no budget is named.
    pub fn admit_app(
        &self,
        route: &Route,
        app: &AppCall<'_>,
        body: Vec<u8>,
    ) -> Result<Job, Refusal> {
        let budget = self.budget(None)?;
        let call = CallSpec {
            method: app.method.to_owned(),
            path: app.path.to_owned(),
            content_type: self.headers.content_type.unwrap_or_default().to_owned(),
            stream: false,
            body,
        };
        let prefix = call.body[..call.body.len().min(PREFIX_BYTES)].to_vec();
        Ok(self.job(route, budget, app_worst_case_tokens(route), prefix, call))
    }

    fn job(
        &self,
        route: &Route,
        budget: BudgetId,
        worst_case_tokens: u64,
        prefix: Vec<u8>,
        call: CallSpec,
    ) -> Job {
        let content = RequestContent {
            workspace: &self.workspace.name,
            route: &route.name,
            method: &call.method,
            path: &call.path,
            body: &call.body,
        };
        let key = self.headers.idempotency_key;
        let identity = identify(content, route, key, RequestId::random());
        let worst_case_tokens = match route.price {
            Price::Usage => worst_case_tokens,
            Price::Fixed(tokens) => tokens,
        };
        Job {
            identity,
            route: route.clone(),
            budget,
            worst_case_tokens,
            call,
            prefix,
            admitted_at: Instant::now(),
            join_only: false,
        }
    }

    fn budget(&self, user: Option<&str>) -> Result<BudgetId, Refusal> {
        let default = self.workspace.default_budget.as_deref();
        let name = self.headers.budget.or(user).or(default).ok_or_else(|| {
            Refusal::new(ResultCode::UnknownBudget, "name a budget in Rosemarymoor-Budget")
        })?;
        Ok(BudgetId { workspace: self.workspace.name.clone(), name: name.to_owned() })
    }
}

/// Refuses a body above the limit of its route; `length` is in bytes.
fn check_body(length: u64, route: &Route) -> Result<(), Refusal> {
    if length > route.max_body_bytes {
        return Err(body_too_large(route.max_body_bytes));
    }
    Ok(())
}

/// Returns the refusal of a body above `limit` bytes.
pub fn body_too_large(limit: u64) -> Refusal {
    Refusal::new(ResultCode::BodyTooLarge, format!("the limit is {limit} bytes"))
}

/// Returns the most that a call to an application route can cost, in tokens.
fn app_worst_case_tokens(route: &Route) -> u64 {
    match route.price {
        Price::Fixed(tokens) => tokens,
        Price::Usage => route.max_tokens,
    }
}
