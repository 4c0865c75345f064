//! Gate of a sidecar: decides which requests run at its target, and when.
//!
//! It combines [`Admission`] and [`PoisonTable`] with the target's load reports.
//! When a connection to the target breaks, no request starts until the target has
//! been asked for its generation. Only if the target is unreachable or has restarted
//! are the interrupted requests recorded as suspects of a crash, and so are the parts of their prompts
//! that have not completed here lately.

mod part_refusals;
mod request_limit;

use part_refusals::PartRefusals;
pub use part_refusals::TRIAL_INTERVAL_MS;
use request_limit::RequestLimit;

use crate::admission::{Admission, AdmissionLimits, Arrival, Decision, Ticket};
use crate::control::System;
use crate::dispatch::crash::recent_suspects::RecentSuspects;
use crate::dispatch::crash::suspect::Suspect;
use crate::poison::{CrashId, PoisonDecision, PoisonRow, PoisonTable, RequestDigests};
use crate::result_code::{Refusal, ResultCode};
use crate::target_client::TargetLoad;
use crate::time::Millis;

/// Number of consecutive missing load reports after which the target counts as down.
const MISSED_REPORTS_UNTIL_DOWN: u32 = 3;
/// Retry delay sent with a refusal while the target is down, in milliseconds.
const UNREACHABLE_RETRY_AFTER_MS: u64 = 1_000;
/// Retry delay sent with a refusal while the target is leaving, in milliseconds.
const LEAVING_RETRY_AFTER_MS: u64 = 100;

/// Event for a [`Gate`].
#[derive(Clone, Debug)]
pub enum GateEvent {
    /// A request arrived.
    Arrive { arrival: Arrival, digests: RequestDigests },
    /// The caller of a request that may still be queued has gone.
    Withdraw(Ticket),
    /// A request completed its answer.
    Answered(Ticket),
    /// A request ended without a complete answer, though its connection to the target did not
    /// break.
    Stopped(Ticket),
    /// The connection to the target broke while a request ran.
    ConnectionLost(Ticket),
    /// The target was asked for its load; `load` is `None` if it did not answer.
    Load { load: Option<TargetLoad>, reason: LoadReason, wall_ms: u64 },
    /// Poison rows arrived from other sidecars or from the store.
    Poison(Vec<PoisonRow>),
    /// The sidecar must accept no new requests.
    Leave,
    /// An answer to a request that was sent at `sent_at` names a limit of requests a second, or
    /// none.
    RequestLimit { limit: Option<f64>, sent_at: Millis },
    /// A request other than a call is sent to the target.
    ControlRequest,
    /// The limits of the target changed.
    Limits(AdmissionLimits),
}

/// Why the target was asked for its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReason {
    /// Periodic poll.
    Poll,
    /// Check after a broken connection to the target.
    Probe,
}

/// Effect that the driver of a [`Gate`] carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum GateEffect {
    /// Report the request as accepted and queued.
    Queue(Ticket),
    /// Send the request to the target.
    Start(Ticket),
    /// Refuse the request.
    Refuse(Ticket, Refusal),
    /// Ask the target for its load at once.
    Probe,
    /// Propagate the rows, and only then end the interrupted requests.
    PropagatePoison { rows: Vec<PoisonRow>, interrupted: Vec<Ticket> },
    /// Log that the target takes this many requests a second now, or any number.
    RequestLimitChanged { per_second: Option<f64> },
    /// Log that the target reported itself as leaving.
    TargetLeaves,
    /// Publish the changed state.
    Publish(GateState),
}

/// State of a gate that is sent with frames and shown to operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateState {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Whether no new requests are accepted.
    pub leaving: bool,
    /// Whether the target is considered down.
    pub target_down: bool,
    /// Shortest time between two load reports under the target's limit, in milliseconds.
    pub min_report_interval_ms: u64,
}

/// Queued, running or interrupted request.
#[derive(Clone, Debug)]
struct Row {
    ticket: Ticket,
    digests: RequestDigests,
    alone: bool,
    /// Generation of the target when the request started; `None` while it is queued.
    generation: Option<u64>,
}

