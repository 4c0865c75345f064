//! Clients flock to one front and keep their channels open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::client::Connection;
use super::fleet::{self, Folder};
use super::pressure::{Seen, send_calls, watch_memory};
use super::record::Record;
use super::store::Store;
use super::worker::{Plan, Script, Worker};
use super::{KEY, Verdict, manifest};

/// Clients that keep a channel and send calls all the time, and the work of each call.
const CALLERS: usize = 24;
const CALL_WORK: Duration = Duration::from_millis(200);

/// Work of the one request on each other channel.
const LOOK_WORK: Duration = Duration::from_millis(5);

/// Channels of the clients that come, each with one request; with no trouble few come.
const CHANNELS: usize = 3_300;
const USUAL_CHANNELS: usize = 100;

/// Threads that open them, and the time in which they do.
const THREADS: usize = 30;
const ARRIVAL_TIME: Duration = Duration::from_secs(9);

/// How long the callers send, and when the others come.
const TRAFFIC: Duration = Duration::from_secs(18);
const FLOCK_AFTER: Duration = Duration::from_secs(5);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let folder = Folder::create();
    let store = Store::start();
    store.put("op/config", &manifest());
    let calls: Script = Arc::new(|req| {
        let work = if req.path().starts_with("/look/") { LOOK_WORK } else { CALL_WORK };
        Plan::Answer { status: "200 OK", work }
    });
    let names = ["d-1", "d-2", "d-3", "d-4"];
    let workers: Vec<Arc<Worker>> = names
        .into_iter()
        .map(|id| Worker::new(id, "desk", 6, &store, record, calls.clone()))
        .collect();
    workers.iter().for_each(|worker| worker.start("v1", Duration::ZERO));
    let entry = fleet::start_entry(&folder.0, "front-1", store.address);
    let _server =
        fleet::start_budget_server(&folder.0, "side-1", store.address, workers[0].address);
    if !fleet::wait_ready(&entry, Duration::from_secs(15)) {
        return Verdict::NotRun;
    }
    // Traffic starts 10 s after the machines, as on the users' sheets.
    thread::sleep(Duration::from_secs(10));
    let seen = Arc::new(Seen::default());
    let starts_at = Instant::now();
    let ends_at = starts_at + TRAFFIC;
    let address = entry.callers;
    let mut clients: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (record, seen) = (record.clone(), seen.clone());
            thread::spawn(move || send_calls(number, address, ends_at, &record, &seen))
        })
        .collect();
    let channels = if has_trouble { CHANNELS } else { USUAL_CHANNELS };
    clients.extend((0..THREADS).map(|number| {
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep((starts_at + FLOCK_AFTER).saturating_duration_since(Instant::now()));
            let opened = open_channels(number, channels / THREADS, address);
            record.note(&format!("thread {number} opened {} channels", opened.len()));
            thread::sleep(ends_at.saturating_duration_since(Instant::now()));
        })
    }));
    let entry = watch_memory(entry, ends_at, record);
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    drop(entry);
    seen.judge(record, &names)
}

/// Opens channels one after the other, sends one request on each, reads its answer and keeps it open.
fn open_channels(thread: usize, count: usize, entry: SocketAddr) -> Vec<Connection> {
    let starts_at = Instant::now();
    let mut opened = Vec::new();
    for number in 0..count {
        let due = starts_at + ARRIVAL_TIME * number as u32 / count as u32;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let id = format!("flock-{thread}-{number}");
        let headers =
            [("Attempt-Id", id.as_str()), ("Authorization", KEY), ("Deadline-Ms", "4000")];
        let connection = Connection::open(entry, Duration::from_secs(6)).and_then(|mut new| {
            new.send("GET", "/look/x", &headers, b"")?;
            new.read_answer()?;
            Ok(new)
        });
        opened.extend(connection);
    }
    opened
}
