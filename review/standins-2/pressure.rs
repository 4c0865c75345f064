//! A front machine whose memory may run short, and clients that send calls over kept channels.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::client::Connection;
use super::fleet::Process;
use super::record::Record;
use super::{KEY, Verdict};

/// Memory of the smaller front machines of bwf-ost-grown, beyond which the platform kills a process.
const MEMORY_KB: u64 = 88 * 1024;

/// Requests without an answer that the rule allows.
const ALLOWED: usize = 3;

/// What the clients saw.
#[derive(Default)]
pub struct Seen {
    answered: AtomicUsize,
    /// Requests on kept channels that were closed without an answer.
    closed: Mutex<Vec<String>>,
}

impl Seen {
    /// Judges by the rule: a machine passes requests from kept channels on to sound workers, and closes
    /// these channels without an answer, more than three times.
    pub fn judge(&self, record: &Record, sound_workers: &[&str]) -> Verdict {
        let closed = self.closed.lock().expect("the clients have ended").clone();
        let record_text = record.text();
        let is_at_sound = |id: &&String| {
            sound_workers
                .iter()
                .any(|worker| record_text.contains(&format!("run request={id} worker={worker} ")))
        };
        let lost: Vec<&String> = closed.iter().filter(is_at_sound).collect();
        let answered = self.answered.load(Ordering::Relaxed);
        record.note(&format!(
            "calls answered: {answered}; closed without an answer: {}; of these at sound workers: {} {lost:?}",
            closed.len(),
            lost.len()
        ));
        if answered == 0 {
            return Verdict::NotRun;
        }
        if lost.len() > ALLOWED { Verdict::Broken } else { Verdict::Held }
    }
}

/// Does what the platform does: kills a process that exceeds the memory of its machine.
pub fn watch_memory(mut entry: Process, ends_at: Instant, record: &Record) -> Process {
    let mut peak_kb = 0;
    let processor_ms = entry.processor_ms();
    let mut is_killed = false;
    while Instant::now() < ends_at {
        let memory_kb = entry.memory_kb();
        if memory_kb > peak_kb {
            peak_kb = memory_kb;
        }
        if memory_kb > MEMORY_KB && !is_killed {
            is_killed = true;
            record.note(&format!(
                "front-1 has {memory_kb} kB of {MEMORY_KB} kB: the platform kills it; processor time {} ms",
                entry.processor_ms() - processor_ms
            ));
            entry.kill();
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.note(&format!("most memory of front-1: {peak_kb} kB"));
    entry
}

/// Sends one call after another over a kept channel, which is opened again after it was closed.
pub fn send_calls(
    number: usize,
    entry: SocketAddr,
    ends_at: Instant,
    record: &Record,
    seen: &Seen,
) {
    let mut kept: Option<Connection> = None;
    let mut count = 0;
    while Instant::now() < ends_at {
        let is_kept = kept.is_some();
        let Some(mut connection) =
            kept.take().or_else(|| Connection::open(entry, Duration::from_secs(6)).ok())
        else {
            thread::sleep(Duration::from_millis(500));
            continue;
        };
        let id = format!("call-{number}-{count}");
        count += 1;
        let headers =
            [("Attempt-Id", id.as_str()), ("Authorization", KEY), ("Deadline-Ms", "1000")];
        record.note(&format!("sent request={id} kept={is_kept}"));
        let answer = connection
            .send("POST", "/order/x", &headers, b"{\"order\":1}")
            .and_then(|()| connection.read_answer());
        match answer {
            Ok((status, _, _)) => {
                record.note(&format!("answered request={id} status={status}"));
                seen.answered.fetch_add(1, Ordering::Relaxed);
                kept = Some(connection);
            }
            Err(err) => {
                record.note(&format!("closed request={id} kept={is_kept} reason={err}"));
                if is_kept {
                    seen.closed.lock().expect("no client panics").push(id);
                }
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
}
