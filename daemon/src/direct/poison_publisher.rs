//! Tells the fleet what a budget server finds out about crashes of targets.
//!
//! Each change goes to all entries at once. What is refused is also a key of the fleet's own list in
//! the store, under a lease, for entries that start or that could not be reached.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rosemarymoor_lib::dispatch::crash::suspect::{Level, SETTLING_MS, Suspect, Suspicion};
use rosemarymoor_lib::dispatch::crash::tracker::{Completion, Crash, RETENTION_MS};
use rosemarymoor_lib::kv_feed::KvFeed;
use rosemarymoor_lib::kv_store::{KvStore, Outcome, RestoreWatch, Revision};
use rosemarymoor_platform::store::PlatformStore;

use super::fleet_keys::{PEER_PREFIX, poisoned_key};
use super::peer_client::PeerClient;
use super::peers::PeerRecord;
use super::poison::{self, PoisonedRequests, SUSPECTED_PATH};

/// Lease duration of a refused suspect in the list.
const REFUSED_TTL: Duration = Duration::from_millis(RETENTION_MS);

/// Lease duration of a cleared suspect in the list: entries see it in this time.
const CLEARED_TTL: Duration = Duration::from_secs(60);

/// Time after which the key of a suspect that is still refused is written again.
const REWRITE_INTERVAL: Duration = Duration::from_secs(120);

/// Time after which such a key is read again: a store that was restored may have lost it.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout of a store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay after a failed call to the store; doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest delay after a failed call to the store.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Age of the list of entries from which on it is read again before entries are told.
const LIST_AGE: Duration = Duration::from_secs(1);

/// Timeout of a message to an entry.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest number of messages to one entry.
const MAX_TELLS: u32 = 3;

/// Number of entries that are told at the same time.
const CONCURRENT_TELLS: usize = 64;

/// Key that this server has written.
#[derive(Clone, Copy, Debug)]
struct WrittenKey {
    suspect: Suspect,
    written_at: Instant,
}

/// Publisher of a budget server; clones share its state.
#[derive(Clone)]
pub struct PoisonPublisher {
    poison: PoisonedRequests,
    kv: Arc<PlatformStore>,
    client: PeerClient,
    /// When the list of entries was read last.
    listed_at: Arc<Mutex<Option<Instant>>>,
    written: Arc<Mutex<Vec<WrittenKey>>>,
    /// Suspects whose keys were read lately, with the time.
    checks: Arc<Mutex<Vec<(Suspect, Instant)>>>,
}

impl PoisonPublisher {
    /// Opens a publisher, and reads in the background what the list says is refused.
    pub fn spawn(
        poison: PoisonedRequests,
        kv: Arc<PlatformStore>,
        client: PeerClient,
    ) -> PoisonPublisher {
        let publisher = PoisonPublisher {
            poison,
            kv,
            client,
            listed_at: Arc::default(),
            written: Arc::default(),
            checks: Arc::default(),
        };
        tokio::spawn(publisher.clone().read_list());
        tokio::spawn(publisher.clone().publish_after_restores());
        publisher
    }

