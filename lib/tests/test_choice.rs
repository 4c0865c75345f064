//! Tests of the choice of a target: where shared parts are prefilled and how load follows the
//! targets' speed, with and without news of the load.

mod choice_world;

use choice_world::{News, TOKENS_PER_MS, World, criteria, prompt, registration, table};
use rosemarymoor_lib::dispatch::choice;
use rosemarymoor_lib::dispatch::load::known::{Dated, KnownLoad, LoadReport, SentWork};
use rosemarymoor_lib::dispatch::prefill_rate::{Pace, ServicePace, TargetSpeed};
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::dispatch::targets::{Registration, TargetKey, TargetTable};
use rosemarymoor_lib::time::Millis;

const NOW: Millis = Millis(10_000);
const SPEEDS: [f64; 6] = [0.6, 1.0, 1.6, 0.6, 1.0, 1.6];
const HOT: u64 = 7;

/// Objective for the first event of the callers who expect it soonest, in milliseconds.
const OBJECTIVE_MS: f64 = 800.0;

/// Target that is three times slower while it is disturbed, and one like it.
const DISTURBED: usize = 1;
const UNDISTURBED: usize = 4;
const DISTURBANCE: std::ops::Range<u64> = 3_000..6_000;

/// Plays 10 s of small prompts that need 0.8 of all targets' speed; returns the world and the tokens
/// that the disturbed target and its like have prefilled during the disturbance.
fn play_small_prompts(entries: usize, news: News) -> (World, [u64; 2]) {
    let mut world = World::new(entries, &SPEEDS, news);
    let prompt_ms = 2_100.0 / TOKENS_PER_MS;
    let per_ms = 0.8 * SPEEDS.iter().sum::<f64>() / prompt_ms;
    let mut in_disturbance = [0; 2];
    for now in 0..10_000 {
        let is_disturbed = DISTURBANCE.contains(&now);
        world.engines[DISTURBED].speed = if is_disturbed { 0.33 } else { SPEEDS[DISTURBED] };
        let work = |world: &World| [DISTURBED, UNDISTURBED].map(|at| world.engines[at].work_tokens);
        if now == DISTURBANCE.start {
            in_disturbance = work(&world);
        }
        if now == DISTURBANCE.end {
            let after = work(&world);
            in_disturbance = [after[0] - in_disturbance[0], after[1] - in_disturbance[1]];
        }
        world.tick(now);
        while (world.first_event_ms.len() as f64) < per_ms * now as f64 {
            let number = world.first_event_ms.len() as u64;
            let part = world.random() % 50;
            world.send(&prompt(part, 100, number, 2_000), now);
        }
    }
    (world, in_disturbance)
}

/// Checks that few requests are late, that a fast target's work exceeds a slow one's by about as
/// much as its speed, and that a disturbed target does less.
fn check_load(entries: usize, news: News) {
    let (world, [disturbed, undisturbed]) = play_small_prompts(entries, news);
    let late = world.first_event_ms.iter().filter(|ms| **ms > OBJECTIVE_MS).count();
    assert!(late * 20 < world.first_event_ms.len(), "{late} late, p95 {}", world.percentile_ms(95));
    let of_speed = |speed: f64| -> u64 {
        let engines = world.engines.iter().filter(|engine| engine.speed == speed);
        engines.map(|engine| engine.work_tokens).sum()
    };
    let ratio = of_speed(1.6) as f64 / of_speed(0.6) as f64;
    let speed_ratio = 1.6 / 0.6;
    assert!(ratio > speed_ratio / 2.0 && ratio < speed_ratio * 2.0, "ratio {ratio}");
    assert!(disturbed * 3 < undisturbed * 2, "{disturbed} of the disturbed, {undisturbed}");
}

macro_rules! load_cases {
    ($($name:ident: $entries:literal entries, $news:expr;)*) => {
        $(#[test]
        fn $name() {
            check_load($entries, $news);
        })*
    };
}

load_cases! {
    load_follows_speed_with_one_entry: 1 entries, News::Load;
    load_follows_speed_with_12_entries: 12 entries, News::Load;
    load_follows_speed_with_60_entries: 60 entries, News::Load;
    load_follows_speed_with_12_entries_that_know_parts: 12 entries, News::LoadAndParts;
    load_follows_speed_with_60_entries_that_know_parts: 60 entries, News::LoadAndParts;
}

/// Targets that a hot part is expected on: from those it keeps busy to twice as many.
const HOT_COPIES: std::ops::RangeInclusive<usize> = 5..=9;

