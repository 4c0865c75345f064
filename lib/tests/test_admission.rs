//! Tests of admission control: shares, bounds and refusals under any interleaving.

use proptest::prelude::*;
use rosemarymoor_lib::admission::{Admission, AdmissionLimits, Arrival, Decision, Ticket};
use rosemarymoor_lib::result_code::ResultCode;
use rosemarymoor_lib::time::Millis;
use rosemarymoor_lib::wire::Class;

const LIMITS: AdmissionLimits = AdmissionLimits { slots: 4, quick_slots: 1, max_queued: 16 };
const NO_DEADLINE: Millis = Millis(u64::MAX);

fn arrival(ticket: u64, workspace: &str, class: Class, deadline: Millis) -> Arrival {
    let (ticket, workspace) = (Ticket(ticket), workspace.to_owned());
    Arrival { ticket, workspace, weight: 1, class, deadline, alone: false }
}

fn schedule(admission: &mut Admission, now: Millis) -> Vec<Decision> {
    let mut decisions = Vec::new();
    admission.schedule(now, &mut decisions);
    decisions
}

fn started(decisions: &[Decision]) -> Vec<u64> {
    let start = |decision: &Decision| match decision {
        Decision::Start(ticket) => Some(ticket.0),
        Decision::Refuse(..) => None,
    };
    decisions.iter().filter_map(start).collect()
}

fn offer_and_start(
    admission: &mut Admission,
    class: Class,
    tickets: std::ops::Range<u64>,
) -> Vec<u64> {
    for ticket in tickets {
        admission.offer(arrival(ticket, "a", class, NO_DEADLINE), Millis(0)).unwrap();
    }
    started(&schedule(admission, Millis(0)))
}

#[test]
fn a_quick_request_gets_its_reserved_slot_beside_long_requests() {
    let mut admission = Admission::new(LIMITS);
    assert_eq!(offer_and_start(&mut admission, Class::Long, 0..6), [0, 1, 2]);
    assert_eq!(offer_and_start(&mut admission, Class::Quick, 10..11), [10]);
}

#[test]
fn long_requests_are_not_starved_by_quick_ones() {
    let mut admission = Admission::new(LIMITS);
    offer_and_start(&mut admission, Class::Quick, 0..8);
    admission.offer(arrival(100, "b", Class::Long, NO_DEADLINE), Millis(0)).unwrap();
    let mut running: Vec<u64> = (0..4).collect();
    for round in 0..4 {
        admission.finish(Ticket(running.remove(0)), true, Millis(round * 10));
        admission.offer(arrival(10 + round, "a", Class::Quick, NO_DEADLINE), Millis(0)).unwrap();
        running.extend(started(&schedule(&mut admission, Millis(round * 10))));
    }
    assert!(running.contains(&100), "{running:?}");
}

#[test]
fn one_workspace_cannot_fill_a_queue() {
    let mut admission = Admission::new(LIMITS);
    offer_and_start(&mut admission, Class::Long, 0..8);
    offer_and_start(&mut admission, Class::Long, 8..11);
    let refusal =
        admission.offer(arrival(20, "a", Class::Long, NO_DEADLINE), Millis(0)).unwrap_err();
    assert_eq!(refusal.code, ResultCode::QueueFull);
    assert!(refusal.retry_after_ms.is_some());
    admission.offer(arrival(21, "b", Class::Long, NO_DEADLINE), Millis(0)).unwrap();
    admission.finish(Ticket(0), true, Millis(5));
    admission.finish(Ticket(1), true, Millis(5));
    assert!(started(&schedule(&mut admission, Millis(5))).contains(&21));
}

