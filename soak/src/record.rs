//! What happened in a run: requests, disturbances and breaches.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Safe,
    Unsafe,
    Stream,
    Resumable,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub id: String,
    pub kind: Kind,
    /// Workspace that pays, by its place.
    pub workspace: usize,
    /// Entry that served it, by its place.
    pub entry: usize,
    pub begun: Instant,
    pub ended: Instant,
    /// Prompt tokens and events asked for.
    pub input: u64,
    pub events: u64,
    pub outcome: Outcome,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller left first.
    Left,
    /// The connection ended without an answer's head.
    NoAnswer,
    Answered {
        status: u16,
        /// Whether identity and signature are the request's own.
        is_own: bool,
        /// Whether a target signed it.
        is_signed: bool,
        is_complete: bool,
        body: String,
    },
}

/// What a disturbance strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Struck {
    /// Process of an entry: killed or frozen.
    Entry(usize),
    /// A target, or the way to it.
    Target(usize),
    /// The store, or any process's way to it, or a budget server.
    Control,
}

/// Time in which something was out of order.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    pub struck: Struck,
    pub from: Instant,
    /// `None` while it lasts.
    pub to: Option<Instant>,
}

/// Something that should not have been seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    Reverted,
    NotInForce,
    BadExit,
    NotRecovered,
    WronglyBilled,
}

#[derive(Default)]
struct Held {
    exchanges: Vec<Exchange>,
    disturbances: Vec<Disturbance>,
    breaches: Vec<(Violation, String)>,
}

/// Shared record of a run.
#[derive(Default)]
pub struct Record {
    held: Mutex<Held>,
}

impl Record {
    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request that has ended.
    pub fn add(&self, exchange: Exchange) {
        self.lock().exchanges.push(exchange);
    }

    /// Adds a breach that was seen while the run went on.
    pub fn breach(&self, breach: Violation, detail: String) {
        self.lock().breaches.push((breach, detail));
    }

    /// Begins a disturbance; answers its number.
    pub fn begin(&self, struck: Struck) -> usize {
        let mut held = self.lock();
        held.disturbances.push(Disturbance { struck, from: Instant::now(), to: None });
        held.disturbances.len() - 1
    }

    /// Ends a disturbance.
    pub fn end(&self, number: usize) {
        self.lock().disturbances[number].to = Some(Instant::now());
    }

    /// Whether something was struck at any moment between two.
    pub fn was_struck(&self, struck: Struck, from: Instant, to: Instant) -> bool {
        self.lock().disturbances.iter().any(|disturbance| {
            disturbance.struck == struck
                && disturbance.from <= to
                && disturbance.to.is_none_or(|end| end >= from)
        })
    }

    /// All requests so far.
    pub fn exchanges(&self) -> Vec<Exchange> {
        self.lock().exchanges.clone()
    }

    /// All breaches so far.
    pub fn breaches(&self) -> Vec<(Violation, String)> {
        self.lock().breaches.clone()
    }
}
