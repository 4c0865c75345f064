//! Reads and writes claims in the key-value service.
//!
//! One task per shard batches the changes that entries request and writes them
//! with at most one write in flight.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

use super::table::{
    ChangeOutcome, Claim, ClaimChange, ClaimObservations, ClaimShard, ClaimToken, StoredAnswer,
};
use super::{CLAIM_SHARDS, claim_key, claim_shard};
use crate::id::RequestId;
use crate::kv_store::{KvStore, MAX_VALUE_BYTES, NotDone, Outcome, Revision};
use crate::time::MonotonicClock;

/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Backoff after the first failed access to a shard; it doubles with every further one.
const MIN_BACKOFF: Duration = Duration::from_millis(20);

/// Longest backoff between two accesses to a shard.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// How long a batch of only background changes is held back for more changes.
const BACKGROUND_DELAY: Duration = Duration::from_millis(500);

/// Capacity of a shard's queue, in changes and look-ups.
const QUEUE_CAPACITY: usize = 4_096;

/// How long a release or an answer is retried while the store is unavailable.
const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(300);

/// Encoded size of a shard above which answers are stored without their bodies, in bytes.
const MAX_BYTES_WITH_BODIES: usize = MAX_VALUE_BYTES / 2;

/// Result of [`Claims::acquire`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcquireResult {
    /// The store holds the claim.
    Acquired,
    /// Another claimant holds the request.
    HeldByOther(Box<Claim>),
    /// The store did not confirm the claim in time; the claim is released in the background.
    Unavailable,
}

/// Handle to the fleet's claims; clones share the tasks of the shards.
#[derive(Clone)]
pub struct Claims {
    shards: Vec<mpsc::Sender<Job>>,
}

/// Change or look-up queued for a shard's task.
enum Job {
    Change {
        change: ClaimChange,
        deadline: Instant,
        /// `None` for a background change.
        reply: Option<oneshot::Sender<ChangeOutcome>>,
    },
    Find {
        request: RequestId,
        deadline: Instant,
        reply: oneshot::Sender<Option<Claim>>,
    },
}

impl Claims {
    /// Spawns a task per shard.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn open(kv: Arc<dyn KvStore>, clock: MonotonicClock) -> Claims {
        let shards = (0..CLAIM_SHARDS).map(|shard| spawn_shard(shard, kv.clone(), clock)).collect();
        Claims { shards }
    }

    /// Claims a request, or updates a claim that has the same token; waits until `deadline`.
    pub async fn acquire(&self, claim: Claim, deadline: Instant) -> AcquireResult {
        let (request, token) = (claim.request, claim.token);
        match self.change(ClaimChange::Acquire(claim), deadline).await {
            Some(ChangeOutcome::Changed | ChangeOutcome::Unchanged) => AcquireResult::Acquired,
            Some(ChangeOutcome::HeldByOther(held)) => AcquireResult::HeldByOther(Box::new(held)),
            None => {
                // The write may still take effect, but nothing runs under this claim.
                self.release(request, token);
                AcquireResult::Unavailable
            }
        }
    }

    /// Reads the claim of a request.
    ///
    /// Returns the outer `None` if the store does not answer by `deadline`.
    pub async fn find(&self, request: RequestId, deadline: Instant) -> Option<Option<Claim>> {
        let (reply, rx) = oneshot::channel();
        self.sender(request).send(Job::Find { request, deadline, reply }).await.ok()?;
        timeout_at(deadline, rx).await.ok()?.ok()
    }

    /// Records an answer in the background.
    pub fn record_answer(&self, request: RequestId, token: ClaimToken, answer: StoredAnswer) {
        self.queue_in_background(ClaimChange::Answer { request, token, answer });
    }

    /// Releases a claim in the background.
    pub fn release(&self, request: RequestId, token: ClaimToken) {
        self.queue_in_background(ClaimChange::Release { request, token });
    }

    async fn change(&self, change: ClaimChange, deadline: Instant) -> Option<ChangeOutcome> {
        let (reply, rx) = oneshot::channel();
        let job = Job::Change { change, deadline, reply: Some(reply) };
        let sender = self.shards[claim_shard(job.request()) as usize].clone();
        timeout_at(deadline, sender.send(job)).await.ok()?.ok()?;
        timeout_at(deadline, rx).await.ok()?.ok()
    }

    fn queue_in_background(&self, change: ClaimChange) {
        let deadline = Instant::now() + BACKGROUND_TIMEOUT;
        let sender = self.sender(change.request()).clone();
        // The queue fills up only in a long outage; the change is then dropped.
        let _ = sender.try_send(Job::Change { change, deadline, reply: None });
    }

    fn sender(&self, request: RequestId) -> &mpsc::Sender<Job> {
        &self.shards[claim_shard(request) as usize]
    }
}

