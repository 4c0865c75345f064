//! Steady traffic of one tenant, and what it has received.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::client::{self, Ask};
use crate::record::Record;
use crate::worker::TOKENS_PER_EVENT;

/// Tokens of a request's prompt, and most tokens of its output, all of which the worker writes.
pub const TOKENS: (u64, u64) = (1_000, 80);

/// Requests of one tenant, each for a stream that may not be resumed.
pub struct Traffic {
    /// Prompts of the requests that brought an event, and their events, in tokens.
    received: Arc<Mutex<u64>>,
    calls: Vec<JoinHandle<()>>,
    record: Record,
}

impl Traffic {
    /// Opens the traffic; nothing is sent yet.
    pub fn open(record: &Record) -> Traffic {
        Traffic { received: Arc::default(), calls: Vec::new(), record: record.clone() }
    }

    /// Returns the tokens that clients have received.
    pub fn tokens(&self) -> u64 {
        *self.received.lock().unwrap()
    }

    /// Sends `rate` requests a second to entries in turn for some time; their ids begin with `name`.
    pub fn send(&mut self, name: &str, entries: &[SocketAddr], rate: u32, time: Duration) {
        let begun = Instant::now();
        let mut number = 0;
        while begun.elapsed() < time {
            let entry = entries[number as usize % entries.len()];
            let ask = Ask {
                attempt: format!("{name}{number:04}"),
                path: "/draft/1",
                tokens: TOKENS,
                deadline: Duration::from_secs(10),
                takes_up: None,
                leaves_after: None,
            };
            let (record, received) = (self.record.clone(), self.received.clone());
            self.calls.push(std::thread::spawn(move || {
                let events = client::ask(entry, &ask, &record).events.len() as u64;
                if events > 0 {
                    *received.lock().unwrap() += TOKENS.0 + events * TOKENS_PER_EVENT;
                }
            }));
            number += 1;
            let next = begun + Duration::from_secs(1) * number / rate;
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    }

    /// Waits until all requests have ended; returns the tokens that clients have received.
    pub fn finish(self) -> u64 {
        for call in self.calls {
            let _ = call.join();
        }
        *self.received.lock().unwrap()
    }
}
