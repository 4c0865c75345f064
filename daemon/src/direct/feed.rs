//! Keeps catalog, targets and peers up to date from the platform's store.

use std::sync::Arc;
use std::time::Duration;

use rosemarymoor_lib::kv_feed::{Changes, KvFeed, Listing};
use rosemarymoor_lib::kv_store::{Outcome, Revision};

/// Wait of one watch. A connection that has fallen silent is noticed after it,
/// within the time that the platform's rules give a host to find its feet.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);

/// Wait of a watch whose news are in no hurry.
const SLOW_WATCH_WAIT: Duration = Duration::from_millis(10_000);

/// Pause after an answer with news, in which further news gather: many targets and
/// processes start, leave or fail at one time.
const BATCH_PAUSE: Duration = Duration::from_millis(200);
const SLOW_BATCH_PAUSE: Duration = Duration::from_millis(700);

/// Time in which a list has to be answered.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause after a failed call, doubled up to the longest one.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(800);
const MAX_SLOW_BACKOFF: Duration = Duration::from_millis(3_200);

/// How urgent the news of a prefix are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    Prompt,
    Slow,
}

/// Takes what a feed brings.
pub trait FeedSink: Send + Sync + 'static {
    /// The whole list under the prefix, as read at one time.
    fn listed(&self, listing: Listing);

    /// What has changed since.
    fn changed(&self, changes: Changes);

    /// The store does not answer.
    fn store_unavailable(&self) {}

    /// The store has answered, with or without news.
    fn answered(&self) {}
}

/// Starts to follow a prefix.
pub fn spawn(
    feed: Arc<dyn KvFeed>,
    prefix: &'static str,
    urgency: Urgency,
    sink: Arc<dyn FeedSink>,
) {
    tokio::spawn(async move {
        let (wait, batch_pause, max_backoff) = match urgency {
            Urgency::Prompt => (WATCH_WAIT, BATCH_PAUSE, MAX_BACKOFF),
            Urgency::Slow => (SLOW_WATCH_WAIT, SLOW_BATCH_PAUSE, MAX_SLOW_BACKOFF),
        };
        let mut watcher =
            Watcher { feed, prefix, wait, batch_pause, max_backoff, sink, seen: None, failures: 0 };
        loop {
            watcher.step().await;
        }
    });
}

struct Watcher {
    feed: Arc<dyn KvFeed>,
    prefix: &'static str,
    wait: Duration,
    batch_pause: Duration,
    max_backoff: Duration,
    sink: Arc<dyn FeedSink>,
    /// Revision up to which everything is known; `None` before the first list.
    seen: Option<Revision>,
    failures: u32,
}

impl Watcher {
    async fn step(&mut self) {
        match self.seen {
            None => self.list().await,
            Some(seen) => self.watch(seen).await,
        }
    }

    async fn list(&mut self) {
        match self.feed.list(self.prefix, LIST_TIMEOUT).await {
            Outcome::Done(listing) => {
                self.answered();
                self.seen = Some(listing.revision_of_all);
                self.sink.listed(listing);
            }
            Outcome::NotDone(_) | Outcome::Unknown => self.failed().await,
        }
    }

    async fn watch(&mut self, seen: Revision) {
        match self.feed.watch_prefix(self.prefix, seen, self.wait).await {
            Outcome::Done(Changes::HistoryGone) => {
                log::warn!("event=history_gone prefix={} revision={seen}", self.prefix);
                self.answered();
                self.seen = None;
            }
            Outcome::Done(changes) => {
                self.answered();
                let mut has_news = false;
                if let Changes::Seen { revision_of_all, changes } = &changes {
                    self.seen = Some((*revision_of_all).max(seen));
                    has_news = !changes.is_empty();
                }
                self.sink.changed(changes);
                if has_news {
                    tokio::time::sleep(self.batch_pause).await;
                }
            }
            Outcome::NotDone(_) | Outcome::Unknown => self.failed().await,
        }
    }

    fn answered(&mut self) {
        if self.failures > 0 {
            log::warn!("event=dependency_regained dependency=store prefix={}", self.prefix);
            self.failures = 0;
        }
        self.sink.answered();
    }

    async fn failed(&mut self) {
        if self.failures == 0 {
            log::warn!("event=dependency_lost dependency=store prefix={}", self.prefix);
        }
        self.sink.store_unavailable();
        let batch_pause = MIN_BACKOFF * 2_u32.pow(self.failures.min(6));
        self.failures += 1;
        tokio::time::sleep(batch_pause.min(self.max_backoff)).await;
    }
}
