//! Event-driven state machine that manages the budgets of one entry.
//!
//! The modules below share [`BudgetSystem`]: [`reserve`] answers reservations, [`shards`] reads and
//! writes the ledger, [`epochs`] registers and rotates this entry's epoch, [`closing`] reclaims the
//! grants of closed epochs, [`standby`] keeps tokens of idle budgets, and [`peers`] lends and
//! borrows tokens.

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
use closing::{ClosingEpoch, ForeignEpoch};
use epochs::{EpochSlot, SidecarRow};
use peers::PeerRow;
use shards::ShardSlot;
use tokio::sync::oneshot;

/// Time without requests after which a budget's unused tokens are returned, in milliseconds.
const IDLE_MS: u64 = 20_000;

/// Time without requests after which a settled budget state is dropped, in milliseconds.
const DROP_STATE_AFTER_MS: u64 = 60_000;

/// Average time between two shard reads that the whole fleet makes in search of grants without a
/// holder, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;

/// Longest time that a graceful stop waits for its writes, in milliseconds.
const CLOSE_TIMEOUT_MS: u64 = 5_000;

/// Parameters of a [`BudgetSystem`].
#[derive(Clone, Debug)]
pub struct SystemParams {
    /// Name of this host in the platform's list.
    pub host: String,
    /// Data centre of this host.
    pub data_center: String,
    /// Region of this host.
    pub region: String,
    /// Fresh epoch of this process start.
    pub epoch: EpochId,
    /// Number of ledger shards in the store.
    pub shards: u32,
    /// Policy that decides on tokens beyond the needs of waiting requests.
    pub policy: GrantPolicyName,
    /// Seed of the random numbers for backoff jitter.
    pub seed: u64,
}

/// Budget state of one entry, with the shards, peers and epochs that it depends on.
pub struct BudgetSystem {
    params: SystemParams,
    policy: Box<dyn GrantPolicy>,
    rng: SmallRng,
    /// Epoch under which new grants are requested.
    epoch: EpochId,
    /// Whether the epoch's record is confirmed, so that grants may be requested.
    registered: bool,
    /// Epoch rotations since the process start.
    rotations: u64,
    /// When the latest rotation started.
    rotated_at: Millis,
    current: EpochSlot,
    /// Epoch to which a rotation in progress changes.
    next: Option<EpochSlot>,
    /// States of the budgets in use, sorted by budget.
    budget_states: Vec<BudgetState>,
    /// Access state of each ledger shard, by shard number.
    slots: Vec<ShardSlot>,
    /// Sidecars of the host list, sorted by name.
    sidecars: Vec<SidecarRow>,
    /// Other entries of the host list, sorted by name.
    peers: Vec<PeerRow>,
    /// Epochs of other entries that hold grants in the ledger, sorted.
    foreign_epochs: Vec<ForeignEpoch>,
    closing_epochs: Vec<ClosingEpoch>,
    /// Closed epochs whose charges no witness can report; their grants stay counted as spent.
    unrecoverable: Vec<EpochId>,
    /// Root epochs whose tokens must not be borrowed any more, sorted.
    closed_roots: Vec<EpochId>,
    /// When the next shard is read in search of grants without a holder.
    sweep_at: Millis,
    /// Shard that was last read in that search.
    sweep_shard: u32,
    stopping: Option<Stopping>,
}

/// Graceful stop in progress.
struct Stopping {
    since: Millis,
    replies: Vec<oneshot::Sender<()>>,
}

impl BudgetSystem {
    /// Creates a system without any tokens.
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
            closing_epochs: Vec::new(),
            unrecoverable: Vec::new(),
            closed_roots: Vec::new(),
            sweep_at: Millis(SWEEP_INTERVAL_MS),
            sweep_shard: 0,
            stopping: None,
            params,
        }
    }

    /// Returns the epoch under which new grants are requested.
    pub fn epoch(&self) -> EpochId {
        self.epoch
    }

    /// Returns whether grants may be requested.
    pub fn is_registered(&self) -> bool {
        self.registered
    }

    /// Returns the states of the budgets in use, sorted by budget.
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

    /// Returns the index of a budget's state; creates an empty one if there is none.
    fn ensure_state(&mut self, budget: &BudgetId, now: Millis) -> usize {
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

    /// Returns the number of entries that share the fleet's tokens, this one included.
    fn entry_count(&self) -> u64 {
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

    /// Starts a graceful stop: returns borrowed tokens and schedules a write of every shard.
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

    /// Ends a graceful stop once all tokens are returned or [`CLOSE_TIMEOUT_MS`] has passed.
    fn finish_stop(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let Some(stopping) = self.stopping.as_ref().filter(|stopping| !stopping.replies.is_empty())
        else {
            return;
        };
        let all_returned = self.budget_states.iter().all(has_returned_all);
        if !all_returned && now.since(stopping.since) < CLOSE_TIMEOUT_MS {
            return;
        }
        let open: u64 = self.budget_states.iter().map(|state| state.own.record.open_tokens()).sum();
        log::info!("decision=stop epoch={} handed_back={all_returned} open={open}", self.epoch);
        let stopping = self.stopping.as_mut().expect("a stop is in progress");
        for reply in stopping.replies.drain(..) {
            effects.push(BudgetEffect::Closed { reply });
        }
    }

    /// Drops settled states of budgets without recent requests.
    fn drop_unused_states(&mut self, now: Millis) {
        let is_unused = |state: &BudgetState| {
            !state.standby
                && now.since(state.last_used_at) > DROP_STATE_AFTER_MS
                && state.is_settled()
        };
        self.budget_states.retain(|state| !is_unused(state));
    }
}

/// Returns whether every unspent token was returned and the store has confirmed it.
fn has_returned_all(state: &BudgetState) -> bool {
    state.borrowings.iter().all(|borrowing| !borrowing.dirty)
        && state.own.pending.is_none()
        && state.own.record.granted == state.own.settled()
        && state.own.record.settled == state.own.settled()
}

/// Returns the policy's input for a budget, given its account.
fn policy_input(
    state: &BudgetState,
    last_read: AccountSnapshot,
    entry_count: u64,
    now: Millis,
) -> PolicyInput {
    PolicyInput {
        requested_tokens_per_s: state.requested_tokens_per_s(),
        last_request_tokens: state.last_request_tokens,
        available: state.own.available(),
        reserved: state.own.reserved,
        granted: state.own.record.granted,
        free: last_read.free,
        unsettled: last_read.prepaid.saturating_sub(last_read.spent),
        prepaid: last_read.prepaid,
        entry_count,
        idle: !state.standby && now.since(state.last_used_at) > IDLE_MS,
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
            BudgetEvent::EpochRefused { funding } => {
                self.apply_epoch_refusal(&funding, now, effects)
            }
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
        self.tick_closing_epochs(now, effects);
        self.tick_waiters(now, effects);
        self.tick_shards(now, effects);
        self.tick_peers(now, effects);
        self.drop_unused_states(now);
        self.finish_stop(now, effects);
    }
}
