//! Running entry with scripted sidecars and a budget gate that records reservations and charges.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use log::LevelFilter;
use reqwest::{Client, RequestBuilder, Response};
use rosemarymoor_daemon::entry::{EntryComponents, RunningEntry};
use rosemarymoor_daemon::settings::{BudgetsSettings, Settings};
use rosemarymoor_lib::budget::{BudgetGate, ReserveRequest};
use rosemarymoor_lib::claim::Claims;
use rosemarymoor_lib::config::{Config, ConfigHandle, PolicyName, Route, TargetKind, Workspace};
use rosemarymoor_lib::fleet_key::FleetKey;
use rosemarymoor_lib::host_list::Role;
use rosemarymoor_lib::http_client::{self, ConnectionReuse};
use rosemarymoor_lib::id::{Attempt, EpochId, RequestId};
use rosemarymoor_lib::kv_http::KvHttp;
use rosemarymoor_lib::result_code::{Refusal, ResultCode};
use rosemarymoor_lib::routing::{Choice, Delivery, DeliveryEnd, TargetLocation, TargetRouter};
use rosemarymoor_lib::time::MonotonicClock;
use rosemarymoor_lib::transport::{FrameStream, PeerHandler, Transport};
use rosemarymoor_lib::wire::{
    Class, Funding, FundingPart, PeerRequest, Price, RequestRecord, RunControl, RunEnvelope,
    RunFrame, SidecarState,
};
use rosemarymoor_testutils::kv::KvStandIn;
use tokio::sync::Semaphore;

/// Key of the only workspace, `linz`.
pub const KEY: &str = "counter-key";
/// Path of the chat API.
pub const CHAT: &str = "/v1/chat/completions";
const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Time limit of a drain that is not to be reached.
const DRAIN_MS: u64 = 3_600_000;

/// Step of the script that a sidecar runs on one stream.
#[derive(Clone, Debug)]
pub enum SidecarStep {
    /// Sends a frame.
    Send(RunFrame),
    /// Sends a frame under the identity of another request.
    SendOfOtherRequest(RunFrame),
    /// Waits for a cancel from the entry.
    AwaitCancel,
    /// Keeps the stream open without sending a frame.
    Hang,
    /// Waits until the test gives permission.
    AwaitPermit(Arc<Semaphore>),
}

/// Sidecar that runs the next of its scripts on each new stream.
pub struct ScriptedSidecar {
    scripts: Mutex<Vec<Vec<SidecarStep>>>,
    /// Run and resume requests, in the order of their streams.
    pub received: Mutex<Vec<PeerRequest>>,
}

#[async_trait]
impl PeerHandler for ScriptedSidecar {
    async fn handle(&self, req: PeerRequest, mut stream: FrameStream) {
        let (request, attempt) = match &req {
            PeerRequest::Run(run) => (run.request, run.attempt),
            PeerRequest::Resume(resume) => (resume.request, resume.attempt),
            PeerRequest::Lookup(_) => {
                let unknown = RequestRecord::Unknown { incarnation: 1 };
                let _ = stream.send(&unknown).await;
                return stream.tx.finish().await;
            }
            _ => return,
        };
        self.received.lock().unwrap().push(req);
        let script = {
            let mut scripts = self.scripts.lock().unwrap();
            if scripts.is_empty() { Vec::new() } else { scripts.remove(0) }
        };
        for step in script {
            match step {
                SidecarStep::Send(frame) => send(&mut stream, request, attempt, frame).await,
                SidecarStep::SendOfOtherRequest(frame) => {
                    send(&mut stream, RequestId(request.0 ^ 1), attempt, frame).await;
                }
                SidecarStep::AwaitCancel => {
                    let control: Option<RunControl> = stream.recv().await.unwrap();
                    assert_eq!(control, Some(RunControl::Cancel));
                }
                SidecarStep::Hang => std::future::pending().await,
                SidecarStep::AwaitPermit(permits) => permits.acquire().await.unwrap().forget(),
            }
        }
        stream.tx.finish().await;
    }
}