/// Admission state of a sidecar.
pub struct Gate {
    admission: Admission,
    poison: PoisonTable,
    /// Parts of prompts that have completed lately.
    sound_parts: RecentSuspects,
    part_refusals: PartRefusals,
    /// Queued and running requests, sorted by ticket.
    rows: Vec<Row>,
    /// Requests whose connection broke, until the cause is known.
    interrupted: Vec<Row>,
    incarnation: u64,
    /// Generation in the target's last load report.
    generation: Option<u64>,
    /// Wall-clock time of the last load event in Unix milliseconds.
    wall_ms: u64,
    /// Consecutive missing load reports.
    missed_reports: u32,
    down: bool,
    leaving: bool,
    request_limit: RequestLimit,
    published: GateState,
}

impl Gate {
    /// Creates a gate; `incarnation` is unique to the process start and makes its crash
    /// identifiers unique.
    pub fn new(limits: AdmissionLimits, incarnation: u64) -> Gate {
        Gate {
            admission: Admission::new(limits),
            poison: PoisonTable::default(),
            sound_parts: RecentSuspects::default(),
            part_refusals: PartRefusals::default(),
            rows: Vec::new(),
            interrupted: Vec::new(),
            incarnation,
            generation: None,
            wall_ms: 0,
            missed_reports: 0,
            down: false,
            leaving: false,
            request_limit: RequestLimit::default(),
            published: GateState::default(),
        }
    }

    fn arrive(
        &mut self,
        mut arrival: Arrival,
        digests: RequestDigests,
        now: Millis,
        effects: &mut Vec<GateEffect>,
    ) {
        let ticket = arrival.ticket;
        let decision = self.decide(&digests, now);
        arrival.alone = decision == PoisonDecision::RunAlone;
        let row = Row { ticket, digests, alone: arrival.alone, generation: None };
        let offered = match self.refusal_for(decision) {
            Some(refusal) => Err(refusal),
            None => match self.request_limit.refusal(self.admission.queued(), now) {
                Some(refusal) => Err(refusal),
                None => self.admission.offer(arrival, now),
            },
        };
        match offered {
            Ok(()) => {
                let at = self.rows.partition_point(|row| row.ticket < ticket);
                self.rows.insert(at, row);
                effects.push(GateEffect::Queue(ticket));
            }
            Err(refusal) => effects.push(GateEffect::Refuse(ticket, refusal)),
        }
    }

    /// Returns how a request may run. One that has been refused for long runs alone once, which clears
    /// it if it is sound.
    fn decide(&mut self, digests: &RequestDigests, now: Millis) -> PoisonDecision {
        let decision = self.poison.decision_on(digests);
        let is_by_part = self.poison.decision(digests.fingerprint) != decision;
        if decision != PoisonDecision::Refuse || !is_by_part {
            return decision;
        }
        match self.part_refusals.refuse(&digests.parts, now) {
            true => PoisonDecision::Refuse,
            false => PoisonDecision::RunAlone,
        }
    }

    /// Returns the refusal for a request with this poison decision, if it cannot be accepted now.
    fn refusal_for(&self, decision: PoisonDecision) -> Option<Refusal> {
        if decision == PoisonDecision::Refuse {
            return Some(poisoned());
        }
        if self.leaving {
            let refusal = Refusal::new(ResultCode::Leaving, "the target is leaving");
            return Some(refusal.retry_after(LEAVING_RETRY_AFTER_MS));
        }
        self.down.then(unreachable)
    }

    fn end(&mut self, ticket: Ticket, answered: bool, now: Millis) -> Option<Row> {
        self.admission.finish(ticket, answered, now);
        self.remove_row(ticket)
    }

    fn remove_row(&mut self, ticket: Ticket) -> Option<Row> {
        let at = self.rows.binary_search_by_key(&ticket, |row| row.ticket).ok()?;
        Some(self.rows.remove(at))
    }

    fn answered(&mut self, ticket: Ticket, now: Millis, effects: &mut Vec<GateEffect>) {
        let Some(row) = self.end(ticket, true, now) else { return };
        let mut rows = Vec::new();
        if row.alone {
            rows.extend(self.poison.clear(row.digests.fingerprint, self.wall_ms));
        }
        for part in &row.digests.parts {
            self.sound_parts.insert(Suspect(*part), now);
            rows.extend(self.poison.clear(*part, self.wall_ms));
        }
        if !rows.is_empty() {
            self.recheck_poison(effects);
            effects.push(GateEffect::PropagatePoison { rows, interrupted: Vec::new() });
        }
    }

