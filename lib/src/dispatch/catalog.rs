//! What callers may ask for: routes, services, workspaces and their keys.

use std::time::Duration;

/// How often a route's requests may run, and what its answers look like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Idempotent call with one answer.
    Safe,
    /// Call that must not run twice.
    Unsafe,
    /// Stream of events; `resumable` streams are idempotent.
    Stream { resumable: bool },
}

impl CallKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, CallKind::Safe | CallKind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Stream { .. })
    }
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    pub service: String,
    /// Relative weight among the route's backends.
    pub weight: u32,
}

/// Requests of one host whose paths begin with one prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    pub name: String,
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    pub kind: CallKind,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Latency objective: first event of a stream, or whole answer.
    pub latency_objective: Duration,
    pub backends: Vec<Backend>,
    /// Targets that may run one request.
    pub max_attempts: u32,
    /// Whether no workspace key is needed.
    pub public: bool,
}

/// Limits of a service's model engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Most tokens that one event of a stream holds.
    pub tokens_per_event: u64,
}

/// Group of interchangeable targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    pub name: String,
    /// Present for services of model engines, whose requests cost tokens.
    pub engine: Option<EngineLimits>,
}

/// Customer with its keys and its prepaid tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    pub name: String,
    /// Tokens prepaid in all; `None` where nothing is charged.
    pub prepaid: Option<u64>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    /// Longest time that a request's body may take to arrive.
    pub read_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            read_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Key of a caller with the workspace that holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerKey {
    pub key: String,
    /// Index into [`Catalog::workspaces`].
    pub workspace: usize,
}

/// One version of everything that callers may ask for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    pub version: u64,
    /// Sorted by host and prefix.
    routes: Vec<Route>,
    /// Sorted by name.
    services: Vec<Service>,
    workspaces: Vec<Workspace>,
    /// Sorted by key.
    keys: Vec<CallerKey>,
    pub limits: CallerLimits,
}

impl Catalog {
    /// Sorts the parts for look-ups.
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
        Catalog { version, routes, services, workspaces, keys, limits }
    }

    /// Route of a host with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let mut end = path.rfind('/')? + 1;
        loop {
            let wanted = (host, &path[..end]);
            let found = self.routes.binary_search_by(|route| {
                (route.host.as_str(), route.prefix.as_str()).cmp(&wanted)
            });
            if let Ok(at) = found {
                return Some(&self.routes[at]);
            }
            end = path[..end - 1].rfind('/')? + 1;
        }
    }

    /// Service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self.services.binary_search_by(|service| service.name.as_str().cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// Workspace that holds a caller's key.
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        let at = self.keys.binary_search_by(|held| held.key.as_str().cmp(key)).ok()?;
        self.workspaces.get(self.keys[at].workspace)
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}

impl Route {
    /// Service for a request; `random` is spread evenly over all values.
    pub fn service_for(&self, random: u64) -> Option<&str> {
        let total: u64 = self.backends.iter().map(|backend| u64::from(backend.weight)).sum();
        let mut rest = random.checked_rem(total)?;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if rest < weight {
                return Some(&backend.service);
            }
            rest -= weight;
        }
        None
    }
}
