//! Entry for direct delivery: its shared state, its start and its stop, and the sinks that
//! apply the store's catalog and registrations.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use rosemarymoor_lib::budget::ceiling::Headroom;
use rosemarymoor_lib::dispatch::catalog::Catalog;
use rosemarymoor_lib::dispatch::crash_tracker::Crash;
use rosemarymoor_lib::dispatch::retry_after::RetryAfter;
use rosemarymoor_lib::dispatch::retry_budget::RetryBudget;
use rosemarymoor_lib::dispatch::targets::{Registration, TargetKey, TargetTable};
use rosemarymoor_lib::kv_feed::{Changes, KeyChange, KvFeed, Listing};
use rosemarymoor_lib::kv_store::{KvStore, Versioned};
use rosemarymoor_lib::time::{Millis, MonotonicClock};
use rosemarymoor_platform::store::PlatformStore;
use rosemarymoor_platform::{catalog, keys, registration};

use super::begun_streams::{BegunStreams, StreamDirectory};
use super::budget_client::BudgetClient;
use super::ceilings::Ceilings;
use super::context::{ProcessContext, reload_on_hangup};
use super::feed::{self, FeedSink, Urgency};
use super::listener;
use super::load_monitor::LoadMonitor;
use super::metrics::{self, DirectMetrics, StoreMetrics};
use super::peer_client::PeerClient;
use super::peers::Peers;
use super::poison::PoisonedRequests;
use super::send_permits::PermitClient;
use super::settings::DirectSettings;
use super::store_path::{DirectPath, RelayedPath};
use crate::answer_memory::AnswerMemory;
use crate::http_pool::HttpPool;
use crate::http_server::HttpServer;

/// Time after a request to stop in which new connections are still served: the balancer
/// checks readiness once a second and stops sending after two failed checks.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(3_000);

/// Part of the stop's time limit that is kept for returning tokens and for the exit.
const EXIT_RESERVE: Duration = Duration::from_millis(1_300);

/// State that all requests of an entry share.
pub struct Entry {
    /// Name of the host.
    pub name: String,
    pub data_center: String,
    /// Catalog in force; `None` until the first one has been read.
    pub catalog: ArcSwapOption<Catalog>,
    targets: Mutex<TargetTable>,
    retries: Mutex<RetryBudget>,
    budget_retry_after: Mutex<RetryAfter>,
    pub pool: HttpPool,
    pub answer_memory: AnswerMemory,
    pub budgets: BudgetClient,
    /// What began the streams that may go on.
    pub streams: StreamDirectory,
    /// Permits to send to targets that have named a limit.
    pub permits: PermitClient,
    pub peers: Arc<Peers>,
    pub poison: PoisonedRequests,
    pub load: LoadMonitor,
    pub clock: MonotonicClock,
    stopping: AtomicBool,
    /// Whether the list of targets has been read once.
    has_targets: AtomicBool,
    /// Readiness as last logged.
    logged_ready: AtomicBool,
    /// Time of the store's last answer about targets, in milliseconds on the entry's clock.
    updated_at_ms: AtomicU64,
    pub metrics: DirectMetrics,
}

impl Entry {
    /// Locks the table of targets with their load and health as this entry observes them.
    pub fn targets(&self) -> MutexGuard<'_, TargetTable> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the budget of retries that this entry may send.
    pub fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the retry delay that is reported while no holder can reach the store.
    pub fn budget_retry_after(&self) -> MutexGuard<'_, RetryAfter> {
        self.budget_retry_after.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a target broke its connection while it ran a request, and reports it to
    /// the budget servers.
    pub fn record_crash(&self, fingerprint: u128, target: TargetKey) {
        let target = self.targets().get(target).map(|target| target.registration.id.clone());
        let Some(target) = target else { return };
        let crash = Crash { fingerprint, target };
        self.poison.record(&crash);
        tokio::spawn(self.budgets.clone().report_crash(crash));
    }

    /// Returns the time on the entry's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns whether the process was requested to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the time since the store's last answer about targets, in milliseconds.
    pub fn update_age_ms(&self) -> u64 {
        self.now().since(Millis(self.updated_at_ms.load(Ordering::Relaxed)))
    }

    /// Logs the readiness if it has changed.
    fn log_readiness(&self) {
        let is_ready = self.is_ready();
        if self.logged_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
            log::warn!(
                "event=readiness_changed is_ready={is_ready} is_stopping={} has_targets={} version={}",
                self.is_stopping(),
                self.has_targets.load(Ordering::Relaxed),
                self.catalog.load().as_ref().map_or(0, |catalog| catalog.version)
            );
        }
    }

    /// Returns whether the balancer should send new connections.
    pub fn is_ready(&self) -> bool {
        let has_targets = self.has_targets.load(Ordering::Relaxed);
        let is_configured = has_targets && self.catalog.load().is_some();
        is_configured && !self.is_stopping() && !self.load.is_unready()
    }
}

