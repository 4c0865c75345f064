//! The platform's key-value service behind a trait.
//!
//! Every call carries a timeout and ends in one of three outcomes: done, not
//! done, or unknown. An unknown write may have taken effect, or may still take
//! effect later, until another write to the same key has moved its revision on.

use std::time::Duration;

use async_trait::async_trait;

use crate::number_type::number_type;

number_type! {
    /// Revision of one key; zero stands for an absent key.
    #[derive(Default)]
    Revision(u64)
}

impl Revision {
    /// Revision of a key that does not exist.
    pub const ABSENT: Revision = Revision(0);
}

number_type! {
    /// Lease that deletes its keys when it is not kept alive.
    LeaseId(u64)
}

/// Value of a key with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    pub revision: Revision,
    pub value: Vec<u8>,
}

/// How a call to the service ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The call took effect; this is its answer.
    Done(T),
    /// The call certainly took no effect.
    NotDone(NotDone),
    /// The call may have taken effect, or may still do so.
    Unknown,
}

impl<T> Outcome<T> {
    /// The answer, if the call is known to have taken effect.
    pub fn done(self) -> Option<T> {
        match self {
            Outcome::Done(value) => Some(value),
            Outcome::NotDone(_) | Outcome::Unknown => None,
        }
    }
}

/// Why a call certainly took no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotDone {
    /// The key stands at another revision than expected.
    Conflict { current: Revision },
    /// The service refused the call or could not be reached.
    Unavailable,
    /// The lease does not exist any more.
    LeaseGone,
    /// The value exceeds [`MAX_VALUE_BYTES`].
    TooLarge,
}

/// Largest value that the service holds.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The platform's key-value service.
#[async_trait]
pub trait KvStore: Send + Sync {
    /// Reads a key; `None` if it is absent.
    async fn get(&self, key: &str, timeout: Duration) -> Outcome<Option<Versioned>>;

    /// Writes `value` if the key stands at `expected`; answers the new revision.
    ///
    /// With a lease, the key is deleted when the lease ends.
    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: Vec<u8>,
        lease: Option<LeaseId>,
        timeout: Duration,
    ) -> Outcome<Revision>;

    /// Waits until the key's revision differs from `seen`; `None` on timeout.
    ///
    /// A key that was deleted is answered at [`Revision::ABSENT`] without a value.
    async fn watch(
        &self,
        key: &str,
        seen: Revision,
        timeout: Duration,
    ) -> Outcome<Option<Versioned>>;

    /// Opens a lease that ends `ttl` after its last renewal.
    async fn open_lease(&self, ttl: Duration, timeout: Duration) -> Outcome<LeaseId>;

    /// Renews a lease.
    async fn keep_alive(&self, lease: LeaseId, timeout: Duration) -> Outcome<()>;

    /// Ends a lease and deletes its keys.
    async fn close_lease(&self, lease: LeaseId, timeout: Duration) -> Outcome<()>;
}