impl Job {
    fn request(&self) -> RequestId {
        match self {
            Job::Change { change, .. } => change.request(),
            Job::Find { request, .. } => *request,
        }
    }

    fn is_background(&self) -> bool {
        matches!(self, Job::Change { reply: None, .. })
    }

    fn send_reply(self, reply: Reply) {
        match (self, reply) {
            (Job::Change { reply: Some(tx), .. }, Reply::ChangeOutcome(outcome)) => {
                let _ = tx.send(outcome);
            }
            (Job::Find { reply: tx, .. }, Reply::Found(found)) => {
                let _ = tx.send(found);
            }
            _ => {}
        }
    }

    /// Returns whether the deadline has passed or the requester has gone.
    fn is_expired(&self, now: Instant) -> bool {
        match self {
            Job::Change { deadline, reply: Some(reply), .. } => {
                *deadline <= now || reply.is_closed()
            }
            Job::Change { deadline, reply: None, .. } => *deadline <= now,
            Job::Find { deadline, reply, .. } => *deadline <= now || reply.is_closed(),
        }
    }
}

fn spawn_shard(shard: u32, kv: Arc<dyn KvStore>, clock: MonotonicClock) -> mpsc::Sender<Job> {
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    let worker = ShardWorker {
        key: claim_key(shard),
        kv,
        clock,
        jobs: rx,
        cached: None,
        in_doubt: false,
        observations: ClaimObservations::default(),
    };
    tokio::spawn(worker.run());
    tx
}

/// Only writer of one shard within this process.
struct ShardWorker {
    key: String,
    kv: Arc<dyn KvStore>,
    clock: MonotonicClock,
    jobs: mpsc::Receiver<Job>,
    /// Last value read or written; cleared whenever it may be stale.
    cached: Option<(Revision, ClaimShard)>,
    /// Whether a write without a response may still take effect; only another write rules it out.
    in_doubt: bool,
    observations: ClaimObservations,
}

/// How the processing of a batch ended.
enum BatchResult {
    /// Every job of the batch has its reply.
    Done,
    /// The cached value was stale, or the write's outcome is unknown; retried at once.
    Stale,
    /// The store could not be read or rejected the write; retried after a backoff.
    Unavailable,
}

/// Reply to a [`Job`].
enum Reply {
    ChangeOutcome(ChangeOutcome),
    Found(Option<Claim>),
}