    fn connection_lost(&mut self, ticket: Ticket, now: Millis, effects: &mut Vec<GateEffect>) {
        let Some(row) = self.end(ticket, false, now) else { return };
        if self.interrupted.is_empty() {
            self.request_limit.spend(1);
            effects.push(GateEffect::Probe);
        }
        self.interrupted.push(row);
    }

    fn apply_load(
        &mut self,
        load: Option<TargetLoad>,
        reason: LoadReason,
        effects: &mut Vec<GateEffect>,
    ) {
        // A report requested before the connection broke does not show its cause.
        if !self.interrupted.is_empty() && reason == LoadReason::Poll {
            return;
        }
        self.classify_interrupted(&load, effects);
        let Some(load) = load else { return self.record_missed_report(effects) };
        self.missed_reports = 0;
        self.down = false;
        self.generation = Some(load.generation);
        if load.leaving && !self.leaving {
            self.leaving = true;
            effects.push(GateEffect::TargetLeaves);
        }
    }

    /// Records a crash for the interrupted requests if the target is unreachable or has
    /// restarted, and ends them.
    fn classify_interrupted(&mut self, load: &Option<TargetLoad>, effects: &mut Vec<GateEffect>) {
        if self.interrupted.is_empty() {
            return;
        }
        let interrupted = std::mem::take(&mut self.interrupted);
        let current = load.as_ref().map(|load| load.generation);
        let mut rows = Vec::new();
        let is_crashed = |row: &&Row| row.generation.is_some() && row.generation != current;
        let crashed: Vec<&Row> = interrupted.iter().filter(is_crashed).collect();
        let ran_alone = crashed.len() == 1 && crashed[0].alone;
        for row in crashed {
            let crash = self.crash_id(row.generation, ran_alone);
            rows.push(self.poison.record_crash(row.digests.fingerprint, crash, self.wall_ms));
            for part in &row.digests.parts {
                if !self.sound_parts.contains(Suspect(*part)) {
                    rows.push(self.poison.record_crash(*part, crash, self.wall_ms));
                }
            }
            self.missed_reports = MISSED_REPORTS_UNTIL_DOWN;
        }
        rows.sort_by_key(|row| row.fingerprint);
        rows.dedup_by_key(|row| row.fingerprint);
        self.recheck_poison(effects);
        let interrupted = interrupted.into_iter().map(|row| row.ticket).collect();
        effects.push(GateEffect::PropagatePoison { rows, interrupted });
    }

