//! Feeds of an entry from the platform's store: the catalog and the evacuated data centres, which the
//! operator writes, and the targets' registrations.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use rosemarymoor_lib::dispatch::catalog::Catalog;
use rosemarymoor_lib::dispatch::cold_start::{ColdReport, ColdStart};
use rosemarymoor_lib::dispatch::cold_targets::ColdTarget;
use rosemarymoor_lib::dispatch::evacuations::EvacuationChange;
use rosemarymoor_lib::dispatch::targets::{Registration, TargetTable};
use rosemarymoor_lib::kv_feed::{Changes, KeyChange, KvFeed, Listing};
use rosemarymoor_lib::kv_store::{Revision, Versioned};
use rosemarymoor_platform::{catalog, keys, registration};

use super::entry::Entry;
use super::feed::{self, FeedSink, Urgency};

/// Spawns the tasks that keep the catalog, the evacuated data centres and the targets up to date.
///
/// One watch follows all that the operator writes, which costs the store no more calls than one of
/// the catalog, and an entry that knows its catalog knows which data centres are evacuated.
pub fn spawn(entry: &Arc<Entry>, store: Arc<dyn KvFeed>) {
    let operator = Arc::new(OperatorSink { entry: entry.clone() });
    feed::spawn(store.clone(), keys::OPERATOR, Urgency::High, operator);
    let targets = Arc::new(TargetSink { entry: entry.clone() });
    feed::spawn(store, keys::REGISTRATIONS, Urgency::High, targets);
}

/// Puts newer catalogs and the operator's evacuations into force.
struct OperatorSink {
    entry: Arc<Entry>,
}

impl OperatorSink {
    fn apply_catalog(&self, bytes: &[u8]) {
        let decoded = match catalog::decode(bytes) {
            Ok(decoded) => decoded,
            Err(err) => {
                log::error!("event=catalog_refused reason={err}");
                self.entry.metrics.count_malformed_input("catalog");
                return;
            }
        };
        let current_version =
            self.entry.catalog.load().as_ref().map_or(0, |catalog| catalog.version);
        if decoded.version <= current_version {
            return;
        }
        let routes = decoded.route_count();
        log::info!(
            "event=catalog_in_force version={} before={current_version} routes={routes}",
            decoded.version
        );
        let now = self.entry.now();
        let became_cold = self.entry.targets().set_cold_starts(cold_starts(&decoded), now);
        became_cold.iter().for_each(|target| record_cold(&self.entry, target));
        self.entry.catalog.store(Some(Arc::new(decoded)));
        self.entry.log_readiness();
    }

    fn apply_evacuations(&self, listing: &Listing) {
        let names = listing.items.iter().filter_map(|(key, _)| keys::evacuated_data_center(key));
        let mut table = self.entry.targets();
        let changes = table.evacuations.replace(names.map(str::to_owned).collect());
        for change in &changes {
            self.apply_to_targets(&mut table, change, listing.global_revision);
        }
    }

    fn apply_evacuation_change(&self, change: &KeyChange, revision: Revision) {
        let Some(data_center) = keys::evacuated_data_center(&change.key) else { return };
        let mut table = self.entry.targets();
        let change = match change.value {
            Some(_) => table.evacuations.begin(data_center),
            None => table.evacuations.end(data_center),
        };
        if let Some(change) = change {
            self.apply_to_targets(&mut table, &change, revision);
        }
    }

    /// Logs and counts a change; the targets of a data centre may be cold after its evacuation, and
    /// get no request in between.
    fn apply_to_targets(
        &self,
        table: &mut TargetTable,
        change: &EvacuationChange,
        revision: Revision,
    ) {
        match change {
            EvacuationChange::Began(data_center) => {
                log::warn!("event=evacuated data_center={data_center}");
                self.entry.metrics.count_evacuation("began");
            }
            EvacuationChange::Ended(data_center) => {
                log::warn!("event=evacuation_ended data_center={data_center}");
                self.entry.metrics.count_evacuation("ended");
                let now = self.entry.now();
                let became_cold = table.presume_cold(data_center, revision, now);
                became_cold.iter().for_each(|target| record_cold(&self.entry, target));
            }
        }
    }
}

/// Returns how the targets of the catalog's services start, where they are cold at first.
fn cold_starts(catalog: &Catalog) -> Vec<(String, ColdStart)> {
    let services = catalog.services();
    services.filter_map(|service| Some((service.name.clone(), service.cold_start?))).collect()
}

