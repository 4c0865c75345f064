//! Periodic work of a sidecar: load reports, hosts, limits, kept answers.

use std::sync::Arc;
use std::time::Duration;

use rosemarymoor_lib::admission::AdmissionLimits;
use rosemarymoor_lib::config::ConfigNode;
use rosemarymoor_lib::control::EventSink;
use rosemarymoor_lib::gate::{GateEvent, LoadReason};
use rosemarymoor_lib::host_list::{Host, HostList};
use rosemarymoor_lib::host_list_http::HostListHttp;
use rosemarymoor_lib::host_watcher::{HostWatcher, POLL_INTERVAL};
use tokio::task::JoinHandle;

use super::context::Sidecar;

/// Longest time that a start waits for knowledge from the platform.
const LEARN_TIMEOUT: Duration = Duration::from_secs(2);
const LOAD_INTERVAL: Duration = Duration::from_millis(250);

/// Running watchers; they stop when dropped.
pub struct Watchers {
    tasks: Vec<JoinHandle<()>>,
    _hosts: HostWatcher,
}

impl Drop for Watchers {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Spawns every watcher.
pub fn spawn(cx: Arc<Sidecar>, config: ConfigNode) -> Watchers {
    let list = Arc::new(HostListHttp::open(&cx.settings.hosts_url));
    let spread = cx.spread.clone();
    let pass_on: EventSink<Vec<Host>> = Arc::new(move |hosts| {
        config.update_hosts(hosts.clone());
        spread.set_hosts(hosts);
    });
    let hosts = HostWatcher::spawn(list, POLL_INTERVAL, pass_on);
    let tasks = vec![tokio::spawn(watch_target(cx.clone())), tokio::spawn(follow_poison(cx))];
    Watchers { tasks, _hosts: hosts }
}

/// Learns the poison requests, the other sidecars and the target's state.
///
/// A platform that does not answer delays the start only up to a limit.
pub async fn learn(cx: &Sidecar) {
    let poison = tokio::time::timeout(LEARN_TIMEOUT, cx.spread.read_all());
    let list = HostListHttp::open(&cx.settings.hosts_url);
    let (rows, hosts, ()) = tokio::join!(poison, list.hosts(), cx.gate.read_load(LoadReason::Poll));
    cx.gate.send(GateEvent::Poison(rows.unwrap_or_default()));
    if let Some(hosts) = hosts {
        cx.spread.set_hosts(hosts);
    }
}

async fn watch_target(cx: Arc<Sidecar>) {
    let mut limits = AdmissionLimits::default();
    loop {
        if let Some(changed) = configured_limits(&cx).filter(|cfg| *cfg != limits) {
            limits = changed;
            cx.gate.send(GateEvent::Limits(limits));
        }
        cx.gate.read_load(LoadReason::Poll).await;
        cx.answers.sweep(cx.clock.now());
        tokio::time::sleep(LOAD_INTERVAL).await;
    }
}

fn configured_limits(cx: &Sidecar) -> Option<AdmissionLimits> {
    let cfg = cx.cfg.current();
    let target = cfg.target(cx.target_name())?;
    let (slots, quick_slots) = (target.slots, target.quick_slots);
    Some(AdmissionLimits { slots, quick_slots, ..AdmissionLimits::default() })
}

async fn follow_poison(cx: Arc<Sidecar>) {
    let gate = cx.gate.clone();
    cx.spread.follow_store(move |rows| gate.send(GateEvent::Poison(rows))).await;
}
