//! Catalog of what callers may request: routes, services, workspaces and keys.
//!
//! An entry authenticates a request and finds its route and service here before
//! it selects a target.

use std::time::Duration;

use super::cold_start::ColdStart;
use super::order::urgency::PriorityRanks;

/// Whether a route's requests may be repeated, and the shape of its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Idempotent call with a single answer.
    Safe,
    /// Call with a single answer that must not run more than once.
    Unsafe,
    /// Call answered by a stream of events; `resumable` streams are idempotent.
    Stream { resumable: bool },
}

impl CallKind {
    /// Returns whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, CallKind::Safe | CallKind::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Stream { .. })
    }
}

/// Service of a route and the share of requests that it receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other backends.
    pub weight: u32,
}

/// Rules for the requests of one host whose paths start with one prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    pub name: String,
    /// Host name that the requests are addressed to.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    pub kind: CallKind,
    /// Time limit for the complete answer.
    pub timeout: Duration,
    /// Desired time to the first event of a stream, or to the complete answer.
    pub latency_objective: Duration,
    pub backends: Vec<Backend>,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u32,
    /// Priority of the requests, 0 is the highest; `None` if the route has none.
    pub priority: Option<u8>,
    /// Whether requests need no workspace key.
    pub public: bool,
    /// Regions in which targets may serve the requests; empty if any will do.
    pub allowed_regions: Vec<String>,
}

/// Limits of a service's model engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Maximum number of tokens in one event of a stream.
    pub tokens_per_event: u64,
}

/// Group of interchangeable targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    /// Set for services of model engines, whose requests are charged in tokens.
    pub engine: Option<EngineLimits>,
    /// Set for services whose targets take few requests at first.
    pub cold_start: Option<ColdStart>,
}

/// Customer account with its prepaid tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    pub name: String,
    /// Total prepaid tokens; `None` if requests are not charged.
    pub prepaid: Option<u64>,
    /// Priority of the requests, which goes before that of their routes; `None` if it has none.
    pub priority: Option<u8>,
    /// Regions in which targets may serve the requests, besides those of the route; empty if any
    /// will do.
    pub allowed_regions: Vec<String>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's header.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body.
    pub max_body_bytes: usize,
    /// Time after which a connection is closed on which no complete head of a request arrives.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Caller's key and the workspace that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerKey {
    pub key: String,
    /// Index into `Catalog::workspaces`.
    pub workspace: usize,
}

/// One version of the catalog, indexed for look-ups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version number that the platform gave the catalog.
    pub version: u64,
    /// Sorted by host and prefix.
    routes: Vec<Route>,
    /// Sorted by name.
    services: Vec<Service>,
    workspaces: Vec<Workspace>,
    /// Sorted by key.
    keys: Vec<CallerKey>,
    ranks: PriorityRanks,
    pub limits: CallerLimits,
}

impl Catalog {
    /// Builds a catalog from unsorted parts.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        workspaces: Vec<Workspace>,
        mut keys: Vec<CallerKey>,
        limits: CallerLimits,
    ) -> Catalog {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        keys.sort_by(|a, b| a.key.cmp(&b.key));
        let of_routes = routes.iter().map(|route| route.priority).collect();
        let of_workspaces = workspaces.iter().map(|workspace| workspace.priority).collect();
        let ranks = PriorityRanks::new(of_routes, of_workspaces);
        Catalog { version, routes, services, workspaces, keys, ranks, limits }
    }

    /// Returns the host's route with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let mut end = path.rfind('/')? + 1;
        loop {
            let key = (host, &path[..end]);
            let found = self
                .routes
                .binary_search_by(|route| (route.host.as_str(), route.prefix.as_str()).cmp(&key));
            if let Ok(at) = found {
                return Some(&self.routes[at]);
            }
            end = path[..end - 1].rfind('/')? + 1;
        }
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self.services.binary_search_by(|service| service.name.as_str().cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// Iterates over all services, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.iter()
    }

    /// Returns the workspace that a caller's key belongs to.
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        let at = self.keys.binary_search_by(|entry| entry.key.as_str().cmp(key)).ok()?;
        self.workspaces.get(self.keys[at].workspace)
    }

    /// Returns the rank of a request by its priorities, 0 is the highest; `None` if it has none.
    pub fn rank(&self, route: &Route, workspace: Option<&Workspace>) -> Option<u8> {
        self.ranks.rank(route.priority, workspace.and_then(|workspace| workspace.priority))
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}

impl Route {
    /// Returns whether requests may go to a service.
    pub fn uses(&self, service: &str) -> bool {
        self.backends.iter().any(|backend| backend.service == service && backend.weight > 0)
    }

    /// Picks a backend's service by weight; `random` is uniformly distributed.
    ///
    /// Returns `None` if the weights add up to zero.
    pub fn service_for(&self, random: u64) -> Option<&str> {
        let total: u64 = self.backends.iter().map(|backend| u64::from(backend.weight)).sum();
        let mut remainder = random.checked_rem(total)?;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if remainder < weight {
                return Some(&backend.service);
            }
            remainder -= weight;
        }
        None
    }
}
