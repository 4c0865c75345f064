//! Shared view of the configuration in force.

use std::sync::Arc;

use arc_swap::ArcSwap;

use super::Config;

/// Snapshot of the configuration that traffic threads read without locks.
#[derive(Clone, Debug, Default)]
pub struct ConfigHandle {
    current: Arc<ArcSwap<Config>>,
}

impl ConfigHandle {
    /// Configuration in force; revision zero before the first.
    pub fn current(&self) -> Arc<Config> {
        self.current.load_full()
    }

    /// Puts `cfg` in force unless a newer revision already is; tells whether it did.
    pub fn publish(&self, cfg: Config) -> bool {
        let cfg = Arc::new(cfg);
        let previous = self
            .current
            .rcu(|held| if held.revision < cfg.revision { cfg.clone() } else { held.clone() });
        previous.revision < cfg.revision
    }
}
