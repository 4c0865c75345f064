//! Stand-in for a model engine with an OpenAI-like chat-completions endpoint.
//!
//! It generates more slowly the more requests run at once, has a small prefix cache,
//! schedules by priority, reports its load with a lag and records each run. The text
//! `marker=NAME length=N` in a prompt determines the answer; see [`crate::marker`].

mod generate;
mod slots;

use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use rosemarymoor_lib::target_client::{TargetLoad, TargetOrder};
use tokio::task::JoinHandle;

use crate::seeded_rng::SeededRng;
use crate::server::{Body, DropConnection, Handler, Reply, Server};
use crate::server::{answer, empty, read_body};
use slots::Slots;

/// Interval between load samples, and between attempts to bind the port after a crash.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Text in a prompt that crashes the engine.
const POISON_TEXT: &str = "poison";

/// Size and speed of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Number of requests that run at the same time.
    pub slots: u32,
    /// Time to generate one token when no other request runs.
    pub token_time: Duration,
    /// Fraction of the token time that each concurrent request adds to it.
    pub batch_slowdown: f64,
    /// Time to prefill one prompt token. If the prefix is cached, a tenth of the prompt's
    /// tokens is prefilled.
    pub prefill_time: Duration,
    /// Number of prompt prefixes in the cache.
    pub cached_prefixes: usize,
    /// Age of the load reports that the engine returns.
    pub load_lag: Duration,
    /// Whether the engine refuses orders whose fencing number is older than one it executed.
    pub checks_fencing: bool,
    /// Time from a crash until the engine listens again.
    pub restart_after: Duration,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            slots: 16,
            token_time: Duration::from_millis(1),
            batch_slowdown: 0.02,
            prefill_time: Duration::from_micros(20),
            cached_prefixes: 64,
            load_lag: Duration::from_millis(500),
            checks_fencing: true,
            restart_after: Duration::from_millis(1_500),
        }
    }
}

/// Faults that are injected into an engine's requests.
///
/// Each `f64` but the time factor is a probability from 0 to 1. The default injects none.
#[derive(Clone, Debug, Default)]
pub struct EngineFaults {
    /// Stops in the middle of the answer until the request is cancelled or its caller
    /// disconnects.
    pub hang: f64,
    /// Sends nothing of the answer until [`EngineFaults::late_by`] after the run has started.
    pub late: f64,
    /// Delay of a late answer.
    pub late_by: Duration,
    /// Answers with the identity and marker of another request.
    pub crossed: f64,
    /// Runs the request and then closes the connection without an answer.
    pub drop_reply: f64,
    /// Factor on the token time; 0 counts as 1.
    pub time_factor: f64,
    /// Whether the load report says that the engine is leaving.
    pub leaving: bool,
    /// Limit of requests a second that all answers name.
    pub limit: Option<String>,
}

/// State of a run: running, or how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The run has not ended yet.
    Running,
    /// The run generated all its tokens.
    Finished,
    /// The run was cancelled or its caller disconnected.
    Cancelled,
    /// The engine crashed during the run.
    Crashed,
}

/// One run as the engine recorded it.
#[derive(Clone, Debug)]
pub struct EngineRun {
    /// Request identifier from the header `x-request-id`.
    pub request: String,
    /// Attempt number from the header `x-attempt`; 0 if there is none.
    pub attempt: u32,
    /// Marker in the prompt; empty if there is none.
    pub marker: String,
    /// Time at which the request got its slot.
    pub started_at: Instant,
    /// Time at which the run ended, if it has.
    pub finished_at: Option<Instant>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated so far.
    pub completion_tokens: u64,
    /// Whether the prompt's prefix was in the cache.
    pub prefix_hit: bool,
    /// Whether the run still runs, or how it ended.
    pub state: RunState,
}

impl EngineRun {
    /// Returns the prompt and completion tokens that the engine processed.
    pub fn tokens(&self) -> u64 {
        self.prompt_tokens + self.completion_tokens
    }
}

/// Running engine.
pub struct EngineStandIn {
    shared: Arc<Shared>,
    server: Arc<Server>,
    tasks: Vec<JoinHandle<()>>,
}

