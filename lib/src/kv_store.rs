//! Interface of the platform's key-value service, which stores the configuration, budgets,
//! claims and the placer's lease.
//!
//! Every call has a timeout and one of three outcomes: done, not done, or unknown.
//! A write whose outcome is unknown may have taken effect. It may also still take
//! effect later, until another write has changed the revision of its key.

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
    /// Identifier of a lease, whose keys are deleted when it is not renewed in time.
    LeaseId(u64)
}

/// Value of a key with the key's revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    pub revision: Revision,
    pub value: Vec<u8>,
}

/// Outcome of a call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The call took effect and returned this answer.
    Done(T),
    /// The call certainly took no effect.
    NotDone(NotDone),
    /// The call may have taken effect or may still take effect.
    Unknown,
}

impl<T> Outcome<T> {
    /// Returns the answer if the call is known to have taken effect.
    pub fn done(self) -> Option<T> {
        match self {
            Outcome::Done(value) => Some(value),
            Outcome::NotDone(_) | Outcome::Unknown => None,
        }
    }
}

/// Reason why a call certainly took no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotDone {
    /// The key's revision is not the expected one.
    Conflict { current: Revision },
    /// The service refused the call or could not be reached.
    Unavailable,
    /// The lease no longer exists.
    LeaseGone,
    /// The value exceeds [`MAX_VALUE_BYTES`].
    TooLarge,
}

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Era of a service, as far as its answers have stated it; `None` before the first that does.
pub type EraReceiver = tokio::sync::watch::Receiver<Option<u64>>;

/// Notices each restore of a service from a copy. The first era that is stated is no restore.
#[derive(Clone, Debug)]
pub struct RestoreWatch {
    era: EraReceiver,
    /// Era up to which restores have been returned.
    seen: Option<u64>,
}

impl RestoreWatch {
    /// Opens a watch for restores after the present era.
    pub fn open(mut era: EraReceiver) -> RestoreWatch {
        let seen = *era.borrow_and_update();
        RestoreWatch { era, seen }
    }

    /// Returns the new era if the service was restored since the last restore that was returned.
    pub fn take_restored(&mut self) -> Option<u64> {
        let now = (*self.era.borrow_and_update())?;
        let seen = self.seen.replace(now)?;
        (seen < now).then_some(now)
    }

    /// Waits until the service was restored, and returns its new era; a restore since the last one
    /// that was returned counts. Waits for good if the service cannot be restored any more.
    pub async fn restored(&mut self) -> u64 {
        loop {
            if let Some(era) = self.take_restored() {
                return era;
            }
            if self.era.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

/// The platform's key-value service.
#[async_trait]
pub trait KvStore: Send + Sync {
    /// Returns the service's era, which rises each time it is restored from an older copy of its
    /// contents; `None` for a service that loses nothing.
    ///
    /// The era of an answer is known before the answer is returned.
    fn era(&self) -> Option<EraReceiver> {
        None
    }

    /// Reads a key; returns `None` if it is absent.
    async fn get(&self, key: &str, timeout: Duration) -> Outcome<Option<Versioned>>;

    /// Writes `value` if the key's revision is `expected`; returns the new revision.
    ///
    /// If a lease is given, the key is deleted when the lease ends.
    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: Vec<u8>,
        lease: Option<LeaseId>,
        timeout: Duration,
    ) -> Outcome<Revision>;

    /// Waits until the key's revision differs from `last_read`; returns `None` on timeout.
    ///
    /// For a deleted key, returns [`Revision::ABSENT`] and an empty value.
    async fn watch(
        &self,
        key: &str,
        last_read: Revision,
        timeout: Duration,
    ) -> Outcome<Option<Versioned>>;

    /// Creates a lease that ends `ttl` after its last renewal.
    async fn open_lease(&self, ttl: Duration, timeout: Duration) -> Outcome<LeaseId>;

    /// Renews a lease.
    async fn keep_alive(&self, lease: LeaseId, timeout: Duration) -> Outcome<()>;

    /// Ends a lease and deletes its keys.
    async fn close_lease(&self, lease: LeaseId, timeout: Duration) -> Outcome<()>;
}
