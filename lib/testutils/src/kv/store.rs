//! Keys, revisions and leases of the key-value stand-in.

use std::time::{Duration, Instant};

/// Result of a conditional write.
pub(super) enum Put {
    Done(u64),
    Conflict(u64),
    LeaseGone,
}

/// One key.
pub(super) struct Held {
    key: String,
    pub(super) revision: u64,
    pub(super) value: Vec<u8>,
    lease: Option<u64>,
}

struct Lease {
    id: u64,
    ttl: Duration,
    ends: Instant,
}

/// All keys and leases, both sorted.
#[derive(Default)]
pub(super) struct Store {
    keys: Vec<Held>,
    leases: Vec<Lease>,
    /// Last revision given out; shared by all keys so that a key that was
    /// deleted and written again never repeats one.
    last_revision: u64,
    last_lease: u64,
}

impl Store {
    pub(super) fn get(&self, key: &str) -> Option<&Held> {
        self.position(key).ok().map(|at| &self.keys[at])
    }

    pub(super) fn revision(&self, key: &str) -> u64 {
        self.get(key).map_or(0, |held| held.revision)
    }

    pub(super) fn keys(&self, prefix: &str) -> Vec<String> {
        let matching = self.keys.iter().filter(|held| held.key.starts_with(prefix));
        matching.map(|held| held.key.clone()).collect()
    }

    pub(super) fn put(
        &mut self,
        key: &str,
        expected: u64,
        value: Vec<u8>,
        lease: Option<u64>,
    ) -> Put {
        if lease.is_some_and(|id| self.lease(id).is_none()) {
            return Put::LeaseGone;
        }
        let current = self.revision(key);
        if current != expected {
            return Put::Conflict(current);
        }
        self.last_revision += 1;
        let held = Held { key: key.to_owned(), revision: self.last_revision, value, lease };
        match self.position(key) {
            Ok(at) => self.keys[at] = held,
            Err(at) => self.keys.insert(at, held),
        }
        Put::Done(self.last_revision)
    }

    pub(super) fn open_lease(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        self.leases.push(Lease { id: self.last_lease, ttl, ends: now + ttl });
        self.last_lease
    }

    pub(super) fn renew_lease(&mut self, id: u64, now: Instant) -> bool {
        let Some(at) = self.lease(id) else {
            return false;
        };
        let lease = &mut self.leases[at];
        lease.ends = now + lease.ttl;
        true
    }

    pub(super) fn close_lease(&mut self, id: u64) -> bool {
        let Some(at) = self.lease(id) else {
            return false;
        };
        self.leases.remove(at);
        self.keys.retain(|held| held.lease != Some(id));
        true
    }

    /// Ends the leases that ran out; tells whether there were any.
    pub(super) fn expire_leases(&mut self, now: Instant) -> bool {
        let ended: Vec<u64> =
            self.leases.iter().filter(|lease| lease.ends <= now).map(|lease| lease.id).collect();
        for id in &ended {
            self.close_lease(*id);
        }
        !ended.is_empty()
    }

    fn position(&self, key: &str) -> Result<usize, usize> {
        self.keys.binary_search_by(|held| held.key.as_str().cmp(key))
    }

    fn lease(&self, id: u64) -> Option<usize> {
        self.leases.binary_search_by_key(&id, |lease| lease.id).ok()
    }
}
