//! Mix of both organisations' requests.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rosemarymoor_testutils::fleet::FleetPlan;

use crate::caller::{Call, Kind};

/// Kinds with their share in a hundred requests.
const SHARES: &[(Kind, u32)] = &[
    (Kind::Dossier, 8),
    (Kind::Digest, 12),
    (Kind::Quick, 50),
    (Kind::Status, 20),
    (Kind::Submission, 10),
];

const TRIES: u32 = 4;

/// Random kind of the mix.
pub fn kind(rng: &mut SmallRng) -> Kind {
    let mut at = rng.random_range(0..100);
    for (kind, share) in SHARES {
        if at < *share {
            return *kind;
        }
        at -= share;
    }
    Kind::Quick
}

/// Request of the given kind that a budget pays for.
pub fn call(plan: &FleetPlan, rng: &mut SmallRng, number: u64, kind: Kind, budget: usize) -> Call {
    let (tokens, timeout) = match kind {
        Kind::Dossier => (rng.random_range(200..400), 60),
        Kind::Digest => (rng.random_range(80..200), 60),
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
        stream: kind == Kind::Dossier || rng.random_bool(0.3),
        prefix: String::new(),
        tries: TRIES,
        timeout: Duration::from_secs(timeout),
    }
}
