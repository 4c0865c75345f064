//! Lending between entries, without a write to the store.
//!
//! Both sides exchange running totals: what was given, what of it was spent and
//! what was handed back. A lost, repeated or late message changes nothing that
//! the next one does not mend. A lender counts money as lent before it tells
//! the borrower; a borrower counts money as handed back before it tells the
//! lender. Totals are bound to both processes and to the lender's epoch.

use std::net::SocketAddr;

use super::*;
use crate::budget::budget_state::Borrowing;
use crate::host_list::{Host, HostState, Role};
use crate::wire::{BudgetSync, PeerSync};

/// Time between two reports to a lender, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 500;

/// Time between two requests for money to the same peer, in milliseconds.
const ASK_INTERVAL_MS: u64 = 40;

/// Time without draws after which borrowed money goes back, in milliseconds.
const BORROWED_IDLE_MS: u64 = 4_000;

/// Silence after which a borrower counts as lost, in milliseconds.
const BORROWER_LOST_MS: u64 = 15_000;

/// Time between two looks at a quiet borrower, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 3_000;

/// Budgets in one message.
const MAX_BUDGETS: usize = 256;

/// Peers asked for the same budget at the same time.
const MAX_PEERS_ASKED: usize = 2;

/// Requests of the usual size that a borrower asks for beyond its need.
const EXTRA_REQUESTS: u64 = 4;

/// Another entry.
pub(super) struct PeerRow {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    pub(super) listed: bool,
    /// Whether it is in this entry's data centre and region.
    distance: u8,
    /// Process that answered last.
    pub(super) instance: Option<EpochId>,
    /// Epoch under which it draws.
    pub(super) epoch: Option<EpochId>,
    pub(super) answered_at: Millis,
    in_flight: bool,
    sent_at: Option<Millis>,
    /// Whether it is to be asked although there is nothing to exchange.
    pub(super) probe: bool,
    /// Budgets that lack money and for which it is its turn.
    borrow_for: Vec<BudgetId>,
}

impl BudgetSystem {
    pub(super) fn apply_entries(&mut self, hosts: &[Host], now: Millis) {
        for row in &mut self.peers {
            row.listed = false;
        }
        let entries = hosts.iter().filter(|host| host.role == Role::Entry);
        for host in entries.filter(|host| host.name != self.params.host) {
            let at = match self.peers.binary_search_by(|row| row.name.cmp(&host.name)) {
                Ok(at) => at,
                Err(at) => {
                    self.peers.insert(at, PeerRow::new(host, &self.params, now));
                    at
                }
            };
            self.peers[at].listed = host.state == HostState::Live;
            self.peers[at].address = host.address;
        }
    }

    pub(super) fn tick_peers(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        if !self.policy.lends() {
            return;
        }
        self.return_idle_borrowings(now);
        self.choose_lenders(now);
        self.probe_borrowers(now);
        for at in 0..self.peers.len() {
            self.send_sync(at, now, effects);
        }
    }

    fn return_idle_borrowings(&mut self, now: Millis) {
        let closed = &self.closed_roots;
        for state in &mut self.budget_states {
            state
                .borrowings
                .retain(|held| held.reserved > 0 || closed.binary_search(&held.root).is_err());
            if now.since(state.last_used) > BORROWED_IDLE_MS && state.waiters.is_empty() {
                state.borrowings.iter_mut().for_each(|borrowing| borrowing.return_tokens(u64::MAX));
            }
        }
    }

    /// Chooses which peers are asked for budgets that lack money, near ones first.
    fn choose_lenders(&mut self, now: Millis) {
        let mut order: Vec<usize> = (0..self.peers.len()).collect();
        order.retain(|at| self.peers[*at].listed);
        order.sort_by_key(|at| (self.peers[*at].distance, *at));
        if order.is_empty() {
            return;
        }
        for state in &mut self.budget_states {
            if state.shortfall() == 0 || !may_ask_peers(state, &self.slots, now) {
                continue;
            }
            for _ in 0..MAX_PEERS_ASKED.min(order.len()) {
                let peer = &mut self.peers[order[state.next_peer % order.len()]];
                state.next_peer = state.next_peer.wrapping_add(1);
                if !peer.in_flight && !peer.borrow_for.contains(&state.budget) {
                    peer.borrow_for.push(state.budget.clone());
                }
            }
        }
    }

    /// Keeps in touch with peers that hold borrowed money.
    fn probe_borrowers(&mut self, now: Millis) {
        for peer in &mut self.peers {
            let quiet = now.since(peer.answered_at) >= PROBE_INTERVAL_MS;
            let asked = peer.sent_at.is_some_and(|at| now.since(at) < PROBE_INTERVAL_MS);
            if quiet && !asked {
                let loans = self.budget_states.iter().flat_map(|state| &state.own.loans);
                peer.probe |= loans
                    .filter(|loan| loan.is_open())
                    .any(|loan| peer.instance == Some(loan.instance));
            }
        }
    }

