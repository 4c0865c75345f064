//! Office of the placer: a lease to keep others out, a number to be safe.

use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;

use crate::fencing::FENCING_KEY;
use crate::kv_store::{KvStore, LeaseId, NotDone, Outcome, Revision};

/// Key that the placer in office holds by its lease.
pub const HOLDER_KEY: &str = "placer/holder";

const LEASE_TTL: Duration = Duration::from_secs(10);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a host is not the placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum PlacerLeaseError {
    #[snafu(display("another host is the placer"))]
    HeldByOther,
    #[snafu(display("the key-value service does not answer"))]
    Unavailable,
    #[snafu(display("the stored fencing number cannot be read"))]
    Malformed,
}

/// Time in office, with a fencing number that no other tenure has.
pub struct PlacerLease {
    kv: Arc<dyn KvStore>,
    lease: LeaseId,
    fencing: u64,
}

impl PlacerLease {
    /// Takes office if nobody holds it.
    ///
    /// The number is raised after the lease is held, so that the newest holder
    /// always has the highest one. A lost answer leaves a gap in the numbers.
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

    /// Number that this tenure's orders carry.
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// Renews the lease.
    pub async fn renew(&self) -> Result<(), PlacerLeaseError> {
        match self.kv.keep_alive(self.lease, CALL_TIMEOUT).await {
            Outcome::Done(()) => Ok(()),
            Outcome::NotDone(NotDone::LeaseGone) => Err(PlacerLeaseError::HeldByOther),
            Outcome::NotDone(_) | Outcome::Unknown => Err(PlacerLeaseError::Unavailable),
        }
    }

    /// Leaves office, so that another host need not wait for the lease to end.
    pub async fn release(self) {
        self.kv.close_lease(self.lease, CALL_TIMEOUT).await;
    }
}

async fn take_holder_key(
    kv: &dyn KvStore,
    lease: LeaseId,
    host: &str,
) -> Result<u64, PlacerLeaseError> {
    let value = host.as_bytes().to_vec();
    let held = kv.compare_and_swap(HOLDER_KEY, Revision::ABSENT, value, Some(lease), CALL_TIMEOUT);
    match held.await {
        Outcome::Done(_) => {}
        Outcome::NotDone(NotDone::Conflict { .. }) => return Err(PlacerLeaseError::HeldByOther),
        Outcome::NotDone(_) | Outcome::Unknown => return Err(PlacerLeaseError::Unavailable),
    }
    raise_fencing(kv).await
}

/// Raises the stored number by one; only a confirmed write counts.
async fn raise_fencing(kv: &dyn KvStore) -> Result<u64, PlacerLeaseError> {
    let stored =
        kv.get(FENCING_KEY, CALL_TIMEOUT).await.done().ok_or(PlacerLeaseError::Unavailable)?;
    let (revision, highest) = match stored {
        None => (Revision::ABSENT, 0),
        Some(held) => {
            let highest: u64 =
                serde_json::from_slice(&held.value).map_err(|_| PlacerLeaseError::Malformed)?;
            (held.revision, highest)
        }
    };
    let raised = highest + 1;
    let value = raised.to_string().into_bytes();
    match kv.compare_and_swap(FENCING_KEY, revision, value, None, CALL_TIMEOUT).await {
        Outcome::Done(_) => Ok(raised),
        Outcome::NotDone(_) | Outcome::Unknown => Err(PlacerLeaseError::Unavailable),
    }
}
