//! Board of a budget server beside a target, and its answers to those who read it.
//!
//! Nothing is read without a reader: the target beside the process and the boards of other servers
//! are read only while somebody asks for what they hold.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemarymoor_lib::dispatch::load::board::LoadBoard;
use rosemarymoor_lib::dispatch::load::news::{LoadQuery, LoadReply, LoadScope};
use rosemarymoor_lib::time::{Millis, MonotonicClock};
use tokio::sync::{Notify, watch};

/// Path of questions for news of targets' load.
pub const LOAD_PATH: &str = "/load";

/// Time for which a scope counts as asked for, in milliseconds; an idle reader asks once in it.
const DEMAND_TTL_MS: u64 = 3_000;

/// Longest wait of a reader for news.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// Time of the last question for each scope.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    own: Option<Millis>,
    data_center: Option<Millis>,
    fleet: Option<Millis>,
}

/// Board of one process; clones share it.
#[derive(Clone)]
pub struct LoadServer {
    board: Arc<Mutex<LoadBoard>>,
    demand: Arc<Mutex<Demand>>,
    /// Wakes those who read only on demand.
    asked: Arc<Notify>,
    /// Number of the board's last change.
    changed: Arc<watch::Sender<u64>>,
    clock: MonotonicClock,
}

impl LoadServer {
    /// Opens an empty board.
    pub fn open(clock: MonotonicClock) -> LoadServer {
        LoadServer {
            board: Arc::new(Mutex::new(LoadBoard::open(rand::random()))),
            demand: Arc::default(),
            asked: Arc::default(),
            changed: Arc::new(watch::Sender::new(0)),
            clock,
        }
    }

    /// Answers a question, after a wait for news if it allows one.
    pub async fn answer(&self, query: &LoadQuery) -> LoadReply {
        let now = self.clock.now();
        self.record_demand(query.scope, now);
        self.update(|board, now| {
            if let Some(work) = &query.work {
                board.record_work(work, now);
            }
        });
        if query.wait_ms > 0 {
            let wait = Duration::from_millis(u64::from(query.wait_ms)).min(MAX_WAIT);
            // Without news in time the reply is empty.
            let _ = tokio::time::timeout(wait, self.await_news(query)).await;
        }
        self.lock().reply(query, self.clock.now())
    }

    async fn await_news(&self, query: &LoadQuery) {
        let mut changed = self.changed.subscribe();
        while !self.lock().has_news(query) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Changes the board and wakes those who wait for news.
    pub fn update<T>(&self, change: impl FnOnce(&mut LoadBoard, Millis) -> T) -> T {
        let mut board = self.lock();
        let before = board.sequence();
        let result = change(&mut board, self.clock.now());
        let sequence = board.sequence();
        drop(board);
        if sequence != before {
            self.changed.send_replace(sequence);
        }
        result
    }

    /// Locks the board.
    pub fn lock(&self) -> MutexGuard<'_, LoadBoard> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether somebody has asked for a scope, or for one that includes it.
    pub fn is_wanted(&self, scope: LoadScope) -> bool {
        let now = self.clock.now();
        let demand = *self.demand();
        let is_recent = |at: Option<Millis>| at.is_some_and(|at| now.since(at) <= DEMAND_TTL_MS);
        let fleet = is_recent(demand.fleet);
        let data_center = fleet || is_recent(demand.data_center);
        match scope {
            LoadScope::Own => data_center || is_recent(demand.own),
            LoadScope::DataCenter => data_center,
            LoadScope::Fleet => fleet,
        }
    }

    /// Waits until somebody asks for a scope.
    pub async fn wanted(&self, scope: LoadScope) {
        loop {
            let asked = self.asked.notified();
            tokio::pin!(asked);
            asked.as_mut().enable();
            if self.is_wanted(scope) {
                return;
            }
            asked.await;
        }
    }

    fn record_demand(&self, scope: LoadScope, now: Millis) {
        let was_wanted = self.is_wanted(scope);
        let mut demand = self.demand();
        match scope {
            LoadScope::Own => demand.own = Some(now),
            LoadScope::DataCenter => demand.data_center = Some(now),
            LoadScope::Fleet => demand.fleet = Some(now),
        }
        drop(demand);
        if !was_wanted {
            self.asked.notify_waiters();
        }
    }

    fn demand(&self) -> MutexGuard<'_, Demand> {
        self.demand.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
