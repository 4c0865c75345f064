//! Urgency of requests at a target, by the priorities that the configuration gives them.
//!
//! A workspace's priority goes before that of its routes, which orders the requests of workspaces
//! with the same priority. The pairs that a configuration names are ranked, so that each has an
//! urgency of its own as far as the targets' levels suffice.
//!
//! A stream that is taken up again goes before the new requests of its rank: its caller already
//! waits in the middle of an answer.

/// Lowest urgency that a target knows.
const LOWEST: u8 = 9;

/// Stands for a missing priority, and goes after all others.
const NO_PRIORITY: u8 = u8::MAX;

/// Whether a request begins at a target or goes on there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beginning {
    /// New request.
    New,
    /// New request that can only be late: it yields to those that can still be in time.
    Late,
    /// Stream of which the caller already has a part.
    TakenUp,
}

/// Priorities of a workspace and a route.
type Priorities = (u8, u8);

/// Ranks of the priorities that a configuration names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PriorityRanks {
    /// Sorted, without duplicates.
    pairs: Vec<Priorities>,
}

impl PriorityRanks {
    /// Ranks the priorities of all routes and workspaces, requests without a workspace included.
    pub fn new(
        mut of_routes: Vec<Option<u8>>,
        mut of_workspaces: Vec<Option<u8>>,
    ) -> PriorityRanks {
        of_workspaces.push(None);
        of_workspaces.sort_unstable();
        of_workspaces.dedup();
        of_routes.sort_unstable();
        of_routes.dedup();
        let mut pairs: Vec<Priorities> = Vec::new();
        for workspace in of_workspaces {
            pairs.extend(of_routes.iter().filter_map(|route| pair(workspace, *route)));
        }
        pairs.sort_unstable();
        PriorityRanks { pairs }
    }

    /// Returns the rank of a request with these priorities, 0 is the highest; `None` if neither its route
    /// nor its workspace has one.
    pub fn rank(&self, of_route: Option<u8>, of_workspace: Option<u8>) -> Option<u8> {
        let pair = pair(of_workspace, of_route)?;
        let at = self.pairs.binary_search(&pair).ok()?;
        Some(u8::try_from(at).unwrap_or(u8::MAX))
    }
}

/// Returns the priorities in the order of their ranks; `None` if both are missing.
fn pair(workspace: Option<u8>, route: Option<u8>) -> Option<Priorities> {
    let has_any = workspace.is_some() || route.is_some();
    has_any.then(|| (workspace.unwrap_or(NO_PRIORITY), route.unwrap_or(NO_PRIORITY)))
}

/// Returns the urgency at its target of a request with this rank, 0 is the highest.
pub fn urgency_of(rank: u8, beginning: Beginning) -> u8 {
    match beginning {
        Beginning::New => rank.saturating_add(1).min(LOWEST),
        Beginning::Late => rank.saturating_add(2).min(LOWEST),
        Beginning::TakenUp => rank.min(LOWEST),
    }
}
