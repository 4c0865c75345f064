//! A worker in trouble sends the head of an interim answer where the answer is due.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::client::Connection;
use super::fleet::{self, Folder};
use super::record::Record;
use super::store::Store;
use super::worker::{Plan, Script, Worker};
use super::{KEY, Verdict, manifest};

/// Clients, the pause after each order, and how long they send.
const CLIENTS: usize = 10;
const PAUSE: Duration = Duration::from_millis(50);
const TRAFFIC: Duration = Duration::from_secs(15);

/// Work of a request at a worker.
const WORK: Duration = Duration::from_millis(30);

/// Each how many answers of the worker in trouble are spoilt: 3 in 100.
const TROUBLE_EACH: usize = 33;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let folder = Folder::create();
    let store = Store::start();
    store.put("op/config", &manifest());
    let sound: Script = Arc::new(|_| Plan::Answer { status: "200 OK", work: WORK });
    let count = AtomicUsize::new(0);
    let troubled: Script = Arc::new(move |_| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        let is_spoilt = has_trouble && number % TROUBLE_EACH == TROUBLE_EACH - 1;
        let status = if is_spoilt { "101 Switching Protocols" } else { "200 OK" };
        Plan::Answer { status, work: WORK }
    });
    let workers: Vec<Arc<Worker>> = [("d-1", &sound), ("d-2", &sound), ("d-3", &troubled)]
        .into_iter()
        .map(|(id, script)| Worker::new(id, "desk", 6, &store, record, script.clone()))
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
    let seen = Arc::new(Mutex::new(Vec::new()));
    let ends_at = Instant::now() + TRAFFIC;
    let address = entry.callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, seen) = (record.clone(), seen.clone());
            thread::spawn(move || send_orders(number, address, ends_at, &record, &seen))
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    let seen = seen.lock().expect("the clients have ended");
    let no_answers: Vec<_> = seen.iter().filter(|(_, status)| *status == 101).collect();
    let answered = seen.iter().filter(|(_, status)| *status == 200).count();
    record
        .note(&format!("answered 200: {answered}; bytes that are no answer: {}", no_answers.len()));
    if answered == 0 {
        return Verdict::NotRun;
    }
    if no_answers.is_empty() { Verdict::Held } else { Verdict::Broken }
}

/// Sends one order after another; notes the status that each one gets.
fn send_orders(
    number: usize,
    entry: SocketAddr,
    ends_at: Instant,
    record: &Record,
    seen: &Mutex<Vec<(String, u16)>>,
) {
    let mut count = 0;
    while Instant::now() < ends_at {
        count += 1;
        let id = format!("order-{number}-{count}");
        let headers =
            [("Attempt-Id", id.as_str()), ("Authorization", KEY), ("Deadline-Ms", "2500")];
        record.note(&format!("sent request={id}"));
        let answer = Connection::open(entry, Duration::from_secs(4)).and_then(|mut kept| {
            kept.send("POST", "/order/x", &headers, b"{\"order\":1}")?;
            kept.read_head()
        });
        if let Ok((status, headers)) = answer {
            record.note(&format!("answered request={id} status={status} headers={headers:?}"));
            seen.lock().expect("no client panics").push((id, status));
        }
        thread::sleep(PAUSE);
    }
}
