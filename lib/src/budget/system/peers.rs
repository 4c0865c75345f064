//! Lends tokens between entries without a write to the store.
//!
//! Both sides exchange running totals of the tokens given, spent and returned, so that the next
//! message makes up for a lost, repeated or late one. A lender counts tokens as lent before it
//! notifies the borrower; a borrower counts tokens as returned before it notifies the lender.
//! Totals are bound to both processes and to the lender's epoch.

use std::net::SocketAddr;

use super::*;
use crate::budget::budget_state::Borrowing;
use crate::host_list::{Host, HostState, Role};
use crate::wire::{BudgetSync, PeerSync};

/// Time between two reports to a lender, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 500;

/// Time between two requests for tokens to the same peer, in milliseconds.
const BORROW_INTERVAL_MS: u64 = 40;

/// Time without requests after which unused borrowed tokens are returned, in milliseconds.
const BORROWING_IDLE_MS: u64 = 4_000;

/// Time without a message after which a borrower counts as lost, in milliseconds.
const BORROWER_TIMEOUT_MS: u64 = 15_000;

/// Time without a message after which a borrower is probed, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 3_000;

/// Most budgets in one message.
const MAX_BUDGETS_PER_SYNC: usize = 256;

/// Most peers chosen as lenders of one budget in one tick.
const MAX_LENDERS_PER_TICK: usize = 2;

/// Tokens that a borrower asks for beyond its need, in requests of the size of the latest.
const EXTRA_REQUESTS: u64 = 4;

/// Another entry and the state of the message exchange with it.
pub(super) struct PeerRow {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    /// Whether the host list shows it as live.
    pub(super) listed: bool,
    /// 0 in this entry's data centre and region, plus one for each of the two that differs.
    distance: u8,
    /// Process that sent the latest message, identified by the epoch it started with.
    pub(super) instance: Option<EpochId>,
    /// Current epoch of that process.
    pub(super) epoch: Option<EpochId>,
    /// When the latest message arrived, or when the peer was first listed.
    pub(super) answered_at: Millis,
    /// Whether a message to the peer is unanswered.
    in_flight: bool,
    /// When the latest message was sent to the peer.
    sent_at: Option<Millis>,
    /// Whether a message is to be sent although there are no updates.
    pub(super) probe_due: bool,
    /// Budgets with a shortfall for which the next message requests tokens.
    borrow_for: Vec<BudgetId>,
}

impl BudgetSystem {
    /// Updates the table of peers from the platform's host list.
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

    /// Returns idle borrowings, requests tokens and sends pending updates, if the policy lends.
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

    /// Returns the unused tokens of idle budgets, and drops borrowings of closed epochs once no
    /// request runs on them.
    fn return_idle_borrowings(&mut self, now: Millis) {
        let closed = &self.closed_roots;
        for state in &mut self.budget_states {
            state.borrowings.retain(|borrowing| {
                borrowing.reserved > 0 || closed.binary_search(&borrowing.root).is_err()
            });
            if now.since(state.last_used_at) > BORROWING_IDLE_MS && state.waiters.is_empty() {
                state.borrowings.iter_mut().for_each(|borrowing| borrowing.return_tokens(u64::MAX));
            }
        }
    }

    /// Chooses the peers that are asked for tokens of budgets with a shortfall, nearest first.
    fn choose_lenders(&mut self, now: Millis) {
        let mut order: Vec<usize> = (0..self.peers.len()).collect();
        order.retain(|at| self.peers[*at].listed);
        order.sort_by_key(|at| (self.peers[*at].distance, *at));
        if order.is_empty() {
            return;
        }
        for state in &mut self.budget_states {
            if state.shortfall() == 0 || !may_borrow(state, &self.slots, now) {
                continue;
            }
            for _ in 0..MAX_LENDERS_PER_TICK.min(order.len()) {
                let peer = &mut self.peers[order[state.next_peer % order.len()]];
                state.next_peer = state.next_peer.wrapping_add(1);
                if !peer.in_flight && !peer.borrow_for.contains(&state.budget) {
                    peer.borrow_for.push(state.budget.clone());
                }
            }
        }
    }

