//! Key-value service in memory with injected faults, and sample configurations.

#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use rosemarymoor_lib::config::{BudgetSettings, Config, Workspace};
use rosemarymoor_lib::kv_store::{
    KvStore, LeaseId, MAX_VALUE_BYTES, NotDone, Outcome, Revision, Versioned,
};
use tokio::sync::Notify;

/// Key-value service in memory that can be down, lose answers and end leases.
#[derive(Default)]
pub struct MemoryKv {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Default)]
struct State {
    entries: Vec<Entry>,
    revision: u64,
    leases: Vec<LeaseId>,
    down: bool,
    /// Number of writes that are still to be left unanswered.
    lost_answers: u32,
    calls: u32,
}

struct Entry {
    key: String,
    value: Versioned,
    lease: Option<LeaseId>,
}

impl MemoryKv {
    /// Sets whether calls fail as unavailable.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        self.changed.notify_waiters();
    }

    /// Loses the answers to the next `count` writes; the writes take effect.
    pub fn lose_answers(&self, count: u32) {
        self.state.lock().unwrap().lost_answers = count;
    }

    /// Ends a lease and removes its entries, as after its holder was paused for too long.
    pub fn expire(&self, lease: LeaseId) {
        let mut state = self.state.lock().unwrap();
        state.leases.retain(|open| *open != lease);
        state.entries.retain(|entry| entry.lease != Some(lease));
    }

    /// Ends every lease.
    pub fn expire_all(&self) {
        let leases = self.state.lock().unwrap().leases.clone();
        leases.into_iter().for_each(|lease| self.expire(lease));
    }

    /// Returns the sizes of all values, in bytes.
    pub fn value_sizes(&self) -> Vec<usize> {
        let state = self.state.lock().unwrap();
        state.entries.iter().map(|entry| entry.value.value.len()).collect()
    }

    /// Returns the number of reads, writes and watches so far.
    pub fn calls(&self) -> u32 {
        self.state.lock().unwrap().calls
    }

    /// Returns the key's value, or `None` while the service is down.
    fn read(&self, key: &str) -> Option<Option<Versioned>> {
        let state = self.state.lock().unwrap();
        if state.down {
            return None;
        }
        Some(state.entries.iter().find(|entry| entry.key == key).map(|entry| entry.value.clone()))
    }
}

#[async_trait]
impl KvStore for MemoryKv {
    async fn get(&self, key: &str, _timeout: Duration) -> Outcome<Option<Versioned>> {
        self.state.lock().unwrap().calls += 1;
        self.read(key).map_or(Outcome::NotDone(NotDone::Unavailable), Outcome::Done)
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: Vec<u8>,
        lease: Option<LeaseId>,
        _timeout: Duration,
    ) -> Outcome<Revision> {
        let mut state = self.state.lock().unwrap();
        state.calls += 1;
        if state.down {
            return Outcome::NotDone(NotDone::Unavailable);
        }
        if value.len() > MAX_VALUE_BYTES {
            return Outcome::NotDone(NotDone::TooLarge);
        }
        if lease.is_some_and(|lease| !state.leases.contains(&lease)) {
            return Outcome::NotDone(NotDone::LeaseGone);
        }
        let at = state.entries.iter().position(|entry| entry.key == key);
        let current = at.map_or(Revision::ABSENT, |at| state.entries[at].value.revision);
        if current != expected {
            return Outcome::NotDone(NotDone::Conflict { current });
        }
        state.revision += 1;
        let revision = Revision(state.revision);
        let value = Versioned { revision, value };
        match at {
            Some(at) => state.entries[at].value = value,
            None => state.entries.push(Entry { key: key.to_owned(), value, lease }),
        }
        self.changed.notify_waiters();
        if state.lost_answers > 0 {
            state.lost_answers -= 1;
            return Outcome::Unknown;
        }
        Outcome::Done(revision)
    }

    async fn watch(
        &self,
        key: &str,
        last_read: Revision,
        timeout: Duration,
    ) -> Outcome<Option<Versioned>> {
        self.state.lock().unwrap().calls += 1;
        let deadline = tokio::time::Instant::now() + timeout;
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            match self.read(key) {
                None => return Outcome::NotDone(NotDone::Unavailable),
                Some(Some(found)) if found.revision != last_read => {
                    return Outcome::Done(Some(found));
                }
                Some(_) => {}
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return Outcome::Done(None);
            }
        }
    }

    async fn open_lease(&self, _ttl: Duration, _timeout: Duration) -> Outcome<LeaseId> {
        let mut state = self.state.lock().unwrap();
        if state.down {
            return Outcome::NotDone(NotDone::Unavailable);
        }
        state.revision += 1;
        let lease = LeaseId(state.revision);
        state.leases.push(lease);
        Outcome::Done(lease)
    }

    async fn keep_alive(&self, lease: LeaseId, _timeout: Duration) -> Outcome<()> {
        let state = self.state.lock().unwrap();
        match (state.down, state.leases.contains(&lease)) {
            (true, _) => Outcome::NotDone(NotDone::Unavailable),
            (false, true) => Outcome::Done(()),
            (false, false) => Outcome::NotDone(NotDone::LeaseGone),
        }
    }

    async fn close_lease(&self, lease: LeaseId, _timeout: Duration) -> Outcome<()> {
        self.expire(lease);
        Outcome::Done(())
    }
}

/// Returns a configuration of `count` workspaces with one budget each.
pub fn config(count: usize) -> Config {
    let mut cfg = Config::default();
    for index in 0..count {
        let name = format!("workspace-{index}");
        cfg.workspaces.push(Workspace {
            name: name.clone(),
            key_digests: vec![blake3::hash(name.as_bytes()).to_hex().to_string()],
            routes: vec!["digest".to_owned(), "quick".to_owned()],
            default_budget: Some("general".to_owned()),
            weight: 1,
        });
        cfg.budgets.push(BudgetSettings {
            workspace: name,
            name: "general".to_owned(),
            initial_tokens: 1_000,
        });
    }
    cfg.sort();
    cfg
}
