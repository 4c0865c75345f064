//! Spread of configurations: places, decisions under any interleaving, and
//! hosts that exchange revisions over QUIC.

mod config_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use config_support::{MemoryKv, config};
use proptest::prelude::*;
use rosemarymoor_lib::config::store::{Change, HEAD_KEY, apply, load};
use rosemarymoor_lib::config::{
    Config, ConfigHandle, ConfigPeerHandler, ConfigPropagation, PendingUpdate, PropagationEffect,
    PropagationEvent, PropagationParams, PropagationSystem, StoredConfig, WATCHERS_PER_DATA_CENTER,
    select_sources,
};
use rosemarymoor_lib::fleet_key::FleetKey;
use rosemarymoor_lib::host_list::{Host, HostState, Role};
use rosemarymoor_lib::id::OperationId;
use rosemarymoor_lib::kv_store::KvStore;
use rosemarymoor_lib::time::Millis;
use rosemarymoor_lib::transport::{FrameStream, PeerHandler, Transport};
use rosemarymoor_lib::wire::PeerRequest;
use tokio::task::JoinHandle;

const PARENTS: usize = 2;
const LIMIT: Duration = Duration::from_secs(60);

fn host(number: usize, data_centers: usize, address: SocketAddr) -> Host {
    Host {
        name: format!("host-{number}"),
        role: Role::Entry,
        address,
        data_center: format!("dc-{}", number % data_centers),
        region: "region".to_owned(),
        state: HostState::Live,
    }
}

fn hosts(count: usize, data_centers: usize) -> Vec<Host> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut hosts: Vec<Host> =
        (0..count).map(|number| host(number, data_centers, address)).collect();
    hosts.sort_by(|a, b| a.name.cmp(&b.name));
    hosts
}

macro_rules! places {
    ($($name:ident: $count:literal hosts in $data_centers:literal;)*) => {$(
        #[test]
        fn $name() {
            check_places($count, $data_centers);
        }
    )*};
}

places! {
    one_host: 1 hosts in 1;
    two_hosts_apart: 2 hosts in 2;
    a_small_fleet: 9 hosts in 3;
    one_data_center: 40 hosts in 1;
    the_trust: 18 hosts in 3;
    barrierefrei: 28 hosts in 4;
    a_large_fleet: 1_600 hosts in 16;
}

fn check_places(count: usize, data_centers: usize) {
    let hosts = hosts(count, data_centers);
    let places: Vec<_> = hosts
        .iter()
        .map(|host| select_sources(&hosts, &host.name, &host.data_center, PARENTS))
        .collect();
    let watchers = places.iter().filter(|place| place.watches_store).count();
    assert_eq!(watchers, (count / data_centers).min(WATCHERS_PER_DATA_CENTER) * data_centers);
    for (host, place) in hosts.iter().zip(&places) {
        assert_eq!(place.parents.len(), PARENTS.min(count - 1), "{}", host.name);
        assert!(place.parents.iter().all(|parent| parent.name != host.name));
        if data_centers > 1 && place.parents.len() == PARENTS && count / data_centers > 1 {
            assert_ne!(place.parents[0].data_center, place.parents[1].data_center);
        }
    }
    // A question also tells the parent what its child holds, so that news goes both ways.
    let mut reached = vec![0];
    let mut at = 0;
    while at < reached.len() {
        let own = &places[reached[at]].parents;
        let name = &hosts[reached[at]].name;
        for (other, place) in places.iter().enumerate() {
            let is_parent = own.iter().any(|parent| parent.name == hosts[other].name);
            let is_child = place.parents.iter().any(|parent| parent.name == *name);
            if (is_parent || is_child) && !reached.contains(&other) {
                reached.push(other);
            }
        }
        at += 1;
    }
    assert_eq!(reached.len(), count, "some hosts hear nothing of the others");
    let children = |name: &str| {
        places.iter().filter(|place| place.parents.iter().any(|p| p.name == name)).count()
    };
    let most = hosts.iter().map(|host| children(&host.name)).max().unwrap_or(0);
    // Eight hosts of each of two data centres, and watchers of the others.
    assert!(most <= 2 * 8 + 2 * WATCHERS_PER_DATA_CENTER * data_centers, "{most} children");
}

async fn stored(cfg: &Config, previous: &MemoryKv) -> StoredConfig {
    apply(previous, cfg, &Change::new(OperationId::random(), "test")).await.unwrap();
    load(previous).await.unwrap().unwrap()
}

