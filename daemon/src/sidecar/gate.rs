//! Drives the [`Gate`] on the control thread and hands out its decisions.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use rosemarymoor_lib::admission::{AdmissionLimits, Arrival, Ticket};
use rosemarymoor_lib::control::{self, ControlSender};
use rosemarymoor_lib::gate::{Gate, GateEffect, GateEvent, GateState, LoadReason};
use rosemarymoor_lib::result_code::Refusal;
use rosemarymoor_lib::target_client::{TargetClient, TargetLoad};
use rosemarymoor_lib::time::{MonotonicClock, wall_clock_ms};
use tokio::runtime::Handle;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::poison_propagation::PoisonPropagation;

/// How long a target may take to answer whether it is still there.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the end of a lost request may wait for the verdict on its loss.
const JUDGE_TIMEOUT: Duration = Duration::from_secs(3);

/// News of one ticket.
#[derive(Clone, Debug)]
pub enum TicketEvent {
    Queued,
    Started,
    Refused(Refusal),
    /// The reason of the loss is known and has been spread.
    Judged,
}

struct Shared {
    sender: OnceLock<ControlSender<GateEvent>>,
    tickets: Mutex<Vec<(Ticket, UnboundedSender<TicketEvent>)>>,
    state: ArcSwap<GateState>,
    load: ArcSwap<Option<TargetLoad>>,
    target: Arc<dyn TargetClient>,
    spread: Arc<PoisonPropagation>,
    next: AtomicU64,
}

/// Handle of the running gate.
#[derive(Clone)]
pub struct GateHandle {
    shared: Arc<Shared>,
}

impl GateHandle {
    /// Spawns the control thread; call it inside a tokio runtime.
    pub fn spawn(
        clock: MonotonicClock,
        incarnation: u64,
        target: Arc<dyn TargetClient>,
        spread: Arc<PoisonPropagation>,
    ) -> GateHandle {
        let shared = Arc::new(Shared {
            sender: OnceLock::new(),
            tickets: Mutex::default(),
            state: ArcSwap::default(),
            load: ArcSwap::default(),
            target,
            spread,
            next: AtomicU64::new(0),
        });
        let handle = GateHandle { shared };
        let driver = Driver { handle: handle.clone(), runtime: Handle::current() };
        let gate = Gate::new(AdmissionLimits::default(), incarnation);
        let (sender, _) = control::spawn(clock, gate, move |effect| driver.carry_out(effect));
        let _ = handle.shared.sender.set(sender);
        handle
    }

    /// Sends an event to the gate.
    pub fn send(&self, event: GateEvent) {
        if let Some(sender) = self.shared.sender.get() {
            sender.send(event);
        }
    }

    /// State as of the last decision.
    pub fn state(&self) -> GateState {
        **self.shared.state.load()
    }

    /// Last load report of the target.
    pub fn load(&self) -> Option<TargetLoad> {
        self.shared.load.load().as_ref().clone()
    }

    /// Asks for admission; the decision comes over the ticket.
    pub fn enter(
        &self,
        fingerprint: u128,
        arrival: impl FnOnce(Ticket) -> Arrival,
    ) -> TicketHandle {
        let ticket = Ticket(self.shared.next.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = unbounded_channel();
        self.tickets().push((ticket, tx));
        self.send(GateEvent::Arrive { arrival: arrival(ticket), fingerprint });
        TicketHandle { gate: self.clone(), ticket, rx, ended: false }
    }

    /// Reads the target's load and hands it to the gate.
    pub async fn read_load(&self, reason: LoadReason) {
        let load = tokio::time::timeout(PROBE_TIMEOUT, self.shared.target.load()).await;
        let load = load.ok().flatten();
        self.shared.load.store(Arc::new(load.clone()));
        self.send(GateEvent::Load { load, reason, wall_ms: wall_clock_ms() });
    }

    fn tell(&self, ticket: Ticket, event: TicketEvent) {
        let tickets = self.tickets();
        if let Some((_, tx)) = tickets.iter().find(|(held, _)| *held == ticket) {
            let _ = tx.send(event);
        }
    }

    fn tickets(&self) -> std::sync::MutexGuard<'_, Vec<(Ticket, UnboundedSender<TicketEvent>)>> {
        self.shared.tickets.lock().expect("no holder panics")
    }
}

struct Driver {
    handle: GateHandle,
    runtime: Handle,
}

impl Driver {
    fn carry_out(&self, effect: GateEffect) {
        let handle = self.handle.clone();
        match effect {
            GateEffect::Queue(ticket) => handle.tell(ticket, TicketEvent::Queued),
            GateEffect::Start(ticket) => handle.tell(ticket, TicketEvent::Started),
            GateEffect::Refuse(ticket, refusal) => {
                handle.tell(ticket, TicketEvent::Refused(refusal));
            }
            GateEffect::Probe => {
                self.runtime.spawn(async move { handle.read_load(LoadReason::Probe).await });
            }
            GateEffect::PropagatePoison { rows, interrupted } => {
                self.runtime.spawn(async move {
                    handle.shared.spread.share(rows).await;
                    interrupted
                        .into_iter()
                        .for_each(|ticket| handle.tell(ticket, TicketEvent::Judged));
                });
            }
            GateEffect::TargetLeaves => log::info!("decision=leave reason=target-says-so"),
            GateEffect::Publish(state) => handle.shared.state.store(Arc::new(state)),
        }
    }
}

/// One request's place at the gate.
pub struct TicketHandle {
    gate: GateHandle,
    ticket: Ticket,
    rx: UnboundedReceiver<TicketEvent>,
    ended: bool,
}

impl TicketHandle {
    /// Waits for the next decision.
    pub async fn next(&mut self) -> Option<TicketEvent> {
        self.rx.recv().await
    }

    /// Takes the request back if it has not started.
    pub fn withdraw(&self) {
        self.gate.send(GateEvent::Withdraw(self.ticket));
    }

    /// The request ran to the end of its answer.
    pub fn answered(mut self) {
        self.end(GateEvent::Answered(self.ticket));
    }

    /// The connection to the target broke; waits until the reason is known.
    pub async fn lost(mut self) {
        self.end(GateEvent::ConnectionLost(self.ticket));
        let judged =
            async { while !matches!(self.rx.recv().await, Some(TicketEvent::Judged) | None) {} };
        let _ = tokio::time::timeout(JUDGE_TIMEOUT, judged).await;
    }

    fn end(&mut self, event: GateEvent) {
        self.ended = true;
        self.gate.send(event);
    }
}

impl Drop for TicketHandle {
    fn drop(&mut self) {
        if !self.ended {
            self.gate.send(GateEvent::Stopped(self.ticket));
        }
        let ticket = self.ticket;
        self.gate.tickets().retain(|(held, _)| *held != ticket);
    }
}
