//! Answers that a sidecar retains while they run and for some time afterwards.
//!
//! An answer is written by the job that runs its request and read by any number of
//! streams, each at its own offset. A request that is in the store is not run
//! again: a second delivery joins the first. When the finished bodies exceed their
//! limit, the oldest are evicted; a record of their charge remains.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::watch;

use crate::id::{Attempt, EpochId, RequestId};
use crate::result_code::Refusal;
use crate::time::Millis;

/// Limits of the store.
#[derive(Clone, Copy, Debug)]
pub struct AnswerLimits {
    /// Maximum total size of the bodies of finished answers, in bytes.
    pub max_finished_bytes: usize,
    /// Time for which the body of a finished answer is retained, in milliseconds.
    pub retention_ms: u64,
    /// Maximum number of records without a body.
    pub max_records: usize,
}

impl Default for AnswerLimits {
    fn default() -> AnswerLimits {
        AnswerLimits { max_finished_bytes: 64 << 20, retention_ms: 600_000, max_records: 20_000 }
    }
}

/// Identity of one delivery of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeliveryKey {
    pub request: RequestId,
    pub attempt: Attempt,
    /// Epoch of the entry whose reservation is charged.
    pub holder: EpochId,
    /// Digest of the request's content.
    pub fingerprint: u128,
}

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The answer is complete; `charge` is in tokens.
    Complete { charge: u64 },
    /// The request was refused or failed; `charge` is in tokens.
    Refused { refusal: Refusal, charge: u64 },
}

impl AnswerEnd {
    /// Returns the charge for the request, in tokens.
    pub fn charge(&self) -> u64 {
        match self {
            AnswerEnd::Complete { charge } | AnswerEnd::Refused { charge, .. } => *charge,
        }
    }
}

/// Parts of an answer that have arrived so far.
#[derive(Clone, Debug, Default)]
pub struct AnswerLog {
    /// Whether the request was admitted.
    pub accepted: bool,
    /// HTTP status and content type.
    pub head: Option<(u16, String)>,
    pub body: Vec<u8>,
    /// Absent while the answer is running.
    pub end: Option<AnswerEnd>,
}

/// One answer, running or finished.
pub struct Answer {
    key: DeliveryKey,
    log: watch::Sender<AnswerLog>,
    cancelled: watch::Sender<bool>,
    readers: AtomicU32,
}

impl Answer {
    fn new(key: DeliveryKey) -> Answer {
        Answer {
            key,
            log: watch::Sender::new(AnswerLog::default()),
            cancelled: watch::Sender::new(false),
            readers: AtomicU32::new(0),
        }
    }

    /// Returns the delivery that runs the request and is charged for it.
    pub fn key(&self) -> DeliveryKey {
        self.key
    }

    /// Applies `change` to the log and wakes the readers.
    pub fn update(&self, change: impl FnOnce(&mut AnswerLog)) {
        self.log.send_modify(change);
    }

    /// Returns the result of `read` on the current log.
    pub fn read<R>(&self, read: impl FnOnce(&AnswerLog) -> R) -> R {
        read(&self.log.borrow())
    }

    /// Returns a reader of the log; while it exists, other readers cannot cancel the request.
    pub fn watch(self: &Arc<Answer>) -> AnswerReader {
        self.readers.fetch_add(1, Ordering::AcqRel);
        AnswerReader { answer: self.clone(), log: self.log.subscribe() }
    }

    /// Waits until the only remaining reader has cancelled the request.
    pub async fn cancelled(&self) {
        let mut cancelled = self.cancelled.subscribe();
        let _ = cancelled.wait_for(|cancelled| *cancelled).await;
    }
}

/// Reader that watches an answer.
pub struct AnswerReader {
    answer: Arc<Answer>,
    log: watch::Receiver<AnswerLog>,
}

impl AnswerReader {
    /// Returns the result of `read` on the current log and marks this version as read.
    pub fn read<R>(&mut self, read: impl FnOnce(&AnswerLog) -> R) -> R {
        read(&self.log.borrow_and_update())
    }

    /// Waits for a version of the log that this reader has not read yet.
    pub async fn changed(&mut self) {
        let _ = self.log.changed().await;
    }

