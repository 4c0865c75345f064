//! Decides which hosts to poll for newer configurations, without I/O.
//!
//! A host keeps one long poll open at each parent. While no source answers, it
//! reads the store itself and polls other hosts in turn. A starting host asks the
//! store, its parents and one watcher of every data centre. It serves once it has
//! a revision and either the store has answered, or each of these peers has
//! answered or failed.

use std::net::SocketAddr;

use super::topology::{ConfigSources, bootstrap_watchers, select_sources};
use crate::host_list::Host;
use crate::id::digest128;
use crate::time::Millis;

/// How long a parent may hold a poll open, in milliseconds.
pub const LONG_POLL_WAIT_MS: u64 = 2_000;
/// Delay after a failed poll, and after a poll of a host that reported a newer revision, in
/// milliseconds.
const POLL_RETRY_DELAY_MS: u64 = 500;
/// Delay between polls of a host that are answered at once, in milliseconds.
const SHORT_POLL_INTERVAL_MS: u64 = 200;
/// Time without any answer after which a host reads the store and polls other hosts, in
/// milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 4_000;
const STORE_READ_INTERVAL_MS: u64 = 2_000;
const OTHER_HOST_POLL_INTERVAL_MS: u64 = 1_000;

/// Event that the driver reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PropagationEvent {
    /// The platform's host list was read.
    HostListUpdated(Vec<Host>),
    /// A host answered a poll; a newer revision that it sent is already adopted.
    PollAnswered { host: String, revision: u64 },
    /// A poll of a host failed.
    PollFailed { host: String },
    /// A host polled this one and reported its revision.
    PolledBy { host: String, revision: u64 },
    /// The store answered; a newer revision in it is already adopted.
    StoreAnswered,
    /// The store did not answer.
    StoreFailed,
    /// This host has adopted a revision.
    RevisionAdopted { revision: u64 },
}

/// Action that the driver has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PropagationEffect {
    /// Poll a host for a newer revision; it may wait `wait_ms` milliseconds for one.
    Poll { host: String, address: SocketAddr, wait_ms: u64 },
    /// Start or stop watching the store.
    Watch(bool),
    /// Read the store's head once.
    ReadStore,
    /// Publish the highest revision to the request paths, and each newer one from now on.
    Serve,
}

/// Host that is polled regularly.
#[derive(Clone, Debug)]
struct Peer {
    host: Host,
    /// Whether a poll of the host is in progress.
    has_open_poll: bool,
    /// Whether a poll has ended, successfully or not, since the start.
    was_polled: bool,
    next_poll_at: Millis,
}

/// State machine that decides when a host polls peers, reads the store and starts to serve.
#[derive(Clone, Debug)]
pub struct PropagationSystem {
    name: String,
    data_center: String,
    parent_count: usize,
    hosts: Vec<Host>,
    sources: ConfigSources,
    /// Sorted by name.
    peers: Vec<Peer>,
    /// Newest adopted revision; zero for none.
    revision: u64,
    serving: bool,
    watching: bool,
    store_answered: bool,
    last_answer_at: Millis,
    next_store_read_at: Millis,
    next_other_host_poll_at: Millis,
    other_host_polls: u128,
    /// Earliest time of the next poll of a host that reported a newer revision.
    next_poll_back_at: Millis,
}

impl PropagationSystem {
    /// Creates the state of the host `name`, which polls up to `parent_count` parents.
    pub fn open(name: &str, data_center: &str, parent_count: usize) -> PropagationSystem {
        PropagationSystem {
            name: name.to_owned(),
            data_center: data_center.to_owned(),
            parent_count,
            hosts: Vec::new(),
            sources: ConfigSources::default(),
            peers: Vec::new(),
            revision: 0,
            serving: false,
            watching: false,
            store_answered: false,
            last_answer_at: Millis(0),
            next_store_read_at: Millis(0),
            next_other_host_poll_at: Millis(0),
            other_host_polls: 0,
            next_poll_back_at: Millis(0),
        }
    }

    /// Applies one event.
    pub fn handle(
        &mut self,
        event: PropagationEvent,
        now: Millis,
        effects: &mut Vec<PropagationEffect>,
    ) {
        match event {
            PropagationEvent::HostListUpdated(hosts) => self.replace_hosts(hosts, effects),
            PropagationEvent::PollAnswered { host, revision } => {
                self.last_answer_at = now;
                // A poll during the start, or of a host with a newer revision than this one, is
                // answered at once; the delay prevents a busy loop.
                let is_answered_at_once = !self.serving || revision > self.revision;
                let delay = if is_answered_at_once { SHORT_POLL_INTERVAL_MS } else { 0 };
                self.finish_poll(&host, now.plus(delay));
            }
            PropagationEvent::PollFailed { host } => {
                self.finish_poll(&host, now.plus(POLL_RETRY_DELAY_MS))
            }
            PropagationEvent::PolledBy { host, revision } => {
                self.poll_back(&host, revision, now, effects)
            }
            PropagationEvent::StoreAnswered => {
                self.last_answer_at = now;
                self.store_answered = true;
            }
            PropagationEvent::StoreFailed => {}
            PropagationEvent::RevisionAdopted { revision } => {
                self.revision = self.revision.max(revision)
            }
        }
        self.serve_if_ready(effects);
    }

