//! A worker runs a request, fails, and answers 503 without `Not-Executed`.

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
const CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(150);
const TRAFFIC: Duration = Duration::from_secs(10);

/// Work of a request at a worker.
const WORK: Duration = Duration::from_millis(30);

/// Attempts that a client makes for an order: the first, and one retry after a promise.
const ATTEMPTS: usize = 2;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let folder = Folder::create();
    let store = Store::start();
    store.put("op/config", &manifest());
    let sound: Script = Arc::new(|_| Plan::Answer { status: "200 OK", work: WORK });
    let count = AtomicUsize::new(0);
    // 45 in 100 of the requests fail.
    let troubled: Script = Arc::new(move |_| {
        let fails = has_trouble && count.fetch_add(1, Ordering::Relaxed) * 45 % 100 < 45;
        let status = if fails { "503 Service Unavailable" } else { "200 OK" };
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
    let refused = Arc::new(Mutex::new(Vec::new()));
    let ends_at = Instant::now() + TRAFFIC;
    let address = entry.callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, refused) = (record.clone(), refused.clone());
            thread::spawn(move || send_orders(number, address, ends_at, &record, &refused))
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    judge(record, &refused.lock().expect("the clients have ended"))
}

/// Judges by the rule: a request that is not idempotent was answered 503, 429, 408 or 421 and has run.
fn judge(record: &Record, refused: &[String]) -> Verdict {
    let text = record.text();
    let has_run = |id: &&String| text.contains(&format!("run request={id} "));
    let false_promises: Vec<&String> = refused.iter().filter(has_run).collect();
    let runs_of = |order: &str| {
        (0..ATTEMPTS)
            .filter(|attempt| text.contains(&format!("run request={order}-{attempt} ")))
            .count()
    };
    let order_of = |id: &&String| id.rsplit_once('-').map(|(order, _)| order.to_owned());
    let twice = false_promises.iter().filter_map(|id| order_of(id)).filter(|o| runs_of(o) > 1);
    record.note(&format!(
        "answers that promise `not run`: {}; of these had run: {}; orders that ran twice: {}",
        refused.len(),
        false_promises.len(),
        twice.count()
    ));
    if !text.contains(" status=200") {
        return Verdict::NotRun;
    }
    if false_promises.is_empty() { Verdict::Held } else { Verdict::Broken }
}

/// Sends one order after another, and each once more after a promise that it has not run.
fn send_orders(
    number: usize,
    entry: SocketAddr,
    ends_at: Instant,
    record: &Record,
    refused: &Mutex<Vec<String>>,
) {
    let mut count = 0;
    while Instant::now() < ends_at {
        count += 1;
        for attempt in 0..ATTEMPTS {
            let id = format!("order-{number}-{count}-{attempt}");
            let headers =
                [("Attempt-Id", id.as_str()), ("Authorization", KEY), ("Deadline-Ms", "2500")];
            record.note(&format!("sent request={id}"));
            let answer = Connection::open(entry, Duration::from_secs(4)).and_then(|mut kept| {
                kept.send("POST", "/order/x", &headers, b"{\"order\":1}")?;
                kept.read_answer()
            });
            let Ok((status, _, _)) = answer else { break };
            record.note(&format!("answered request={id} status={status}"));
            if !matches!(status, 503 | 429 | 408 | 421) {
                break;
            }
            refused.lock().expect("no client panics").push(id);
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(PAUSE);
    }
}