    fn send_sync(&mut self, at: usize, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let peer = &self.peers[at];
        if peer.in_flight {
            return;
        }
        let waited = peer.sent_at.map_or(u64::MAX, |asked| now.since(asked));
        let interval =
            if peer.borrow_for.is_empty() { REPORT_INTERVAL_MS } else { ASK_INTERVAL_MS };
        if waited < interval {
            return;
        }
        let budgets = self.pending_updates(at);
        let peer = &mut self.peers[at];
        if budgets.is_empty() && !peer.probe {
            return;
        }
        peer.borrow_for.clear();
        peer.probe = false;
        peer.in_flight = true;
        peer.sent_at = Some(now);
        let sync = PeerSync {
            from: self.params.host.clone(),
            instance: self.params.epoch,
            epoch: self.epoch,
            to: peer.instance,
            budgets,
        };
        let name = peer.name.clone();
        effects.push(BudgetEffect::SendPeerSync { peer: name, address: peer.address, sync });
    }

    /// Totals and wants that a peer should hear.
    fn pending_updates(&mut self, at: usize) -> Vec<BudgetSync> {
        let stopping = self.stopping.is_some();
        let peer = &self.peers[at];
        let mut updates = Vec::new();
        for state in &mut self.budget_states {
            let borrow_for = peer.borrow_for.contains(&state.budget);
            let dirty = state.borrowings.iter().any(|held| held.dirty && is_lent_by(held, peer));
            let unheard = state
                .own
                .loans
                .iter()
                .any(|loan| peer.instance == Some(loan.instance) && loan.given > loan.received);
            let recall = if stopping { state.own.lent_to(peer.instance) } else { 0 };
            if !borrow_for && !dirty && !unheard && recall == 0 {
                continue;
            }
            let need = if borrow_for { state.shortfall() } else { 0 };
            let want = if need > 0 { state.last_request_tokens * EXTRA_REQUESTS } else { 0 };
            updates.push(BudgetSync { need, want, recall, ..running_totals(state, peer) });
            for held in state.borrowings.iter_mut().filter(|held| is_lent_by(held, peer)) {
                held.dirty = false;
            }
            if updates.len() == MAX_BUDGETS {
                break;
            }
        }
        updates
    }

    /// Answers a peer: takes its totals over, lends, and tells the own totals.
    pub(super) fn peer_sync_received(
        &mut self,
        sync: PeerSync,
        reply: oneshot::Sender<PeerSync>,
        now: Millis,
        effects: &mut Vec<BudgetEffect>,
    ) {
        self.apply_peer_totals(&sync, now, effects);
        let mut budgets = Vec::new();
        if let Ok(at) = self.peers.binary_search_by(|row| row.name.cmp(&sync.from)) {
            for asked in &sync.budgets {
                self.return_recalled_tokens(sync.instance, asked);
                if asked.need > 0 {
                    self.lend(sync.instance, asked);
                }
                let peer = &self.peers[at];
                if let Ok(state) =
                    self.budget_states.binary_search_by(|state| state.budget.cmp(&asked.budget))
                {
                    budgets.push(running_totals(&self.budget_states[state], peer));
                }
            }
        }
        let answer = PeerSync {
            from: self.params.host.clone(),
            instance: self.params.epoch,
            epoch: self.epoch,
            to: Some(sync.instance),
            budgets,
        };
        effects.push(BudgetEffect::AnswerPeer { reply, sync: answer });
    }

    pub(super) fn peer_answered(
        &mut self,
        name: &str,
        answer: Option<PeerSync>,
        now: Millis,
        effects: &mut Vec<BudgetEffect>,
    ) {
        let Ok(at) = self.peers.binary_search_by(|row| row.name.as_str().cmp(name)) else { return };
        let peer = &mut self.peers[at];
        peer.in_flight = false;
        if answer.is_none() {
            let borrowings = self.budget_states.iter_mut().flat_map(|state| &mut state.borrowings);
            borrowings.filter(|held| is_lent_by(held, peer)).for_each(|held| held.dirty = true);
        }
        if let Some(answer) = answer.filter(|answer| answer.from == name) {
            self.apply_peer_totals(&answer, now, effects);
        }
    }

    /// Takes over a peer's totals.
    fn apply_peer_totals(&mut self, sync: &PeerSync, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let Ok(at) = self.peers.binary_search_by(|row| row.name.cmp(&sync.from)) else { return };
        if self.is_closed_root(sync.epoch) {
            return;
        }
        let peer = &mut self.peers[at];
        peer.answered_at = now;
        peer.instance = Some(sync.instance);
        let former = peer.epoch.replace(sync.epoch).filter(|former| *former != sync.epoch);
        if let Some(former) = former {
            self.add_closed_root(former);
        }
        self.drop_former_roots(sync.instance, sync.epoch);
        if sync.to != Some(self.params.epoch) {
            return;
        }
        for heard in &sync.budgets {
            if heard.root == self.epoch {
                self.apply_borrower_totals(sync.instance, heard);
            }
            if heard.given > 0 {
                let state = self.ensure_state(&heard.budget, now);
                self.budget_states[state].apply_lender_total(
                    sync.epoch,
                    sync.instance,
                    heard.given,
                );
            }
            if let Ok(state) = self.state_index(&heard.budget) {
                self.serve_waiters(state, now, effects);
            }
        }
    }

