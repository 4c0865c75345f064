//! Gauges of an entry's state.

use std::sync::Arc;

use opentelemetry::metrics::Meter;
use rosemarymoor_lib::dispatch::targets::Target;

use super::entry::Entry;

/// Age up to which a target counts as reported, in milliseconds.
const REPORT_MAX_AGE_MS: u64 = 2_000;

/// Registers gauges of an entry's state: catalog, targets, evacuations, entries, age of the last update,
/// readiness and load.
pub fn observe(meter: &Meter, entry: &Arc<Entry>) {
    let gauge = |name: &'static str, value: fn(&Entry) -> u64| {
        let entry = Arc::downgrade(entry);
        meter
            .u64_observable_gauge(name)
            .with_callback(move |observer| {
                if let Some(entry) = entry.upgrade() {
                    observer.observe(value(&entry), &[]);
                }
            })
            .build();
    };
    gauge("catalog_version", |entry| {
        entry.catalog.load().as_ref().map_or(0, |catalog| catalog.version)
    });
    gauge("targets_listed", |entry| entry.targets().iter().count() as u64);
    gauge("data_centers_evacuated", |entry| entry.targets().evacuations.count() as u64);
    gauge("entries_listed", |entry| entry.peers.entry_count());
    gauge("news_age_ms", Entry::update_age_ms);
    gauge("peer_memory_bytes", |entry| entry.caller_memory.used_bytes() as u64);
    gauge("targets_reported", |entry| {
        let now = entry.now();
        let is_reported = |target: &&Target| {
            target.known.report.is_some_and(|report| report.fresh(REPORT_MAX_AGE_MS, now).is_some())
        };
        entry.targets().iter().filter(is_reported).count() as u64
    });
    gauge("load_news_age_ms", Entry::load_news_age_ms);
    gauge("requests_waiting", |entry| entry.waiting.count() as u64);
    gauge("is_ready", |entry| u64::from(entry.is_ready()));
    gauge("timer_lag_ms", |entry| entry.load.shedder().lag_ms() as u64);
    gauge("refused_share_percent", |entry| (entry.load.shedder().refused_share() * 100.0) as u64);
}
