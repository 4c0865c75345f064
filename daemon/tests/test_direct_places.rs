//! Where requests go: evacuated data centres, cold targets and allowed regions.

use std::path::Path;
use std::time::{Duration, Instant};

use rosemarymoor_platform_standins::caller::{Answer, Caller, CallerRequest};
use rosemarymoor_platform_standins::fixtures::{
    all_events, call, events, ok, stream_request, target,
};
use rosemarymoor_platform_standins::fleet::{PREPAID, PlatformFleet, manifest};
use rosemarymoor_platform_standins::fleet_group::FleetGroup;
use rosemarymoor_platform_standins::store::StoreFault;
use rosemarymoor_platform_standins::target::{ReceivedRequest, Step, TargetStandIn};
use rustix::process::Signal;
use serde_json::{Value, json};

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Time until an entry has applied a change in the store.
const APPLIED: Duration = Duration::from_millis(700);

/// Requests a second that a cold target takes in these tests, and the most that it may get.
const COLD_PER_S: f64 = 4.0;
const MOST_IN_A_SECOND: usize = 11;

/// Starts an entry before the given targets of both services, each in its data centre.
async fn fleet(targets: &[(&TargetStandIn, &str)]) -> PlatformFleet {
    let both: Vec<_> =
        targets.iter().flat_map(|(target, _)| [("calls", *target), ("models", *target)]).collect();
    let fleet = PlatformFleet::open(Path::new(BINARY), &both).await.unwrap();
    for (number, (target, data_center)) in targets.iter().enumerate() {
        let (calls, models) = (format!("t{}", number * 2), format!("t{}", number * 2 + 1));
        fleet.store.register_at(&calls, "calls", target.address(), data_center, 0);
        fleet.store.register_at(&models, "models", target.address(), data_center, 0);
    }
    tokio::time::sleep(APPLIED).await;
    fleet
}

async fn calls(fleet: &PlatformFleet, name: &str, count: usize) -> Vec<Answer> {
    let mut answers = Vec::new();
    for number in 0..count {
        answers.push(call(fleet, &safe_call(&format!("{name}{number}"))).await);
    }
    answers
}

fn safe_call(id: &str) -> CallerRequest {
    CallerRequest::get("/safe/1", id)
}

fn count_status(answers: &[Answer], status: u16) -> usize {
    answers.iter().filter(|answer| answer.status == status).count()
}

#[tokio::test]
async fn an_evacuated_data_centre_gets_nothing_new_until_it_is_taken_back() {
    let (here, there) = (target(ok).await, target(ok).await);
    let fleet = fleet(&[(&here, "leics"), (&there, "paris")]).await;
    fleet.store.evacuate("leics");
    tokio::time::sleep(APPLIED).await;
    let before = here.received().len();
    assert_eq!(count_status(&calls(&fleet, "a", 20).await, 200), 20);
    assert_eq!((here.received().len(), there.received().len()), (before, 20));
    assert!(fleet.entry.log().contains("event=evacuated data_center=leics"));
    assert!(fleet.scrape().await.contains("data_centers_evacuated"));
    fleet.store.end_evacuation("leics");
    tokio::time::sleep(APPLIED).await;
    assert_eq!(count_status(&calls(&fleet, "b", 20).await, 200), 20);
    assert!(here.received().len() > before, "the nearer target serves again");
    assert!(fleet.entry.log().contains("event=evacuation_ended data_center=leics"));
}

#[tokio::test]
async fn a_service_whose_targets_are_all_evacuated_is_refused_at_once() {
    let target = target(ok).await;
    let fleet = fleet(&[(&target, "leics")]).await;
    fleet.store.evacuate("leics");
    tokio::time::sleep(APPLIED).await;
    let since = Instant::now();
    let answer = call(&fleet, &safe_call("r1")).await;
    assert!(since.elapsed() < Duration::from_secs(2), "its deadline is later");
    assert_eq!((answer.status, target.received().len()), (503, 0));
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
}

/// Answers a stream of nine events, of which the first three come at once; it breaks off after
/// them, or goes on a second later.
fn interrupted(received: &ReceivedRequest, is_broken: bool) -> Vec<Step> {
    let mut steps = events(received, 0, 3, Duration::ZERO);
    steps.pop();
    steps.push(Step::Wait(Duration::from_millis(900)));
    match is_broken {
        true => steps.push(Step::Reset),
        false => steps.extend(events(received, 3, 9, Duration::ZERO).split_off(1)),
    }
    steps
}

/// Answers the rest of a stream of nine events.
fn rest(received: &ReceivedRequest) -> Vec<Step> {
    let after = received.header("last-event-id").unwrap_or("0").parse().unwrap();
    events(received, after, 9, Duration::ZERO)
}

/// Begins a stream in data centre `leics`, which is evacuated meanwhile; returns its answer.
async fn evacuate_under_a_stream(fleet: &PlatformFleet) -> Answer {
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    let req = stream_request("/resume/1", "r1");
    let answer = tokio::spawn(async move { caller.call(&req).await.unwrap() });
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.store.evacuate("leics");
    answer.await.unwrap()
}

