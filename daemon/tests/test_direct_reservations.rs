//! Reservations, top-ups and returned tokens with real entries and budget servers.

use std::time::Duration;

use rosemarymoor_platform_standins::fixtures::{fleet_with_budget, spend, target, three_events};
use rosemarymoor_platform_standins::fleet::manifest;
use rustix::process::Signal;

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

#[tokio::test]
async fn a_budget_is_spent_up_to_its_limit() {
    let target = target(three_events).await;
    let fleet = fleet_with_budget(BINARY, &target, 10_000).await;
    assert_eq!(spend(&fleet, 20).await, (9, 402));
    assert_eq!(target.received().len(), 9);
}

#[tokio::test]
async fn a_top_up_is_credited_once() {
    let target = target(three_events).await;
    let fleet = fleet_with_budget(BINARY, &target, 2_000).await;
    assert_eq!(spend(&fleet, 5).await, (1, 402));
    fleet.store.put("op/config", &manifest(2, 4_000));
    fleet.store.put("op/config", &manifest(3, 4_000));
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(spend(&fleet, 5).await, (2, 402));
}

#[tokio::test]
async fn an_entry_reserves_tokens_after_its_budget_server_was_killed() {
    let target = target(three_events).await;
    let fleet = fleet_with_budget(BINARY, &target, 200_000).await;
    let mut server = fleet.start_budget_server("side-1").await.unwrap();
    assert_eq!(spend(&fleet, 20).await.0, 20);
    assert!(!server.log().contains("money_refused"));
    server.kill();
    assert_eq!(spend(&fleet, 20).await.0, 20, "the entry reserves tokens itself");
}

#[tokio::test]
async fn a_stopping_budget_server_returns_its_tokens() {
    let target = target(three_events).await;
    let fleet = fleet_with_budget(BINARY, &target, 10_000).await;
    let mut server = fleet.start_budget_server("side-1").await.unwrap();
    assert_eq!(spend(&fleet, 4).await.0, 4);
    server.signal(Signal::TERM);
    assert_eq!(server.wait_exit_code().await, Some(0));
    let spent = spend(&fleet, 20).await;
    assert_eq!(spent, (5, 402), "all remaining tokens can be spent");
}