#[tokio::test]
async fn an_update_carries_only_what_changed() {
    let kv = MemoryKv::default();
    let mut cfg = config(3_000);
    let old = stored(&cfg, &kv).await;
    cfg.workspaces[1_500].weight = 5;
    let new = stored(&cfg, &kv).await;
    let update = new.update_from(Some(&old.head));
    assert_eq!((update.base, update.middle.len(), update.parts.len()), (1, 1, 1));
    let pending = PendingUpdate::open(update, Some(&old)).unwrap();
    assert!(pending.missing(Some(&old)).is_empty());
    assert_eq!(pending.finish(Some(&old)).unwrap().config, new.config);
}

#[tokio::test]
async fn an_update_for_a_host_without_a_base_is_completed_by_fetched_parts() {
    let kv = MemoryKv::default();
    let new = stored(&config(23_000), &kv).await;
    let mut pending = PendingUpdate::open(new.update_from(None), None).unwrap();
    let missing = pending.missing(None);
    assert!(!missing.is_empty());
    assert!(pending.add(b"something else").is_err());
    for digest in missing {
        pending.add(&new.encoded_part(digest).unwrap()).unwrap();
    }
    assert_eq!(pending.finish(None).unwrap().config, new.config);
}

#[tokio::test]
async fn an_update_to_another_base_is_refused() {
    let kv = MemoryKv::default();
    let old = stored(&config(3), &kv).await;
    let new = stored(&config(4), &kv).await;
    assert!(PendingUpdate::open(new.update_from(Some(&old.head)), Some(&new)).is_none());
    assert!(PendingUpdate::open(new.update_from(Some(&old.head)), None).is_none());
}

/// One event of a simulated history.
#[derive(Clone, Debug)]
enum Step {
    Tick(usize),
    /// Delivers a message in flight.
    Deliver(usize),
    /// Loses a message in flight.
    Lose(usize),
    Apply,
    Store(bool),
    Restart(usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<usize>().prop_map(Step::Tick),
        6 => any::<usize>().prop_map(Step::Deliver),
        2 => any::<usize>().prop_map(Step::Lose),
        1 => Just(Step::Apply),
        1 => any::<bool>().prop_map(Step::Store),
        1 => any::<usize>().prop_map(Step::Restart),
        2 => (0..3_000_u64).prop_map(Step::Advance),
    ]
}

#[derive(Clone, Debug)]
enum Message {
    Ask { from: usize, life: u32, to: usize },
    ReadStore { from: usize, life: u32 },
}

struct Node {
    system: PropagationSystem,
    /// Counts its starts; answers to an earlier life are not delivered.
    life: u32,
    held: u64,
    in_force: u64,
    watching: bool,
    serving: bool,
}

struct Simulation {
    hosts: Vec<Host>,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    store: u64,
    store_up: bool,
    now: u64,
}

impl Simulation {
    fn open(count: usize) -> Simulation {
        let hosts = hosts(count, 3);
        let mut simulation = Simulation {
            nodes: Vec::new(),
            messages: Vec::new(),
            store: 1,
            store_up: true,
            now: 0,
            hosts: hosts.clone(),
        };
        for host in &hosts {
            simulation.nodes.push(Node {
                system: PropagationSystem::open(&host.name, &host.data_center, PARENTS),
                life: 0,
                held: 0,
                in_force: 0,
                watching: false,
                serving: false,
            });
        }
        (0..count).for_each(|node| {
            simulation.event(node, PropagationEvent::HostListUpdated(hosts.clone()))
        });
        simulation
    }

    fn event(&mut self, node: usize, event: PropagationEvent) {
        let mut effects = Vec::new();
        self.nodes[node].system.handle(event, Millis(self.now), &mut effects);
        self.run(node, effects);
    }

    fn tick(&mut self, node: usize) {
        let mut effects = Vec::new();
        self.nodes[node].system.tick(Millis(self.now), &mut effects);
        self.run(node, effects);
        // A watch hears of each change by itself.
        if self.nodes[node].watching && self.store_up {
            self.take(node, self.store);
            self.event(node, PropagationEvent::StoreAnswered);
        }
    }

    fn run(&mut self, from: usize, effects: Vec<PropagationEffect>) {
        let life = self.nodes[from].life;
        for effect in effects {
            match effect {
                PropagationEffect::Poll { host, .. } => {
                    let to = self.hosts.iter().position(|held| held.name == host).unwrap();
                    self.messages.push(Message::Ask { from, life, to });
                }
                PropagationEffect::ReadStore => {
                    self.messages.push(Message::ReadStore { from, life })
                }
                PropagationEffect::Watch(watching) => self.nodes[from].watching = watching,
                PropagationEffect::Serve => {
                    self.nodes[from].serving = true;
                    self.nodes[from].in_force = self.nodes[from].held;
                }
            }
        }
    }

