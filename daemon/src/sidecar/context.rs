//! State that the tasks of a sidecar share, and the counts of its unfinished work.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use rand::Rng;
use rosemarymoor_lib::answer_store::{AnswerLimits, AnswerStore};
use rosemarymoor_lib::budget::Receipts;
use rosemarymoor_lib::config::ConfigHandle;
use rosemarymoor_lib::gate::GateEvent;
use rosemarymoor_lib::host_list::Role;
use rosemarymoor_lib::kv_store::KvStore;
use rosemarymoor_lib::peer_memory::PeerMemory;
use rosemarymoor_lib::result_code::Refusal;
use rosemarymoor_lib::target_client::TargetClient;
use rosemarymoor_lib::time::MonotonicClock;
use rosemarymoor_lib::wire::{SidecarState, StatusReply};
use tokio::sync::{Notify, watch};

use super::gate::GateHandle;
use super::orders::OrderSender;
use super::poison_propagation::PoisonPropagation;
use crate::health::{Metrics, Probe};
use crate::settings::{Settings, TargetSettings};

/// Metric counters of a sidecar.
pub struct Counters {
    /// Requests with a complete answer.
    pub answered: Counter<u64>,
    /// Refused requests, by result code.
    pub refused: Counter<u64>,
    /// Answers of the target that belonged to another request.
    pub crossed: Counter<u64>,
    /// Tokens charged for finished requests.
    pub charged_tokens: Counter<u64>,
}

/// Clients and handles from which a [`Sidecar`] is built.
pub struct Dependencies {
    pub target: Arc<dyn TargetClient>,
    pub cfg: ConfigHandle,
    pub kv: Arc<dyn KvStore>,
    pub poison: Arc<PoisonPropagation>,
}

/// Shared state of a sidecar.
pub struct Sidecar {
    pub settings: Settings,
    pub target_settings: TargetSettings,
    pub target: Arc<dyn TargetClient>,
    pub receipts: Receipts,
    pub gate: GateHandle,
    pub orders: OrderSender,
    pub poison: Arc<PoisonPropagation>,
    pub cfg: ConfigHandle,
    pub answers: AnswerStore,
    /// Memory for the bodies of answers that run.
    pub running_answers: PeerMemory,
    pub clock: MonotonicClock,
    pub counters: Counters,
    incarnation: u64,
    draining: AtomicBool,
    /// Number of accepted requests that have not finished.
    running: AtomicU32,
    /// Number of open streams that send an answer.
    streams: AtomicU32,
    drain_requested: Notify,
    /// Whether the time limit of the drain is reached.
    cut_off: watch::Sender<bool>,
}

impl Sidecar {
    /// Builds the shared state and spawns the control thread of the gate.
    pub fn open(
        settings: Settings,
        target_settings: TargetSettings,
        deps: Dependencies,
        metrics: &Metrics,
    ) -> Arc<Sidecar> {
        let Dependencies { target, cfg, kv, poison } = deps;
        let meter = metrics.meter("sidecar");
        let counters = Counters {
            answered: meter.u64_counter("answered_requests").build(),
            refused: meter.u64_counter("refused_requests").build(),
            crossed: meter.u64_counter("crossed_answers").build(),
            charged_tokens: meter.u64_counter("charged_tokens").build(),
        };
        let incarnation = rand::rng().random();
        let clock = MonotonicClock::start();
        let malformed_limits = meter.u64_counter("malformed_limits").build();
        let gate =
            GateHandle::spawn(clock, incarnation, target.clone(), poison.clone(), malformed_limits);
        let orders = OrderSender::open(target_settings.name.clone(), target.clone(), kv);
        Arc::new(Sidecar {
            settings,
            target_settings,
            target,
            receipts: Receipts::open(incarnation),
            cfg,
            answers: AnswerStore::open(AnswerLimits::default()),
            running_answers: PeerMemory::default(),
            clock,
            gate,
            orders,
            poison,
            counters,
            incarnation,
            draining: AtomicBool::new(false),
            running: AtomicU32::new(0),
            streams: AtomicU32::new(0),
            drain_requested: Notify::new(),
            cut_off: watch::Sender::new(false),
        })
    }

