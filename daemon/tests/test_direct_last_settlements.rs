//! What an entry that stops tells its budget server of the last requests, with real processes.

use std::time::Duration;

use rosemarymoor_platform_standins::caller::Caller;
use rosemarymoor_platform_standins::fixtures::{events, fleet_with_budget, stream_request, target};

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Time between events, and their number: the stream ends when the entry waits for nothing else.
const EVENT_INTERVAL: Duration = Duration::from_millis(500);
const EVENTS: u64 = 9;

/// Guards against a stream whose tokens all count as spent because its entry ends with it.
#[tokio::test]
async fn the_last_stream_of_an_entry_is_settled() {
    let target = target(|received| events(received, 0, EVENTS, EVENT_INTERVAL)).await;
    let mut fleet = fleet_with_budget(BINARY, &target, 100_000).await;
    let server = fleet.start_budget_server("side-1").await.unwrap();
    let mut caller = Caller::connect(fleet.callers).await.unwrap();
    caller.send(&stream_request("/stream/1", "last").bytes()).await.unwrap();
    assert!(caller.read_until("piece 1").await);
    fleet.entry.terminate();
    assert!(caller.answer().await.is_some_and(|answer| answer.complete));
    assert_eq!(fleet.entry.wait_exit_code().await, Some(0));
    let log = server.log();
    let count = |event: &str| log.matches(event).count();
    assert_eq!((count("event=reserved "), count("event=settled ")), (1, 1), "{log}");
}
