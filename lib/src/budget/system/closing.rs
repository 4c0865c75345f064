//! Closes epochs and reclaims their grants, settled at the totals that witnesses report.
//!
//! Safety depends on the order of the steps and not on clocks: first the record is marked as
//! closing, so that no further witness can be added to it; then every witness that it names refuses
//! the epoch and reports its totals; only then are tokens released. A holder that was wrongly
//! suspected loses nothing but its epoch. Charged totals only grow and reserved totals only shrink,
//! so that several entries may settle the same epoch in any order.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::*;
use crate::budget::budget_state::BudgetState;
use crate::budget::epoch_record::{EpochRecord, EpochState};
use crate::budget::ledger::{Account, Grant, Shard};
use crate::kv_store::{Outcome, Versioned};
use crate::wire::{ReceiptTotal, WitnessReply, WitnessRequest};

/// Time that requests already sent to sidecars have before an own epoch is closed, in milliseconds.
const CLOSE_GRACE_MS: u64 = 500;

/// Time between two queries to a witness, and between two settlements of an epoch, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 500;

/// Time between two queries to a witness that left many unanswered, in milliseconds.
const SLOW_QUERY_INTERVAL_MS: u64 = 3_000;

/// Unanswered queries after which a witness is queried at the slow interval.
const MAX_FAST_QUERIES: u32 = 10;

/// Time without a sign of life after which the epoch of a holder that left the host list is closed,
/// in milliseconds.
const UNLISTED_SILENCE_MS: u64 = 2_000;

/// Time without a sign of life after which the epoch of a listed holder is closed while requests
/// wait for its tokens, in milliseconds.
const DEMANDED_SILENCE_MS: u64 = 4_000;

/// Time without a sign of life after which the epoch of a listed holder is closed in any case, in
/// milliseconds.
const SILENCE_MS: u64 = 60_000;

/// Time for which an observed demand for an epoch's tokens counts, in milliseconds.
const DEMAND_VALID_MS: u64 = 2_000;

/// Time between two probes of a holder, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 500;

/// Epoch of another entry that holds grants in the ledger.
pub(super) struct ForeignEpoch {
    epoch: EpochId,
    /// Host of the holder, once the epoch's record was read.
    host: Option<String>,
    /// Whether a read of the record is in flight.
    reading: bool,
    /// When the last read of the record started.
    read_at: Option<Millis>,
    /// Digests of its grants by shard; a changed digest shows that the holder is alive.
    digests: Vec<(u32, u64)>,
    /// When a digest last changed.
    changed_at: Millis,
    /// When requests here last waited for more tokens than an account had free.
    demanded_at: Option<Millis>,
    /// When a probe of the holder was last considered.
    probed_at: Option<Millis>,
}

/// Witness of a closing epoch.
struct WitnessRow {
    name: String,
    address: std::net::SocketAddr,
    incarnation: u64,
    /// Latest totals; `None` until the witness has refused the epoch.
    totals: Option<Vec<ReceiptTotal>>,
    queried_at: Option<Millis>,
    /// Queries since the last answer.
    unanswered_queries: u32,
}

impl WitnessRow {
    /// Returns whether the witness has refused the epoch and runs no more requests under it.
    fn is_final(&self) -> bool {
        let totals = self.totals.as_ref();
        totals.is_some_and(|totals| totals.iter().all(|total| total.reserved == 0))
    }
}

/// Epoch being closed.
pub(super) struct ClosingEpoch {
    pub(super) slot: EpochSlot,
    started_at: Millis,
    /// Whether the epoch was this entry's own.
    own: bool,
    /// Witnesses that the record names, once the record is marked as closing.
    witnesses: Option<Vec<WitnessRow>>,
    /// Shards in which its grants may still be open.
    shards: Vec<u32>,
    /// Whether a witness has lost its receipts.
    receipts_lost: bool,
    /// When its shards were last scheduled for a settlement.
    settled_at: Option<Millis>,
}

