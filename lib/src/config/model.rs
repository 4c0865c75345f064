//! Domain types of an accepted configuration.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::wire::{Class, Price};

/// Accepted configuration; immutable, each table sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Grows by one with each accepted change; zero before the first.
    pub revision: u64,
    pub workspaces: Vec<Workspace>,
    pub budgets: Vec<BudgetSettings>,
    pub routes: Vec<Route>,
    pub targets: Vec<Target>,
}

impl Config {
    /// Workspace by name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        find(&self.workspaces, |workspace| workspace.name.as_str().cmp(name))
    }

    /// Route by name.
    pub fn route(&self, name: &str) -> Option<&Route> {
        find(&self.routes, |route| route.name.as_str().cmp(name))
    }

    /// Budget by workspace and name.
    pub fn budget(&self, workspace: &str, name: &str) -> Option<&BudgetSettings> {
        find(&self.budgets, |budget| {
            (budget.workspace.as_str(), budget.name.as_str()).cmp(&(workspace, name))
        })
    }

    /// Sorts every table, as all look-ups and the store expect.
    pub fn sort(&mut self) {
        self.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        self.budgets.sort_by(|a, b| (&a.workspace, &a.name).cmp(&(&b.workspace, &b.name)));
        self.routes.sort_by(|a, b| a.name.cmp(&b.name));
        self.targets.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Target by name.
    pub fn target(&self, name: &str) -> Option<&Target> {
        find(&self.targets, |target| target.name.as_str().cmp(name))
    }
}

fn find<T>(sorted: &[T], order: impl FnMut(&T) -> std::cmp::Ordering) -> Option<&T> {
    let at = sorted.binary_search_by(order).ok()?;
    Some(&sorted[at])
}

/// Workspace of one operator's end users.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    pub name: String,
    /// BLAKE3 digests of the keys that authenticate its callers, hexadecimal.
    pub key_digests: Vec<String>,
    /// Names of the routes that its callers may use, sorted.
    pub routes: Vec<String>,
    /// Budget that pays for requests that name none.
    pub default_budget: Option<String>,
    /// Relative share of a contended target.
    pub weight: u32,
}

/// Budget declared in the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetSettings {
    pub workspace: String,
    pub name: String,
    /// Tokens credited once, when the budget first appears.
    pub initial_tokens: u64,
}

/// What kind of target a route leads to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    #[display("engine")]
    Engine,
    #[display("application")]
    Application,
}

/// How a route chooses among its targets.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum PolicyName {
    #[display("uniform")]
    Uniform,
    #[display("two-choices")]
    TwoChoices,
    #[display("bounded-rendezvous")]
    BoundedRendezvous,
}

/// Route that callers name by `model` or by path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub name: String,
    pub kind: TargetKind,
    pub class: Class,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Names of the targets that serve it, sorted.
    pub targets: Vec<String>,
    /// Model name passed to the engine; empty for application routes.
    pub model: String,
    pub price: Price,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Upper bound on prompt tokens that the operator vouches for.
    pub max_prompt_tokens: Option<u64>,
    /// Largest `max_tokens`, and the value for requests that give none.
    pub max_tokens: u64,
    /// Time from acceptance to the end of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// How long a finished request is remembered for retries, in milliseconds.
    pub retry_window_ms: u64,
    pub policy: PolicyName,
    /// Retries allowed for each hundred requests.
    pub retry_percent: u32,
}

/// Target and the sidecar before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub name: String,
    pub kind: TargetKind,
    /// Host in the platform's list whose sidecar guards the target.
    pub host: String,
    pub data_center: String,
    pub region: String,
    /// Requests that the target runs at the same time.
    pub slots: u32,
    /// Slots kept free for class quick.
    pub quick_slots: u32,
    /// Whether the target itself refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Models that the target is to have loaded, as `model` or `model@version`.
    pub models: Vec<String>,
}