    fn take(&mut self, node: usize, revision: u64) {
        let held = &mut self.nodes[node];
        if revision <= held.held {
            return;
        }
        held.held = revision;
        if held.serving {
            assert!(revision > held.in_force, "a host went back");
            held.in_force = revision;
        }
        self.event(node, PropagationEvent::RevisionAdopted { revision });
    }

    fn deliver(&mut self, message: Message, lost: bool) {
        match message {
            Message::Ask { from, life, to } if self.nodes[from].life == life => {
                let host = self.hosts[to].name.clone();
                if lost {
                    return self.event(from, PropagationEvent::PollFailed { host });
                }
                let asker = self.hosts[from].name.clone();
                let asked_with = self.nodes[from].held;
                self.event(to, PropagationEvent::PolledBy { host: asker, revision: asked_with });
                let revision = self.nodes[to].held;
                self.take(from, revision);
                self.event(from, PropagationEvent::PollAnswered { host, revision });
            }
            Message::ReadStore { from, life } if self.nodes[from].life == life => {
                if lost || !self.store_up {
                    return self.event(from, PropagationEvent::StoreFailed);
                }
                self.take(from, self.store);
                self.event(from, PropagationEvent::StoreAnswered);
            }
            Message::Ask { .. } | Message::ReadStore { .. } => {}
        }
    }

    fn restart(&mut self, node: usize) {
        let host = &self.hosts[node];
        let system = PropagationSystem::open(&host.name, &host.data_center, PARENTS);
        let life = self.nodes[node].life + 1;
        self.nodes[node] =
            Node { system, life, held: 0, in_force: 0, watching: false, serving: false };
        self.event(node, PropagationEvent::HostListUpdated(self.hosts.clone()));
    }

    fn step(&mut self, step: Step) {
        let count = self.nodes.len();
        match step {
            Step::Tick(node) => self.tick(node % count),
            Step::Deliver(at) | Step::Lose(at) if !self.messages.is_empty() => {
                let message = self.messages.swap_remove(at % self.messages.len());
                self.deliver(message, matches!(step, Step::Lose(_)));
            }
            Step::Deliver(_) | Step::Lose(_) => {}
            Step::Apply => self.store += u64::from(self.store_up),
            Step::Store(up) => self.store_up = up,
            Step::Restart(node) => self.restart(node % count),
            Step::Advance(ms) => self.now += ms,
        }
    }

    /// Delivers everything for a while; the store is up if `store_up`.
    fn settle(&mut self, store_up: bool) {
        self.store_up = store_up;
        for _ in 0..120 {
            self.now += 100;
            (0..self.nodes.len()).for_each(|node| self.tick(node));
            for message in std::mem::take(&mut self.messages) {
                self.deliver(message, false);
            }
        }
    }
}

proptest! {
    #[test]
    fn every_host_reaches_the_newest_revision_and_none_goes_back(
        steps in proptest::collection::vec(step(), 0..200),
    ) {
        let mut simulation = Simulation::open(11);
        steps.into_iter().for_each(|step| simulation.step(step));
        simulation.settle(true);
        for node in &simulation.nodes {
            prop_assert!(node.serving);
            prop_assert_eq!(node.in_force, simulation.store);
        }
    }

    #[test]
    fn a_host_that_starts_in_an_outage_learns_the_highest_from_its_peers(
        steps in proptest::collection::vec(step(), 0..100), node in 0..11_usize,
    ) {
        let mut simulation = Simulation::open(11);
        simulation.settle(true);
        steps.into_iter().for_each(|step| simulation.step(step));
        let known = simulation.nodes.iter().map(|held| held.held).max().unwrap_or(0);
        let others = simulation.nodes.iter().enumerate().filter(|(at, _)| *at != node);
        let highest_elsewhere = others.map(|(_, held)| held.held).max().unwrap_or(0);
        prop_assume!(highest_elsewhere == known && known > 0);
        simulation.store_up = false;
        simulation.restart(node);
        simulation.settle(false);
        prop_assert_eq!(simulation.nodes[node].in_force, known);
    }
}

/// Host over QUIC.
struct Member {
    handle: ConfigHandle,
    propagation: ConfigPropagation,
    transport: Arc<Transport>,
    serving: JoinHandle<()>,
}

/// Serves nothing beside the spread.
struct Nothing;

#[async_trait]
impl PeerHandler for Nothing {
    async fn handle(&self, _req: PeerRequest, _stream: FrameStream) {}
}

/// Hosts of three data centres over one store.
struct TestEnvironment {
    kv: Arc<MemoryKv>,
    key: FleetKey,
    hosts: Vec<Host>,
    members: Vec<Member>,
}

