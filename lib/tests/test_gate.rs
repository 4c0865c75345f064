//! Tests of the gate: poison requests, crashes of the target and leaving.

use rosemarymoor_lib::admission::{AdmissionLimits, Arrival, Ticket};
use rosemarymoor_lib::control::System;
use rosemarymoor_lib::gate::{Gate, GateEffect, GateEvent, LoadReason, TRIAL_INTERVAL_MS};
use rosemarymoor_lib::poison::{PoisonRow, RequestDigests};
use rosemarymoor_lib::result_code::ResultCode;
use rosemarymoor_lib::target_client::TargetLoad;
use rosemarymoor_lib::time::Millis;
use rosemarymoor_lib::wire::Class;

const POISON: u128 = 7;

/// Part that crashes targets, part that is in most prompts, and one that is in some.
const BAD_PART: u128 = 1_000;
const COMMON_PART: u128 = 1_001;
const OTHER_PART: u128 = 1_002;

/// Gate of one sidecar and the generation that its target reports.
struct Sidecar {
    gate: Gate,
    generation: u64,
    now: Millis,
}

impl Sidecar {
    fn open(incarnation: u64) -> Sidecar {
        let gate = Gate::new(AdmissionLimits::default(), incarnation);
        let mut sidecar = Sidecar { gate, generation: 1, now: Millis(0) };
        sidecar.report(LoadReason::Poll);
        sidecar
    }

    fn send(&mut self, event: GateEvent) -> Vec<GateEffect> {
        let mut effects = Vec::new();
        self.gate.handle(event, self.now, &mut effects);
        effects.retain(|effect| !matches!(effect, GateEffect::Publish(_)));
        effects
    }

    fn report(&mut self, reason: LoadReason) -> Vec<GateEffect> {
        let load = TargetLoad { generation: self.generation, ..TargetLoad::default() };
        self.send(GateEvent::Load { load: Some(load), reason, wall_ms: 1 })
    }

    fn arrive(&mut self, ticket: u64, fingerprint: u128) -> Vec<GateEffect> {
        self.arrive_with(ticket, fingerprint, &[])
    }

    /// Lets a request arrive whose prompt has these parts.
    fn arrive_with(&mut self, ticket: u64, fingerprint: u128, parts: &[u128]) -> Vec<GateEffect> {
        let arrival = Arrival {
            ticket: Ticket(ticket),
            workspace: "a".to_owned(),
            weight: 1,
            class: Class::Long,
            deadline: self.now.plus(1_000),
            alone: false,
        };
        let digests = RequestDigests { fingerprint, parts: parts.to_vec() };
        self.send(GateEvent::Arrive { arrival, digests })
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

/// Crashes the target of a sidecar with requests that have the bad part; their fingerprints and further
/// parts differ. Only the first one runs beside another request.
fn crash_by_part(sidecar: &mut Sidecar, crashes: u64) {
    for number in 0..crashes {
        let ticket = 100 + number * 2;
        let prompt = [COMMON_PART, BAD_PART, 2_000 + u128::from(number)];
        assert!(starts(&sidecar.arrive_with(ticket, 50 + u128::from(number), &prompt), ticket));
        let mut running = vec![ticket];
        if number == 0 {
            sidecar.arrive_with(ticket + 1, 9, &[COMMON_PART, OTHER_PART]);
            running.push(ticket + 1);
        }
        sidecar.crash(&running);
    }
}

#[test]
fn a_part_that_crashed_three_targets_is_refused_whatever_else_the_prompt_has() {
    let mut sidecar = Sidecar::open(1);
    sidecar.arrive_with(1, 8, &[COMMON_PART]);
    sidecar.send(GateEvent::Answered(Ticket(1)));
    crash_by_part(&mut sidecar, 3);
    let effects = sidecar.arrive_with(2, 60, &[OTHER_PART, BAD_PART]);
    assert_eq!(refusal(&effects, 2), Some(ResultCode::Poisoned));
    assert!(starts(&sidecar.arrive_with(3, 61, &[COMMON_PART, OTHER_PART]), 3));
    assert!(starts(&sidecar.arrive_with(4, 62, &[COMMON_PART]), 4), "no isolation is needed");
}

#[test]
fn a_common_part_that_has_not_completed_before_runs_alone_and_is_served() {
    let mut sidecar = Sidecar::open(1);
    crash_by_part(&mut sidecar, 3);
    let effects = sidecar.arrive_with(2, 60, &[COMMON_PART, BAD_PART]);
    assert_eq!(refusal(&effects, 2), Some(ResultCode::Poisoned));
    assert!(starts(&sidecar.arrive_with(3, 61, &[COMMON_PART]), 3));
    assert!(!starts(&sidecar.arrive_with(4, 62, &[COMMON_PART]), 4), "a suspect runs alone");
    assert!(starts(&sidecar.send(GateEvent::Answered(Ticket(3))), 4));
    sidecar.send(GateEvent::Answered(Ticket(4)));
    assert!(starts(&sidecar.arrive_with(5, 63, &[COMMON_PART]), 5), "it is cleared");
    let effects = sidecar.arrive_with(6, 64, &[BAD_PART]);
    assert_eq!(refusal(&effects, 6), Some(ResultCode::Poisoned), "it is told apart now");
}

#[test]
fn targets_that_crash_by_chance_put_no_part_under_refusal() {
    let mut sidecars: Vec<Sidecar> = (0..20).map(Sidecar::open).collect();
    let mut rows = Vec::new();
    for (number, sidecar) in sidecars.iter_mut().enumerate() {
        sidecar.arrive_with(1, 70 + number as u128, &[COMMON_PART]);
        sidecar.arrive_with(2, 170 + number as u128, &[COMMON_PART]);
        rows.extend(sidecar.crash(&[1, 2]));
    }
    for sidecar in &mut sidecars {
        sidecar.send(GateEvent::Poison(rows.clone()));
        assert!(starts(&sidecar.arrive_with(3, 60, &[COMMON_PART]), 3));
        let cleared = propagated_rows(sidecar.send(GateEvent::Answered(Ticket(3))));
        assert!(cleared.iter().any(|row| row.fingerprint == COMMON_PART));
        assert!(starts(&sidecar.arrive_with(4, 61, &[COMMON_PART]), 4));
        assert!(starts(&sidecar.arrive_with(5, 62, &[COMMON_PART]), 5));
    }
}

#[test]
fn a_wrong_refusal_of_a_part_ends_with_its_trial() {
    let mut sidecar = Sidecar::open(1);
    crash_by_part(&mut sidecar, 3);
    let prompt = [COMMON_PART, BAD_PART];
    assert_eq!(refusal(&sidecar.arrive_with(2, 60, &prompt), 2), Some(ResultCode::Poisoned));
    sidecar.now = Millis(TRIAL_INTERVAL_MS);
    sidecar.report(LoadReason::Poll);
    assert!(starts(&sidecar.arrive_with(3, 61, &prompt), 3), "one is tried");
    assert_eq!(refusal(&sidecar.arrive_with(4, 62, &prompt), 4), Some(ResultCode::Poisoned));
    sidecar.send(GateEvent::Answered(Ticket(3)));
    assert!(starts(&sidecar.arrive_with(5, 63, &prompt), 5));
    assert!(starts(&sidecar.arrive_with(6, 64, &prompt), 6));
}