/// Runs an entry until it is requested to stop; returns the exit code.
pub async fn run(settings: DirectSettings, path: PathBuf) -> i32 {
    let cx = ProcessContext::open();
    let metrics = match metrics::open(settings.metrics) {
        Ok(metrics) => metrics,
        Err(err) => {
            log::error!("event=stop reason=no_metrics {err}");
            return 1;
        }
    };
    let meter = metrics.meter("direct-entry");
    let direct = DirectPath::open(cx.pool.clone(), settings.store, StoreMetrics::open(&meter));
    let store_path =
        RelayedPath::spawn(direct, cx.peers.clone(), &settings.name, &settings.data_center);
    let store = Arc::new(PlatformStore::open(store_path));
    let local_ceilings = Ceilings::spawn(store.clone(), cx.clock, Headroom::None);
    log::warn!(
        "event=start role=direct-entry host={} epoch={}",
        settings.name,
        local_ceilings.epoch()
    );
    metrics::observe_ceilings(&meter, &local_ceilings);
    let load = LoadMonitor::spawn(cx.clock);
    let client = PeerClient::open(cx.pool.clone(), cx.peers.clone());
    let entry = Arc::new(Entry {
        name: settings.name.clone(),
        data_center: settings.data_center.clone(),
        catalog: ArcSwapOption::empty(),
        targets: Mutex::new(TargetTable::default()),
        retries: Mutex::new(RetryBudget::open(settings.retries)),
        budget_retry_after: Mutex::new(RetryAfter::default()),
        pool: cx.pool.clone(),
        answer_memory: AnswerMemory::default(),
        budgets: BudgetClient::open(client.clone(), local_ceilings, load.clone()),
        permits: PermitClient::open(client.clone()),
        streams: StreamDirectory::open(BegunStreams::open(cx.clock), client),
        peers: cx.peers.clone(),
        poison: PoisonedRequests::open(cx.clock),
        load,
        clock: cx.clock,
        stopping: AtomicBool::new(false),
        has_targets: AtomicBool::new(false),
        logged_ready: AtomicBool::new(false),
        updated_at_ms: AtomicU64::new(0),
        metrics: DirectMetrics::open(&meter),
    });
    metrics::observe_entry(&meter, &entry);
    let callers = match listener::spawn(&settings, entry.clone()) {
        Ok(callers) => callers,
        Err(err) => {
            log::error!("event=stop reason=bind_failed {err}");
            return 1;
        }
    };
    let reloaded = entry.clone();
    reload_on_hangup(path, move |settings| reloaded.retries().set_limits(settings.retries));
    entry.budgets.clone().report_after_restores(store.era(), settings.data_center.clone());
    watch_store(&entry, store.clone());
    cx.watch_peers(store.clone(), entry.poison.clone());
    cx.register(&settings, store);
    cx.stop_requested().await;
    stop(&entry, callers, settings.grace).await;
    0
}

/// Spawns the tasks that keep the catalog and the targets up to date.
fn watch_store(entry: &Arc<Entry>, store: Arc<dyn KvFeed>) {
    let catalog = Arc::new(CatalogSink { entry: entry.clone() });
    feed::spawn(store.clone(), keys::CONFIGURATION, Urgency::High, catalog);
    let targets = Arc::new(TargetSink { entry: entry.clone() });
    feed::spawn(store, keys::REGISTRATIONS, Urgency::High, targets);
}

/// Stops an entry: fails readiness checks, finishes open requests and returns tokens.
async fn stop(entry: &Entry, callers: HttpServer, grace: Duration) {
    let started = Instant::now();
    entry.stopping.store(true, Ordering::Relaxed);
    log::warn!("event=stopping role=direct-entry host={}", entry.name);
    entry.log_readiness();
    tokio::time::sleep(ACCEPT_AFTER_STOP.min(grace / 2)).await;
    let close_timeout = grace.saturating_sub(EXIT_RESERVE).saturating_sub(started.elapsed());
    let open = callers.close(close_timeout).await;
    entry.budgets.close().await;
    let took_ms = started.elapsed().as_millis();
    log::warn!(
        "event=stop role=direct-entry host={} open_connections={open} took_ms={took_ms}",
        entry.name
    );
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