impl TestEnvironment {
    async fn open(count: usize) -> TestEnvironment {
        let key = FleetKey::from_base64(&FleetKey::generate().unwrap()).unwrap();
        let kv = Arc::new(MemoryKv::default());
        let mut env = TestEnvironment { kv, key, hosts: Vec::new(), members: Vec::new() };
        (0..count).for_each(|_| env.add());
        env.publish_hosts();
        env
    }

    fn add(&mut self) {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let transport = Transport::bind(address, &self.key).unwrap();
        let host = host(self.hosts.len(), 3, transport.local_address().unwrap());
        let handle = ConfigHandle::default();
        let propagation = ConfigPropagation::spawn(PropagationParams {
            host: host.name.clone(),
            data_center: host.data_center.clone(),
            parents: PARENTS,
            kv: self.kv.clone(),
            transport: transport.clone(),
            handle: handle.clone(),
        });
        let handler = Arc::new(ConfigPeerHandler::new(propagation.node(), Arc::new(Nothing)));
        let serving = tokio::spawn(transport.clone().serve(handler));
        self.hosts.push(host);
        self.members.push(Member { handle, propagation, transport, serving });
    }

    fn publish_hosts(&self) {
        self.members
            .iter()
            .for_each(|member| member.propagation.node().update_hosts(self.hosts.clone()));
    }

    async fn apply(&self, cfg: &Config) -> u64 {
        let change = Change::new(OperationId::random(), "test");
        apply(self.kv.as_ref(), cfg, &change).await.unwrap().revision
    }

    async fn wait_everywhere(&self, revision: u64) {
        for member in &self.members {
            let waiting = member.handle.wait_for(revision);
            tokio::time::timeout(LIMIT, waiting).await.expect("the revision arrives");
        }
    }

    async fn kill(&mut self, at: usize) {
        let member = self.members.remove(at);
        member.serving.abort();
        drop(member.propagation);
        member.transport.close().await;
    }
}

#[tokio::test]
async fn a_change_reaches_every_host_by_few_watches() {
    let env = TestEnvironment::open(12).await;
    let revision = env.apply(&config(500)).await;
    env.wait_everywhere(revision).await;
    let calls = env.kv.calls();
    let next = env.apply(&config(501)).await;
    env.wait_everywhere(next).await;
    assert_eq!(env.members[11].handle.current().workspaces.len(), 501);
    // Six watchers read a head and at most a few parts; the others ask their parents.
    assert!(env.kv.calls() - calls < 60, "{} calls", env.kv.calls() - calls);
}

#[tokio::test]
async fn a_change_arrives_after_hosts_were_killed_that_are_still_listed() {
    let mut env = TestEnvironment::open(12).await;
    let revision = env.apply(&config(10)).await;
    env.wait_everywhere(revision).await;
    env.kill(0).await;
    env.kill(4).await;
    let next = env.apply(&config(11)).await;
    env.wait_everywhere(next).await;
}

#[tokio::test]
async fn a_host_that_starts_in_a_store_outage_learns_from_its_peers() {
    let mut env = TestEnvironment::open(6).await;
    let revision = env.apply(&config(2_000)).await;
    env.wait_everywhere(revision).await;
    env.kv.set_down(true);
    env.add();
    env.publish_hosts();
    env.wait_everywhere(revision).await;
    assert_eq!(env.members[6].handle.current().workspaces.len(), 2_000);
}

#[tokio::test]
async fn a_host_never_goes_back_even_if_the_store_does() {
    let env = TestEnvironment::open(3).await;
    env.apply(&config(2)).await;
    env.wait_everywhere(1).await;
    let first = env.kv.get(HEAD_KEY, LIMIT).await.done().unwrap().unwrap();
    env.apply(&config(3)).await;
    env.wait_everywhere(2).await;
    let second = env.kv.get(HEAD_KEY, LIMIT).await.done().unwrap().unwrap();
    let restored = env.kv.compare_and_swap(HEAD_KEY, second.revision, first.value, None, LIMIT);
    assert!(restored.await.done().is_some());
    for member in &env.members {
        assert!(!member.handle.publish(Config { revision: 1, ..config(1) }));
    }
    // A later change that all hosts take shows that the restored head was seen.
    let change = env.kv.get(HEAD_KEY, LIMIT).await.done().unwrap().unwrap();
    let third = env.kv.compare_and_swap(HEAD_KEY, change.revision, second.value, None, LIMIT);
    assert!(third.await.done().is_some());
    env.apply(&config(4)).await;
    env.wait_everywhere(3).await;
    for member in &env.members {
        assert_eq!(member.handle.current().workspaces.len(), 4);
    }
}