    /// Schedules probes of silent borrowers that still hold tokens, to notice when one is lost.
    fn probe_borrowers(&mut self, now: Millis) {
        for peer in &mut self.peers {
            let is_silent = now.since(peer.answered_at) >= PROBE_INTERVAL_MS;
            let sent_recently = peer.sent_at.is_some_and(|at| now.since(at) < PROBE_INTERVAL_MS);
            if is_silent && !sent_recently {
                let loans = self.budget_states.iter().flat_map(|state| &state.own.loans);
                peer.probe_due |= loans
                    .filter(|loan| loan.is_open())
                    .any(|loan| peer.instance == Some(loan.instance));
            }
        }
    }

    /// Sends a peer its pending updates, unless a message is in flight or was sent recently.
    fn send_sync(&mut self, at: usize, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let peer = &self.peers[at];
        if peer.in_flight {
            return;
        }
        let waited = peer.sent_at.map_or(u64::MAX, |sent_at| now.since(sent_at));
        let interval =
            if peer.borrow_for.is_empty() { REPORT_INTERVAL_MS } else { BORROW_INTERVAL_MS };
        if waited < interval {
            return;
        }
        let budgets = self.pending_updates(at);
        let peer = &mut self.peers[at];
        if budgets.is_empty() && !peer.probe_due {
            return;
        }
        peer.borrow_for.clear();
        peer.probe_due = false;
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

    /// Returns the totals and requests to send to a peer, at most [`MAX_BUDGETS_PER_SYNC`].
    fn pending_updates(&mut self, at: usize) -> Vec<BudgetSync> {
        let stopping = self.stopping.is_some();
        let peer = &self.peers[at];
        let mut updates = Vec::new();
        for state in &mut self.budget_states {
            let borrows = peer.borrow_for.contains(&state.budget);
            let dirty = state
                .borrowings
                .iter()
                .any(|borrowing| borrowing.dirty && is_lent_by(borrowing, peer));
            let unacknowledged = state
                .own
                .loans
                .iter()
                .any(|loan| peer.instance == Some(loan.instance) && loan.given > loan.received);
            let recall = if stopping { state.own.lent_to(peer.instance) } else { 0 };
            if !borrows && !dirty && !unacknowledged && recall == 0 {
                continue;
            }
            let need = if borrows { state.shortfall() } else { 0 };
            let want = if need > 0 { state.last_request_tokens * EXTRA_REQUESTS } else { 0 };
            updates.push(BudgetSync { need, want, recall, ..running_totals(state, peer) });
            for borrowing in
                state.borrowings.iter_mut().filter(|borrowing| is_lent_by(borrowing, peer))
            {
                borrowing.dirty = false;
            }
            if updates.len() == MAX_BUDGETS_PER_SYNC {
                break;
            }
        }
        updates
    }

    /// Answers a peer's message: merges its totals, lends, and replies with the own totals.
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
            for update in &sync.budgets {
                self.return_recalled_tokens(sync.instance, update);
                if update.need > 0 {
                    self.lend(sync.instance, update);
                }
                let peer = &self.peers[at];
                if let Ok(state) =
                    self.budget_states.binary_search_by(|state| state.budget.cmp(&update.budget))
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

    /// Applies a peer's answer; if none arrived, schedules the totals to be sent again.
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
            borrowings
                .filter(|borrowing| is_lent_by(borrowing, peer))
                .for_each(|borrowing| borrowing.dirty = true);
        }
        if let Some(answer) = answer.filter(|answer| answer.from == name) {
            self.apply_peer_totals(&answer, now, effects);
        }
    }

