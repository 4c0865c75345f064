//! Simulation of several budget systems with a model of the store, the witnesses and the network.
//!
//! The simulation counts what each budget's requests really cost and checks the ledger
//! against these totals after each step.

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

/// Number of ledger shards.
pub const SHARDS: u32 = 2;
/// Simulated time between two ticks of every node, in milliseconds.
const TICK_MS: u64 = 20;

/// Probabilities of faults in the delivery of messages, in percent.
///
/// The recorded cases in test_budget_state_machine.regressions show this name.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chaos {
    /// Requests or answers that do not arrive.
    pub lost: u32,
    /// Messages that wait for a later tick.
    pub delayed: u32,
}

/// Message or call that has not been delivered.
enum Message {
    /// An effect of a node's budget system.
    Effect(BudgetEffect),
    /// A request on its way to a sidecar.
    Dispatch { funding: Funding, sidecar: usize, charge: u64 },
    /// A request that is running at a sidecar.
    Run { funding: Funding, sidecar: usize, incarnation: u64, charge: u64 },
}

struct Pending {
    /// Index of the node that receives the outcome.
    node: usize,
    message: Message,
}

/// One entry with its budget system.
struct Node {
    /// `None` while no process runs.
    system: Option<BudgetSystem>,
    paused: bool,
    /// Events that a paused process handles when it resumes.
    inbox: Vec<BudgetEvent>,
    /// Whether the node's calls to the store fail.
    store_cut: bool,
    /// Reservations without an answer.
    reservations: Vec<oneshot::Receiver<Result<Funding, Refusal>>>,
    /// Funded requests that have not been dispatched.
    funded: Vec<Funding>,
    /// Number of process starts, which makes each start's epoch unique.
    starts: u64,
}

/// Real totals of one budget, which the ledger is checked against.
pub struct BudgetTotals {
    /// Budget that the totals belong to.
    pub budget: BudgetId,
    /// Tokens of all top-ups.
    pub prepaid: u64,
    /// Tokens that finished requests cost.
    pub charged: u64,
    /// Tokens reserved by requests that are running at a sidecar.
    pub running: u64,
    /// Number of granted reservations.
    pub answered: u64,
    /// Number of refused reservations; those of all budgets count at the first one.
    pub refused: u64,
}

/// Simulated fleet of entries and sidecars with one store.
pub struct World {
    /// Simulated time.
    pub now: Millis,
    rng: SmallRng,
    /// Faults of the messages from now on.
    pub chaos: Chaos,
    nodes: Vec<Node>,
    store: ModelStore,
    /// Incarnation and receipts of each sidecar.
    sidecars: Vec<(u64, Receipts)>,
    pending: Vec<Pending>,
    /// Real totals of each budget.
    pub totals: Vec<BudgetTotals>,
    /// Number of top-ups, which makes each operation identifier unique.
    operations: u128,
    policy: GrantPolicyName,
    /// Whether a sidecar lost its receipts, so that some grants may never be settled.
    pub receipts_lost: bool,
}

impl World {
    /// Starts `nodes` entries and two sidecars, with two budgets that have no tokens.
    pub fn open(seed: u64, nodes: usize, policy: GrantPolicyName) -> World {
        let mut world = World {
            now: Millis(0),
            rng: SmallRng::seed_from_u64(seed),
            chaos: Chaos::default(),
            nodes: Vec::new(),
            store: ModelStore::default(),
            sidecars: (0..2).map(|number| (100 + number, Receipts::open(100 + number))).collect(),
            pending: Vec::new(),
            totals: Vec::new(),
            operations: 0,
            policy,
            receipts_lost: false,
        };
        for name in ["dossiers", "orders"] {
            let budget = BudgetId { workspace: "w".to_owned(), name: name.to_owned() };
            let budget_totals = BudgetTotals {
                budget,
                prepaid: 0,
                charged: 0,
                running: 0,
                answered: 0,
                refused: 0,
            };
            world.totals.push(budget_totals);
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
        let node_state = &mut self.nodes[node];
        node_state.starts += 1;
        let epoch = EpochId(((node as u64 + 1) << 32) + node_state.starts);
        node_state.system = Some(BudgetSystem::open(SystemParams {
            host: format!("entry-{node}"),
            data_center: "wien-a".to_owned(),
            region: "at-east".to_owned(),
            epoch,
            shards: SHARDS,
            policy: self.policy,
            seed: epoch.0,
        }));
        self.send_hosts();
    }

    /// Kills a node's process; its state is lost.
    pub fn kill(&mut self, node: usize) {
        let node_state = &mut self.nodes[node];
        node_state.system = None;
        node_state.paused = false;
        node_state.inbox.clear();
        node_state.reservations.clear();
        node_state.funded.clear();
        self.send_hosts();
    }

    /// Pauses a node's process, if one runs.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = self.nodes[node].system.is_some();
    }

