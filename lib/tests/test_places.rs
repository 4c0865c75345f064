//! Where requests may go: evacuated data centres, cold targets and allowed regions.

use proptest::prelude::*;
use rosemarymoor_lib::dispatch::choice;
use rosemarymoor_lib::dispatch::cold_start::{ColdReason, ColdReport, ColdStart};
use rosemarymoor_lib::dispatch::criteria::SelectionCriteria;
use rosemarymoor_lib::dispatch::evacuations::{EvacuationChange, Evacuations};
use rosemarymoor_lib::dispatch::prompt::PromptPart;
use rosemarymoor_lib::dispatch::regions::RegionMap;
use rosemarymoor_lib::dispatch::send_permits::{
    IssuerRank, LimitReport, PERMIT_VALIDITY_MS, PermitIssuer, PermitRequest,
};
use rosemarymoor_lib::dispatch::target_limit::{SendDecision, TargetLimit};
use rosemarymoor_lib::dispatch::target_process::TargetProcess;
use rosemarymoor_lib::dispatch::targets::{Registration, TargetTable};
use rosemarymoor_lib::kv_store::Revision;
use rosemarymoor_lib::time::Millis;

const NOW: Millis = Millis(50_000);
const COLD: ColdStart = ColdStart { duration_ms: 3_000, per_second: 5.0 };

fn registration(id: &str, data_center: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_center: data_center.to_owned(),
        slots: 64,
        software: None,
        leaving: false,
        started_ms: 1,
        cold_for_ms: None,
    }
}

/// Returns a table of the targets `a0`, `a1` in data centre `a` and `b0` in `b`.
fn table() -> TargetTable {
    let mut table = TargetTable::default();
    for (id, data_center) in [("a0", "a"), ("a1", "a"), ("b0", "b")] {
        table.register(registration(id, data_center));
    }
    table.set_cold_starts(vec![("models".to_owned(), COLD)], NOW);
    table
}

fn criteria(allowed: Option<&[String]>) -> SelectionCriteria<'_> {
    SelectionCriteria {
        service: "models",
        software: None,
        allowed_data_centers: allowed,
        data_center: "a",
        prompt: &[PromptPart { id: 7, tokens: 100 }],
        tokens: 100,
        random: 3,
        without_asking: false,
        entry_count: 4,
    }
}

