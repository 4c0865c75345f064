//! Runs the [`Gate`] on the control thread and delivers its decisions to the waiting requests.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use opentelemetry::metrics::Counter;
use rosemarymoor_lib::admission::{AdmissionLimits, Arrival, Ticket};
use rosemarymoor_lib::control::{self, ControlSender};
use rosemarymoor_lib::gate::{Gate, GateEffect, GateEvent, GateState, LoadReason};
use rosemarymoor_lib::limit_notice::LimitNotice;
use rosemarymoor_lib::poison::RequestDigests;
use rosemarymoor_lib::result_code::Refusal;
use rosemarymoor_lib::target_client::{TargetClient, TargetLoad};
use rosemarymoor_lib::time::{Millis, MonotonicClock, wall_clock_ms};
use tokio::runtime::Handle;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::poison_propagation::PoisonPropagation;

/// Longest wait for a load report of the target.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two log lines about limits that cannot be read.
const MALFORMED_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Longest wait until the cause of a broken target connection is known and propagated.
const LOSS_TIMEOUT: Duration = Duration::from_secs(3);

/// Decision about the request of one ticket.
#[derive(Clone, Debug)]
pub enum TicketEvent {
    /// The request was accepted and waits for a slot.
    Queued,
    /// The request may be sent to the target.
    Started,
    /// The request was refused.
    Refused(Refusal),
    /// The cause of the broken connection is known, and the poison rows that follow from it
    /// have been sent to the other sidecars.
    LossResolved,
}

/// State shared by the clones of a [`GateHandle`].
struct Shared {
    sender: OnceLock<ControlSender<GateEvent>>,
    tickets: Mutex<Vec<(Ticket, UnboundedSender<TicketEvent>)>>,
    state: ArcSwap<GateState>,
    load: ArcSwap<Option<TargetLoad>>,
    target: Arc<dyn TargetClient>,
    poison: Arc<PoisonPropagation>,
    next_ticket: AtomicU64,
    clock: MonotonicClock,
    malformed_limits: Counter<u64>,
    malformed_logged_at: Mutex<Option<Instant>>,
}

/// Handle of the running gate; clones share it.
#[derive(Clone)]
pub struct GateHandle {
    shared: Arc<Shared>,
}

impl GateHandle {
    /// Spawns the control thread.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn spawn(
        clock: MonotonicClock,
        incarnation: u64,
        target: Arc<dyn TargetClient>,
        poison: Arc<PoisonPropagation>,
        malformed_limits: Counter<u64>,
    ) -> GateHandle {
        let shared = Arc::new(Shared {
            sender: OnceLock::new(),
            tickets: Mutex::default(),
            state: ArcSwap::default(),
            load: ArcSwap::default(),
            target,
            poison,
            next_ticket: AtomicU64::new(0),
            clock,
            malformed_limits,
            malformed_logged_at: Mutex::default(),
        });
        let handle = GateHandle { shared };
        let driver = Driver { handle: handle.clone(), runtime: Handle::current() };
        let gate = Gate::new(AdmissionLimits::default(), incarnation);
        let (sender, _) = control::spawn(clock, gate, move |effect| driver.apply(effect));
        let _ = handle.shared.sender.set(sender);
        handle
    }

    /// Sends an event to the gate.
    pub fn send(&self, event: GateEvent) {
        if let Some(sender) = self.shared.sender.get() {
            sender.send(event);
        }
    }

    /// Returns the state that the gate published last.
    pub fn state(&self) -> GateState {
        **self.shared.state.load()
    }

    /// Returns the last load report of the target; `None` if the target did not answer.
    pub fn load(&self) -> Option<TargetLoad> {
        self.shared.load.load().as_ref().clone()
    }

    /// Requests admission; the decisions arrive at the returned ticket handle.
    pub fn enter(
        &self,
        digests: RequestDigests,
        arrival: impl FnOnce(Ticket) -> Arrival,
    ) -> TicketHandle {
        let ticket = Ticket(self.shared.next_ticket.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = unbounded_channel();
        self.tickets().push((ticket, tx));
        self.send(GateEvent::Arrive { arrival: arrival(ticket), digests });
        TicketHandle { gate: self.clone(), ticket, rx, ended: false }
    }

    /// Sends the gate what an answer says about the requests that the target takes; the request was
    /// sent at `sent_at`.
    pub fn apply_limit(&self, notice: LimitNotice, sent_at: Millis) {
        let Ok(limit) = notice.per_second() else { return self.record_malformed_limit() };
        self.send(GateEvent::RequestLimit { limit, sent_at });
    }

    fn record_malformed_limit(&self) {
        self.shared.malformed_limits.add(1, &[]);
        let mut logged_at = self.shared.malformed_logged_at.lock().expect("no holder panics");
        if logged_at.is_none_or(|at| at.elapsed() >= MALFORMED_LOG_INTERVAL) {
            *logged_at = Some(Instant::now());
            log::warn!("event=limit_malformed");
        }
    }

    /// Reads the target's load and sends it to the gate.
    pub async fn read_load(&self, reason: LoadReason) {
        let sent_at = self.shared.clock.now();
        let answer = tokio::time::timeout(LOAD_TIMEOUT, self.shared.target.load()).await;
        let answer = answer.ok().flatten();
        if let Some(answer) = &answer {
            self.apply_limit(answer.limit, sent_at);
        }
        let load = answer.map(|answer| answer.load);
        self.shared.load.store(Arc::new(load.clone()));
        self.send(GateEvent::Load { load, reason, wall_ms: wall_clock_ms() });
    }

    fn notify(&self, ticket: Ticket, event: TicketEvent) {
        let tickets = self.tickets();
        if let Some((_, tx)) = tickets.iter().find(|(other, _)| *other == ticket) {
            let _ = tx.send(event);
        }
    }

    fn tickets(&self) -> std::sync::MutexGuard<'_, Vec<(Ticket, UnboundedSender<TicketEvent>)>> {
        self.shared.tickets.lock().expect("no holder panics")
    }
}

