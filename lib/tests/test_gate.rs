//! Tests of the gate: poison requests, crashes of the target and leaving.

use rosemarymoor_lib::admission::{AdmissionLimits, Arrival, Ticket};
use rosemarymoor_lib::control::System;
use rosemarymoor_lib::gate::{Gate, GateEffect, GateEvent, LoadReason};
use rosemarymoor_lib::poison::PoisonRow;
use rosemarymoor_lib::result_code::ResultCode;
use rosemarymoor_lib::target_client::TargetLoad;
use rosemarymoor_lib::time::Millis;
use rosemarymoor_lib::wire::Class;

const POISON: u128 = 7;

/// Gate of one sidecar and the generation that its target reports.
struct Sidecar {
    gate: Gate,
    generation: u64,
}

impl Sidecar {
    fn open(incarnation: u64) -> Sidecar {
        let mut sidecar =
            Sidecar { gate: Gate::new(AdmissionLimits::default(), incarnation), generation: 1 };
        sidecar.report(LoadReason::Poll);
        sidecar
    }

    fn send(&mut self, event: GateEvent) -> Vec<GateEffect> {
        let mut effects = Vec::new();
        self.gate.handle(event, Millis(0), &mut effects);
        effects.retain(|effect| !matches!(effect, GateEffect::Publish(_)));
        effects
    }

    fn report(&mut self, reason: LoadReason) -> Vec<GateEffect> {
        let load = TargetLoad { generation: self.generation, ..TargetLoad::default() };
        self.send(GateEvent::Load { load: Some(load), reason, wall_ms: 1 })
    }

    fn arrive(&mut self, ticket: u64, fingerprint: u128) -> Vec<GateEffect> {
        let arrival = Arrival {
            ticket: Ticket(ticket),
            workspace: "a".to_owned(),
            weight: 1,
            class: Class::Long,
            deadline: Millis(1_000),
            alone: false,
        };
        self.send(GateEvent::Arrive { arrival, fingerprint })
    }

    /// Restarts the target while these requests run; returns the poison rows to propagate.
    fn crash(&mut self, tickets: &[u64]) -> Vec<PoisonRow> {
        for ticket in tickets {
            self.send(GateEvent::ConnectionLost(Ticket(*ticket)));
        }
        self.generation += 1;
        propagated_rows(self.report(LoadReason::Probe))
    }
}

fn propagated_rows(effects: Vec<GateEffect>) -> Vec<PoisonRow> {
    let rows = effects.into_iter().filter_map(|effect| match effect {
        GateEffect::PropagatePoison { rows, .. } => Some(rows),
        _ => None,
    });
    rows.flatten().collect()
}

fn starts(effects: &[GateEffect], ticket: u64) -> bool {
    effects.contains(&GateEffect::Start(Ticket(ticket)))
}

fn refusal(effects: &[GateEffect], ticket: u64) -> Option<ResultCode> {
    effects.iter().find_map(|effect| match effect {
        GateEffect::Refuse(refused, refusal) if refused.0 == ticket => Some(refusal.code),
        _ => None,
    })
}

#[test]
fn a_poison_request_is_refused_after_two_crashes_and_innocent_requests_are_served() {
    let (mut first, mut second) = (Sidecar::open(1), Sidecar::open(2));
    assert!(starts(&first.arrive(1, POISON), 1));
    assert!(starts(&first.arrive(2, 8), 2));
    let rows = first.crash(&[1, 2]);
    assert_eq!(rows.len(), 2);
    second.send(GateEvent::Poison(rows));
    assert!(starts(&second.arrive(1, 8), 1), "the innocent request runs");
    assert!(!starts(&second.arrive(2, POISON), 2), "a suspect waits until nothing else runs");
    let effects = second.send(GateEvent::Answered(Ticket(1)));
    assert!(starts(&effects, 2));
    let cleared = propagated_rows(effects);
    assert_eq!(cleared[0].uncleared_crashes(), 0);
    let rows = second.crash(&[2]);
    assert_eq!(refusal(&second.arrive(3, POISON), 3), Some(ResultCode::Poisoned));
    first.send(GateEvent::Poison([cleared, rows].concat()));
    assert_eq!(refusal(&first.arrive(3, POISON), 3), Some(ResultCode::Poisoned));
    assert!(starts(&first.arrive(4, 8), 4));
    assert!(starts(&first.arrive(5, 9), 5), "the cleared request needs no isolation");
}

#[test]
fn a_broken_connection_to_a_target_that_did_not_crash_causes_no_suspicion() {
    let mut sidecar = Sidecar::open(1);
    sidecar.arrive(1, POISON);
    assert!(sidecar.send(GateEvent::ConnectionLost(Ticket(1))).contains(&GateEffect::Probe));
    assert!(!starts(&sidecar.arrive(2, 8), 2), "nothing starts before the probe is answered");
    assert!(
        sidecar.report(LoadReason::Poll).is_empty(),
        "the answer to an earlier poll decides nothing"
    );
    let effects = sidecar.report(LoadReason::Probe);
    assert!(starts(&effects, 2));
    assert!(
        effects
            .contains(&GateEffect::PropagatePoison { rows: vec![], interrupted: vec![Ticket(1)] })
    );
}

#[test]
fn queued_requests_of_an_unreachable_target_are_refused() {
    let mut sidecar = Sidecar::open(1);
    sidecar.arrive(1, POISON);
    sidecar.send(GateEvent::ConnectionLost(Ticket(1)));
    sidecar.arrive(2, 8);
    let event = GateEvent::Load { load: None, reason: LoadReason::Probe, wall_ms: 1 };
    let effects = sidecar.send(event);
    assert_eq!(refusal(&effects, 2), Some(ResultCode::TargetUnreachable));
    assert_eq!(refusal(&sidecar.arrive(3, 9), 3), Some(ResultCode::TargetUnreachable));
    sidecar.generation += 1;
    sidecar.report(LoadReason::Poll);
    assert!(starts(&sidecar.arrive(4, 9), 4));
}

#[test]
fn a_leaving_target_refuses_new_requests_and_still_starts_a_queued_one() {
    let mut sidecar = Sidecar::open(1);
    let slots = AdmissionLimits::default().slots as u64;
    (0..=slots).for_each(|ticket| drop(sidecar.arrive(ticket, u128::from(ticket) + 100)));
    sidecar.send(GateEvent::Leave);
    assert_eq!(refusal(&sidecar.arrive(99, 9), 99), Some(ResultCode::Leaving));
    let started: Vec<bool> = (0..slots)
        .map(|ticket| sidecar.send(GateEvent::Answered(Ticket(ticket))))
        .map(|effects| effects.iter().any(|effect| matches!(effect, GateEffect::Start(_))))
        .collect();
    assert!(started.contains(&true), "a queued request starts");
}
