//! Durable claims: a request that must not repeat is claimed before it runs.
//!
//! Claims are packed into shards of the key-value service and change only by
//! compare-and-swap. A claim carries its owner's token, so that a write whose
//! answer was lost is recognised when the shard is read again, and names the
//! sidecar that gets the request, so that a retry can fetch the outcome there.
//!
//! Decisions are pure and live in [`ClaimShard`]; [`Claims`] batches them into
//! writes, one in flight for each shard.

mod store;
mod table;

pub use store::{AcquireResult, Claims};
pub use table::{
    ChangeOutcome, Claim, ClaimChange, ClaimObservations, ClaimShard, ClaimState, ClaimToken,
    StoredAnswer,
};

use crate::id::RequestId;

/// Number of claim shards in the store; equal for the whole fleet.
pub const CLAIM_SHARDS: u32 = 64;

/// Shard that holds the claim of a request.
pub fn claim_shard(request: RequestId) -> u32 {
    (request.0 % u128::from(CLAIM_SHARDS)) as u32
}

/// Key of a claim shard.
pub fn claim_key(shard: u32) -> String {
    format!("claim/{shard}")
}
