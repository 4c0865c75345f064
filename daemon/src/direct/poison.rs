//! Requests that crash targets, refused by the whole fleet.
//!
//! An entry reports each crash of a target to two budget servers, ranked by the request's
//! fingerprint. A server to which enough crashes were reported writes a key into the fleet's
//! own list, which all entries watch.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemarymoor_lib::dispatch::crash_tracker::{Crash, CrashTracker};
use rosemarymoor_lib::kv_feed::{Changes, Listing};
use rosemarymoor_lib::kv_store::{KvStore, NotDone, Outcome, RestoreWatch, Revision};
use rosemarymoor_lib::time::MonotonicClock;

use super::fleet_keys::{poisoned_fingerprint, poisoned_key};

/// Path of crash reports at a budget server.
pub const CRASH_PATH: &str = "/crashed";

/// Lease duration of a poisoned request in the list.
const POISONED_TTL: Duration = Duration::from_secs(60);

/// Timeout of a store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of attempts to write a key into the list.
const WRITE_ATTEMPTS: u32 = 4;

/// Delay after a failed attempt to write a key.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Crashes and poisoned requests known to one process; clones share them.
#[derive(Clone)]
pub struct PoisonedRequests {
    tracker: Arc<Mutex<CrashTracker>>,
    clock: MonotonicClock,
}

impl PoisonedRequests {
    /// Opens a state without crashes.
    pub fn open(clock: MonotonicClock) -> PoisonedRequests {
        PoisonedRequests { tracker: Arc::default(), clock }
    }

    /// Records a crash; returns whether it caused the request to be refused from now on.
    pub fn record(&self, crash: &Crash) -> bool {
        let is_newly_refused = self.tracker().record(crash, self.clock.now());
        let Crash { fingerprint, target } = crash;
        log::info!("event=crash_recorded fingerprint={fingerprint:032x} target={target}");
        if is_newly_refused {
            log::warn!("event=request_poisoned fingerprint={fingerprint:032x} last={target}");
        }
        is_newly_refused
    }

    /// Returns whether a request is refused.
    pub fn is_refused(&self, fingerprint: u128) -> bool {
        self.tracker().is_refused(fingerprint, self.clock.now())
    }

    /// Applies the poisoned requests in a complete list.
    pub fn apply_listing(&self, listing: &Listing) {
        for (key, _) in &listing.items {
            self.apply_key(key);
        }
    }

    /// Applies the poisoned requests that were added to the list. A removed key does not end a
    /// refusal, which expires by itself.
    pub fn apply_changes(&self, changes: &Changes) {
        let Changes::Received { changes, .. } = changes else { return };
        for change in changes.iter().filter(|change| change.value.is_some()) {
            self.apply_key(&change.key);
        }
    }

    fn apply_key(&self, key: &str) {
        let Some(text) = poisoned_fingerprint(key) else { return };
        match u128::from_str_radix(text, 16) {
            Ok(fingerprint) => self.tracker().refuse(fingerprint, self.clock.now()),
            Err(err) => log::warn!("event=poison_malformed key={key} reason={err}"),
        }
    }

    /// Returns the fingerprints of all refused requests.
    fn refused(&self) -> Vec<u128> {
        self.tracker().refused(self.clock.now())
    }

    fn tracker(&self) -> MutexGuard<'_, CrashTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Spawns the task that writes the poisoned requests again after each restore of the store.
pub fn publish_after_restores(poison: PoisonedRequests, kv: Arc<dyn KvStore>) {
    let Some(mut restores) = kv.era().map(RestoreWatch::open) else { return };
    tokio::spawn(async move {
        loop {
            restores.restored().await;
            for fingerprint in poison.refused() {
                publish(kv.clone(), fingerprint).await;
            }
        }
    });
}

/// Adds a poisoned request to the fleet's own list; logs a warning if no attempt
/// succeeds.
pub async fn publish(kv: Arc<dyn KvStore>, fingerprint: u128) {
    let key = poisoned_key(fingerprint);
    for _ in 0..WRITE_ATTEMPTS {
        if let Outcome::Done(lease) = kv.open_lease(POISONED_TTL, STORE_TIMEOUT).await {
            let value = b"{}".to_vec();
            let absent = Revision::ABSENT;
            let written =
                kv.compare_and_swap(&key, absent, value, Some(lease), STORE_TIMEOUT).await;
            // A conflict means that another server has already written the key.
            if matches!(written, Outcome::Done(_) | Outcome::NotDone(NotDone::Conflict { .. })) {
                log::info!("event=poison_published key={key} outcome={written:?}");
                return;
            }
        }
        tokio::time::sleep(WRITE_RETRY_DELAY).await;
    }
    log::warn!("event=poison_not_published key={key}");
}