async fn send(stream: &mut FrameStream, request: RequestId, attempt: Attempt, frame: RunFrame) {
    let envelope = RunEnvelope { request, attempt, state: SidecarState::default(), frame };
    let _ = stream.send(&envelope).await;
}

/// Gate that grants each reservation of at most `available_tokens` and records its calls.
pub struct RecordingGate {
    pub available_tokens: u64,
    pub reserved: Mutex<Vec<ReserveRequest>>,
    /// Charge of each settlement, `None` if it is unknown.
    pub settled: Mutex<Vec<Option<u64>>>,
    pub closed: Mutex<bool>,
    /// Whether reservations wait for ever.
    pub holds: AtomicBool,
}

#[async_trait]
impl BudgetGate for RecordingGate {
    async fn reserve(&self, req: ReserveRequest) -> Result<Funding, Refusal> {
        self.reserved.lock().unwrap().push(req.clone());
        if self.holds.load(Ordering::Relaxed) {
            return std::future::pending().await;
        }
        if req.tokens > self.available_tokens {
            return Err(Refusal::new(ResultCode::BudgetExhausted, "dry"));
        }
        let part = FundingPart { root: EpochId(1), amount: req.tokens };
        Ok(Funding { holder: EpochId(1), budget: req.budget, parts: vec![part] })
    }

    fn settle(&self, _funding: &Funding, charge: u64) {
        self.settled.lock().unwrap().push(Some(charge));
    }

    fn settle_unknown(&self, _funding: &Funding) {
        self.settled.lock().unwrap().push(None);
    }

    async fn close(&self) {
        *self.closed.lock().unwrap() = true;
    }
}

/// Router that chooses the first target that is not excluded.
struct FirstRouter {
    targets: Vec<Choice>,
}

impl TargetRouter for FirstRouter {
    fn choose(&self, delivery: Delivery<'_>) -> Result<Choice, Refusal> {
        let candidate =
            self.targets.iter().find(|choice| !delivery.exclude.contains(&choice.target));
        candidate.cloned().ok_or_else(|| Refusal::new(ResultCode::NoTarget, "none left"))
    }

    fn target_locations(&self, _route: &str) -> Vec<TargetLocation> {
        let location = |choice: &Choice| TargetLocation {
            target: choice.target.clone(),
            sidecar: Some(choice.sidecar),
            incarnation: 0,
        };
        self.targets.iter().map(location).collect()
    }

    fn try_retry(&self, _route: &str) -> bool {
        true
    }

    fn observe(&self, _target: &str, _state: SidecarState) {}

    fn finish(&self, _target: &str, _end: DeliveryEnd) {}
}

/// Running entry with its sidecars, its gate and a store stand-in.
pub struct EntryEnvironment {
    pub entry: RunningEntry,
    pub gate: Arc<RecordingGate>,
    pub kv: KvStandIn,
    pub sidecars: Vec<Arc<ScriptedSidecar>>,
    /// Base URL of the entry.
    pub base: String,
    pub client: Client,
}

impl EntryEnvironment {
    /// Starts an entry with 1,000,000 tokens and one sidecar for each list of scripts.
    pub async fn start(scripts: Vec<Vec<Vec<SidecarStep>>>) -> EntryEnvironment {
        EntryEnvironment::start_with(scripts, route("draft"), 1_000_000).await
    }

    /// Starts an entry as [`EntryEnvironment::start`] does, whose drain has this time limit.
    pub async fn start_draining(
        scripts: Vec<Vec<Vec<SidecarStep>>>,
        drain_ms: u64,
    ) -> EntryEnvironment {
        EntryEnvironment::open(scripts, route("draft"), 1_000_000, drain_ms).await
    }

