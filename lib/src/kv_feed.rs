//! Ranges and prefix watches of a key-value service.
//!
//! An embedder whose service has them gets lists and changes of many keys with
//! one call; [`KvStore`] alone needs single keys only.

use std::time::Duration;

use async_trait::async_trait;

use crate::kv_store::{KvStore, Outcome, Revision, Versioned};

/// Items under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Sorted by key.
    pub items: Vec<(String, Versioned)>,
    /// Revision of the service as a whole, from which a watch goes on.
    pub store_revision: Revision,
}

/// What has happened to one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyChange {
    pub key: String,
    /// `None` if the key was deleted.
    pub value: Option<Versioned>,
}

/// Answer of a prefix watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// Changes in their order, none if nothing happened while the watch waited.
    Received { changes: Vec<KeyChange>, store_revision: Revision },
    /// The service has dropped this part of its history; list the prefix again.
    HistoryGone,
}

/// Key-value service with ranges and prefix watches.
#[async_trait]
pub trait KvFeed: KvStore {
    /// Reads all keys under a prefix.
    async fn list(&self, prefix: &str, timeout: Duration) -> Outcome<Listing>;

    /// Waits up to `wait` for changes under a prefix after a revision.
    async fn watch_prefix(&self, prefix: &str, after: Revision, wait: Duration)
    -> Outcome<Changes>;
}
