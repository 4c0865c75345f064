//! Several budget systems over a model of the store, the witnesses and the network.
//!
//! The world keeps what truly ran and checks the ledger against it after each step.

mod store;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rosemarymoor_lib::budget::{
    Account, BudgetEffect, BudgetEvent, BudgetSystem, GrantPolicyName, Receipts, ReserveRequest,
    Shard, SpendWitness, StoreKey, SystemParams, ledger_key, shard_of,
};
use rosemarymoor_lib::control::System;
use rosemarymoor_lib::host_list::{Host, HostState, Role};
use rosemarymoor_lib::id::{BudgetId, EpochId, OperationId};
use rosemarymoor_lib::kv_store::Outcome;
use rosemarymoor_lib::result_code::Refusal;
use rosemarymoor_lib::time::Millis;
use rosemarymoor_lib::wire::{Class, Funding, PeerSync, WitnessReply, WitnessRequest};
use std::time::Duration;
use store::ModelStore;
use tokio::sync::oneshot;

pub const SHARDS: u32 = 2;
const TICK_MS: u64 = 20;

/// Chances of faults, in percent of the deliveries.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chaos {
    pub lost: u32,
    pub delayed: u32,
}

enum Message {
    Effect(BudgetEffect),
    /// A request on its way to a sidecar.
    Dispatch {
        funding: Funding,
        sidecar: usize,
        charge: u64,
    },
    /// A request that runs at a sidecar.
    Run {
        funding: Funding,
        sidecar: usize,
        incarnation: u64,
        charge: u64,
    },
}

struct Pending {
    node: usize,
    message: Message,
}

struct Node {
    system: Option<BudgetSystem>,
    paused: bool,
    /// Events that a paused process finds when it wakes.
    inbox: Vec<BudgetEvent>,
    store_cut: bool,
    reservations: Vec<oneshot::Receiver<Result<Funding, Refusal>>>,
    funded: Vec<Funding>,
    starts: u64,
}

/// Truth about one budget.
pub struct Truth {
    pub budget: BudgetId,
    pub prepaid: u64,
    pub charged: u64,
    pub running: u64,
    pub answered: u64,
    pub refused: u64,
}

pub struct World {
    pub now: Millis,
    rng: SmallRng,
    pub chaos: Chaos,
    nodes: Vec<Node>,
    store: ModelStore,
    sidecars: Vec<(u64, Receipts)>,
    pending: Vec<Pending>,
    pub truths: Vec<Truth>,
    operations: u128,
    policy: GrantPolicyName,
    /// Whether a sidecar lost its receipts, so that money may stay open.
    pub receipts_lost: bool,
}

impl World {
    pub fn open(seed: u64, nodes: usize, policy: GrantPolicyName) -> World {
        let mut world = World {
            now: Millis(0),
            rng: SmallRng::seed_from_u64(seed),
            chaos: Chaos::default(),
            nodes: Vec::new(),
            store: ModelStore::default(),
            sidecars: (0..2).map(|number| (100 + number, Receipts::open(100 + number))).collect(),
            pending: Vec::new(),
            truths: Vec::new(),
            operations: 0,
            policy,
            receipts_lost: false,
        };
        for name in ["dossiers", "orders"] {
            let budget = BudgetId { workspace: "w".to_owned(), name: name.to_owned() };
            let truth =
                Truth { budget, prepaid: 0, charged: 0, running: 0, answered: 0, refused: 0 };
            world.truths.push(truth);
        }
        for number in 0..nodes {
            world.nodes.push(Node {
                system: None,
                paused: false,
                inbox: Vec::new(),
                store_cut: false,
                reservations: Vec::new(),
                funded: Vec::new(),
                starts: 0,
            });
            world.start(number);
        }
        world
    }

    /// Starts a node's process if none runs.
    pub fn start(&mut self, node: usize) {
        if self.nodes[node].system.is_some() {
            return;
        }
        let slot = &mut self.nodes[node];
        slot.starts += 1;
        let epoch = EpochId(((node as u64 + 1) << 32) + slot.starts);
        slot.system = Some(BudgetSystem::open(SystemParams {
            host: format!("entry-{node}"),
            data_center: "wien-a".to_owned(),
            region: "at-east".to_owned(),
            epoch,
            shards: SHARDS,
            policy: self.policy,
            seed: epoch.0,
        }));
        self.tell_hosts();
    }

