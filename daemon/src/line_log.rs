//! Structured log lines on standard output, written without blocking requests.
//!
//! A line is `time level module key=value …`. Lines go through a bounded queue to a writer
//! thread. Lines are dropped and counted when the queue is full or the rate limit of their kind
//! is reached. Refusals and failures of requests have a higher limit than ordinary lines, and
//! warnings and errors the highest, so that the lines that explain a problem are dropped last.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter, Log, Metadata, Record};
use rosemarymoor_lib::result_code::FAILURE_LOG;

/// Maximum number of lines that wait for the writer.
const QUEUE_LINES: usize = 2_048;

/// Lines of any kind in one second after which ordinary lines are dropped.
const MAX_ORDINARY_LINES_PER_S: u64 = 500;

/// Lines of any kind in one second after which lines about refused or failed requests are
/// dropped.
const MAX_FAILURE_LINES_PER_S: u64 = 700;

/// Lines of any kind in one second after which warnings and errors are dropped.
const MAX_WARNING_LINES_PER_S: u64 = 800;

/// Length at which the text of a line is truncated, in bytes.
const MAX_LINE_BYTES: usize = 600;

/// Size from which on no further line is added to one write, in bytes.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Longest wait for the writer when the log is flushed at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Kind of a line, which determines its rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// Line of any other kind.
    Ordinary,
    /// Line about a request that was refused or failed.
    Failure,
    /// Warning or error.
    Warning,
}

impl LineKind {
    /// Returns the kind of a line by its level and target.
    pub fn of(metadata: &Metadata<'_>) -> LineKind {
        if metadata.level() <= Level::Warn {
            LineKind::Warning
        } else if metadata.target() == FAILURE_LOG {
            LineKind::Failure
        } else {
            LineKind::Ordinary
        }
    }

    /// Returns the number of lines of any kind in one second after which lines of this kind are
    /// dropped.
    pub fn max_lines_per_s(self) -> u64 {
        match self {
            LineKind::Ordinary => MAX_ORDINARY_LINES_PER_S,
            LineKind::Failure => MAX_FAILURE_LINES_PER_S,
            LineKind::Warning => MAX_WARNING_LINES_PER_S,
        }
    }
}

/// Counts the lines of the current second against the rate limits.
#[derive(Debug, Default)]
pub struct LineRateLimiter {
    /// Current second, in Unix time.
    second: AtomicU64,
    /// Lines of any kind accepted in the current second.
    lines: AtomicU64,
}

impl LineRateLimiter {
    /// Counts a line in the given second and returns whether it may be written.
    ///
    /// Dropped lines do not count against the limits of other kinds.
    pub fn try_acquire(&self, second: u64, kind: LineKind) -> bool {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let limit = kind.max_lines_per_s();
        let counted = self.lines.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |lines| {
            (lines < limit).then_some(lines + 1)
        });
        counted.is_ok()
    }
}

/// Message to the writer thread.
enum Message {
    Line(String),
    Flush(SyncSender<()>),
}

/// Logger that the `log` crate calls.
struct LineLog {
    queue: SyncSender<Message>,
    rate_limiter: LineRateLimiter,
    /// Lines dropped since the last line that reported them.
    dropped: AtomicU64,
}

static LOG: OnceLock<LineLog> = OnceLock::new();

/// Starts the logger and its writer thread: the fleet's own crates log at `level`, others at
/// warn.
///
/// # Panics
///
/// Panics if a logger was started before or the thread cannot be started.
pub fn start(level: LevelFilter) {
    let (queue, lines) = sync_channel(QUEUE_LINES);
    let writer = std::thread::Builder::new().name("log".to_owned()).spawn(move || write(&lines));
    writer.expect("the log thread can be started");
    let line_log =
        LineLog { queue, rate_limiter: LineRateLimiter::default(), dropped: AtomicU64::new(0) };
    let line_log = LOG.get_or_init(|| line_log);
    log::set_logger(line_log).expect("logging is started once");
    log::set_max_level(level);
}

/// Waits until the lines logged so far are written, at most for `FLUSH_TIMEOUT`.
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
        if !self.rate_limiter.try_acquire(since_epoch.as_secs(), LineKind::of(record.metadata())) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let module = record.target().rsplit("::").next().unwrap_or_default();
        let (seconds, millis) = (since_epoch.as_secs(), since_epoch.subsec_millis());
        let level = record.level();
        let mut line = format!("{seconds}.{millis:03} {level} {module} {}", record.args());
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        finish_line(&mut line, dropped);
        if self.queue.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1 + dropped, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Escapes control characters, which names from other writers may hold, and truncates a line to its
/// maximum length; then appends the number of lines dropped before it and the line end.
pub fn finish_line(line: &mut String, dropped: u64) {
    if line.contains(char::is_control) {
        *line = escape_controls(line);
    }
    if line.len() > MAX_LINE_BYTES {
        line.truncate(line.floor_char_boundary(MAX_LINE_BYTES));
    }
    if dropped > 0 {
        line.push_str(&format!(" lines_left_out={dropped}"));
    }
    line.push('\n');
}

fn escape_controls(line: &str) -> String {
    let escape = |char: char| match char.is_control() {
        true => char.escape_default().to_string(),
        false => char.to_string(),
    };
    line.chars().map(escape).collect()
}

/// Writes the received lines to standard output until the logger is gone.
fn write(lines: &Receiver<Message>) {
    let mut out = io::stdout().lock();
    let mut batch = String::new();
    while let Ok(first) = lines.recv() {
        let mut flushed = None;
        // Combines all waiting lines into one write.
        for message in std::iter::once(first).chain(lines.try_iter()) {
            match message {
                Message::Line(line) => batch.push_str(&line),
                Message::Flush(done) => flushed = Some(done),
            }
            if batch.len() >= MAX_BATCH_BYTES {
                break;
            }
        }
        // A failed write to the log cannot be logged.
        let _ = out.write_all(batch.as_bytes()).and_then(|()| out.flush());
        batch.clear();
        if let Some(done) = flushed {
            let _ = done.try_send(());
        }
    }
}
