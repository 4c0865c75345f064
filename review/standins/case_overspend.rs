//! All processes of the system are killed, and start again. A moment later the store comes back from a
//! copy that is some seconds old. What a tenant spent between the copy and the kill is known to nobody
//! then, and is spent again.

use std::io::Result;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::client::{self, Ask};
use crate::fleet::{Fleet, Plan, RESTART_DELAY};
use crate::record::Record;
use crate::worker::{Pace, TOKENS_PER_EVENT};
use crate::{Verdict, plays};

/// Tokens that the tenant has prepaid.
const PREPAID: u64 = 300_000;

/// Tokens of a request's prompt, and most tokens of its output, all of which the worker writes.
const TOKENS: (u64, u64) = (1_000, 80);

/// Requests a second.
const RATE: u32 = 20;

/// Traffic before the copy is made, from the copy to the kill, from the start to the drill, and after it.
/// The copy is 6.5 s old when the store is back from it.
const BEFORE_COPY: Duration = Duration::from_secs(3);
const BEFORE_KILL: Duration = Duration::from_secs(4);
const BEFORE_DRILL: Duration = Duration::from_millis(1_500);
const AFTER: Duration = Duration::from_secs(25);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// What clients have received, in tokens: the prompt of each request that brought an event, and its
/// events.
#[derive(Clone, Default)]
struct Received(Arc<Mutex<u64>>);

impl Received {
    fn tokens(&self) -> u64 {
        *self.0.lock().unwrap()
    }
}

pub fn play(root: &Path, record: &Record, has_trouble: bool) -> Result<Verdict> {
    let pace = Pace { first: Duration::from_millis(20), interval: Duration::from_millis(2), max_events: u64::MAX };
    let plan = Plan { entries: 2, workers: 2, servers: 2, prepaid: PREPAID, pace };
    let mut fleet = Fleet::start(root, record, plan)?;
    let received = Received::default();
    let mut calls = Vec::new();
    send(&fleet, &received, &mut calls, "a", BEFORE_COPY);
    let copy = fleet.store.copy();
    record.say(&format!("the copy is made: {} tokens received so far", received.tokens()));
    send(&fleet, &received, &mut calls, "b", BEFORE_KILL);
    record.say(&format!("before the kill: {} tokens received", received.tokens()));
    if plays("kill", has_trouble) {
        let names = fleet.names();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        fleet.kill(&names);
        std::thread::sleep(RESTART_DELAY);
        for name in &names {
            fleet.run(name)?;
        }
    }
    send(&fleet, &received, &mut calls, "c", BEFORE_DRILL);
    record.say(&format!("before the drill: {} tokens received", received.tokens()));
    if plays("drill", has_trouble) {
        fleet.store.go_away();
        record.line("the store is away");
        std::thread::sleep(AWAY);
        fleet.store.come_back(&copy);
        record.line("the store is back from the copy, under the next era");
    }
    send(&fleet, &received, &mut calls, "d", AFTER);
    for call in calls {
        let _ = call.join();
    }
    let tokens = received.tokens();
    record.say(&format!("tokens received: {tokens} of {PREPAID} prepaid"));
    Ok(if tokens > PREPAID { Verdict::Broken } else { Verdict::Held })
}

/// Sends requests to the entries in turn for some time.
fn send(fleet: &Fleet, received: &Received, calls: &mut Vec<JoinHandle<()>>, name: &str, time: Duration) {
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < time {
        let entry = fleet.front(1 + number as usize % 2);
        let ask = Ask {
            attempt: format!("{name}{number:04}"),
            path: "/draft/1",
            tokens: TOKENS,
            deadline: Duration::from_secs(10),
            takes_up: None,
            leaves_after: None,
        };
        let (record, received) = (fleet.record.clone(), received.clone());
        calls.push(std::thread::spawn(move || {
            let events = client::ask(entry, &ask, &record).events.len() as u64;
            if events > 0 {
                *received.0.lock().unwrap() += TOKENS.0 + events * TOKENS_PER_EVENT;
            }
        }));
        number += 1;
        std::thread::sleep((begun + number * Duration::from_secs(1) / RATE).saturating_duration_since(Instant::now()));
    }
}