struct Shared {
    settings: EngineSettings,
    faults: Mutex<EngineFaults>,
    runs: Mutex<Vec<EngineRun>>,
    /// Identifiers of requests for which a cancellation has been received.
    cancelled: Mutex<Vec<String>>,
    slots: Slots,
    /// Digests of the cached prefixes, most recently used first.
    prefixes: Mutex<Vec<u128>>,
    /// Load samples with their times, oldest first.
    reports: Mutex<Vec<(Instant, TargetLoad)>>,
    orders: Mutex<Vec<TargetOrder>>,
    /// Loaded models as `NAME` or `NAME@VERSION`, sorted.
    models: Mutex<Vec<String>>,
    /// Increases with each crash; the load report shows it.
    generation: Mutex<u64>,
    /// Markers of the requests that crashed the engine.
    crashes: Mutex<Vec<String>>,
    crash_notify: tokio::sync::Notify,
    /// When each request of any kind arrived.
    arrivals: Mutex<Vec<Instant>>,
    rng: SeededRng,
}

impl EngineStandIn {
    /// Starts an engine; `seed` determines its random faults.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be bound.
    pub async fn bind(settings: EngineSettings, seed: u64) -> io::Result<EngineStandIn> {
        let shared = Arc::new(Shared {
            slots: Slots::new(settings.slots),
            settings,
            faults: Mutex::default(),
            runs: Mutex::default(),
            cancelled: Mutex::default(),
            prefixes: Mutex::default(),
            reports: Mutex::default(),
            orders: Mutex::default(),
            models: Mutex::default(),
            generation: Mutex::new(1),
            crashes: Mutex::default(),
            crash_notify: tokio::sync::Notify::new(),
            arrivals: Mutex::default(),
            rng: SeededRng::new(seed),
        });
        let server = Arc::new(Server::bind(Arc::new(Service(shared.clone()))).await?);
        let tasks = vec![
            tokio::spawn(sample_load(shared.clone())),
            tokio::spawn(restart_after_crashes(shared.clone(), server.clone())),
        ];
        Ok(EngineStandIn { shared, server, tasks })
    }

    /// Returns the HTTP server of the engine.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.faults.lock().expect("no holder panics"));
    }

    /// Returns every run so far, in order of start.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.shared.runs.lock().expect("no holder panics").clone()
    }

    /// Returns when each request arrived, those for load reports and cancellations included.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.shared.arrivals.lock().expect("no holder panics").clone()
    }

    /// Returns the markers of the requests that crashed the engine.
    pub fn crashes(&self) -> Vec<String> {
        self.shared.crashes.lock().expect("no holder panics").clone()
    }

    /// Returns the orders that the engine executed.
    pub fn orders(&self) -> Vec<TargetOrder> {
        self.shared.orders.lock().expect("no holder panics").clone()
    }

    /// Crashes the engine, which restarts after [`EngineSettings::restart_after`].
    pub fn kill(&self) {
        self.shared.crash_notify.notify_one();
    }
}

impl Drop for EngineStandIn {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        self.server.stop();
    }
}

struct Service(Arc<Shared>);

#[async_trait]
impl Handler for Service {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let path = req.uri().path().to_owned();
        self.0.arrivals.lock().expect("no holder panics").push(Instant::now());
        let mut reply: Reply = match (req.method(), path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => generate::complete(&self.0, req).await,
            (&Method::GET, "/load") => Ok(self.0.load_report()),
            (&Method::POST, "/orders") => self.0.order(req).await,
            (&Method::POST, path) => Ok(self.0.cancel(path)),
            _ => Ok(empty(404)),
        };
        if let (Ok(resp), Some(limit)) = (&mut reply, self.0.faults().limit) {
            let limit = limit.parse().expect("a limit is a header's value");
            resp.headers_mut().insert("server-limit", limit);
        }
        reply
    }
}

impl Shared {
    fn faults(&self) -> EngineFaults {
        self.faults.lock().expect("no holder panics").clone()
    }

    fn load(&self) -> TargetLoad {
        TargetLoad {
            running: self.slots.running(),
            queued: self.slots.queued(),
            generation: *self.generation.lock().expect("no holder panics"),
            leaving: self.faults().leaving,
            models: self.models.lock().expect("no holder panics").clone(),
        }
    }

    /// Appends a load sample and drops those too old to be reported.
    fn record_load(&self) {
        let report = self.load();
        let retention = self.settings.load_lag + LOAD_SAMPLE_INTERVAL * 4;
        let mut reports = self.reports.lock().expect("no holder panics");
        reports.push((Instant::now(), report));
        reports.retain(|(at, _)| at.elapsed() <= retention);
    }

