//! This entry's epoch: its record, its witnesses, and the change to a new one.
//!
//! An epoch may spend at a sidecar only after its record names the sidecar's
//! incarnation, and grants are drawn only after the record is confirmed.

use std::net::SocketAddr;

use super::*;
use crate::budget::epoch_record::{EpochRecord, EpochState, Witness};
use crate::host_list::{Host, HostState, Role};
use crate::id::digest128;
use crate::kv_store::{Outcome, Revision, Versioned};
use crate::wire::{Funding, WitnessReply, WitnessRequest};

/// Longest time that a registration waits for sidecars, in milliseconds.
const MAX_INCARNATION_WAIT_MS: u64 = 1_000;

/// Longest time that a change of epochs waits for enrolments, in milliseconds.
const MAX_ENROLL_WAIT_MS: u64 = 500;

/// Time between two questions to a sidecar, in milliseconds.
const SIDECAR_QUERY_INTERVAL_MS: u64 = 2_000;

/// Time between two questions to a sidecar that does not know the epoch yet.
const ENROLL_INTERVAL_MS: u64 = 100;

/// Least time between two changes of the epoch, in milliseconds.
const MIN_ROTATION_INTERVAL_MS: u64 = 3_000;

const STORE_RETRY_MS: u64 = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    /// What the store holds is not known.
    Stale,
    Reading,
    Writing,
}

/// State of this entry's access to one epoch's record.
pub(super) struct EpochSlot {
    pub(super) epoch: EpochId,
    pub(super) confirmed: Option<(Revision, EpochRecord)>,
    pub(super) since: Millis,
    phase: Phase,
    writing: Option<EpochRecord>,
    not_before: Millis,
    /// When the record was first confirmed.
    confirmed_at: Option<Millis>,
}

impl EpochSlot {
    pub(super) fn new(epoch: EpochId, now: Millis) -> EpochSlot {
        EpochSlot {
            epoch,
            confirmed: None,
            since: now,
            phase: Phase::Idle,
            writing: None,
            not_before: now,
            confirmed_at: None,
        }
    }

    /// Record whose state another entry decides on, too.
    pub(super) fn unread(epoch: EpochId, now: Millis) -> EpochSlot {
        EpochSlot { phase: Phase::Stale, ..EpochSlot::new(epoch, now) }
    }

    pub(super) fn record(&self) -> Option<&EpochRecord> {
        self.confirmed.as_ref().map(|(_, record)| record)
    }

    /// Whether nothing is in flight and what the store holds is known.
    pub(super) fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

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

    pub(super) fn read_if_stale(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        if self.phase == Phase::Stale && now >= self.not_before {
            self.phase = Phase::Reading;
            effects.push(BudgetEffect::Read { key: StoreKey::Epoch(self.epoch) });
        }
    }

    /// Has the record read again.
    pub(super) fn mark_stale(&mut self) {
        if self.phase == Phase::Idle {
            self.phase = Phase::Stale;
        }
    }

    fn on_read(&mut self, outcome: Outcome<Option<Versioned>>, now: Millis) {
        let Outcome::Done(held) = outcome else {
            self.phase = Phase::Stale;
            self.not_before = now.plus(STORE_RETRY_MS);
            return;
        };
        self.phase = Phase::Idle;
        self.confirmed = held.and_then(|held| {
            EpochRecord::decode(&held.value).map(|record| (held.revision, record))
        });
        self.record_confirmation(now);
    }

    fn on_written(&mut self, outcome: Outcome<Revision>, now: Millis) {
        let writing = self.writing.take();
        match (outcome, writing) {
            (Outcome::Done(revision), Some(record)) => {
                self.confirmed = Some((revision, record));
                self.phase = Phase::Idle;
                self.record_confirmation(now);
            }
            _ => {
                self.phase = Phase::Stale;
                self.not_before = now.plus(STORE_RETRY_MS);
            }
        }
    }

