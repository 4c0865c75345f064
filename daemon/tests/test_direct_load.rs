//! News of targets' load, from the process beside a target to the entries.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rosemarymoor_platform_standins::caller::CallerRequest;
use rosemarymoor_platform_standins::fixtures::{events, reporting_target, stream_request};
use rosemarymoor_platform_standins::fleet::{LogOutput, PlatformFleet};
use rosemarymoor_platform_standins::target::{ReceivedRequest, Step, TargetStandIn};

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Longest wait for a state that is awaited.
const TIMEOUT: Duration = Duration::from_secs(30);

const REPORT: &str = r#"{"waiting":1,"running":2,"kv_used":500,"kv_total":1000,
    "runs":[["a",100,0,5],["b",40,3,5]]}"#;
const CHANGES: &str = r#"{"epoch":1,"next":2,"lost":false,"events":[[1,"+","","5c1e",800,"m"]]}"#;

fn json(body: &str) -> Vec<Step> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    vec![Step::Send((head + body).into_bytes())]
}

/// Answers as a target with an engine does, and to requests with a long stream.
fn answer(received: &ReceivedRequest) -> Vec<Step> {
    let line = received.request_line();
    if line.starts_with("GET /report ") {
        json(REPORT)
    } else if line.starts_with("GET /kv-events?since=0 ") {
        json(CHANGES)
    } else if line.starts_with("GET /kv-events?since=2 ") {
        let mut steps = vec![Step::Wait(Duration::from_millis(1_000))];
        steps.extend(json(r#"{"epoch":1,"next":2,"lost":false,"events":[]}"#));
        steps
    } else {
        events(received, 0, 200, Duration::from_millis(100))
    }
}

async fn open(targets: &[&TargetStandIn]) -> PlatformFleet {
    let listed: Vec<_> = targets.iter().map(|target| ("models", *target)).collect();
    PlatformFleet::open_with(BINARY.as_ref(), &listed, 1_000_000, LogOutput::File).await.unwrap()
}

/// Returns the value of a metric of the entry, summed over its labels.
async fn metric(fleet: &PlatformFleet, name: &str) -> f64 {
    let text = fleet.scrape().await;
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Waits until a metric of the entry fulfils a condition.
async fn await_metric(fleet: &PlatformFleet, name: &str, is_met: impl Fn(f64) -> bool) {
    let since = Instant::now();
    while !is_met(metric(fleet, name).await) {
        assert!(since.elapsed() < TIMEOUT, "{name}: {}", fleet.scrape().await);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Keeps requests open at the entry until it is dropped.
struct Load(Vec<tokio::task::JoinHandle<()>>);

impl Load {
    fn start(fleet: &PlatformFleet) -> Load {
        let callers = fleet.callers;
        Load(vec![tokio::spawn(async move {
            for index in 0.. {
                let req: CallerRequest =
                    stream_request(&format!("/stream/{index}"), &format!("s{index}"));
                let caller = rosemarymoor_platform_standins::caller::Caller::connect(callers).await;
                let _ = caller.expect("the entry accepts").call(&req).await;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        })])
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.0.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn news_reach_an_entry_and_a_killed_collector_is_replaced() {
    let (first, second) = (reporting_target(answer).await, reporting_target(answer).await);
    let fleet = open(&[&first, &second]).await;
    let mut servers = vec![
        ("b1", fleet.start_server_beside("b1", first.address()).await.unwrap()),
        ("b2", fleet.start_server_beside("b2", second.address()).await.unwrap()),
    ];
    let _load = Load::start(&fleet);
    await_metric(&fleet, "targets_reported", |count| count == 2.0).await;
    let (_, killed) = servers.remove(0);
    drop(killed);
    let before = metric(&fleet, "load_news_total").await;
    await_metric(&fleet, "load_news_total", |count| count > before + 10.0).await;
    await_metric(&fleet, "load_news_age_ms", |age_ms| age_ms < 500.0).await;
    await_metric(&fleet, "targets_reported", |count| count >= 1.0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_without_an_engine_is_asked_seldom() {
    let is_asked = Arc::new(AtomicBool::new(false));
    let asked = is_asked.clone();
    let plain = reporting_target(move |received| {
        if !received.request_line().starts_with("GET /report ") {
            return events(received, 0, 200, Duration::from_millis(100));
        }
        asked.store(true, Ordering::Relaxed);
        vec![Step::Send(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_vec())]
    })
    .await;
    let fleet = open(&[&plain]).await;
    let _server = fleet.start_server_beside("b1", plain.address()).await.unwrap();
    let _load = Load::start(&fleet);
    await_metric(&fleet, "load_news_total", |count| count > 10.0).await;
    assert!(is_asked.load(Ordering::Relaxed));
    assert_eq!(metric(&fleet, "targets_reported").await, 0.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_target_in_the_settings_nothing_is_read() {
    let plain = reporting_target(answer).await;
    let fleet = open(&[&plain]).await;
    let _server = fleet.start_budget_server("b1").await.unwrap();
    let _load = Load::start(&fleet);
    await_metric(&fleet, "load_news_total{outcome=\"no_board\"", |count| count >= 1.0).await;
    let is_report = |received: &ReceivedRequest| received.request_line().contains("/report");
    assert!(!plain.received().iter().any(is_report));
}
