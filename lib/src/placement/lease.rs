//! Lease and fencing number of the active placer.
//!
//! The lease keeps other placers idle; the fencing number makes the orders safe.

use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;

use crate::fencing::FENCING_KEY;
use crate::kv_store::{KvStore, LeaseId, NotDone, Outcome, Revision};

/// Store key that the active placer holds under its lease; its value is the host's name.
pub const HOLDER_KEY: &str = "placer/holder";

/// Time after the last renewal at which the lease ends.
const LEASE_TTL: Duration = Duration::from_secs(10);
/// Timeout for each call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why a host does not hold the placer lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum PlacerLeaseError {
    #[snafu(display("another host is the placer"))]
    HeldByOther,
    #[snafu(display("the key-value service does not answer"))]
    Unavailable,
    #[snafu(display("the stored fencing number cannot be read"))]
    Malformed,
}

/// Lease of the active placer, with a fencing number that no other placer lease has.
pub struct PlacerLease {
    kv: Arc<dyn KvStore>,
    lease: LeaseId,
    fencing: u64,
}

impl PlacerLease {
    /// Acquires the lease if no other host holds it.
    ///
    /// The fencing number is incremented while the lease is held, so that the newest
    /// holder always has the highest one. If the answer to that write is lost, the
    /// lease is given up and its number may be skipped.
    pub async fn acquire(
        kv: Arc<dyn KvStore>,
        host: &str,
    ) -> Result<PlacerLease, PlacerLeaseError> {
        let holder = kv.get(HOLDER_KEY, CALL_TIMEOUT).await;
        if holder.done().ok_or(PlacerLeaseError::Unavailable)?.is_some() {
            return Err(PlacerLeaseError::HeldByOther);
        }
        let lease = kv.open_lease(LEASE_TTL, CALL_TIMEOUT).await;
        let lease = lease.done().ok_or(PlacerLeaseError::Unavailable)?;
        match take_holder_key(kv.as_ref(), lease, host).await {
            Ok(fencing) => Ok(PlacerLease { kv, lease, fencing }),
            Err(err) => {
                kv.close_lease(lease, CALL_TIMEOUT).await;
                Err(err)
            }
        }
    }

    /// Returns the fencing number that the orders under this lease carry.
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// Renews the lease.
    ///
    /// Returns [`PlacerLeaseError::HeldByOther`] if the lease has ended.
    pub async fn renew(&self) -> Result<(), PlacerLeaseError> {
        match self.kv.keep_alive(self.lease, CALL_TIMEOUT).await {
            Outcome::Done(()) => Ok(()),
            Outcome::NotDone(NotDone::LeaseGone) => Err(PlacerLeaseError::HeldByOther),
            Outcome::NotDone(_) | Outcome::Unknown => Err(PlacerLeaseError::Unavailable),
        }
    }

    /// Ends the lease, so that another host need not wait for its expiry.
    pub async fn release(self) {
        self.kv.close_lease(self.lease, CALL_TIMEOUT).await;
    }
}

/// Writes the holder key under the lease and returns a new fencing number.
async fn take_holder_key(
    kv: &dyn KvStore,
    lease: LeaseId,
    host: &str,
) -> Result<u64, PlacerLeaseError> {
    let value = host.as_bytes().to_vec();
    let written =
        kv.compare_and_swap(HOLDER_KEY, Revision::ABSENT, value, Some(lease), CALL_TIMEOUT);
    match written.await {
        Outcome::Done(_) => {}
        Outcome::NotDone(NotDone::Conflict { .. }) => return Err(PlacerLeaseError::HeldByOther),
        Outcome::NotDone(_) | Outcome::Unknown => return Err(PlacerLeaseError::Unavailable),
    }
    increment_fencing(kv).await
}

/// Increments the stored fencing number; returns it only if the write is confirmed.
async fn increment_fencing(kv: &dyn KvStore) -> Result<u64, PlacerLeaseError> {
    let stored =
        kv.get(FENCING_KEY, CALL_TIMEOUT).await.done().ok_or(PlacerLeaseError::Unavailable)?;
    let (revision, highest) = match stored {
        None => (Revision::ABSENT, 0),
        Some(item) => {
            let highest: u64 =
                serde_json::from_slice(&item.value).map_err(|_| PlacerLeaseError::Malformed)?;
            (item.revision, highest)
        }
    };
    let incremented = highest + 1;
    let value = incremented.to_string().into_bytes();
    match kv.compare_and_swap(FENCING_KEY, revision, value, None, CALL_TIMEOUT).await {
        Outcome::Done(_) => Ok(incremented),
        Outcome::NotDone(_) | Outcome::Unknown => Err(PlacerLeaseError::Unavailable),
    }
}