    /// Returns the identifier of the crash that ended a generation of the target.
    fn crash_id(&self, generation: Option<u64>, ran_alone: bool) -> CrashId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.incarnation.to_le_bytes());
        hasher.update(&generation.unwrap_or(0).to_le_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        CrashId::new(u64::from_le_bytes(first), ran_alone)
    }

    fn record_missed_report(&mut self, effects: &mut Vec<GateEffect>) {
        // A plain service, which never reports its load, does not count as down.
        if self.generation.is_none() || self.down {
            return;
        }
        self.missed_reports = self.missed_reports.saturating_add(1);
        if self.missed_reports < MISSED_REPORTS_UNTIL_DOWN {
            return;
        }
        self.down = true;
        let mut decisions = Vec::new();
        self.admission.refuse_waiting(&unreachable(), &mut decisions);
        self.apply_decisions(decisions, effects);
    }

    /// Applies the current poison decisions to the queued requests.
    fn recheck_poison(&mut self, effects: &mut Vec<GateEffect>) {
        let mut refused = Vec::new();
        for row in &mut self.rows {
            match self.poison.decision_on(&row.digests) {
                PoisonDecision::RunShared => {}
                PoisonDecision::RunAlone => row.alone |= self.admission.mark_alone(row.ticket),
                PoisonDecision::Refuse if self.admission.withdraw(row.ticket) => {
                    refused.push(row.ticket)
                }
                PoisonDecision::Refuse => {}
            }
        }
        let decisions = refused.into_iter().map(|ticket| Decision::Refuse(ticket, poisoned()));
        self.apply_decisions(decisions.collect(), effects);
    }

    fn schedule(&mut self, now: Millis, effects: &mut Vec<GateEffect>) {
        let mut decisions = Vec::new();
        if self.interrupted.is_empty() {
            let max_starts =
                self.request_limit.available(now).map_or(usize::MAX, |max| max as usize);
            let starts = self.admission.schedule_up_to(max_starts, now, &mut decisions);
            self.request_limit.spend(starts as u32);
        }
        self.apply_decisions(decisions, effects);
        self.publish(effects);
    }

    fn apply_decisions(&mut self, decisions: Vec<Decision>, effects: &mut Vec<GateEffect>) {
        for decision in decisions {
            match decision {
                Decision::Start(ticket) => {
                    self.record_start(ticket);
                    effects.push(GateEffect::Start(ticket));
                }
                Decision::Refuse(ticket, refusal) => {
                    self.remove_row(ticket);
                    effects.push(GateEffect::Refuse(ticket, refusal));
                }
            }
        }
    }

    fn record_start(&mut self, ticket: Ticket) {
        if let Ok(at) = self.rows.binary_search_by_key(&ticket, |row| row.ticket) {
            self.rows[at].generation = self.generation;
        }
    }

    fn withdraw(&mut self, ticket: Ticket, effects: &mut Vec<GateEffect>) {
        if self.admission.withdraw(ticket) {
            let refusal = Refusal::new(ResultCode::Withdrawn, "the caller went away");
            self.apply_decisions(vec![Decision::Refuse(ticket, refusal)], effects);
        }
    }

    fn publish(&mut self, effects: &mut Vec<GateEffect>) {
        let state = GateState {
            running: self.admission.running() as u32,
            queued: self.admission.queued() as u32,
            leaving: self.leaving,
            target_down: self.down,
            min_report_interval_ms: self.request_limit.min_report_interval_ms(),
        };
        if state != self.published {
            self.published = state;
            effects.push(GateEffect::Publish(state));
        }
    }
}

impl System for Gate {
    type Event = GateEvent;
    type Effect = GateEffect;

    fn handle(&mut self, event: GateEvent, now: Millis, effects: &mut Vec<GateEffect>) {
        match event {
            GateEvent::Arrive { arrival, digests } => {
                self.arrive(arrival, digests, now, effects);
            }
            GateEvent::Withdraw(ticket) => self.withdraw(ticket, effects),
            GateEvent::Answered(ticket) => self.answered(ticket, now, effects),
            GateEvent::Stopped(ticket) => {
                self.end(ticket, false, now);
            }
            GateEvent::ConnectionLost(ticket) => self.connection_lost(ticket, now, effects),
            GateEvent::Load { load, reason, wall_ms } => {
                self.wall_ms = wall_ms;
                self.apply_load(load, reason, effects);
            }
            GateEvent::Poison(rows) => {
                if self.poison.merge(&rows) {
                    self.part_refusals.extend(&rows, now);
                    self.recheck_poison(effects);
                }
            }
            GateEvent::RequestLimit { limit, sent_at } => {
                let before = self.request_limit.per_second();
                self.request_limit.apply(limit, sent_at, now);
                let per_second = self.request_limit.per_second();
                if per_second != before {
                    effects.push(GateEffect::RequestLimitChanged { per_second });
                }
            }
            GateEvent::ControlRequest => self.request_limit.spend(1),
            GateEvent::Leave => self.leaving = true,
            GateEvent::Limits(limits) => self.admission.set_limits(limits),
        }
        self.schedule(now, effects);
    }

    fn tick(&mut self, now: Millis, effects: &mut Vec<GateEffect>) {
        self.schedule(now, effects);
    }
}

fn poisoned() -> Refusal {
    Refusal::new(ResultCode::Poisoned, "the request crashed two targets")
}

fn unreachable() -> Refusal {
    let refusal = Refusal::new(ResultCode::TargetUnreachable, "the target does not answer");
    refusal.retry_after(UNREACHABLE_RETRY_AFTER_MS)
}
