//! Decisions of direct delivery, without processes.

use std::time::Duration;

use rosemarymoor_lib::dispatch::catalog::{
    Backend, CallKind, CallerKey, CallerLimits, Catalog, Route, Service, Workspace,
};
use rosemarymoor_lib::dispatch::choice::{self, SelectionCriteria};
use rosemarymoor_lib::dispatch::event_stream::EventSplitter;
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::dispatch::retry_after::RetryAfter;
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
        public: false,
    }
}

fn catalog(routes: Vec<Route>) -> Catalog {
    let workspaces = vec![Workspace { name: "vienna".to_owned(), prepaid: Some(10) }];
    let keys = vec![CallerKey { key: "k1".to_owned(), workspace: 0 }];
    let services = vec![Service { name: "filing".to_owned(), engine: None }];
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
    no_prefix_of_the_host: "b.example", "/y/1" => None;
    an_unknown_host: "c.example", "/x/1" => None;
    a_path_without_a_slash: "a.example", "*" => None;
}

#[test]
fn a_key_leads_to_its_workspace() {
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
fn all_entries_together_stay_within_the_fleets_retries() {
    const ENTRIES: u64 = 4;
    let mut retries = 0;
    for _ in 0..ENTRIES {
        let mut budget = RetryBudget::open(limits());
        for _ in 0..100 {
            budget.record_request("filing", NOW);
        }
        retries += (0..1_000).filter(|_| budget.try_retry("filing", ENTRIES, NOW)).count();
    }
    let fleet = 0.2 * 400.0 + 40.0;
    assert!(retries as f64 <= fleet, "{retries} retries against {fleet}");
    assert!(retries as f64 >= fleet / 2.0, "{retries} retries leave most of {fleet} unused");
}

#[test]
fn retries_come_back_with_the_window() {
    let mut budget = RetryBudget::open(limits());
    while budget.try_retry("filing", 4, NOW) {}
    assert!(!budget.try_retry("filing", 4, NOW.plus(9_999)));
    assert!(budget.try_retry("filing", 4, NOW.plus(10_000)));
}

#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = RetryBudget::open(limits());
    while budget.try_retry("filing", 4, NOW) {}
    assert!(budget.try_retry("models", 4, NOW));
}

fn events(chunks: &[&str]) -> Vec<(String, Option<u64>)> {
    let mut splitter = EventSplitter::default();
    let mut seen = Vec::new();
    for chunk in chunks {
        splitter.push(chunk.as_bytes()).unwrap();
        while let Some(event) = splitter.next_event() {
            seen.push((String::from_utf8(event.bytes.to_vec()).unwrap(), event.id));
        }
    }
    seen
}

macro_rules! stream_cases {
    ($($name:ident: $chunks:expr => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            let expected: &[(&str, Option<u64>)] = &$expected;
            let seen = events(&$chunks);
            let seen: Vec<_> = seen.iter().map(|(text, id)| (text.as_str(), *id)).collect();
            assert_eq!(seen, expected);
        })*
    };
}

stream_cases! {
    one_event: ["id: 1\ndata: a\n\n"] => [("id: 1\ndata: a\n\n", Some(1))];
    two_events_in_one_chunk: ["id: 1\n\nid: 2\n\n"] => [("id: 1\n\n", Some(1)), ("id: 2\n\n", Some(2))];
    an_event_in_pieces: ["id: 1\nda", "ta: a\n", "\n"] => [("id: 1\ndata: a\n\n", Some(1))];
    carriage_returns: ["id: 1\r\ndata: a\r\n\r\n"] => [("id: 1\r\ndata: a\r\n\r\n", Some(1))];
    an_unfinished_event_is_held: ["id: 1\n\nid: 2\ndata"] => [("id: 1\n\n", Some(1))];
    an_event_without_an_id: ["data: a\n\n"] => [("data: a\n\n", None)];
    a_first_line_with_weights: ["weight-versions: 2\nid: 5\n\n"] => [("weight-versions: 2\nid: 5\n\n", Some(5))];
}

#[test]
fn an_endless_event_is_refused() {
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
        leaving: false,
        started_ms: 1,
    }
}

