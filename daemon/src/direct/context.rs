//! Context that every process for direct delivery opens first: connections, clock, list of
//! processes, signals.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rosemarymoor_lib::kv_feed::{Changes, KvFeed, Listing};
use rosemarymoor_lib::kv_store::{KvStore, Outcome, RestoreWatch};
use rosemarymoor_lib::peer_memory::PeerMemory;
use rosemarymoor_lib::time::MonotonicClock;
use tokio::signal::unix::{SignalKind, signal};

use super::feed::{self, FeedSink, Urgency};
use super::fleet_keys::{PEER_PREFIX, peer_key};
use super::peers::{PeerRecord, Peers};
use super::poison;
use super::poison_reports::PoisonReports;
use super::settings::DirectSettings;
use crate::http_pool::HttpPool;

/// Lease duration of an entry in the fleet's own list.
const PEER_TTL: Duration = Duration::from_secs(300);

/// Interval at which the entry in the list is renewed.
const PEER_RENEWAL_INTERVAL: Duration = Duration::from_secs(100);

/// Pause after the entry in the list could not be written.
const PEER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connection pool, clock and list of processes; clones share them.
#[derive(Clone)]
pub struct ProcessContext {
    pub pool: HttpPool,
    pub clock: MonotonicClock,
    pub peers: Arc<Peers>,
}

impl ProcessContext {
    /// Opens the context of a process.
    pub fn open(settings: &DirectSettings) -> ProcessContext {
        let clock = MonotonicClock::start();
        ignore_hangup();
        let pool = HttpPool::within(&PeerMemory::open(settings.memory_bytes));
        ProcessContext { pool, clock, peers: Arc::new(Peers::open(clock)) }
    }

    /// Spawns the task that keeps this process in the fleet's own list.
    pub fn register(&self, settings: &DirectSettings, kv: Arc<dyn KvStore>) {
        let role = settings.role.name();
        let record = PeerRecord {
            name: settings.name.clone(),
            role: role.to_owned(),
            data_center: settings.data_center.clone(),
            internal: settings.internal,
        };
        let key = peer_key(role, &settings.name);
        let mut is_renewal = false;
        tokio::spawn(async move {
            let mut restores = kv.era().map(RestoreWatch::open);
            loop {
                let is_listed = register_once(kv.as_ref(), &key, &record, is_renewal).await;
                is_renewal |= is_listed;
                let pause = if is_listed { PEER_RENEWAL_INTERVAL } else { PEER_RETRY_INTERVAL };
                // A restored store may have lost the record, or the lease of one that it shows.
                let Some(restores) = &mut restores else {
                    tokio::time::sleep(pause).await;
                    continue;
                };
                tokio::select! {
                    () = tokio::time::sleep(pause) => {}
                    _ = restores.restored() => {}
                }
            }
        });
    }

    /// Spawns the task that watches the fleet's own list.
    pub fn watch_peers(&self, feed: Arc<dyn KvFeed>, poison: PoisonReports) {
        self.spawn_peer_feed(feed, Some(poison));
    }

    /// Spawns the task that watches the fleet's own list for its processes alone.
    pub fn follow_peers(&self, feed: Arc<dyn KvFeed>) {
        self.spawn_peer_feed(feed, None);
    }

    fn spawn_peer_feed(&self, feed: Arc<dyn KvFeed>, poison: Option<PoisonReports>) {
        let is_restored = AtomicBool::new(false);
        let sink = Arc::new(PeerSink { peers: self.peers.clone(), poison, is_restored });
        feed::spawn(feed, PEER_PREFIX, Urgency::Low, sink);
    }

    /// Waits for a signal to stop, SIGTERM or SIGINT; returns at once if signals are not
    /// available.
    pub async fn stop_requested(&self) {
        let terminate = signal(SignalKind::terminate());
        let interrupt = signal(SignalKind::interrupt());
        match (terminate, interrupt) {
            (Ok(mut terminate), Ok(mut interrupt)) => tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            },
            _ => log::error!("event=signals_unavailable"),
        }
    }
}

/// Replaces the default action of SIGHUP, which would end a process that is still starting.
///
/// The settings were read just before, so a reload that comes this early has nothing to do.
fn ignore_hangup() {
    if let Err(err) = signal(SignalKind::hangup()) {
        log::error!("event=signals_unavailable reason={err}");
    }
}

/// Spawns the task that reloads the settings on SIGHUP.
///
/// The log level and what `apply` sets, for an entry the limits of retries, take effect at
/// once; addresses and names take effect at the next start.
pub fn reload_on_hangup(path: PathBuf, apply: impl Fn(&DirectSettings) + Send + 'static) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(err) => {
            log::error!("event=signals_unavailable reason={err}");
            return;
        }
    };
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            match DirectSettings::open(&path) {
                Ok(settings) => {
                    log::set_max_level(settings.log_level);
                    apply(&settings);
                    log::warn!("event=reload outcome=taken log_level={}", settings.log_level);
                }
                Err(err) => log::error!("event=reload outcome=kept_old reason={err}"),
            }
        }
    });
}

/// Writes the record under a new lease; returns whether it is listed.
///
/// A process that starts again finds its earlier record, whose lease lasts until the first
/// renewal, and writes nothing: after a power loss all processes start at the same time.
async fn register_once(kv: &dyn KvStore, key: &str, record: &PeerRecord, is_renewal: bool) -> bool {
    let Outcome::Done(found) = kv.get(key, STORE_TIMEOUT).await else { return false };
    let value = serde_json::to_vec(record).expect("serializing a peer record to JSON cannot fail");
    if !is_renewal && found.as_ref().is_some_and(|found| found.value == value) {
        return true;
    }
    let revision = found.map_or_else(Default::default, |found| found.revision);
    let Outcome::Done(lease) = kv.open_lease(PEER_TTL, STORE_TIMEOUT).await else { return false };
    let written = kv.compare_and_swap(key, revision, value, Some(lease), STORE_TIMEOUT).await;
    matches!(written, Outcome::Done(_))
}

/// Applies the fleet's own list to the peers and to the poisoned requests.
struct PeerSink {
    peers: Arc<Peers>,
    /// `None` if poisoned requests are not followed.
    poison: Option<PoisonReports>,
    /// Whether the next list is the first of a restored store.
    is_restored: AtomicBool,
}

impl FeedSink for PeerSink {
    fn listed(&self, listing: Listing) {
        let keeps_unlisted = self.is_restored.swap(false, Ordering::Relaxed);
        self.peers.apply_listing(&listing, keeps_unlisted);
        if let Some(reports) = &self.poison {
            reports.apply(&poison::listed(&listing));
        }
    }

    fn changed(&self, changes: Changes) {
        self.peers.apply_changes(&changes);
        if let Some(reports) = &self.poison {
            reports.apply(&poison::changed(&changes));
        }
    }

    fn store_restored(&self) {
        self.is_restored.store(true, Ordering::Relaxed);
    }
}
