//! Requests that crash targets, known over the fleet.
//!
//! An entry tells two budget servers, ranked by the request's fingerprint, of each
//! target that broke off. A server that has heard of enough of them writes a key
//! into the fleet's own list, which all entries follow.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemarymoor_lib::dispatch::crash_tracker::{Crash, CrashTracker};
use rosemarymoor_lib::kv_feed::{Changes, Listing};
use rosemarymoor_lib::kv_store::{KvStore, Outcome, Revision};
use rosemarymoor_lib::time::MonotonicClock;

use super::peers::PEER_PREFIX;

/// Path under which a budget server hears of crashes.
pub const CRASH_PATH: &str = "/crashed";

/// Part of the fleet's own list with the requests that are refused.
const POISON_LIST: &str = "poisoned/";

/// Time for which a refused request stays in the list.
const LIST_TTL: Duration = Duration::from_secs(60);

/// Time in which the store has to answer, and tries to write the key.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
const WRITE_ATTEMPTS: u32 = 4;
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// Marks of one process; clones share them.
#[derive(Clone)]
pub struct PoisonedRequests {
    marks: Arc<Mutex<CrashTracker>>,
    clock: MonotonicClock,
}

impl PoisonedRequests {
    /// Opens empty marks.
    pub fn open(clock: MonotonicClock) -> PoisonedRequests {
        PoisonedRequests { marks: Arc::default(), clock }
    }

    /// Notes a crash; answers whether the request is refused from now on and was not.
    pub fn note(&self, crash: &Crash) -> bool {
        let is_new = self.marks().record(crash, self.clock.now());
        if is_new {
            let Crash { fingerprint, target } = crash;
            log::warn!("event=request_poisoned fingerprint={fingerprint:032x} last={target}");
        }
        is_new
    }

    /// Whether a request is refused.
    pub fn is_refused(&self, fingerprint: u128) -> bool {
        self.marks().is_refused(fingerprint, self.clock.now())
    }

    /// Takes over what the fleet's own list says as a whole.
    pub fn apply_listing(&self, listing: &Listing) {
        for (key, _) in &listing.items {
            self.apply_key(key);
        }
    }

    /// Takes over what has changed in the fleet's own list.
    pub fn apply_changes(&self, changes: &Changes) {
        let Changes::Seen { changes, .. } = changes else { return };
        for change in changes.iter().filter(|change| change.value.is_some()) {
            self.apply_key(&change.key);
        }
    }

    fn apply_key(&self, key: &str) {
        let Some(text) = poisoned_fingerprint(key) else { return };
        match u128::from_str_radix(text, 16) {
            Ok(fingerprint) => self.marks().refuse(fingerprint, self.clock.now()),
            Err(err) => log::warn!("event=poison_malformed key={key} reason={err}"),
        }
    }

    fn marks(&self) -> MutexGuard<'_, CrashTracker> {
        self.marks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Fingerprint in a key of the fleet's own list; `None` for other keys.
pub fn poisoned_fingerprint(key: &str) -> Option<&str> {
    key.strip_prefix(PEER_PREFIX)?.strip_prefix(POISON_LIST)
}

/// Writes into the fleet's own list that a request is refused.
pub async fn publish(kv: Arc<dyn KvStore>, fingerprint: u128) {
    let key = format!("{PEER_PREFIX}{POISON_LIST}{fingerprint:032x}");
    for _ in 0..WRITE_ATTEMPTS {
        if let Outcome::Done(lease) = kv.open_lease(LIST_TTL, STORE_TIMEOUT).await {
            let value = b"{}".to_vec();
            let absent = Revision::ABSENT;
            let written =
                kv.compare_and_swap(&key, absent, value, Some(lease), STORE_TIMEOUT).await;
            // A conflict says that another server was faster.
            if !matches!(written, Outcome::Unknown) {
                log::info!("event=poison_published key={key} outcome={written:?}");
                return;
            }
        }
        tokio::time::sleep(WRITE_PAUSE).await;
    }
    log::warn!("event=poison_not_published key={key}");
}
