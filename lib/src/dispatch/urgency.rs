//! Urgency of requests at a target, by the priorities that the configuration gives them.
//!
//! A stream that is taken up again goes before the new requests of its priority: its caller already
//! waits in the middle of an answer.

use super::catalog::{Route, Workspace};

/// Lowest urgency that a target knows.
const LOWEST: u8 = 9;

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

/// Returns the priority of a request, 0 is the highest; `None` if neither the workspace nor the
/// route has one.
pub fn priority_of(route: &Route, workspace: Option<&Workspace>) -> Option<u8> {
    workspace.and_then(|workspace| workspace.priority).or(route.priority)
}

/// Returns the urgency of a request at its target, 0 is the highest.
pub fn urgency_of(priority: u8, beginning: Beginning) -> u8 {
    match beginning {
        Beginning::New => priority.saturating_add(1).min(LOWEST),
        Beginning::Late => priority.saturating_add(2).min(LOWEST),
        Beginning::TakenUp => priority.min(LOWEST),
    }
}
