//! Tests of the decisions of direct delivery, without processes: routes, retries, event streams and
//! targets.

use std::time::Duration;

use rosemarymoor_lib::dispatch::catalog::{
    Backend, CallKind, CallerKey, CallerLimits, Catalog, Route, Service, Workspace,
};
use rosemarymoor_lib::dispatch::choice;
use rosemarymoor_lib::dispatch::criteria::SelectionCriteria;
use rosemarymoor_lib::dispatch::event_stream::EventSplitter;
use rosemarymoor_lib::dispatch::prompt::{self, PromptPart};
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::dispatch::retry_budget::{FleetRetryLimits, RetryBudget};
use rosemarymoor_lib::dispatch::targets::{Observation, Registration, TargetKey, TargetTable};
use rosemarymoor_lib::time::Millis;

const NOW: Millis = Millis(10_000);

fn route(host: &str, prefix: &str, name: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: CallKind::Safe,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(150),
        backends: vec![Backend { service: "filing".to_owned(), weight: 1 }],
        max_attempts: 2,
        priority: None,
        public: false,
        allowed_regions: Vec::new(),
    }
}

fn catalog(routes: Vec<Route>) -> Catalog {
    let workspaces = vec![Workspace {
        name: "vienna".to_owned(),
        prepaid: Some(10),
        priority: None,
        allowed_regions: Vec::new(),
    }];
    let keys = vec![CallerKey { key: "k1".to_owned(), workspace: 0 }];
    let services = vec![Service { name: "filing".to_owned(), engine: None, cold_start: None }];
    Catalog::new(3, routes, services, workspaces, keys, CallerLimits::default())
}

macro_rules! route_cases {
    ($($name:ident: $host:literal, $path:literal => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            let catalog = catalog(vec![
                route("a.example", "/", "root"),
                route("a.example", "/x/", "x"),
                route("a.example", "/x/y/", "xy"),
                route("b.example", "/x/", "other"),
            ]);
            let found = catalog.route($host, $path).map(|route| route.name.as_str());
            assert_eq!(found, $expected);
        })*
    };
}

route_cases! {
    the_longest_prefix_wins: "a.example", "/x/y/z" => Some("xy");
    a_prefix_matches_itself: "a.example", "/x/y/" => Some("xy");
    a_prefix_ends_at_a_slash: "a.example", "/x/yy" => Some("x");
    a_shorter_prefix_is_found: "a.example", "/q/r/s" => Some("root");
    another_host_has_its_own_routes: "b.example", "/x/1" => Some("other");
    a_path_outside_the_prefixes_has_no_route: "b.example", "/y/1" => None;
    an_unknown_host_has_no_route: "c.example", "/x/1" => None;
    a_path_without_a_slash_has_no_route: "a.example", "*" => None;
}

#[test]
fn a_caller_key_belongs_to_its_workspace() {
    let catalog = catalog(Vec::new());
    assert_eq!(catalog.workspace_of("k1").unwrap().name, "vienna");
    assert!(catalog.workspace_of("k2").is_none());
}

#[test]
fn split_routes_follow_their_weights() {
    let backends = [("one", 90), ("two", 10)];
    let backends =
        backends.map(|(service, weight)| Backend { service: service.to_owned(), weight }).to_vec();
    let route = Route { backends, ..route("a.example", "/", "split") };
    let to_two = (0..1_000).filter(|random| route.service_for(*random) == Some("two")).count();
    assert_eq!(to_two, 100);
    let none = Route { backends: Vec::new(), ..route };
    assert_eq!(none.service_for(7), None);
}

fn limits() -> FleetRetryLimits {
    FleetRetryLimits { ratio: 0.2, constant: 40, window_ms: 10_000 }
}

#[test]
fn all_entries_together_stay_within_the_fleet_retry_limit() {
    const ENTRIES: u64 = 4;
    let mut retries = 0;
    for _ in 0..ENTRIES {
        let mut budget = RetryBudget::open(limits());
        for _ in 0..100 {
            budget.record_request("filing", NOW);
        }
        retries += (0..1_000).filter(|_| budget.try_retry("filing", ENTRIES, NOW)).count();
    }
    let fleet_limit = 0.2 * 400.0 + 40.0;
    assert!(retries as f64 <= fleet_limit, "{retries} retries exceed the limit of {fleet_limit}");
    assert!(
        retries as f64 >= fleet_limit / 2.0,
        "{retries} retries use less than half of the limit of {fleet_limit}"
    );
}