impl ClosingEpoch {
    /// Returns the sums of a budget's charged and reserved tokens over all witnesses.
    ///
    /// They are `None` until every witness has refused the epoch.
    fn total(&self, budget: &BudgetId) -> Option<(u64, u64)> {
        let witnesses = self.witnesses.as_ref()?;
        let mut sum = (0, 0);
        for witness in witnesses {
            let totals = witness.totals.as_ref()?;
            if let Ok(at) = totals.binary_search_by(|total| total.budget.cmp(budget)) {
                sum.0 += totals[at].charged;
                sum.1 += totals[at].reserved;
            }
        }
        Some(sum)
    }

    /// Returns whether every witness has refused the epoch and reported its totals.
    fn is_witnessed(&self) -> bool {
        let witnesses = self.witnesses.as_ref();
        witnesses.is_some_and(|rows| rows.iter().all(|row| row.totals.is_some()))
    }

    /// Returns whether no witness runs any more requests under the epoch.
    fn is_final(&self) -> bool {
        let witnesses = self.witnesses.as_ref();
        witnesses.is_some_and(|rows| rows.iter().all(WitnessRow::is_final))
    }
}

impl BudgetSystem {
    /// Records which other epochs hold grants in a shard, whether the grants changed, and whether
    /// requests here wait for their tokens.
    pub(super) fn observe_foreign_epochs(&mut self, shard: u32, ledger: &Shard, now: Millis) {
        let mut observed = Vec::new();
        for account in &ledger.accounts {
            for grant in &account.grants {
                observed.push((
                    grant.epoch,
                    digest(account, grant),
                    has_unmet_demand(&self.budget_states, account),
                ));
            }
        }
        observed.sort_by_key(|row| row.0);
        for group in observed.chunk_by(|left, right| left.0 == right.0) {
            let epoch = group[0].0;
            let unrecoverable = self.unrecoverable.contains(&epoch);
            if unrecoverable || self.is_own_epoch(epoch) || self.closing_epoch_mut(epoch).is_some()
            {
                continue;
            }
            let row = self.foreign_epoch_mut(epoch, now);
            let digest = group.iter().fold(0, |sum: u64, row| sum.wrapping_add(row.1));
            if row.record_digest(shard, digest) {
                row.changed_at = now;
            }
            if group.iter().any(|row| row.2) {
                row.demanded_at = Some(now);
            }
        }
    }

    fn is_own_epoch(&self, epoch: EpochId) -> bool {
        epoch == self.epoch || epoch == self.current.epoch
    }

    fn foreign_epoch_mut(&mut self, epoch: EpochId, now: Millis) -> &mut ForeignEpoch {
        let at = match self.foreign_epochs.binary_search_by_key(&epoch, |row| row.epoch) {
            Ok(at) => at,
            Err(at) => {
                self.foreign_epochs.insert(at, ForeignEpoch::new(epoch, now));
                at
            }
        };
        &mut self.foreign_epochs[at]
    }

    /// Records the host of another entry's epoch from its record.
    pub(super) fn foreign_epoch_read(
        &mut self,
        epoch: EpochId,
        outcome: Outcome<Option<Versioned>>,
    ) {
        let Ok(at) = self.foreign_epochs.binary_search_by_key(&epoch, |row| row.epoch) else {
            return;
        };
        let row = &mut self.foreign_epochs[at];
        row.reading = false;
        let Outcome::Done(Some(recorded)) = outcome else { return };
        row.host = EpochRecord::decode(&recorded.value).map(|record| record.host);
    }

    /// Schedules a read of the next shard in turn, at an interval shared by the whole fleet.
    fn sweep(&mut self, now: Millis) {
        if now < self.sweep_at || self.stopping.is_some() {
            return;
        }
        self.sweep_at = now.plus(SWEEP_INTERVAL_MS * self.entry_count());
        self.sweep_shard = (self.sweep_shard + 1) % self.params.shards.max(1);
        self.slots[self.sweep_shard as usize].mark_due();
    }

