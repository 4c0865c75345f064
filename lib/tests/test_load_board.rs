//! The board of targets' load: what readers learn, in which order, and for how long.

use rosemarymoor_lib::dispatch::load::board::{LoadBoard, LoadSource};
use rosemarymoor_lib::dispatch::load::known::{LoadReport, SentWork};
use rosemarymoor_lib::dispatch::load::news::{
    self, EntryWork, LoadCursor, LoadQuery, LoadReply, LoadScope, PartsChange, TargetEndpoint,
    TargetNews,
};
use rosemarymoor_lib::dispatch::load::prefill_meter::{EngineRun, PrefillMeter};
use rosemarymoor_lib::dispatch::load::update;
use rosemarymoor_lib::dispatch::targets::{Registration, TargetTable};
use rosemarymoor_lib::time::Millis;

fn target(host: u8) -> TargetEndpoint {
    TargetEndpoint { address: ([10, 0, 0, host], 80).into(), started_ms: 7 }
}

fn report(running: u32) -> LoadReport {
    LoadReport { running, memory_total: 1_000, ..LoadReport::default() }
}

fn sent(requests: u32) -> SentWork {
    SentWork { requests, pending_tokens: u64::from(requests) * 100 }
}

fn work(entry: &str, sent: &[(TargetEndpoint, SentWork)]) -> EntryWork {
    EntryWork { entry: entry.to_owned(), sent: sent.to_vec() }
}

fn query(scope: LoadScope, cursor: LoadCursor) -> LoadQuery {
    LoadQuery { scope, cursor, wait_ms: 0, gaps: Vec::new(), work: None }
}

fn whole(scope: LoadScope) -> LoadQuery {
    query(scope, LoadCursor::default())
}

/// Returns the question of an entry that knows nothing.
fn entry_query(entry: &str) -> LoadQuery {
    LoadQuery { work: Some(work(entry, &[])), ..whole(LoadScope::Fleet) }
}

fn find(reply: &LoadReply, target: TargetEndpoint) -> Option<&TargetNews> {
    reply.news.iter().find(|news| news.target == target)
}

fn changed(added: &[u64], removed: &[u64]) -> PartsChange {
    PartsChange::Changed { added: added.to_vec(), removed: removed.to_vec() }
}

#[test]
fn a_reader_gets_what_changed_after_its_cursor() {
    let mut board = LoadBoard::open(1);
    board.record_report(target(1), report(1), Millis(10));
    let first = board.reply(&whole(LoadScope::Fleet), Millis(30));
    assert_eq!(find(&first, target(1)).unwrap().report, Some((report(1), 20)));
    let next = query(LoadScope::Fleet, first.cursor);
    assert!(board.reply(&next, Millis(40)).news.is_empty());
    assert!(!board.has_news(&next));
    board.record_report(target(2), report(3), Millis(50));
    let second = board.reply(&next, Millis(50));
    assert_eq!(second.news.len(), 1);
    assert_eq!(find(&second, target(2)).unwrap().report, Some((report(3), 0)));
}

#[test]
fn a_report_that_did_not_change_is_passed_on_seldom() {
    let mut board = LoadBoard::open(1);
    board.record_report(target(1), report(1), Millis(0));
    let cursor = board.reply(&whole(LoadScope::Fleet), Millis(0)).cursor;
    board.record_report(target(1), report(1), Millis(100));
    assert!(!board.has_news(&query(LoadScope::Fleet, cursor)));
    board.record_report(target(1), report(1), Millis(500));
    assert!(board.has_news(&query(LoadScope::Fleet, cursor)));
}

#[test]
fn a_board_that_starts_anew_is_read_whole() {
    let mut board = LoadBoard::open(2);
    board.record_report(target(1), report(1), Millis(0));
    let of_another = LoadCursor { board: 1, sequence: 1_000 };
    let reply = board.reply(&query(LoadScope::Fleet, of_another), Millis(0));
    assert_eq!((reply.cursor.board, reply.news.len()), (2, 1));
}

#[test]
fn a_cut_reply_goes_on_where_it_ended() {
    let mut board = LoadBoard::open(1);
    let targets: Vec<_> = (0..=255).flat_map(|host| [(host, 1), (host, 2), (host, 3)]).collect();
    for (host, started_ms) in &targets {
        let endpoint = TargetEndpoint { started_ms: *started_ms, ..target(*host) };
        board.record_report(endpoint, report(1), Millis(0));
    }
    let mut cursor = LoadCursor::default();
    let mut seen = Vec::new();
    loop {
        let reply = board.reply(&query(LoadScope::Fleet, cursor), Millis(0));
        cursor = reply.cursor;
        seen.extend(reply.news.iter().map(|news| news.target));
        if reply.is_complete {
            break;
        }
    }
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen.len(), targets.len());
}

