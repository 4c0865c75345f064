//! Answers that a sidecar keeps while they run and for some time after.
//!
//! An answer is written by the one job that runs its request and read by any
//! number of streams, each at its own offset. A request that is in the store is
//! never run again: a second delivery joins it. When memory is short, the
//! oldest finished bodies go first and leave a record of what they cost.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::watch;

use crate::id::{Attempt, EpochId, RequestId};
use crate::result_code::Refusal;
use crate::time::Millis;

/// Bounds of the store.
#[derive(Clone, Copy, Debug)]
pub struct AnswerLimits {
    /// Bytes of finished bodies in all.
    pub finished_bytes: usize,
    /// How long a finished body is kept, in milliseconds.
    pub retention_ms: u64,
    /// How many records without a body are kept.
    pub records: usize,
}

impl Default for AnswerLimits {
    fn default() -> AnswerLimits {
        AnswerLimits { finished_bytes: 64 << 20, retention_ms: 600_000, records: 20_000 }
    }
}

/// Who delivered a request, and which one it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeliveryKey {
    pub request: RequestId,
    pub attempt: Attempt,
    /// Epoch of the entry that pays.
    pub holder: EpochId,
    pub fingerprint: u128,
}

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    Complete { charge: u64 },
    Refused { refusal: Refusal, charge: u64 },
}

impl AnswerEnd {
    /// What the request cost, in tokens.
    pub fn charge(&self) -> u64 {
        match self {
            AnswerEnd::Complete { charge } | AnswerEnd::Refused { charge, .. } => *charge,
        }
    }
}

/// What has come of an answer so far.
#[derive(Clone, Debug, Default)]
pub struct AnswerLog {
    /// Whether the request was admitted.
    pub accepted: bool,
    /// HTTP status and content type.
    pub head: Option<(u16, String)>,
    pub body: Vec<u8>,
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

    /// Delivery that runs and pays.
    pub fn key(&self) -> DeliveryKey {
        self.key
    }

    /// Changes the log and wakes the readers.
    pub fn update(&self, change: impl FnOnce(&mut AnswerLog)) {
        self.log.send_modify(change);
    }

    /// Reads the log.
    pub fn read<R>(&self, read: impl FnOnce(&AnswerLog) -> R) -> R {
        read(&self.log.borrow())
    }

    /// Follows the log; the reader counts against a cancellation.
    pub fn watch(self: &Arc<Answer>) -> AnswerReader {
        self.readers.fetch_add(1, Ordering::AcqRel);
        AnswerReader { answer: self.clone(), log: self.log.subscribe() }
    }

    /// Waits until the last reader has asked to cancel.
    pub async fn cancelled(&self) {
        let mut cancelled = self.cancelled.subscribe();
        let _ = cancelled.wait_for(|cancelled| *cancelled).await;
    }
}

/// Stream that follows an answer.
pub struct AnswerReader {
    answer: Arc<Answer>,
    log: watch::Receiver<AnswerLog>,
}

impl AnswerReader {
    /// Reads the log and marks this version as seen.
    pub fn read<R>(&mut self, read: impl FnOnce(&AnswerLog) -> R) -> R {
        read(&self.log.borrow_and_update())
    }

    /// Waits for a version that was not read yet.
    pub async fn changed(&mut self) {
        let _ = self.log.changed().await;
    }

    /// Cancels the request unless another stream still follows it.
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

/// What the store holds of a request.
#[derive(Clone)]
pub enum RetainedAnswer {
    /// Running, or finished with its body.
    Answer(Arc<Answer>),
    /// Finished; its body is no longer kept.
    Record { key: DeliveryKey, charge: u64 },
}

/// Result of [`AnswerStore::claim`].
pub enum ClaimResult {
    /// The caller runs the request and writes this answer.
    New(Arc<Answer>),
    /// The request runs or has run.
    Existing(RetainedAnswer),
}

struct Slot {
    request: RequestId,
    held: RetainedAnswer,
    finished: Option<Millis>,
}

#[derive(Default)]
struct Table {
    slots: Vec<Slot>,
    /// Finished requests, oldest first.
    finished: std::collections::VecDeque<RequestId>,
    /// Requests whose body is gone, oldest first.
    records: std::collections::VecDeque<RequestId>,
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

    /// Claims a request for running, or finds what is held of it.
    pub fn claim(&self, key: DeliveryKey) -> ClaimResult {
        let mut table = self.lock();
        match table.position(key.request) {
            Ok(at) => ClaimResult::Existing(table.slots[at].held.clone()),
            Err(at) => {
                let answer = Arc::new(Answer::new(key));
                let held = RetainedAnswer::Answer(answer.clone());
                table.slots.insert(at, Slot { request: key.request, held, finished: None });
                ClaimResult::New(answer)
            }
        }
    }

    /// What is held of a request.
    pub fn find(&self, request: RequestId) -> Option<RetainedAnswer> {
        let table = self.lock();
        let at = table.position(request).ok()?;
        Some(table.slots[at].held.clone())
    }

    /// Forgets a request that did not run, so that a retry may.
    pub fn forget(&self, request: RequestId) {
        let mut table = self.lock();
        if let Ok(at) = table.position(request) {
            table.slots.remove(at);
        }
    }

    /// Starts the time for which a finished answer is kept.
    pub fn finish(&self, request: RequestId, now: Millis) {
        let mut table = self.lock();
        let Ok(at) = table.position(request) else { return };
        table.slots[at].finished = Some(now);
        table.finished_bytes += body_bytes(&table.slots[at].held);
        table.finished.push_back(request);
        self.evict(&mut table, now);
    }

    /// Drops what is past its time.
    pub fn sweep(&self, now: Millis) {
        self.evict(&mut self.lock(), now);
    }

    /// Number of answers that have not ended.
    pub fn running(&self) -> usize {
        let table = self.lock();
        table.slots.len() - table.finished.len() - table.records.len()
    }

    fn evict(&self, table: &mut Table, now: Millis) {
        while let Some(request) = table.finished.front().copied() {
            let at = table.position(request).expect("a finished request has a slot");
            let age = table.slots[at].finished.map_or(0, |finished| now.since(finished));
            if age < self.limits.retention_ms && table.finished_bytes <= self.limits.finished_bytes
            {
                break;
            }
            table.finished.pop_front();
            table.retire(at);
        }
        while table.records.len() > self.limits.records {
            let oldest = table.records.pop_front().expect("the queue is not empty");
            let at = table.position(oldest).expect("a recorded request has a slot");
            table.slots.remove(at);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Table> {
        self.table.lock().expect("no holder panics")
    }
}

impl Table {
    fn position(&self, request: RequestId) -> Result<usize, usize> {
        self.slots.binary_search_by_key(&request, |slot| slot.request)
    }

    /// Replaces a finished answer by its record.
    fn retire(&mut self, at: usize) {
        let slot = &mut self.slots[at];
        self.finished_bytes -= body_bytes(&slot.held);
        let RetainedAnswer::Answer(answer) = &slot.held else { return };
        let charge = answer.read(|log| log.end.as_ref().map_or(0, AnswerEnd::charge));
        slot.held = RetainedAnswer::Record { key: answer.key(), charge };
        self.records.push_back(slot.request);
    }
}

fn body_bytes(held: &RetainedAnswer) -> usize {
    match held {
        RetainedAnswer::Answer(answer) => answer.read(|log| log.body.len()),
        RetainedAnswer::Record { .. } => 0,
    }
}
