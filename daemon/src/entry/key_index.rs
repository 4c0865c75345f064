//! Index of workspace keys by digest, with which admission authenticates callers.

use std::sync::Arc;

use arc_swap::ArcSwap;
use rosemarymoor_lib::config::{Config, Workspace};

/// Index of the keys of one configuration.
#[derive(Debug, Default)]
struct KeyIndex {
    revision: u64,
    /// Digest of a key and index of its workspace, sorted by digest.
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

/// Key index that is rebuilt when the configuration's revision changes.
#[derive(Debug, Default)]
pub struct WorkspaceKeys {
    index: ArcSwap<KeyIndex>,
}

impl WorkspaceKeys {
    /// Returns the workspace that `key` belongs to, or `None` if the key is unknown.
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
