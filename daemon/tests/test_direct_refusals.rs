//! Targets that turn requests away without asking for a pause.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rosemarymoor_platform_standins::caller::{Answer, CallerRequest};
use rosemarymoor_platform_standins::fixtures::{ok, target};
use rosemarymoor_platform_standins::fleet_group::FleetGroup;
use rosemarymoor_platform_standins::target::{Step, TargetStandIn, not_run};

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

fn safe_call(id: &str) -> CallerRequest {
    CallerRequest::get(&format!("/safe/{id}"), id)
}

/// Starts a target that turns all requests away while a flag is set.
async fn refusing_target(is_refusing: &Arc<AtomicBool>) -> TargetStandIn {
    let is_refusing = is_refusing.clone();
    target(move |received| match is_refusing.load(Ordering::Relaxed) {
        true => vec![Step::Send(not_run(received))],
        false => ok(received),
    })
    .await
}

fn count_refused(answers: &[Answer]) -> usize {
    answers.iter().filter(|answer| answer.status == 503).count()
}

fn received_since(target: &TargetStandIn, since: Instant) -> usize {
    target.received().iter().filter(|received| received.received_at > since).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_refuses_everything_costs_callers_nothing() {
    let refusing = refusing_target(&Arc::new(AtomicBool::new(true))).await;
    let serving = target(ok).await;
    let fleet = FleetGroup::open(BINARY, 3, 1, &[&refusing, &serving]).await;
    let answers = fleet.load("a", 14, safe_call).await;
    let refused = count_refused(&answers);
    assert!(refused * 50 < answers.len(), "{refused} of {} are refused", answers.len());
    let received = refusing.received().len();
    assert!(received * 10 < answers.len(), "{received} requests go to the refusing target");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_refuses_is_not_hammered_and_comes_back_at_once() {
    let is_refusing = Arc::new(AtomicBool::new(true));
    let (one, other) = (refusing_target(&is_refusing).await, refusing_target(&is_refusing).await);
    let fleet = FleetGroup::open(BINARY, 3, 1, &[&one, &other]).await;
    fleet.load("a", 3, safe_call).await;
    let since = Instant::now();
    let refused = fleet.load("b", 4, safe_call).await;
    assert_eq!(count_refused(&refused), refused.len());
    let received = received_since(&one, since) + received_since(&other, since);
    assert!(received < refused.len(), "{received} requests for {} calls", refused.len());
    assert!(refused.iter().all(|answer| answer.header("retry-after").is_some()));
    is_refusing.store(false, Ordering::Relaxed);
    fleet.load("c", 1, safe_call).await;
    assert_eq!(count_refused(&fleet.load("d", 3, safe_call).await), 0, "it is back after 1 s");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_refuses_now_and_then_keeps_its_share() {
    let moment = Instant::now();
    let sometimes = target(move |received| match moment.elapsed().as_millis() % 1_000 < 150 {
        true => vec![Step::Send(not_run(received))],
        false => vec![Step::Wait(Duration::from_millis(5)), ok(received).remove(0)],
    })
    .await;
    let other = target(ok).await;
    let fleet = FleetGroup::open(BINARY, 3, 1, &[&sometimes, &other]).await;
    let answers = fleet.load("a", 10, safe_call).await;
    let refused = count_refused(&answers);
    assert!(refused * 50 < answers.len(), "{refused} of {} are refused", answers.len());
    let received = sometimes.received().len();
    assert!(received * 4 > answers.len(), "{received} of {} go to it", answers.len());
}