fn table(count: usize) -> TargetTable {
    let mut table = TargetTable::default();
    for at in 0..count {
        table.register(registration(&format!("t{at}")));
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
fn a_vanished_target_is_gone_at_once_while_the_store_is_well() {
    let mut table = table(2);
    table.deregister("t0");
    assert_eq!(ids(&table), ["t1"]);
}

#[test]
fn a_target_that_lapses_in_an_outage_is_kept_until_two_seconds_after_it() {
    let mut table = table(2);
    table.store_unavailable();
    table.deregister("t0");
    table.store_available(NOW);
    table.deregister("t1");
    table.expire(NOW.plus(1_999));
    assert_eq!(ids(&table), ["t0", "t1"]);
    table.register(registration("t1"));
    table.expire(NOW.plus(2_000));
    assert_eq!(ids(&table), ["t1"], "only what came back is kept");
}

#[test]
fn an_outage_alone_takes_no_target_out() {
    let mut table = table(2);
    table.store_unavailable();
    table.expire(NOW.plus(60_000));
    assert_eq!(ids(&table).len(), 2);
}

#[test]
fn a_new_list_drops_what_it_does_not_name() {
    let mut table = table(3);
    table.replace(vec![registration("t1")]);
    assert_eq!(ids(&table), ["t1"]);
}

#[test]
fn a_target_reborn_under_its_id_starts_anew() {
    let mut table = table(1);
    let key = table.iter().next().unwrap().key;
    table.start(key, 500.0, &[7], NOW);
    table.register(Registration { started_ms: 2, ..registration("t0") });
    let reborn = table.iter().next().unwrap();
    assert_ne!(reborn.key, key);
    assert_eq!((reborn.running, reborn.pending_prefill_ms), (0, 0.0));
    assert!(!reborn.caches_part(7, NOW));
}

#[test]
fn work_is_counted_while_it_runs() {
    let mut table = table(1);
    let key = table.iter().next().unwrap().key;
    table.start(key, 500.0, &[], NOW);
    assert_eq!(table.get(key).unwrap().pending_prefill_ms, 500.0);
    table.prefill_done(key, 500.0);
    table.end(key);
    let target = table.get(key).unwrap();
    assert_eq!((target.running, target.pending_prefill_ms), (0, 0.0));
}

fn criteria(prompt: Option<u64>, random: u64) -> SelectionCriteria<'static> {
    SelectionCriteria { service: "models", data_center: "leics", prompt, random, entries: 4 }
}

fn choose(table: &TargetTable, prompt: Option<u64>, random: u64) -> TargetKey {
    choice::choose(table, criteria(prompt, random), &[], NOW).unwrap()
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
fn prompts_spread_over_the_targets() {
    let table = table(10);
    let mut counts = [0_usize; 10];
    for part in 0..1_000 {
        let key = choose(&table, Some(part), 0);
        counts[table.iter().position(|target| target.key == key).unwrap()] += 1;
    }
    assert!(counts.iter().all(|count| (50..200).contains(count)), "{counts:?}");
}

/// A burst for one part: its requests spread before the first target's queue
/// costs more than reading the part again elsewhere.
#[test]
fn a_burst_for_one_part_spreads() {
    let mut table = table(6);
    let mut used = Vec::new();
    for _ in 0..30 {
        let key = choose(&table, Some(1), 0);
        table.start(key, choice::prefill_ms(17_000, 17_000), &[1], NOW);
        used.push(key);
    }
    used.sort_unstable();
    used.dedup();
    assert_eq!(used.len(), 6);
}

#[test]
fn short_calls_go_where_least_runs() {
    let mut table = table(4);
    for random in 0..40 {
        let key = choose(&table, None, random);
        table.start(key, 0.0, &[], NOW);
    }
    assert!(table.iter().all(|target| target.running == 10));
}

#[test]
fn a_failing_target_is_avoided_and_tried_again_later() {
    let mut table = table(3);
    let first = choose(&table, Some(1), 0);
    for _ in 0..6 {
        table.observe(first, Observation::Failed, NOW);
    }
    assert_ne!(choose(&table, Some(1), 0), first);
    let later = NOW.plus(30_000);
    assert_eq!(choice::choose(&table, criteria(Some(1), 0), &[], later), Some(first));
}

#[test]
fn an_unreachable_target_rests_and_is_the_last_resort() {
    let mut table = table(1);
    let key = choose(&table, Some(1), 0);
    table.observe(key, Observation::Unreachable, NOW);
    assert!(table.get(key).unwrap().is_suspended(NOW));
    assert_eq!(choose(&table, Some(1), 0), key);
}

#[test]
fn tried_targets_are_not_chosen_again() {
    let table = table(2);
    let first = choose(&table, Some(1), 0);
    let second = choice::choose(&table, criteria(Some(1), 0), &[first], NOW).unwrap();
    assert_ne!(first, second);
    assert_eq!(choice::choose(&table, criteria(Some(1), 0), &[first, second], NOW), None);
}

#[test]
fn weights_of_names_are_spread_evenly() {
    let ahead = (0..1_000).filter(|key| rank::weight(*key, "a") > rank::weight(*key, "b")).count();
    assert!((400..600).contains(&ahead), "{ahead}");
}

/// An outage of five seconds with a caller every 10 ms, each of whom comes back
/// once: most of them come back after its end, and not all at one moment.
#[test]
fn callers_come_back_after_the_outage_and_apart() {
    const OUTAGE_MS: u64 = 5_000;
    let mut retry_after = RetryAfter::default();
    let mut returns = Vec::new();
    for at in (0..OUTAGE_MS).step_by(10) {
        let random = rank::key_of(&at.to_string());
        returns.push(at + retry_after.record_failure(Millis(at), random));
    }
    let after = returns.iter().filter(|at| **at >= OUTAGE_MS).count();
    assert!(after * 2 > returns.len(), "{after} of {} come back after it", returns.len());
    let in_slot = |slot: u64| returns.iter().filter(|at| **at / 100 == slot).count();
    let most = (0..100).map(in_slot).max().unwrap();
    assert!(most < returns.len() / 10, "{most} callers meet within 100 ms");
    retry_after.record_success();
    assert!(retry_after.record_failure(Millis(60_000), 0) <= 700, "a fresh outage starts short");
}

/// A quick question beside a very long prompt: it goes to the next place, for
/// which three times the tokens of an ordinary prompt take five times as long.
#[test]
fn a_long_prompt_weighs_more_than_its_tokens() {
    let (short, long) = (choice::prefill_ms(17_000, 17_000), choice::prefill_ms(51_000, 51_000));
    assert!(long > short * 4.0, "{long} against {short}");
    let cached = choice::prefill_ms(3_700, 17_000);
    assert!(cached < short / 2.0, "{cached} against {short}");
    let mut table = table(4);
    let first = choose(&table, Some(1), 0);
    table.start(first, long, &[2], NOW);
    assert_ne!(choose(&table, Some(1), 0), first);
}
