//! The gate: poison requests, crashes, leaving.

use rosemarymoor_lib::admission::{AdmissionLimits, Arrival, Ticket};
use rosemarymoor_lib::control::System;
use rosemarymoor_lib::gate::{Gate, GateEffect, GateEvent, LoadReason};
use rosemarymoor_lib::poison::PoisonRow;
use rosemarymoor_lib::result_code::ResultCode;
use rosemarymoor_lib::target_client::TargetLoad;
use rosemarymoor_lib::time::Millis;
use rosemarymoor_lib::wire::Class;

const POISON: u128 = 7;

/// Gates that share what they know, as sidecars do.
struct Site {
    gate: Gate,
    generation: u64,
}

impl Site {
    fn open(incarnation: u64) -> Site {
        let mut site =
            Site { gate: Gate::new(AdmissionLimits::default(), incarnation), generation: 1 };
        site.report(LoadReason::Poll);
        site
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

    /// The target restarts while these requests run; answers what is spread.
    fn crash(&mut self, tickets: &[u64]) -> Vec<PoisonRow> {
        for ticket in tickets {
            self.send(GateEvent::ConnectionLost(Ticket(*ticket)));
        }
        self.generation += 1;
        shared(self.report(LoadReason::Probe))
    }
}

fn shared(effects: Vec<GateEffect>) -> Vec<PoisonRow> {
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
fn a_poison_request_crashes_two_targets_and_its_neighbour_is_served() {
    let (mut first, mut second) = (Site::open(1), Site::open(2));
    assert!(starts(&first.arrive(1, POISON), 1));
    assert!(starts(&first.arrive(2, 8), 2));
    let rows = first.crash(&[1, 2]);
    assert_eq!(rows.len(), 2);
    second.send(GateEvent::Poison(rows));
    assert!(starts(&second.arrive(1, 8), 1), "the neighbour runs");
    assert!(!starts(&second.arrive(2, POISON), 2), "but nothing beside it");
    let effects = second.send(GateEvent::Answered(Ticket(1)));
    assert!(starts(&effects, 2));
    let cleared = shared(effects);
    assert_eq!(cleared[0].suspicions(), 0);
    let rows = second.crash(&[2]);
    assert_eq!(refusal(&second.arrive(3, POISON), 3), Some(ResultCode::Poisoned));
    first.send(GateEvent::Poison([cleared, rows].concat()));
    assert_eq!(refusal(&first.arrive(3, POISON), 3), Some(ResultCode::Poisoned));
    assert!(starts(&first.arrive(4, 8), 4));
    assert!(starts(&first.arrive(5, 9), 5), "the cleared neighbour needs no isolation");
}

#[test]
fn a_broken_connection_to_a_target_that_did_not_crash_raises_no_suspicion() {
    let mut site = Site::open(1);
    site.arrive(1, POISON);
    assert!(site.send(GateEvent::ConnectionLost(Ticket(1))).contains(&GateEffect::Probe));
    assert!(!starts(&site.arrive(2, 8), 2), "nothing starts before the probe is back");
    assert!(site.report(LoadReason::Poll).is_empty(), "an older report does not judge");
    let effects = site.report(LoadReason::Probe);
    assert!(starts(&effects, 2));
    assert!(
        effects
            .contains(&GateEffect::PropagatePoison { rows: vec![], interrupted: vec![Ticket(1)] })
    );
}

#[test]
fn a_target_that_is_gone_has_its_queue_refused_as_not_run() {
    let mut site = Site::open(1);
    site.arrive(1, POISON);
    site.send(GateEvent::ConnectionLost(Ticket(1)));
    site.arrive(2, 8);
    let event = GateEvent::Load { load: None, reason: LoadReason::Probe, wall_ms: 1 };
    let effects = site.send(event);
    assert_eq!(refusal(&effects, 2), Some(ResultCode::TargetUnreachable));
    assert_eq!(refusal(&site.arrive(3, 9), 3), Some(ResultCode::TargetUnreachable));
    site.generation += 1;
    site.report(LoadReason::Poll);
    assert!(starts(&site.arrive(4, 9), 4));
}

#[test]
fn a_leaving_target_refuses_new_work_and_keeps_what_waits() {
    let mut site = Site::open(1);
    let waiting = AdmissionLimits::default().slots as u64;
    (0..=waiting).for_each(|ticket| drop(site.arrive(ticket, u128::from(ticket) + 100)));
    site.send(GateEvent::Leave);
    assert_eq!(refusal(&site.arrive(99, 9), 99), Some(ResultCode::Leaving));
    let started: Vec<bool> = (0..waiting)
        .map(|ticket| site.send(GateEvent::Answered(Ticket(ticket))))
        .map(|effects| effects.iter().any(|effect| matches!(effect, GateEffect::Start(_))))
        .collect();
    assert!(started.contains(&true), "what waited still runs");
}