    /// Starts an entry with the model route `model` besides the application route `file`, and
    /// one sidecar for each list of scripts.
    pub async fn start_with(
        scripts: Vec<Vec<Vec<SidecarStep>>>,
        model: Route,
        available_tokens: u64,
    ) -> EntryEnvironment {
        EntryEnvironment::open(scripts, model, available_tokens, DRAIN_MS).await
    }

    async fn open(
        scripts: Vec<Vec<Vec<SidecarStep>>>,
        model: Route,
        available_tokens: u64,
        drain_ms: u64,
    ) -> EntryEnvironment {
        let fleet_key = FleetKey::generate().unwrap();
        let key = FleetKey::from_base64(&fleet_key).unwrap();
        let mut targets = Vec::new();
        let mut sidecars = Vec::new();
        for (index, scripts) in scripts.into_iter().enumerate() {
            let sidecar = Arc::new(ScriptedSidecar {
                scripts: Mutex::new(scripts),
                received: Mutex::default(),
            });
            let transport = Transport::bind(LOOPBACK, &key).unwrap();
            targets.push(Choice {
                target: format!("target-{index}"),
                sidecar: transport.local_address().unwrap(),
                data_center: "wien-a".to_owned(),
                reason: "first",
            });
            tokio::spawn(transport.serve(sidecar.clone()));
            sidecars.push(sidecar);
        }
        let gate = Arc::new(RecordingGate {
            available_tokens,
            reserved: Mutex::default(),
            settled: Mutex::default(),
            closed: Mutex::default(),
            holds: AtomicBool::new(false),
        });
        let kv = KvStandIn::bind(1).await.unwrap();
        let store = Arc::new(KvHttp::open(&kv.server().url()).unwrap());
        let cfg = ConfigHandle::default();
        cfg.publish(config(model));
        let http = free_address();
        let components = EntryComponents {
            cfg,
            gate: gate.clone(),
            router: Arc::new(FirstRouter { targets }),
            transport: Transport::bind(LOOPBACK, &key).unwrap(),
            claims: Claims::open(store, MonotonicClock::start()),
            budgets: None,
            config: None,
        };
        let entry =
            RunningEntry::spawn(settings(http, fleet_key, drain_ms), components).await.unwrap();
        let client = http_client::open(ConnectionReuse::Never);
        EntryEnvironment { entry, gate, kv, sidecars, base: format!("http://{http}"), client }
    }

    /// Returns a chat call with the workspace's key.
    pub fn chat(&self, stream: bool) -> RequestBuilder {
        self.chat_body(&chat_body(stream))
    }

    /// Returns a chat call with the workspace's key and this body.
    pub fn chat_body(&self, body: &str) -> RequestBuilder {
        let req = self.client.post(format!("{}{CHAT}", self.base)).bearer_auth(KEY);
        req.header("content-type", "application/json").body(body.to_owned())
    }

    /// Returns a call to the application route `file`.
    pub fn submit(&self, body: &str) -> RequestBuilder {
        let url = format!("{}/v1/apps/file/cases/7?round=2", self.base);
        let req = self.client.put(url).bearer_auth(KEY).header("content-type", "text/x-case");
        req.body(body.to_owned())
    }

