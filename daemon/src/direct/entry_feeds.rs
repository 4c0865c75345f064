//! Feeds of an entry: the catalog and the targets' registrations in the platform's store.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use rosemarymoor_lib::dispatch::targets::{Registration, TargetTable};
use rosemarymoor_lib::kv_feed::{Changes, KeyChange, KvFeed, Listing};
use rosemarymoor_lib::kv_store::Versioned;
use rosemarymoor_platform::{catalog, keys, registration};

use super::entry::Entry;
use super::feed::{self, FeedSink, Urgency};

/// Spawns the tasks that keep the catalog and the targets up to date.
pub fn spawn(entry: &Arc<Entry>, store: Arc<dyn KvFeed>) {
    let catalog = Arc::new(CatalogSink { entry: entry.clone() });
    feed::spawn(store.clone(), keys::CONFIGURATION, Urgency::High, catalog);
    let targets = Arc::new(TargetSink { entry: entry.clone() });
    feed::spawn(store, keys::REGISTRATIONS, Urgency::High, targets);
}

/// Puts newer catalogs into force.
struct CatalogSink {
    entry: Arc<Entry>,
}

impl CatalogSink {
    fn apply(&self, bytes: &[u8]) {
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
        self.entry.catalog.store(Some(Arc::new(decoded)));
        self.entry.log_readiness();
    }
}

impl FeedSink for CatalogSink {
    fn listed(&self, listing: Listing) {
        for (key, found) in &listing.items {
            if key == keys::CONFIGURATION {
                self.apply(&found.value);
            }
        }
    }

    fn changed(&self, changes: Changes) {
        let Changes::Received { changes, .. } = changes else { return };
        // Older versions among the changes are obsolete.
        let newest = changes.iter().rev().find(|change| change.key == keys::CONFIGURATION);
        if let Some(found) = newest.and_then(|change| change.value.as_ref()) {
            self.apply(&found.value);
        }
    }
}

/// Applies registrations to the table of targets.
struct TargetSink {
    entry: Arc<Entry>,
}

impl TargetSink {
    /// Decodes the registration of the target `id`; logs and counts a malformed one.
    fn decode(&self, id: &str, found: &Versioned) -> Option<Registration> {
        let decoded = registration::decode(id, &found.value);
        if decoded.is_none() {
            log::warn!("event=registration_malformed target={id}");
            self.entry.metrics.count_malformed_input("registration");
        }
        decoded
    }

    fn apply(&self, table: &mut TargetTable, change: &KeyChange) {
        let Some(id) = keys::registered_target_id(&change.key) else { return };
        let decoded = change.value.as_ref().and_then(|found| self.decode(id, found));
        match decoded {
            Some(registration) => {
                let leaving = registration.leaving;
                let service = registration.service.clone();
                let software = registration.software.clone().unwrap_or_default();
                if table.register(registration) {
                    log::info!(
                        "event=target_listed target={id} service={service} software={software} leaving={leaving}"
                    );
                }
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
        let registrations: Vec<_> = listing.items.iter().filter_map(decode).collect();
        log::info!("event=targets_listed count={}", registrations.len());
        let mut table = self.entry.targets();
        table.expire(self.entry.now());
        table.replace(registrations);
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
