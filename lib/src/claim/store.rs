//! Claims in the key-value service: batched, one write in flight a shard.

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

const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const LONGEST_BACKOFF: Duration = Duration::from_millis(500);

/// How long a change that nobody waits for may wait for another to ride with.
const BACKGROUND_DELAY: Duration = Duration::from_millis(500);

/// Changes that may wait for one shard.
const QUEUE_LENGTH: usize = 4_096;

/// How long a release or an answer is tried while the store is away.
const BACKGROUND_PATIENCE: Duration = Duration::from_secs(300);

/// Bytes of a shard above which answers are stored without their bodies.
const CROWDED_BYTES: usize = MAX_VALUE_BYTES / 2;

/// How an attempt to claim a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcquireResult {
    /// The claim is confirmed in the store.
    Acquired,
    /// Another claimant holds the request.
    HeldByOther(Box<Claim>),
    /// The store did not confirm it in time; the claim is withdrawn.
    Unavailable,
}

/// Handle to the claims of the fleet.
#[derive(Clone)]
pub struct Claims {
    shards: Vec<mpsc::Sender<Job>>,
}

enum Job {
    Change { change: ClaimChange, until: Instant, reply: Option<oneshot::Sender<ChangeOutcome>> },
    Find { request: RequestId, until: Instant, reply: oneshot::Sender<Option<Claim>> },
}

impl Claims {
    /// Opens the claims; call it inside a tokio runtime.
    pub fn open(kv: Arc<dyn KvStore>, clock: MonotonicClock) -> Claims {
        let shards = (0..CLAIM_SHARDS).map(|shard| spawn_shard(shard, kv.clone(), clock)).collect();
        Claims { shards }
    }

    /// Claims a request, or moves an own claim to another sidecar.
    pub async fn acquire(&self, claim: Claim, until: Instant) -> AcquireResult {
        let (request, token) = (claim.request, claim.token);
        match self.change(ClaimChange::Acquire(claim), until).await {
            Some(ChangeOutcome::Changed | ChangeOutcome::Unchanged) => AcquireResult::Acquired,
            Some(ChangeOutcome::HeldByOther(held)) => AcquireResult::HeldByOther(Box::new(held)),
            None => {
                // The write may still take effect; nobody will run under it.
                self.release(request, token);
                AcquireResult::Unavailable
            }
        }
    }

    /// Reads the claim of a request; the outer `None` means that the store is away.
    pub async fn find(&self, request: RequestId, until: Instant) -> Option<Option<Claim>> {
        let (reply, answer) = oneshot::channel();
        self.sender(request).send(Job::Find { request, until, reply }).await.ok()?;
        timeout_at(until, answer).await.ok()?.ok()
    }

    /// Records an answer in the background.
    pub fn answer(&self, request: RequestId, token: ClaimToken, answer: StoredAnswer) {
        self.in_background(ClaimChange::Answer { request, token, answer });
    }

    /// Drops a claim in the background.
    pub fn release(&self, request: RequestId, token: ClaimToken) {
        self.in_background(ClaimChange::Release { request, token });
    }

    async fn change(&self, change: ClaimChange, until: Instant) -> Option<ChangeOutcome> {
        let (reply, answer) = oneshot::channel();
        let job = Job::Change { change, until, reply: Some(reply) };
        let sender = self.shards[claim_shard(job.request()) as usize].clone();
        timeout_at(until, sender.send(job)).await.ok()?.ok()?;
        timeout_at(until, answer).await.ok()?.ok()
    }

    fn in_background(&self, change: ClaimChange) {
        let until = Instant::now() + BACKGROUND_PATIENCE;
        let sender = self.sender(change.request()).clone();
        // A full queue means a long outage; the claim then stays as it is.
        let _ = sender.try_send(Job::Change { change, until, reply: None });
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

    fn answer(self, reply: Reply) {
        match (self, reply) {
            (Job::Change { reply: Some(tx), .. }, Reply::ChangeOutcome(applied)) => {
                let _ = tx.send(applied);
            }
            (Job::Find { reply: tx, .. }, Reply::Found(found)) => {
                let _ = tx.send(found);
            }
            _ => {}
        }
    }

    /// Whether nobody waits for the job any more.
    fn is_over(&self, now: Instant) -> bool {
        match self {
            Job::Change { until, reply: Some(reply), .. } => *until <= now || reply.is_closed(),
            Job::Change { until, reply: None, .. } => *until <= now,
            Job::Find { until, reply, .. } => *until <= now || reply.is_closed(),
        }
    }
}

fn spawn_shard(shard: u32, kv: Arc<dyn KvStore>, clock: MonotonicClock) -> mpsc::Sender<Job> {
    let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
    let worker = ShardWorker {
        key: claim_key(shard),
        kv,
        clock,
        jobs: rx,
        held: None,
        in_doubt: false,
        observations: ClaimObservations::default(),
    };
    tokio::spawn(worker.run());
    tx
}

/// Sole writer of one shard within this process.
struct ShardWorker {
    key: String,
    kv: Arc<dyn KvStore>,
    clock: MonotonicClock,
    jobs: mpsc::Receiver<Job>,
    /// Newest known value; dropped whenever it may be out of date.
    held: Option<(Revision, ClaimShard)>,
    /// Whether a write may still take effect; only another write rules it out.
    in_doubt: bool,
    observations: ClaimObservations,
}

/// How a round of work ended.
enum Round {
    /// The batch is carried out.
    Done,
    /// The copy was out of date; another round may do it.
    Stale,
    /// The store did not answer, or took nothing.
    Away,
}

enum Reply {
    ChangeOutcome(ChangeOutcome),
    Found(Option<Claim>),
}

impl ShardWorker {
    async fn run(mut self) {
        let mut batch = Vec::new();
        let mut backoff = FIRST_BACKOFF;
        while self.fill(&mut batch).await {
            match self.work(&mut batch).await {
                Round::Done => backoff = FIRST_BACKOFF,
                Round::Stale => {}
                Round::Away => {
                    sleep(backoff).await;
                    backoff = (backoff * 2).min(LONGEST_BACKOFF);
                }
            }
        }
    }

