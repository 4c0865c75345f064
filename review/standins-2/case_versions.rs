//! A worker starts anew under its id with another software version, and the entry that had streams
//! there is killed.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::client::Connection;
use super::fleet::{self, Folder};
use super::record::Record;
use super::store::Store;
use super::worker::{Plan, Script, Worker};
use super::{KEY, Verdict, manifest};

/// Events of a stream, and the pause after each.
const LAST_EVENT: u64 = 30;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Streams that begin right after the worker is back.
const STREAMS: usize = 18;

/// Time for which the worker is away, and until it registers after its start.
const AWAY: Duration = Duration::from_millis(300);
const REGISTERS_AFTER: Duration = Duration::from_millis(1_000);

/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let folder = Folder::create();
    let store = Store::start();
    store.put("op/config", &manifest());
    let script: Script = Arc::new(|_| Plan::Stream { last: LAST_EVENT, pause: EVENT_PAUSE });
    let workers: Vec<Arc<Worker>> = ["w-1", "w-2", "w-3"]
        .iter()
        .map(|id| Worker::new(id, "writer", 64, &store, record, script.clone()))
        .collect();
    workers.iter().for_each(|worker| worker.start("v1", Duration::ZERO));
    let mut first = fleet::start_entry(&folder.0, "front-1", store.address);
    let second = fleet::start_entry(&folder.0, "front-2", store.address);
    let _servers: Vec<_> = workers
        .iter()
        .enumerate()
        .map(|(at, worker)| {
            let name = format!("side-{}", at + 1);
            fleet::start_budget_server(&folder.0, &name, store.address, worker.address)
        })
        .collect();
    let timeout = Duration::from_secs(15);
    if !fleet::wait_ready(&first, timeout) || !fleet::wait_ready(&second, timeout) {
        return Verdict::NotRun;
    }
    // Traffic starts 10 s after the machines, as on the users' sheets.
    thread::sleep(Duration::from_secs(10));

    // A quiet moment; then the worker is replaced in place by another version of its software.
    if has_trouble {
        workers[0].crash();
        thread::sleep(AWAY);
        workers[0].start("v2", REGISTERS_AFTER);
        thread::sleep(Duration::from_millis(20));
    }
    let mixed = Arc::new(Mutex::new(Vec::new()));
    let addresses = [first.callers, second.callers];
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, mixed) = (record.clone(), mixed.clone());
            thread::spawn(move || follow_stream(number, addresses, &record, &mixed))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        record.note("front-1 is killed");
        first.kill();
    }
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    let mixed = mixed.lock().expect("the clients have ended");
    record.note(&format!("streams with events of two versions: {} {mixed:?}", mixed.len()));
    if mixed.len() > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// Sends the request for a stream, and takes it up once at the second entry if it breaks off.
fn follow_stream(
    number: usize,
    entries: [std::net::SocketAddr; 2],
    record: &Record,
    mixed: &Mutex<Vec<usize>>,
) {
    let prompt = format!("5c1e07a2:200,{:08x}:300,{:08x}:250", 0x1000 + number, 0x9000 + number);
    let mut events: Vec<super::client::Event> = Vec::new();
    let mut first_id = String::new();
    for (attempt, entry) in entries.into_iter().enumerate() {
        let id = format!("stream-{number}-{attempt}");
        let last = events.last().map_or(0, |event| event.id).to_string();
        let mut headers = vec![
            ("Attempt-Id", id.as_str()),
            ("Authorization", KEY),
            ("Model", "m"),
            ("Token-Usage", "750,240"),
            ("Prompt-Prefix", prompt.as_str()),
            ("Deadline-Ms", "9000"),
        ];
        if !events.is_empty() {
            headers.push(("Last-Event-Id", last.as_str()));
            headers.push(("Resumes", first_id.as_str()));
        }
        record.note(&format!("sent request={id} entry={} after_event={last}", attempt + 1));
        let Ok(mut connection) = Connection::open(entry, Duration::from_secs(9)) else { continue };
        if connection.send("POST", "/draft/x", &headers, b"{\"ask\":1}").is_err() {
            continue;
        }
        let answer = connection.read_stream(&mut |_| {});
        record.note(&format!(
            "answered request={id} status={} events={} complete={} {}",
            answer.status,
            answer.events.len(),
            answer.is_complete,
            answer.body
        ));
        if first_id.is_empty() && !answer.events.is_empty() {
            first_id = id.clone();
        }
        events.extend(answer.events);
        if answer.is_complete {
            break;
        }
    }
    let versions = |name: &str| events.iter().filter(|event| event.data.ends_with(name)).count();
    let (v1, v2) = (versions("by v1"), versions("by v2"));
    record.note(&format!("stream {number}: events={} of_v1={v1} of_v2={v2}", events.len()));
    if v1 > 0 && v2 > 0 {
        mixed.lock().expect("no client panics").push(number);
    }
}
