//! The budget system: tables of one entry and the decisions over them.
//!
//! The modules below share [`BudgetSystem`]: [`shards`] writes the ledger,
//! [`epochs`] registers and rolls this entry's epoch, [`closing`] reclaims the
//! grants of closed epochs, [`standby`] keeps money of idle budgets and [`peers`]
//! lends and borrows.

mod closing;
mod epochs;
mod peers;
mod reserve;
mod shards;
mod standby;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::ReserveRequest;
use super::budget_state::{AccountSnapshot, BudgetState};
use super::event::{BudgetEffect, BudgetEvent, StoreKey};
use super::policy::{GrantPolicy, GrantPolicyName, PolicyInput};
use crate::control::System;
use crate::id::{BudgetId, EpochId};
use crate::time::Millis;
use closing::{Closing, ForeignEpoch};
use epochs::{EpochSlot, SidecarRow};
use peers::PeerRow;
use shards::ShardSlot;
use tokio::sync::oneshot;

/// Time without draws after which a budget's money goes back, in milliseconds.
const IDLE_MS: u64 = 20_000;

/// Time without draws after which settled books are dropped, in milliseconds.
const FORGET_MS: u64 = 60_000;

/// Time between two reads of a shard by the fleet, to find grants without a holder.
const SWEEP_INTERVAL_MS: u64 = 1_000;

/// Longest time that a graceful stop waits for its writes, in milliseconds.
const CLOSE_TIMEOUT_MS: u64 = 5_000;

/// What a budget system is opened with.
#[derive(Clone, Debug)]
pub struct SystemParams {
    /// Name of this host in the platform's list.
    pub host: String,
    pub data_center: String,
    pub region: String,
    /// Epoch of this process start.
    pub epoch: EpochId,
    /// Number of ledger shards in the store.
    pub shards: u32,
    pub policy: GrantPolicyName,
    /// Seed of the jitter.
    pub seed: u64,
}

/// Tables of the money that one entry holds.
pub struct BudgetSystem {
    params: SystemParams,
    policy: Box<dyn GrantPolicy>,
    rng: SmallRng,
    /// Epoch that new grants are drawn under.
    epoch: EpochId,
    /// Whether the epoch's record is confirmed, so that grants may be drawn.
    registered: bool,
    rotations: u64,
    rotated_at: Millis,
    current: EpochSlot,
    next: Option<EpochSlot>,
    /// Books, sorted by budget.
    budget_states: Vec<BudgetState>,
    slots: Vec<ShardSlot>,
    sidecars: Vec<SidecarRow>,
    peers: Vec<PeerRow>,
    /// Epochs of others seen in the ledger, sorted.
    foreign_epochs: Vec<ForeignEpoch>,
    closings: Vec<Closing>,
    /// Epochs of others that no witness can account for.
    unrecoverable: Vec<EpochId>,
    /// Root epochs whose money must not be borrowed any more, sorted.
    closed_roots: Vec<EpochId>,
    sweep_at: Millis,
    sweep_shard: u32,
    stopping: Option<Stopping>,
}

struct Stopping {
    since: Millis,
    replies: Vec<oneshot::Sender<()>>,
}

impl BudgetSystem {
    /// Opens a system without any money.
    pub fn open(params: SystemParams) -> BudgetSystem {
        let slots = (0..params.shards.max(1)).map(|_| ShardSlot::new()).collect();
        BudgetSystem {
            policy: params.policy.open(),
            rng: SmallRng::seed_from_u64(params.seed),
            epoch: params.epoch,
            registered: false,
            rotations: 0,
            rotated_at: Millis(0),
            current: EpochSlot::new(params.epoch, Millis(0)),
            next: None,
            budget_states: Vec::new(),
            slots,
            sidecars: Vec::new(),
            peers: Vec::new(),
            foreign_epochs: Vec::new(),
            closings: Vec::new(),
            unrecoverable: Vec::new(),
            closed_roots: Vec::new(),
            sweep_at: Millis(SWEEP_INTERVAL_MS),
            sweep_shard: 0,
            stopping: None,
            params,
        }
    }

    /// Epoch that new grants are drawn under.
    pub fn epoch(&self) -> EpochId {
        self.epoch
    }

    /// Whether grants may be drawn.
    pub fn is_registered(&self) -> bool {
        self.registered
    }

    /// Books of the budgets in use, sorted by budget.
    pub fn budget_states(&self) -> &[BudgetState] {
        &self.budget_states
    }

    fn state_index(&self, budget: &BudgetId) -> Result<usize, usize> {
        self.budget_states.binary_search_by(|state| state.budget.cmp(budget))
    }

    fn state_mut(&mut self, budget: &BudgetId) -> Option<&mut BudgetState> {
        let at = self.state_index(budget).ok()?;
        Some(&mut self.budget_states[at])
    }

    fn open_budget_state(&mut self, budget: &BudgetId, now: Millis) -> usize {
        match self.state_index(budget) {
            Ok(at) => at,
            Err(at) => {
                let shard = super::ledger::shard_of(budget, self.params.shards);
                self.budget_states
                    .insert(at, BudgetState::new(budget.clone(), shard, self.epoch, now));
                at
            }
        }
    }

