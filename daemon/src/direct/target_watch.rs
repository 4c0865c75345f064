//! Reads the load and the cached parts of the target beside a budget server.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::Display;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use rosemarymoor_lib::dispatch::load::known::LoadReport;
use rosemarymoor_lib::dispatch::load::news::{LoadScope, PartsChange, TargetEndpoint};
use rosemarymoor_lib::dispatch::load::prefill_meter::PrefillMeter;
use rosemarymoor_lib::time::MonotonicClock;
use rosemarymoor_platform::report;

use super::load_server::LoadServer;
use super::metrics::LoadMetrics;
use crate::http_pool::HttpPool;

/// Pause between two reports while the target has work.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two reports while it has none.
const IDLE_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a report that could not be read; doubles with each further one.
const MIN_FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after a report that could not be read.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(5);

/// Pause between two questions for changes of the cached parts, each of which costs the target a
/// little if it has changes at once.
const CHANGES_PAUSE: Duration = Duration::from_millis(500);

/// Shortest time between two lists of all parts, which delay the target's work.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Timeout of a connection to the target, and of an answer beyond its wait.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Size limit of an answer.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Interval at which failures are logged.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Why the target was not read.
#[derive(Debug, Display)]
enum WatchError {
    #[display("no_answer")]
    NoAnswer,
    #[display("status_{}", _0.as_u16())]
    Status(StatusCode),
    #[display("malformed {_0}")]
    Malformed(serde_json::Error),
}

impl WatchError {
    fn label(&self) -> &'static str {
        match self {
            WatchError::NoAnswer => "no_answer",
            WatchError::Status(_) => "status",
            WatchError::Malformed(_) => "malformed",
        }
    }
}

/// Watch over one target.
struct TargetWatch {
    address: SocketAddr,
    pool: HttpPool,
    board: LoadServer,
    clock: MonotonicClock,
    metrics: LoadMetrics,
    /// Process that reported last; `None` before the first report.
    process: Mutex<Option<TargetEndpoint>>,
}

/// Spawns the tasks that read a target while its load is asked for.
pub fn spawn(
    address: SocketAddr,
    pool: HttpPool,
    board: LoadServer,
    clock: MonotonicClock,
    metrics: LoadMetrics,
) {
    let process = Mutex::new(None);
    let watch = Arc::new(TargetWatch { address, pool, board, clock, metrics, process });
    tokio::spawn(read_reports(watch.clone()));
    tokio::spawn(read_parts(watch));
}

/// Failures in a row, of which few are logged.
#[derive(Default)]
struct Failures {
    count: u32,
    logged_at: Option<Instant>,
}

impl Failures {
    /// Records a failure and returns the pause after it.
    fn record(&mut self, what: &str, watch: &TargetWatch, err: &WatchError) -> Duration {
        watch.metrics.count_target_read(err.label());
        if self.logged_at.is_none_or(|at| at.elapsed() >= FAILURE_LOG_INTERVAL) {
            self.logged_at = Some(Instant::now());
            log::warn!("event=target_not_read what={what} address={} reason={err}", watch.address);
        }
        let pause = MIN_FAILURE_PAUSE * 2_u32.pow(self.count.min(5));
        self.count += 1;
        pause.min(MAX_FAILURE_PAUSE)
    }
}

async fn read_reports(watch: Arc<TargetWatch>) {
    let mut meter = PrefillMeter::default();
    let mut failures = Failures::default();
    loop {
        watch.board.wanted(LoadScope::Own).await;
        let pause = match watch.read_report(&mut meter).await {
            Ok(is_busy) => {
                failures.count = 0;
                if is_busy { BUSY_PAUSE } else { IDLE_PAUSE }
            }
            Err(err) => failures.record("report", &watch, &err),
        };
        tokio::time::sleep(pause).await;
    }
}

