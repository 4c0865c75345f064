//! Odd entries of other writers in the store, among those of the targets and of the fleet: no process
//! ends or stops following, and the other entries hold.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use rosemarymoor_platform_standins::caller::{Caller, CallerRequest};
use rosemarymoor_platform_standins::fixtures::{call, ok, stream_request, target, three_events};
use rosemarymoor_platform_standins::fleet::{PREPAID, PlatformFleet, Process, manifest_for};
use rosemarymoor_platform_standins::store::StoreStandIn;
use rosemarymoor_platform_standins::target::{ReceivedRequest, Step, TargetStandIn};
use serde_json::json;

const BINARY: &str = env!("CARGO_BIN_EXE_rosemarymoord");

/// Time within which a change in the store is in force everywhere.
const FOLLOW_TIME: Duration = Duration::from_secs(9);

/// Pause between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Nesting beyond any recursion limit.
const DEEP: usize = 100_000;

/// How an entry is written.
enum Content {
    /// As this value.
    Value(Vec<u8>),
    /// As this text in lists and watches.
    Text(String),
}

/// Row of a table of odd entries.
struct Case {
    name: &'static str,
    key: &'static str,
    content: Content,
}

impl Case {
    fn write(&self, store: &StoreStandIn) {
        match &self.content {
            Content::Value(value) => store.put_bytes(self.key, value),
            Content::Text(text) => store.put_text(self.key, text),
        }
    }
}

/// Builds a table from rows of the form `name: key => content`.
macro_rules! cases {
    ($($name:ident: $key:expr => $content:expr;)*) => {
        vec![$(Case { name: stringify!($name), key: $key, content: $content },)*]
    };
}

fn value(text: impl AsRef<[u8]>) -> Content {
    Content::Value(text.as_ref().to_vec())
}

fn text(text: impl Into<String>) -> Content {
    Content::Text(text.into())
}

fn deep() -> String {
    format!("{}{}", "[".repeat(DEEP), "]".repeat(DEEP))
}

/// Returns a registration at an address where nobody listens, with one of its texts replaced.
fn registration(from: &str, to: &str) -> Content {
    let text = r#"{"service":"calls","address":"127.0.0.1:1","zone":"leics","version":"v1","slots":64,
        "state":"ready","cold_left_ms":0,"sequence":1,"born":5}"#;
    assert!(text.contains(from));
    value(text.replace(from, to))
}

