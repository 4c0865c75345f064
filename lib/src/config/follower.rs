//! Follows the store's head and puts each newer revision in force.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::ConfigHandle;
use super::store::{self, HEAD_KEY, LoadError, StoredConfig, load_revision};
use crate::kv_store::{KvStore, Outcome, Revision};

const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Running follower; it stops when dropped.
pub struct ConfigFollower {
    task: JoinHandle<()>,
}

impl ConfigFollower {
    /// Spawns a follower that publishes to `handle`.
    pub fn spawn(kv: Arc<dyn KvStore>, handle: ConfigHandle) -> ConfigFollower {
        let follow = Follow { kv, handle, held: None, seen: Revision::ABSENT };
        ConfigFollower { task: tokio::spawn(follow.run()) }
    }
}

impl Drop for ConfigFollower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Follow {
    kv: Arc<dyn KvStore>,
    handle: ConfigHandle,
    held: Option<StoredConfig>,
    seen: Revision,
}

impl Follow {
    async fn run(mut self) {
        loop {
            match self.kv.watch(HEAD_KEY, self.seen, WATCH_TIMEOUT).await {
                Outcome::Done(Some(versioned)) => {
                    if self.take(&versioned.value).await.is_ok() {
                        self.seen = versioned.revision;
                        continue;
                    }
                }
                Outcome::Done(None) => continue,
                Outcome::NotDone(_) | Outcome::Unknown => {}
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn take(&mut self, bytes: &[u8]) -> Result<(), LoadError> {
        let head = match store::decode_head(bytes) {
            Ok(head) => head,
            Err(source) => {
                log::error!("decision=keep-config reason=bad-head detail=\"{source}\"");
                return Err(LoadError::Decode { source });
            }
        };
        let held = self.handle.current().revision;
        if head.revision() <= held {
            let offered = head.revision();
            log::info!("decision=keep-config reason=not-newer held={held} offered={offered}");
            return Ok(());
        }
        let stored = load_revision(self.kv.as_ref(), head, self.held.as_ref()).await?;
        let (revision, author) = (stored.head.revision(), &stored.head.summary.author);
        if self.handle.publish(stored.config.clone()) {
            log::info!("decision=take-config revision={revision} author=\"{author}\"");
        }
        self.held = Some(stored);
        Ok(())
    }
}
