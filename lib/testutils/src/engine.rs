//! Stand-in for a model engine with an OpenAI-like chat-completions endpoint.
//!
//! It batches with a slow-down, keeps a small prefix cache, honours priorities,
//! reports its load with a lag and records each run. A prompt says by
//! `marker=NAME length=N` what the answer has to look like.

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

const LOAD_SAMPLE: Duration = Duration::from_millis(20);
const POISON: &str = "poison";

/// Size and speed of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    pub slots: u32,
    /// Time to generate one token when nothing runs beside it.
    pub token_time: Duration,
    /// Share by which each request beside it slows a request down.
    pub batch_slowdown: f64,
    /// Time to read one prompt token that is not in the prefix cache.
    pub prefill_time: Duration,
    /// Prompt prefixes that the cache holds.
    pub cached_prefixes: usize,
    /// Age of the load report.
    pub load_lag: Duration,
    pub checks_fencing: bool,
    /// Time from a crash until the engine is back.
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

/// Faults of an engine, as probabilities of a request.
#[derive(Clone, Debug, Default)]
pub struct EngineFaults {
    /// Stops mid-answer and never goes on.
    pub hang: f64,
    /// Holds the whole answer back for [`EngineFaults::late_by`].
    pub late: f64,
    pub late_by: Duration,
    /// Answers with the identity and text of another request.
    pub crossed: f64,
    /// Runs the request and then closes the connection.
    pub drop_reply: f64,
    /// Factor on all times.
    pub time_factor: f64,
    pub leaving: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    Running,
    Finished,
    Cancelled,
    Crashed,
}

/// One run as the engine saw it.
#[derive(Clone, Debug)]
pub struct EngineRun {
    pub request: String,
    pub attempt: u32,
    pub marker: String,
    pub started: Instant,
    pub finished: Option<Instant>,
    pub prompt_tokens: u64,
    /// Tokens generated so far.
    pub completion_tokens: u64,
    pub prefix_hit: bool,
    pub end: RunEnd,
}

impl EngineRun {
    /// Tokens that the run truly cost.
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
    cancelled: Mutex<Vec<String>>,
    slots: Slots,
    prefixes: Mutex<Vec<u128>>,
    reports: Mutex<Vec<(Instant, TargetLoad)>>,
    orders: Mutex<Vec<TargetOrder>>,
    models: Mutex<Vec<String>>,
    generation: Mutex<u64>,
    crashes: Mutex<Vec<String>>,
    crash: tokio::sync::Notify,
    rng: SeededRng,
}

impl EngineStandIn {
    /// Starts an engine; `seed` decides its random faults.
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
            crash: tokio::sync::Notify::new(),
            rng: SeededRng::new(seed),
        });
        let server = Arc::new(Server::bind(Arc::new(Service(shared.clone()))).await?);
        let tasks = vec![
            tokio::spawn(sample_load(shared.clone())),
            tokio::spawn(restart_after_crashes(shared.clone(), server.clone())),
        ];
        Ok(EngineStandIn { shared, server, tasks })
    }

    /// Port and address of the engine.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.faults.lock().expect("no holder panics"));
    }

    /// Every run so far.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.shared.runs.lock().expect("no holder panics").clone()
    }

    /// Markers of the requests that crashed the engine.
    pub fn crashes(&self) -> Vec<String> {
        self.shared.crashes.lock().expect("no holder panics").clone()
    }

    /// Orders that the engine obeyed.
    pub fn orders(&self) -> Vec<TargetOrder> {
        self.shared.orders.lock().expect("no holder panics").clone()
    }

    /// Crashes the engine; it comes back after its restart time.
    pub fn kill(&self) {
        self.shared.crash.notify_one();
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
        match (req.method(), path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => generate::complete(&self.0, req).await,
            (&Method::GET, "/load") => Ok(self.0.load_report()),
            (&Method::POST, "/orders") => self.0.order(req).await,
            (&Method::POST, path) => Ok(self.0.cancel(path)),
            _ => Ok(empty(404)),
        }
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

    fn push_load(&self) {
        let report = self.load();
        let kept = self.settings.load_lag + LOAD_SAMPLE * 4;
        let mut reports = self.reports.lock().expect("no holder panics");
        reports.push((Instant::now(), report));
        reports.retain(|(at, _)| at.elapsed() <= kept);
    }

    fn load_report(&self) -> Response<Body> {
        let reports = self.reports.lock().expect("no holder panics");
        let lag = self.settings.load_lag;
        let old = reports.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let report = old.or(reports.first()).map(|(_, report)| report.clone());
        json(200, &report.unwrap_or_default())
    }

    async fn order(&self, req: Request<Incoming>) -> Reply {
        let body = read_body(req).await?;
        let Ok(order) = serde_json::from_slice::<TargetOrder>(&body) else {
            return Ok(empty(400));
        };
        let mut orders = self.orders.lock().expect("no holder panics");
        let newest = orders.iter().map(|order| order.fencing).max().unwrap_or(0);
        if self.settings.checks_fencing && order.fencing < newest {
            return Ok(empty(409));
        }
        self.obey(&order);
        orders.push(order);
        Ok(empty(200))
    }

    fn obey(&self, order: &TargetOrder) {
        use rosemarymoor_lib::target_client::OrderAction;
        let mut models = self.models.lock().expect("no holder panics");
        match &order.action {
            OrderAction::LoadModel { model, version } if version.is_empty() => {
                models.push(model.clone());
            }
            OrderAction::LoadModel { model, version } => models.push(format!("{model}@{version}")),
            OrderAction::UnloadModel { model } => {
                models.retain(|held| held != model && held.split('@').next() != Some(model));
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
        self.cancelled.lock().expect("no holder panics").iter().any(|held| held == request)
    }

    fn update_run(&self, run: usize, change: impl FnOnce(&mut EngineRun)) {
        change(&mut self.runs.lock().expect("no holder panics")[run]);
    }

    /// Looks a prefix up and puts it in front of the cache.
    fn touch_prefix(&self, prefix: u128) -> bool {
        let mut prefixes = self.prefixes.lock().expect("no holder panics");
        let held = prefixes.iter().position(|known| *known == prefix);
        if let Some(at) = held {
            prefixes.remove(at);
        }
        prefixes.insert(0, prefix);
        prefixes.truncate(self.settings.cached_prefixes);
        held.is_some()
    }

    fn lose_state(&self) {
        *self.generation.lock().expect("no holder panics") += 1;
        self.prefixes.lock().expect("no holder panics").clear();
        self.slots.reset();
        let mut runs = self.runs.lock().expect("no holder panics");
        for run in runs.iter_mut().filter(|run| run.end == RunEnd::Running) {
            run.end = RunEnd::Crashed;
            run.finished = Some(Instant::now());
        }
    }
}

fn json(status: u16, value: &impl serde::Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("the value has string keys");
    answer(status, "application/json", body)
}

async fn sample_load(shared: Arc<Shared>) {
    loop {
        shared.push_load();
        tokio::time::sleep(LOAD_SAMPLE).await;
    }
}

async fn restart_after_crashes(shared: Arc<Shared>, server: Arc<Server>) {
    loop {
        shared.crash.notified().await;
        server.stop();
        shared.lose_state();
        tokio::time::sleep(shared.settings.restart_after).await;
        while server.restart().await.is_err() {
            tokio::time::sleep(LOAD_SAMPLE).await;
        }
    }
}

fn dropped<T>(_: T) -> DropConnection {
    DropConnection
}
