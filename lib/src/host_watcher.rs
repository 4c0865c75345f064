//! Watcher that polls the platform's host list and reports changes.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;

use crate::control::EventSink;
use crate::host_list::{Host, HostList};

/// Usual interval between two reads of the host list.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Running watcher; it stops when dropped.
pub struct HostWatcher {
    task: JoinHandle<()>,
}

impl HostWatcher {
    /// Spawns a watcher that sends every list that differs from the previous one to `sink`.
    ///
    /// While the service does not answer, the last list remains valid.
    pub fn spawn(
        list: Arc<dyn HostList>,
        interval: Duration,
        sink: EventSink<Vec<Host>>,
    ) -> HostWatcher {
        let task = tokio::spawn(async move {
            let mut last: Option<Vec<Host>> = None;
            loop {
                if let Some(hosts) = list.hosts().await
                    && last.as_ref() != Some(&hosts)
                {
                    sink(hosts.clone());
                    last = Some(hosts);
                }
                tokio::time::sleep(interval).await;
            }
        });
        HostWatcher { task }
    }
}

impl Drop for HostWatcher {
    fn drop(&mut self) {
        self.task.abort();
    }
}