    /// Answers with the newest load sample that is at least as old as the lag, or with the
    /// oldest one if none is.
    fn load_report(&self) -> Response<Body> {
        let reports = self.reports.lock().expect("no holder panics");
        let lag = self.settings.load_lag;
        let lagged = reports.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let report = lagged.or(reports.first()).map(|(_, report)| report.clone());
        json(200, &report.unwrap_or_default())
    }

    /// Executes an order, or refuses it if the engine checks fencing and its number is older
    /// than one already executed.
    async fn order(&self, req: Request<Incoming>) -> Reply {
        let body = read_body(req).await?;
        let Ok(order) = serde_json::from_slice::<TargetOrder>(&body) else {
            return Ok(empty(400));
        };
        let mut orders = self.orders.lock().expect("no holder panics");
        let newest_fencing = orders.iter().map(|order| order.fencing).max().unwrap_or(0);
        if self.settings.checks_fencing && order.fencing < newest_fencing {
            return Ok(empty(409));
        }
        self.execute_order(&order);
        orders.push(order);
        Ok(empty(200))
    }

    /// Updates the loaded models; adapters and roles are not simulated.
    fn execute_order(&self, order: &TargetOrder) {
        use rosemarymoor_lib::target_client::OrderAction;
        let mut models = self.models.lock().expect("no holder panics");
        match &order.action {
            OrderAction::LoadModel { model, version } if version.is_empty() => {
                models.push(model.clone());
            }
            OrderAction::LoadModel { model, version } => models.push(format!("{model}@{version}")),
            OrderAction::UnloadModel { model } => {
                models.retain(|loaded| loaded != model && loaded.split('@').next() != Some(model));
            }
            OrderAction::LoadAdapter { .. } | OrderAction::SetRole { .. } => {}
        }
        models.sort();
        models.dedup();
    }

    fn cancel(&self, path: &str) -> Response<Body> {
        let Some(request) = path.strip_prefix("/cancel/") else {
            return empty(404);
        };
        self.cancelled.lock().expect("no holder panics").push(request.to_owned());
        empty(200)
    }

    fn is_cancelled(&self, request: &str) -> bool {
        self.cancelled
            .lock()
            .expect("no holder panics")
            .iter()
            .any(|cancelled| cancelled == request)
    }

    fn update_run(&self, run: usize, change: impl FnOnce(&mut EngineRun)) {
        change(&mut self.runs.lock().expect("no holder panics")[run]);
    }

    /// Moves a prefix to the front of the cache and returns whether the cache had it.
    fn touch_prefix(&self, prefix: u128) -> bool {
        let mut prefixes = self.prefixes.lock().expect("no holder panics");
        let cached = prefixes.iter().position(|digest| *digest == prefix);
        if let Some(index) = cached {
            prefixes.remove(index);
        }
        prefixes.insert(0, prefix);
        prefixes.truncate(self.settings.cached_prefixes);
        cached.is_some()
    }

    /// Loses the prefix cache, the queue and all running requests, as a crash does.
    fn discard_state(&self) {
        *self.generation.lock().expect("no holder panics") += 1;
        self.prefixes.lock().expect("no holder panics").clear();
        self.slots.reset();
        let mut runs = self.runs.lock().expect("no holder panics");
        for run in runs.iter_mut().filter(|run| run.state == RunState::Running) {
            run.state = RunState::Crashed;
            run.finished_at = Some(Instant::now());
        }
    }
}

fn json(status: u16, value: &impl serde::Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("the value has string keys");
    answer(status, "application/json", body)
}

async fn sample_load(shared: Arc<Shared>) {
    loop {
        shared.record_load();
        tokio::time::sleep(LOAD_SAMPLE_INTERVAL).await;
    }
}

async fn restart_after_crashes(shared: Arc<Shared>, server: Arc<Server>) {
    loop {
        shared.crash_notify.notified().await;
        server.stop();
        shared.discard_state();
        tokio::time::sleep(shared.settings.restart_after).await;
        while server.restart().await.is_err() {
            tokio::time::sleep(LOAD_SAMPLE_INTERVAL).await;
        }
    }
}

/// Maps any error to [`DropConnection`].
fn drop_connection<T>(_: T) -> DropConnection {
    DropConnection
}
