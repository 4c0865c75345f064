//! Stand-in for an application target that records each run by its marker.
//!
//! Tests compare the runs with the answers that callers received, for example to detect an
//! action that ran twice.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use hyper::Request;
use hyper::body::Incoming;
use rosemarymoor_lib::target_client::TargetLoad;
use serde::{Deserialize, Serialize};

use crate::marker;
use crate::seeded_rng::SeededRng;
use crate::server::{DropConnection, Handler, Reply, Server, answer, read_body};

/// Duration of a hanging call, longer than any caller waits for an answer.
const HANG_DURATION: Duration = Duration::from_secs(3_600);

/// Faults that are injected into an application's calls.
///
/// Each `f64` is a probability from 0 to 1. The default injects none.
#[derive(Clone, Debug, Default)]
pub struct ApplicationFaults {
    /// Runs the call and never answers.
    pub hang: f64,
    /// Runs the call and answers after [`ApplicationFaults::late_by`].
    pub late: f64,
    /// Additional delay of a late answer.
    pub late_by: Duration,
    /// Answers with the identity, marker, method and path of the previous call.
    pub crossed: f64,
    /// Runs the call and then closes the connection without an answer.
    pub drop_reply: f64,
}

/// One run as the application recorded it.
#[derive(Clone, Debug)]
pub struct ApplicationRun {
    /// Request identifier from the header `x-request-id`.
    pub request: String,
    /// Attempt number from the header `x-attempt`; 0 if there is none.
    pub attempt: u32,
    /// Marker in the path or body; empty if there is none.
    pub marker: String,
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Time at which the request was read completely.
    pub started_at: Instant,
}

/// Body of the application's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplicationAnswer {
    /// Marker of the request.
    pub marker: String,
    /// HTTP method of the request.
    pub method: String,
    /// Path of the request with its query.
    pub path: String,
}

/// Running application.
pub struct ApplicationStandIn {
    server: Server,
    shared: Arc<Shared>,
}

struct Shared {
    service_time: Duration,
    faults: Mutex<ApplicationFaults>,
    runs: Mutex<Vec<ApplicationRun>>,
    /// Increases with each kill; the load report shows it.
    generation: Mutex<u64>,
    rng: SeededRng,
}

impl ApplicationStandIn {
    /// Starts an application whose calls take `service_time`; `seed` determines its random
    /// faults.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be bound.
    pub async fn bind(service_time: Duration, seed: u64) -> io::Result<ApplicationStandIn> {
        let shared = Arc::new(Shared {
            service_time,
            faults: Mutex::default(),
            runs: Mutex::default(),
            generation: Mutex::new(1),
            rng: SeededRng::new(seed),
        });
        let server = Server::bind(Arc::new(Service(shared.clone()))).await?;
        Ok(ApplicationStandIn { server, shared })
    }

    /// Returns the HTTP server of the application.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ApplicationFaults)) {
        change(&mut self.shared.faults.lock().expect("no holder panics"));
    }

    /// Returns every run so far, in order of start.
    pub fn runs(&self) -> Vec<ApplicationRun> {
        self.shared.runs.lock().expect("no holder panics").clone()
    }

    /// Closes the port and every connection until [`ApplicationStandIn::restart`].
    pub fn kill(&self) {
        self.server.stop();
        *self.shared.generation.lock().expect("no holder panics") += 1;
    }

    /// Listens again after [`ApplicationStandIn::kill`].
    ///
    /// # Errors
    ///
    /// Fails if the port cannot be bound again.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }
}

struct Service(Arc<Shared>);

#[async_trait]
impl Handler for Service {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let shared = self.0.clone();
        if req.uri().path() == "/load" {
            return Ok(shared.load_report());
        }
        // A received call runs to its end even if its caller disconnects.
        let serving = tokio::spawn(async move { shared.serve(req).await });
        serving.await.unwrap_or(Err(DropConnection))
    }
}

impl Shared {
    fn load_report(&self) -> hyper::Response<crate::server::Body> {
        let generation = *self.generation.lock().expect("no holder panics");
        let load = TargetLoad { generation, ..TargetLoad::default() };
        let body = serde_json::to_vec(&load).expect("the report has string keys");
        answer(200, "application/json", body)
    }

    async fn serve(&self, req: Request<Incoming>) -> Reply {
        let faults = self.faults.lock().expect("no holder panics").clone();
        let run = read_run(req).await?;
        let previous = self.runs.lock().expect("no holder panics").last().cloned();
        self.runs.lock().expect("no holder panics").push(run.clone());
        tokio::time::sleep(self.service_time).await;
        if self.rng.random_bool(faults.hang) {
            tokio::time::sleep(HANG_DURATION).await;
        }
        if self.rng.random_bool(faults.late) {
            tokio::time::sleep(faults.late_by).await;
        }
        if self.rng.random_bool(faults.drop_reply) {
            return Err(DropConnection);
        }
        let answered =
            if self.rng.random_bool(faults.crossed) { previous.unwrap_or(run) } else { run };
        let created = answered.method == "POST";
        let body = ApplicationAnswer {
            marker: answered.marker,
            method: answered.method,
            path: answered.path,
        };
        let body = serde_json::to_vec(&body).expect("the answer has string keys");
        let mut resp = answer(if created { 201 } else { 200 }, "application/json", body);
        if let Ok(request) = answered.request.parse() {
            resp.headers_mut().insert("x-request-id", request);
        }
        resp.headers_mut().insert("x-attempt", answered.attempt.into());
        Ok(resp)
    }
}

/// Reads a request and returns the run that it starts.
async fn read_run(req: Request<Incoming>) -> Result<ApplicationRun, DropConnection> {
    let header = |name: &str| {
        let value = req.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let request = header("x-request-id");
    let attempt = header("x-attempt").parse().unwrap_or(0);
    let method = req.method().to_string();
    let path = req.uri().to_string();
    let body = read_body(req).await?;
    let marker = marker::find(&format!("{path}\n{}", String::from_utf8_lossy(&body)));
    Ok(ApplicationRun { request, attempt, marker, method, path, started_at: Instant::now() })
}