#[test]
fn retries_are_available_again_after_the_window() {
    let mut budget = RetryBudget::open(limits());
    while budget.try_retry("filing", 4, NOW) {}
    assert!(!budget.try_retry("filing", 4, NOW.plus(9_999)));
    assert!(budget.try_retry("filing", 4, NOW.plus(10_000)));
}

#[test]
fn each_service_has_its_own_retry_budget() {
    let mut budget = RetryBudget::open(limits());
    while budget.try_retry("filing", 4, NOW) {}
    assert!(budget.try_retry("models", 4, NOW));
}

fn events(chunks: &[&str]) -> Vec<(String, Option<u64>)> {
    let mut splitter = EventSplitter::default();
    let mut received = Vec::new();
    for chunk in chunks {
        splitter.push(chunk.as_bytes()).unwrap();
        while let Some(event) = splitter.next_event() {
            received.push((String::from_utf8(event.bytes.to_vec()).unwrap(), event.id));
        }
    }
    received
}

macro_rules! stream_cases {
    ($($name:ident: $chunks:expr => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            let expected: &[(&str, Option<u64>)] = &$expected;
            let received = events(&$chunks);
            let received: Vec<_> = received.iter().map(|(text, id)| (text.as_str(), *id)).collect();
            assert_eq!(received, expected);
        })*
    };
}

stream_cases! {
    one_event_is_returned: ["id: 1\ndata: a\n\n"] => [("id: 1\ndata: a\n\n", Some(1))];
    two_events_in_one_chunk_are_split: ["id: 1\n\nid: 2\n\n"] => [("id: 1\n\n", Some(1)), ("id: 2\n\n", Some(2))];
    an_event_in_several_chunks_is_joined: ["id: 1\nda", "ta: a\n", "\n"] => [("id: 1\ndata: a\n\n", Some(1))];
    carriage_returns_end_lines: ["id: 1\r\ndata: a\r\n\r\n"] => [("id: 1\r\ndata: a\r\n\r\n", Some(1))];
    an_incomplete_event_is_buffered: ["id: 1\n\nid: 2\ndata"] => [("id: 1\n\n", Some(1))];
    an_event_without_an_id_is_returned: ["data: a\n\n"] => [("data: a\n\n", None)];
    an_id_after_another_field_is_read: ["weight-versions: 2\nid: 5\n\n"] => [("weight-versions: 2\nid: 5\n\n", Some(5))];
}

/// Names blocks of a stream, each with whether it is an event.
macro_rules! blocks {
    ($($name:ident: $block:expr => $is_event:expr;)*) => {
        mod a_block_is_an_event_if_its_lines_are_comments_or_fields {
            use super::*;

            $(#[test]
            fn $name() {
                let mut splitter = EventSplitter::default();
                splitter.push($block.as_bytes()).unwrap();
                let event = splitter.next_event().unwrap();
                assert_eq!(event.is_well_formed(), $is_event);
            })*
        }
    };
}

blocks! {
    fields: "id: 1\nevent: token\ndata: HTTP/1.1 500\n\n" => true;
    a_field_without_a_space: "data:a\n\n" => true;
    a_field_without_a_value: "id: 1\ndata\n\n" => true;
    a_field_of_another_name: "weight-versions: 2\nid: 1\ndata: a\n\n" => true;
    a_comment: ": Waiting\n\n" => true;
    carriage_returns: "id: 1\r\ndata: a\r\n\r\n" => true;
    a_blank_line: "\n\n" => true;
    a_byte_order_mark: "\u{feff}id: 1\ndata: a\n\n" => true;
    a_status_line: "HTTP/1.1 500 Internal Server Error\r\n\r\n" => false;
    fields_of_a_head: "Content-Type: text/plain\r\n\r\n" => false;
    fields_of_a_head_in_lower_case: "data: aHTTP/1.1 502 Bad Gateway\r\nconnection: close\r\n\r\n" => false;
    words: "upstream reset\n\n" => false;
    a_word: "oops\n\n" => false;
    words_before_a_colon: "upstream connect error: reset\n\n" => false;
    an_object: "{\"error\": \"overloaded\"}\n\n" => false;
    a_line_among_fields: "id: 1\nda\ndata: a\n\n" => false;
}