    /// Cancels the request unless another reader still watches its answer.
    pub fn cancel(&self) {
        if self.answer.readers.load(Ordering::Acquire) <= 1 {
            self.answer.cancelled.send_replace(true);
        }
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.answer.readers.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Part of an answer that the store retains for a request.
#[derive(Clone)]
pub enum RetainedAnswer {
    /// Running, or finished with its body.
    Answer(Arc<Answer>),
    /// Finished, without its body; `charge` is in tokens.
    Record { key: DeliveryKey, charge: u64 },
}

/// Result of [`AnswerStore::begin`].
pub enum BeginResult {
    /// The request is new: the caller has to run it and write this answer.
    New(Arc<Answer>),
    /// The request is running or has run.
    Existing(RetainedAnswer),
}

struct Slot {
    request: RequestId,
    retained: RetainedAnswer,
    /// Time at which the answer finished.
    finished_at: Option<Millis>,
}

#[derive(Default)]
struct Table {
    /// Sorted by request.
    slots: Vec<Slot>,
    /// Finished requests, oldest first.
    finished: std::collections::VecDeque<RequestId>,
    /// Requests whose body was evicted, oldest first.
    records: std::collections::VecDeque<RequestId>,
    /// Total size of the bodies of `finished`.
    finished_bytes: usize,
}

/// All answers of a sidecar.
pub struct AnswerStore {
    limits: AnswerLimits,
    table: Mutex<Table>,
}

impl AnswerStore {
    /// Opens an empty store.
    pub fn open(limits: AnswerLimits) -> AnswerStore {
        AnswerStore { limits, table: Mutex::default() }
    }

    /// Begins the answer of a request that the caller has to run, or returns its retained answer.
    pub fn begin(&self, key: DeliveryKey) -> BeginResult {
        let mut table = self.lock();
        match table.position(key.request) {
            Ok(index) => BeginResult::Existing(table.slots[index].retained.clone()),
            Err(index) => {
                let answer = Arc::new(Answer::new(key));
                let retained = RetainedAnswer::Answer(answer.clone());
                table
                    .slots
                    .insert(index, Slot { request: key.request, retained, finished_at: None });
                BeginResult::New(answer)
            }
        }
    }

    /// Returns the retained answer of a request.
    pub fn find(&self, request: RequestId) -> Option<RetainedAnswer> {
        let table = self.lock();
        let index = table.position(request).ok()?;
        Some(table.slots[index].retained.clone())
    }

    /// Removes a request that did not run, so that a retry may run it.
    pub fn remove(&self, request: RequestId) {
        let mut table = self.lock();
        if let Ok(index) = table.position(request) {
            table.slots.remove(index);
        }
    }

    /// Marks a request as finished at `now` and evicts bodies and records over the limits.
    pub fn finish(&self, request: RequestId, now: Millis) {
        let mut table = self.lock();
        let Ok(index) = table.position(request) else { return };
        table.slots[index].finished_at = Some(now);
        table.finished_bytes += body_bytes(&table.slots[index].retained);
        table.finished.push_back(request);
        self.evict(&mut table, now);
    }

    /// Evicts the bodies whose retention has expired.
    pub fn sweep(&self, now: Millis) {
        self.evict(&mut self.lock(), now);
    }

    /// Returns the number of answers that have not finished.
    pub fn running(&self) -> usize {
        let table = self.lock();
        table.slots.len() - table.finished.len() - table.records.len()
    }

    /// Evicts bodies and records that exceed the limits, oldest first.
    fn evict(&self, table: &mut Table, now: Millis) {
        while let Some(request) = table.finished.front().copied() {
            let index = table.position(request).expect("a finished request has a slot");
            let age = table.slots[index].finished_at.map_or(0, |finished| now.since(finished));
            if age < self.limits.retention_ms
                && table.finished_bytes <= self.limits.max_finished_bytes
            {
                break;
            }
            table.finished.pop_front();
            table.evict_body(index);
        }
        while table.records.len() > self.limits.max_records {
            let oldest = table.records.pop_front().expect("the queue is not empty");
            let index = table.position(oldest).expect("a recorded request has a slot");
            table.slots.remove(index);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Table> {
        self.table.lock().expect("no holder panics")
    }
}

impl Table {
    /// Returns the index of the request's slot, or the index to insert it at.
    fn position(&self, request: RequestId) -> Result<usize, usize> {
        self.slots.binary_search_by_key(&request, |slot| slot.request)
    }

    /// Replaces a finished answer by a record without its body.
    fn evict_body(&mut self, index: usize) {
        let slot = &mut self.slots[index];
        self.finished_bytes -= body_bytes(&slot.retained);
        let RetainedAnswer::Answer(answer) = &slot.retained else { return };
        let charge = answer.read(|log| log.end.as_ref().map_or(0, AnswerEnd::charge));
        slot.retained = RetainedAnswer::Record { key: answer.key(), charge };
        self.records.push_back(slot.request);
    }
}

fn body_bytes(retained: &RetainedAnswer) -> usize {
    match retained {
        RetainedAnswer::Answer(answer) => answer.read(|log| log.body.len()),
        RetainedAnswer::Record { .. } => 0,
    }
}