/// Logs and counts a target that has become cold.
fn record_cold(entry: &Entry, target: &ColdTarget) {
    let ColdTarget { id, left_ms, reason } = target;
    log::info!("event=target_cold target={id} left_ms={left_ms} reason={}", reason.label());
    entry.metrics.count_cold_target(reason.label());
}

impl FeedSink for OperatorSink {
    fn listed(&self, listing: Listing) {
        self.apply_evacuations(&listing);
        for (key, found) in &listing.items {
            if key == keys::CONFIGURATION {
                self.apply_catalog(&found.value);
            }
        }
    }

    fn changed(&self, changes: Changes) {
        let Changes::Received { changes, global_revision } = changes else { return };
        for change in &changes {
            self.apply_evacuation_change(change, global_revision);
        }
        // Older versions among the changes are obsolete.
        let newest = changes.iter().rev().find(|change| change.key == keys::CONFIGURATION);
        if let Some(found) = newest.and_then(|change| change.value.as_ref()) {
            self.apply_catalog(&found.value);
        }
    }

    /// A restored store may lack an evacuation that is in force.
    fn store_restored(&self) {
        self.entry.targets().evacuations.store_restored();
    }
}

/// Applies registrations to the table of targets.
struct TargetSink {
    entry: Arc<Entry>,
}

impl TargetSink {
    /// Decodes the registration of the target `id`; logs and counts a malformed one.
    fn decode(&self, id: &str, found: &Versioned) -> Option<(Registration, ColdReport)> {
        let Some(decoded) = registration::decode(id, &found.value) else {
            log::warn!("event=registration_malformed target={id}");
            self.entry.metrics.count_malformed_input("registration");
            return None;
        };
        let report = ColdReport { left_ms: decoded.cold_for_ms, revision: found.revision };
        Some((decoded, report))
    }

    fn report_cold(
        &self,
        table: &mut TargetTable,
        id: &str,
        report: ColdReport,
        is_after_list: bool,
    ) {
        let became_cold = table.report_cold(id, report, is_after_list, self.entry.now());
        if let Some(target) = became_cold {
            record_cold(&self.entry, &target);
        }
    }

    fn apply(&self, table: &mut TargetTable, change: &KeyChange) {
        let Some(id) = keys::registered_target_id(&change.key) else { return };
        let decoded = change.value.as_ref().and_then(|found| self.decode(id, found));
        match decoded {
            Some((registration, report)) => {
                let leaving = registration.leaving;
                let service = registration.service.clone();
                let software = registration.software.clone().unwrap_or_default();
                if table.register(registration) {
                    log::info!(
                        "event=target_listed target={id} service={service} software={software} leaving={leaving}"
                    );
                }
                self.report_cold(table, id, report, true);
            }
            None => {
                log::info!(
                    "event=target_vanished target={id} malformed={}",
                    change.value.is_some()
                );
                table.deregister(id);
            }
        }
    }
}

impl FeedSink for TargetSink {
    fn listed(&self, listing: Listing) {
        let decode = |(key, found): &(String, Versioned)| {
            self.decode(keys::registered_target_id(key)?, found)
        };
        let decoded: Vec<_> = listing.items.iter().filter_map(decode).collect();
        log::info!("event=targets_listed count={}", decoded.len());
        let is_after_list = self.entry.has_targets.load(Ordering::Relaxed);
        let mut table = self.entry.targets();
        table.expire(self.entry.now());
        table.replace(decoded.iter().map(|(registration, _)| registration.clone()).collect());
        for (registration, report) in &decoded {
            self.report_cold(&mut table, &registration.id, *report, is_after_list);
        }
        drop(table);
        self.entry.has_targets.store(true, Ordering::Relaxed);
        self.entry.log_readiness();
    }

    fn changed(&self, changes: Changes) {
        let Changes::Received { changes, .. } = changes else { return };
        let mut table = self.entry.targets();
        for change in &changes {
            self.apply(&mut table, change);
        }
    }

    fn store_unavailable(&self) {
        self.entry.targets().store_unavailable();
    }

    /// A restored store lacks registrations whose targets live, like one that was away.
    fn store_restored(&self) {
        self.entry.targets().store_unavailable();
    }

    fn store_answered(&self) {
        let now = self.entry.now();
        self.entry.updated_at_ms.store(now.0, Ordering::Relaxed);
        self.entry.targets().store_available(now);
    }
}