    /// Resumes a node's process, which then handles the events that arrived meanwhile.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        let inbox = std::mem::take(&mut self.nodes[node].inbox);
        for event in inbox {
            self.handle(node, event);
        }
    }

    /// Makes a node's calls to the store fail, or succeed again.
    pub fn set_store_cut(&mut self, node: usize, cut: bool) {
        self.nodes[node].store_cut = cut;
    }

    /// Restarts a sidecar, which loses its receipts.
    pub fn restart_sidecar(&mut self, sidecar: usize) {
        let incarnation = self.sidecars[sidecar].0 + 10;
        self.sidecars[sidecar] = (incarnation, Receipts::open(incarnation));
        self.receipts_lost = true;
        // Its running requests end too and cost all that they had reserved.
        let totals = &mut self.totals;
        self.pending.retain(|pending| match &pending.message {
            Message::Run { funding, sidecar: running_at, .. } if *running_at == sidecar => {
                let totals = totals.iter_mut().find(|totals| totals.budget == funding.budget);
                let totals = totals.expect("the budget exists");
                totals.running -= funding.reserved_tokens();
                totals.charged += funding.reserved_tokens();
                false
            }
            _ => true,
        });
    }

    /// Adds prepaid tokens to a budget.
    pub fn top_up(&mut self, budget: usize, tokens: u64) {
        self.operations += 1;
        let totals = &mut self.totals[budget];
        totals.prepaid += tokens;
        let key = ledger_key(shard_of(&totals.budget, SHARDS));
        let row = self.store.get(&key);
        let mut shard = row.map_or(Shard::default(), |row| Shard::decode(&row.value).unwrap());
        assert!(shard.open_account(&totals.budget).top_up(tokens, OperationId(self.operations)));
        self.store.put(&key, shard.encode());
    }

    /// Requests a reservation at a node; nothing happens while no process runs there.
    pub fn reserve(&mut self, node: usize, budget: usize, tokens: u64, max_wait_ms: u64) {
        if self.nodes[node].system.is_none() {
            return;
        }
        let (reply, answer) = oneshot::channel();
        self.nodes[node].reservations.push(answer);
        let req = ReserveRequest {
            budget: self.totals[budget].budget.clone(),
            tokens,
            class: Class::Quick,
            max_wait: Duration::from_millis(max_wait_ms),
        };
        self.handle(node, BudgetEvent::Reserve { req, reply });
    }

    /// Sends a node's latest funded request to a sidecar, even if the node was closed meanwhile.
    ///
    /// The request will cost `percent` of its reservation. Nothing happens on a paused node.
    pub fn dispatch(&mut self, node: usize, sidecar: usize, percent: u64) {
        if self.nodes[node].paused {
            return;
        }
        let Some(funding) = self.nodes[node].funded.pop() else { return };
        let charge = funding.reserved_tokens() * percent.min(100) / 100;
        self.pending
            .push(Pending { node, message: Message::Dispatch { funding, sidecar, charge } });
    }

    /// Advances the time in ticks and delivers messages in random order, with faults.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(TICK_MS) {
            self.now = self.now.plus(TICK_MS);
            for node in 0..self.nodes.len() {
                self.tick(node);
                self.collect_answers(node);
            }
            self.deliver_some();
            self.check();
        }
    }

    fn tick(&mut self, node: usize) {
        let node_state = &mut self.nodes[node];
        if node_state.paused {
            return;
        }
        let Some(system) = &mut node_state.system else { return };
        let mut effects = Vec::new();
        system.tick(self.now, &mut effects);
        self.queue(node, effects);
    }

    fn handle(&mut self, node: usize, event: BudgetEvent) {
        let node_state = &mut self.nodes[node];
        if node_state.paused {
            node_state.inbox.push(event);
            return;
        }
        let Some(system) = &mut node_state.system else { return };
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

    /// Collects the answers of a node's reservations.
    fn collect_answers(&mut self, node: usize) {
        let mut waiting = std::mem::take(&mut self.nodes[node].reservations);
        waiting.retain_mut(|answer| match answer.try_recv() {
            Ok(Ok(funding)) => {
                let totals = self.totals.iter_mut().find(|totals| totals.budget == funding.budget);
                totals.unwrap().answered += 1;
                self.nodes[node].funded.push(funding);
                false
            }
            Ok(Err(_)) => {
                self.totals[0].refused += 1;
                false
            }
            Err(_) => true,
        });
        self.nodes[node].reservations = waiting;
    }

    /// Delivers the pending messages, except for those that are delayed at random.
    fn deliver_some(&mut self) {
        let mut later = Vec::new();
        let mut ready = std::mem::take(&mut self.pending);
        while !ready.is_empty() {
            let index = self.rng.random_range(0..ready.len());
            let pending = ready.swap_remove(index);
            if self.rng.random_range(0..100) < self.chaos.delayed {
                later.push(pending);
            } else {
                self.deliver(pending);
            }
        }
        self.pending.extend(later);
    }

    /// Returns whether the next message is lost, at random.
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
                self.sync_with_peer(node, peer, sync);
            }
            Message::Effect(BudgetEffect::QueryWitness { name, req, .. }) => {
                let answer = self.query_witness(&name, req);
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
        let row = self.store.get(&key.text());
        let outcome = if lost { Outcome::Unknown } else { Outcome::Done(row) };
        self.handle(node, BudgetEvent::Read { key, outcome });
    }

    fn sync_with_peer(&mut self, node: usize, peer: String, sync: PeerSync) {
        let number: usize = peer.trim_start_matches("entry-").parse().unwrap();
        let (lost, answer_lost) = (self.is_lost(), self.is_lost());
        let is_running = self.nodes[number].system.is_some() && !self.nodes[number].paused;
        let mut answer = None;
        if is_running && !lost {
            let (reply, mut answered) = oneshot::channel();
            self.handle(number, BudgetEvent::PeerSyncReceived { sync, reply });
            let index = self.pending.iter().rposition(|pending| {
                let answers =
                    matches!(pending.message, Message::Effect(BudgetEffect::AnswerPeer { .. }));
                pending.node == number && answers
            });
            let pending = self.pending.remove(index.expect("each peer sync is answered at once"));
            self.deliver(pending);
            answer = answered.try_recv().ok().filter(|_| !answer_lost);
        }
        self.handle(node, BudgetEvent::PeerAnswered { peer, answer });
    }

    fn query_witness(&mut self, name: &str, req: WitnessRequest) -> Option<WitnessReply> {
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
        let totals = self.totals.iter_mut().find(|totals| totals.budget == funding.budget);
        totals.unwrap().running += funding.reserved_tokens();
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
        let totals = self.totals.iter_mut().find(|totals| totals.budget == funding.budget).unwrap();
        totals.running -= funding.reserved_tokens();
        totals.charged += charge;
        self.sidecars[sidecar].1.charge(funding, charge);
        let event = if self.is_lost() {
            BudgetEvent::SettleUnknown { funding: funding.clone() }
        } else {
            BudgetEvent::Settle { funding: funding.clone(), charge }
        };
        self.handle(node, event);
    }

    fn send_hosts(&mut self) {
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

    /// Returns a budget's account from the ledger.
    pub fn account(&self, budget: usize) -> Option<Account> {
        let id = &self.totals[budget].budget;
        let row = self.store.get(&ledger_key(shard_of(id, SHARDS)))?;
        Shard::decode(&row.value).unwrap().account(id).cloned()
    }

    /// Checks the invariant of the ledger and compares the accounts with the real totals.
    ///
    /// # Panics
    ///
    /// Panics if a budget is overspent or an account is wrong.
    pub fn check(&self) {
        for (number, totals) in self.totals.iter().enumerate() {
            let max_spent = totals.charged + totals.running;
            assert!(
                max_spent <= totals.prepaid,
                "overspent: {max_spent} of {} prepaid tokens",
                totals.prepaid
            );
            let Some(account) = self.account(number) else { continue };
            let granted: u64 = account.grants.iter().map(|grant| grant.granted).sum();
            assert_eq!(account.prepaid, totals.prepaid);
            assert!(account.settled + granted <= account.prepaid);
            assert!(account.grants.iter().all(|grant| grant.settled <= grant.granted));
            assert!(
                account.spent() <= totals.charged,
                "the ledger has {} tokens as settled, but only {} were spent",
                account.spent(),
                totals.charged
            );
            assert!(
                account.prepaid - account.free() >= totals.charged,
                "the ledger has spent tokens as free"
            );
        }
    }

    /// Stops all nodes gracefully, one after another.
    pub fn stop_all(&mut self) {
        for node in 0..self.nodes.len() {
            let (reply, _closed) = oneshot::channel();
            self.handle(node, BudgetEvent::Close { reply });
            self.advance(6_000);
            self.kill(node);
        }
    }

    /// Returns the number of a node's funded requests that have not been dispatched.
    pub fn funded(&self, node: usize) -> usize {
        self.nodes[node].funded.len()
    }

    /// Ends all faults, then advances the time and dispatches all funded requests.
    pub fn end_faults(&mut self, ms: u64) {
        self.chaos = Chaos::default();
        for node in 0..self.nodes.len() {
            self.set_store_cut(node, false);
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