    /// Waits for work; false once every handle is gone.
    async fn fill(&mut self, batch: &mut Vec<Job>) -> bool {
        if batch.is_empty() {
            match self.jobs.recv().await {
                Some(job) => batch.push(job),
                None => return false,
            }
        }
        let ride_until = Instant::now() + BACKGROUND_DELAY;
        while batch.iter().all(Job::is_background) {
            match timeout_at(ride_until, self.jobs.recv()).await {
                Ok(Some(job)) => batch.push(job),
                Ok(None) | Err(_) => break,
            }
        }
        while let Ok(job) = self.jobs.try_recv() {
            batch.push(job);
        }
        let now = Instant::now();
        batch.retain(|job| !job.is_over(now));
        true
    }

    /// Tries to carry out the batch; what remains in it is to be tried again.
    async fn work(&mut self, batch: &mut Vec<Job>) -> Round {
        if batch.is_empty() {
            return Round::Done;
        }
        let known = self.held.is_some();
        let Some((revision, shard)) = self.load().await else { return Round::Away };
        let mut next = shard.clone();
        let crowded = shard.encode().len() > CROWDED_BYTES;
        let replies: Vec<_> = batch.iter().map(|job| apply(&mut next, job, crowded)).collect();
        if known && replies.iter().any(Reply::needs_fresh_copy) {
            self.held = None;
            return Round::Stale;
        }
        if next != shard || self.in_doubt {
            let now = self.clock.now();
            next.sweep(|claim| self.observations.expired(claim, now));
            match self.write(revision, next).await {
                Round::Done => {}
                failed => return failed,
            }
        }
        // Replies come after the write, so that nobody acts on a claim not yet stored.
        batch.drain(..).zip(replies).for_each(|(job, reply)| job.answer(reply));
        Round::Done
    }

    async fn load(&mut self) -> Option<(Revision, ClaimShard)> {
        if let Some(held) = &self.held {
            return Some(held.clone());
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
        self.held = Some((revision, shard.clone()));
        Some((revision, shard))
    }

    async fn write(&mut self, expected: Revision, shard: ClaimShard) -> Round {
        let value = shard.encode();
        // Whatever comes of the write, the copy is not the newest any more.
        self.held = None;
        match self.kv.compare_and_swap(&self.key, expected, value, None, CALL_TIMEOUT).await {
            Outcome::Done(revision) => {
                self.observations.observe(&shard, self.clock.now());
                self.held = Some((revision, shard));
                self.in_doubt = false;
                Round::Done
            }
            Outcome::NotDone(NotDone::Conflict { .. }) => {
                // A write in doubt expected a revision that is past by now.
                self.in_doubt = false;
                Round::Stale
            }
            Outcome::Unknown => {
                self.in_doubt = true;
                Round::Stale
            }
            Outcome::NotDone(reason) => {
                log::warn!("decision=defer-claims key={} reason={reason:?}", self.key);
                Round::Away
            }
        }
    }
}

impl Reply {
    /// Whether the reply may only be given from a copy read for it.
    fn needs_fresh_copy(&self) -> bool {
        matches!(self, Reply::Found(_) | Reply::ChangeOutcome(ChangeOutcome::HeldByOther(_)))
    }
}

fn apply(shard: &mut ClaimShard, job: &Job, crowded: bool) -> Reply {
    match job {
        Job::Find { request, .. } => Reply::Found(shard.find(*request).cloned()),
        Job::Change { change: ClaimChange::Answer { request, token, answer }, .. } if crowded => {
            let answer = StoredAnswer { body: None, ..answer.clone() };
            let change = ClaimChange::Answer { request: *request, token: *token, answer };
            Reply::ChangeOutcome(shard.apply(&change))
        }
        Job::Change { change, .. } => Reply::ChangeOutcome(shard.apply(change)),
    }
}