#[test]
fn an_event_beyond_the_size_limit_is_an_error() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 600_000];
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_err());
}

fn registration(id: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_center: "leics".to_owned(),
        slots: 64,
        software: Some("v1".to_owned()),
        leaving: false,
        started_ms: 1,
        cold_for_ms: None,
    }
}

fn table(count: usize) -> TargetTable {
    let mut table = TargetTable::default();
    for number in 0..count {
        table.register(registration(&format!("t{number}")));
    }
    table
}

fn ids(table: &TargetTable) -> Vec<&str> {
    table.of_service("models").map(|target| target.registration.id.as_str()).collect()
}

#[test]
fn a_leaving_target_gets_no_new_work() {
    let mut table = table(2);
    table.register(Registration { leaving: true, ..registration("t0") });
    assert_eq!(ids(&table), ["t1"]);
}

#[test]
fn a_deregistered_target_is_removed_at_once_while_the_store_is_available() {
    let mut table = table(2);
    table.deregister("t0");
    assert_eq!(ids(&table), ["t1"]);
}

#[test]
fn a_target_deregistered_in_an_outage_is_kept_until_two_seconds_after_it() {
    let mut table = table(2);
    table.store_unavailable();
    table.deregister("t0");
    table.store_available(NOW);
    table.deregister("t1");
    table.expire(NOW.plus(1_999));
    assert_eq!(ids(&table), ["t0", "t1"]);
    table.register(registration("t1"));
    table.expire(NOW.plus(2_000));
    assert_eq!(ids(&table), ["t1"], "only the target that registered again is kept");
}

#[test]
fn an_outage_alone_removes_no_target() {
    let mut table = table(2);
    table.store_unavailable();
    table.expire(NOW.plus(60_000));
    assert_eq!(ids(&table).len(), 2);
}

#[test]
fn a_new_list_drops_targets_that_it_does_not_contain() {
    let mut table = table(3);
    table.replace(vec![registration("t1")]);
    assert_eq!(ids(&table), ["t1"]);
}

#[test]
fn a_target_restarted_under_its_id_starts_with_empty_state() {
    let mut table = table(1);
    let key = table.iter().next().unwrap().key;
    table.start(key, 500, &[7], NOW);
    table.register(Registration { started_ms: 2, ..registration("t0") });
    let restarted = table.iter().next().unwrap();
    assert_ne!(restarted.key, key);
    assert_eq!((restarted.running, restarted.pending_tokens), (0, 0));
    assert!(!restarted.caches_part(7, NOW));
}

#[test]
fn requests_and_pending_prefill_are_counted_while_they_run() {
    let mut table = table(1);
    let key = table.iter().next().unwrap().key;
    table.start(key, 500, &[], NOW);
    assert_eq!(table.get(key).unwrap().pending_tokens, 500);
    table.prefill_done(key, 500);
    table.end(key);
    let target = table.get(key).unwrap();
    assert_eq!((target.running, target.pending_tokens), (0, 0));
}

/// Returns a prompt with a shared part and one of its own; the parts of a call are empty.
fn prompt(part: Option<u64>) -> Vec<PromptPart> {
    let parts = |shared| {
        let own = PromptPart { id: shared ^ 0xffff_0000, tokens: 3_700 };
        vec![PromptPart { id: shared, tokens: 13_300 }, own]
    };
    part.map(parts).unwrap_or_default()
}

fn criteria(prompt: &[PromptPart], random: u64) -> SelectionCriteria<'_> {
    SelectionCriteria {
        service: "models",
        software: None,
        allowed_data_centers: None,
        data_center: "leics",
        prompt,
        tokens: 18_000,
        random,
        without_asking: false,
        entry_count: 4,
    }
}

fn choose(table: &TargetTable, prompt: Option<u64>, random: u64) -> TargetKey {
    choose_at(table, prompt, random, &[], NOW).unwrap()
}

fn choose_at(
    table: &TargetTable,
    part: Option<u64>,
    random: u64,
    attempted: &[TargetKey],
    now: Millis,
) -> Option<TargetKey> {
    let prompt = prompt(part);
    let choice = choice::choose(table, criteria(&prompt, random), attempted, now);
    choice.map(|choice| choice.key)
}

