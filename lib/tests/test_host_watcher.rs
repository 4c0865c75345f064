//! The host watcher reports only changes, and keeps the last list in outages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use rosemarymoor_lib::host_list::{Host, HostList, HostState, Role};
use rosemarymoor_lib::host_watcher::HostWatcher;
use tokio::sync::mpsc;

/// Host list that returns one entry of `lists` for each read, then repeats the last one.
struct ScriptedHostList {
    lists: Vec<Option<Vec<Host>>>,
    reads: AtomicUsize,
}

#[async_trait]
impl HostList for ScriptedHostList {
    async fn hosts(&self) -> Option<Vec<Host>> {
        let read = self.reads.fetch_add(1, Ordering::Relaxed);
        self.lists[read.min(self.lists.len() - 1)].clone()
    }
}

fn host(state: HostState) -> Host {
    Host {
        name: "engine-1".to_owned(),
        role: Role::Sidecar,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_center: "leics".to_owned(),
        region: "midlands".to_owned(),
        state,
    }
}

#[tokio::test]
async fn only_changes_are_reported() {
    let live = vec![host(HostState::Live)];
    let leaving = vec![host(HostState::Leaving)];
    let lists = vec![
        None,
        Some(live.clone()),
        Some(live.clone()),
        None,
        Some(live.clone()),
        Some(leaving.clone()),
    ];
    let list = Arc::new(ScriptedHostList { lists, reads: AtomicUsize::new(0) });
    let (tx, mut rx) = mpsc::unbounded_channel();
    let sink = Arc::new(move |hosts| tx.send(hosts).unwrap());
    let _watcher = HostWatcher::spawn(list, Duration::from_millis(1), sink);
    assert_eq!(rx.recv().await, Some(live));
    assert_eq!(rx.recv().await, Some(leaving));
}
