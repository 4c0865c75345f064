//! Background tasks of a sidecar: poll the target's load, watch the host list, apply changed
//! limits, evict old answers and exchange poison rows with the store.

use std::sync::Arc;
use std::time::Duration;

use rosemarymoor_lib::admission::AdmissionLimits;
use rosemarymoor_lib::config::ConfigNode;
use rosemarymoor_lib::control::EventSink;
use rosemarymoor_lib::gate::{GateEvent, LoadReason};
use rosemarymoor_lib::host_list::{Host, HostList};
use rosemarymoor_lib::host_list_http::HostListHttp;
use rosemarymoor_lib::host_watcher::{HostWatcher, POLL_INTERVAL};
use rosemarymoor_lib::time::Millis;
use tokio::task::JoinHandle;

use super::context::Sidecar;

/// Longest time for which the start waits for poison rows from the store.
const START_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two polls of the target's load.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);

/// Running background tasks; they stop when dropped.
pub struct Watchers {
    tasks: Vec<JoinHandle<()>>,
    _hosts: HostWatcher,
}

impl Drop for Watchers {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Spawns all background tasks.
pub fn spawn(cx: Arc<Sidecar>, config: ConfigNode) -> Watchers {
    let list = Arc::new(HostListHttp::open(&cx.settings.hosts_url));
    let poison = cx.poison.clone();
    let on_hosts: EventSink<Vec<Host>> = Arc::new(move |hosts| {
        config.update_hosts(hosts.clone());
        poison.update_hosts(hosts);
    });
    let hosts = HostWatcher::spawn(list, POLL_INTERVAL, on_hosts);
    let tasks = vec![tokio::spawn(watch_target(cx.clone())), tokio::spawn(sync_poison(cx))];
    Watchers { tasks, _hosts: hosts }
}

/// Reads the poison rows, the host list and the target's load before the sidecar serves.
///
/// A platform that does not answer delays the start only for a limited time.
pub async fn read_initial_state(cx: &Sidecar) {
    let poison = tokio::time::timeout(START_TIMEOUT, cx.poison.read_all());
    let list = HostListHttp::open(&cx.settings.hosts_url);
    let (rows, hosts, ()) = tokio::join!(poison, list.hosts(), cx.gate.read_load(LoadReason::Poll));
    cx.gate.send(GateEvent::Poison(rows.unwrap_or_default()));
    if let Some(hosts) = hosts {
        cx.poison.update_hosts(hosts);
    }
}

/// Polls the target's load, applies changed limits and evicts old answers.
async fn watch_target(cx: Arc<Sidecar>) {
    let mut limits = AdmissionLimits::default();
    let mut reported_at: Option<Millis> = None;
    loop {
        if let Some(changed) = configured_limits(&cx).filter(|cfg| *cfg != limits) {
            limits = changed;
            cx.gate.send(GateEvent::Limits(limits));
        }
        let interval_ms = cx.gate.state().min_report_interval_ms;
        if reported_at.is_none_or(|at| cx.clock.now().since(at) >= interval_ms) {
            reported_at = Some(cx.clock.now());
            cx.gate.read_load(LoadReason::Poll).await;
        }
        cx.answers.sweep(cx.clock.now());
        tokio::time::sleep(LOAD_INTERVAL).await;
    }
}

/// Returns the limits that the current configuration gives the target, if it lists the target.
fn configured_limits(cx: &Sidecar) -> Option<AdmissionLimits> {
    let cfg = cx.cfg.current();
    let target = cfg.target(cx.target_name())?;
    let (slots, quick_slots) = (target.slots, target.quick_slots);
    Some(AdmissionLimits { slots, quick_slots, ..AdmissionLimits::default() })
}

/// Exchanges poison rows with the store and passes them to the gate.
async fn sync_poison(cx: Arc<Sidecar>) {
    let gate = cx.gate.clone();
    cx.poison.sync_with_store(move |rows| gate.send(GateEvent::Poison(rows))).await;
}
