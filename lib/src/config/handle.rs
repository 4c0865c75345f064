//! Shared view of the configuration in force.

use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::watch;

use super::Config;

/// Snapshot of the configuration that traffic threads read without locks.
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
    /// Configuration in force; revision zero before the first.
    pub fn current(&self) -> Arc<Config> {
        self.current.load_full()
    }

    /// Puts `cfg` in force unless a newer revision already is; tells whether it did.
    pub fn publish(&self, cfg: impl Into<Arc<Config>>) -> bool {
        let cfg = cfg.into();
        let previous = self
            .current
            .rcu(|held| if held.revision < cfg.revision { cfg.clone() } else { held.clone() });
        let newer = previous.revision < cfg.revision;
        if newer {
            self.revision.send_if_modified(|revision| {
                let grown = *revision < cfg.revision;
                *revision = (*revision).max(cfg.revision);
                grown
            });
        }
        newer
    }

    /// Receives the revision in force whenever it grows.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Waits until `revision` or a newer one is in force.
    pub async fn wait_for(&self, revision: u64) -> Arc<Config> {
        // The sender lives in `self`, so the channel cannot close while this waits.
        let _ = self.subscribe().wait_for(|held| *held >= revision).await;
        self.current()
    }
}