/// Plays 10 s with a hot part whose own prompts need four to five targets, and 40 cold parts.
fn play_parts(entries: usize, news: News) -> World {
    let mut world = World::new(entries, &[1.0; 12], news);
    for now in 0..10_000 {
        world.tick(now);
        if now % 25 == 0 {
            world.send(&prompt(HOT, 13_300, now, 3_700), now);
        }
        if now % 100 == 50 {
            let part = 100 + world.random() % 40;
            world.send(&prompt(part, 13_300, now, 1_000), now);
        }
    }
    world
}

macro_rules! part_cases {
    ($($name:ident: $entries:literal entries, $news:expr, hot on $hot:expr, cold on $cold:literal;)*) => {
        $(#[test]
        fn $name() {
            let world = play_parts($entries, $news);
            let hot = world.copies(HOT);
            assert!($hot.contains(&hot), "{hot} copies of the hot part");
            let cold: usize = (100..140).map(|part| world.copies(part)).sum();
            assert!(cold as f64 <= 40.0 * $cold, "{cold} copies of 40 cold parts");
            let late = world.first_event_ms.iter().filter(|ms| **ms > 2.0 * OBJECTIVE_MS).count();
            assert!(late * 20 < world.first_event_ms.len(), "p95 {}", world.percentile_ms(95));
        })*
    };
}

part_cases! {
    parts_spread_as_needed_with_one_entry: 1 entries, News::LoadAndParts, hot on HOT_COPIES, cold on 1.5;
    parts_spread_as_needed_with_12_entries: 12 entries, News::LoadAndParts, hot on HOT_COPIES, cold on 1.5;
    parts_spread_as_needed_with_60_entries: 60 entries, News::LoadAndParts, hot on HOT_COPIES, cold on 1.5;
    parts_stay_by_load_alone: 12 entries, News::Load, hot on 5..=12, cold on 2.0;
    parts_stay_without_news: 12 entries, News::None, hot on 5..=12, cold on 2.0;
}

fn choose(table: &TargetTable, part: u64, tokens: u64) -> String {
    let prompt = prompt(part, tokens, 1, 3_700);
    let choice = choice::choose(table, criteria(&prompt, 5, 4), &[], NOW).unwrap();
    table.get(choice.key).unwrap().registration.id.clone()
}

fn key(table: &TargetTable, id: &str) -> TargetKey {
    table.with_id(id).unwrap().key
}

/// Gives news of all targets, the same of each but for the parts of one.
fn know(table: &mut TargetTable, holder: &str, part: u64, at: Millis) {
    let keys: Vec<TargetKey> = table.iter().map(|target| target.key).collect();
    for key in keys {
        let target = table.get_mut(key).unwrap();
        let parts = if target.registration.id == holder { vec![part] } else { Vec::new() };
        target.known = KnownLoad {
            report: Some(Dated { value: LoadReport::default(), at }),
            others: Some(Dated { value: SentWork::default(), at }),
            parts: Some(Dated { value: parts, at }),
        };
    }
}

/// Returns the target's identifier at a place in a part's order.
fn ranked(part: u64, count: usize, place: usize) -> String {
    let mut ids: Vec<String> = (0..count).map(|number| format!("t{number}")).collect();
    rank::order(part, &mut ids, |id| id.as_str());
    ids.remove(place)
}

#[test]
fn without_news_parts_go_to_the_first_target_of_their_order() {
    let table = table(12);
    for part in 0..100 {
        assert_eq!(choose(&table, part, 13_300), ranked(part, 12, 0));
    }
}

#[test]
fn a_known_holder_is_chosen_whatever_its_place_and_old_news_do_not_count() {
    for part in 0..20 {
        let holder = ranked(part, 12, 11);
        let mut table = table(12);
        know(&mut table, &holder, part, NOW);
        assert_eq!(choose(&table, part, 13_300), holder);
        know(&mut table, &holder, part, Millis(NOW.0 - 5_000));
        assert_eq!(choose(&table, part, 13_300), ranked(part, 12, 0));
    }
}

#[test]
fn a_large_part_stays_until_the_wait_exceeds_its_prefill_elsewhere() {
    let holder = ranked(3, 12, 0);
    let mut table = table(12);
    know(&mut table, &holder, 3, NOW);
    let key = key(&table, &holder);
    table.start(key, 13_300, &[], NOW);
    assert_eq!(choose(&table, 3, 13_300), holder);
    table.start(key, 40_000, &[], NOW);
    assert_ne!(choose(&table, 3, 13_300), holder);
}

