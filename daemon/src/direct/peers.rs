//! Processes of the fleet, as they register themselves in the store.
//!
//! Each process writes one key under a long lease and renews it periodically. The list only
//! gives addresses to call: a listed process may have stopped.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::dispatch::send_permits::IssuerRank;
use rosemarymoor_lib::kv_feed::{Changes, KeyChange, Listing};
use rosemarymoor_lib::time::{Millis, MonotonicClock};
use serde::{Deserialize, Serialize};

use super::fleet_keys::poisoned_fingerprint;
use super::settings::DirectRole;

/// Time in milliseconds for which a process that did not answer is ranked last; doubles with each
/// further failure, as a host that is gone stays listed until its lease ends.
const MIN_FAILED_PEER_BACKOFF_MS: u64 = 2_000;

/// Longest time for which a process that did not answer is ranked last, in milliseconds.
const MAX_FAILED_PEER_BACKOFF_MS: u64 = 16_000;

/// Number of entries in a data centre from which on a budget server shares their watches.
const MIN_ENTRIES_PER_WATCH_SERVER: usize = 4;

/// Number of entries whose watches one budget server shares.
const MAX_ENTRIES_PER_WATCH_SERVER: usize = 16;

/// Record of one process in the fleet's own list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Name of the host.
    pub name: String,
    /// Name of the role as in the settings.
    pub role: String,
    pub data_center: String,
    /// Address for calls of other processes of the fleet.
    pub internal: SocketAddr,
}

#[derive(Clone, Debug)]
struct Peer {
    key: String,
    record: PeerRecord,
    backoff_until: Millis,
    /// Failed calls since the last answer.
    consecutive_failures: u32,
}

impl Peer {
    fn new(key: &str, record: PeerRecord) -> Peer {
        Peer { key: key.to_owned(), record, backoff_until: Millis(0), consecutive_failures: 0 }
    }
}

/// Processes of the fleet with a backoff after failed calls.
pub struct Peers {
    /// Sorted by key.
    peers: Mutex<Vec<Peer>>,
    clock: MonotonicClock,
}

impl Peers {
    /// Opens an empty list.
    pub fn open(clock: MonotonicClock) -> Peers {
        Peers { peers: Mutex::new(Vec::new()), clock }
    }

    /// Replaces the list; keeps the backoff of processes that stay listed.
    ///
    /// With `keeps_unlisted` processes that the list lacks are kept: a restored store has lost
    /// those that were written last, and they write themselves again.
    pub fn apply_listing(&self, listing: &Listing, keeps_unlisted: bool) {
        let mut peers = self.lock();
        let is_listed = |peer: &Peer| listing.items.iter().any(|(key, _)| *key == peer.key);
        peers.retain(|peer| keeps_unlisted || is_listed(peer));
        for (key, found) in &listing.items {
            insert(&mut peers, key, &found.value);
        }
    }

    /// Applies changes of the list.
    pub fn apply_changes(&self, changes: &Changes) {
        let Changes::Received { changes, .. } = changes else { return };
        let mut peers = self.lock();
        for KeyChange { key, value } in changes {
            match value {
                Some(found) => insert(&mut peers, key, &found.value),
                None => peers.retain(|peer| peer.key != *key),
            }
        }
    }

    /// Returns the budget servers in the order in which all entries rank them for a key; those
    /// in backoff after a failed call come last.
    pub fn ranked_budget_servers(&self, key: u64) -> Vec<PeerRecord> {
        let now = self.clock.now();
        let peers = self.lock();
        let mut servers = rank_budget_servers(&peers, key);
        servers.sort_by_key(|peer| now < peer.backoff_until);
        servers.into_iter().map(|peer| peer.record.clone()).collect()
    }

    /// Returns the budget servers in the order in which all entries rank them for a key, without those in
    /// backoff after a failed call.
    pub fn answering_budget_servers(&self, key: u64) -> Vec<PeerRecord> {
        let now = self.clock.now();
        let peers = self.lock();
        let servers = rank_budget_servers(&peers, key).into_iter();
        let answering = servers.filter(|peer| now >= peer.backoff_until);
        answering.map(|peer| peer.record.clone()).collect()
    }

