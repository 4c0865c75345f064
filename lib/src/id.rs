//! Identifiers that processes exchange.

use derive_more::Display;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::number_type::number_type;

number_type! {
    /// Identifier of an epoch of an entry process, under which the ledger grants it tokens.
    EpochId(u64) as "{:016x}"
}

impl EpochId {
    /// Returns a random epoch.
    pub fn random() -> EpochId {
        EpochId(rand::rng().random())
    }
}

number_type! {
    /// Identity of a caller's request, equal for all retries of it.
    RequestId(u128) as "{:032x}"
}

impl RequestId {
    /// Returns a random identity, for a request that has none of its own.
    pub fn random() -> RequestId {
        RequestId(rand::rng().random())
    }

    /// Returns the identity derived from the workspace and the caller's idempotency key.
    pub fn from_key(workspace: &str, key: &str) -> RequestId {
        RequestId(digest128(&["idempotency-key", workspace, key]))
    }
}

number_type! {
    /// Number of a delivery of a request to a sidecar.
    #[derive(Default)]
    Attempt(u32)
}

/// Identifier of a budget: its workspace and its name in the workspace.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{workspace}/{name}")]
pub struct BudgetId {
    pub workspace: String,
    pub name: String,
}

number_type! {
    /// Identifier of an operator's change or top-up, which makes retries idempotent.
    OperationId(u128) as "{:032x}"
}

impl OperationId {
    /// Returns a random identifier.
    pub fn random() -> OperationId {
        OperationId(rand::rng().random())
    }
}

/// Returns the first 128 bits of the BLAKE3 digest of the length-prefixed parts.
pub fn digest128<P: AsRef<[u8]>>(parts: &[P]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        let part = part.as_ref();
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    u128::from_le_bytes(first)
}