#[test]
fn an_entry_learns_what_the_others_have_sent() {
    let mut board = LoadBoard::open(1);
    board.record_work(&work("a", &[(target(1), sent(2))]), Millis(0));
    board.record_work(&work("b", &[(target(1), sent(5))]), Millis(0));
    let for_a = board.reply(&entry_query("a"), Millis(0));
    assert_eq!(find(&for_a, target(1)).unwrap().sent, sent(5));
    board.record_work(&work("b", &[]), Millis(10));
    let after = LoadQuery { cursor: for_a.cursor, ..entry_query("a") };
    let reply = board.reply(&after, Millis(10));
    assert_eq!(find(&reply, target(1)).unwrap().sent, SentWork::default());
}

#[test]
fn work_of_a_silent_entry_expires() {
    let mut board = LoadBoard::open(1);
    board.record_work(&work("a", &[(target(1), sent(2))]), Millis(0));
    board.expire(Millis(1_000));
    assert_eq!(
        find(&board.reply(&entry_query("b"), Millis(1_000)), target(1)).unwrap().sent,
        sent(2)
    );
    board.expire(Millis(1_300));
    let reply = board.reply(&entry_query("b"), Millis(1_300));
    assert_eq!(find(&reply, target(1)).unwrap().sent, SentWork::default());
}

#[test]
fn reports_and_parts_of_a_silent_target_expire() {
    let mut board = LoadBoard::open(1);
    board.record_report(target(1), report(1), Millis(0));
    board.record_parts(target(1), &PartsChange::Whole(vec![4]), Millis(0));
    board.expire(Millis(5_001));
    assert_eq!(board.reported_targets(), 0);
    assert!(!board.record_parts(target(1), &changed(&[5], &[]), Millis(5_002)));
}

/// Reads all of `from` in a scope onto `to`.
fn copy(from: &LoadBoard, to: &mut LoadBoard, source: &LoadSource, scope: LoadScope, now: Millis) {
    let reply = from.reply(&whole(scope), now);
    let bytes = news::encode(&reply);
    let decoded: LoadReply = news::decode(&bytes).unwrap();
    assert_eq!(to.apply(source, &decoded, true, now), Vec::new());
}

#[test]
fn a_data_centre_passes_on_its_own_targets_and_entries_only() {
    let (mut near, mut far) = (LoadBoard::open(1), LoadBoard::open(2));
    far.record_report(target(9), report(4), Millis(0));
    far.record_work(&work("x", &[(target(1), sent(3))]), Millis(0));
    near.record_report(target(1), report(1), Millis(0));
    near.record_work(&work("a", &[(target(1), sent(2))]), Millis(0));
    let source = LoadSource::DataCenter("far".to_owned());
    copy(&far, &mut near, &source, LoadScope::DataCenter, Millis(10));
    let fleet = near.reply(&entry_query("b"), Millis(10));
    assert_eq!(find(&fleet, target(1)).unwrap().sent, sent(5));
    assert_eq!(find(&fleet, target(9)).unwrap().report, Some((report(4), 10)));
    let local = near.reply(&whole(LoadScope::DataCenter), Millis(10));
    assert_eq!(find(&local, target(1)).unwrap().sent, sent(2));
    assert_eq!(find(&local, target(9)), None);
    let own = near.reply(&whole(LoadScope::Own), Millis(10));
    assert_eq!(own.news.len(), 1);
}

#[test]
fn a_collector_that_starts_anew_replaces_its_work() {
    let mut near = LoadBoard::open(1);
    let source = LoadSource::DataCenter("far".to_owned());
    let mut far = LoadBoard::open(2);
    far.record_work(&work("x", &[(target(1), sent(3)), (target(2), sent(1))]), Millis(0));
    copy(&far, &mut near, &source, LoadScope::DataCenter, Millis(0));
    let mut restarted = LoadBoard::open(3);
    restarted.record_work(&work("x", &[(target(2), sent(1))]), Millis(20));
    copy(&restarted, &mut near, &source, LoadScope::DataCenter, Millis(20));
    let reply = near.reply(&entry_query("a"), Millis(20));
    assert_eq!(find(&reply, target(1)).unwrap().sent, SentWork::default());
    assert_eq!(find(&reply, target(2)).unwrap().sent, sent(1));
}

#[test]
fn parts_are_passed_on_as_changes_and_whole_after_a_gap() {
    let mut board = LoadBoard::open(1);
    board.record_parts(target(1), &PartsChange::Whole(vec![1, 2]), Millis(0));
    let first = board.reply(&whole(LoadScope::Fleet), Millis(0));
    let known = PartsChange::Whole(vec![1, 2]);
    assert_eq!(find(&first, target(1)).unwrap().parts, Some((known, 0)));
    board.record_parts(target(1), &changed(&[3], &[1]), Millis(10));
    let next = query(LoadScope::Fleet, first.cursor);
    let second = board.reply(&next, Millis(10));
    assert_eq!(find(&second, target(1)).unwrap().parts, Some((changed(&[3], &[1]), 0)));
    let gap = LoadQuery { gaps: vec![target(1)], ..query(LoadScope::Fleet, second.cursor) };
    let third = board.reply(&gap, Millis(10));
    let all = PartsChange::Whole(vec![2, 3]);
    assert_eq!(find(&third, target(1)).unwrap().parts, Some((all, 0)));
    for part in 10..2_000 {
        board.record_parts(target(1), &changed(&[part], &[]), Millis(20));
    }
    let late = board.reply(&next, Millis(20));
    assert!(matches!(find(&late, target(1)).unwrap().parts, Some((PartsChange::Whole(_), 0))));
}