    /// Waits up to 20 s until `count` requests are settled, and returns the charges.
    pub async fn wait_settled(&self, count: usize) -> Vec<Option<u64>> {
        for _ in 0..1_000 {
            let settled = self.gate.settled.lock().unwrap().clone();
            if settled.len() >= count {
                return settled;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("fewer than {count} requests were settled: {:?}", self.gate.settled.lock().unwrap());
    }

    /// Returns the run and resume requests that a sidecar received.
    pub fn received(&self, sidecar: usize) -> Vec<PeerRequest> {
        self.sidecars[sidecar].received.lock().unwrap().clone()
    }
}

/// Returns a chat body for the route `draft`.
pub fn chat_body(stream: bool) -> String {
    serde_json::json!({
        "model": "draft",
        "stream": stream,
        "max_tokens": 50,
        "messages": [{ "role": "user", "content": "hello" }],
    })
    .to_string()
}

/// Returns the status, the refusal header and the problem document of a response.
pub async fn problem(response: Response) -> (u16, String, serde_json::Value) {
    let status = response.status().as_u16();
    let kind = response.headers().get("rosemarymoor-refusal").map(|kind| kind.to_str().unwrap());
    let kind = kind.unwrap_or_default().to_owned();
    let content_type = response.headers().get("content-type").unwrap().to_str().unwrap().to_owned();
    assert_eq!(content_type, "application/problem+json");
    (status, kind, response.json().await.unwrap())
}

/// Returns the step that sends the head of an answer with status 200.
pub fn head(content_type: &str) -> SidecarStep {
    SidecarStep::Send(RunFrame::Head { status: 200, content_type: content_type.to_owned() })
}

/// Returns the step that sends `text` as the data at a byte offset.
pub fn data(offset: u64, text: &str) -> SidecarStep {
    SidecarStep::Send(RunFrame::Data { offset, bytes: text.as_bytes().to_vec() })
}

/// Returns the step that ends an answer of `length` bytes with its charge in tokens.
pub fn end(charge: u64, length: usize) -> SidecarStep {
    SidecarStep::Send(RunFrame::End { charge, length: length as u64 })
}

/// Returns the step that refuses the request with a charge in tokens.
pub fn refused(code: ResultCode, charge: u64) -> SidecarStep {
    SidecarStep::Send(RunFrame::Refused { refusal: Refusal::new(code, "scripted"), charge })
}

/// Returns the script of a complete answer.
pub fn complete_answer(text: &str, charge: u64) -> Vec<SidecarStep> {
    let accepted = SidecarStep::Send(RunFrame::Accepted);
    vec![accepted, head("application/json"), data(0, text), end(charge, text.len())]
}

/// Returns a repeatable model route with this name.
pub fn route(name: &str) -> Route {
    Route {
        name: name.to_owned(),
        kind: TargetKind::Engine,
        class: Class::Quick,
        repeatable: true,
        targets: Vec::new(),
        model: "engine-model".to_owned(),
        price: Price::Usage,
        max_body_bytes: 4_096,
        max_prompt_tokens: None,
        max_tokens: 100,
        deadline_ms: 20_000,
        retry_window_ms: 60_000,
        policy: PolicyName::Uniform,
        retry_percent: 50,
    }
}

fn file_route() -> Route {
    Route {
        kind: TargetKind::Application,
        class: Class::Action,
        repeatable: false,
        price: Price::Fixed(5),
        ..route("file")
    }
}

fn config(model: Route) -> Config {
    let workspace = Workspace {
        name: "linz".to_owned(),
        key_digests: vec![blake3::hash(KEY.as_bytes()).to_hex().to_string()],
        routes: vec![model.name.clone(), "file".to_owned()],
        default_budget: Some("main".to_owned()),
        weight: 1,
    };
    Config {
        revision: 1,
        workspaces: vec![workspace],
        routes: vec![model, file_route()],
        ..Config::default()
    }
}

fn settings(http: SocketAddr, fleet_key: String, drain_ms: u64) -> Settings {
    Settings {
        name: "entry-1".to_owned(),
        role: Role::Entry,
        data_center: "wien-a".to_owned(),
        region: "at-east".to_owned(),
        quic: LOOPBACK,
        http,
        kv_url: "http://127.0.0.1:9".to_owned(),
        hosts_url: "http://127.0.0.1:9".to_owned(),
        fleet_key,
        log_level: LevelFilter::Info,
        drain_ms,
        budgets: BudgetsSettings { shards: 4, policy: "adaptive".to_owned() },
        config_parents: 2,
        target: None,
    }
}

fn free_address() -> SocketAddr {
    std::net::TcpListener::bind(LOOPBACK).unwrap().local_addr().unwrap()
}
