//! Registers this entry's epoch, enrols its witnesses and rotates it to a new one.
//!
//! Requests are paid under an epoch at a sidecar only after the epoch's record names the sidecar's
//! incarnation, and grants are requested only after the record is confirmed.

use std::net::SocketAddr;

use super::*;
use crate::budget::epoch_record::{EpochRecord, EpochState, Witness};
use crate::host_list::{Host, HostState, Role};
use crate::id::digest128;
use crate::kv_store::{Outcome, Revision, Versioned};
use crate::wire::{Funding, WitnessReply, WitnessRequest};

/// Longest time that a new record waits for the incarnations of sidecars, in milliseconds.
const MAX_INCARNATION_WAIT_MS: u64 = 1_000;

/// Longest time that an epoch with a confirmed record waits for enrolments, in milliseconds.
const MAX_ENROLL_WAIT_MS: u64 = 500;

/// Time between two queries to an enrolled sidecar, to detect its restart, in milliseconds.
const SIDECAR_QUERY_INTERVAL_MS: u64 = 2_000;

/// Time between two queries to a sidecar whose incarnation or enrolment is missing, in
/// milliseconds.
const ENROLL_RETRY_DELAY_MS: u64 = 100;

/// Shortest time between two rotations that reclaim tokens of unknown charge or of lost borrowers, in
/// milliseconds.
const MIN_ROTATION_INTERVAL_MS: u64 = 3_000;

/// Time before the record is read again after a failed read or write, in milliseconds.
const STORE_RETRY_DELAY_MS: u64 = 200;

/// State of the access to a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing is in flight and the stored record is known.
    Idle,
    /// The stored record is unknown or may have changed.
    Stale,
    Reading,
    Writing,
}

/// State of this entry's access to the record of one epoch.
pub(super) struct EpochSlot {
    pub(super) epoch: EpochId,
    /// Record as the store last confirmed it, with its revision.
    pub(super) confirmed: Option<(Revision, EpochRecord)>,
    pub(super) created_at: Millis,
    phase: Phase,
    /// Record that the write in flight stores.
    writing: Option<EpochRecord>,
    /// Earliest time of the next access.
    not_before: Millis,
    /// When the record was first confirmed.
    confirmed_at: Option<Millis>,
}

impl EpochSlot {
    /// Creates the slot of a fresh epoch, which has no record yet.
    pub(super) fn new(epoch: EpochId, now: Millis) -> EpochSlot {
        EpochSlot {
            epoch,
            confirmed: None,
            created_at: now,
            phase: Phase::Idle,
            writing: None,
            not_before: now,
            confirmed_at: None,
        }
    }

    /// Creates the slot of an epoch whose record other entries may have written.
    pub(super) fn unread(epoch: EpochId, now: Millis) -> EpochSlot {
        EpochSlot { phase: Phase::Stale, ..EpochSlot::new(epoch, now) }
    }

    /// Returns the record as the store last confirmed it.
    pub(super) fn record(&self) -> Option<&EpochRecord> {
        self.confirmed.as_ref().map(|(_, record)| record)
    }

    /// Returns whether nothing is in flight and the stored record is known.
    pub(super) fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Starts a write of the record, unless an access is in flight or has to wait.
    pub(super) fn write(
        &mut self,
        record: EpochRecord,
        now: Millis,
        effects: &mut Vec<BudgetEffect>,
    ) {
        if self.phase != Phase::Idle || now < self.not_before {
            return;
        }
        let expected = self.confirmed.as_ref().map_or(Revision::ABSENT, |(revision, _)| *revision);
        let value = record.encode();
        self.phase = Phase::Writing;
        self.writing = Some(record);
        effects.push(BudgetEffect::Write { key: StoreKey::Epoch(self.epoch), expected, value });
    }

    /// Starts a read of a stale record, unless it has to wait.
    pub(super) fn read_if_stale(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        if self.phase == Phase::Stale && now >= self.not_before {
            self.phase = Phase::Reading;
            effects.push(BudgetEffect::Read { key: StoreKey::Epoch(self.epoch) });
        }
    }

    /// Marks the record as stale, so that it is read again.
    pub(super) fn mark_stale(&mut self) {
        if self.phase == Phase::Idle {
            self.phase = Phase::Stale;
        }
    }

    fn read_done(&mut self, outcome: Outcome<Option<Versioned>>, now: Millis) {
        let Outcome::Done(stored) = outcome else {
            self.phase = Phase::Stale;
            self.not_before = now.plus(STORE_RETRY_DELAY_MS);
            return;
        };
        self.phase = Phase::Idle;
        self.confirmed = stored.and_then(|stored| {
            EpochRecord::decode(&stored.value).map(|record| (stored.revision, record))
        });
        self.record_confirmation(now);
    }