    /// Kills a node's process with everything it knows.
    pub fn kill(&mut self, node: usize) {
        let slot = &mut self.nodes[node];
        slot.system = None;
        slot.paused = false;
        slot.inbox.clear();
        slot.reservations.clear();
        slot.funded.clear();
        self.tell_hosts();
    }

    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = self.nodes[node].system.is_some();
    }

    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        let inbox = std::mem::take(&mut self.nodes[node].inbox);
        for event in inbox {
            self.handle(node, event);
        }
    }

    pub fn cut_store(&mut self, node: usize, cut: bool) {
        self.nodes[node].store_cut = cut;
    }

    pub fn restart_sidecar(&mut self, sidecar: usize) {
        let incarnation = self.sidecars[sidecar].0 + 10;
        self.sidecars[sidecar] = (incarnation, Receipts::open(incarnation));
        self.receipts_lost = true;
        // Requests that ran there end with it; what they cost is what they had reserved.
        let truths = &mut self.truths;
        self.pending.retain(|pending| match &pending.message {
            Message::Run { funding, sidecar: at, .. } if *at == sidecar => {
                let truth = truths.iter_mut().find(|truth| truth.budget == funding.budget);
                let truth = truth.expect("the budget exists");
                truth.running -= funding.reserved_tokens();
                truth.charged += funding.reserved_tokens();
                false
            }
            _ => true,
        });
    }

    pub fn top_up(&mut self, budget: usize, tokens: u64) {
        self.operations += 1;
        let truth = &mut self.truths[budget];
        truth.prepaid += tokens;
        let key = ledger_key(shard_of(&truth.budget, SHARDS));
        let held = self.store.get(&key);
        let mut shard = held.map_or(Shard::default(), |held| Shard::decode(&held.value).unwrap());
        assert!(shard.open_account(&truth.budget).top_up(tokens, OperationId(self.operations)));
        self.store.put(&key, shard.encode());
    }

    pub fn reserve(&mut self, node: usize, budget: usize, tokens: u64, max_wait_ms: u64) {
        if self.nodes[node].system.is_none() {
            return;
        }
        let (reply, answer) = oneshot::channel();
        self.nodes[node].reservations.push(answer);
        let req = ReserveRequest {
            budget: self.truths[budget].budget.clone(),
            tokens,
            class: Class::Quick,
            max_wait: Duration::from_millis(max_wait_ms),
        };
        self.handle(node, BudgetEvent::Reserve { req, reply });
    }

    /// Sends a funded request to a sidecar, also from a node that was closed meanwhile.
    pub fn dispatch(&mut self, node: usize, sidecar: usize, percent: u64) {
        if self.nodes[node].paused {
            return;
        }
        let Some(funding) = self.nodes[node].funded.pop() else { return };
        let charge = funding.reserved_tokens() * percent.min(100) / 100;
        self.pending
            .push(Pending { node, message: Message::Dispatch { funding, sidecar, charge } });
    }

    /// Lets time pass; messages are delivered in any order, with faults.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(TICK_MS) {
            self.now = self.now.plus(TICK_MS);
            for node in 0..self.nodes.len() {
                self.tick(node);
                self.collect(node);
            }
            self.deliver_some();
            self.check();
        }
    }

    fn tick(&mut self, node: usize) {
        let slot = &mut self.nodes[node];
        if slot.paused {
            return;
        }
        let Some(system) = &mut slot.system else { return };
        let mut effects = Vec::new();
        system.tick(self.now, &mut effects);
        self.queue(node, effects);
    }

    fn handle(&mut self, node: usize, event: BudgetEvent) {
        let slot = &mut self.nodes[node];
        if slot.paused {
            slot.inbox.push(event);
            return;
        }
        let Some(system) = &mut slot.system else { return };
        let mut effects = Vec::new();
        system.handle(event, self.now, &mut effects);
        self.queue(node, effects);
    }

    fn queue(&mut self, node: usize, effects: Vec<BudgetEffect>) {
        for effect in effects {
            match effect {
                BudgetEffect::Answer { reply, result } => {
                    let _ = reply.send(result);
                }
                effect => self.pending.push(Pending { node, message: Message::Effect(effect) }),
            }
        }
    }

    /// Takes the answers of reservations.
    fn collect(&mut self, node: usize) {
        let mut waiting = std::mem::take(&mut self.nodes[node].reservations);
        waiting.retain_mut(|answer| match answer.try_recv() {
            Ok(Ok(funding)) => {
                let truth = self.truths.iter_mut().find(|truth| truth.budget == funding.budget);
                truth.unwrap().answered += 1;
                self.nodes[node].funded.push(funding);
                false
            }
            Ok(Err(_)) => {
                self.truths[0].refused += 1;
                false
            }
            Err(_) => true,
        });
        self.nodes[node].reservations = waiting;
    }

    fn deliver_some(&mut self) {
        let mut later = Vec::new();
        let mut ready = std::mem::take(&mut self.pending);
        while !ready.is_empty() {
            let at = self.rng.random_range(0..ready.len());
            let pending = ready.swap_remove(at);
            if self.rng.random_range(0..100) < self.chaos.delayed {
                later.push(pending);
            } else {
                self.deliver(pending);
            }
        }
        self.pending.extend(later);
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_range(0..100) < self.chaos.lost
    }

    fn deliver(&mut self, pending: Pending) {
        let node = pending.node;
        match pending.message {
            Message::Effect(BudgetEffect::Read { key }) => self.read(node, key),
            Message::Effect(BudgetEffect::Write { key, expected, value }) => {
                let lost = self.is_lost();
                let cut = self.nodes[node].store_cut;
                let late = lost && self.rng.random();
                let outcome = if cut {
                    Outcome::Unknown
                } else {
                    self.store.write(&key.text(), expected, value, late)
                };
                let outcome = if lost { Outcome::Unknown } else { outcome };
                self.handle(node, BudgetEvent::Written { key, outcome });
            }
            Message::Effect(BudgetEffect::SendPeerSync { peer, sync, .. }) => {
                self.ask_peer(node, peer, sync);
            }
            Message::Effect(BudgetEffect::QueryWitness { name, req, .. }) => {
                let answer = self.ask_witness(&name, req);
                self.handle(node, BudgetEvent::WitnessAnswered { name, req, answer });
            }
            Message::Effect(BudgetEffect::AnswerPeer { reply, sync }) => {
                let _ = reply.send(sync);
            }
            Message::Effect(BudgetEffect::Closed { reply }) => {
                let _ = reply.send(());
            }
            Message::Effect(BudgetEffect::Answer { .. }) => {}
            Message::Dispatch { funding, sidecar, charge } => {
                self.deliver_request(node, funding, sidecar, charge);
            }
            Message::Run { funding, sidecar, incarnation, charge } => {
                self.finish_request(node, &funding, sidecar, incarnation, charge);
            }
        }
    }

    fn read(&mut self, node: usize, key: StoreKey) {
        let lost = self.is_lost() || self.nodes[node].store_cut;
        let held = self.store.get(&key.text());
        let outcome = if lost { Outcome::Unknown } else { Outcome::Done(held) };
        self.handle(node, BudgetEvent::Read { key, outcome });
    }

    fn ask_peer(&mut self, node: usize, peer: String, sync: PeerSync) {
        let number: usize = peer.trim_start_matches("entry-").parse().unwrap();
        let (lost, answer_lost) = (self.is_lost(), self.is_lost());
        let alive = self.nodes[number].system.is_some() && !self.nodes[number].paused;
        let mut answer = None;
        if alive && !lost {
            let (reply, mut answered) = oneshot::channel();
            self.handle(number, BudgetEvent::PeerSyncReceived { sync, reply });
            let at = self.pending.iter().rposition(|pending| {
                let answers =
                    matches!(pending.message, Message::Effect(BudgetEffect::AnswerPeer { .. }));
                pending.node == number && answers
            });
            let pending = self.pending.remove(at.expect("every question is answered"));
            self.deliver(pending);
            answer = answered.try_recv().ok().filter(|_| !answer_lost);
        }
        self.handle(node, BudgetEvent::PeerAnswered { peer, answer });
    }

    fn ask_witness(&mut self, name: &str, req: WitnessRequest) -> Option<WitnessReply> {
        let number: usize = name.trim_start_matches("sidecar-").parse().unwrap();
        if self.is_lost() {
            return None;
        }
        let answer = self.sidecars[number].1.answer(req);
        (!self.is_lost()).then_some(answer)
    }

    fn deliver_request(&mut self, node: usize, funding: Funding, sidecar: usize, charge: u64) {
        if self.sidecars[sidecar].1.admit(&funding).is_err() {
            self.handle(node, BudgetEvent::EpochRefused { funding });
            return;
        }
        let truth = self.truths.iter_mut().find(|truth| truth.budget == funding.budget);
        truth.unwrap().running += funding.reserved_tokens();
        let incarnation = self.sidecars[sidecar].0;
        let message = Message::Run { funding, sidecar, incarnation, charge };
        self.pending.push(Pending { node, message });
    }

    fn finish_request(
        &mut self,
        node: usize,
        funding: &Funding,
        sidecar: usize,
        incarnation: u64,
        charge: u64,
    ) {
        assert_eq!(self.sidecars[sidecar].0, incarnation);
        let truth = self.truths.iter_mut().find(|truth| truth.budget == funding.budget).unwrap();
        truth.running -= funding.reserved_tokens();
        truth.charged += charge;
        self.sidecars[sidecar].1.charge(funding, charge);
        let event = if self.is_lost() {
            BudgetEvent::SettleUnknown { funding: funding.clone() }
        } else {
            BudgetEvent::Settle { funding: funding.clone(), charge }
        };
        self.handle(node, event);
    }

    fn tell_hosts(&mut self) {
        let mut hosts = Vec::new();
        for (number, node) in self.nodes.iter().enumerate() {
            if node.system.is_some() {
                hosts.push(host(format!("entry-{number}"), Role::Entry));
            }
        }
        for number in 0..self.sidecars.len() {
            hosts.push(host(format!("sidecar-{number}"), Role::Sidecar));
        }
        for node in 0..self.nodes.len() {
            self.handle(node, BudgetEvent::Hosts(hosts.clone()));
        }
    }

    /// Account of a budget as the ledger holds it.
    pub fn account(&self, budget: usize) -> Option<Account> {
        let id = &self.truths[budget].budget;
        let held = self.store.get(&ledger_key(shard_of(id, SHARDS)))?;
        Shard::decode(&held.value).unwrap().account(id).cloned()
    }

    /// The invariant of the ledger, and its agreement with what truly ran.
    pub fn check(&self) {
        for (number, truth) in self.truths.iter().enumerate() {
            let most = truth.charged + truth.running;
            assert!(most <= truth.prepaid, "overspent: {most} of {}", truth.prepaid);
            let Some(account) = self.account(number) else { continue };
            let granted: u64 = account.grants.iter().map(|grant| grant.granted).sum();
            assert_eq!(account.prepaid, truth.prepaid);
            assert!(account.settled + granted <= account.prepaid);
            assert!(account.grants.iter().all(|grant| grant.settled <= grant.granted));
            assert!(
                account.spent() <= truth.charged,
                "settled {} but only {} was spent",
                account.spent(),
                truth.charged
            );
            assert!(account.prepaid - account.free() >= truth.charged, "spent money is free");
        }
    }

    /// Stops every node gracefully, one after another.
    pub fn stop_all(&mut self) {
        for node in 0..self.nodes.len() {
            let (reply, _closed) = oneshot::channel();
            self.handle(node, BudgetEvent::Close { reply });
            self.advance(6_000);
            self.kill(node);
        }
    }

    /// Requests of a node that have their money and are not dispatched.
    pub fn funded(&self, node: usize) -> usize {
        self.nodes[node].funded.len()
    }

    /// Ends every fault and lets the fleet come to rest.
    pub fn heal(&mut self, ms: u64) {
        self.chaos = Chaos::default();
        for node in 0..self.nodes.len() {
            self.cut_store(node, false);
            self.resume(node);
            self.start(node);
        }
        for _ in 0..ms / 1_000 {
            for node in 0..self.nodes.len() {
                while !self.nodes[node].funded.is_empty() {
                    self.dispatch(node, 0, 50);
                }
            }
            self.advance(1_000);
        }
    }
}

fn host(name: String, role: Role) -> Host {
    Host {
        name,
        role,
        address: "127.0.0.1:1".parse().unwrap(),
        data_center: "wien-a".to_owned(),
        region: "at-east".to_owned(),
        state: HostState::Live,
    }
}