/// Carries out the effects of the gate.
struct Driver {
    handle: GateHandle,
    runtime: Handle,
}

impl Driver {
    fn apply(&self, effect: GateEffect) {
        let handle = self.handle.clone();
        match effect {
            GateEffect::Queue(ticket) => handle.notify(ticket, TicketEvent::Queued),
            GateEffect::Start(ticket) => handle.notify(ticket, TicketEvent::Started),
            GateEffect::Refuse(ticket, refusal) => {
                handle.notify(ticket, TicketEvent::Refused(refusal));
            }
            GateEffect::Probe => {
                self.runtime.spawn(async move { handle.read_load(LoadReason::Probe).await });
            }
            GateEffect::PropagatePoison { rows, interrupted } => {
                self.runtime.spawn(async move {
                    handle.shared.poison.propagate(rows).await;
                    interrupted
                        .into_iter()
                        .for_each(|ticket| handle.notify(ticket, TicketEvent::LossResolved));
                });
            }
            GateEffect::RequestLimitChanged { per_second: Some(per_second) } => {
                log::info!("event=target_limited per_second={per_second} reason=answer");
            }
            GateEffect::RequestLimitChanged { per_second: None } => {
                log::info!("event=target_unlimited reason=answer");
            }
            GateEffect::TargetLeaves => log::info!("decision=leave reason=target-says-so"),
            GateEffect::Publish(state) => handle.shared.state.store(Arc::new(state)),
        }
    }
}

/// Ticket of one request at the gate; dropping it reports the request as stopped.
pub struct TicketHandle {
    gate: GateHandle,
    ticket: Ticket,
    rx: UnboundedReceiver<TicketEvent>,
    ended: bool,
}

impl TicketHandle {
    /// Waits for the next decision; `None` once the gate no longer sends any.
    pub async fn next(&mut self) -> Option<TicketEvent> {
        self.rx.recv().await
    }

    /// Withdraws the request if it has not started.
    pub fn withdraw(&self) {
        self.gate.send(GateEvent::Withdraw(self.ticket));
    }

    /// Reports that the request completed its answer.
    pub fn answered(mut self) {
        self.end(GateEvent::Answered(self.ticket));
    }

    /// Reports that the connection to the target broke, and waits until the cause is known.
    pub async fn connection_lost(mut self) {
        self.end(GateEvent::ConnectionLost(self.ticket));
        let resolved = async {
            while !matches!(self.rx.recv().await, Some(TicketEvent::LossResolved) | None) {}
        };
        let _ = tokio::time::timeout(LOSS_TIMEOUT, resolved).await;
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
        self.gate.tickets().retain(|(other, _)| *other != ticket);
    }
}