#[test]
fn only_targets_of_the_required_version_are_chosen() {
    let mut table = table(4);
    table.register(Registration { software: Some("v2".to_owned()), ..registration("t2") });
    table.register(Registration { software: None, ..registration("t3") });
    for part in 0..50 {
        let prompt = prompt(Some(part));
        let criteria = SelectionCriteria { software: Some("v2"), ..criteria(&prompt, part) };
        let chosen = choice::choose(&table, criteria, &[], NOW).unwrap().key;
        assert_eq!(table.get(chosen).unwrap().registration.id, "t2");
        assert_eq!(choice::choose(&table, criteria, &[chosen], NOW), None);
    }
}

#[test]
fn entries_agree_on_the_target_of_a_prompt() {
    let (one, other) = (table(18), table(18));
    for part in 0..100 {
        let id = |table: &TargetTable| {
            let key = choose(table, Some(part), 0);
            table.get(key).unwrap().registration.id.clone()
        };
        assert_eq!(id(&one), id(&other));
    }
}

#[test]
fn prompts_are_distributed_over_the_targets() {
    let table = table(10);
    let mut counts = [0_usize; 10];
    for part in 0..1_000 {
        let key = choose(&table, Some(part), 0);
        counts[table.iter().position(|target| target.key == key).unwrap()] += 1;
    }
    assert!(counts.iter().all(|count| (50..200).contains(count)), "{counts:?}");
}

/// Callers name the tokens of their prompts.
#[test]
fn a_prompt_beyond_any_memory_is_work_like_any_other() {
    let huge = [1, 2].map(|id| PromptPart { id, tokens: u64::MAX });
    assert_eq!(prompt::all_tokens(&huge), u64::MAX);
    let work = prompt::prefill_work(u64::MAX, prompt::all_tokens(&huge));
    let mut table = table(1);
    let key = choose(&table, Some(1), 0);
    for _ in 0..2 {
        table.start(key, work, &[1], NOW);
    }
    assert_eq!(choose(&table, Some(1), 0), key);
    for _ in 0..2 {
        table.prefill_done(key, work);
    }
    assert_eq!(table.get(key).unwrap().pending_tokens, 0);
}

/// Requests for one prompt part go to further targets as soon as the queue of the first target
/// would cost more time than a prefill of the part elsewhere.
#[test]
fn a_burst_for_one_prompt_part_is_distributed_over_all_targets() {
    let mut table = table(6);
    let mut used = Vec::new();
    for _ in 0..30 {
        let key = choose(&table, Some(1), 0);
        table.start(key, prompt::prefill_work(17_000, 17_000), &[1], NOW);
        used.push(key);
    }
    used.sort_unstable();
    used.dedup();
    assert_eq!(used.len(), 6);
}

#[test]
fn calls_without_a_prompt_go_to_the_target_with_the_fewest_running() {
    let mut table = table(4);
    for random in 0..40 {
        let key = choose(&table, None, random);
        table.start(key, 0, &[], NOW);
    }
    assert!(table.iter().all(|target| target.running == 10));
}

#[test]
fn a_failing_target_is_avoided_and_chosen_again_later() {
    let mut table = table(3);
    let first = choose(&table, Some(1), 0);
    for _ in 0..6 {
        table.observe(first, Observation::Failed, NOW);
    }
    assert_ne!(choose(&table, Some(1), 0), first);
    let later = NOW.plus(30_000);
    assert_eq!(choose_at(&table, Some(1), 0, &[], later), Some(first));
}

#[test]
fn an_unreachable_target_is_suspended_and_still_chosen_if_no_other_is_left() {
    let mut table = table(1);
    let key = choose(&table, Some(1), 0);
    table.observe(key, Observation::Unreachable, NOW);
    assert!(table.get(key).unwrap().is_suspended(NOW));
    assert_eq!(choose(&table, Some(1), 0), key);
}

#[test]
fn attempted_targets_are_not_chosen_again() {
    let table = table(2);
    let first = choose(&table, Some(1), 0);
    let second = choose_at(&table, Some(1), 0, &[first], NOW).unwrap();
    assert_ne!(first, second);
    assert_eq!(choose_at(&table, Some(1), 0, &[first, second], NOW), None);
}