    /// Merges a peer's totals, unless they are of a closed epoch or meant for a former process.
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
        self.drop_former_borrowings(sync.instance, sync.epoch);
        if sync.to != Some(self.params.epoch) {
            return;
        }
        for update in &sync.budgets {
            if update.root == self.epoch {
                self.apply_borrower_totals(sync.instance, update);
            }
            if update.given > 0 {
                let state = self.ensure_state(&update.budget, now);
                self.budget_states[state].apply_lender_total(
                    sync.epoch,
                    sync.instance,
                    update.given,
                );
            }
            if let Ok(state) = self.state_index(&update.budget) {
                self.serve_waiters(state, now, effects);
            }
        }
    }

    /// Merges the totals of a borrower that has acknowledged a loan.
    fn apply_borrower_totals(&mut self, instance: EpochId, update: &BudgetSync) {
        let Some(state) = self.state_mut(&update.budget) else { return };
        if update.received > 0 {
            state.own.apply_borrower_totals(instance, update);
        }
    }

    /// Drops borrowings under epochs that their lender no longer uses.
    fn drop_former_borrowings(&mut self, instance: EpochId, epoch: EpochId) {
        let mut former = Vec::new();
        for state in &mut self.budget_states {
            state.borrowings.retain(|borrowing| {
                let keep = borrowing.instance != instance || borrowing.root == epoch;
                if !keep {
                    former.push(borrowing.root);
                }
                keep
            });
        }
        former.into_iter().for_each(|root| self.add_closed_root(root));
    }

    /// Returns the unused tokens that a lender recalls.
    fn return_recalled_tokens(&mut self, lender: EpochId, update: &BudgetSync) {
        let Some(state) = self.state_mut(&update.budget).filter(|_| update.recall > 0) else {
            return;
        };
        let borrowings =
            state.borrowings.iter_mut().filter(|borrowing| borrowing.instance == lender);
        borrowings.for_each(|borrowing| borrowing.return_tokens(update.recall));
    }

    /// Lends what a peer needs, and part of what it wants, from the own grant.
    ///
    /// Borrowed tokens are not lent: up to the needed amount of each borrowing is returned to its
    /// lender instead.
    fn lend(&mut self, instance: EpochId, update: &BudgetSync) {
        if !self.registered || !self.policy.lends() || self.stopping.is_some() {
            return;
        }
        let Some(state) = self.state_mut(&update.budget) else { return };
        state.borrowings.iter_mut().for_each(|borrowing| borrowing.return_tokens(update.need));
        let available = state.own.available();
        if available == 0 || !state.waiters.is_empty() {
            return;
        }
        let need = update.need.min(available);
        let extra = update.want.min((available - need) / 2);
        let loan = state.own.loan(instance);
        loan.given += need + extra;
        log::info!(
            "decision=lend budget={} to={instance} tokens={} need={} left={}",
            update.budget,
            need + extra,
            update.need,
            available - need - extra
        );
    }

    /// Returns whether a borrower that still holds tokens has restarted or has sent nothing for
    /// [`BORROWER_TIMEOUT_MS`].
    pub(super) fn has_orphaned_loan(&self, now: Millis) -> bool {
        let is_unreachable = |instance: EpochId| {
            let peer = self.peers.iter().find(|peer| peer.instance == Some(instance));
            peer.is_none_or(|peer| now.since(peer.answered_at) > BORROWER_TIMEOUT_MS)
        };
        self.budget_states
            .iter()
            .flat_map(|state| &state.own.loans)
            .any(|loan| loan.is_open() && is_unreachable(loan.instance))
    }
}

impl PeerRow {
    /// Returns whether the peer is in this entry's data centre.
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
            probe_due: true,
            borrow_for: Vec::new(),
        }
    }
}

/// Returns whether the tokens were lent by the process that the peer now runs.
fn is_lent_by(borrowing: &Borrowing, peer: &PeerRow) -> bool {
    peer.instance == Some(borrowing.instance)
}

/// Returns whether tokens for waiting requests may be borrowed from peers.
///
/// They may be borrowed once the store was read since the oldest request began to wait, or if the
/// store is unreachable or slow.
fn may_borrow(state: &BudgetState, slots: &[ShardSlot], now: Millis) -> bool {
    let Some(oldest) = state.waiters.front() else { return false };
    let read_since = state.last_read.is_some_and(|last_read| last_read.read_at >= oldest.queued_at);
    read_since
        || slots[state.shard as usize].store_unreachable
        || now.since(oldest.queued_at) >= 2 * BORROW_INTERVAL_MS
}

/// Returns the running totals of a budget between this entry and a peer.
fn running_totals(state: &BudgetState, peer: &PeerRow) -> BudgetSync {
    let given = peer.instance.and_then(|instance| {
        state.own.loans.iter().find(|loan| loan.instance == instance).map(|loan| loan.given)
    });
    let borrowing = state.borrowings.iter().find(|borrowing| is_lent_by(borrowing, peer));
    BudgetSync {
        budget: state.budget.clone(),
        need: 0,
        want: 0,
        recall: 0,
        given: given.unwrap_or(0),
        root: borrowing.map_or(peer.epoch.unwrap_or(EpochId(0)), |borrowing| borrowing.root),
        received: borrowing.map_or(0, |borrowing| borrowing.received),
        spent: borrowing.map_or(0, |borrowing| borrowing.charged),
        unknown: borrowing.map_or(0, |borrowing| borrowing.unknown_charge),
        returned: borrowing.map_or(0, |borrowing| borrowing.returned),
    }
}
