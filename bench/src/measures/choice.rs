//! Measures how long the choice of a target takes, with news of every target.

use std::hint::black_box;
use std::time::Instant;

use rosemarymoor_lib::dispatch::choice;
use rosemarymoor_lib::dispatch::criteria::SelectionCriteria;
use rosemarymoor_lib::dispatch::load::known::{Dated, KnownLoad, LoadReport, SentWork};
use rosemarymoor_lib::dispatch::prompt::PromptPart;
use rosemarymoor_lib::dispatch::targets::{Registration, TargetTable};
use rosemarymoor_lib::time::Millis;
use serde_json::{Value, json};

use super::print_line;
use crate::percentile::percentile;

const TARGETS: u64 = 50;
const PARTS: u64 = 256;
const CHOICES: u64 = 20_000;
const NOW: Millis = Millis(10_000);

/// Measures single choices and returns their times as JSON.
pub fn run() -> Value {
    let table = table();
    let times_ns: Vec<u64> = (0..CHOICES).map(|number| choose(&table, number)).collect();
    let at = |percent| percentile(times_ns.iter().copied(), percent) as f64 / 1e3;
    let (median_us, p99_us) = (at(50), at(99));
    print_line(format!("choice of {TARGETS} targets: median {median_us} us, p99 {p99_us} us"));
    json!({ "targets": TARGETS, "parts": PARTS, "median_us": median_us, "p99_us": p99_us })
}

/// Returns the time of one choice, in nanoseconds.
fn choose(table: &TargetTable, number: u64) -> u64 {
    let part = |id, tokens| PromptPart { id, tokens };
    let prompt = [part(number % PARTS, 2_500), part((number * 7) % PARTS, 13_300), part(!0, 3_700)];
    let criteria = SelectionCriteria {
        service: "models",
        software: None,
        allowed_data_centers: None,
        data_center: "leics",
        prompt: &prompt,
        tokens: 20_000,
        random: number,
        without_asking: false,
        entry_count: 26,
    };
    let start = Instant::now();
    black_box(choice::choose(black_box(table), criteria, &[], NOW));
    start.elapsed().as_nanos() as u64
}

fn table() -> TargetTable {
    let mut table = TargetTable::default();
    for number in 0..TARGETS {
        table.register(registration(number));
    }
    let keys: Vec<_> = table.iter().map(|target| target.key).collect();
    let parts: Vec<u64> = (0..PARTS).collect();
    for (key, number) in keys.into_iter().zip(0..) {
        let load = LoadReport { memory_total: 400_000, ..LoadReport::default() };
        let others = SentWork { requests: 5, pending_tokens: number * 100 };
        let held = parts.iter().copied().filter(|part| part % 5 == number % 5).collect();
        let Some(target) = table.get_mut(key) else { continue };
        target.known = KnownLoad {
            report: Some(Dated { value: load, at: NOW }),
            others: Some(Dated { value: others, at: NOW }),
            parts: Some(Dated { value: held, at: NOW }),
        };
        table.start(key, 1_000, &parts, NOW);
    }
    table
}

fn registration(number: u64) -> Registration {
    Registration {
        id: format!("i-{number:010x}"),
        service: "models".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        data_center: "leics".to_owned(),
        slots: 64,
        software: None,
        leaving: false,
        cold_for_ms: None,
        started_ms: 1,
    }
}
