//! Workspace keys of a configuration, sorted by digest.

use std::sync::Arc;

use arc_swap::ArcSwap;
use rosemarymoor_lib::config::{Config, Workspace};

/// Index of one configuration.
#[derive(Debug, Default)]
struct KeyIndex {
    revision: u64,
    /// Digest and position of its workspace, sorted by digest.
    keys: Vec<(String, u32)>,
}

impl KeyIndex {
    fn build(cfg: &Config) -> KeyIndex {
        let digests = |(at, workspace): (usize, &Workspace)| {
            let keys: Vec<_> =
                workspace.key_digests.iter().map(|digest| (digest.clone(), at as u32)).collect();
            keys
        };
        let mut keys: Vec<_> = cfg.workspaces.iter().enumerate().flat_map(digests).collect();
        keys.sort();
        KeyIndex { revision: cfg.revision, keys }
    }
}

/// Index that follows the configuration.
#[derive(Debug, Default)]
pub struct WorkspaceKeys {
    index: ArcSwap<KeyIndex>,
}

impl WorkspaceKeys {
    /// Workspace that `key` belongs to.
    pub fn find<'c>(&self, cfg: &'c Config, key: &str) -> Option<&'c Workspace> {
        let index = self.index_of(cfg);
        let digest = blake3::hash(key.as_bytes()).to_hex();
        let at = index.keys.binary_search_by(|(known, _)| known.as_str().cmp(&digest)).ok()?;
        cfg.workspaces.get(index.keys[at].1 as usize)
    }

    fn index_of(&self, cfg: &Config) -> Arc<KeyIndex> {
        let cached = self.index.load_full();
        if cached.revision == cfg.revision {
            return cached;
        }
        let built = Arc::new(KeyIndex::build(cfg));
        self.index.store(built.clone());
        built
    }
}