    /// Returns the name of the target behind this sidecar.
    pub fn target_name(&self) -> &str {
        &self.target_settings.name
    }

    /// Returns the random number that identifies this start of the process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the state that is sent with each frame to an entry.
    pub fn state(&self) -> SidecarState {
        let gate = self.gate.state();
        SidecarState {
            incarnation: self.incarnation,
            leaving: self.is_leaving(),
            running: gate.running,
            queued: gate.queued,
            config_revision: self.cfg.current().revision,
        }
    }

    /// Returns the state that is shown to operators.
    pub fn status(&self) -> StatusReply {
        let state = self.state();
        StatusReply {
            name: self.settings.name.clone(),
            role: Role::Sidecar,
            data_center: self.settings.data_center.clone(),
            region: self.settings.region.clone(),
            config_revision: state.config_revision,
            running: state.running,
            queued: state.queued,
            draining: state.leaving,
            memory_bytes: crate::memory::resident_bytes(),
        }
    }

    /// Returns whether new requests are refused because the sidecar or its target is leaving.
    pub fn is_leaving(&self) -> bool {
        self.draining.load(Ordering::Acquire) || self.gate.state().leaving
    }

    /// Starts the drain: the gate refuses new requests, and the process stops once all accepted
    /// requests are done.
    pub fn start_drain(&self) {
        if !self.draining.swap(true, Ordering::AcqRel) {
            self.gate.send(GateEvent::Leave);
            log::info!("decision=leave target={} reason=drain", self.target_name());
        }
        self.drain_requested.notify_one();
    }

    /// Waits until a drain has been requested.
    pub async fn drain_started(&self) {
        self.drain_requested.notified().await;
    }

    /// Ends the requests that wait for a slot, and the running ones that may be repeated.
    pub fn cut_off(&self) {
        self.cut_off.send_replace(true);
    }

    /// Returns whether the time limit of the drain is reached.
    pub fn is_cut_off(&self) -> bool {
        *self.cut_off.borrow()
    }

    /// Waits until the time limit of the drain is reached.
    pub async fn limit_reached(&self) {
        let mut cut_off = self.cut_off.subscribe();
        // The sender lives as long as this object.
        let _ = cut_off.wait_for(|cut_off| *cut_off).await;
    }

    /// Returns whether a request is unfinished or an answer is still being sent.
    pub fn has_work(&self) -> bool {
        self.running.load(Ordering::Acquire) + self.streams.load(Ordering::Acquire) > 0
    }

    /// Counts a stream as open until the guard is dropped.
    pub fn track_stream(self: &Arc<Sidecar>) -> StreamGuard {
        self.streams.fetch_add(1, Ordering::AcqRel);
        StreamGuard { cx: self.clone() }
    }

    /// Counts a request as unfinished until the guard is dropped.
    pub fn track_request(self: &Arc<Sidecar>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::AcqRel);
        RunningGuard { cx: self.clone() }
    }

    /// Counts a refusal under its result code.
    pub fn count_refusal(&self, refusal: &Refusal) {
        let code = KeyValue::new("code", i64::from(refusal.code.number()));
        self.counters.refused.add(1, &[code]);
    }
}

impl Probe for Sidecar {
    fn is_ready(&self) -> bool {
        !self.is_leaving() && !self.gate.state().target_down
    }
}

/// Counts one unfinished request while it lives.
pub struct RunningGuard {
    cx: Arc<Sidecar>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.cx.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts one open stream while it lives.
pub struct StreamGuard {
    cx: Arc<Sidecar>,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.cx.streams.fetch_sub(1, Ordering::AcqRel);
    }
}
