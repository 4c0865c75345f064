//! Ledger access for operators' commands: top-ups and reads of accounts.
//!
//! Each function retries failed store calls with a backoff and jitter.

use std::time::Duration;

use rand::Rng;
use snafu::Snafu;

use super::ledger::{Account, Shard, ledger_key, shard_of};
use crate::id::{BudgetId, OperationId};
use crate::kv_store::{KvStore, NotDone, Outcome, Revision};

/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of attempts of a read or top-up before it fails.
const MAX_ATTEMPTS: u32 = 40;

/// Base of the exponential backoff between two attempts, in milliseconds.
const MIN_BACKOFF_MS: u64 = 8;

/// Longest backoff between two attempts, in milliseconds.
const MAX_BACKOFF_MS: u64 = 500;

/// Error of an operator's access to the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum LedgerError {
    /// The service did not answer any attempt.
    #[snafu(display("the key-value service did not answer"))]
    Unavailable,
    /// The service answered, but other writes came first each time; nothing was changed.
    #[snafu(display("other changes of the ledger came first each time; nothing was changed"))]
    Contended,
    /// The stored shard cannot be decoded.
    #[snafu(display("the ledger shard has an unknown encoding"))]
    Malformed,
    /// The shard with the new account or operation is too large for the store.
    #[snafu(display("the ledger shard is full"))]
    Full,
    /// A write was sent whose outcome is unknown.
    #[snafu(display("whether the top-up took effect is unknown; repeat it with the same id"))]
    Unknown,
}

/// Credits `tokens` to a budget once per operation and returns the account, which is
/// opened if there is none.
///
/// After [`LedgerError::Unknown`] the same operation can be repeated safely.
pub async fn top_up(
    kv: &dyn KvStore,
    shards: u32,
    budget: &BudgetId,
    tokens: u64,
    operation: OperationId,
) -> Result<Account, LedgerError> {
    let shard_number = shard_of(budget, shards);
    let key = ledger_key(shard_number);
    let mut error = LedgerError::Unavailable;
    for attempt in 0..MAX_ATTEMPTS {
        back_off(attempt).await;
        let Some((revision, mut shard)) = read_shard(kv, &key).await? else { continue };
        let account = shard.open_account(budget);
        if !account.top_up(tokens, operation) {
            return Ok(account.clone());
        }
        let credited = account.clone();
        match kv.compare_and_swap(&key, revision, shard.encode(), None, CALL_TIMEOUT).await {
            Outcome::Done(_) => return Ok(credited),
            Outcome::NotDone(NotDone::TooLarge) => return Err(LedgerError::Full),
            Outcome::NotDone(NotDone::Conflict { .. }) if error != LedgerError::Unknown => {
                error = LedgerError::Contended;
            }
            Outcome::NotDone(_) => {}
            Outcome::Unknown => error = LedgerError::Unknown,
        }
    }
    Err(error)
}

/// Returns a budget's account; `None` if it was never credited.
pub async fn read_account(
    kv: &dyn KvStore,
    shards: u32,
    budget: &BudgetId,
) -> Result<Option<Account>, LedgerError> {
    let key = ledger_key(shard_of(budget, shards));
    for attempt in 0..MAX_ATTEMPTS {
        back_off(attempt).await;
        if let Some((_, shard)) = read_shard(kv, &key).await? {
            return Ok(shard.account(budget).cloned());
        }
    }
    Err(LedgerError::Unavailable)
}

/// Returns a shard and its revision; `None` if the store did not answer.
async fn read_shard(kv: &dyn KvStore, key: &str) -> Result<Option<(Revision, Shard)>, LedgerError> {
    match kv.get(key, CALL_TIMEOUT).await {
        Outcome::Done(None) => Ok(Some((Revision::ABSENT, Shard::default()))),
        Outcome::Done(Some(found)) => {
            let shard = Shard::decode(&found.value).ok_or(LedgerError::Malformed)?;
            Ok(Some((found.revision, shard)))
        }
        Outcome::NotDone(_) | Outcome::Unknown => Ok(None),
    }
}

/// Waits before a repeated attempt, with jitter so that writers do not collide again.
async fn back_off(attempt: u32) {
    if attempt == 0 {
        return;
    }
    let limit = (MIN_BACKOFF_MS << attempt.min(10)).min(MAX_BACKOFF_MS);
    let wait = rand::rng().random_range(limit / 2..=limit);
    tokio::time::sleep(Duration::from_millis(wait)).await;
}