#[test]
fn a_request_that_cannot_finish_before_its_deadline_is_refused_at_once() {
    let mut admission = Admission::new(LIMITS);
    offer_and_start(&mut admission, Class::Long, 0..3);
    admission.finish(Ticket(0), true, Millis(1_000));
    let late = arrival(9, "b", Class::Long, Millis(1_500));
    let refusal = admission.offer(late, Millis(1_000)).unwrap_err();
    assert_eq!(refusal.code, ResultCode::DeadlineTooShort);
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn a_queued_request_is_refused_once_it_cannot_finish_before_its_deadline() {
    let mut admission = Admission::new(LIMITS);
    offer_and_start(&mut admission, Class::Long, 0..3);
    admission.offer(arrival(9, "b", Class::Long, Millis(400)), Millis(0)).unwrap();
    let decisions = schedule(&mut admission, Millis(400));
    assert!(matches!(&decisions[..], [Decision::Refuse(Ticket(9), _)]), "{decisions:?}");
}

#[test]
fn a_suspect_runs_alone() {
    let mut admission = Admission::new(LIMITS);
    offer_and_start(&mut admission, Class::Long, 0..2);
    let suspect = Arrival { alone: true, ..arrival(5, "b", Class::Long, NO_DEADLINE) };
    admission.offer(suspect, Millis(0)).unwrap();
    assert!(schedule(&mut admission, Millis(0)).is_empty());
    admission.finish(Ticket(0), true, Millis(1));
    admission.finish(Ticket(1), true, Millis(1));
    assert_eq!(started(&schedule(&mut admission, Millis(1))), [5]);
    assert!(offer_and_start(&mut admission, Class::Quick, 6..7).is_empty());
    admission.finish(Ticket(5), true, Millis(2));
    assert_eq!(started(&schedule(&mut admission, Millis(2))), [6]);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer { class: u8, workspace: u8, deadline: u64 },
    Finish { nth: usize },
    Withdraw { ticket: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..4u8, 0..4u8, 1..5_000u64)
            .prop_map(|(class, workspace, deadline)| Step::Offer { class, workspace, deadline }),
        2 => (0..8usize).prop_map(|nth| Step::Finish { nth }),
        1 => (0..200u64).prop_map(|ticket| Step::Withdraw { ticket }),
    ]
}

proptest! {
    /// Each accepted request gets at most one decision, and no bound is exceeded.
    #[test]
    fn each_request_is_decided_once(steps in proptest::collection::vec(step(), 1..200)) {
        let mut admission = Admission::new(LIMITS);
        let mut waiting: Vec<u64> = Vec::new();
        let mut running: Vec<(u64, u8)> = Vec::new();
        let mut classes: Vec<u8> = Vec::new();
        let mut now = 0;
        for step in steps {
            now += 7;
            match step {
                Step::Offer { class, workspace, deadline } => {
                    let ticket = classes.len() as u64;
                    let kind = [Class::Quick, Class::Long, Class::Check, Class::Action];
                    let deadline = Millis(now + deadline);
                    let name = workspace.to_string();
                    let offer = arrival(ticket, &name, kind[class as usize], deadline);
                    classes.push(class);
                    if admission.offer(offer, Millis(now)).is_ok() {
                        waiting.push(ticket);
                    }
                }
                Step::Finish { nth } if nth < running.len() => {
                    let (ticket, _) = running.swap_remove(nth);
                    admission.finish(Ticket(ticket), true, Millis(now));
                }
                Step::Finish { .. } => {}
                Step::Withdraw { ticket } => {
                    let waited = waiting.contains(&ticket);
                    prop_assert_eq!(admission.withdraw(Ticket(ticket)), waited);
                    waiting.retain(|queued| *queued != ticket);
                }
            }
            for decision in schedule(&mut admission, Millis(now)) {
                let (Decision::Start(ticket) | Decision::Refuse(ticket, _)) = decision.clone();
                prop_assert!(waiting.contains(&ticket.0));
                waiting.retain(|queued| *queued != ticket.0);
                if matches!(decision, Decision::Start(_)) {
                    running.push((ticket.0, classes[ticket.0 as usize]));
                }
            }
            let other_running = running.iter().filter(|(_, class)| *class != 0).count() as u32;
            prop_assert!(running.len() as u32 <= LIMITS.slots);
            prop_assert!(other_running <= LIMITS.slots - LIMITS.quick_slots);
            prop_assert_eq!(admission.running(), running.len());
            prop_assert_eq!(admission.queued(), waiting.len());
            // No slot stays idle while a request that may use it is queued.
            let may_wait = running.len() as u32 == LIMITS.slots
                || (other_running == LIMITS.slots - LIMITS.quick_slots
                    && waiting.iter().all(|ticket| classes[*ticket as usize] != 0));
            prop_assert!(waiting.is_empty() || may_wait);
        }
    }
}