    fn write_done(&mut self, outcome: Outcome<Revision>, now: Millis) {
        let writing = self.writing.take();
        match (outcome, writing) {
            (Outcome::Done(revision), Some(record)) => {
                self.confirmed = Some((revision, record));
                self.phase = Phase::Idle;
                self.record_confirmation(now);
            }
            _ => {
                self.phase = Phase::Stale;
                self.not_before = now.plus(STORE_RETRY_DELAY_MS);
            }
        }
    }

    fn record_confirmation(&mut self, now: Millis) {
        if self.confirmed.is_some() && self.confirmed_at.is_none() {
            self.confirmed_at = Some(now);
        }
    }
}

/// Sidecar with the state of its enrolment as a witness.
pub(super) struct SidecarRow {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    /// Whether the host list shows it as live.
    listed: bool,
    /// Incarnation that the sidecar last reported.
    incarnation: Option<u64>,
    /// Epoch that the sidecar is known to admit.
    enrolled: Option<EpochId>,
    /// Epoch for which an enrolment was last sent.
    enroll_sent: Option<EpochId>,
    queried_at: Option<Millis>,
    /// Whether a query is unanswered.
    in_flight: bool,
}

impl BudgetSystem {
    /// Updates the tables of peers and sidecars from the platform's host list.
    pub(super) fn apply_hosts(&mut self, hosts: &[Host], now: Millis) {
        self.apply_entries(hosts, now);
        for row in &mut self.sidecars {
            row.listed = false;
        }
        for host in hosts.iter().filter(|host| host.role == Role::Sidecar) {
            let at = match self.sidecars.binary_search_by(|row| row.name.cmp(&host.name)) {
                Ok(at) => at,
                Err(at) => {
                    self.sidecars.insert(at, SidecarRow::new(host));
                    at
                }
            };
            self.sidecars[at].listed = host.state == HostState::Live;
            self.sidecars[at].address = host.address;
        }
    }

    /// Reads stale records, queries sidecars, and registers or rotates the epoch as needed.
    pub(super) fn tick_epochs(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        self.current.read_if_stale(now, effects);
        if let Some(next) = &mut self.next {
            next.read_if_stale(now, effects);
        }
        self.query_sidecars(now, effects);
        if self.stopping.is_some() {
            return;
        }
        if self.next.is_some() {
            self.advance_rotation(now, effects);
        } else if !self.registered {
            self.register(now, effects);
        } else {
            self.add_new_witnesses(now, effects);
            self.rotate_for_unknown_charges(now);
            self.rotate_for_restarted_sidecars(now);
        }
    }

    /// Registers the epoch of the process start.
    fn register(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        if self.current.record().is_some() && self.is_enrolled_or_timed_out(&self.current, now) {
            self.registered = true;
            log::info!("decision=register epoch={}", self.epoch);
            if self.policy.keeps_standby() {
                self.slots.iter_mut().for_each(ShardSlot::mark_due);
            }
            return;
        }
        if self.current.record().is_none() && self.has_incarnations(self.current.created_at, now) {
            let record = self.new_record();
            self.current.write(record, now, effects);
        }
    }

    /// Returns whether the incarnations of all listed sidecars are known, or the wait for them is
    /// over.
    fn has_incarnations(&self, created_at: Millis, now: Millis) -> bool {
        let mut listed = self.sidecars.iter().filter(|row| row.listed);
        let all_known = !self.sidecars.is_empty() && listed.all(|row| row.incarnation.is_some());
        all_known || now.since(created_at) >= MAX_INCARNATION_WAIT_MS
    }

    /// Returns whether all witnesses have enrolled the epoch, or the wait for them is over.
    fn is_enrolled_or_timed_out(&self, slot: &EpochSlot, now: Millis) -> bool {
        let Some(record) = slot.record() else { return false };
        let enrolled = |witness: &Witness| {
            self.sidecars
                .iter()
                .any(|row| row.name == witness.name && row.enrolled == Some(slot.epoch))
        };
        let timed_out = slot.confirmed_at.is_some_and(|at| now.since(at) >= MAX_ENROLL_WAIT_MS);
        timed_out || record.witnesses.iter().all(enrolled)
    }

    /// Returns an open record that names every listed sidecar of known incarnation.
    fn new_record(&self) -> EpochRecord {
        let witnesses = self.sidecars.iter().filter(|row| row.listed);
        let witnesses = witnesses.filter_map(SidecarRow::witness).collect();
        EpochRecord { state: EpochState::Open, host: self.params.host.clone(), witnesses }
    }

