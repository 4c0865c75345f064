//! Many clients send bodies at once that are as large as the manifest allows.

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

/// Clients that keep a channel and send small calls, and the work of each call.
const CALLERS: usize = 24;
const CALL_WORK: Duration = Duration::from_millis(200);

/// Bytes of a large body, within `max_body_bytes`; with no trouble those of the sheets.
const LARGE_BODY: usize = 4_190_000;
const USUAL_BODY: usize = 600;

/// Clients of a burst whose channels are at this machine, and who send large bodies.
const BURST: usize = 22;

/// How long the callers send, when the burst comes, and how long it lasts.
const TRAFFIC: Duration = Duration::from_secs(15);
const BURST_AFTER: Duration = Duration::from_secs(5);
const BURST_TIME: Duration = Duration::from_secs(3);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let folder = Folder::create();
    let store = Store::start();
    store.put("op/config", &manifest());
    let calls: Script = Arc::new(|_| Plan::Answer { status: "200 OK", work: CALL_WORK });
    let workers: Vec<Arc<Worker>> = ["d-1", "d-2", "d-3", "d-4"]
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
    let bytes = if has_trouble { LARGE_BODY } else { USUAL_BODY };
    clients.extend((0..BURST).map(|number| {
        let record = record.clone();
        thread::spawn(move || {
            let burst_at = starts_at + BURST_AFTER;
            thread::sleep(burst_at.saturating_duration_since(Instant::now()));
            let mut count = 0;
            while Instant::now() < burst_at + BURST_TIME {
                send_large(&format!("large-{number}-{count}"), address, bytes, &record);
                count += 1;
                thread::sleep(Duration::from_millis(50));
            }
        })
    }));
    let entry = watch_memory(entry, ends_at, record);
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    drop(entry);
    seen.judge(record, &["d-1", "d-2", "d-3", "d-4"])
}

/// Sends one call with a large body.
fn send_large(id: &str, entry: SocketAddr, bytes: usize, record: &Record) {
    let headers = [("Attempt-Id", id), ("Authorization", KEY), ("Deadline-Ms", "4000")];
    record.note(&format!("sent request={id} bytes={bytes}"));
    let answer = Connection::open(entry, Duration::from_secs(6)).and_then(|mut connection| {
        connection.send("POST", "/order/x", &headers, &vec![b'x'; bytes])?;
        connection.read_answer()
    });
    match answer {
        Ok((status, _, _)) => record.note(&format!("answered request={id} status={status}")),
        Err(err) => record.note(&format!("closed request={id} reason={err}")),
    }
}
