//! Reclaim: closing an epoch and settling its grants at what witnesses saw.
//!
//! The order carries the safety, not any clock: first the record is marked as
//! closing, so that no further witness can be added to it; then every witness
//! it names refuses the epoch and reports its totals; only then is money
//! released. A holder that was wrongly taken for dead loses nothing but its
//! epoch. Totals only grow and what still runs only shrinks, so that several
//! entries may settle the same epoch in any order.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::*;
use crate::budget::budget_state::BudgetState;
use crate::budget::epoch_record::{EpochRecord, EpochState};
use crate::budget::ledger::{Account, Grant, Shard};
use crate::kv_store::{Outcome, Versioned};
use crate::wire::{ReceiptTotal, WitnessReply, WitnessRequest};

/// Time that requests on their way have before their epoch is closed, in milliseconds.
const GRACE_MS: u64 = 500;

/// Time between two questions to a witness, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 500;

/// The same for a witness that did not answer often, in milliseconds.
const SLOW_QUERY_INTERVAL_MS: u64 = 3_000;

/// Questions without an answer after which a witness is asked less often.
const MAX_FAST_QUERIES: u32 = 10;

/// Silence of a holder that left the host list before its epoch is closed.
const UNLISTED_SILENCE_MS: u64 = 2_000;

/// Silence of a listed holder before its epoch is closed for want of its money.
const NEEDED_SILENCE_MS: u64 = 4_000;

/// Silence of a listed holder before its epoch is closed in any case.
const SILENCE_MS: u64 = 60_000;

/// Time within which a need for an epoch's money counts, in milliseconds.
const NEED_MS: u64 = 2_000;

/// Time between two probes of a holder, in milliseconds.
const PROBE_MS: u64 = 500;

/// Epoch of another entry that holds grants.
pub(super) struct ForeignEpoch {
    epoch: EpochId,
    /// Host of the holder, once its record was read.
    host: Option<String>,
    reading: bool,
    read_at: Option<Millis>,
    /// Digests of its grants by shard; a change is a sign of life.
    digests: Vec<(u32, u64)>,
    changed_at: Millis,
    needed_at: Option<Millis>,
    probed_at: Option<Millis>,
}

/// Witness of a closing epoch.
struct WitnessRow {
    name: String,
    address: std::net::SocketAddr,
    incarnation: u64,
    /// Newest totals; `None` until it has refused the epoch.
    totals: Option<Vec<ReceiptTotal>>,
    queried_at: Option<Millis>,
    unanswered_queries: u32,
}

impl WitnessRow {
    fn is_final(&self) -> bool {
        let totals = self.totals.as_ref();
        totals.is_some_and(|totals| totals.iter().all(|total| total.reserved == 0))
    }
}

/// Epoch being closed.
pub(super) struct Closing {
    pub(super) slot: EpochSlot,
    since: Millis,
    /// Whether the epoch was this entry's own.
    own: bool,
    witnesses: Option<Vec<WitnessRow>>,
    /// Shards where its grants may still be open.
    shards: Vec<u32>,
    /// Whether a witness has lost its receipts.
    abandoned: bool,
    marked_due_at: Option<Millis>,
}

impl Closing {
    /// Witnessed totals of a budget, once every witness has refused the epoch.
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

    fn is_witnessed(&self) -> bool {
        let witnesses = self.witnesses.as_ref();
        witnesses.is_some_and(|rows| rows.iter().all(|row| row.totals.is_some()))
    }

    fn is_final(&self) -> bool {
        let witnesses = self.witnesses.as_ref();
        witnesses.is_some_and(|rows| rows.iter().all(WitnessRow::is_final))
    }
}

