//! One entry is killed while it forwards streams. All that their requests might have used counts as spent
//! for good, so that the tenant's requests are refused with 402 at another entry although they fit.

use std::io::Result;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, Ask};
use crate::fleet::{Fleet, Plan, RESTART_DELAY};
use crate::record::Record;
use crate::worker::{Pace, TOKENS_PER_EVENT};

/// Tokens that the tenant has prepaid.
const PREPAID: u64 = 100_000;

/// Tokens of a request: its prompt and at most 150 events, as quick questions on the sheets have.
const TOKENS: (u64, u64) = (1_000, 600);

/// Events of each stream; its end does not depend on the request's upper bound.
const EVENTS: u64 = 10;

/// Requests at the entry that is killed.
const OPEN: usize = 40;

/// Requests at the other entry, one after the other.
const LATER: usize = 50;

/// Time after the kill from which on these are sent: longer than `contact_ms` and `settle_ms`.
const PAUSE: Duration = Duration::from_secs(4);

/// Time after the kill at which the last of them are sent: all reservations have run out by then.
const LAST_PAUSE: Duration = Duration::from_secs(20);
const LAST: usize = 10;

/// Requests that the rule allows, besides one in 500.
const ALLOWED: usize = 5;

/// Share of the prepaid tokens up to which a request is owed, in percent.
const OWED_PERCENT: u64 = 97;

pub fn play(root: &Path, record: &Record, has_trouble: bool) -> Result<Verdict> {
    let pace =
        Pace { first: Duration::from_millis(50), interval: Duration::from_millis(100), max_events: EVENTS };
    let plan = Plan { entries: 2, workers: 2, servers: 2, prepaid: PREPAID, pace };
    let mut fleet = Fleet::start(root, record, plan)?;
    let mut calls = Vec::new();
    for number in 0..OPEN {
        let (entry, record) = (fleet.front(1), record.clone());
        let ask = request(format!("a{number:04}"));
        calls.push(std::thread::spawn(move || client::ask(entry, &ask, &record)));
    }
    std::thread::sleep(Duration::from_millis(600));
    let killed_at = Instant::now();
    if has_trouble {
        fleet.kill(&["front-leics-1"]);
        std::thread::sleep(RESTART_DELAY);
        fleet.run("front-leics-1")?;
    }
    let received: usize = calls.into_iter().map(|call| call.join().map_or(0, |answer| answer.events.len())).sum();
    record.say(&format!("{OPEN} requests at the entry that is killed brought {received} events"));
    // All that the workers wrote counts, whether or not it arrived.
    let mut used = OPEN as u64 * used_by(EVENTS);
    std::thread::sleep(PAUSE.saturating_sub(killed_at.elapsed()));
    let mut denied = 0;
    for number in 0..LATER {
        if number == LATER - LAST {
            std::thread::sleep(LAST_PAUSE.saturating_sub(killed_at.elapsed()));
        }
        let fits = used + TOKENS.0 + TOKENS.1 <= PREPAID * OWED_PERCENT / 100;
        let answer = client::ask(fleet.front(2), &request(format!("b{number:04}")), record);
        used += if answer.status == 200 { used_by(EVENTS) } else { 0 };
        let after = killed_at.elapsed().as_secs_f64();
        record.line(&format!(
            "b{number:04}: {after:.1} s after the kill, status={}, it fits: {fits}, used by now: {used}",
            answer.status
        ));
        if fits && answer.status == 402 {
            denied += 1;
        }
    }
    let sent = OPEN + LATER;
    record.say(&format!("used in all: at most {used} of {PREPAID} tokens"));
    record.say(&format!("answered 402 though they fit: {denied} of {sent}; allowed: {ALLOWED} and one in 500"));
    Ok(if denied > ALLOWED + sent / 500 { Verdict::Broken } else { Verdict::Held })
}

fn used_by(events: u64) -> u64 {
    TOKENS.0 + events * TOKENS_PER_EVENT
}

fn request(attempt: String) -> Ask {
    Ask {
        attempt,
        path: "/draft/1",
        tokens: TOKENS,
        deadline: Duration::from_secs(10),
        takes_up: None,
        leaves_after: None,
    }
}
