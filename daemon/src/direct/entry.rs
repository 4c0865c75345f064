//! State that all requests of an entry for direct delivery share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use rosemarymoor_lib::dispatch::catalog::Catalog;
use rosemarymoor_lib::dispatch::heard_targets::HeardTargets;
use rosemarymoor_lib::dispatch::order::answer_times::AnswerTimes;
use rosemarymoor_lib::dispatch::regions::RegionMap;
use rosemarymoor_lib::dispatch::retry_after::RetryAfter;
use rosemarymoor_lib::dispatch::retry_budget::RetryBudget;
use rosemarymoor_lib::dispatch::targets::TargetTable;
use rosemarymoor_lib::peer_memory::PeerMemory;
use rosemarymoor_lib::time::{Millis, MonotonicClock};

use super::begun_streams::StreamDirectory;
use super::budget_client::BudgetClient;
use super::load_monitor::LoadMonitor;
use super::metrics::DirectMetrics;
use super::peers::Peers;
use super::poison_reports::PoisonReports;
use super::send_permits::PermitClient;
use super::stop::Stop;
use super::traffic::Traffic;
use super::waiting::Waiting;
use crate::http_pool::HttpPool;

/// State that all requests of an entry share.
pub struct Entry {
    /// Name of the host.
    pub name: String,
    pub data_center: String,
    /// Regions of the data centres, by the settings.
    pub regions: ArcSwap<RegionMap>,
    /// Catalog in force; `None` until the first one has been read.
    pub catalog: ArcSwapOption<Catalog>,
    pub(super) targets: Mutex<TargetTable>,
    pub(super) heard: Mutex<HeardTargets>,
    pub(super) retries: Mutex<RetryBudget>,
    pub(super) budget_retry_after: Mutex<RetryAfter>,
    pub pool: HttpPool,
    /// Memory for what callers send.
    pub caller_memory: PeerMemory,
    pub budgets: BudgetClient,
    /// What began the streams that may go on.
    pub streams: StreamDirectory,
    /// Permits to send to targets that have named a limit.
    pub permits: PermitClient,
    pub peers: Arc<Peers>,
    /// What crashes targets.
    pub poison: PoisonReports,
    pub load: LoadMonitor,
    /// Recent traffic, for the order in which an overloaded entry refuses requests.
    pub(super) traffic: Mutex<Traffic>,
    /// Requests that wait until a target takes them.
    pub waiting: Waiting,
    pub clock: MonotonicClock,
    /// How long answers took lately.
    pub(super) answer_times: Mutex<AnswerTimes>,
    pub stop: Stop,
    /// Whether the list of targets has been read once.
    pub(super) has_targets: AtomicBool,
    /// Readiness as last logged.
    pub(super) logged_ready: AtomicBool,
    /// Time of the store's last answer about targets, in milliseconds on the entry's clock.
    pub(super) updated_at_ms: AtomicU64,
    /// Time of the last reply with targets' load on the entry's clock, in milliseconds; 0
    /// before the first.
    pub(super) load_news_at_ms: AtomicU64,
    pub metrics: DirectMetrics,
}

impl Entry {
    /// Locks the table of targets with their load and health as this entry observes them.
    pub fn targets(&self) -> MutexGuard<'_, TargetTable> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what has lately been heard of the targets.
    pub fn heard(&self) -> MutexGuard<'_, HeardTargets> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the recent traffic.
    pub fn traffic(&self) -> MutexGuard<'_, Traffic> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the budget of retries that this entry may send.
    pub fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the retry delay that is reported while no holder can reach the store.
    pub fn budget_retry_after(&self) -> MutexGuard<'_, RetryAfter> {
        self.budget_retry_after.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the times of the latest answers.
    pub fn answer_times(&self) -> MutexGuard<'_, AnswerTimes> {
        self.answer_times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time on the entry's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns whether the process was requested to stop.
    pub fn is_stopping(&self) -> bool {
        self.stop.has_begun()
    }

    /// Returns the time since the store's last answer about targets, in milliseconds.
    pub fn update_age_ms(&self) -> u64 {
        self.now().since(Millis(self.updated_at_ms.load(Ordering::Relaxed)))
    }

    /// Returns the time since the last reply with targets' load, in milliseconds; 0 if there
    /// were none.
    pub fn load_news_age_ms(&self) -> u64 {
        match self.load_news_at_ms.load(Ordering::Relaxed) {
            0 => 0,
            at => self.now().since(Millis(at)),
        }
    }

    /// Logs the readiness if it has changed.
    pub(super) fn log_readiness(&self) {
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