    fn apply_borrower_totals(&mut self, instance: EpochId, heard: &BudgetSync) {
        let Some(state) = self.state_mut(&heard.budget) else { return };
        if heard.received > 0 {
            state.own.apply_borrower_totals(instance, heard);
        }
    }

    /// Forgets money borrowed under epochs that its lender has left.
    fn drop_former_roots(&mut self, instance: EpochId, epoch: EpochId) {
        let mut former = Vec::new();
        for state in &mut self.budget_states {
            state.borrowings.retain(|held| {
                let keep = held.instance != instance || held.root == epoch;
                if !keep {
                    former.push(held.root);
                }
                keep
            });
        }
        former.into_iter().for_each(|root| self.add_closed_root(root));
    }

    fn return_recalled_tokens(&mut self, lender: EpochId, asked: &BudgetSync) {
        let Some(state) = self.state_mut(&asked.budget).filter(|_| asked.recall > 0) else {
            return;
        };
        let borrowings = state.borrowings.iter_mut().filter(|held| held.instance == lender);
        borrowings.for_each(|held| held.return_tokens(asked.recall));
    }

    /// Lends what a peer needs, and part of what it wants, out of the own grant.
    fn lend(&mut self, instance: EpochId, asked: &BudgetSync) {
        if !self.registered || !self.policy.lends() || self.stopping.is_some() {
            return;
        }
        let Some(state) = self.state_mut(&asked.budget) else { return };
        state.borrowings.iter_mut().for_each(|held| held.return_tokens(asked.need));
        let available = state.own.available();
        if available == 0 || !state.waiters.is_empty() {
            return;
        }
        let need = asked.need.min(available);
        let extra = asked.want.min((available - need) / 2);
        let loan = state.own.loan(instance);
        loan.given += need + extra;
        log::info!(
            "decision=lend budget={} to={instance} tokens={} need={} left={}",
            asked.budget,
            need + extra,
            asked.need,
            available - need - extra
        );
    }

    /// Whether a borrower of unspent money was not heard of for long, or restarted.
    pub(super) fn has_orphaned_loan(&self, now: Millis) -> bool {
        let lost = |instance: EpochId| {
            let peer = self.peers.iter().find(|peer| peer.instance == Some(instance));
            peer.is_none_or(|peer| now.since(peer.answered_at) > BORROWER_LOST_MS)
        };
        self.budget_states
            .iter()
            .flat_map(|state| &state.own.loans)
            .any(|loan| loan.is_open() && lost(loan.instance))
    }
}

impl PeerRow {
    /// Whether the entry is in this entry's data centre.
    pub(super) fn is_in_same_data_center(&self) -> bool {
        self.distance == 0
    }

    fn new(host: &Host, params: &SystemParams, now: Millis) -> PeerRow {
        let distance = u8::from(host.data_center != params.data_center)
            + u8::from(host.region != params.region);
        PeerRow {
            name: host.name.clone(),
            address: host.address,
            listed: false,
            distance,
            instance: None,
            epoch: None,
            answered_at: now,
            in_flight: false,
            sent_at: None,
            probe: true,
            borrow_for: Vec::new(),
        }
    }
}

fn is_lent_by(held: &Borrowing, peer: &PeerRow) -> bool {
    peer.instance == Some(held.instance)
}

/// Whether the store has said that it lacks the money, or says nothing.
fn may_ask_peers(state: &BudgetState, slots: &[ShardSlot], now: Millis) -> bool {
    let Some(oldest) = state.waiters.front() else { return false };
    let last_read = state.last_read.is_some_and(|last_read| last_read.read_at >= oldest.queued_at);
    last_read
        || slots[state.shard as usize].store_unreachable
        || now.since(oldest.queued_at) >= 2 * ASK_INTERVAL_MS
}

fn running_totals(state: &BudgetState, peer: &PeerRow) -> BudgetSync {
    let given = peer.instance.and_then(|instance| {
        state.own.loans.iter().find(|loan| loan.instance == instance).map(|loan| loan.given)
    });
    let held = state.borrowings.iter().find(|held| is_lent_by(held, peer));
    BudgetSync {
        budget: state.budget.clone(),
        need: 0,
        want: 0,
        recall: 0,
        given: given.unwrap_or(0),
        root: held.map_or(peer.epoch.unwrap_or(EpochId(0)), |held| held.root),
        received: held.map_or(0, |held| held.received),
        spent: held.map_or(0, |held| held.charged),
        unknown: held.map_or(0, |held| held.unknown_charge),
        returned: held.map_or(0, |held| held.returned),
    }
}