    /// Returns the two budget servers that issue permits for a key, in the order in which all entries
    /// rank them; without those in backoff after a failed call.
    pub fn permit_issuers(&self, key: u64) -> Vec<(IssuerRank, PeerRecord)> {
        let now = self.clock.now();
        let peers = self.lock();
        let servers = rank_budget_servers(&peers, key);
        [IssuerRank::First, IssuerRank::Second]
            .into_iter()
            .zip(servers)
            .filter(|(_, peer)| now >= peer.backoff_until)
            .map(|(rank, peer)| (rank, peer.record.clone()))
            .collect()
    }

    /// Returns the budget server that shares watches between entries of a data centre; `None` if
    /// there are too few of them to gain by it, or no server there.
    ///
    /// The entries are divided into groups by `key`, so that the load of a server is bounded. All of
    /// a group choose the same server while it answers them.
    pub fn watch_server(&self, data_center: &str, key: u64) -> Option<PeerRecord> {
        let entry = DirectRole::Entry.name();
        let is_local = |peer: &&Peer| peer.record.data_center == data_center;
        let entries = |peer: &&Peer| peer.record.role == entry;
        let entry_count = self.lock().iter().filter(is_local).filter(entries).count();
        if entry_count < MIN_ENTRIES_PER_WATCH_SERVER {
            return None;
        }
        let groups = entry_count.div_ceil(MAX_ENTRIES_PER_WATCH_SERVER) as u64;
        let group = format!("{data_center}/{}", key % groups);
        self.local_budget_servers(data_center, rank::key_of(&group)).into_iter().next()
    }

    /// Returns the budget servers of a data centre in the order of
    /// [`Peers::ranked_budget_servers`].
    pub fn local_budget_servers(&self, data_center: &str, key: u64) -> Vec<PeerRecord> {
        let mut servers = self.ranked_budget_servers(key);
        servers.retain(|server| server.data_center == data_center);
        servers
    }

    /// Records that a process did not answer.
    pub fn record_failure(&self, address: SocketAddr) {
        let now = self.clock.now();
        for peer in self.lock().iter_mut().filter(|peer| peer.record.internal == address) {
            // Calls that were open together fail together and count once.
            if now < peer.backoff_until {
                continue;
            }
            let backoff_ms = MIN_FAILED_PEER_BACKOFF_MS << peer.consecutive_failures.min(8);
            peer.backoff_until = now.plus(backoff_ms.min(MAX_FAILED_PEER_BACKOFF_MS));
            peer.consecutive_failures += 1;
        }
    }

    /// Records that a process answered.
    pub fn record_answer(&self, address: SocketAddr) {
        for peer in self.lock().iter_mut().filter(|peer| peer.record.internal == address) {
            peer.backoff_until = Millis(0);
            peer.consecutive_failures = 0;
        }
    }

    /// Returns the listed entries.
    pub fn entries(&self) -> Vec<PeerRecord> {
        let name = DirectRole::Entry.name();
        let peers = self.lock();
        let entries = peers.iter().filter(|peer| peer.record.role == name);
        entries.map(|peer| peer.record.clone()).collect()
    }

    /// Returns the number of listed entries, at least 1.
    pub fn entry_count(&self) -> u64 {
        let name = DirectRole::Entry.name();
        let entries = self.lock().iter().filter(|peer| peer.record.role == name).count();
        entries.max(1) as u64
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the budget servers in the order of their ranks for a key.
fn rank_budget_servers(peers: &[Peer], key: u64) -> Vec<&Peer> {
    let name = DirectRole::BudgetServer.name();
    let mut servers: Vec<&Peer> = peers.iter().filter(|peer| peer.record.role == name).collect();
    rank::order(key, &mut servers, |peer| peer.record.name.as_str());
    servers
}

/// Adds or updates a process; keys of poisoned requests share the prefix and are skipped.
fn insert(peers: &mut Vec<Peer>, key: &str, value: &[u8]) {
    if poisoned_fingerprint(key).is_some() {
        return;
    }
    let record: PeerRecord = match serde_json::from_slice(value) {
        Ok(record) => record,
        Err(err) => {
            log::warn!("event=peer_malformed key={key} reason={err}");
            return;
        }
    };
    match peers.binary_search_by(|peer| peer.key.as_str().cmp(key)) {
        // A process that lists itself runs, also one that did not answer before.
        Ok(at) => peers[at] = Peer::new(key, record),
        Err(at) => peers.insert(at, Peer::new(key, record)),
    }
}
