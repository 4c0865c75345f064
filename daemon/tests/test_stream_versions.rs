//! Streams before targets of several software versions: what one version began goes on at that
//! version only, within an answer and for callers that take it up, or not at all.

use std::path::Path;
use std::time::Duration;

use rosemarymoor_platform_standins::caller::Answer;
use rosemarymoor_platform_standins::fixtures::{
    all_events, begin_stream, call, events, script, stream_request,
};
use rosemarymoor_platform_standins::fleet::PlatformFleet;
use rosemarymoor_platform_standins::target::{ReceivedRequest, Step, TargetStandIn};
use rosemarymoor_testutils::process::Process;

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Time in which an entry has applied a changed registration, and servers have got a report.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Events of a whole stream.
const EVENTS: u64 = 9;

/// One entry before targets `t0`, `t1` and so on, with two budget servers.
struct VersionedFleet {
    fleet: PlatformFleet,
    targets: Vec<TargetStandIn>,
    versions: Vec<&'static str>,
    servers: Vec<Process>,
}

impl VersionedFleet {
    /// Starts targets of these versions that answer by a closure; an empty version is left out of
    /// the registration.
    async fn open(
        versions: &[&'static str],
        answer: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> VersionedFleet {
        let answer = script(answer);
        let mut targets = Vec::new();
        for _ in versions {
            targets.push(TargetStandIn::spawn(answer.clone()).await.unwrap());
        }
        let listed: Vec<_> = targets.iter().map(|target| ("models", target)).collect();
        let fleet = PlatformFleet::open(Path::new(BINARY), &listed).await.unwrap();
        let servers = vec![
            fleet.start_budget_server("side-1").await.unwrap(),
            fleet.start_budget_server("side-2").await.unwrap(),
        ];
        let fleet = VersionedFleet { fleet, targets, versions: versions.to_vec(), servers };
        fleet.register_all().await;
        fleet
    }

    /// Writes the registrations of all targets.
    async fn register_all(&self) {
        for (index, (target, version)) in self.targets.iter().zip(&self.versions).enumerate() {
            let (id, address) = (format!("t{index}"), target.address());
            self.fleet.store.register_version(&id, "models", address, "ready", version);
        }
        tokio::time::sleep(SETTLE_TIME).await;
    }

    /// Begins a stream, reads its first two events and closes the connection.
    async fn begin(&self, id: &str) {
        begin_stream(&self.fleet, id).await;
        tokio::time::sleep(SETTLE_TIME).await;
    }

    /// Gives the targets these versions, begins a stream, and ends the registration of its target.
    async fn begin_and_lose_target(&mut self, id: &str, versions: &[&'static str]) {
        self.versions = versions.to_vec();
        self.register_all().await;
        self.begin(id).await;
        self.fleet.store.unregister(&format!("t{}", self.reached(&[id])[0]));
        tokio::time::sleep(SETTLE_TIME).await;
    }

    /// Takes a stream up after its second event; `began_as` are the requests that the caller names.
    async fn take_up(&self, id: &str, began_as: &[&str]) -> Answer {
        call(&self.fleet, &stream_request("/resume/1", id).taking_up(2, began_as)).await
    }

    /// Kills the entry and starts it again, which knows nothing of earlier requests then.
    async fn replace_entry(&mut self) {
        self.fleet.entry.kill();
        self.fleet.entry.restart().unwrap();
        self.fleet.wait_ready().await.unwrap();
        tokio::time::sleep(SETTLE_TIME * 5).await;
    }

    /// Returns the indexes of the targets that got the requests with these ids, in their order.
    fn reached(&self, ids: &[&str]) -> Vec<usize> {
        let mut arrivals = Vec::new();
        for (index, target) in self.targets.iter().enumerate() {
            let received = target.received().into_iter();
            let received = received.filter(|received| ids.contains(&received.attempt_id()));
            arrivals.extend(received.map(|received| (received.received_at, index)));
        }
        arrivals.sort();
        arrivals.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns the versions that got the requests with these ids, in their order.
    fn reached_versions(&self, ids: &[&str]) -> Vec<&'static str> {
        self.reached(ids).into_iter().map(|index| self.versions[index]).collect()
    }
}

/// Breaks whole streams after four events, and goes on with those that are taken up.
fn breaks_after_four(received: &ReceivedRequest) -> Vec<Step> {
    if let Some(after) = received.header("last-event-id") {
        return events(received, after.parse().unwrap(), EVENTS, Duration::ZERO);
    }
    let mut steps = events(received, 0, 4, Duration::ZERO);
    steps.pop();
    steps.extend([Step::Wait(Duration::from_millis(50)), Step::Reset]);
    steps
}

/// Sends whole streams slowly, and the rest of those that are taken up at once.
fn slow_beginning(received: &ReceivedRequest) -> Vec<Step> {
    match received.header("last-event-id") {
        Some(after) => events(received, after.parse().unwrap(), EVENTS, Duration::ZERO),
        None => events(received, 0, EVENTS, Duration::from_millis(100)),
    }
}

/// Returns the events after the second one.
fn rest_of_stream() -> String {
    all_events(EVENTS).split_off(all_events(2).len())
}

#[tokio::test]
async fn a_broken_answer_goes_on_at_the_version_that_began_it() {
    let fleet = VersionedFleet::open(&["v1", "v2", "v1", "v2"], breaks_after_four).await;
    for request in 0..6 {
        let id = format!("r{request}");
        let answer = call(&fleet.fleet, &stream_request(&format!("/resume/{id}"), &id)).await;
        assert_eq!((answer.complete, answer.text()), (true, all_events(EVENTS)));
        let versions = fleet.reached_versions(&[&id]);
        assert_eq!(versions.len(), 2);
        assert_eq!(versions[0], versions[1], "{id}");
    }
}

#[tokio::test]
async fn a_broken_answer_does_not_go_on_at_another_version() {
    let fleet = VersionedFleet::open(&["v1", "v2"], breaks_after_four).await;
    let answer = call(&fleet.fleet, &stream_request("/resume/1", "r1")).await;
    assert_eq!((answer.complete, answer.text()), (false, all_events(4)));
    assert_eq!(fleet.reached(&["r1"]).len(), 1);
}

#[tokio::test]
async fn a_broken_answer_of_an_unnamed_version_does_not_go_on() {
    let fleet = VersionedFleet::open(&["", ""], breaks_after_four).await;
    let answer = call(&fleet.fleet, &stream_request("/resume/1", "r1")).await;
    assert_eq!((answer.complete, answer.text()), (false, all_events(4)));
}

/// Arrangements of two versions: whatever target begins a stream, in one of them the target that is
/// preferred next has another version.
const ARRANGEMENTS: [[&str; 4]; 3] =
    [["v1", "v2", "v1", "v2"], ["v1", "v1", "v2", "v2"], ["v1", "v2", "v2", "v1"]];

#[tokio::test]
async fn a_caller_takes_a_stream_up_at_the_version_that_began_it() {
    let mut fleet = VersionedFleet::open(&ARRANGEMENTS[0], slow_beginning).await;
    for (number, versions) in ARRANGEMENTS.iter().enumerate() {
        let ids = [format!("begun{number}"), format!("taken{number}")];
        fleet.begin_and_lose_target(&ids[0], versions).await;
        let answer = fleet.take_up(&ids[1], &[&ids[0]]).await;
        assert_eq!((answer.status, answer.complete, answer.text()), (200, true, rest_of_stream()));
        let reached = fleet.reached_versions(&[&ids[0], &ids[1]]);
        assert_eq!(reached[0], reached[1], "{versions:?}");
    }
}

#[tokio::test]
async fn a_stream_outlives_the_entry_that_began_it() {
    let mut fleet = VersionedFleet::open(&ARRANGEMENTS[0], slow_beginning).await;
    for (number, versions) in ARRANGEMENTS.iter().enumerate() {
        let ids = [format!("begun{number}"), format!("taken{number}")];
        fleet.begin_and_lose_target(&ids[0], versions).await;
        fleet.replace_entry().await;
        let answer = fleet.take_up(&ids[1], &[&ids[0]]).await;
        assert_eq!((answer.status, answer.complete, answer.text()), (200, true, rest_of_stream()));
        let reached = fleet.reached_versions(&[&ids[0], &ids[1]]);
        assert_eq!(reached[0], reached[1], "{versions:?}");
    }
}

/// Hosts are replaced one after the other, within the time of a stream.
///
/// Any server may be among those that are told of a stream, so that the test needs several.
#[tokio::test]
async fn a_stream_outlives_the_servers_that_were_told_of_it() {
    const STREAMS: u32 = 6;
    let mut fleet = VersionedFleet::open(&["v1", "v1"], slow_beginning).await;
    for name in ["side-3", "side-4"] {
        let server = fleet.fleet.start_budget_server(name).await.unwrap();
        fleet.servers.push(server);
    }
    for number in 0..STREAMS {
        fleet.begin(&format!("begun{number}")).await;
    }
    for index in 0..fleet.servers.len() - 1 {
        fleet.servers[index].terminate();
        assert_eq!(fleet.servers[index].wait_exit_code().await, Some(0));
    }
    fleet.replace_entry().await;
    for number in 0..STREAMS {
        let begun = format!("begun{number}");
        let answer = fleet.take_up(&format!("taken{number}"), &[&begun]).await;
        assert_eq!((answer.status, answer.complete, answer.text()), (200, true, rest_of_stream()));
    }
}

/// A caller names the attempt that brought the first event, also if another one went on since.
#[tokio::test]
async fn a_stream_that_was_taken_up_is_taken_up_again_at_its_version() {
    let mut fleet = VersionedFleet::open(&ARRANGEMENTS[0], slow_beginning).await;
    for (number, versions) in ARRANGEMENTS.iter().enumerate() {
        let ids = [format!("begun{number}"), format!("taken{number}"), format!("again{number}")];
        fleet.begin_and_lose_target(&ids[0], versions).await;
        for id in &ids[1..] {
            let answer = fleet.take_up(id, &[&ids[0]]).await;
            assert_eq!((answer.status, answer.text()), (200, rest_of_stream()));
            fleet.replace_entry().await;
        }
        let reached = fleet.reached_versions(&[&ids[0], &ids[1], &ids[2]]);
        assert_eq!(reached, [reached[0]; 3], "{versions:?}");
    }
}

/// A target that starts anew under its identifier may have another version.
#[tokio::test]
async fn a_target_that_started_anew_does_not_pass_for_the_version_before() {
    let fleet =
        VersionedFleet::open(&["v1", "v1"], |received| match received.header("last-event-id") {
            Some(_) => {
                let rest = events(received, 2, EVENTS, Duration::ZERO);
                [vec![Step::Wait(SETTLE_TIME * 2)], rest].concat()
            }
            None => events(received, 0, EVENTS, Duration::from_millis(100)),
        })
        .await;
    fleet.begin("begun").await;
    let taken = tokio::join!(fleet.take_up("taken", &["begun"]), async {
        tokio::time::sleep(SETTLE_TIME).await;
        for (index, target) in fleet.targets.iter().enumerate() {
            let (id, address) = (format!("t{index}"), target.address());
            fleet.fleet.store.register_version(&id, "models", address, "ready", "v2");
        }
    })
    .0;
    assert_eq!((taken.status, taken.seal()), (502, None));
    assert_eq!(fleet.reached(&["taken"]).len(), 1, "no other version is tried");
    let metrics = fleet.fleet.scrape().await;
    assert!(metrics.contains("outcome=\"other_version\""), "it is no crash: {metrics}");
}

/// Names each way in which an entry does not know what began a stream.
macro_rules! unknown_streams {
    ($($case:ident: $began_as:expr;)*) => {
        mod a_stream_whose_version_is_unknown_is_refused {
            use super::*;

            $(#[tokio::test]
            async fn $case() {
                let fleet = VersionedFleet::open(&["v1", "v1"], slow_beginning).await;
                let answer = fleet.take_up("taken", $began_as).await;
                assert_eq!((answer.status, answer.seal()), (503, None));
                assert!(fleet.reached(&["taken"]).is_empty(), "503 says that it did not run");
            })*
        }
    };
}

unknown_streams! {
    an_attempt_that_nobody_knows: &["nobody"];
    no_attempt_is_named: &[];
    two_attempts_are_named: &["one", "two"];
}

#[tokio::test]
async fn a_stream_whose_version_is_gone_is_refused() {
    let mut fleet = VersionedFleet::open(&["v1", "v1"], slow_beginning).await;
    fleet.begin("begun").await;
    fleet.versions = vec!["v2", "v2"];
    fleet.register_all().await;
    let answer = fleet.take_up("taken", &["begun"]).await;
    assert_eq!((answer.status, answer.seal()), (503, None));
    assert!(fleet.reached(&["taken"]).is_empty());
}
