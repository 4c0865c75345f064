//! Several machines lose their processes at the same moment: the entry that began streams and the two
//! budget servers that know their versions. Clients take the streams up at entries that were not touched.

use std::io::Result;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, Answer, Ask};
use crate::fleet::{Fleet, Plan, RESTART_DELAY};
use crate::record::Record;
use crate::worker::Pace;

/// Streams that begin at the entry that is killed, and the time from one to the next.
const STREAMS: usize = 30;
const GAP: Duration = Duration::from_millis(30);

/// Events that a client has when its channel ends, where no process is killed.
const EVENTS_BEFORE_END: usize = 10;

/// Tries of a client that takes a stream up, within its deadline.
const TRIES: usize = 3;

const DEADLINE: Duration = Duration::from_secs(10);

/// Streams that clients take up from which on the rule holds.
const MIN_TAKEN_UP: usize = 12;

pub fn play(root: &Path, record: &Record, has_trouble: bool) -> Result<Verdict> {
    let pace = Pace { first: Duration::from_millis(50), interval: Duration::from_millis(100), max_events: u64::MAX };
    let plan = Plan { entries: 3, workers: 3, servers: 2, prepaid: 10_000_000, pace };
    let mut fleet = Fleet::start(root, record, plan)?;
    let others = [fleet.front(2), fleet.front(3)];
    // One stream at each of the other entries, so that they have served before.
    for (number, entry) in others.into_iter().enumerate() {
        client::ask(entry, &Ask { tokens: (1_000, 8), ..stream(format!("warm{number}")) }, record);
    }
    let mut calls: Vec<JoinHandle<(Answer, Option<Answer>)>> = Vec::new();
    for number in 0..STREAMS {
        let (entry, record) = (fleet.front(1), record.clone());
        let mut ask = stream(format!("s{number:04}"));
        ask.leaves_after = (!has_trouble).then_some(EVENTS_BEFORE_END);
        calls.push(std::thread::spawn(move || {
            let begun = Instant::now();
            let first = client::ask(entry, &ask, &record);
            let later = take_up(&ask, &first, begun, others, number, &record);
            (first, later)
        }));
        std::thread::sleep(GAP);
    }
    std::thread::sleep(Duration::from_millis(500));
    let killed = ["front-leics-1", "side-leics-1", "side-leics-2"];
    if has_trouble {
        fleet.kill(&killed);
    }
    let mut fresh = Vec::new();
    let mut is_restarted = false;
    for number in 0..STREAMS {
        let (entry, record) = (others[number % 2], record.clone());
        let ask = stream(format!("n{number:04}"));
        fresh.push(std::thread::spawn(move || client::ask(entry, &ask, &record)));
        std::thread::sleep(GAP);
        if has_trouble && GAP * number as u32 >= RESTART_DELAY && !is_restarted {
            is_restarted = true;
            for name in killed {
                fleet.run(name)?;
            }
        }
    }
    let ended: Vec<_> = calls.into_iter().filter_map(|call| call.join().ok()).collect();
    let fresh: Vec<Answer> = fresh.into_iter().filter_map(|call| call.join().ok()).collect();
    let taken_up: Vec<&Answer> = ended.iter().filter_map(|(_, later)| later.as_ref()).collect();
    let goes_on = |answer: &&&Answer| answer.status == 200 && !answer.events.is_empty();
    let gone_on = taken_up.iter().filter(goes_on).count();
    let begun = fresh.iter().filter(|answer| answer.status == 200 && !answer.events.is_empty()).count();
    record.say(&format!("streams taken up: {}, of which went on: {gone_on}", taken_up.len()));
    record.say(&format!("new streams: {}, of which began: {begun}", fresh.len()));
    let share = gone_on as f64 / taken_up.len().max(1) as f64;
    let share_of_new = begun as f64 / fresh.len().max(1) as f64;
    let is_broken = taken_up.len() >= MIN_TAKEN_UP && share < share_of_new / 2.0;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Takes a stream up that has broken off, at entries that were not killed; `None` if it had no event.
fn take_up(
    ask: &Ask,
    first: &Answer,
    begun: Instant,
    others: [std::net::SocketAddr; 2],
    number: usize,
    record: &Record,
) -> Option<Answer> {
    let (last, _) = first.events.last().filter(|_| !first.is_complete)?;
    let mut latest = None;
    for attempt in 0..TRIES {
        let left = DEADLINE.saturating_sub(begun.elapsed());
        if left < Duration::from_millis(200) {
            break;
        }
        let again = Ask {
            attempt: format!("{}-{attempt}", ask.attempt),
            deadline: left,
            takes_up: Some((*last, ask.attempt.clone())),
            leaves_after: None,
            ..ask.clone()
        };
        let answer = client::ask(others[(number + attempt) % 2], &again, record);
        let pause = answer.retry_after();
        let is_refused = answer.status == 503;
        latest = Some(answer);
        if !is_refused {
            break;
        }
        std::thread::sleep(pause.unwrap_or_default().min(left / 3));
    }
    latest
}

fn stream(attempt: String) -> Ask {
    Ask {
        attempt,
        path: "/notes/1",
        tokens: (1_000, 200),
        deadline: DEADLINE,
        takes_up: None,
        leaves_after: None,
    }
}