#[test]
fn weights_of_names_are_distributed_evenly() {
    let higher = (0..1_000).filter(|key| rank::weight(*key, "a") > rank::weight(*key, "b")).count();
    assert!((400..600).contains(&higher), "{higher} of 1000 keys");
}

/// Guards against a short request that waits behind a very long prompt: a prompt with three
/// times the tokens takes five times as long, so the request goes to the next target.
#[test]
fn prefill_time_grows_faster_than_the_prompt() {
    let (short, long) =
        (prompt::prefill_work(17_000, 17_000), prompt::prefill_work(51_000, 51_000));
    assert!(long > short * 4, "{long} for the long prompt, {short} for the short one");
    let cached = prompt::prefill_work(3_700, 17_000);
    assert!(cached < short / 2, "{cached} with cached parts, {short} without");
    let mut table = table(4);
    let first = choose(&table, Some(1), 0);
    table.start(first, prompt::prefill_work(51_000, 51_000), &[2], NOW);
    assert_ne!(choose(&table, Some(1), 0), first);
}

/// A target's tracked prompt parts are bounded; the oldest ones are dropped first, whatever their
/// identifiers are.
#[test]
fn the_oldest_prompt_parts_are_forgotten_first() {
    let mut table = table(1);
    let key = table.iter().next().unwrap().key;
    for step in 0..300 {
        // Later parts have larger identifiers.
        table.start(key, 0, &[step], NOW.plus(step));
    }
    let target = table.get(key).unwrap();
    let now = NOW.plus(300);
    let known: Vec<u64> = (0..300).filter(|part| target.caches_part(*part, now)).collect();
    assert!(known.len() >= 256, "{} parts", known.len());
    assert_eq!(known.last(), Some(&299));
    assert!(!known.contains(&0));
}

/// Returns the key of the target with this id.
fn key_of(table: &TargetTable, id: &str) -> TargetKey {
    table.iter().find(|target| target.registration.id == id).unwrap().key
}

#[test]
fn a_target_that_says_it_is_leaving_gets_no_new_work_whatever_it_registers() {
    let mut table = table(2);
    let key = key_of(&table, "t0");
    assert!(table.mark_leaving(key));
    assert!(!table.mark_leaving(key), "it is new only once");
    table.register(registration("t0"));
    assert_eq!(ids(&table), ["t1"]);
}

#[test]
fn a_leaving_registration_that_shows_as_ready_again_stays_leaving() {
    let mut table = table(2);
    table.register(Registration { leaving: true, ..registration("t0") });
    table.register(registration("t0"));
    assert_eq!(ids(&table), ["t1"]);
}

/// A store that was restored from a copy lists a target again that had left.
#[test]
fn a_departed_target_that_is_listed_again_stays_leaving() {
    let mut table = table(2);
    let key = key_of(&table, "t0");
    table.mark_leaving(key);
    table.deregister("t0");
    table.register(registration("t0"));
    assert_eq!(ids(&table), ["t1"]);
}

#[test]
fn a_target_that_starts_again_under_the_id_of_a_leaving_one_gets_work() {
    let mut table = table(2);
    let key = key_of(&table, "t0");
    table.mark_leaving(key);
    let started_ms = registration("t0").started_ms + 1;
    table.register(Registration { started_ms, ..registration("t0") });
    assert_eq!(ids(&table), ["t1", "t0"]);
}

#[test]
fn a_target_that_asked_for_a_pause_gets_no_work_until_its_end() {
    let mut table = table(2);
    let (one, two) = (key_of(&table, "t0"), key_of(&table, "t1"));
    table.pause(one, NOW.plus(3_000));
    for random in 0..20 {
        let chosen = choose_at(&table, None, random, &[], NOW.plus(2_999));
        assert_eq!(chosen, Some(two));
    }
    assert_eq!(table.shortest_wait_ms("models", NOW), None, "one target takes work");
    table.pause(two, NOW.plus(1_000));
    assert_eq!(choose_at(&table, None, 1, &[], NOW), None);
    assert_eq!(table.shortest_wait_ms("models", NOW), Some(1_000));
    // A later and shorter request does not end the first.
    table.pause(one, NOW.plus(500));
    let after_two = NOW.plus(1_000);
    assert_eq!(choose_at(&table, None, 1, &[], after_two), Some(two));
    assert_eq!(table.get(one).unwrap().pause_left_ms(after_two), 2_000);
}