    /// Adds sidecars to the record that it does not name yet.
    fn add_new_witnesses(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let Some(record) = self.current.record() else { return };
        let is_unnamed =
            |row: &&SidecarRow| !record.witnesses.iter().any(|witness| witness.name == row.name);
        let rows = self.sidecars.iter().filter(|row| row.listed).filter(is_unnamed);
        let missing: Vec<Witness> = rows.filter_map(SidecarRow::witness).collect();
        if missing.is_empty() {
            return;
        }
        let mut record = record.clone();
        record.witnesses.extend(missing);
        record.witnesses.sort();
        self.current.write(record, now, effects);
    }

    /// Queries the incarnations of sidecars, or enrols the epoch at those that its record names.
    fn query_sidecars(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let slot = self.next.as_ref().unwrap_or(&self.current);
        let record = slot.record().filter(|record| record.state == EpochState::Open);
        for row in self.sidecars.iter_mut().filter(|row| row.listed && !row.in_flight) {
            let witness = record.and_then(|record| {
                record.witnesses.iter().find(|witness| {
                    witness.name == row.name && Some(witness.incarnation) == row.incarnation
                })
            });
            let incomplete = match witness {
                Some(_) => row.enrolled != Some(slot.epoch),
                None => row.incarnation.is_none(),
            };
            let interval =
                if incomplete { ENROLL_RETRY_DELAY_MS } else { SIDECAR_QUERY_INTERVAL_MS };
            let is_first = incomplete && witness.is_some() && row.enroll_sent != Some(slot.epoch);
            if !is_first && row.queried_at.is_some_and(|at| now.since(at) < interval) {
                continue;
            }
            let req = match witness {
                Some(witness) => {
                    row.enroll_sent = Some(slot.epoch);
                    WitnessRequest::Enroll { epoch: slot.epoch, incarnation: witness.incarnation }
                }
                None => WitnessRequest::Incarnation,
            };
            row.queried_at = Some(now);
            row.in_flight = true;
            let name = row.name.clone();
            effects.push(BudgetEffect::QueryWitness { name, address: row.address, req });
        }
    }

    /// Applies a witness's answer; without one, the sidecar is queried again.
    pub(super) fn witness_answered(
        &mut self,
        name: &str,
        req: WitnessRequest,
        answer: Option<WitnessReply>,
        now: Millis,
    ) {
        if let WitnessRequest::Close { epoch } = req {
            self.apply_close_answer(epoch, name, answer, now);
            return;
        }
        let Ok(at) = self.sidecars.binary_search_by(|row| row.name.as_str().cmp(name)) else {
            return;
        };
        let row = &mut self.sidecars[at];
        row.in_flight = false;
        let Some(answer) = answer else { return };
        let restarted = row.incarnation.is_some_and(|known| known != answer.incarnation);
        row.incarnation = Some(answer.incarnation);
        if restarted {
            row.enrolled = None;
            return;
        }
        let WitnessRequest::Enroll { epoch, .. } = req else { return };
        if answer.enrolled {
            row.enrolled = Some(epoch);
        } else {
            row.enrolled = None;
            self.mark_epoch_stale(epoch);
        }
    }

    /// Rotates the epoch if its record names a sidecar that has restarted.
    fn rotate_for_restarted_sidecars(&mut self, now: Millis) {
        let restarted = |witness: &Witness| {
            self.sidecars.iter().any(|row| {
                row.name == witness.name
                    && row.incarnation.is_some_and(|known| known != witness.incarnation)
            })
        };
        if self.current.record().is_some_and(|record| record.witnesses.iter().any(restarted)) {
            self.rotate_epoch("sidecar-restarted", now);
        }
    }

    /// Schedules a read of the record if the epoch is this entry's current or next one.
    fn mark_epoch_stale(&mut self, epoch: EpochId) {
        if self.current.epoch == epoch {
            self.current.mark_stale();
        }
        if let Some(next) = self.next.as_mut().filter(|next| next.epoch == epoch) {
            next.mark_stale();
        }
    }

    /// Ends a reservation that a sidecar refused for its epoch, and returns the tokens borrowed
    /// under the refused epochs.
    pub(super) fn apply_epoch_refusal(
        &mut self,
        funding: &Funding,
        now: Millis,
        effects: &mut Vec<BudgetEffect>,
    ) {
        for part in &funding.parts {
            self.mark_epoch_stale(part.root);
            let state = self.state_mut(&funding.budget);
            if let Some(borrowing) = state.and_then(|state| state.borrowing_mut(part.root)) {
                borrowing.return_tokens(u64::MAX);
            }
        }
        self.settle(funding, 0, now, effects);
    }

    /// Rotates the epoch if only witnesses know a charge or a borrower is lost, so that closing the
    /// former epoch reclaims the tokens.
    fn rotate_for_unknown_charges(&mut self, now: Millis) {
        let unknown = self.budget_states.iter().any(|state| state.own.has_unknown_charge());
        let orphaned = self.has_orphaned_loan(now);
        if (unknown || orphaned) && now.since(self.rotated_at) >= MIN_ROTATION_INTERVAL_MS {
            self.rotate_epoch(if unknown { "unknown-charge" } else { "borrower-lost" }, now);
        }
    }

