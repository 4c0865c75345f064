//! What the tasks of a sidecar share.

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
use rosemarymoor_lib::result_code::Refusal;
use rosemarymoor_lib::target_client::TargetClient;
use rosemarymoor_lib::time::MonotonicClock;
use rosemarymoor_lib::wire::{SidecarState, StatusReply};
use tokio::sync::Notify;

use super::gate::GateHandle;
use super::orders::Orders;
use super::poison_propagation::PoisonPropagation;
use crate::health::{Metrics, Probe};
use crate::settings::{Settings, TargetSettings};

/// Counters of a sidecar.
pub struct Counters {
    pub answered: Counter<u64>,
    pub refused: Counter<u64>,
    pub crossed: Counter<u64>,
    pub charged_tokens: Counter<u64>,
}

/// What a sidecar is put together from.
pub struct Parts {
    pub target: Arc<dyn TargetClient>,
    pub cfg: ConfigHandle,
    pub kv: Arc<dyn KvStore>,
    pub spread: Arc<PoisonPropagation>,
}

/// Shared parts of a sidecar.
pub struct Sidecar {
    pub settings: Settings,
    pub target_settings: TargetSettings,
    pub target: Arc<dyn TargetClient>,
    pub receipts: Receipts,
    pub gate: GateHandle,
    pub orders: Orders,
    pub spread: Arc<PoisonPropagation>,
    pub cfg: ConfigHandle,
    pub answers: AnswerStore,
    pub clock: MonotonicClock,
    pub counters: Counters,
    incarnation: u64,
    draining: AtomicBool,
    running: AtomicU32,
    streams: AtomicU32,
    drain: Notify,
}

impl Sidecar {
    /// Opens the shared parts and spawns the control thread.
    pub fn open(
        settings: Settings,
        target_settings: TargetSettings,
        parts: Parts,
        metrics: &Metrics,
    ) -> Arc<Sidecar> {
        let Parts { target, cfg, kv, spread } = parts;
        let meter = metrics.meter("sidecar");
        let counters = Counters {
            answered: meter.u64_counter("answered_requests").build(),
            refused: meter.u64_counter("refused_requests").build(),
            crossed: meter.u64_counter("crossed_answers").build(),
            charged_tokens: meter.u64_counter("charged_tokens").build(),
        };
        let incarnation = rand::rng().random();
        let clock = MonotonicClock::start();
        let gate = GateHandle::spawn(clock, incarnation, target.clone(), spread.clone());
        let orders = Orders::open(target_settings.name.clone(), target.clone(), kv);
        Arc::new(Sidecar {
            settings,
            target_settings,
            target,
            receipts: Receipts::open(incarnation),
            cfg,
            answers: AnswerStore::open(AnswerLimits::default()),
            clock,
            gate,
            orders,
            spread,
            counters,
            incarnation,
            draining: AtomicBool::new(false),
            running: AtomicU32::new(0),
            streams: AtomicU32::new(0),
            drain: Notify::new(),
        })
    }

    /// Name of the target that this sidecar guards.
    pub fn target_name(&self) -> &str {
        &self.target_settings.name
    }

    /// Random number of this process start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// State for the next frame.
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

    /// State for operators.
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
            memory_bytes: 0,
        }
    }

    /// Whether no new work is taken.
    pub fn is_leaving(&self) -> bool {
        self.draining.load(Ordering::Acquire) || self.gate.state().leaving
    }

    /// Takes no new work from now on and stops once all accepted work is done.
    pub fn start_drain(&self) {
        if !self.draining.swap(true, Ordering::AcqRel) {
            self.gate.send(GateEvent::Leave);
            log::info!("decision=leave target={} reason=drain", self.target_name());
        }
        self.drain.notify_one();
    }

    /// Waits until the drain has been asked for.
    pub async fn drain_started(&self) {
        self.drain.notified().await;
    }

    /// Whether accepted work is left, or an answer that is being sent.
    pub fn has_work(&self) -> bool {
        self.running.load(Ordering::Acquire) + self.streams.load(Ordering::Acquire) > 0
    }

    /// Counts one open stream until the guard is dropped.
    pub fn enter_stream(self: &Arc<Sidecar>) -> StreamGuard {
        self.streams.fetch_add(1, Ordering::AcqRel);
        StreamGuard { cx: self.clone() }
    }

    /// Counts one request as accepted until the guard is dropped.
    pub fn enter(self: &Arc<Sidecar>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::AcqRel);
        RunningGuard { cx: self.clone() }
    }

    /// Counts a refusal.
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

/// One accepted request.
pub struct RunningGuard {
    cx: Arc<Sidecar>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.cx.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// One open stream.
pub struct StreamGuard {
    cx: Arc<Sidecar>,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.cx.streams.fetch_sub(1, Ordering::AcqRel);
    }
}
