//! Periodic work of a sidecar: load reports, hosts, limits, kept answers.

use std::sync::Arc;
use std::time::Duration;

use rosemarymoor_lib::admission::AdmissionLimits;
use rosemarymoor_lib::config::ConfigNode;
use rosemarymoor_lib::control::EventSink;
use rosemarymoor_lib::gate::{GateEvent, LoadReason};
use rosemarymoor_lib::host_follower::{HostFollower, POLL_INTERVAL};
use rosemarymoor_lib::host_list::Host;
use rosemarymoor_lib::host_list_http::HostListHttp;
use tokio::task::JoinHandle;

use super::context::Sidecar;

const LOAD_INTERVAL: Duration = Duration::from_millis(250);

/// Running watchers; they stop when dropped.
pub struct Watchers {
    tasks: Vec<JoinHandle<()>>,
    _hosts: HostFollower,
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
        config.hosts(hosts.clone());
        spread.set_hosts(hosts);
    });
    let hosts = HostFollower::spawn(list, POLL_INTERVAL, pass_on);
    let tasks = vec![tokio::spawn(watch_target(cx.clone())), tokio::spawn(follow_poison(cx))];
    Watchers { tasks, _hosts: hosts }
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