#[test]
fn the_board_is_bounded() {
    let mut board = LoadBoard::open(1);
    for port in 1..=5_000 {
        let endpoint = TargetEndpoint { address: ([10, 0, 0, 1], port).into(), started_ms: 1 };
        board.record_report(endpoint, report(1), Millis(0));
    }
    assert_eq!((board.reported_targets(), board.dropped()), (4_096, 904));
    assert!(board.reply(&whole(LoadScope::Fleet), Millis(0)).news.len() <= 512);
}

fn table(hosts: &[u8]) -> TargetTable {
    let mut table = TargetTable::default();
    for host in hosts {
        table.register(Registration {
            id: format!("t{host}"),
            service: "models".to_owned(),
            address: target(*host).address,
            data_center: "a".to_owned(),
            slots: 64,
            software: None,
            leaving: false,
            cold_for_ms: None,
            started_ms: 7,
        });
    }
    table
}

#[test]
fn news_reach_the_table_of_an_entry() {
    let mut board = LoadBoard::open(1);
    board.record_report(target(1), report(4), Millis(0));
    board.record_work(&work("b", &[(target(1), sent(2))]), Millis(0));
    let mut table = table(&[1, 2]);
    let reply = board.reply(&entry_query("a"), Millis(50));
    assert!(update::apply(&mut table, &reply, true, Millis(1_000)).is_empty());
    let known = &table.with_id("t1").unwrap().known;
    assert_eq!(known.report.unwrap().fresh(100, Millis(1_000)), Some(&report(4)));
    assert_eq!(known.others.unwrap().value, sent(2));
    let unused = &table.with_id("t2").unwrap().known;
    assert_eq!((unused.report, unused.others.unwrap().value), (None, SentWork::default()));
}

#[test]
fn news_of_an_earlier_process_do_not_reach_the_next_one() {
    let mut board = LoadBoard::open(1);
    let earlier = TargetEndpoint { started_ms: 6, ..target(1) };
    board.record_report(earlier, report(4), Millis(0));
    let mut table = table(&[1]);
    let reply = board.reply(&entry_query("a"), Millis(0));
    update::apply(&mut table, &reply, true, Millis(0));
    assert_eq!(table.with_id("t1").unwrap().known.report, None);
}

#[test]
fn an_entry_asks_for_parts_whose_changes_it_missed() {
    let mut board = LoadBoard::open(1);
    board.record_parts(target(1), &PartsChange::Whole(vec![1]), Millis(0));
    let cursor = board.reply(&entry_query("a"), Millis(0)).cursor;
    board.record_parts(target(1), &changed(&[2], &[]), Millis(0));
    let next = LoadQuery { cursor, ..entry_query("a") };
    let mut table = table(&[1]);
    let gaps = update::apply(&mut table, &board.reply(&next, Millis(0)), false, Millis(0));
    assert_eq!(gaps, [target(1)]);
    let reply = board.reply(&LoadQuery { gaps, ..next }, Millis(0));
    assert!(update::apply(&mut table, &reply, false, Millis(0)).is_empty());
    let known = &table.with_id("t1").unwrap().known;
    assert_eq!(
        [1, 2, 3].map(|part| known.caches(part, 0, Millis(0))),
        [Some(true), Some(true), Some(false)]
    );
}

fn run(id: &str, tokens: u64, events: u64) -> EngineRun {
    EngineRun { id: id.to_owned(), tokens, events }
}

macro_rules! prefill_cases {
    ($($name:ident: $before:expr, $after:expr => $rate:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut meter = PrefillMeter::default();
            meter.record($before, Millis(0));
            meter.record($after, Millis(100));
            assert_eq!(meter.tokens_per_ms(), $rate);
        })*
    };
}

prefill_cases! {
    one_prompt: vec![run("a", 100, 0)], vec![run("a", 2_100, 0)] => Some(20.0);
    prompts_beside_a_stream: vec![run("b", 50, 0), run("a", 100, 0), run("c", 9, 2)],
        vec![run("a", 600, 0), run("b", 550, 0), run("c", 20, 4)] => Some(10.0);
    a_prompt_that_has_ended: vec![run("a", 100, 0), run("b", 100, 0)],
        vec![run("a", 600, 0), run("b", 200, 1)] => None;
    a_prompt_that_has_begun: vec![run("a", 100, 0)], vec![run("a", 600, 0), run("b", 200, 0)] => None;
    a_prompt_of_which_nothing_was_read: vec![run("a", 0, 0)], vec![run("a", 600, 0)] => None;
    prompts_beyond_any_memory: vec![run("a", 1, 0), run("b", 1, 0)],
        vec![run("a", u64::MAX, 0), run("b", u64::MAX, 0)] => Some(u64::MAX as f64 / 100.0);
    no_prompt: vec![run("a", 100, 1)], vec![run("a", 110, 2)] => None;
}