    /// Polls the hosts and reads the store as due.
    pub fn tick(&mut self, now: Millis, effects: &mut Vec<PropagationEffect>) {
        self.poll_peers(now, effects);
        self.read_store(now, effects);
        self.poll_other_hosts(now, effects);
    }

    /// Returns whether the host has published a revision to its request paths.
    pub fn is_serving(&self) -> bool {
        self.serving
    }

    fn replace_hosts(&mut self, hosts: Vec<Host>, effects: &mut Vec<PropagationEffect>) {
        self.sources = select_sources(&hosts, &self.name, &self.data_center, self.parent_count);
        let mut peer_hosts = self.sources.parents.clone();
        if !self.serving {
            peer_hosts.extend(bootstrap_watchers(&hosts, &self.name));
        }
        self.hosts = hosts;
        peer_hosts.sort_by(|a, b| a.name.cmp(&b.name));
        peer_hosts.dedup_by(|a, b| a.name == b.name);
        let previous = std::mem::take(&mut self.peers);
        for host in peer_hosts {
            let known = previous.iter().find(|peer| peer.host.name == host.name);
            self.peers.push(match known {
                Some(peer) => Peer { host, ..peer.clone() },
                None => {
                    Peer { host, has_open_poll: false, was_polled: false, next_poll_at: Millis(0) }
                }
            });
        }
        if self.sources.watches_store != self.watching {
            self.watching = self.sources.watches_store;
            effects.push(PropagationEffect::Watch(self.watching));
        }
    }

    fn poll_peers(&mut self, now: Millis, effects: &mut Vec<PropagationEffect>) {
        let wait_ms = if self.serving { LONG_POLL_WAIT_MS } else { 0 };
        for peer in &mut self.peers {
            if !peer.has_open_poll && peer.next_poll_at <= now {
                peer.has_open_poll = true;
                effects.push(poll(&peer.host, wait_ms));
            }
        }
    }

    /// Reads the store at the start, and while no source answers.
    fn read_store(&mut self, now: Millis, effects: &mut Vec<PropagationEffect>) {
        let starting = !self.serving && !self.store_answered;
        let timed_out = now.since(self.last_answer_at) > ANSWER_TIMEOUT_MS;
        if (starting || timed_out) && self.next_store_read_at <= now {
            self.next_store_read_at = now.plus(STORE_READ_INTERVAL_MS);
            effects.push(PropagationEffect::ReadStore);
        }
    }

    /// Polls hosts other than the parents in turn while no source answers.
    fn poll_other_hosts(&mut self, now: Millis, effects: &mut Vec<PropagationEffect>) {
        let timed_out = now.since(self.last_answer_at) > ANSWER_TIMEOUT_MS;
        if !timed_out || self.next_other_host_poll_at > now || self.hosts.is_empty() {
            return;
        }
        self.next_other_host_poll_at = now.plus(OTHER_HOST_POLL_INTERVAL_MS);
        let turn = digest128(&[&self.name]).wrapping_add(self.other_host_polls);
        self.other_host_polls += 1;
        let host = &self.hosts[(turn % self.hosts.len() as u128) as usize];
        let is_peer = self.peers.iter().any(|peer| peer.host.name == host.name);
        if host.name != self.name && !is_peer {
            effects.push(poll(host, 0));
        }
    }

    /// Polls a host at once if it reported a newer revision than this host's.
    fn poll_back(
        &mut self,
        host: &str,
        revision: u64,
        now: Millis,
        effects: &mut Vec<PropagationEffect>,
    ) {
        if revision <= self.revision || self.next_poll_back_at > now {
            return;
        }
        let Some(listed) = self.hosts.iter().find(|listed| listed.name == host) else { return };
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.host.name == host)
            && std::mem::replace(&mut peer.has_open_poll, true)
        {
            return;
        }
        self.next_poll_back_at = now.plus(POLL_RETRY_DELAY_MS);
        effects.push(poll(listed, 0));
    }

    /// Records the end of a poll and when the next one is due.
    fn finish_poll(&mut self, host: &str, next_poll_at: Millis) {
        if let Ok(at) = self.peers.binary_search_by(|peer| peer.host.name.as_str().cmp(host)) {
            let peer = &mut self.peers[at];
            peer.has_open_poll = false;
            peer.was_polled = true;
            peer.next_poll_at = next_poll_at;
        }
    }

    /// Starts serving once a revision is known, and the store has answered or every peer has
    /// been polled.
    fn serve_if_ready(&mut self, effects: &mut Vec<PropagationEffect>) {
        let all_polled = !self.peers.is_empty() && self.peers.iter().all(|peer| peer.was_polled);
        if self.serving || self.revision == 0 || !(self.store_answered || all_polled) {
            return;
        }
        self.serving = true;
        let parents = &self.sources.parents;
        self.peers.retain(|peer| parents.iter().any(|parent| parent.name == peer.host.name));
        effects.push(PropagationEffect::Serve);
    }
}

fn poll(host: &Host, wait_ms: u64) -> PropagationEffect {
    PropagationEffect::Poll { host: host.name.clone(), address: host.address, wait_ms }
}