async fn read_parts(watch: Arc<TargetWatch>) {
    let mut position = PartsPosition::default();
    let mut failures = Failures::default();
    loop {
        watch.board.wanted(LoadScope::Own).await;
        let pause = match watch.read_parts(&mut position).await {
            Ok(()) => {
                failures.count = 0;
                CHANGES_PAUSE
            }
            Err(err) => {
                position.known = None;
                failures.record("parts", &watch, &err)
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Up to where the changes of a target's parts are known.
#[derive(Default)]
struct PartsPosition {
    known: Option<KnownChanges>,
    listed_at: Option<Instant>,
}

impl PartsPosition {
    fn was_listed_recently(&self) -> bool {
        self.listed_at.is_some_and(|at| at.elapsed() < LIST_INTERVAL)
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
struct KnownChanges {
    target: TargetEndpoint,
    epoch: u64,
    next: u64,
}

impl TargetWatch {
    /// Reads one report; returns whether the target has work.
    async fn read_report(&self, meter: &mut PrefillMeter) -> Result<bool, WatchError> {
        let body = self.get(report::REPORT_PATH, Duration::ZERO).await?;
        let read = report::decode(&body).map_err(WatchError::Malformed)?;
        let target = TargetEndpoint { address: self.address, started_ms: read.started_ms };
        if self.set_process(target) {
            log::info!(
                "event=target_process address={} started_ms={}",
                self.address,
                read.started_ms
            );
            *meter = PrefillMeter::default();
        }
        meter.record(read.runs, self.clock.now());
        let load = LoadReport {
            waiting: read.waiting,
            running: read.running,
            memory_used: read.memory_used,
            memory_total: read.memory_total,
            prefill_tokens_per_ms: meter.tokens_per_ms(),
        };
        self.board.update(|board, now| board.record_report(target, load, now));
        self.metrics.count_target_read("read");
        Ok(read.waiting > 0 || read.running > 0)
    }

    /// Reads the next changes of the cached parts, or all of them after a gap.
    async fn read_parts(&self, position: &mut PartsPosition) -> Result<(), WatchError> {
        let Some(target) = self.process() else { return Ok(()) };
        let known = position.known.filter(|known| known.target == target);
        if known.is_none() && position.was_listed_recently() {
            return Ok(());
        }
        let since = known.map_or(0, |known| known.next);
        let body = self.get(&report::changes_path(since), report::MAX_WAIT).await?;
        let read = report::decode_changes(&body).map_err(WatchError::Malformed)?;
        let is_next = known.is_some_and(|known| known.epoch == read.epoch) && !read.is_gap;
        // A process that is read from its first change on starts with an empty cache.
        let is_first = known.is_none() && since == 0 && !read.is_gap;
        if is_next || is_first {
            let change = if is_next { read.change } else { from_empty(read.change) };
            // The board has dropped them if nobody asked for a while.
            if self.board.update(|board, now| board.record_parts(target, &change, now)) {
                self.metrics.count_target_read("parts_changed");
                position.known = Some(KnownChanges { target, epoch: read.epoch, next: read.next });
                return Ok(());
            }
        }
        self.list_parts(target, position).await
    }

    /// Reads all parts, unless that was done a moment ago.
    async fn list_parts(
        &self,
        target: TargetEndpoint,
        position: &mut PartsPosition,
    ) -> Result<(), WatchError> {
        position.known = None;
        self.board.update(|board, _| board.forget_parts(target));
        if position.was_listed_recently() {
            return Ok(());
        }
        position.listed_at = Some(Instant::now());
        let body = self.get(report::PARTS_PATH, Duration::ZERO).await?;
        let read = report::decode_parts(&body).map_err(WatchError::Malformed)?;
        self.board.update(|board, now| board.record_parts(target, &read.change, now));
        self.metrics.count_target_read("parts_listed");
        log::info!("event=target_parts_listed address={} bytes={}", self.address, body.len());
        position.known = Some(KnownChanges { target, epoch: read.epoch, next: read.next });
        Ok(())
    }

    /// Returns the process that reported last.
    fn process(&self) -> Option<TargetEndpoint> {
        *self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the process that reported; returns whether it is another one than before.
    fn set_process(&self, target: TargetEndpoint) -> bool {
        let mut process = self.process.lock().unwrap_or_else(PoisonError::into_inner);
        process.replace(target) != Some(target)
    }

    /// Reads a path of the target, which may wait with its answer.
    async fn get(&self, path: &str, wait: Duration) -> Result<Bytes, WatchError> {
        let mut req = Request::builder().uri(path).header(HOST, self.address.to_string());
        if !wait.is_zero() {
            req = req.header(report::WAIT, report::max_wait());
        }
        let req = req.body(Full::default()).map_err(|_| WatchError::NoAnswer)?;
        let fetch = self.pool.fetch(self.address, req, CONNECT_TIMEOUT, MAX_ANSWER_BYTES);
        match tokio::time::timeout(wait + ANSWER_TIMEOUT, fetch).await {
            Ok(Ok((StatusCode::OK, _, body))) => Ok(body),
            Ok(Ok((status, _, _))) => Err(WatchError::Status(status)),
            Ok(Err(_)) | Err(_) => Err(WatchError::NoAnswer),
        }
    }
}

/// Returns the parts that a cache holds which was empty before a change.
fn from_empty(change: PartsChange) -> PartsChange {
    match change {
        PartsChange::Changed { added, .. } => PartsChange::Whole(added),
        PartsChange::Whole(parts) => PartsChange::Whole(parts),
    }
}
