//! What every process for direct delivery opens first.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rosemarymoor_lib::kv_feed::{Changes, KvFeed, Listing};
use rosemarymoor_lib::kv_store::{KvStore, Outcome};
use rosemarymoor_lib::time::MonotonicClock;
use tokio::signal::unix::{SignalKind, signal};

use super::feed::{self, FeedSink, Urgency};
use super::peers::{PEER_PREFIX, PeerEntry, Peers, peer_key};
use super::poison::PoisonedRequests;
use super::settings::DirectSettings;
use crate::http_pool::HttpPool;

/// Time to live of an entry in the fleet's own list.
const PEER_TTL: Duration = Duration::from_secs(300);

/// Pause between two renewals of it.
const PEER_RENEWAL_INTERVAL: Duration = Duration::from_secs(100);

/// Pause after a failed write of it.
const PEER_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time in which the store has to answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pool, clock and list of processes.
#[derive(Clone)]
pub struct ProcessContext {
    pub pool: HttpPool,
    pub clock: MonotonicClock,
    pub peers: Arc<Peers>,
}

impl ProcessContext {
    /// Opens them for a process.
    pub fn open() -> ProcessContext {
        let clock = MonotonicClock::start();
        ProcessContext { pool: HttpPool::open(), clock, peers: Arc::new(Peers::open(clock)) }
    }

    /// Starts to keep this process in the fleet's own list.
    pub fn register(&self, settings: &DirectSettings, kv: Arc<dyn KvStore>) {
        let role = settings.role.name();
        let entry = PeerEntry {
            name: settings.name.clone(),
            role: role.to_owned(),
            data_center: settings.data_center.clone(),
            internal: settings.internal,
        };
        let key = peer_key(role, &settings.name);
        let mut renewal = false;
        tokio::spawn(async move {
            loop {
                let is_listed = register_once(kv.as_ref(), &key, &entry, renewal).await;
                renewal |= is_listed;
                let pause = if is_listed { PEER_RENEWAL_INTERVAL } else { PEER_RETRY_PAUSE };
                tokio::time::sleep(pause).await;
            }
        });
    }

    /// Starts to follow the fleet's own list.
    pub fn watch_peers(&self, feed: Arc<dyn KvFeed>, poison: PoisonedRequests) {
        let sink = Arc::new(PeerSink { peers: self.peers.clone(), poison });
        feed::spawn(feed, PEER_PREFIX, Urgency::Slow, sink);
    }

    /// Waits until the process is told to stop.
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

/// Starts to reload the settings whenever the process is told that they changed.
///
/// The log level and the limits of retries take effect at once; addresses and
/// names hold until the next start.
pub fn reload_on_hangup(path: PathBuf, take: impl Fn(&DirectSettings) + Send + 'static) {
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
                    take(&settings);
                    log::warn!("event=reload outcome=taken log_level={}", settings.log_level);
                }
                Err(err) => log::error!("event=reload outcome=kept_old reason={err}"),
            }
        }
    });
}

/// Writes the entry under a fresh lease; answers whether it is listed.
///
/// A process that starts again finds its entry there, whose lease lasts until the
/// first renewal, and writes nothing: after a loss of power all start at one time.
async fn register_once(kv: &dyn KvStore, key: &str, entry: &PeerEntry, renewal: bool) -> bool {
    let Outcome::Done(found) = kv.get(key, STORE_TIMEOUT).await else { return false };
    let value = serde_json::to_vec(entry).expect("an entry can be encoded");
    if !renewal && found.as_ref().is_some_and(|found| found.value == value) {
        return true;
    }
    let revision = found.map_or_else(Default::default, |found| found.revision);
    let Outcome::Done(lease) = kv.open_lease(PEER_TTL, STORE_TIMEOUT).await else { return false };
    let written = kv.compare_and_swap(key, revision, value, Some(lease), STORE_TIMEOUT).await;
    matches!(written, Outcome::Done(_))
}

struct PeerSink {
    peers: Arc<Peers>,
    poison: PoisonedRequests,
}

impl FeedSink for PeerSink {
    fn listed(&self, listing: Listing) {
        self.peers.apply_listing(&listing);
        self.poison.apply_listing(&listing);
    }

    fn changed(&self, changes: Changes) {
        self.peers.apply_changes(&changes);
        self.poison.apply_changes(&changes);
    }
}