    /// Entries that share the fleet's money, this one included.
    fn entries(&self) -> u64 {
        1 + self.peers.iter().filter(|peer| peer.listed).count() as u64
    }

    fn is_closed_root(&self, root: EpochId) -> bool {
        self.closed_roots.binary_search(&root).is_ok()
    }

    fn add_closed_root(&mut self, root: EpochId) {
        if let Err(at) = self.closed_roots.binary_search(&root) {
            self.closed_roots.insert(at, root);
        }
    }

    fn stop(&mut self, reply: oneshot::Sender<()>, now: Millis) {
        let stopping =
            self.stopping.get_or_insert_with(|| Stopping { since: now, replies: Vec::new() });
        stopping.replies.push(reply);
        for state in &mut self.budget_states {
            state.borrowings.iter_mut().for_each(|borrowing| borrowing.return_tokens(u64::MAX));
        }
        for slot in &mut self.slots {
            slot.mark_due();
        }
    }

    fn finish_stop(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let Some(stopping) = self.stopping.as_ref().filter(|stopping| !stopping.replies.is_empty())
        else {
            return;
        };
        let all_returned = self.budget_states.iter().all(is_all_returned);
        if !all_returned && now.since(stopping.since) < CLOSE_TIMEOUT_MS {
            return;
        }
        let open: u64 = self.budget_states.iter().map(|state| state.own.record.open()).sum();
        log::info!("decision=stop epoch={} handed_back={all_returned} open={open}", self.epoch);
        let stopping = self.stopping.as_mut().expect("checked above");
        for reply in stopping.replies.drain(..) {
            effects.push(BudgetEffect::Closed { reply });
        }
    }

    fn drop_unused_states(&mut self, now: Millis) {
        let forget = |state: &BudgetState| {
            !state.standby && now.since(state.last_used) > FORGET_MS && state.is_settled()
        };
        self.budget_states.retain(|state| !forget(state));
    }
}

fn is_all_returned(state: &BudgetState) -> bool {
    state.borrowings.iter().all(|borrowing| !borrowing.dirty)
        && state.own.pending.is_none()
        && state.own.record.granted == state.own.settled()
        && state.own.record.settled == state.own.settled()
}

/// What the policy knows of a budget, given what the store shows.
fn policy_input(
    state: &BudgetState,
    last_read: AccountSnapshot,
    entries: u64,
    now: Millis,
) -> PolicyInput {
    PolicyInput {
        rate: state.spend_rate(),
        request: state.last_request_tokens,
        available: state.own.available(),
        reserved: state.own.reserved,
        granted: state.own.record.granted,
        free: last_read.free,
        unsettled: last_read.prepaid.saturating_sub(last_read.spent),
        prepaid: last_read.prepaid,
        entries,
        idle: !state.standby && now.since(state.last_used) > IDLE_MS,
        standby: state.standby,
    }
}

impl System for BudgetSystem {
    type Event = BudgetEvent;
    type Effect = BudgetEffect;

    fn handle(&mut self, event: BudgetEvent, now: Millis, effects: &mut Vec<BudgetEffect>) {
        match event {
            BudgetEvent::Reserve { req, reply } => self.reserve(req, reply, now, effects),
            BudgetEvent::Settle { funding, charge } => self.settle(&funding, charge, now, effects),
            BudgetEvent::SettleUnknown { funding } => self.settle_unknown(&funding),
            BudgetEvent::EpochRefused { funding } => self.epoch_refused(&funding, now, effects),
            BudgetEvent::Hosts(hosts) => self.apply_hosts(&hosts, now),
            BudgetEvent::Read { key: StoreKey::Ledger(shard), outcome } => {
                self.shard_read(shard, outcome, now, effects);
            }
            BudgetEvent::Written { key: StoreKey::Ledger(shard), outcome } => {
                self.shard_written(shard, outcome, now, effects);
            }
            BudgetEvent::Read { key: StoreKey::Epoch(epoch), outcome } => {
                self.epoch_read(epoch, outcome, now);
            }
            BudgetEvent::Written { key: StoreKey::Epoch(epoch), outcome } => {
                self.epoch_written(epoch, outcome, now);
            }
            BudgetEvent::PeerSyncReceived { sync, reply } => {
                self.peer_sync_received(sync, reply, now, effects)
            }
            BudgetEvent::PeerAnswered { peer, answer } => {
                self.peer_answered(&peer, answer, now, effects);
            }
            BudgetEvent::WitnessAnswered { name, req, answer } => {
                self.witness_answered(&name, req, answer, now);
            }
            BudgetEvent::Close { reply } => self.stop(reply, now),
        }
    }

    fn tick(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        self.tick_epochs(now, effects);
        self.tick_closings(now, effects);
        self.tick_waiters(now, effects);
        self.tick_shards(now, effects);
        self.tick_peers(now, effects);
        self.drop_unused_states(now);
        self.finish_stop(now, effects);
    }
}