    /// Closes the epochs of holders that seem to be gone; a wrong guess costs the holder its epoch.
    fn tick_foreign_epochs(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let mut orphaned = Vec::new();
        for row in &mut self.foreign_epochs {
            let Some(host) = &row.host else {
                row.read_record(now, effects);
                continue;
            };
            let peer = self.peers.iter_mut().find(|peer| peer.name == *host);
            if row.is_orphaned(peer, now) {
                orphaned.push(row.epoch);
            }
        }
        for epoch in orphaned {
            self.foreign_epochs.retain(|row| row.epoch != epoch);
            self.close_foreign_epoch(epoch, now);
        }
    }

    fn close_foreign_epoch(&mut self, epoch: EpochId, now: Millis) {
        log::info!("decision=close epoch={epoch} reason=holder-lost");
        let shards = (0..self.params.shards.max(1)).collect();
        self.add_closing_epoch(epoch, false, shards, now);
    }

    /// Starts to close a former epoch of this entry, in the shards that hold its grants.
    pub(super) fn close_own_epoch(&mut self, epoch: EpochId, now: Millis) {
        let mut shards: Vec<u32> = Vec::new();
        for state in &self.budget_states {
            if state.retired.iter().any(|grant| grant.epoch == epoch) {
                shards.push(state.shard);
            }
        }
        shards.sort_unstable();
        shards.dedup();
        self.add_closing_epoch(epoch, true, shards, now);
    }

    /// Starts to close an epoch, unless it is already being closed.
    fn add_closing_epoch(&mut self, epoch: EpochId, own: bool, shards: Vec<u32>, now: Millis) {
        self.add_closed_root(epoch);
        if self.closing_epoch_mut(epoch).is_some() {
            return;
        }
        let slot = EpochSlot::unread(epoch, now);
        self.closing_epochs.push(ClosingEpoch {
            slot,
            started_at: now,
            own,
            witnesses: None,
            shards,
            receipts_lost: false,
            settled_at: None,
        });
    }

    pub(super) fn closing_epoch_mut(&mut self, epoch: EpochId) -> Option<&mut ClosingEpoch> {
        self.closing_epochs.iter_mut().find(|closing| closing.slot.epoch == epoch)
    }

    /// Advances every closing epoch and schedules its shards for settlement.
    pub(super) fn tick_closing_epochs(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        self.tick_foreign_epochs(now, effects);
        self.sweep(now);
        let mut due = Vec::new();
        let unrecoverable = &mut self.unrecoverable;
        self.closing_epochs.retain_mut(|closing| {
            closing.advance(now, effects);
            if closing.is_witnessed() && closing.is_settlement_due(now) {
                due.extend_from_slice(&closing.shards);
            }
            if closing.is_unrecoverable() {
                unrecoverable.push(closing.slot.epoch);
            }
            !closing.is_finished()
        });
        due.into_iter().for_each(|shard| self.slots[shard as usize].mark_due());
    }

    /// Records the totals of a witness, or abandons the epoch if the witness has restarted since it
    /// was recorded and thereby lost its receipts.
    pub(super) fn apply_close_answer(
        &mut self,
        epoch: EpochId,
        name: &str,
        answer: Option<WitnessReply>,
        now: Millis,
    ) {
        let Some(closing) = self.closing_epoch_mut(epoch) else { return };
        let Some(rows) = &mut closing.witnesses else { return };
        let Some(row) = rows.iter_mut().find(|row| row.name == name) else { return };
        let Some(answer) = answer else { return };
        row.unanswered_queries = 0;
        if answer.incarnation == row.incarnation {
            row.totals = Some(answer.totals);
            return;
        }
        log::warn!(
            "decision=abandon epoch={epoch} reason=receipts-lost witness={name} after_ms={}",
            now.since(closing.started_at)
        );
        closing.abandon();
    }