impl ShardWorker {
    async fn run(mut self) {
        let mut batch = Vec::new();
        let mut backoff = MIN_BACKOFF;
        while self.fill_batch(&mut batch).await {
            match self.process_batch(&mut batch).await {
                BatchResult::Done => backoff = MIN_BACKOFF,
                BatchResult::Stale => {}
                BatchResult::Unavailable => {
                    sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Waits for jobs and drops expired ones; returns false once every handle is dropped.
    async fn fill_batch(&mut self, batch: &mut Vec<Job>) -> bool {
        if batch.is_empty() {
            match self.jobs.recv().await {
                Some(job) => batch.push(job),
                None => return false,
            }
        }
        let batch_deadline = Instant::now() + BACKGROUND_DELAY;
        while batch.iter().all(Job::is_background) {
            match timeout_at(batch_deadline, self.jobs.recv()).await {
                Ok(Some(job)) => batch.push(job),
                Ok(None) | Err(_) => break,
            }
        }
        while let Ok(job) = self.jobs.try_recv() {
            batch.push(job);
        }
        let now = Instant::now();
        batch.retain(|job| !job.is_expired(now));
        true
    }

    /// Processes the batch; empties it only if the result is [`BatchResult::Done`].
    async fn process_batch(&mut self, batch: &mut Vec<Job>) -> BatchResult {
        if batch.is_empty() {
            return BatchResult::Done;
        }
        let was_cached = self.cached.is_some();
        let Some((revision, shard)) = self.load().await else { return BatchResult::Unavailable };
        let mut next = shard.clone();
        let omit_body = shard.encode().len() > MAX_BYTES_WITH_BODIES;
        let replies: Vec<_> = batch.iter().map(|job| apply(&mut next, job, omit_body)).collect();
        if was_cached && replies.iter().any(Reply::needs_fresh_copy) {
            self.cached = None;
            return BatchResult::Stale;
        }
        if next != shard || self.in_doubt {
            let now = self.clock.now();
            next.remove_expired(|claim| self.observations.is_expired(claim, now));
            match self.write(revision, next).await {
                BatchResult::Done => {}
                failed => return failed,
            }
        }
        // Replies are sent after the write, so that no request runs under a claim not yet stored.
        batch.drain(..).zip(replies).for_each(|(job, reply)| job.send_reply(reply));
        BatchResult::Done
    }

    /// Returns the cached shard, or reads it; `None` if it cannot be read or decoded.
    async fn load(&mut self) -> Option<(Revision, ClaimShard)> {
        if let Some(cached) = &self.cached {
            return Some(cached.clone());
        }
        let found = self.kv.get(&self.key, CALL_TIMEOUT).await.done()?;
        let (revision, shard) = match found {
            None => (Revision::ABSENT, ClaimShard::default()),
            Some(versioned) => match ClaimShard::decode(&versioned.value) {
                Some(shard) => (versioned.revision, shard),
                None => {
                    log::error!("decision=refuse-claims key={} reason=unreadable", self.key);
                    return None;
                }
            },
        };
        self.observations.observe(&shard, self.clock.now());
        self.cached = Some((revision, shard.clone()));
        Some((revision, shard))
    }

    async fn write(&mut self, expected: Revision, shard: ClaimShard) -> BatchResult {
        let value = shard.encode();
        // Even a write that appears to fail may make the cached value stale.
        self.cached = None;
        match self.kv.compare_and_swap(&self.key, expected, value, None, CALL_TIMEOUT).await {
            Outcome::Done(revision) => {
                self.observations.observe(&shard, self.clock.now());
                self.cached = Some((revision, shard));
                self.in_doubt = false;
                BatchResult::Done
            }
            Outcome::NotDone(NotDone::Conflict { .. }) => {
                // A write in doubt expects an older revision and can no longer take effect.
                self.in_doubt = false;
                BatchResult::Stale
            }
            Outcome::Unknown => {
                self.in_doubt = true;
                BatchResult::Stale
            }
            Outcome::NotDone(reason) => {
                log::warn!("decision=defer-claims key={} reason={reason:?}", self.key);
                BatchResult::Unavailable
            }
        }
    }
}

impl Reply {
    /// Returns whether the reply must come from a freshly read value.
    fn needs_fresh_copy(&self) -> bool {
        matches!(self, Reply::Found(_) | Reply::ChangeOutcome(ChangeOutcome::HeldByOther(_)))
    }
}

/// Applies a job to the shard; a recorded answer loses its body if `omit_body`.
fn apply(shard: &mut ClaimShard, job: &Job, omit_body: bool) -> Reply {
    match job {
        Job::Find { request, .. } => Reply::Found(shard.find(*request).cloned()),
        Job::Change { change: ClaimChange::Answer { request, token, answer }, .. } if omit_body => {
            let answer = StoredAnswer { body: None, ..answer.clone() };
            let change = ClaimChange::Answer { request: *request, token: *token, answer };
            Reply::ChangeOutcome(shard.apply(&change))
        }
        Job::Change { change, .. } => Reply::ChangeOutcome(shard.apply(change)),
    }
}
