//! Logs and metrics of a real entry.

use std::path::Path;
use std::time::Duration;

use rosemarymoor_platform_standins::caller::{Caller, CallerRequest};
use rosemarymoor_platform_standins::fleet::{LogReader, PREPAID, PlatformFleet};
use rosemarymoor_platform_standins::scene::{
    call, ok, rich_fleet, spend, stream_request, target, three_events,
};

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

#[tokio::test]
async fn a_log_that_nobody_reads_holds_no_request_up() {
    let target = target(ok).await;
    let targets = [("calls", &target)];
    let fleet =
        PlatformFleet::with(Path::new(BINARY), &targets, PREPAID, LogReader::Nobody).await.unwrap();
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    // A pipe takes 64 KiB; these lines are several times as much.
    for at in 0..600 {
        let answer = caller.call(&CallerRequest::get("/safe/1", &format!("r{at}"))).await.unwrap();
        assert_eq!(answer.status, 200);
    }
}

#[tokio::test]
async fn a_request_is_told_from_admission_to_settlement() {
    let target = target(three_events).await;
    let fleet = rich_fleet(BINARY, &target, 10_000).await;
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
async fn metrics_count_what_callers_got() {
    let target = target(three_events).await;
    let fleet = rich_fleet(BINARY, &target, 2_000).await;
    assert_eq!(spend(&fleet, 5).await, (1, 402));
    let text = fleet.scrape().await;
    for line in [
        "requests_total{kind=\"stream\",outcome=\"answered\",otel_scope_name=\"direct-entry\"} 1",
        "refusals_total{code=\"2001\",otel_scope_name=\"direct-entry\"} 1",
        "tokens_charged_total{otel_scope_name=\"direct-entry\"} 1012",
        "catalog_version{otel_scope_name=\"direct-entry\"} 1",
    ] {
        assert!(text.contains(line), "{line} is missing in\n{text}");
    }
    assert!(text.contains("first_event_ms_bucket") && text.contains("money_ms_bucket"));
}