/// Only targets in `leics` are listed until the stream has begun.
async fn stream_fleet(here: [&TargetStandIn; 2], there: &TargetStandIn) -> PlatformFleet {
    let fleet = fleet(&[(here[0], "leics"), (here[1], "leics"), (there, "paris")]).await;
    fleet.store.put("op/evacuate/paris", &json!({}));
    tokio::time::sleep(APPLIED).await;
    fleet
}

#[tokio::test]
async fn a_stream_is_not_resumed_in_an_evacuated_data_centre() {
    let broken = |received: &ReceivedRequest| match received.header("last-event-id") {
        None => interrupted(received, true),
        Some(_) => rest(received),
    };
    let (one, two, there) = (target(broken).await, target(broken).await, target(rest).await);
    let fleet = stream_fleet([&one, &two], &there).await;
    fleet.store.end_evacuation("paris");
    // The first attempt has to begin here.
    fleet.store.evacuate("paris");
    tokio::time::sleep(APPLIED).await;
    let store = &fleet.store;
    let (answer, ()) = tokio::join!(evacuate_under_a_stream(&fleet), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        store.end_evacuation("paris");
    });
    assert_eq!((answer.complete, answer.text()), (true, all_events(9)));
    assert_eq!(one.received().len() + two.received().len(), 1, "it was resumed elsewhere");
    assert_eq!(there.received().len(), 1);
}

#[tokio::test]
async fn a_running_stream_goes_on_to_its_end() {
    let whole = |received: &ReceivedRequest| interrupted(received, false);
    let (one, two, there) = (target(whole).await, target(whole).await, target(rest).await);
    let fleet = stream_fleet([&one, &two], &there).await;
    let answer = evacuate_under_a_stream(&fleet).await;
    assert_eq!((answer.complete, answer.text()), (true, all_events(9)));
    assert_eq!(one.received().len() + two.received().len(), 1);
    assert!(there.received().is_empty());
}

/// Defines a test for each fault of the store while an entry is restarted during an evacuation.
macro_rules! restart_cases {
    ($($case:ident: $fault:expr, $is_ready:literal;)*) => {
        $(#[tokio::test]
        async fn $case() {
            let (here, there) = (target(ok).await, target(ok).await);
            let mut fleet = fleet(&[(&here, "leics"), (&there, "paris")]).await;
            fleet.store.evacuate("leics");
            tokio::time::sleep(APPLIED).await;
            fleet.store.set_fault($fault);
            fleet.entry.kill();
            fleet.entry.restart().unwrap();
            if !$is_ready {
                tokio::time::sleep(APPLIED * 2).await;
                assert_ne!(fleet.readiness().await, 200);
                fleet.store.set_fault(StoreFault::None);
            }
            while fleet.readiness().await != 200 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            assert_eq!(count_status(&calls(&fleet, "a", 10).await, 200), 10);
            assert_eq!((here.received().len(), there.received().len()), (0, 10));
        })*
    };
}

restart_cases! {
    an_entry_restarted_while_the_store_is_away_knows_evacuations: StoreFault::Unreachable, false;
    an_entry_restarted_while_the_store_is_slow_knows_evacuations: StoreFault::Slow, true;
    an_entry_restarted_with_a_sound_store_knows_evacuations: StoreFault::None, true;
}

#[tokio::test]
async fn an_evacuation_holds_while_the_store_is_away() {
    let (here, there) = (target(ok).await, target(ok).await);
    let fleet = fleet(&[(&here, "leics"), (&there, "paris")]).await;
    fleet.store.evacuate("leics");
    tokio::time::sleep(APPLIED).await;
    fleet.store.set_fault(StoreFault::Unreachable);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    calls(&fleet, "a", 5).await;
    fleet.store.end_evacuation("leics");
    fleet.store.compact_history();
    fleet.store.set_fault(StoreFault::None);
    assert_eq!(here.received().len(), 0);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    calls(&fleet, "b", 5).await;
    assert!(!here.received().is_empty(), "a list of the store that answers ends it");
}

#[tokio::test]
async fn an_evacuation_outlives_the_restore_of_an_older_copy() {
    let (here, there) = (target(ok).await, target(ok).await);
    let fleet = fleet(&[(&here, "leics"), (&there, "paris")]).await;
    fleet.store.state_era();
    tokio::time::sleep(APPLIED * 2).await;
    let copy = fleet.store.copy();
    fleet.store.evacuate("leics");
    tokio::time::sleep(APPLIED).await;
    fleet.store.restore(&copy);
    tokio::time::sleep(APPLIED * 2).await;
    calls(&fleet, "a", 5).await;
    assert_eq!(here.received().len(), 0, "the copy is older than the evacuation");
    fleet.store.evacuate("leics");
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    calls(&fleet, "b", 5).await;
    assert_eq!(here.received().len(), 0, "the operator has asked for it again");
}

/// Returns a configuration whose services have cold targets.
fn cold_manifest(version: u64) -> Value {
    let mut manifest = manifest(version, PREPAID);
    for service in manifest["services"].as_array_mut().unwrap() {
        service["cold_start_s"] = json!(3.0);
        service["cold_per_s"] = json!(COLD_PER_S);
    }
    manifest
}

