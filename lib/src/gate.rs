//! Decisions of a sidecar: who runs at its target, when, and beside whom.
//!
//! The gate joins [`Admission`] and [`PoisonTable`] with what is known of the
//! target. When a connection to the target breaks, nothing new starts until the
//! target has been asked for its generation: only if it is gone or has restarted
//! are the requests that it ran suspected.

use crate::admission::{Admission, AdmissionLimits, Arrival, Decision, Ticket};
use crate::control::System;
use crate::poison::{CrashId, PoisonDecision, PoisonRow, PoisonTable};
use crate::result_code::{Refusal, ResultCode};
use crate::target_client::TargetLoad;
use crate::time::Millis;

/// Load reports in a row that must be missing before the target counts as down.
const MISSES_UNTIL_DOWN: u32 = 3;
const UNREACHABLE_RETRY_MS: u64 = 1_000;
const LEAVING_RETRY_MS: u64 = 100;

/// What happens at a sidecar.
#[derive(Clone, Debug)]
pub enum GateEvent {
    /// A request asks to run.
    Arrive {
        arrival: Arrival,
        fingerprint: u128,
    },
    /// A request that may still wait is no longer wanted.
    Withdraw(Ticket),
    /// A request ran to the end of its answer.
    Answered(Ticket),
    /// A request stopped for a reason of its own.
    Stopped(Ticket),
    /// The connection to the target broke while a request ran.
    ConnectionLost(Ticket),
    /// The target's load report, or its absence.
    Load {
        load: Option<TargetLoad>,
        reason: LoadReason,
        wall_ms: u64,
    },
    /// Knowledge from other sidecars or from the store.
    Poison(Vec<PoisonRow>),
    /// Take no new work.
    Leave,
    Limits(AdmissionLimits),
}

/// Why the target was asked for its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReason {
    /// It was time to.
    Poll,
    /// The gate wants to know why a connection broke.
    Probe,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GateEffect {
    /// The request is accepted and waits.
    Queue(Ticket),
    Start(Ticket),
    Refuse(Ticket, Refusal),
    /// Ask the target for its load at once.
    Probe,
    /// Spread the rows, and only then end the requests that were lost.
    PropagatePoison {
        rows: Vec<PoisonRow>,
        interrupted: Vec<Ticket>,
    },
    /// The target itself says that it leaves.
    TargetLeaves,
    Publish(GateState),
}

/// State for frames and operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateState {
    pub running: u32,
    pub queued: u32,
    pub leaving: bool,
    pub target_down: bool,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    ticket: Ticket,
    fingerprint: u128,
    alone: bool,
    /// Generation of the target when the request started.
    generation: Option<u64>,
}

/// Tables of a sidecar.
pub struct Gate {
    admission: Admission,
    poison: PoisonTable,
    /// Requests that wait or run, sorted by ticket.
    rows: Vec<Row>,
    /// Requests whose connection broke and whose reason is not known yet.
    interrupted: Vec<Row>,
    incarnation: u64,
    generation: Option<u64>,
    wall_ms: u64,
    misses: u32,
    down: bool,
    leaving: bool,
    published: GateState,
}

impl Gate {
    /// Gate of a process start; `incarnation` keeps its crash identities apart.
    pub fn new(limits: AdmissionLimits, incarnation: u64) -> Gate {
        Gate {
            admission: Admission::new(limits),
            poison: PoisonTable::default(),
            rows: Vec::new(),
            interrupted: Vec::new(),
            incarnation,
            generation: None,
            wall_ms: 0,
            misses: 0,
            down: false,
            leaving: false,
            published: GateState::default(),
        }
    }

    fn arrive(
        &mut self,
        mut arrival: Arrival,
        fingerprint: u128,
        now: Millis,
        effects: &mut Vec<GateEffect>,
    ) {
        let ticket = arrival.ticket;
        let decision = self.poison.decision(fingerprint);
        arrival.alone = decision == PoisonDecision::RunAlone;
        let row = Row { ticket, fingerprint, alone: arrival.alone, generation: None };
        let offered = match self.closed(decision) {
            Some(refusal) => Err(refusal),
            None => self.admission.offer(arrival, now),
        };
        match offered {
            Ok(()) => {
                let at = self.rows.partition_point(|held| held.ticket < ticket);
                self.rows.insert(at, row);
                effects.push(GateEffect::Queue(ticket));
            }
            Err(refusal) => effects.push(GateEffect::Refuse(ticket, refusal)),
        }
    }

    /// Why the gate takes nothing of this verdict now.
    fn closed(&self, decision: PoisonDecision) -> Option<Refusal> {
        if decision == PoisonDecision::Refuse {
            return Some(poisoned());
        }
        if self.leaving {
            let refusal = Refusal::new(ResultCode::Leaving, "the target is leaving");
            return Some(refusal.retry_after(LEAVING_RETRY_MS));
        }
        self.down.then(unreachable)
    }

    fn end(&mut self, ticket: Ticket, answered: bool, now: Millis) -> Option<Row> {
        self.admission.finish(ticket, answered, now);
        self.take_row(ticket)
    }

    fn take_row(&mut self, ticket: Ticket) -> Option<Row> {
        let at = self.rows.binary_search_by_key(&ticket, |row| row.ticket).ok()?;
        Some(self.rows.remove(at))
    }

    fn answered(&mut self, ticket: Ticket, now: Millis, effects: &mut Vec<GateEffect>) {
        let Some(row) = self.end(ticket, true, now).filter(|row| row.alone) else { return };
        if let Some(cleared) = self.poison.clear(row.fingerprint, self.wall_ms) {
            effects
                .push(GateEffect::PropagatePoison { rows: vec![cleared], interrupted: Vec::new() });
        }
    }