    /// Settles the grants of witnessed epochs in a shard; returns whether the shard changed.
    pub(super) fn settle_closing_epochs(&mut self, shard: u32, ledger: &mut Shard) -> bool {
        let mut changed = false;
        for closing in &mut self.closing_epochs {
            if !closing.is_witnessed() || !closing.shards.contains(&shard) {
                continue;
            }
            let mut open = false;
            for account in &mut ledger.accounts {
                let Some(recorded) = account.grant(closing.slot.epoch).copied() else { continue };
                let Some(total) = closing.total(&account.budget) else { continue };
                changed |= settle_witnessed(account, recorded, total);
                open = true;
            }
            // A shard is complete only once it was read without any grant of the epoch.
            if !open {
                closing.shards.retain(|recorded| *recorded != shard);
            }
        }
        changed
    }
}

impl ClosingEpoch {
    /// Takes the next step of closing the epoch, as far as the record's state allows.
    fn advance(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        if self.own && now.since(self.started_at) < CLOSE_GRACE_MS {
            return;
        }
        self.slot.read_if_stale(now, effects);
        if !self.slot.is_idle() {
            return;
        }
        let Some(record) = self.slot.record().cloned() else { return };
        match record.state {
            EpochState::Open => {
                let record = EpochRecord { state: EpochState::Closing, ..record };
                self.slot.write(record, now, effects);
            }
            EpochState::Closing if self.receipts_lost => {
                let record = EpochRecord { state: EpochState::Unwitnessed, ..record };
                self.slot.write(record, now, effects);
            }
            EpochState::Closing if self.shards.is_empty() && self.is_final() => {
                let record = EpochRecord { state: EpochState::Closed, ..record };
                self.slot.write(record, now, effects);
            }
            EpochState::Closing => self.query_witnesses(&record, now, effects),
            // A holder that was paused may have obtained another grant under the closed epoch.
            EpochState::Closed if !self.shards.is_empty() => {
                self.query_witnesses(&record, now, effects);
            }
            EpochState::Closed | EpochState::Unwitnessed => {}
        }
    }

    /// Queries the witnesses whose totals are not final yet.
    fn query_witnesses(
        &mut self,
        record: &EpochRecord,
        now: Millis,
        effects: &mut Vec<BudgetEffect>,
    ) {
        let epoch = self.slot.epoch;
        let rows = self.witnesses.get_or_insert_with(|| witness_rows(record));
        for row in rows.iter_mut().filter(|row| !row.is_final()) {
            let interval = if row.unanswered_queries < MAX_FAST_QUERIES {
                QUERY_INTERVAL_MS
            } else {
                SLOW_QUERY_INTERVAL_MS
            };
            if row.queried_at.is_some_and(|at| now.since(at) < interval) {
                continue;
            }
            row.queried_at = Some(now);
            row.unanswered_queries += 1;
            effects.push(BudgetEffect::QueryWitness {
                name: row.name.clone(),
                address: row.address,
                req: WitnessRequest::Close { epoch },
            });
        }
    }

    /// Returns whether its shards are due for settlement, and records the time if they are.
    fn is_settlement_due(&mut self, now: Millis) -> bool {
        if self.settled_at.is_some_and(|at| now.since(at) < QUERY_INTERVAL_MS) {
            return false;
        }
        self.settled_at = Some(now);
        true
    }

    /// Drops the reported totals, because a witness has lost its receipts.
    fn abandon(&mut self) {
        self.witnesses = None;
        self.shards.clear();
        self.receipts_lost = true;
    }

    /// Returns whether nothing is left to do for the epoch.
    fn is_finished(&self) -> bool {
        if !self.slot.is_idle() {
            return false;
        }
        let state = self.slot.record().map(|record| record.state);
        match state {
            Some(EpochState::Open | EpochState::Closing) => false,
            Some(EpochState::Closed) => self.shards.is_empty(),
            Some(EpochState::Unwitnessed) | None => true,
        }
    }

    /// Returns whether closing has ended without a settlement, so that open tokens stay counted as
    /// spent.
    fn is_unrecoverable(&self) -> bool {
        let state = self.slot.record().map(|record| record.state);
        self.is_finished() && (self.receipts_lost || state != Some(EpochState::Closed))
    }
}

impl ForeignEpoch {
    fn new(epoch: EpochId, now: Millis) -> ForeignEpoch {
        ForeignEpoch {
            epoch,
            host: None,
            reading: false,
            read_at: None,
            digests: Vec::new(),
            changed_at: now,
            demanded_at: None,
            probed_at: None,
        }
    }

