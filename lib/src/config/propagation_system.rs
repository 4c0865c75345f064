//! Decides whom to ask for newer configurations; pure.
//!
//! A host keeps one question open at each parent. While nobody answers it reads
//! the store itself, and asks other hosts in turn. A host that starts asks the
//! store, its parents and a watcher of every data centre, and serves once it
//! knows the highest revision among those that answer.

use std::net::SocketAddr;

use super::topology::{ConfigSources, bootstrap_watchers, select_sources};
use crate::host_list::Host;
use crate::id::digest128;
use crate::time::Millis;

/// How long a parent may hold a question open.
pub const LONG_POLL_WAIT_MS: u64 = 2_000;
const RETRY_MS: u64 = 500;
const START_RETRY_MS: u64 = 200;
/// Silence after which a host turns to the store and to hosts beside its parents.
const SILENCE_MS: u64 = 4_000;
const STORE_INTERVAL_MS: u64 = 2_000;
const SEARCH_INTERVAL_MS: u64 = 1_000;

/// What the driver reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PropagationEvent {
    /// The platform's list.
    HostListUpdated(Vec<Host>),
    /// A host answered and what it sent is held now.
    PollAnswered { host: String, revision: u64 },
    /// A host did not answer.
    PollFailed { host: String },
    /// A host asked and told which revision it holds.
    PolledBy { host: String, revision: u64 },
    /// The store answered and what it holds is held now.
    StoreAnswered,
    /// The store did not answer.
    StoreFailed,
    /// This revision is held now.
    RevisionAdopted { revision: u64 },
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PropagationEffect {
    /// Ask a host for a newer revision.
    Poll { host: String, address: SocketAddr, wait_ms: u64 },
    /// Start or stop watching the store.
    Watch(bool),
    /// Read the store's head once.
    ReadStore,
    /// Put the highest revision in force, and each newer one from now on.
    Serve,
}

/// Question to one host.
#[derive(Clone, Debug)]
struct Peer {
    host: Host,
    asking: bool,
    /// Whether it has answered or failed since the start.
    settled: bool,
    next: Millis,
}

/// Table of the hosts that are asked, and what is known of the start.
#[derive(Clone, Debug)]
pub struct PropagationSystem {
    name: String,
    data_center: String,
    parent_count: usize,
    hosts: Vec<Host>,
    sources: ConfigSources,
    /// Sorted by name.
    peers: Vec<Peer>,
    held: u64,
    serving: bool,
    watching: bool,
    store_answered: bool,
    last_answer: Millis,
    next_store_read: Millis,
    next_search: Millis,
    searches: u128,
    next_ask_back: Millis,
}