impl BudgetSystem {
    /// Notes whose grants a shard holds, and whether they move.
    pub(super) fn observe_foreign_epochs(&mut self, shard: u32, ledger: &Shard, now: Millis) {
        let mut last_read = Vec::new();
        for account in &ledger.accounts {
            for grant in &account.grants {
                last_read.push((
                    grant.epoch,
                    digest(account, grant),
                    has_unmet_demand(&self.budget_states, account),
                ));
            }
        }
        last_read.sort_by_key(|row| row.0);
        for group in last_read.chunk_by(|left, right| left.0 == right.0) {
            let epoch = group[0].0;
            let unrecoverable = self.unrecoverable.contains(&epoch);
            if unrecoverable || self.is_own_epoch(epoch) || self.closing_mut(epoch).is_some() {
                continue;
            }
            let row = self.foreign_epoch_mut(epoch, now);
            let digest = group.iter().fold(0, |sum: u64, row| sum.wrapping_add(row.1));
            if row.record_digest(shard, digest) {
                row.changed_at = now;
            }
            if group.iter().any(|row| row.2) {
                row.needed_at = Some(now);
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
        let Outcome::Done(Some(held)) = outcome else { return };
        row.host = EpochRecord::decode(&held.value).map(|record| record.host);
    }

    /// Looks at the shards in turn; the fleet shares the reads.
    fn sweep(&mut self, now: Millis) {
        if now < self.sweep_at || self.stopping.is_some() {
            return;
        }
        self.sweep_at = now.plus(SWEEP_INTERVAL_MS * self.entries());
        self.sweep_shard = (self.sweep_shard + 1) % self.params.shards.max(1);
        self.slots[self.sweep_shard as usize].mark_due();
    }

    /// Closes epochs whose holders seem to be gone; the guess may be wrong.
    fn tick_foreign_epochs(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let mut lost = Vec::new();
        for row in &mut self.foreign_epochs {
            let Some(host) = &row.host else {
                row.read_record(now, effects);
                continue;
            };
            let peer = self.peers.iter_mut().find(|peer| peer.name == *host);
            if row.is_orphaned(peer, now) {
                lost.push(row.epoch);
            }
        }
        for epoch in lost {
            self.foreign_epochs.retain(|row| row.epoch != epoch);
            self.close_foreign_epoch(epoch, now);
        }
    }

    fn close_foreign_epoch(&mut self, epoch: EpochId, now: Millis) {
        log::info!("decision=close epoch={epoch} reason=holder-lost");
        let shards = (0..self.params.shards.max(1)).collect();
        self.add_closing(epoch, false, shards, now);
    }

    /// Closes a former epoch of this entry by its witnesses.
    pub(super) fn close_own_epoch(&mut self, epoch: EpochId, now: Millis) {
        let mut shards: Vec<u32> = Vec::new();
        for state in &self.budget_states {
            if state.retired.iter().any(|grant| grant.epoch == epoch) {
                shards.push(state.shard);
            }
        }
        shards.sort_unstable();
        shards.dedup();
        self.add_closing(epoch, true, shards, now);
    }

    fn add_closing(&mut self, epoch: EpochId, own: bool, shards: Vec<u32>, now: Millis) {
        self.add_closed_root(epoch);
        if self.closing_mut(epoch).is_some() {
            return;
        }
        let slot = EpochSlot::unread(epoch, now);
        self.closings.push(Closing {
            slot,
            since: now,
            own,
            witnesses: None,
            shards,
            abandoned: false,
            marked_due_at: None,
        });
    }

    pub(super) fn closing_mut(&mut self, epoch: EpochId) -> Option<&mut Closing> {
        self.closings.iter_mut().find(|closing| closing.slot.epoch == epoch)
    }

    pub(super) fn tick_closings(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        self.tick_foreign_epochs(now, effects);
        self.sweep(now);
        let mut due = Vec::new();
        let unrecoverable = &mut self.unrecoverable;
        self.closings.retain_mut(|closing| {
            closing.advance(now, effects);
            if closing.is_witnessed() && closing.is_due(now) {
                due.extend_from_slice(&closing.shards);
            }
            if closing.is_unrecoverable() {
                unrecoverable.push(closing.slot.epoch);
            }
            !closing.is_finished()
        });
        due.into_iter().for_each(|shard| self.slots[shard as usize].mark_due());
    }

    pub(super) fn witness_closed(
        &mut self,
        epoch: EpochId,
        name: &str,
        answer: Option<WitnessReply>,
        now: Millis,
    ) {
        let Some(closing) = self.closing_mut(epoch) else { return };
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
            now.since(closing.since)
        );
        closing.abandon();
    }

    /// Settles the grants of witnessed epochs; tells whether the shard changed.
    pub(super) fn apply_closings(&mut self, shard: u32, ledger: &mut Shard) -> bool {
        let mut changed = false;
        for closing in &mut self.closings {
            if !closing.is_witnessed() || !closing.shards.contains(&shard) {
                continue;
            }
            let mut open = false;
            for account in &mut ledger.accounts {
                let Some(held) = account.grant(closing.slot.epoch).copied() else { continue };
                let Some(total) = closing.total(&account.budget) else { continue };
                changed |= settle_witnessed(account, held, total);
                open = true;
            }
            // A shard is done with only once it was read without any grant of the epoch.
            if !open {
                closing.shards.retain(|held| *held != shard);
            }
        }
        changed
    }
}

impl Closing {
    fn advance(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        if self.own && now.since(self.since) < GRACE_MS {
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
            EpochState::Closing if self.abandoned => {
                let record = EpochRecord { state: EpochState::Unwitnessed, ..record };
                self.slot.write(record, now, effects);
            }
            EpochState::Closing if self.shards.is_empty() && self.is_final() => {
                let record = EpochRecord { state: EpochState::Closed, ..record };
                self.slot.write(record, now, effects);
            }
            EpochState::Closing => self.query_witnesses(&record, now, effects),
            // A holder that woke late may have drawn under the closed epoch again.
            EpochState::Closed if !self.shards.is_empty() => {
                self.query_witnesses(&record, now, effects);
            }
            EpochState::Closed | EpochState::Unwitnessed => {}
        }
    }

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