    /// Records the digest of the epoch's grants in a shard; returns whether it changed.
    fn record_digest(&mut self, shard: u32, digest: u64) -> bool {
        match self.digests.binary_search_by_key(&shard, |row| row.0) {
            Ok(at) => std::mem::replace(&mut self.digests[at].1, digest) != digest,
            Err(at) => {
                self.digests.insert(at, (shard, digest));
                true
            }
        }
    }

    /// Starts a read of the epoch's record, unless one is in flight or was started recently.
    fn read_record(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let read_recently = self.read_at.is_some_and(|at| now.since(at) < SILENCE_MS / 20);
        if self.reading || read_recently {
            return;
        }
        self.reading = true;
        self.read_at = Some(now);
        effects.push(BudgetEffect::Read { key: StoreKey::Epoch(self.epoch) });
    }

    /// Returns whether the holder has left the epoch or seems to be gone; schedules a probe of a
    /// holder that has not answered for two probe intervals.
    fn is_orphaned(&mut self, peer: Option<&mut PeerRow>, now: Millis) -> bool {
        let unchanged = now.since(self.changed_at);
        let Some(peer) = peer else { return unchanged >= UNLISTED_SILENCE_MS };
        if peer.epoch.is_some_and(|epoch| epoch != self.epoch)
            && peer.answered_at >= self.changed_at
        {
            return unchanged >= UNLISTED_SILENCE_MS;
        }
        if self.probed_at.is_none_or(|at| now.since(at) >= PROBE_INTERVAL_MS) {
            self.probed_at = Some(now);
            peer.probe_due |= now.since(peer.answered_at) >= PROBE_INTERVAL_MS * 2;
        }
        let silence_ms = unchanged.min(now.since(peer.answered_at));
        let is_demanded = self.demanded_at.is_some_and(|at| now.since(at) < DEMAND_VALID_MS);
        let limit = match (peer.listed, is_demanded) {
            (false, _) => UNLISTED_SILENCE_MS,
            (true, true) => DEMANDED_SILENCE_MS,
            (true, false) => SILENCE_MS,
        };
        silence_ms >= limit
    }
}

fn witness_rows(record: &EpochRecord) -> Vec<WitnessRow> {
    let row = |witness: &crate::budget::epoch_record::Witness| WitnessRow {
        name: witness.name.clone(),
        address: witness.address,
        incarnation: witness.incarnation,
        totals: None,
        queried_at: None,
        unanswered_queries: 0,
    };
    record.witnesses.iter().map(row).collect()
}

/// Settles a grant at the witnessed charge and keeps the reserved tokens granted.
///
/// Returns whether the account changed.
fn settle_witnessed(
    account: &mut Account,
    recorded: Grant,
    (charged, reserved): (u64, u64),
) -> bool {
    let settled = recorded.settled.max(charged).min(recorded.granted);
    let granted = recorded.granted.min(settled + reserved);
    let next = Grant { epoch: recorded.epoch, granted, settled };
    if granted > settled {
        return next != recorded && account.set_grant(next);
    }
    account.set_grant(next);
    account.close_grant(recorded.epoch);
    log::info!(
        "decision=reclaim budget={} epoch={} settled={settled} released={}",
        account.budget,
        recorded.epoch,
        recorded.granted - settled
    );
    true
}

/// Returns a digest of the totals of one grant.
fn digest(account: &Account, grant: &Grant) -> u64 {
    let mut hasher = DefaultHasher::new();
    account.budget.hash(&mut hasher);
    grant.granted.hash(&mut hasher);
    grant.settled.hash(&mut hasher);
    hasher.finish()
}

/// Returns whether requests at this entry wait for more tokens than the account has free.
fn has_unmet_demand(budget_states: &[BudgetState], account: &Account) -> bool {
    let Ok(at) = budget_states.binary_search_by(|state| state.budget.cmp(&account.budget)) else {
        return false;
    };
    budget_states[at].shortfall() > account.free()
}
