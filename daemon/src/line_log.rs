//! Structured log lines on standard output that never hold a request up.
//!
//! A line is `time level module key=value …`. Lines go through a bounded queue
//! to a thread of their own. When the queue is full, or a second has had its
//! budget of lines, lines are left out and counted. Refusals and failures of
//! requests have a larger budget than ordinary lines, warnings and errors a larger
//! one still, so that what explains a complaint is kept longest.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter, Log, Metadata, Record};
use rosemarymoor_lib::result_code::FAILURE_LOG;

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 2_048;

/// Ordinary lines that are written in one second.
const LINES_PER_S: u64 = 500;

/// Lines that are written in one second when the last ones tell of requests that
/// were not served.
const LINES_WITH_FAILURES_PER_S: u64 = 700;

/// Lines of any kind that are written in one second.
const MOST_LINES_PER_S: u64 = 800;

/// Longest line in bytes.
const MAX_LINE_BYTES: usize = 600;

/// Bytes that one write takes at most, beside its last line.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Longest wait for the writer at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// How soon a line is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    Ordinary,
    /// Tells of a request that was refused or failed.
    Failure,
    /// Warning or error of the process.
    Warning,
}

impl LineKind {
    /// Kind of a line by its level and target.
    pub fn of(metadata: &Metadata<'_>) -> LineKind {
        if metadata.level() <= Level::Warn {
            LineKind::Warning
        } else if metadata.target() == FAILURE_LOG {
            LineKind::Failure
        } else {
            LineKind::Ordinary
        }
    }

    /// Lines of a second, of all kinds, after which lines of this one are left out.
    pub fn lines_per_s(self) -> u64 {
        match self {
            LineKind::Ordinary => LINES_PER_S,
            LineKind::Failure => LINES_WITH_FAILURES_PER_S,
            LineKind::Warning => MOST_LINES_PER_S,
        }
    }
}

/// Lines of the present second.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: AtomicU64,
    lines: AtomicU64,
}

impl LineBudget {
    /// Counts a line; answers whether it may be written.
    ///
    /// Lines that are left out do not use up the budget of more urgent ones.
    pub fn try_acquire(&self, second: u64, kind: LineKind) -> bool {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let most = kind.lines_per_s();
        let taken = self.lines.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |lines| {
            (lines < most).then_some(lines + 1)
        });
        taken.is_ok()
    }
}

enum Message {
    Line(String),
    Flush(SyncSender<()>),
}

struct LineLog {
    queue: SyncSender<Message>,
    budget: LineBudget,
    left_out: AtomicU64,
}

static LOG: OnceLock<LineLog> = OnceLock::new();

/// Starts logging: the fleet's own crates at `level`, others at warn.
///
/// # Panics
///
/// Panics if logging was started before.
pub fn start(level: LevelFilter) {
    let (queue, lines) = sync_channel(QUEUE_LINES);
    let writer = std::thread::Builder::new().name("log".to_owned()).spawn(move || write(&lines));
    writer.expect("a process can start a thread for its log");
    let line_log = LineLog { queue, budget: LineBudget::default(), left_out: AtomicU64::new(0) };
    let line_log = LOG.get_or_init(|| line_log);
    log::set_logger(line_log).expect("logging is started once");
    log::set_max_level(level);
}

/// Waits until the lines so far are written, for a short time at most.
pub fn flush() {
    let Some(line_log) = LOG.get() else { return };
    let (done, written) = sync_channel(1);
    if line_log.queue.try_send(Message::Flush(done)).is_ok() {
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

impl Log for LineLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("rosemarymoor") || metadata.level() <= Level::Warn
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        if !self.budget.try_acquire(since_epoch.as_secs(), LineKind::of(record.metadata())) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let module = record.target().rsplit("::").next().unwrap_or_default();
        let (seconds, millis) = (since_epoch.as_secs(), since_epoch.subsec_millis());
        let level = record.level();
        let mut line = format!("{seconds}.{millis:03} {level} {module} {}", record.args());
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            line.push_str(&format!(" lines_left_out={left_out}"));
        }
        if line.len() > MAX_LINE_BYTES {
            let end = line.floor_char_boundary(MAX_LINE_BYTES);
            line.truncate(end);
        }
        line.push('\n');
        if self.queue.try_send(Message::Line(line)).is_err() {
            self.left_out.fetch_add(1 + left_out, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

fn write(lines: &Receiver<Message>) {
    let mut out = io::stdout().lock();
    let mut batch = String::new();
    while let Ok(first) = lines.recv() {
        let mut flushed = None;
        // One write takes all lines that wait.
        for message in std::iter::once(first).chain(lines.try_iter()) {
            match message {
                Message::Line(line) => batch.push_str(&line),
                Message::Flush(done) => flushed = Some(done),
            }
            if batch.len() >= MAX_BATCH_BYTES {
                break;
            }
        }
        // Nobody can be told of a failed write to the log.
        let _ = out.write_all(batch.as_bytes()).and_then(|()| out.flush());
        batch.clear();
        if let Some(done) = flushed {
            let _ = done.try_send(());
        }
    }
}
