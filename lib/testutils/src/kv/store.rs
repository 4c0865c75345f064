//! Stored keys, revisions and leases of the key-value stand-in.
//!
//! The HTTP side in the parent module reads and changes this state for each call.

use std::time::{Duration, Instant};

/// Result of a conditional write.
pub(super) enum Put {
    /// Revision that the key now has.
    Done(u64),
    /// Current revision, which differs from the expected one.
    Conflict(u64),
    /// The lease does not exist or has expired.
    LeaseGone,
}

/// Key with its value.
pub(super) struct KeyValue {
    key: String,
    pub(super) revision: u64,
    pub(super) value: Vec<u8>,
    /// Lease whose end deletes the key.
    lease: Option<u64>,
}

struct Lease {
    id: u64,
    ttl: Duration,
    expires_at: Instant,
}

/// All keys and leases, sorted by key and by lease number.
#[derive(Default)]
pub(super) struct Store {
    keys: Vec<KeyValue>,
    leases: Vec<Lease>,
    /// Revision of the last write to any key. One sequence serves all keys, so that a key
    /// which is deleted and written again never repeats a revision.
    last_revision: u64,
    last_lease: u64,
}

impl Store {
    pub(super) fn get(&self, key: &str) -> Option<&KeyValue> {
        self.key_position(key).ok().map(|index| &self.keys[index])
    }

    /// Returns the revision of a key, or 0 if it does not exist.
    pub(super) fn revision(&self, key: &str) -> u64 {
        self.get(key).map_or(0, |stored| stored.revision)
    }

    /// Returns the keys that begin with `prefix`, sorted.
    pub(super) fn keys(&self, prefix: &str) -> Vec<String> {
        let matching = self.keys.iter().filter(|stored| stored.key.starts_with(prefix));
        matching.map(|stored| stored.key.clone()).collect()
    }

    /// Writes a key if its current revision is `expected`; 0 expects an absent key.
    pub(super) fn put(
        &mut self,
        key: &str,
        expected: u64,
        value: Vec<u8>,
        lease: Option<u64>,
    ) -> Put {
        if lease.is_some_and(|id| self.lease_index(id).is_none()) {
            return Put::LeaseGone;
        }
        let current = self.revision(key);
        if current != expected {
            return Put::Conflict(current);
        }
        self.last_revision += 1;
        let stored = KeyValue { key: key.to_owned(), revision: self.last_revision, value, lease };
        match self.key_position(key) {
            Ok(index) => self.keys[index] = stored,
            Err(index) => self.keys.insert(index, stored),
        }
        Put::Done(self.last_revision)
    }

    /// Opens a lease that expires `ttl` after `now` and returns its number.
    pub(super) fn open_lease(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        self.leases.push(Lease { id: self.last_lease, ttl, expires_at: now + ttl });
        self.last_lease
    }

    /// Extends a lease to its full time from `now`; returns false if it does not exist.
    pub(super) fn renew_lease(&mut self, id: u64, now: Instant) -> bool {
        let Some(index) = self.lease_index(id) else {
            return false;
        };
        let lease = &mut self.leases[index];
        lease.expires_at = now + lease.ttl;
        true
    }

    /// Closes a lease and deletes its keys; returns false if it does not exist.
    pub(super) fn close_lease(&mut self, id: u64) -> bool {
        let Some(index) = self.lease_index(id) else {
            return false;
        };
        self.leases.remove(index);
        self.keys.retain(|stored| stored.lease != Some(id));
        true
    }

    /// Closes the leases that have expired; returns whether there were any.
    pub(super) fn expire_leases(&mut self, now: Instant) -> bool {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|lease| lease.expires_at <= now)
            .map(|lease| lease.id)
            .collect();
        for id in &expired {
            self.close_lease(*id);
        }
        !expired.is_empty()
    }

    /// Returns the index of a key, or the index at which to insert it.
    fn key_position(&self, key: &str) -> Result<usize, usize> {
        self.keys.binary_search_by(|stored| stored.key.as_str().cmp(key))
    }

    fn lease_index(&self, id: u64) -> Option<usize> {
        self.leases.binary_search_by_key(&id, |lease| lease.id).ok()
    }
}
