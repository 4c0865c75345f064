//! Machines are stopped and started in turn, twice; in between the store comes back from a copy that was
//! made before.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::client::Connection;
use super::fleet::{self, Folder, Process};
use super::record::Record;
use super::store::Store;
use super::worker::{Plan, Script, Worker};
use super::{KEY, Verdict, manifest};

/// Tokens that the tenant has prepaid for the day.
const PREPAID: u64 = 200_000;

/// Tokens of one stream: its prompt, and those of its events.
const PROMPT_TOKENS: u64 = 2_000;
const LAST_EVENT: u64 = 10;
const TOKENS_PER_EVENT: u64 = 4;

/// Streams before the copy is made, between the copy and the stops, and after the drill.
const STREAMS_BEFORE: u64 = 5;
const STREAMS_LOST: u64 = 16;
const STREAMS_AFTER: u64 = 110;

/// Pause between two streams.
const PAUSE: Duration = Duration::from_millis(100);

/// Pause between the stops of two machines.
const STOP_GAP: Duration = Duration::from_millis(1_000);

/// Time from the drill to the second time that machines are stopped.
const BETWEEN_ROLLS: Duration = Duration::from_millis(7_000);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let folder = Folder::create();
    let store = Store::start();
    let manifest = manifest().replace("50000000", &PREPAID.to_string());
    store.put("op/config", &manifest);
    let script: Script =
        Arc::new(|_| Plan::Stream { last: LAST_EVENT, pause: Duration::from_millis(10) });
    let workers: Vec<Arc<Worker>> = ["w-1", "w-2"]
        .iter()
        .map(|id| Worker::new(id, "writer", 64, &store, record, script.clone()))
        .collect();
    workers.iter().for_each(|worker| worker.start("v1", Duration::ZERO));
    let fronts: Vec<Process> = ["front-1", "front-2"]
        .iter()
        .map(|name| fleet::start_entry(&folder.0, name, store.address))
        .collect();
    let mut sides: Vec<Process> = ["side-1", "side-2"]
        .iter()
        .zip(&workers)
        .map(|(name, worker)| {
            fleet::start_budget_server(&folder.0, name, store.address, worker.address)
        })
        .collect();
    if !fronts.iter().all(|front| fleet::wait_ready(front, Duration::from_secs(15))) {
        return Verdict::NotRun;
    }
    // Traffic starts 10 s after the machines, as on the users' sheets.
    thread::sleep(Duration::from_secs(10));

    // The tenant's clients are at the first front.
    let mut used = send_streams("before", STREAMS_BEFORE, fronts[0].callers, record);
    if used == 0 {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let copy = store.copy();
    record.note("the store is copied");
    used += send_streams("lost", STREAMS_LOST, fronts[0].callers, record);
    record.note(&format!("tokens used so far: {used}"));

    // Planned work: the machines beside the workers, one after the other; both are back before the drill.
    sides = roll(sides, record);
    if has_trouble {
        store.restore(copy, AWAY);
        record.note("the store is back from the copy");
        // What the operator wrote is written again, and the workers write with each heartbeat.
        store.put("op/config", &manifest);
    }
    thread::sleep(BETWEEN_ROLLS);
    // The same planned work once more.
    if plays("second-roll") {
        sides = roll(sides, record);
    }
    thread::sleep(Duration::from_secs(10));
    used += send_streams("after", STREAMS_AFTER, fronts[0].callers, record);
    record.note(&format!("tokens used: {used} of {PREPAID} prepaid"));
    drop(sides);
    if used > PREPAID { Verdict::Broken } else { Verdict::Held }
}

/// Returns whether a part of the case is played: all are unless `PARTS` names some.
fn plays(part: &str) -> bool {
    std::env::var("PARTS").map_or(true, |parts| parts.split(',').any(|name| name == part))
}

/// Stops machines with SIGTERM, one after the other, and starts each again when it has ended.
fn roll(processes: Vec<Process>, record: &Record) -> Vec<Process> {
    for process in &processes {
        record.note(&format!("SIGTERM to {}", process.name));
        process.terminate();
        thread::sleep(STOP_GAP);
    }
    let started = processes.into_iter().map(Process::restart).collect();
    record.note("all of them have stopped and started again");
    started
}

/// Sends streams one after the other; returns the tokens that the tenant consumed by them.
fn send_streams(name: &str, count: u64, entry: SocketAddr, record: &Record) -> u64 {
    let mut used = 0;
    for number in 0..count {
        let id = format!("{name}-{number}");
        let tokens = format!("{PROMPT_TOKENS},{}", LAST_EVENT * TOKENS_PER_EVENT);
        let prompt = format!("5c1e07a2:1000,{:08x}:1000", 0x9000 + number);
        let headers = [
            ("Attempt-Id", id.as_str()),
            ("Authorization", KEY),
            ("Model", "m"),
            ("Token-Usage", tokens.as_str()),
            ("Prompt-Prefix", prompt.as_str()),
            ("Deadline-Ms", "6000"),
        ];
        record.note(&format!("sent request={id}"));
        let Ok(mut connection) = Connection::open(entry, Duration::from_secs(6)) else { continue };
        if connection.send("POST", "/draft/x", &headers, b"{\"ask\":1}").is_err() {
            continue;
        }
        let answer = connection.read_stream(&mut |_| {});
        let events = answer.events.len() as u64;
        if events > 0 {
            used += PROMPT_TOKENS + events * TOKENS_PER_EVENT;
        }
        record.note(&format!(
            "answered request={id} status={} events={events} complete={} used={used}",
            answer.status, answer.is_complete
        ));
        thread::sleep(PAUSE);
    }
    used
}