    /// Whether its shards are to be looked at; remembers that they are.
    fn is_due(&mut self, now: Millis) -> bool {
        if self.marked_due_at.is_some_and(|at| now.since(at) < QUERY_INTERVAL_MS) {
            return false;
        }
        self.marked_due_at = Some(now);
        true
    }

    /// Forgets what witnesses said, because one of them has lost its receipts.
    fn abandon(&mut self) {
        self.witnesses = None;
        self.shards.clear();
        self.abandoned = true;
    }

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

    /// Whether it is over and what is open stays counted as spent.
    fn is_unrecoverable(&self) -> bool {
        let state = self.slot.record().map(|record| record.state);
        self.is_finished() && (self.abandoned || state != Some(EpochState::Closed))
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
            needed_at: None,
            probed_at: None,
        }
    }

    fn record_digest(&mut self, shard: u32, digest: u64) -> bool {
        match self.digests.binary_search_by_key(&shard, |row| row.0) {
            Ok(at) => std::mem::replace(&mut self.digests[at].1, digest) != digest,
            Err(at) => {
                self.digests.insert(at, (shard, digest));
                true
            }
        }
    }

    fn read_record(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let asked = self.read_at.is_some_and(|at| now.since(at) < SILENCE_MS / 20);
        if self.reading || asked {
            return;
        }
        self.reading = true;
        self.read_at = Some(now);
        effects.push(BudgetEffect::Read { key: StoreKey::Epoch(self.epoch) });
    }

    /// Whether the holder has left the epoch or seems to be gone; probes it otherwise.
    fn is_orphaned(&mut self, peer: Option<&mut PeerRow>, now: Millis) -> bool {
        let unchanged = now.since(self.changed_at);
        let Some(peer) = peer else { return unchanged >= UNLISTED_SILENCE_MS };
        if peer.epoch.is_some_and(|epoch| epoch != self.epoch)
            && peer.answered_at >= self.changed_at
        {
            return unchanged >= UNLISTED_SILENCE_MS;
        }
        if self.probed_at.is_none_or(|at| now.since(at) >= PROBE_MS) {
            self.probed_at = Some(now);
            peer.probe = now.since(peer.answered_at) >= PROBE_MS * 2;
        }
        let silent = unchanged.min(now.since(peer.answered_at));
        let needed = self.needed_at.is_some_and(|at| now.since(at) < NEED_MS);
        let limit = match (peer.listed, needed) {
            (false, _) => UNLISTED_SILENCE_MS,
            (true, true) => NEEDED_SILENCE_MS,
            (true, false) => SILENCE_MS,
        };
        silent >= limit
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

/// Settles a grant at what was witnessed and keeps open what still runs.
fn settle_witnessed(account: &mut Account, held: Grant, (charged, reserved): (u64, u64)) -> bool {
    let settled = held.settled.max(charged).min(held.granted);
    let granted = held.granted.min(settled + reserved);
    let next = Grant { epoch: held.epoch, granted, settled };
    if granted > settled {
        return next != held && account.set_grant(next);
    }
    account.set_grant(next);
    account.close_grant(held.epoch);
    log::info!(
        "decision=reclaim budget={} epoch={} settled={settled} released={}",
        account.budget,
        held.epoch,
        held.granted - settled
    );
    true
}

fn digest(account: &Account, grant: &Grant) -> u64 {
    let mut hasher = DefaultHasher::new();
    account.budget.hash(&mut hasher);
    grant.granted.hash(&mut hasher);
    grant.settled.hash(&mut hasher);
    hasher.finish()
}

/// Whether requests wait here for more money than the account has free.
fn has_unmet_demand(budget_states: &[BudgetState], account: &Account) -> bool {
    let Ok(at) = budget_states.binary_search_by(|state| state.budget.cmp(&account.budget)) else {
        return false;
    };
    budget_states[at].shortfall() > account.free()
}
