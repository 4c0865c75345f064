//! Logs and metrics of a real entry.

use std::path::Path;
use std::time::Duration;

use rosemarymoor_daemon::direct::metrics::{DirectMetrics, MAX_ROUTES};
use rosemarymoor_daemon::health::Metrics;
use rosemarymoor_daemon::line_log::{LineKind, LineRateLimiter, finish_line};
use rosemarymoor_lib::dispatch::catalog::{CallKind, Route};
use rosemarymoor_platform_standins::caller::{Caller, CallerRequest};
use rosemarymoor_platform_standins::fixtures::{
    call, fleet, fleet_with_budget, ok, spend, stream_request, target, three_events,
};
use rosemarymoor_platform_standins::fleet::{LogOutput, PREPAID, PlatformFleet};
use rosemarymoor_platform_standins::target::Step;

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

#[tokio::test]
async fn an_unread_log_pipe_blocks_no_request() {
    let target = target(ok).await;
    let targets = [("calls", &target)];
    let fleet =
        PlatformFleet::open_with(Path::new(BINARY), &targets, PREPAID, LogOutput::UnreadPipe)
            .await
            .unwrap();
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    // A pipe buffers 64 KiB; the lines of these requests take several times as much.
    for at in 0..600 {
        let answer = caller.call(&CallerRequest::get("/safe/1", &format!("r{at}"))).await.unwrap();
        assert_eq!(answer.status, 200);
    }
}

#[test]
fn ordinary_lines_are_left_out_before_failures_and_warnings() {
    let limiter = LineRateLimiter::default();
    let count = |second, kind| (0..10_000).filter(|_| limiter.try_acquire(second, kind)).count();
    assert_eq!(count(1, LineKind::Ordinary), 500);
    assert_eq!(count(1, LineKind::Failure), 200);
    assert_eq!(count(1, LineKind::Warning), 100);
    assert_eq!(count(2, LineKind::Warning), 800);
    assert_eq!(count(2, LineKind::Ordinary), 0);
    assert_eq!(count(3, LineKind::Ordinary), 500);
}

