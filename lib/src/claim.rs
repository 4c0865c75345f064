//! Durable claims that keep a non-repeatable request from running twice.
//!
//! An entry claims such a request before delivering it. Claims are packed into
//! shards, each one value in the key-value service, and change only by
//! compare-and-swap. A claim carries its owner's token, so that a write whose
//! response was lost is recognised when the shard is read again. It names the
//! sidecar that receives the request, so that a retry can fetch the answer there.
//!
//! [`ClaimShard`] applies changes without I/O; [`Claims`] batches them into
//! writes, with at most one write in flight per shard.

mod store;
mod table;

pub use store::{AcquireResult, Claims};
pub use table::{
    ChangeOutcome, Claim, ClaimChange, ClaimObservations, ClaimShard, ClaimState, ClaimToken,
    StoredAnswer,
};

use crate::id::RequestId;

/// Number of claim shards in the store; must be the same on every host of the fleet.
pub const CLAIM_SHARDS: u32 = 64;

/// Returns the number of the shard that holds the claim of a request.
pub fn claim_shard(request: RequestId) -> u32 {
    (request.0 % u128::from(CLAIM_SHARDS)) as u32
}

/// Returns the store key of a claim shard.
pub fn claim_key(shard: u32) -> String {
    format!("claim/{shard}")
}