#[test]
fn a_small_part_does_not_wait() {
    let holder = ranked(3, 12, 0);
    let mut table = table(12);
    know(&mut table, &holder, 3, NOW);
    let key = key(&table, &holder);
    table.start(key, 5_000, &[], NOW);
    assert_ne!(choose(&table, 3, 350), holder);
}

#[test]
fn a_restarted_target_is_not_believed_to_hold_anything() {
    let holder = ranked(3, 12, 11);
    let mut table = table(12);
    know(&mut table, &holder, 3, NOW);
    let key = key(&table, &holder);
    table.start(key, 0, &[3], NOW);
    let number = holder[1..].parse().unwrap();
    table.register(Registration { started_ms: 2, ..registration(number) });
    assert_ne!(choose(&table, 3, 13_300), holder);
}

#[test]
fn a_part_that_a_target_dropped_is_not_believed_because_it_was_sent() {
    let holder = ranked(3, 12, 11);
    let mut table = table(12);
    let key = key(&table, &holder);
    table.start(key, 0, &[3], Millis(NOW.0 - 3_000));
    know(&mut table, &holder, 4, NOW);
    assert_ne!(choose(&table, 3, 13_300), holder);
    table.start(key, 0, &[3], NOW);
    assert_eq!(choose(&table, 3, 13_300), holder);
}

#[test]
fn a_target_with_full_memory_is_left_for_last() {
    let holder = ranked(3, 12, 0);
    let mut table = table(12);
    know(&mut table, &holder, 3, NOW);
    let fill = |table: &mut TargetTable, id: &str| {
        let key = key(table, id);
        let value =
            LoadReport { memory_used: 90_000, memory_total: 100_000, ..LoadReport::default() };
        table.get_mut(key).unwrap().known.report = Some(Dated { value, at: NOW });
    };
    fill(&mut table, &holder);
    assert_ne!(choose(&table, 3, 13_300), holder);
    for number in 0..12 {
        fill(&mut table, &format!("t{number}"));
    }
    assert_eq!(choose(&table, 3, 13_300), holder, "all are full");
}

/// Requests of one moment that see one idle target do not all go there.
#[test]
fn entries_with_the_same_news_spread() {
    let mut table = table(12);
    know(&mut table, "t0", 1, NOW);
    for number in 1..12 {
        let key = key(&table, &format!("t{number}"));
        let value = SentWork { requests: 3, pending_tokens: 5_000 };
        table.get_mut(key).unwrap().known.others = Some(Dated { value, at: NOW });
    }
    let to_idle = |random: &u64| {
        let prompt = prompt(1_000 + random, 100, 1, 2_000);
        let choice = choice::choose(&table, criteria(&prompt, *random, 60), &[], NOW).unwrap();
        choice.key == key(&table, "t0")
    };
    let share = (0..1_000).filter(to_idle).count();
    assert!((100..600).contains(&share), "{share} of 1000");
}

#[test]
fn the_pace_of_a_service_and_the_speed_of_a_target_are_learned() {
    let (mut service, mut speed) = (ServicePace::default(), TargetSpeed::default());
    assert_eq!(service.pace(), Pace::default());
    for number in 0..200_u64 {
        let work = 1_000.0 + (number % 17) as f64 * 1_000.0;
        // One answer in ten waited for long.
        let wait_ms = if number % 10 == 0 { 2_000.0 } else { 0.0 };
        service.learn(work, 60.0 + work / 25.0 + wait_ms);
    }
    let pace = service.pace();
    assert!((15.0..30.0).contains(&pace.tokens_per_ms), "{pace:?}");
    for _ in 0..30 {
        speed.learn(300.0, 500.0);
    }
    assert!((0.55..0.7).contains(&speed.factor()), "{}", speed.factor());
}

#[test]
fn a_reported_rate_counts_before_the_learned_one() {
    let mut table = table(2);
    let prompt = prompt(3, 13_300, 1, 3_700);
    let first = choice::choose(&table, criteria(&prompt, 5, 4), &[], NOW).unwrap();
    let value = LoadReport { prefill_tokens_per_ms: Some(10.0), ..LoadReport::default() };
    table.get_mut(first.key).unwrap().known.report = Some(Dated { value, at: NOW });
    let cost = choice::cost_at(&table, first.key, criteria(&prompt, 5, 4), NOW).unwrap();
    assert_eq!(cost.prefill_ms, cost.prefill_tokens as f64 / 10.0);
    assert!(cost.first_event_ms() > first.first_event_ms);
}