    /// Records a crash, and tells the fleet what follows from it.
    pub fn record_crash(&self, crash: &Crash) {
        self.publish(self.poison.record_crash(crash));
        let publisher = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(SETTLING_MS)).await;
            publisher.publish(publisher.poison.settle());
        });
    }

    /// Records a completion, and tells the fleet what follows from it; returns whether it counts.
    pub fn record_sound(&self, completion: &Completion) -> bool {
        if !self.poison.is_completion(completion) {
            return false;
        }
        let mut changes = self.poison.record_sound(completion);
        changes.extend(self.poison.settle());
        self.publish(changes);
        true
    }

    /// Tells the fleet of changes in the background.
    pub fn publish(&self, changes: Vec<Suspicion>) {
        if changes.is_empty() {
            return;
        }
        tokio::spawn(self.clone().tell_entries(changes.clone()));
        for change in changes.into_iter().filter(|change| self.is_for_list(change)) {
            tokio::spawn(self.clone().write(change));
        }
    }

    /// Returns whether a change concerns the list: what is refused, and what was.
    fn is_for_list(&self, change: &Suspicion) -> bool {
        match change.level {
            Level::Refused => true,
            Level::Tried => false,
            Level::Free => self.written().iter().any(|key| key.suspect == change.suspect),
        }
    }

    /// Applies what an entry says: which refusals it still needs, or to which it objects because the
    /// suspect has completed there.
    pub fn apply(&self, told: &[Suspicion]) {
        let mut news = self.poison.apply(told);
        news.retain(|change| change.level != Level::Free);
        let on_list = told.iter().filter(|told| told.level != Level::Tried);
        for suspicion in on_list.filter(|told| self.start_check(told.suspect)) {
            tokio::spawn(self.clone().write(suspicion.clone()));
            if suspicion.level == Level::Free {
                news.push(suspicion.clone());
            }
        }
        if !news.is_empty() {
            tokio::spawn(self.clone().tell_entries(news));
        }
    }

    async fn read_list(self) {
        let mut delay = MIN_RETRY_DELAY;
        while !self.list().await {
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Reads the fleet's own list; returns whether the store answered.
    async fn list(&self) -> bool {
        let Outcome::Done(listing) = self.kv.list(PEER_PREFIX, STORE_TIMEOUT).await else {
            return false;
        };
        self.client.peers.apply_listing(&listing, false);
        let listed = poison::listed(&listing);
        self.poison.apply(&listed);
        for suspicion in listed.iter().filter(|listed| self.is_unwritten(listed.suspect)) {
            self.record_written(suspicion.suspect);
        }
        *self.listed_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        true
    }

    /// Tells all entries of changes.
    async fn tell_entries(self, changes: Vec<Suspicion>) {
        let listed_at = *self.listed_at.lock().unwrap_or_else(PoisonError::into_inner);
        let known = self.client.peers.entries();
        let told = self.tell(&known, &changes);
        if !known.is_empty() && listed_at.is_some_and(|at| at.elapsed() < LIST_AGE) {
            return told.await;
        }
        // Known entries do not wait for the list.
        let (is_listed, ()) = tokio::join!(self.list(), told);
        if is_listed {
            let mut others = self.client.peers.entries();
            others.retain(|entry| !known.contains(entry));
            self.tell(&others, &changes).await;
        }
    }

    async fn tell(&self, entries: &[PeerRecord], changes: &[Suspicion]) {
        let mut failed = 0;
        for entries in entries.chunks(CONCURRENT_TELLS) {
            let told = join_all(entries.iter().map(|entry| self.tell_entry(entry, changes))).await;
            failed += told.into_iter().filter(|is_told| !is_told).count();
        }
        log::info!(
            "event=suspects_told changes={} entries={} failed={failed}",
            changes.len(),
            entries.len()
        );
    }

    /// Tells one entry, which answers with those that have completed there; returns whether it knows.
    async fn tell_entry(&self, entry: &PeerRecord, changes: &[Suspicion]) -> bool {
        for _ in 0..MAX_TELLS {
            match self.client.post(entry, SUSPECTED_PATH, &changes, TELL_TIMEOUT).await {
                Ok((_, body)) => {
                    let mut suspects: Vec<Suspect> =
                        serde_json::from_slice(&body).unwrap_or_default();
                    suspects.sort();
                    let target = String::new();
                    let completion =
                        Completion { target, suspects, is_certain: true, ended_ago_ms: None };
                    if !completion.suspects.is_empty() {
                        self.record_sound(&completion);
                    }
                    return true;
                }
                Err(err) => {
                    log::debug!("event=suspects_not_told entry={} reason={err:?}", entry.name);
                }
            }
        }
        false
    }

    /// Writes what is known of a suspect into the list, until the store takes it or the suspect has
    /// another level.
    async fn write(self, suspicion: Suspicion) {
        let key = poisoned_key(suspicion.suspect.0);
        let mut delay = MIN_RETRY_DELAY;
        while self.is_current(&suspicion) {
            if self.write_once(&key, &suspicion).await {
                return;
            }
            log::warn!("event=poison_not_published key={key}");
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    async fn write_once(&self, key: &str, suspicion: &Suspicion) -> bool {
        let Outcome::Done(found) = self.kv.get(key, STORE_TIMEOUT).await else { return false };
        let value = serde_json::to_vec(suspicion).expect("a suspicion can be encoded as JSON");
        let is_written = match &found {
            Some(found) => found.value == value && !self.is_due(suspicion.suspect),
            None => suspicion.level == Level::Free,
        };
        if is_written {
            return true;
        }
        let revision = found.map_or(Revision::ABSENT, |found| found.revision);
        let ttl = if suspicion.level == Level::Free { CLEARED_TTL } else { REFUSED_TTL };
        let Outcome::Done(lease) = self.kv.open_lease(ttl, STORE_TIMEOUT).await else {
            return false;
        };
        let written =
            self.kv.compare_and_swap(key, revision, value, Some(lease), STORE_TIMEOUT).await;
        if !matches!(written, Outcome::Done(_)) {
            return false;
        }
        self.record_written(suspicion.suspect);
        log::info!("event=poison_published key={key} level={:?}", suspicion.level);
        true
    }

    /// Returns whether a suspect still has the level that is to be written.
    fn is_current(&self, suspicion: &Suspicion) -> bool {
        let is_refused =
            self.poison.refused().iter().any(|refused| refused.suspect == suspicion.suspect);
        is_refused == (suspicion.level == Level::Refused)
    }

    /// Returns whether the key of a suspect is to be read now: many entries say the same of it.
    fn start_check(&self, suspect: Suspect) -> bool {
        let mut checks = self.checks.lock().unwrap_or_else(PoisonError::into_inner);
        checks.retain(|(_, at)| at.elapsed() < CHECK_INTERVAL);
        let is_due = !checks.iter().any(|(checked, _)| *checked == suspect);
        if is_due {
            checks.push((suspect, Instant::now()));
        }
        is_due
    }

    fn is_unwritten(&self, suspect: Suspect) -> bool {
        !self.written().iter().any(|key| key.suspect == suspect)
    }

    /// Returns whether the lease of a suspect's key is to be renewed.
    fn is_due(&self, suspect: Suspect) -> bool {
        let written = self.written();
        let found = written.iter().find(|written| written.suspect == suspect);
        found.is_none_or(|written| written.written_at.elapsed() >= REWRITE_INTERVAL)
    }

    fn record_written(&self, suspect: Suspect) {
        let now = Instant::now();
        let mut written = self.written();
        written.retain(|key| key.suspect != suspect && key.written_at.elapsed() < REFUSED_TTL);
        written.push(WrittenKey { suspect, written_at: now });
    }

    fn written(&self) -> MutexGuard<'_, Vec<WrittenKey>> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes what is refused again after each restore of the store.
    async fn publish_after_restores(self) {
        let Some(mut restores) = self.kv.era().map(RestoreWatch::open) else { return };
        loop {
            restores.restored().await;
            for suspicion in self.poison.refused() {
                tokio::spawn(self.clone().write(suspicion));
            }
        }
    }
}
