//! Record of a run: its requests, the injected faults and the violations detected meanwhile, from
//! which the invariants are checked at the end.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Kind of a request, which decides its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Call that may run more than once.
    Safe,
    /// Call that may run at most once.
    Unsafe,
    /// Stream of events that cannot be resumed.
    Stream,
    /// Stream of events that another target can resume.
    Resumable,
}

/// Stream that a caller takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenUp {
    /// Id of the request that brought the first event.
    pub began_as: String,
    /// Number of the last event that the caller has.
    pub last_event: u64,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Identity of the request, unique within the run.
    pub id: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Workspace that pays, as its index in [`WORKSPACES`](crate::fleet::WORKSPACES).
    pub workspace: usize,
    /// Entry that got the request, as its index in the fleet.
    pub entry: usize,
    /// When the caller sent the request.
    pub started_at: Instant,
    /// When the caller sent the last byte of a head that it sent in two halves; else as `started_at`.
    pub sent_at: Instant,
    /// When the caller had the answer, or gave up.
    pub ended_at: Instant,
    /// Time after which the caller expects no answer any more.
    pub time_limit: Duration,
    /// Tokens of the prompt; only streams send one.
    pub prompt_tokens: u64,
    /// Events that a stream asks for.
    pub events: u64,
    /// Stream that the request goes on with, if any.
    pub taken_up: Option<TakenUp>,
    /// Whether the caller stopped reading before the end of the answer.
    pub has_left: bool,
    /// How the request ended.
    pub outcome: Outcome,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller closed its connection before it had the answer.
    Cancelled,
    /// The connection ended before the head of an answer.
    NoAnswer,
    /// The caller received at least the head of an answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether identity and signature are those of the request.
        matches_request: bool,
        /// Whether a target signed it.
        signed: bool,
        /// Whether the body ended as its head announced.
        complete: bool,
        /// Body, as far as it was received.
        body: String,
    },
}

/// Component that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
    /// The process of the entry with this index.
    Entry(usize),
    /// The target with this number, or the link to it.
    Target(usize),
    /// The store, the link of any process to it, or a budget server.
    ControlPlane,
}

/// Fault of a component and the time that it lasted.
#[derive(Clone, Copy, Debug)]
pub struct InjectedFault {
    /// Component that had the fault.
    pub component: Component,
    /// When the fault began.
    pub from: Instant,
    /// When the fault ended; `None` while it lasts.
    pub to: Option<Instant>,
}

/// Graceful stop of an entry, from its signal to its exit.
#[derive(Clone, Copy, Debug)]
pub struct EntryStop {
    /// The entry, as its index in the fleet.
    pub entry: usize,
    /// Just before the process got SIGTERM.
    pub signalled_at: Instant,
    /// When the process had ended.
    pub ended_at: Instant,
}

/// Violation of an invariant that is detected during the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An entry went back to an older configuration.
    ConfigReverted,
    /// An entry did not apply a configuration in time.
    ConfigLate,
    /// A process ended by itself, or did not stop with exit code 0.
    BadExit,
    /// An entry or a request failed although the faults were over.
    NotRecovered,
    /// The requests of the fault-free part were not charged exactly once each.
    WronglyBilled,
}

/// Contents of a [`Record`].
#[derive(Default)]
struct RecordState {
    exchanges: Vec<Exchange>,
    faults: Vec<InjectedFault>,
    stops: Vec<EntryStop>,
    violations: Vec<(Violation, String)>,
}

/// Record of a run, shared by callers, faults and checks.
#[derive(Default)]
pub struct Record {
    state: Mutex<RecordState>,
}

impl Record {
    fn lock(&self) -> MutexGuard<'_, RecordState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request that has ended.
    pub fn add_exchange(&self, exchange: Exchange) {
        self.lock().exchanges.push(exchange);
    }

    /// Adds a violation and its description.
    pub fn add_violation(&self, violation: Violation, detail: String) {
        self.lock().violations.push((violation, detail));
    }

    /// Records that a fault begins; returns its number for [`Record::end_fault`].
    pub fn begin_fault(&self, component: Component) -> usize {
        let mut state = self.lock();
        state.faults.push(InjectedFault { component, from: Instant::now(), to: None });
        state.faults.len() - 1
    }

    /// Records a fault that is over.
    pub fn add_fault(&self, component: Component, from: Instant, to: Instant) {
        self.lock().faults.push(InjectedFault { component, from, to: Some(to) });
    }

    /// Records that the fault with this number has ended.
    pub fn end_fault(&self, number: usize) {
        self.lock().faults[number].to = Some(Instant::now());
    }

    /// Records a graceful stop that is over.
    pub fn add_stop(&self, stop: EntryStop) {
        self.lock().stops.push(stop);
    }

    /// Returns the graceful stops of entries so far.
    pub fn stops(&self) -> Vec<EntryStop> {
        self.lock().stops.clone()
    }

    /// Returns whether a component had a fault at any moment from `from` to `to`.
    pub fn was_affected(&self, component: Component, from: Instant, to: Instant) -> bool {
        self.lock().faults.iter().any(|fault| {
            fault.component == component
                && fault.from <= to
                && fault.to.is_none_or(|end| end >= from)
        })
    }

    /// Returns the requests that have ended so far.
    pub fn exchanges(&self) -> Vec<Exchange> {
        self.lock().exchanges.clone()
    }

    /// Returns the violations recorded so far, with their descriptions.
    pub fn violations(&self) -> Vec<(Violation, String)> {
        self.lock().violations.clone()
    }
}