/// Returns the most requests that reached a target within a second since a moment.
fn most_in_a_second(target: &TargetStandIn, since: Instant) -> usize {
    let mut times: Vec<Instant> =
        target.received().iter().map(|received| received.received_at).collect();
    times.retain(|at| *at >= since);
    times.sort();
    let in_window = |from: &Instant| {
        times.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(1)).count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Defines a test for each number of budget servers, and whether the first entry is cut off from the
/// store meanwhile. The load is a multiple of what the cold target takes.
macro_rules! cold_cases {
    ($($case:ident: $servers:literal, $is_cut:literal;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $case() {
            let (cold, warm) = (target(ok).await, target(ok).await);
            let group = FleetGroup::open(BINARY, 4, $servers, &[&cold, &warm]).await;
            group.fleet.store.put("op/config", &cold_manifest(2));
            group.fleet.store.register_at("t0", "calls", cold.address(), "leics", 8_000);
            tokio::time::sleep(APPLIED).await;
            group.fleet.store_link.set_cut($is_cut);
            let since = Instant::now();
            let answers = group.load("a", 5, safe_call).await;
            assert_eq!(count_status(&answers, 200), answers.len(), "the warm target has room");
            let most = most_in_a_second(&cold, since);
            assert!(most <= MOST_IN_A_SECOND, "{most} requests in a second");
            assert!(group.fleet.entry.log().contains("event=target_cold target=t0"));
            if $servers > 0 {
                assert!(most >= 2, "the limit is used");
            }
        })*
    };
}

cold_cases! {
    entries_keep_the_limit_of_a_cold_target_with_issuers: 2, false;
    entries_without_issuers_keep_the_limit_of_a_cold_target: 0, false;
    entries_of_which_one_lost_the_store_keep_the_limit_of_a_cold_target: 0, true;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_load_returns_step_by_step_after_an_evacuation() {
    let (here, there) = (target(ok).await, target(ok).await);
    let group = FleetGroup::open(BINARY, 4, 2, &[&here, &there]).await;
    let store = &group.fleet.store;
    store.put("op/config", &cold_manifest(2));
    for (id, target, data_center) in [("t0", &here, "leics"), ("t2", &there, "paris")] {
        store.register_at(id, "calls", target.address(), data_center, 0);
    }
    store.evacuate("leics");
    tokio::time::sleep(APPLIED).await;
    let since = Instant::now();
    store.end_evacuation("leics");
    let answers = group.load("a", 2, safe_call).await;
    assert_eq!(count_status(&answers, 200), answers.len());
    let most = most_in_a_second(&here, since);
    assert!((1..=MOST_IN_A_SECOND).contains(&most), "{most} requests in a second");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let since = Instant::now();
    group.load("b", 2, safe_call).await;
    assert!(most_in_a_second(&here, since) > MOST_IN_A_SECOND, "it takes its share again");
}

/// Defines a test for each place that may name allowed regions.
macro_rules! region_cases {
    ($($case:ident: $regions:expr, $limit:expr => $here:literal, $there:literal, $status:literal;)*) => {
        $(#[tokio::test]
        async fn $case() {
            let (here, there) = (target(ok).await, target(ok).await);
            let fleet = fleet(&[(&here, "leics"), (&there, "paris")]).await;
            fleet.write_entry_settings(|text| format!("{text}{}", $regions)).unwrap();
            fleet.entry.signal(Signal::HUP);
            let mut limited = manifest(2, PREPAID);
            let limit: fn(&mut Value) = $limit;
            limit(&mut limited);
            fleet.store.put("op/config", &limited);
            tokio::time::sleep(APPLIED).await;
            let answers = calls(&fleet, "a", 4).await;
            assert_eq!(count_status(&answers, $status), 4);
            assert_eq!((here.received().len(), there.received().len()), ($here, $there));
        })*
    };
}

const REGIONS: &str = "[regions]\nleics = west\nparis = east\n";

region_cases! {
    a_route_goes_to_its_allowed_regions: REGIONS, |m| m["routes"][0]["allowed_regions"] = json!(["east"]) => 0, 4, 200;
    a_workspace_goes_to_its_allowed_regions: REGIONS, |m| m["tenants"][0]["allowed_regions"] = json!(["east"]) => 0, 4, 200;
    both_lists_bind: REGIONS, |m| {
        m["routes"][0]["allowed_regions"] = json!(["east", "west"]);
        m["tenants"][0]["allowed_regions"] = json!(["east"]);
    } => 0, 4, 200;
    lists_without_a_common_region_are_refused: REGIONS, |m| {
        m["routes"][0]["allowed_regions"] = json!(["west"]);
        m["tenants"][0]["allowed_regions"] = json!(["east"]);
    } => 0, 0, 503;
    unknown_regions_are_refused: "", |m| m["routes"][0]["allowed_regions"] = json!(["west"]) => 0, 0, 503;
    other_routes_go_anywhere: REGIONS, |m| m["routes"][1]["allowed_regions"] = json!(["east"]) => 4, 0, 200;
}