#[tokio::test]
async fn refusals_are_logged_while_ordinary_lines_are_left_out() {
    let target = target(ok).await;
    let fleet = fleet(BINARY, &target).await;
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    // Each request logs three lines, which soon exceeds the ordinary lines allowed per second.
    for at in 0..600 {
        let answer = caller.call(&CallerRequest::get("/safe/1", &format!("r{at}"))).await.unwrap();
        assert_eq!(answer.status, 200);
        if at % 60 == 59 {
            let req = CallerRequest::get("/no-such-route", &format!("lost-{at}"));
            assert_eq!(caller.call(&req).await.unwrap().status, 404);
        }
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let log = fleet.entry.log();
    for at in (59..600).step_by(60) {
        assert!(log.contains(&format!("event=refused request=lost-{at} code=1004")), "{at}");
    }
}

#[tokio::test]
async fn a_request_is_logged_from_reservation_to_settlement() {
    let target = target(three_events).await;
    let fleet = fleet_with_budget(BINARY, &target, 10_000).await;
    call(&fleet, &stream_request("/stream/1", "r77")).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let log = fleet.entry.log();
    let expected = [
        "event=money_reserved request=r77",
        "event=admitted request=r77",
        "event=placed request=r77 try=1 target=t0",
        "event=stream_ended request=r77",
        "event=money_settled request=r77",
    ];
    let mut rest = log.as_str();
    for line in expected {
        let at = rest.find(line).unwrap_or_else(|| panic!("{line} is missing in order in\n{log}"));
        rest = &rest[at..];
    }
    assert!(log.contains("used=1012"), "{log}");
}

#[tokio::test]
async fn metrics_count_answers_and_refusals() {
    let target = target(three_events).await;
    let fleet = fleet_with_budget(BINARY, &target, 2_000).await;
    assert_eq!(spend(&fleet, 5).await, (1, 402));
    let text = fleet.scrape().await;
    for line in [
        "requests_total{kind=\"stream\",outcome=\"answered\",route=\"r/stream/\",otel_scope_name=\"direct-entry\"} 1",
        "refusals_total{code=\"2001\",otel_scope_name=\"direct-entry\"} 1",
        "tokens_charged_total{otel_scope_name=\"direct-entry\"} 1012",
        "catalog_version{otel_scope_name=\"direct-entry\"} 1",
    ] {
        assert!(text.contains(line), "{line} is missing in\n{text}");
    }
    for operation in ["get", "list", "write"] {
        let calls = format!("store_calls_total{{operation=\"{operation}\",outcome=\"served\"");
        assert!(text.contains(&calls), "{calls} is missing in\n{text}");
    }
    assert!(text.contains("store_call_ms_bucket") && text.contains("tokens_in_doubt"));
    assert!(text.contains("first_event_ms_bucket") && text.contains("money_ms_bucket"));
}

#[tokio::test]
async fn readiness_and_suspicion_are_logged_once_per_change() {
    let target = target(|received| {
        let is_bad = received.request_line().contains("/safe/bad");
        if is_bad { vec![Step::Reset] } else { ok(received) }
    })
    .await;
    let fleet = fleet(BINARY, &target).await;
    call(&fleet, &CallerRequest::get("/safe/bad", "r1")).await;
    for at in 0..8 {
        call(&fleet, &CallerRequest::get("/safe/good", &format!("g{at}"))).await;
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let log = fleet.entry.log();
    let count = |event: &str| log.matches(event).count();
    assert_eq!(count("event=readiness_changed is_ready=true"), 1, "{log}");
    assert_eq!(count("event=target_suspected target=t0"), 1, "{log}");
    assert_eq!(count("event=target_trusted target=t0"), 1, "{log}");
}

#[test]
fn routes_beyond_the_bound_share_a_label() {
    let metrics = Metrics::start().unwrap();
    let counted = DirectMetrics::open(&metrics.meter("test"));
    let route = Route {
        name: String::new(),
        host: String::new(),
        prefix: "/".to_owned(),
        kind: CallKind::Safe,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_secs(1),
        backends: Vec::new(),
        max_attempts: 1,
        priority: None,
        public: true,
        allowed_regions: Vec::new(),
    };
    for at in 0..MAX_ROUTES + 50 {
        let route = Route { name: format!("r{at:04}"), ..route.clone() };
        counted.count_request(&route, "answered", Duration::from_millis(1));
    }
    let text = metrics.text().unwrap();
    let labels = text.lines().filter(|line| line.starts_with("requests_total{")).count();
    assert_eq!(labels, MAX_ROUTES + 1);
    assert!(text.contains("route=\"other\",otel_scope_name=\"test\"} 50"), "{text}");
}

#[tokio::test]
async fn a_malformed_request_is_logged_and_counted() {
    let target = target(ok).await;
    let fleet = fleet(BINARY, &target).await;
    assert_eq!(call(&fleet, &CallerRequest::get("/safe/1", "")).await.status, 400);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(fleet.entry.log().contains("event=refused request=none code=1001"));
    let text = fleet.scrape().await;
    assert!(text.contains("refusals_total{code=\"1001\""), "{text}");
}

#[tokio::test]
async fn malformed_values_of_the_store_are_logged_and_counted() {
    let target = target(ok).await;
    let mut fleet = fleet(BINARY, &target).await;
    fleet.store.put("servers/t9", &serde_json::json!(["garbage"]));
    // After a restart the entry finds the registration in its first listing.
    fleet.entry.restart().unwrap();
    fleet.wait_ready().await.unwrap();
    fleet.store.put("op/config", &serde_json::json!({"version": "garbage"}));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(call(&fleet, &CallerRequest::get("/safe/1", "r1")).await.status, 200);
    let log = fleet.entry.log();
    assert!(log.contains("event=registration_malformed target=t9"), "{log}");
    assert!(log.contains("event=catalog_refused"), "{log}");
    let text = fleet.scrape().await;
    for kind in ["registration", "catalog"] {
        let line = format!("malformed_inputs_total{{kind=\"{kind}\"");
        assert!(text.contains(&line), "{line} is missing in\n{text}");
    }
}

/// Names in a line may come from other writers.
#[test]
fn a_line_break_in_a_name_begins_no_line() {
    let mut line = "event=target_vanished target=i\r\nevent=start \u{1b}[1m".to_owned();
    finish_line(&mut line, 0);
    assert_eq!(line, "event=target_vanished target=i\\r\\nevent=start \\u{1b}[1m\n");
}

#[test]
fn the_count_of_left_out_lines_is_never_cut_off() {
    let mut line = "ü".repeat(2_000);
    finish_line(&mut line, 12_345);
    assert!(line.ends_with("ü lines_left_out=12345\n"), "{line}");
    assert!(line.len() < 700, "{}", line.len());
}
