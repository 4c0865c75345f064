//! Targets of sidecars that name a limit of requests a second.

use std::time::{Duration, Instant};

use rosemarymoor_lib::result_code::ResultCode;
use rosemarymoor_lib::wire::{PeerRequest, RunFrame, RunRequest};
use rosemarymoor_platform_standins::limits::{Delivery, excesses};
use rosemarymoor_testutils::engine::{EngineSettings, EngineStandIn};
use tokio::task::JoinSet;

use crate::sidecar_env::*;

/// Pause between two requests.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time in which the sidecar learns of a limit.
const SETTLING: Duration = Duration::from_secs(1);

/// Sends short requests for some time; returns the last frames of their answers.
async fn load(sidecar: &SidecarEnvironment, name: &str, time: Duration) -> Vec<RunFrame> {
    let (mut calls, begun) = (JoinSet::new(), Instant::now());
    let mut count = 0;
    while begun.elapsed() < time {
        let req = RunRequest {
            deadline_ms: 3_000,
            ..model_request("engine", &format!("{name}{count}"), 2)
        };
        let stream = sidecar.open(PeerRequest::Run(Box::new(req))).await;
        calls.spawn(async move { read_to_end(stream).await.last.expect("the stream ends") });
        count += 1;
        tokio::time::sleep(INTERVAL).await;
    }
    calls.join_all().await
}

fn answered(frames: &[RunFrame]) -> usize {
    frames.iter().filter(|frame| matches!(frame, RunFrame::End { .. })).count()
}

/// Asserts that the engine got no more than its limit allows since a moment, with load reports and
/// cancellations.
fn assert_within_limit(engine: &EngineStandIn, since: Instant, limit: f64) {
    let counted = engine.arrivals().into_iter().filter(|at| *at > since);
    let deliveries: Vec<Delivery> =
        counted.map(|at| Delivery { entry: 0, at, told_at: Some(since) }).collect();
    let excesses = excesses(&deliveries, &[(since, Some(limit))], |_, _, _| false);
    assert!(excesses.is_empty(), "{} windows, first {:?}", excesses.len(), excesses[0]);
}

/// Defines a test for each limit, with the least number of requests that are answered in 8 s.
macro_rules! limit_cases {
    ($($case:ident: $limit:literal => $answered:literal;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $case() {
            let mut platform = Platform::start().await;
            let engine = EngineStandIn::bind(EngineSettings::default(), 7).await.unwrap();
            let sidecar = platform.sidecar("engine", engine.server().url()).await;
            engine.set_faults(|faults| faults.limit = Some($limit.to_owned()));
            load(&sidecar, "a", SETTLING).await;
            let since = Instant::now();
            let frames = load(&sidecar, "b", Duration::from_secs(8)).await;
            assert_within_limit(&engine, since, $limit.parse().unwrap());
            assert!(answered(&frames) >= $answered, "{} answered", answered(&frames));
            for frame in frames.iter().filter(|frame| !matches!(frame, RunFrame::End { .. })) {
                let RunFrame::Refused { refusal, charge: 0 } = frame else { panic!("{frame:?}") };
                assert_eq!(refusal.code, ResultCode::QueueFull);
                assert!(refusal.retry_after_ms.is_some());
            }
            engine.set_faults(|faults| faults.limit = None);
            tokio::time::sleep(Duration::from_secs(8)).await;
            let frames = load(&sidecar, "c", SETTLING).await;
            assert_eq!(answered(&frames), frames.len(), "the limit has ended");
        })*
    };
}

limit_cases! {
    a_sidecar_keeps_a_limit_of_one: "1" => 4;
    a_sidecar_keeps_a_limit_of_half_a_request: "0.5" => 2;
    a_sidecar_uses_a_limit_of_four: "4" => 16;
}