    /// Starts the rotation to a new epoch; the current one is used until the new one is ready.
    pub(super) fn rotate_epoch(&mut self, reason: &str, now: Millis) {
        if self.next.is_some() || self.stopping.is_some() {
            return;
        }
        self.rotations += 1;
        self.rotated_at = now;
        let seed = format!("{:?}", (self.params.epoch, self.rotations));
        let epoch = EpochId(digest128(&["epoch", &seed]) as u64);
        log::info!("decision=roll epoch={} next={epoch} reason={reason}", self.epoch);
        self.next = Some(EpochSlot::new(epoch, now));
    }

    /// Writes the record of the next epoch, and switches to it once it is enrolled.
    fn advance_rotation(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let Some(next) = &self.next else { return };
        if next.record().is_none() {
            let can_write = !self.registered || self.has_incarnations(next.created_at, now);
            let record = self.new_record();
            if let Some(next) = self.next.as_mut().filter(|_| can_write) {
                next.write(record, now, effects);
            }
            return;
        }
        if self.is_enrolled_or_timed_out(next, now) {
            self.switch_epoch(now);
        }
    }

    /// Makes the next epoch the current one and closes the former.
    fn switch_epoch(&mut self, now: Millis) {
        let Some(next) = self.next.take() else { return };
        let former = std::mem::replace(&mut self.current, next);
        self.epoch = self.current.epoch;
        self.registered = true;
        log::info!("decision=switch epoch={} former={}", self.epoch, former.epoch);
        self.budget_states.iter_mut().for_each(|state| state.rotate_epoch(self.epoch));
        self.close_own_epoch(former.epoch, now);
    }

    /// Stops using the current epoch, which another entry has closed, and starts a rotation.
    pub(super) fn replace_closed_epoch(&mut self, now: Millis) {
        if !self.registered && self.next.is_some() {
            return;
        }
        log::info!("decision=lose epoch={} reason=closed-by-another", self.epoch);
        self.registered = false;
        let former = self.epoch;
        self.rotate_epoch("closed", now);
        if let Some(next) = &self.next {
            self.epoch = next.epoch;
        }
        self.budget_states.iter_mut().for_each(|state| state.rotate_epoch(self.epoch));
        self.close_own_epoch(former, now);
    }

    /// Applies the result of a read of an epoch's record.
    pub(super) fn epoch_read(
        &mut self,
        epoch: EpochId,
        outcome: Outcome<Option<Versioned>>,
        now: Millis,
    ) {
        if let Some(slot) = self.epoch_slot(epoch) {
            slot.read_done(outcome, now);
            let closed = slot.record().is_some_and(|record| record.state != EpochState::Open);
            if closed && self.current.epoch == epoch {
                self.replace_closed_epoch(now);
            }
            return;
        }
        if let Some(closing) = self.closing_epoch_mut(epoch) {
            closing.slot.read_done(outcome, now);
            return;
        }
        self.foreign_epoch_read(epoch, outcome);
    }

    /// Applies the result of a write of an epoch's record.
    pub(super) fn epoch_written(
        &mut self,
        epoch: EpochId,
        outcome: Outcome<Revision>,
        now: Millis,
    ) {
        if let Some(slot) = self.epoch_slot(epoch) {
            slot.write_done(outcome, now);
        } else if let Some(closing) = self.closing_epoch_mut(epoch) {
            closing.slot.write_done(outcome, now);
        }
    }

    /// Returns the slot of the current or next epoch; `None` for any other epoch.
    fn epoch_slot(&mut self, epoch: EpochId) -> Option<&mut EpochSlot> {
        if self.current.epoch == epoch && self.is_current_slot_in_use() {
            return Some(&mut self.current);
        }
        self.next.as_mut().filter(|next| next.epoch == epoch)
    }

    /// Returns whether the current slot is in use rather than belonging to an epoch that another
    /// entry has closed.
    fn is_current_slot_in_use(&self) -> bool {
        self.registered || self.next.is_none()
    }
}

impl SidecarRow {
    fn new(host: &Host) -> SidecarRow {
        SidecarRow {
            name: host.name.clone(),
            address: host.address,
            listed: false,
            incarnation: None,
            enrolled: None,
            enroll_sent: None,
            queried_at: None,
            in_flight: false,
        }
    }

    /// Returns the sidecar as a witness for a record, once its incarnation is known.
    fn witness(&self) -> Option<Witness> {
        let incarnation = self.incarnation?;
        Some(Witness { name: self.name.clone(), address: self.address, incarnation })
    }
}
