//! Process of an entry for direct delivery: its start and its stop.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use rosemarymoor_lib::budget::ceiling::Headroom;
use rosemarymoor_lib::dispatch::retry_after::RetryAfter;
use rosemarymoor_lib::dispatch::retry_budget::RetryBudget;
use rosemarymoor_lib::dispatch::targets::TargetTable;
use rosemarymoor_lib::kv_store::KvStore;
use rosemarymoor_lib::peer_memory::PeerGroup;
use rosemarymoor_platform::store::PlatformStore;

use super::begun_streams::{BegunStreams, StreamDirectory};
use super::budget_client::BudgetClient;
use super::ceilings::Ceilings;
use super::context::{ProcessContext, reload_on_hangup};
use super::entry::Entry;
use super::load_monitor::LoadMonitor;
use super::metrics::{self, DirectMetrics, StoreMetrics};
use super::peer_client::PeerClient;
use super::poison::PoisonedRequests;
use super::poison_reports::PoisonReports;
use super::send_permits::PermitClient;
use super::settings::DirectSettings;
use super::stop::Stop;
use super::store_path::{DirectPath, RelayedPath};
use super::waiting::Waiting;
use super::{entry_feeds, entry_metrics, listener, load_client};
use crate::http_server::HttpServer;

/// Time before the cut in which a process that runs late passes on what has arrived.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// Longest wait for what callers get when the rest is cut.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(200);

/// Longest wait for connections to be dropped, whose callers do not read.
const ABORT_TIME: Duration = Duration::from_millis(50);

/// Runs an entry until it is requested to stop; returns the exit code.
pub async fn run(settings: DirectSettings, path: PathBuf) -> i32 {
    let cx = ProcessContext::open(&settings);
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
    let client = PeerClient::open(cx.pool.clone(), cx.peers.clone());
    let entry = open_entry(&settings, &cx, &client, local_ceilings, DirectMetrics::open(&meter));
    entry_metrics::observe(&meter, &entry);
    let callers = match listener::spawn(&settings, entry.clone()).await {
        Ok(callers) => callers,
        Err(err) => {
            log::error!("event=stop reason=bind_failed {err}");
            return 1;
        }
    };
    let reloaded = entry.clone();
    reload_on_hangup(path, move |settings| {
        reloaded.retries().set_limits(settings.retries);
        reloaded.regions.store(Arc::new(settings.regions.clone()));
    });
    entry.budgets.clone().report_after_restores(store.era(), settings.data_center.clone());
    entry.poison.report_after_restores(store.era());
    entry_feeds::spawn(&entry, store.clone());
    load_client::spawn(entry.clone(), client);
    cx.watch_peers(store.clone(), entry.poison.clone());
    cx.register(&settings, store);
    cx.stop_requested().await;
    stop(&entry, callers, settings.grace).await;
    0
}

/// Opens the state that all requests share.
fn open_entry(
    settings: &DirectSettings,
    cx: &ProcessContext,
    client: &PeerClient,
    local_ceilings: Ceilings,
    metrics: DirectMetrics,
) -> Arc<Entry> {
    let load = LoadMonitor::spawn(cx.clock);
    Arc::new(Entry {
        name: settings.name.clone(),
        data_center: settings.data_center.clone(),
        regions: ArcSwap::from_pointee(settings.regions.clone()),
        catalog: ArcSwapOption::empty(),
        targets: Mutex::new(TargetTable::default()),
        heard: Mutex::default(),
        retries: Mutex::new(RetryBudget::open(settings.retries)),
        budget_retry_after: Mutex::new(RetryAfter::default()),
        pool: cx.pool.clone(),
        caller_memory: cx.pool.memory().for_group(PeerGroup::Callers),
        budgets: BudgetClient::open(client.clone(), local_ceilings, load.clone()),
        permits: PermitClient::open(client.clone()),
        streams: StreamDirectory::open(BegunStreams::open(cx.clock), client.clone()),
        peers: cx.peers.clone(),
        poison: PoisonReports::open(PoisonedRequests::open(cx.clock), client.clone(), cx.clock),
        load,
        traffic: Mutex::default(),
        waiting: Waiting::default(),
        clock: cx.clock,
        answer_times: Mutex::default(),
        stop: Stop::default(),
        has_targets: AtomicBool::new(false),
        logged_ready: AtomicBool::new(false),
        updated_at_ms: AtomicU64::new(0),
        load_news_at_ms: AtomicU64::new(0),
        metrics,
    })
}

/// Stops an entry: fails readiness checks, finishes open requests, cuts the rest, settles and returns
/// tokens.
async fn stop(entry: &Entry, callers: HttpServer, grace: Duration) {
    let started = Instant::now();
    entry.stop.begin(grace);
    log::warn!("event=stopping role=direct-entry host={}", entry.name);
    entry.log_readiness();
    entry.stop.accepted().await;
    log::warn!(
        "event=listener_closes host={} open_connections={} after_ms={}",
        entry.name,
        callers.open_connections(),
        started.elapsed().as_millis()
    );
    callers.begin_close();
    let time_to_cut = entry.stop.progress().map_or(Duration::ZERO, |progress| progress.left);
    callers.wait_closed(time_to_cut).await;
    let open = callers.wait_closed(ARRIVAL_TIME).await;
    entry.stop.begin_cut();
    callers.wait_closed(LAST_ANSWER_TIME).await;
    callers.abort(ABORT_TIME).await;
    entry.budgets.close(entry.stop.time_to_exit()).await;
    let took_ms = started.elapsed().as_millis();
    log::warn!(
        "event=stop role=direct-entry host={} open_connections={open} took_ms={took_ms}",
        entry.name
    );
}