impl PropagationSystem {
    /// System of the host `name`, which takes revisions from `parent_count` parents.
    pub fn open(name: &str, data_center: &str, parent_count: usize) -> PropagationSystem {
        PropagationSystem {
            name: name.to_owned(),
            data_center: data_center.to_owned(),
            parent_count,
            hosts: Vec::new(),
            sources: ConfigSources::default(),
            peers: Vec::new(),
            held: 0,
            serving: false,
            watching: false,
            store_answered: false,
            last_answer: Millis(0),
            next_store_read: Millis(0),
            next_search: Millis(0),
            searches: 0,
            next_ask_back: Millis(0),
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
                self.last_answer = now;
                // A host that holds more than it could send is asked again soon.
                let wait = !self.serving || revision > self.held;
                let delay = if wait { START_RETRY_MS } else { 0 };
                self.settle(&host, now.plus(delay));
            }
            PropagationEvent::PollFailed { host } => self.settle(&host, now.plus(RETRY_MS)),
            PropagationEvent::PolledBy { host, revision } => {
                self.hear(&host, revision, now, effects)
            }
            PropagationEvent::StoreAnswered => {
                self.last_answer = now;
                self.store_answered = true;
            }
            PropagationEvent::StoreFailed => {}
            PropagationEvent::RevisionAdopted { revision } => self.held = self.held.max(revision),
        }
        self.serve_if_known(effects);
    }

    /// Asks whom it is time to ask.
    pub fn tick(&mut self, now: Millis, effects: &mut Vec<PropagationEffect>) {
        self.ask_peers(now, effects);
        self.read_store(now, effects);
        self.search(now, effects);
    }

    /// Whether the highest revision that could be learnt is known.
    pub fn serves(&self) -> bool {
        self.serving
    }

    fn replace_hosts(&mut self, hosts: Vec<Host>, effects: &mut Vec<PropagationEffect>) {
        self.sources = select_sources(&hosts, &self.name, &self.data_center, self.parent_count);
        let mut wanted = self.sources.parents.clone();
        if !self.serving {
            wanted.extend(bootstrap_watchers(&hosts, &self.name));
        }
        self.hosts = hosts;
        wanted.sort_by(|a, b| a.name.cmp(&b.name));
        wanted.dedup_by(|a, b| a.name == b.name);
        let previous = std::mem::take(&mut self.peers);
        for host in wanted {
            let held = previous.iter().find(|peer| peer.host.name == host.name);
            self.peers.push(match held {
                Some(peer) => Peer { host, ..peer.clone() },
                None => Peer { host, asking: false, settled: false, next: Millis(0) },
            });
        }
        if self.sources.watches_store != self.watching {
            self.watching = self.sources.watches_store;
            effects.push(PropagationEffect::Watch(self.watching));
        }
    }

    fn ask_peers(&mut self, now: Millis, effects: &mut Vec<PropagationEffect>) {
        let wait_ms = if self.serving { LONG_POLL_WAIT_MS } else { 0 };
        for peer in &mut self.peers {
            if !peer.asking && peer.next <= now {
                peer.asking = true;
                effects.push(ask(&peer.host, wait_ms));
            }
        }
    }

    /// Reads the store at the start, and while nobody answers.
    fn read_store(&mut self, now: Millis, effects: &mut Vec<PropagationEffect>) {
        let starting = !self.serving && !self.store_answered;
        let silent = now.since(self.last_answer) > SILENCE_MS;
        if (starting || silent) && self.next_store_read <= now {
            self.next_store_read = now.plus(STORE_INTERVAL_MS);
            effects.push(PropagationEffect::ReadStore);
        }
    }

    /// Asks hosts beside the parents in turn, while nobody answers.
    fn search(&mut self, now: Millis, effects: &mut Vec<PropagationEffect>) {
        let silent = now.since(self.last_answer) > SILENCE_MS;
        if !silent || self.next_search > now || self.hosts.is_empty() {
            return;
        }
        self.next_search = now.plus(SEARCH_INTERVAL_MS);
        let turn = digest128(&[&self.name]).wrapping_add(self.searches);
        self.searches += 1;
        let host = &self.hosts[(turn % self.hosts.len() as u128) as usize];
        let is_peer = self.peers.iter().any(|peer| peer.host.name == host.name);
        if host.name != self.name && !is_peer {
            effects.push(ask(host, 0));
        }
    }

    /// A host that holds more than this one is asked at once.
    fn hear(
        &mut self,
        host: &str,
        revision: u64,
        now: Millis,
        effects: &mut Vec<PropagationEffect>,
    ) {
        if revision <= self.held || self.next_ask_back > now {
            return;
        }
        let listed = self.hosts.iter().find(|listed| listed.name == host);
        let asked = self.peers.iter().any(|peer| peer.host.name == host && peer.asking);
        if let Some(listed) = listed.filter(|_| !asked) {
            self.next_ask_back = now.plus(RETRY_MS);
            effects.push(ask(listed, 0));
        }
    }

    fn settle(&mut self, host: &str, next: Millis) {
        if let Ok(at) = self.peers.binary_search_by(|peer| peer.host.name.as_str().cmp(host)) {
            let peer = &mut self.peers[at];
            peer.asking = false;
            peer.settled = true;
            peer.next = next;
        }
    }

    fn serve_if_known(&mut self, effects: &mut Vec<PropagationEffect>) {
        let peers_settled = !self.peers.is_empty() && self.peers.iter().all(|peer| peer.settled);
        if self.serving || self.held == 0 || !(self.store_answered || peers_settled) {
            return;
        }
        self.serving = true;
        let parents = &self.sources.parents;
        self.peers.retain(|peer| parents.iter().any(|parent| parent.name == peer.host.name));
        effects.push(PropagationEffect::Serve);
    }
}

fn ask(host: &Host, wait_ms: u64) -> PropagationEffect {
    PropagationEffect::Poll { host: host.name.clone(), address: host.address, wait_ms }
}
