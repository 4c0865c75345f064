//! Mix of requests, in kind and size, that the measures load a fleet with.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rosemarymoor_testutils::fleet::FleetPlan;

use crate::caller::{Call, CallKind};

/// Kinds and their shares of the requests, in percent.
const SHARES: &[(CallKind, u32)] = &[
    (CallKind::Dossier, 8),
    (CallKind::Digest, 12),
    (CallKind::Quick, 50),
    (CallKind::Status, 20),
    (CallKind::Submission, 10),
];

const MAX_ATTEMPTS: u32 = 4;

/// Returns a random kind, weighted by [`SHARES`].
pub fn kind(rng: &mut SmallRng) -> CallKind {
    let mut point = rng.random_range(0..100);
    for (kind, share) in SHARES {
        if point < *share {
            return *kind;
        }
        point -= share;
    }
    CallKind::Quick
}

/// Returns a call of the given kind and of random size, paid from the given budget.
///
/// The marker names the call by its number, the seed and the budget.
pub fn call(
    plan: &FleetPlan,
    rng: &mut SmallRng,
    number: u64,
    kind: CallKind,
    budget: usize,
) -> Call {
    let (tokens, timeout) = match kind {
        CallKind::Dossier => (rng.random_range(200..400), 60),
        CallKind::Digest => (rng.random_range(80..200), 60),
        _ => (rng.random_range(8..32), 15),
    };
    Call {
        marker: format!("c{number}-s{}-b{budget}", plan.seed),
        kind,
        workspace: plan.budgets[budget].workspace,
        budget,
        budget_name: plan.budgets[budget].name.clone(),
        tokens,
        max_tokens: tokens + tokens / 4,
        stream: kind == CallKind::Dossier || rng.random_bool(0.3),
        prefix: String::new(),
        max_attempts: MAX_ATTEMPTS,
        timeout: Duration::from_secs(timeout),
    }
}
