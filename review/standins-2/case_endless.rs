//! A worker in trouble answers with a body that goes on without end, in small chunks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::client::Connection;
use super::fleet::{self, Folder};
use super::pressure::{Seen, send_calls, watch_memory};
use super::record::Record;
use super::store::Store;
use super::worker::{Plan, Script, Worker};
use super::{KEY, Verdict, manifest};

/// Each how many requests at a worker in trouble one gets such a body: 3 in 100.
const TROUBLE_EACH: usize = 33;

/// Clients that keep a channel and send calls to sound workers, and the work of each call.
const CALLERS: usize = 24;
const CALL_WORK: Duration = Duration::from_millis(200);

/// Clients that send a request for a stream each second, and its events.
const READERS: usize = 14;
const LAST_EVENT: u64 = 10;
const EVENT_PAUSE: Duration = Duration::from_millis(40);

/// How long all of them send.
const TRAFFIC: Duration = Duration::from_secs(40);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let folder = Folder::create();
    let store = Store::start();
    store.put("op/config", &manifest());
    let calls: Script = Arc::new(|_| Plan::Answer { status: "200 OK", work: CALL_WORK });
    let streams = Plan::Stream { last: LAST_EVENT, pause: EVENT_PAUSE };
    let sound = streams.clone();
    let sound: Script = Arc::new(move |_| sound.clone());
    let count = AtomicUsize::new(0);
    let troubled: Script = Arc::new(move |_| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        match has_trouble && number % TROUBLE_EACH == TROUBLE_EACH - 1 {
            true => Plan::Endless { status: "500 Internal Server Error", chunk_bytes: 1 },
            false => streams.clone(),
        }
    });
    // Two of the five workers that write are in trouble.
    let workers: Vec<Arc<Worker>> = [
        ("d-1", "desk", 6, &calls),
        ("d-2", "desk", 6, &calls),
        ("d-3", "desk", 6, &calls),
        ("d-4", "desk", 6, &calls),
        ("w-1", "writer", 64, &troubled),
        ("w-2", "writer", 64, &troubled),
        ("w-3", "writer", 64, &sound),
        ("w-4", "writer", 64, &sound),
        ("w-5", "writer", 64, &sound),
    ]
    .into_iter()
    .map(|(id, service, slots, script)| {
        Worker::new(id, service, slots, &store, record, script.clone())
    })
    .collect();
    workers.iter().for_each(|worker| worker.start("v1", Duration::ZERO));
    let entry = fleet::start_entry(&folder.0, "front-1", store.address);
    let _server =
        fleet::start_budget_server(&folder.0, "side-1", store.address, workers[4].address);
    if !fleet::wait_ready(&entry, Duration::from_secs(15)) {
        return Verdict::NotRun;
    }
    // Traffic starts 10 s after the machines, as on the users' sheets.
    thread::sleep(Duration::from_secs(10));
    let seen = Arc::new(Seen::default());
    let ends_at = Instant::now() + TRAFFIC;
    let address = entry.callers;
    let mut clients: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (record, seen) = (record.clone(), seen.clone());
            thread::spawn(move || send_calls(number, address, ends_at, &record, &seen))
        })
        .collect();
    clients.extend((0..READERS).map(|number| {
        let record = record.clone();
        thread::spawn(move || read_streams(number, address, ends_at, &record))
    }));
    let entry = watch_memory(entry, ends_at, record);
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    drop(entry);
    seen.judge(record, &["d-1", "d-2", "d-3", "d-4"])
}

/// Sends a request for a stream each second.
fn read_streams(number: usize, entry: SocketAddr, ends_at: Instant, record: &Record) {
    let mut count = 0;
    thread::sleep(Duration::from_millis(71 * number as u64));
    while Instant::now() < ends_at {
        let id = format!("stream-{number}-{count}");
        count += 1;
        let prompt = format!("5c1e07a2:200,{:08x}:300,{:08x}:250", 0x1000 + number, 0x9000 + count);
        let headers = [
            ("Attempt-Id", id.as_str()),
            ("Authorization", KEY),
            ("Model", "m"),
            ("Token-Usage", "750,80"),
            ("Prompt-Prefix", prompt.as_str()),
            ("Deadline-Ms", "10000"),
        ];
        let Ok(mut connection) = Connection::open(entry, Duration::from_secs(12)) else {
            thread::sleep(Duration::from_millis(500));
            continue;
        };
        record.note(&format!("sent request={id}"));
        if connection.send("POST", "/draft/x", &headers, b"{\"ask\":1}").is_ok() {
            let answer = connection.read_stream(&mut |_| {});
            record.note(&format!(
                "answered request={id} status={} events={} complete={}",
                answer.status,
                answer.events.len(),
                answer.is_complete
            ));
        }
        thread::sleep(Duration::from_millis(500));
    }
}