/// Registrations that name no target.
fn malformed_registrations() -> Vec<Case> {
    cases! {
        nothing: "servers/o1" => value("");
        nesting: "servers/o2" => value(deep());
        nested_objects: "servers/o3" => value("{\"service\":".repeat(DEEP));
        a_nested_address: "servers/o4" => registration("\"127.0.0.1:1\"", &deep());
        slots_too_large: "servers/o5" => registration("64", "99999999999");
        slots_beyond_any_number: "servers/o6" => registration("64", "1e400");
        slots_below_zero: "servers/o7" => registration("64", "-1");
        a_cold_time_beyond_any_number: "servers/o8" => registration("\"cold_left_ms\":0", "\"cold_left_ms\":1e400");
        a_start_beyond_the_type: "servers/o9" => registration("\"born\":5", "\"born\":18446744073709551616");
        a_start_with_a_fraction: "servers/o10" => registration("\"born\":5", "\"born\":5.5");
        a_start_of_another_type: "servers/o11" => registration("\"born\":5", "\"born\":\"5\"");
        a_port_out_of_range: "servers/o12" => registration(":1\"", ":70000\"");
        port_zero: "servers/o13" => registration(":1\"", ":0\"");
        a_host_name: "servers/o14" => registration("127.0.0.1", "localhost");
        a_zone_of_another_type: "servers/o15" => registration("\"leics\"", "7");
        a_state_of_another_type: "servers/o16" => registration("\"ready\"", "7");
        bytes_that_are_no_utf8: "servers/o17" => value([0xff, 0xfe, 0x00]);
        a_long_text: "servers/o18" => value("x".repeat(1 << 20));
        a_line_break_in_the_id: "servers/o19\nevent=start" => registration("64", "64");
        text_that_is_no_base64: "servers/o20" => text(r#"{"key":"servers/o20","value":"%","revision":1}"#);
        a_value_too_large_a_number: "servers/o21" => text(r#"{"key":"servers/o21","value":1e400,"revision":1}"#);
        a_value_that_is_nested: "servers/o22"
            => text(format!(r#"{{"key":"servers/o22","value":{},"revision":1}}"#, deep()));
    }
}

/// Items without a readable key, and registrations whose extreme values name targets all the same.
fn other_registrations() -> Vec<Case> {
    cases! {
        half_a_surrogate_in_the_key: "servers/p1"
            => text(r#"{"key":"servers/p1\ud800","value":"YQ==","revision":1}"#);
        an_item_that_is_nested: "servers/p2" => text(deep());
        an_item_that_is_null: "servers/p3" => text("null");
        a_key_of_another_type: "servers/p4" => text(r#"{"key":7,"value":"YQ==","revision":1}"#);
        no_slots: "servers/q1" => registration("64", "0");
        the_most_slots: "servers/q2" => registration("64", "4294967295");
        the_latest_start: "servers/q3" => registration("\"born\":5", "\"born\":18446744073709551615");
        the_longest_cold_time: "servers/q4" => registration("\"cold_left_ms\":0", "\"cold_left_ms\":1e308");
        a_negative_cold_time: "servers/q5" => registration("\"cold_left_ms\":0", "\"cold_left_ms\":-1e308");
        a_nested_field_that_nobody_reads: "servers/q6" => registration("\"sequence\":1", &format!("\"sequence\":{}", deep()));
        an_address_of_version_6: "servers/q7" => registration("127.0.0.1", "[::1]");
    }
}

/// Entries in the fleet's own list.
fn fleet_entries() -> Vec<Case> {
    let server = |address: &str| {
        value(format!(
            r#"{{"name":"odd","role":"budget-server","data_center":"leics","internal":"{address}"}}"#
        ))
    };
    cases! {
        nesting: "fleet/budget-server/o1" => value(deep());
        a_port_out_of_range: "fleet/budget-server/o2" => server("127.0.0.1:70000");
        a_server_where_nobody_listens: "fleet/budget-server/o3" => server("127.0.0.1:1");
        a_server_without_a_port: "fleet/budget-server/o4" => server("127.0.0.1:0");
        an_entry_of_another_type: "fleet/direct-entry/o5" => value("7");
        an_unknown_role: "fleet/role/o6" => value(r#"{"name":"odd","role":"r","data_center":"d","internal":"127.0.0.1:1"}"#);
        bytes_that_are_no_utf8: "fleet/budget-server/o7" => value([0xff]);
        a_mark_that_is_no_number: "fleet/poisoned/zz" => value("{}");
        a_mark_beyond_the_type: "fleet/poisoned/fffffffffffffffffffffffffffffffffff" => value("{}");
        a_nested_mark: "fleet/poisoned/000000000000000000000000000000aa" => value(deep());
        a_mark_with_nested_rivals: "fleet/poisoned/000000000000000000000000000000ab"
            => value(format!(r#"{{"suspect":171,"level":"refused","rivals":{}}}"#, deep()));
        half_a_surrogate_in_the_key: "fleet/budget-server/o8"
            => text(r#"{"key":"fleet/budget-server/o8\ud800","value":"YQ==","revision":1}"#);
        an_item_that_is_nested: "fleet/budget-server/o9" => text(deep());
    }
}

/// Entries beside the operator's manifest, and manifests that are not put into force.
fn operator_entries() -> Vec<Case> {
    cases! {
        another_key: "op/other" => value(deep());
        a_nested_evacuation: "op/evacuate/nowhere" => value(deep());
        an_evacuation_that_is_no_base64: "op/evacuate/elsewhere"
            => text(r#"{"key":"op/evacuate/elsewhere","value":"%","revision":1}"#);
        half_a_surrogate_in_the_key: "op/p1" => text(r#"{"key":"op/p1\ud800","value":"YQ==","revision":1}"#);
        an_item_that_is_nested: "op/p2" => text(deep());
        a_nested_manifest: "op/config" => value(deep());
        a_nested_route: "op/config" => value(format!(r#"{{"version":99,"routes":[{}]}}"#, deep()));
        a_version_beyond_the_type: "op/config" => value(r#"{"version":1e400}"#);
        a_manifest_that_is_no_base64: "op/config" => text(r#"{"key":"op/config","value":"%","revision":1}"#);
    }
}

/// One entry and the stand-ins behind two targets, of which one is registered at a time.
struct World {
    fleet: PlatformFleet,
    targets: [TargetStandIn; 2],
    /// Number of registrations so far.
    registered: usize,
}

impl World {
    async fn open() -> World {
        let targets = [target(serve).await, target(serve).await];
        let named = [("calls", &targets[0]), ("models", &targets[0])];
        let fleet = PlatformFleet::open(Path::new(BINARY), &named).await.unwrap();
        fleet.store.unregister("t0");
        let mut world = World { fleet, targets, registered: 0 };
        world.register_next();
        world
    }

    /// Registers a new process of `calls` and removes the one before.
    fn register_next(&mut self) {
        let store = &self.fleet.store;
        store.unregister(&format!("calls-{}", self.registered));
        self.registered += 1;
        let id = format!("calls-{}", self.registered);
        store.register(&id, "calls", self.current().address(), "ready");
    }

    fn current(&self) -> &TargetStandIn {
        &self.targets[self.registered % 2]
    }

    /// Checks that an entry sends requests to the target registered last, and to it alone.
    async fn check_follows(&self, callers: SocketAddr, name: &str) {
        let since = Instant::now();
        let is_current = |received: &ReceivedRequest| {
            let id = format!("calls-{}", self.registered);
            received.header("expect-instance") == Some(id.as_str())
        };
        loop {
            let id = format!("{name}-{}", since.elapsed().as_nanos());
            let answer = call_at(callers, &CallerRequest::get("/safe/1", &id)).await;
            let received = self.current().received();
            let found = received.iter().rev().find(|received| received.attempt_id() == id);
            if answer == Some(200) && found.is_some_and(is_current) {
                return;
            }
            let waited = since.elapsed();
            assert!(waited < FOLLOW_TIME, "{name}: the target registered last is not used");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Writes each odd entry, and after it a registration that has to be followed.
    async fn check_cases(&mut self, cases: &[Case]) {
        for case in cases {
            case.write(&self.fleet.store);
            self.register_next();
            self.check_follows(self.fleet.callers, case.name).await;
        }
        self.check_entry_lives();
    }

    /// Checks an entry that starts when all odd entries are there.
    async fn check_new_entry(&mut self) {
        let mut entry = self.fleet.start_entry("entry-2").await.unwrap();
        self.check_follows(entry.callers, "a new entry").await;
        self.register_next();
        self.check_follows(entry.callers, "a new entry later").await;
        check_lives(&mut entry.process);
        self.check_entry_lives();
    }

    /// Waits until a line of the entry's log, which is written a little later, has this text.
    async fn wait_logged(&self, text: &str) {
        let since = Instant::now();
        while !self.fleet.entry.log().contains(text) {
            assert!(since.elapsed() < FOLLOW_TIME, "{text}: {}", self.fleet.entry.log());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn check_entry_lives(&mut self) {
        check_lives(&mut self.fleet.entry);
    }
}

fn check_lives(process: &mut Process) {
    assert!(process.exit_status().is_none(), "{}", process.log());
    assert!(!process.log().contains("panicked"), "{}", process.log());
}

fn serve(received: &ReceivedRequest) -> Vec<Step> {
    if received.request_line().contains("/stream/") { three_events(received) } else { ok(received) }
}

/// Sends one request over a new connection; `None` without an answer.
async fn call_at(callers: SocketAddr, req: &CallerRequest) -> Option<u16> {
    Some(Caller::connect(callers).await.ok()?.call(req).await?.status)
}

#[tokio::test]
async fn a_malformed_registration_is_counted_and_the_others_are_followed() {
    let mut world = World::open().await;
    let cases = malformed_registrations();
    world.check_cases(&cases).await;
    for case in &cases {
        let id = case.key.trim_start_matches("servers/").escape_default();
        world.wait_logged(&format!("event=registration_malformed target={id}")).await;
    }
    let log = world.fleet.entry.log();
    assert!(!log.lines().any(|line| line.starts_with("event=")), "{log}");
    let metrics = world.fleet.scrape().await;
    let counted = metrics.lines().find(|line| line.starts_with("malformed_inputs_total"));
    let counted = counted.expect("malformed registrations are counted");
    assert!(counted.contains("kind=\"registration\""), "{counted}");
    assert!(counted.ends_with(&format!(" {}", cases.len())), "{counted}");
    world.check_new_entry().await;
}

#[tokio::test]
async fn an_odd_item_or_extreme_registration_stops_no_entry() {
    let mut world = World::open().await;
    world.check_cases(&other_registrations()).await;
    world.wait_logged("event=store_item_malformed").await;
    world.check_new_entry().await;
}

#[tokio::test]
async fn an_odd_entry_beside_the_manifest_stops_no_entry() {
    let mut world = World::open().await;
    world.check_cases(&operator_entries()).await;
    let manifest = manifest_for(100, &[("shop", "key-1", PREPAID)]);
    world.fleet.store.put("op/config", &manifest);
    let since = Instant::now();
    while call(&world.fleet, &CallerRequest::get("/old/1", "old")).await.status != 404 {
        assert!(since.elapsed() < FOLLOW_TIME, "the next manifest is put into force");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    world.check_new_entry().await;
}

#[tokio::test]
async fn an_odd_entry_in_the_fleets_list_stops_no_process() {
    let mut world = World::open().await;
    let beside = target(ok).await;
    let mut first = world.fleet.start_server_beside("side-1", beside.address()).await.unwrap();
    world.check_cases(&fleet_entries()).await;
    let mut second = world.fleet.start_server_beside("side-2", beside.address()).await.unwrap();
    check_lives(&mut first);
    first.kill();
    let since = Instant::now();
    while !world.fleet.entry.log().contains("holder=side-2") {
        let id = format!("s{}", since.elapsed().as_nanos());
        call(&world.fleet, &stream_request("/stream/1", &id)).await;
        assert!(since.elapsed() < FOLLOW_TIME, "the server listed last is used");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    check_lives(&mut second);
    world.check_new_entry().await;
}

/// Numbers that decode may be as large as their types.
#[tokio::test]
async fn a_manifest_of_extreme_numbers_stops_no_entry() {
    let mut world = World::open().await;
    let mut manifest = manifest_for(100, &[("shop", "key-1", u64::MAX)]);
    for route in manifest["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(1e300);
        route["goal_ms"] = json!(1e300);
        route["max_attempts"] = json!(u32::MAX);
        route["backends"] = json!([{"service": route["service"], "weight": 1e300}]);
    }
    for service in manifest["services"].as_array_mut().unwrap() {
        service["cold_start_s"] = json!(1e300);
        service["cold_per_s"] = json!(1e300);
    }
    manifest["limits"] = json!({"max_header_bytes": u64::MAX, "max_body_bytes": u64::MAX,
        "idle_timeout_ms": u64::MAX});
    world.fleet.store.put("op/config", &manifest);
    world.wait_logged("event=catalog_in_force version=100").await;
    world.register_next();
    world.check_follows(world.fleet.callers, "extreme numbers").await;
    for id in ["s1", "s2"] {
        assert_eq!(call(&world.fleet, &stream_request("/stream/1", id)).await.status, 200);
    }
    world.check_new_entry().await;
}

#[tokio::test]
async fn a_prompt_beyond_any_memory_stops_no_entry() {
    let mut world = World::open().await;
    for at in 0..3 {
        let headers = format!("Prompt-Prefix: a:{0},b:{0},c:{0}\r\n", u64::MAX);
        let huge = CallerRequest { headers, ..CallerRequest::post("/stream/1", &format!("h{at}")) };
        assert_eq!(call(&world.fleet, &huge).await.status, 200);
        let served = stream_request("/stream/1", &format!("s{at}"));
        assert_eq!(call(&world.fleet, &served).await.status, 200);
    }
    world.check_entry_lives();
}

/// An account in the store that cannot be read concerns its own budget alone.
#[tokio::test]
async fn an_odd_account_stops_no_holder_and_no_other_budget() {
    let mut world = World::open().await;
    let mut server = world.fleet.start_budget_server("side-1").await.unwrap();
    let workspaces = [("shop", "key-1", PREPAID), ("other", "key-2", PREPAID)];
    world.fleet.store.put("op/config", &manifest_for(2, &workspaces));
    world.wait_logged("event=catalog_in_force version=2").await;
    let odd = [Vec::new(), vec![0xff, 0xfe], deep().into_bytes(), b"7".to_vec()];
    for (at, account) in odd.iter().enumerate() {
        world.fleet.store.put_bytes("account/other/prepaid", account);
        let refused = CallerRequest {
            key: "key-2".to_owned(),
            ..stream_request("/stream/1", &format!("o{at}"))
        };
        assert_eq!(call(&world.fleet, &refused).await.status, 503);
        let served = stream_request("/stream/1", &format!("s{at}"));
        assert_eq!(call(&world.fleet, &served).await.status, 200);
    }
    check_lives(&mut server);
    world.check_entry_lives();
}

/// A sum that does not fit into a number would let such a request through.
#[tokio::test]
async fn a_request_beyond_any_budget_is_refused_while_others_run() {
    let mut world = World::open().await;
    let mut server = world.fleet.start_budget_server("side-1").await.unwrap();
    for (at, tokens) in [(u64::MAX, 0), (u64::MAX, u64::MAX), (u64::MAX - 1, 1)].iter().enumerate()
    {
        let served = stream_request("/stream/1", &format!("s{at}"));
        assert_eq!(call(&world.fleet, &served).await.status, 200);
        let huge = CallerRequest {
            tokens: Some(*tokens),
            ..stream_request("/stream/1", &format!("h{at}"))
        };
        assert_eq!(call(&world.fleet, &huge).await.status, 402);
    }
    check_lives(&mut server);
    world.check_entry_lives();
}