    fn record_confirmation(&mut self, now: Millis) {
        if self.confirmed.is_some() && self.confirmed_at.is_none() {
            self.confirmed_at = Some(now);
        }
    }
}

/// Sidecar as far as enrolment goes.
pub(super) struct SidecarRow {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    listed: bool,
    incarnation: Option<u64>,
    /// Epoch that the sidecar is known to admit.
    enrolled: Option<EpochId>,
    /// Epoch that the sidecar was last asked to admit.
    enroll_sent: Option<EpochId>,
    queried_at: Option<Millis>,
    in_flight: bool,
}

impl BudgetSystem {
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
        if self.current.record().is_none() && self.has_incarnations(self.current.since, now) {
            let record = self.new_record();
            self.current.write(record, now, effects);
        }
    }

    fn has_incarnations(&self, since: Millis, now: Millis) -> bool {
        let mut listed = self.sidecars.iter().filter(|row| row.listed);
        let known = !self.sidecars.is_empty() && listed.all(|row| row.incarnation.is_some());
        known || now.since(since) >= MAX_INCARNATION_WAIT_MS
    }

    fn is_enrolled_or_timed_out(&self, slot: &EpochSlot, now: Millis) -> bool {
        let Some(record) = slot.record() else { return false };
        let enrolled = |witness: &Witness| {
            self.sidecars
                .iter()
                .any(|row| row.name == witness.name && row.enrolled == Some(slot.epoch))
        };
        let late = slot.confirmed_at.is_some_and(|at| now.since(at) >= MAX_ENROLL_WAIT_MS);
        late || record.witnesses.iter().all(enrolled)
    }

    fn new_record(&self) -> EpochRecord {
        let witnesses = self.sidecars.iter().filter(|row| row.listed);
        let witnesses = witnesses.filter_map(SidecarRow::witness).collect();
        EpochRecord { state: EpochState::Open, host: self.params.host.clone(), witnesses }
    }

    /// Adds sidecars that appeared since the record was written.
    fn add_new_witnesses(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let Some(record) = self.current.record() else { return };
        let named =
            |row: &&SidecarRow| !record.witnesses.iter().any(|witness| witness.name == row.name);
        let rows = self.sidecars.iter().filter(|row| row.listed).filter(named);
        let missing: Vec<Witness> = rows.filter_map(SidecarRow::witness).collect();
        if missing.is_empty() {
            return;
        }
        let mut record = record.clone();
        record.witnesses.extend(missing);
        record.witnesses.sort();
        self.current.write(record, now, effects);
    }

    /// Asks sidecars for their incarnation, or to admit an epoch that names it.
    fn query_sidecars(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let slot = self.next.as_ref().unwrap_or(&self.current);
        let record = slot.record().filter(|record| record.state == EpochState::Open);
        for row in self.sidecars.iter_mut().filter(|row| row.listed && !row.in_flight) {
            let witness = record.and_then(|record| {
                record.witnesses.iter().find(|witness| {
                    witness.name == row.name && Some(witness.incarnation) == row.incarnation
                })
            });
            let pending = match witness {
                Some(_) => row.enrolled != Some(slot.epoch),
                None => row.incarnation.is_none(),
            };
            let interval = if pending { ENROLL_INTERVAL_MS } else { SIDECAR_QUERY_INTERVAL_MS };
            let first = pending && witness.is_some() && row.enroll_sent != Some(slot.epoch);
            if !first && row.queried_at.is_some_and(|at| now.since(at) < interval) {
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
        let restarted = row.incarnation.is_some_and(|held| held != answer.incarnation);
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

    /// Starts a new epoch if the present one names a lost incarnation.
    fn rotate_for_restarted_sidecars(&mut self, now: Millis) {
        let lost = |witness: &Witness| {
            self.sidecars.iter().any(|row| {
                row.name == witness.name
                    && row.incarnation.is_some_and(|held| held != witness.incarnation)
            })
        };
        if self.current.record().is_some_and(|record| record.witnesses.iter().any(lost)) {
            self.rotate_epoch("sidecar-restarted", now);
        }
    }

    /// Has the record of an epoch of ours read again.
    fn mark_epoch_stale(&mut self, epoch: EpochId) {
        if self.current.epoch == epoch {
            self.current.mark_stale();
        }
        if let Some(next) = self.next.as_mut().filter(|next| next.epoch == epoch) {
            next.mark_stale();
        }
    }

    pub(super) fn epoch_refused(
        &mut self,
        funding: &Funding,
        now: Millis,
        effects: &mut Vec<BudgetEffect>,
    ) {
        for part in &funding.parts {
            self.mark_epoch_stale(part.root);
            let state = self.state_mut(&funding.budget);
            if let Some(held) = state.and_then(|state| state.borrowing_mut(part.root)) {
                held.return_tokens(u64::MAX);
            }
        }
        self.settle(funding, 0, now, effects);
    }

    fn rotate_for_unknown_charges(&mut self, now: Millis) {
        let unknown = self.budget_states.iter().any(|state| state.own.has_unknown_charge());
        let orphaned = self.has_orphaned_loan(now);
        if (unknown || orphaned) && now.since(self.rotated_at) >= MIN_ROTATION_INTERVAL_MS {
            self.rotate_epoch(if unknown { "unknown-charge" } else { "borrower-lost" }, now);
        }
    }

    /// Starts the change to a new epoch; the present one serves until it is ready.
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

    fn advance_rotation(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        let Some(next) = &self.next else { return };
        if next.record().is_none() {
            let collected = !self.registered || self.has_incarnations(next.since, now);
            let record = self.new_record();
            if let Some(next) = self.next.as_mut().filter(|_| collected) {
                next.write(record, now, effects);
            }
            return;
        }
        if self.is_enrolled_or_timed_out(next, now) {
            self.switch_epoch(now);
        }
    }

    fn switch_epoch(&mut self, now: Millis) {
        let Some(next) = self.next.take() else { return };
        let former = std::mem::replace(&mut self.current, next);
        self.epoch = self.current.epoch;
        self.registered = true;
        log::info!("decision=switch epoch={} former={}", self.epoch, former.epoch);
        self.budget_states.iter_mut().for_each(|state| state.rotate_epoch(self.epoch));
        self.close_own_epoch(former.epoch, now);
    }

    /// Gives up the present epoch, which another entry has closed.
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

    pub(super) fn epoch_read(
        &mut self,
        epoch: EpochId,
        outcome: Outcome<Option<Versioned>>,
        now: Millis,
    ) {
        if let Some(slot) = self.epoch_slot(epoch) {
            slot.on_read(outcome, now);
            let lost = slot.record().is_some_and(|record| record.state != EpochState::Open);
            if lost && self.current.epoch == epoch {
                self.replace_closed_epoch(now);
            }
            return;
        }
        if let Some(closing) = self.closing_epoch_mut(epoch) {
            closing.slot.on_read(outcome, now);
            return;
        }
        self.foreign_epoch_read(epoch, outcome);
    }

    pub(super) fn epoch_written(
        &mut self,
        epoch: EpochId,
        outcome: Outcome<Revision>,
        now: Millis,
    ) {
        if let Some(slot) = self.epoch_slot(epoch) {
            slot.on_written(outcome, now);
        } else if let Some(closing) = self.closing_epoch_mut(epoch) {
            closing.slot.on_written(outcome, now);
        }
    }

    fn epoch_slot(&mut self, epoch: EpochId) -> Option<&mut EpochSlot> {
        if self.current.epoch == epoch && self.is_current_slot_in_use() {
            return Some(&mut self.current);
        }
        self.next.as_mut().filter(|next| next.epoch == epoch)
    }

    /// Whether the current slot is in use, rather than that of a lost epoch.
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

    fn witness(&self) -> Option<Witness> {
        let incarnation = self.incarnation?;
        Some(Witness { name: self.name.clone(), address: self.address, incarnation })
    }
}
