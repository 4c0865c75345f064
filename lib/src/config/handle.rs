//! Publishes the current configuration to the request paths of a process.

use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::watch;

use super::Config;

/// Shared handle to the current configuration, which request paths read without locks.
///
/// Clones share the same configuration.
#[derive(Clone, Debug)]
pub struct ConfigHandle {
    current: Arc<ArcSwap<Config>>,
    revision: watch::Sender<u64>,
}

impl Default for ConfigHandle {
    fn default() -> ConfigHandle {
        ConfigHandle { current: Arc::default(), revision: watch::Sender::new(0) }
    }
}

impl ConfigHandle {
    /// Returns the current configuration; its revision is zero before the first one is published.
    pub fn current(&self) -> Arc<Config> {
        self.current.load_full()
    }

    /// Makes `cfg` the current configuration unless the same or a newer revision already is.
    ///
    /// Returns whether `cfg` became the current configuration.
    pub fn publish(&self, cfg: impl Into<Arc<Config>>) -> bool {
        let cfg = cfg.into();
        let previous = self.current.rcu(|active| {
            if active.revision < cfg.revision { cfg.clone() } else { active.clone() }
        });
        let newer = previous.revision < cfg.revision;
        if newer {
            self.revision.send_if_modified(|revision| {
                let increased = *revision < cfg.revision;
                *revision = (*revision).max(cfg.revision);
                increased
            });
        }
        newer
    }

    /// Returns a receiver that is notified of each increase of the current revision.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Waits until `revision` or a newer one is current and returns the current configuration.
    pub async fn wait_for(&self, revision: u64) -> Arc<Config> {
        // The sender lives in `self`, so the channel cannot close while this waits.
        let _ = self.subscribe().wait_for(|active| *active >= revision).await;
        self.current()
    }
}
