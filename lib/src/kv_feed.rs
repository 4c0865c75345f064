//! Prefix listings and prefix watches of a key-value service.
//!
//! They are optional: with them, one call returns the items or changes of many
//! keys, while [`KvStore`] reads and watches single keys.

use std::time::Duration;

use async_trait::async_trait;

use crate::kv_store::{KvStore, Outcome, Revision, Versioned};

/// Items whose keys start with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Sorted by key.
    pub items: Vec<(String, Versioned)>,
    /// Revision of the whole store at the time of the listing, from which a watch can continue.
    pub global_revision: Revision,
}

/// Change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyChange {
    pub key: String,
    /// New value; `None` if the key was deleted.
    pub value: Option<Versioned>,
}

/// Result of a prefix watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// Changes in order, empty if there were none while the watch waited.
    ///
    /// `global_revision` is the revision from which the next watch continues.
    Received { changes: Vec<KeyChange>, global_revision: Revision },
    /// The service no longer has the changes since this revision; list the prefix again.
    HistoryGone,
}

/// Key-value service with prefix listings and prefix watches.
#[async_trait]
pub trait KvFeed: KvStore {
    /// Reads all keys that start with a prefix.
    async fn list(&self, prefix: &str, timeout: Duration) -> Outcome<Listing>;

    /// Waits up to `timeout` for changes to keys with a prefix after revision `last_read`.
    async fn watch_prefix(
        &self,
        prefix: &str,
        last_read: Revision,
        timeout: Duration,
    ) -> Outcome<Changes>;
}
