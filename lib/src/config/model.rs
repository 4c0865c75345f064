//! Data types of a configuration that passed all checks.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::wire::{Class, Price};

/// Configuration of the fleet; each table is sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Increases by one with each accepted change; zero before the first.
    pub revision: u64,
    pub workspaces: Vec<Workspace>,
    pub budgets: Vec<BudgetSettings>,
    pub routes: Vec<Route>,
    pub targets: Vec<Target>,
}

impl Config {
    /// Returns a workspace by name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        find(&self.workspaces, |workspace| workspace.name.as_str().cmp(name))
    }

    /// Returns a route by name.
    pub fn route(&self, name: &str) -> Option<&Route> {
        find(&self.routes, |route| route.name.as_str().cmp(name))
    }

    /// Returns a budget by workspace and name.
    pub fn budget(&self, workspace: &str, name: &str) -> Option<&BudgetSettings> {
        find(&self.budgets, |budget| {
            (budget.workspace.as_str(), budget.name.as_str()).cmp(&(workspace, name))
        })
    }

    /// Sorts every table; look-ups and the store require this order.
    pub fn sort(&mut self) {
        self.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        self.budgets.sort_by(|a, b| (&a.workspace, &a.name).cmp(&(&b.workspace, &b.name)));
        self.routes.sort_by(|a, b| a.name.cmp(&b.name));
        self.targets.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Returns a target by name.
    pub fn target(&self, name: &str) -> Option<&Target> {
        find(&self.targets, |target| target.name.as_str().cmp(name))
    }
}

fn find<T>(sorted: &[T], order: impl FnMut(&T) -> std::cmp::Ordering) -> Option<&T> {
    let at = sorted.binary_search_by(order).ok()?;
    Some(&sorted[at])
}

/// Workspace: callers with their API keys, routes and budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    pub name: String,
    /// Hexadecimal BLAKE3 digests of the API keys that authenticate its callers.
    pub key_digests: Vec<String>,
    /// Names of the routes that its callers may use, sorted.
    pub routes: Vec<String>,
    /// Budget that is charged for requests that name none.
    pub default_budget: Option<String>,
    /// Relative share of a target that several workspaces contend for.
    pub weight: u32,
}

/// Budget declared in the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetSettings {
    pub workspace: String,
    pub name: String,
    /// Tokens credited once, when the budget first appears in the configuration.
    pub initial_tokens: u64,
}

/// Kind of a target and of the routes to it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// Inference engine, which runs a model and reports token usage.
    #[display("engine")]
    Engine,
    /// Application, whose requests cost a fixed number of tokens.
    #[display("application")]
    Application,
}

/// Policy by which a route selects one of its targets.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum PolicyName {
    #[display("uniform")]
    Uniform,
    #[display("two-choices")]
    TwoChoices,
    #[display("bounded-rendezvous")]
    BoundedRendezvous,
}

/// Route, which callers select by the request's `model` or by path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub name: String,
    pub kind: TargetKind,
    pub class: Class,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Names of the targets that serve it, sorted.
    pub targets: Vec<String>,
    /// Model name sent to the engine; empty for application routes.
    pub model: String,
    pub price: Price,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Upper bound on a request's prompt tokens that the operator guarantees.
    pub max_prompt_tokens: Option<u64>,
    /// Largest `max_tokens` of a request, and the default for requests without it.
    pub max_tokens: u64,
    /// Longest time from acceptance of a request to the end of its answer, in milliseconds.
    pub deadline_ms: u64,
    /// How long a finished request is kept for retries, in milliseconds.
    pub retry_window_ms: u64,
    pub policy: PolicyName,
    /// Retries allowed per hundred requests.
    pub retry_percent: u32,
}

/// Target behind a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub name: String,
    pub kind: TargetKind,
    /// Host in the platform's list whose sidecar serves the target.
    pub host: String,
    pub data_center: String,
    pub region: String,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Slots reserved for class quick.
    pub quick_slots: u32,
    /// Whether the target itself rejects orders with an old fencing number.
    pub checks_fencing: bool,
    /// Models that the target has to load, as `model` or `model@version`.
    pub models: Vec<String>,
}
