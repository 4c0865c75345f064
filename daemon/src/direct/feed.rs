//! Watches prefixes of the platform's store: catalog, targets and peers.
//!
//! A watcher lists its prefix, then waits for changes, and lists again if the store no longer
//! has the history of its revision.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rosemarymoor_lib::kv_feed::{Changes, KvFeed, Listing};
use rosemarymoor_lib::kv_store::{Outcome, RestoreWatch, Revision};

/// Longest time for which the store holds a watch open. It bounds the time until a silent
/// connection is noticed, and is shorter than the platform's rules give a host to recover.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Longest time for which the store holds a watch of low urgency open.
const LOW_URGENCY_WATCH_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Delay after an answer with changes, so that the next answer covers many: targets and
/// processes often start, leave or fail together.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Delay after an answer with changes of low urgency.
const LOW_URGENCY_BATCH_DELAY: Duration = Duration::from_millis(700);

/// Timeout of a list.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time from the first list of a restored store to the second, by which all who live have written
/// their keys again.
const RELIST_DELAY: Duration = Duration::from_millis(4_000);

/// Backoff after the first failed call; doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Longest backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Longest backoff after a failed call of low urgency.
const LOW_URGENCY_MAX_BACKOFF: Duration = Duration::from_millis(3_200);

/// Urgency of the changes under a prefix; sets the timeouts and delays of its watcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    High,
    Low,
}

/// Receiver of the contents and changes of a prefix.
pub trait FeedSink: Send + Sync + 'static {
    /// Applies the complete list under the prefix, as of one revision.
    fn listed(&self, listing: Listing);

    /// Applies the changes since the last list or change.
    fn changed(&self, changes: Changes);

    /// Called after each failed call to the store.
    fn store_unavailable(&self) {}

    /// Called after each answer of the store, before the list or the changes are applied.
    fn store_answered(&self) {}

    /// Called when the store was restored from a copy, before its contents are listed. What is
    /// missing in that list may be written again within [`RELIST_DELAY`].
    fn store_restored(&self) {}
}

/// Spawns the task that watches a prefix for as long as the process lives.
pub fn spawn(
    feed: Arc<dyn KvFeed>,
    prefix: &'static str,
    urgency: Urgency,
    sink: Arc<dyn FeedSink>,
) {
    tokio::spawn(async move {
        let (watch_timeout, batch_delay, max_backoff) = match urgency {
            Urgency::High => (WATCH_TIMEOUT, BATCH_DELAY, MAX_BACKOFF),
            Urgency::Low => {
                (LOW_URGENCY_WATCH_TIMEOUT, LOW_URGENCY_BATCH_DELAY, LOW_URGENCY_MAX_BACKOFF)
            }
        };
        let restores = feed.era().map(RestoreWatch::open);
        let mut watcher = Watcher {
            feed,
            restores,
            relist_at: None,
            prefix,
            watch_timeout,
            batch_delay,
            max_backoff,
            sink,
            revision: None,
            consecutive_failures: 0,
        };
        loop {
            watcher.step().await;
        }
    });
}

struct Watcher {
    feed: Arc<dyn KvFeed>,
    /// Restores of the store; `None` for a store that loses nothing.
    restores: Option<RestoreWatch>,
    /// When to list once more after a restore.
    relist_at: Option<Instant>,
    prefix: &'static str,
    watch_timeout: Duration,
    batch_delay: Duration,
    max_backoff: Duration,
    sink: Arc<dyn FeedSink>,
    /// Revision up to which all changes have been applied; `None` if the prefix has to be
    /// listed.
    revision: Option<Revision>,
    consecutive_failures: u32,
}

impl Watcher {
    async fn step(&mut self) {
        if self.restores.as_mut().and_then(RestoreWatch::take_restored).is_some() {
            log::warn!("event=store_restored prefix={}", self.prefix);
            self.sink.store_restored();
            self.revision = None;
            self.relist_at = Some(Instant::now() + RELIST_DELAY);
        } else if self.relist_at.is_some_and(|at| Instant::now() >= at) {
            self.relist_at = None;
            self.revision = None;
        }
        match self.revision {
            None => self.list().await,
            Some(revision) => self.watch_until_restored(revision).await,
        }
    }

    /// Watches; gives up at once when another call shows that the store was restored.
    async fn watch_until_restored(&mut self, revision: Revision) {
        // A copy, so that the next step sees the restore too.
        let Some(mut restores) = self.restores.clone() else { return self.watch(revision).await };
        tokio::select! {
            () = self.watch(revision) => {}
            _ = restores.restored() => {}
        }
    }

    async fn list(&mut self) {
        match self.feed.list(self.prefix, LIST_TIMEOUT).await {
            Outcome::Done(listing) => {
                self.record_answer();
                self.revision = Some(listing.global_revision);
                self.sink.listed(listing);
            }
            Outcome::NotDone(_) | Outcome::Unknown => self.record_failure().await,
        }
    }

    async fn watch(&mut self, revision: Revision) {
        match self.feed.watch_prefix(self.prefix, revision, self.watch_timeout).await {
            Outcome::Done(Changes::HistoryGone) => {
                log::warn!("event=history_gone prefix={} revision={revision}", self.prefix);
                self.record_answer();
                self.revision = None;
            }
            Outcome::Done(changes) => {
                self.record_answer();
                let mut has_changes = false;
                if let Changes::Received { global_revision, changes } = &changes {
                    self.revision = Some((*global_revision).max(revision));
                    has_changes = !changes.is_empty();
                }
                self.sink.changed(changes);
                if has_changes {
                    tokio::time::sleep(self.batch_delay).await;
                }
            }
            Outcome::NotDone(_) | Outcome::Unknown => self.record_failure().await,
        }
    }

    /// Resets the backoff and notifies the sink.
    fn record_answer(&mut self) {
        if self.consecutive_failures > 0 {
            log::warn!("event=dependency_regained dependency=store prefix={}", self.prefix);
            self.consecutive_failures = 0;
        }
        self.sink.store_answered();
    }

    /// Notifies the sink and waits for the backoff.
    async fn record_failure(&mut self) {
        if self.consecutive_failures == 0 {
            log::warn!("event=dependency_lost dependency=store prefix={}", self.prefix);
        }
        self.sink.store_unavailable();
        let backoff = MIN_BACKOFF * 2_u32.pow(self.consecutive_failures.min(6));
        self.consecutive_failures += 1;
        tokio::time::sleep(backoff.min(self.max_backoff)).await;
    }
}