fn chosen(table: &TargetTable, allowed: Option<&[String]>) -> Option<String> {
    let key = choice::choose(table, criteria(allowed), &[], NOW)?.key;
    table.get(key).map(|target| target.registration.id.clone())
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn no_target_of_an_evacuated_data_centre_is_chosen() {
    let mut table = table();
    table.evacuations.begin("a");
    assert_eq!(chosen(&table, None).as_deref(), Some("b0"));
    table.evacuations.begin("b");
    assert_eq!(chosen(&table, None), None);
    assert_eq!(table.shortest_wait_ms("models", NOW), None);
    table.evacuations.end("b");
    assert_eq!(chosen(&table, None).as_deref(), Some("b0"));
}

/// Step of the store as an entry sees it.
#[derive(Clone, Debug)]
enum Step {
    Begin(&'static str),
    End(&'static str),
    List(Vec<&'static str>),
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    let name = prop_oneof![Just("a"), Just("b"), Just("c")];
    prop_oneof![
        name.clone().prop_map(Step::Begin),
        name.clone().prop_map(Step::End),
        prop::collection::vec(name, 0..4).prop_map(Step::List),
        Just(Step::Restore),
    ]
}

proptest! {
    /// Only a deletion, or a list that is not the first one of a restored store, ends an evacuation.
    #[test]
    fn an_evacuation_ends_only_by_the_operators_word(steps in prop::collection::vec(step(), 0..40)) {
        let mut evacuations = Evacuations::default();
        let mut expected: Vec<String> = Vec::new();
        let mut is_restored = false;
        for step in steps {
            match step {
                Step::Begin(name) => {
                    evacuations.begin(name);
                    expected.push(name.to_owned());
                }
                Step::End(name) => {
                    evacuations.end(name);
                    expected.retain(|existing| existing != name);
                }
                Step::List(listed) => {
                    evacuations.replace(names(&listed));
                    if !std::mem::take(&mut is_restored) {
                        expected.clear();
                    }
                    expected.extend(names(&listed));
                }
                Step::Restore => {
                    evacuations.store_restored();
                    is_restored = true;
                }
            }
            for name in ["a", "b", "c"] {
                let is_expected = expected.iter().any(|existing| existing == name);
                prop_assert_eq!(evacuations.contains(name), is_expected);
            }
        }
    }
}

#[test]
fn changes_of_a_list_are_told() {
    let mut evacuations = Evacuations::default();
    evacuations.begin("b");
    let began = |name: &str| EvacuationChange::Began(name.to_owned());
    let ended = EvacuationChange::Ended("b".to_owned());
    assert_eq!(evacuations.replace(names(&["c", "a"])), [ended, began("a"), began("c")]);
    assert_eq!(evacuations.begin("a"), None);
}

fn report(left_ms: Option<u64>, revision: u64) -> ColdReport {
    ColdReport { left_ms, revision: Revision(revision) }
}

fn is_cold(table: &TargetTable, id: &str, now: Millis) -> bool {
    table.with_id(id).unwrap().limit.is_cold(now)
}

/// Defines a test for the registration of a target, and whether an earlier list lacked it.
macro_rules! cold_cases {
    ($($case:ident: $left_ms:expr, $is_after_list:expr => $reason:expr, $left:expr;)*) => {
        $(#[test]
        fn $case() {
            let mut table = table();
            let became = table.report_cold("a0", report($left_ms, 1), $is_after_list, NOW);
            let found = became.map(|target| (target.reason, target.left_ms));
            assert_eq!(found, $reason.map(|reason| (reason, $left)));
            assert_eq!(is_cold(&table, "a0", NOW), $reason.is_some());
            assert!(!is_cold(&table, "a0", NOW.plus($left)));
            assert!(!is_cold(&table, "a1", NOW));
        })*
    };
}

cold_cases! {
    a_registration_says_how_long_a_target_is_cold: Some(1_200), false => Some(ColdReason::Registered), 1_200;
    a_new_process_is_cold: None, true => Some(ColdReason::Started), 3_000;
    a_new_process_that_says_it_is_warm_is_not: Some(0), true => None::<ColdReason>, 0;
    a_process_of_the_first_list_is_not_taken_for_new: None, false => None::<ColdReason>, 0;
    a_huge_time_is_bounded: Some(u64::MAX), false => Some(ColdReason::Registered), 600_000;
}

#[test]
fn targets_may_be_cold_after_an_evacuation_until_a_later_registration() {
    let mut table = table();
    let became = table.presume_cold("a", Revision(9), NOW);
    assert_eq!(became.len(), 2);
    assert!(is_cold(&table, "a0", NOW) && !is_cold(&table, "b0", NOW));
    table.report_cold("a0", report(Some(0), 9), true, NOW);
    assert!(is_cold(&table, "a0", NOW), "the registration may be older than the end");
    table.report_cold("a0", report(Some(0), 10), true, NOW);
    assert!(!is_cold(&table, "a0", NOW));
    assert!(is_cold(&table, "a1", NOW.plus(2_999)) && !is_cold(&table, "a1", NOW.plus(3_000)));
}

#[test]
fn services_without_a_cold_start_have_no_cold_targets() {
    let mut table = table();
    table.report_cold("a0", report(Some(1_000), 1), true, NOW);
    table.set_cold_starts(Vec::new(), NOW);
    assert!(!is_cold(&table, "a0", NOW));
    let became = table.set_cold_starts(vec![("models".to_owned(), COLD)], NOW);
    assert_eq!(became.len(), 1, "the configuration may come after the registrations");
    assert!(is_cold(&table, "a0", NOW));
}

#[test]
fn warm_targets_are_chosen_while_many_are_cold() {
    let mut table = TargetTable::default();
    for number in 0..20 {
        table.register(registration(&format!("t{number}"), "a"));
    }
    table.set_cold_starts(vec![("models".to_owned(), COLD)], NOW);
    for number in 0..19 {
        table.report_cold(&format!("t{number}"), report(Some(3_000), 1), true, NOW);
    }
    let without_asking = SelectionCriteria { without_asking: true, ..criteria(None) };
    let key = choice::choose(&table, without_asking, &[], NOW).unwrap().key;
    assert_eq!(table.get(key).unwrap().registration.id, "t19");
}

/// Step between numbers from 0 to 1 that are spread evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// World of entries that know that a target is cold, and of its two issuers.
struct ColdWorld {
    issuers: [PermitIssuer; 2],
    entries: Vec<TargetLimit>,
}

impl ColdWorld {
    /// Returns whether an entry sends; `issuer` is the one that it reaches, if any.
    fn try_send(&mut self, entry: usize, issuer: Option<usize>, random: f64, now: Millis) -> bool {
        let entry_count = self.entries.len() as u64;
        let known = &mut self.entries[entry];
        let limit = match known.decide(now) {
            SendDecision::Send => return true,
            SendDecision::Wait => return false,
            SendDecision::Ask(limit) => limit,
        };
        let Some(issuer) = issuer else {
            // Each entry draws another number.
            let random = (random + entry as f64 * GOLDEN_RATIO).fract();
            return known.take_unassisted(entry_count, random, now);
        };
        let target = TargetProcess { id: "t0".to_owned(), started_ms: 7 };
        let rank = if issuer == 0 { IssuerRank::First } else { IssuerRank::Second };
        let req = PermitRequest { report: LimitReport { target, limit }, rank };
        let reply = self.issuers[issuer].issue(&req, now);
        known.apply_reply(&reply, now);
        known.decide(now) == SendDecision::Send
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Entries that reach the first issuer, only the second or none keep the limit in sum, also if
    /// the target names a higher limit.
    #[test]
    fn entries_keep_the_limit_of_a_cold_target_together(
        reaches in prop::collection::vec(prop::option::of(0_usize..2), 1..20),
        per_second in 1.0_f64..12.0,
        named in prop::option::of(20.0_f64..50.0),
        random in 0.0_f64..1.0,
    ) {
        let until = Millis(NOW.0 + 6_000);
        let mut entry = TargetLimit::default();
        entry.apply(named, NOW, NOW);
        entry.set_cold(Some(per_second), until);
        let mut world = ColdWorld { issuers: Default::default(), entries: vec![entry; reaches.len()] };
        let mut sent = Vec::new();
        for at in (NOW.0..until.0).step_by(10) {
            for (entry, issuer) in reaches.iter().enumerate() {
                if world.try_send(entry, *issuer, random, Millis(at)) {
                    sent.push(at);
                }
            }
        }
        for from in (NOW.0..until.0).step_by(10) {
            let in_window = sent.iter().filter(|at| (from..from + 1_000).contains(*at)).count();
            prop_assert!(in_window as f64 <= per_second * 1.5 + 5.0, "{in_window} from {from}");
        }
        let reaches_first = reaches.contains(&Some(0));
        prop_assert!(!reaches_first || sent.len() as f64 > per_second * 4.0, "it is used");
        if named.is_none() {
            prop_assert!(world.try_send(0, reaches[0], random, until), "it ends by itself");
        }
    }
}

/// An issuer that has only heard that a target is cold ends no limit that the target has named.
#[test]
fn a_report_of_a_cold_target_ends_no_named_limit() {
    let mut issuer = PermitIssuer::default();
    let target = TargetProcess { id: "t0".to_owned(), started_ms: 7 };
    let ask = |issuer: &mut PermitIssuer, known: &mut TargetLimit, now: Millis| {
        let SendDecision::Ask(limit) = known.decide(now) else { panic!("it has no permit") };
        let report = LimitReport { target: target.clone(), limit };
        let reply = issuer.issue(&PermitRequest { report, rank: IssuerRank::First }, now);
        known.apply_reply(&reply, now);
    };
    let mut unaware = TargetLimit::default();
    unaware.set_cold(Some(5.0), NOW.plus(PERMIT_VALIDITY_MS));
    ask(&mut issuer, &mut unaware, NOW);
    let mut limited = TargetLimit::default();
    limited.apply(Some(2.0), Millis(0), Millis(0));
    let later = NOW.plus(5_000);
    ask(&mut issuer, &mut limited, later);
    assert_eq!(limited.per_second(), Some(2.0));
}

#[test]
fn requests_go_to_the_allowed_regions_only() {
    let pairs = [("b", "east"), ("a", "west"), ("c", "west")];
    let pair = |(name, region): &(&str, &str)| ((*name).to_owned(), (*region).to_owned());
    let regions = RegionMap::new(pairs.iter().map(pair).collect());
    let (west, both) = (names(&["west"]), names(&["east", "west"]));
    assert_eq!(regions.allowed_data_centers(&[&[], &[]]), None);
    assert_eq!(regions.allowed_data_centers(&[&west, &[]]), Some(names(&["a", "c"])));
    assert_eq!(regions.allowed_data_centers(&[&both, &west]), Some(names(&["a", "c"])));
    assert_eq!(regions.allowed_data_centers(&[&names(&["east"]), &west]), Some(Vec::new()));
    assert_eq!(RegionMap::default().allowed_data_centers(&[&west]), Some(Vec::new()));
    let table = table();
    let east = regions.allowed_data_centers(&[&names(&["east"])]);
    assert_eq!(chosen(&table, east.as_deref()).as_deref(), Some("b0"));
    assert_eq!(chosen(&table, Some(&[])), None);
    assert_eq!(table.shortest_wait_in_ms("models", Some(&[]), NOW), None);
}
