//! Watches of the store that a budget server shares between the entries of its data centre.
//!
//! Entries that follow the same prefix ask for the changes after the same revision, since they
//! got the same answers before. One call to the store then serves all of them, so that the calls
//! of a large fleet grow with its data centres and not with its entries.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rosemarymoor_platform::store::{
    CallError, StoreAnswer, StoreCall, StoreTransport, WatchRequest, unchanged,
};
use tokio::sync::watch;

/// Time for which the store holds a shared watch open. It bounds the time until the server notices
/// that the store has become silent.
const SHARED_WAIT: Duration = Duration::from_millis(1_000);

/// Time for the answer of a shared watch beyond its wait.
const ANSWER_GRACE: Duration = Duration::from_millis(300);

/// Time for which an answer with changes is kept for entries that ask a little later.
const RETENTION: Duration = Duration::from_millis(2_000);

/// Call to the store that has ended.
#[derive(Clone)]
struct EndedCall {
    result: Result<StoreAnswer, CallError>,
    /// Whether the answer moves its readers on. One without a newer revision would only be asked
    /// for again at once.
    has_changes: bool,
}

/// Watch in progress, or one that ended a moment ago.
struct SharedWatch {
    prefix: String,
    /// Revision after which changes are watched.
    after: u64,
    /// `None` until the call has ended.
    ended: watch::Receiver<Option<EndedCall>>,
    started_at: Instant,
}

/// Watches in progress at one server; clones share them.
#[derive(Clone)]
pub struct SharedWatches {
    store: Arc<dyn StoreTransport>,
    watches: Arc<Mutex<Vec<SharedWatch>>>,
}

impl SharedWatches {
    /// Opens the state without a watch.
    pub fn open(store: Arc<dyn StoreTransport>) -> SharedWatches {
        SharedWatches { store, watches: Arc::default() }
    }

    /// Waits for changes for as long as `request` says, together with all who ask for the same.
    ///
    /// # Errors
    ///
    /// Fails if the shared call to the store fails.
    pub async fn call(&self, request: &WatchRequest) -> Result<StoreAnswer, CallError> {
        let mut call = self.join(request);
        let ended = call.wait_for(Option::is_some);
        match tokio::time::timeout(request.wait, ended).await {
            Ok(Ok(ended)) => ended.clone().map_or(Err(CallError::NoAnswer), |ended| ended.result),
            // The task of the call ended without a result.
            Ok(Err(_)) => Err(CallError::NoAnswer),
            Err(_) => Ok(unchanged(request.after)),
        }
    }

    /// Returns the call of a watch in progress, or of a new one.
    fn join(&self, request: &WatchRequest) -> watch::Receiver<Option<EndedCall>> {
        let mut watches = self.lock();
        watches.retain(SharedWatch::is_usable);
        let found = watches
            .iter()
            .find(|watch| watch.prefix == request.prefix && watch.after == request.after);
        if let Some(found) = found {
            return found.ended.clone();
        }
        let (tx, ended) = watch::channel(None);
        let prefix = request.prefix.clone();
        let after = request.after;
        let started_at = Instant::now();
        watches.push(SharedWatch { prefix, after, ended: ended.clone(), started_at });
        let shared = WatchRequest { wait: SHARED_WAIT, ..request.clone() };
        let call = StoreCall::watch(&shared, SHARED_WAIT + ANSWER_GRACE);
        let store = self.store.clone();
        tokio::spawn(async move {
            let result = store.call(call).await;
            let revision = result.as_ref().ok().and_then(StoreAnswer::watched_revision);
            let has_changes = revision.is_some_and(|revision| revision > after);
            tx.send_replace(Some(EndedCall { result, has_changes }));
        });
        ended
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SharedWatch>> {
        self.watches.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SharedWatch {
    /// Returns whether the watch is in progress or has a recent answer with changes.
    fn is_usable(&self) -> bool {
        let is_recent = self.started_at.elapsed() < SHARED_WAIT + RETENTION;
        self.ended.borrow().as_ref().is_none_or(|ended| is_recent && ended.has_changes)
    }
}