    fn lose(&mut self, ticket: Ticket, now: Millis, effects: &mut Vec<GateEffect>) {
        let Some(row) = self.end(ticket, false, now) else { return };
        if self.interrupted.is_empty() {
            effects.push(GateEffect::Probe);
        }
        self.interrupted.push(row);
    }

    fn load(
        &mut self,
        load: Option<TargetLoad>,
        reason: LoadReason,
        effects: &mut Vec<GateEffect>,
    ) {
        // A report that was asked for before the loss says nothing about it.
        if !self.interrupted.is_empty() && reason == LoadReason::Poll {
            return;
        }
        self.classify_interrupted(&load, effects);
        let Some(load) = load else { return self.miss(effects) };
        self.misses = 0;
        self.down = false;
        self.generation = Some(load.generation);
        if load.leaving && !self.leaving {
            self.leaving = true;
            effects.push(GateEffect::TargetLeaves);
        }
    }

    fn classify_interrupted(&mut self, load: &Option<TargetLoad>, effects: &mut Vec<GateEffect>) {
        if self.interrupted.is_empty() {
            return;
        }
        let interrupted = std::mem::take(&mut self.interrupted);
        let now = load.as_ref().map(|load| load.generation);
        let mut rows = Vec::new();
        for row in
            interrupted.iter().filter(|row| row.generation.is_some() && row.generation != now)
        {
            let crash = self.crash_id(row.generation);
            rows.push(self.poison.record_crash(row.fingerprint, crash, self.wall_ms));
            self.misses = MISSES_UNTIL_DOWN;
        }
        self.recheck(effects);
        let interrupted = interrupted.into_iter().map(|row| row.ticket).collect();
        effects.push(GateEffect::PropagatePoison { rows, interrupted });
    }

    /// Identity of the crash that ends a generation of the target.
    fn crash_id(&self, generation: Option<u64>) -> CrashId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.incarnation.to_le_bytes());
        hasher.update(&generation.unwrap_or(0).to_le_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        CrashId(u64::from_le_bytes(first))
    }

    fn miss(&mut self, effects: &mut Vec<GateEffect>) {
        // A plain service that never reported any load does not count as down.
        if self.generation.is_none() || self.down {
            return;
        }
        self.misses = self.misses.saturating_add(1);
        if self.misses < MISSES_UNTIL_DOWN {
            return;
        }
        self.down = true;
        let mut decisions = Vec::new();
        self.admission.refuse_waiting(&unreachable(), &mut decisions);
        self.carry_out(decisions, effects);
    }

    /// Applies new suspicions to the requests that wait.
    fn recheck(&mut self, effects: &mut Vec<GateEffect>) {
        let mut refused = Vec::new();
        for row in &mut self.rows {
            match self.poison.decision(row.fingerprint) {
                PoisonDecision::RunShared => {}
                PoisonDecision::RunAlone => row.alone |= self.admission.mark_alone(row.ticket),
                PoisonDecision::Refuse if self.admission.withdraw(row.ticket) => {
                    refused.push(row.ticket)
                }
                PoisonDecision::Refuse => {}
            }
        }
        let decisions = refused.into_iter().map(|ticket| Decision::Refuse(ticket, poisoned()));
        self.carry_out(decisions.collect(), effects);
    }

    fn schedule(&mut self, now: Millis, effects: &mut Vec<GateEffect>) {
        let mut decisions = Vec::new();
        if self.interrupted.is_empty() {
            self.admission.schedule(now, &mut decisions);
        }
        self.carry_out(decisions, effects);
        self.publish(effects);
    }

    fn carry_out(&mut self, decisions: Vec<Decision>, effects: &mut Vec<GateEffect>) {
        for decision in decisions {
            match decision {
                Decision::Start(ticket) => {
                    self.note_start(ticket);
                    effects.push(GateEffect::Start(ticket));
                }
                Decision::Refuse(ticket, refusal) => {
                    self.take_row(ticket);
                    effects.push(GateEffect::Refuse(ticket, refusal));
                }
            }
        }
    }

    fn note_start(&mut self, ticket: Ticket) {
        if let Ok(at) = self.rows.binary_search_by_key(&ticket, |row| row.ticket) {
            self.rows[at].generation = self.generation;
        }
    }

    fn withdraw(&mut self, ticket: Ticket, effects: &mut Vec<GateEffect>) {
        if self.admission.withdraw(ticket) {
            let refusal = Refusal::new(ResultCode::Withdrawn, "the caller went away");
            self.carry_out(vec![Decision::Refuse(ticket, refusal)], effects);
        }
    }

    fn publish(&mut self, effects: &mut Vec<GateEffect>) {
        let state = GateState {
            running: self.admission.running() as u32,
            queued: self.admission.queued() as u32,
            leaving: self.leaving,
            target_down: self.down,
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
            GateEvent::Arrive { arrival, fingerprint } => {
                self.arrive(arrival, fingerprint, now, effects);
            }
            GateEvent::Withdraw(ticket) => self.withdraw(ticket, effects),
            GateEvent::Answered(ticket) => self.answered(ticket, now, effects),
            GateEvent::Stopped(ticket) => {
                self.end(ticket, false, now);
            }
            GateEvent::ConnectionLost(ticket) => self.lose(ticket, now, effects),
            GateEvent::Load { load, reason, wall_ms } => {
                self.wall_ms = wall_ms;
                self.load(load, reason, effects);
            }
            GateEvent::Poison(rows) => {
                if self.poison.merge(&rows) {
                    self.recheck(effects);
                }
            }
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
    refusal.retry_after(UNREACHABLE_RETRY_MS)
}
