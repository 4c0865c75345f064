//! A worker starts again under its id with another version of its software. Until its next heartbeat the
//! store shows the version before, and entries note it as what began the streams of the new process. When
//! these break off, they go on at workers of the version before.

use std::io::Result;
use std::path::Path;
use std::time::Duration;

use crate::client::{self, Answer, Ask};
use crate::fleet::{Fleet, Plan, unix_ms};
use crate::record::Record;
use crate::worker::{Pace, Process, Worker};
use crate::{Verdict, plays};

/// Time for which the worker's port is closed while it starts again.
const DOWN: Duration = Duration::from_millis(300);

/// Time from the worker's start to its first entry in the store: one heartbeat, as the sheets name it.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Streams that begin between the start and the first entry, and the time from one to the next.
const STREAMS: usize = 30;
const GAP: Duration = Duration::from_millis(30);

/// Time from the worker's first entry to its crash.
const CRASH_AFTER: Duration = Duration::from_millis(1_000);

/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;

pub fn play(root: &Path, record: &Record, has_trouble: bool) -> Result<Verdict> {
    let pace = Pace { first: Duration::from_millis(50), interval: Duration::from_millis(100), max_events: u64::MAX };
    let plan = Plan { entries: 2, workers: 3, servers: 2, prepaid: 10_000_000, pace };
    let mut fleet = Fleet::start(root, record, plan)?;
    let is_restarted = plays("restart", has_trouble);
    if is_restarted {
        let former = fleet.workers.remove(0);
        let Process { id, address, .. } = former.process.clone();
        former.end();
        record.line(&format!("worker ended id={id} version=v1"));
        std::thread::sleep(DOWN);
        let process = Process { id, version: "v2", born: unix_ms(), address };
        record.line(&format!("worker started id={} version=v2 born={}", process.id, process.born));
        fleet.workers.insert(0, Worker::start(process, pace, record)?);
    }
    let mut calls = Vec::new();
    for number in 0..STREAMS {
        let entry = fleet.front(1 + number % 2);
        let (record, ask) = (record.clone(), stream(number));
        calls.push(std::thread::spawn(move || client::ask(entry, &ask, &record)));
        std::thread::sleep(GAP);
    }
    std::thread::sleep(HEARTBEAT.saturating_sub(GAP * STREAMS as u32));
    if is_restarted {
        fleet.workers[0].register(&fleet.store);
        record.line("the worker's first entry is in the store: version=v2");
    }
    if plays("crash", has_trouble) {
        std::thread::sleep(CRASH_AFTER);
        record.line("the worker crashes");
        fleet.workers.remove(0).end();
    }
    let answers: Vec<Answer> = calls.into_iter().filter_map(|call| call.join().ok()).collect();
    let mut mixed = 0;
    for (number, answer) in answers.iter().enumerate() {
        let mut writers: Vec<&str> = answer.events.iter().map(|(_, data)| data.as_str()).collect();
        writers.dedup();
        let versions = writers.iter().filter_map(|writer| writer.split(' ').next());
        let mut versions: Vec<&str> = versions.collect();
        versions.dedup();
        if versions.len() > 1 {
            mixed += 1;
            let complete = answer.is_complete;
            record.say(&format!("stream {number}: written by {writers:?} in turn, complete={complete}"));
        }
    }
    let begun = answers.iter().filter(|answer| !answer.events.is_empty()).count();
    record.say(&format!("{begun} streams began; {mixed} hold events of two versions, {ALLOWED} are allowed"));
    Ok(if mixed > ALLOWED { Verdict::Broken } else { Verdict::Held })
}

fn stream(number: usize) -> Ask {
    Ask {
        attempt: format!("s{number:04}"),
        path: "/notes/1",
        tokens: (1_000, 200),
        deadline: Duration::from_secs(10),
        takes_up: None,
        leaves_after: None,
    }
}
