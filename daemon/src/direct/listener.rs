//! Listeners of an entry, for callers and for readiness checks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, StatusCode};
use rosemarymoor_lib::dispatch::crash::suspect::{Suspect, Suspicion};
use rosemarymoor_lib::peer_memory::PeerGroup;
use snafu::{OptionExt, ResultExt, Snafu};

use super::entry::Entry;
use super::handler;
use super::poison::SUSPECTED_PATH;
use super::settings::DirectSettings;
use crate::health::text_answer;
use crate::http_server::{self, ConnectionLimits, HttpServer};

/// Size of a connection's buffer beyond the limit of a request's head.
const EXTRA_BUFFER_BYTES: usize = 8 * 1024;

/// Time after which an idle connection of the balancer is closed.
const READY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which an idle connection of another process of the fleet is closed.
const INTERNAL_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Size limit of the body of an internal call.
const MAX_INTERNAL_BODY_BYTES: usize = 1 << 20;

/// Reason why an entry cannot listen.
#[derive(Debug, Snafu)]
pub enum ListenError {
    /// A required address is missing in the settings.
    #[snafu(display("the settings name no address for `{name}`"))]
    NoAddress { name: &'static str },
    /// An address cannot be bound.
    #[snafu(display("address={address} {source}"))]
    Bind { address: SocketAddr, source: std::io::Error },
}

/// Binds the addresses for callers and for readiness checks and serves both.
///
/// Returns the server for callers; readiness checks are served until the process ends. Fails
/// if an address is missing in the settings or cannot be bound.
pub async fn spawn(
    settings: &DirectSettings,
    entry: Arc<Entry>,
) -> Result<HttpServer, ListenError> {
    let callers = settings.callers.context(NoAddressSnafu { name: "callers" })?;
    let ready = settings.ready.context(NoAddressSnafu { name: "ready" })?;
    let ready = http_server::bind_when_free(ready).await.context(BindSnafu { address: ready })?;
    let callers =
        http_server::bind_when_free(callers).await.context(BindSnafu { address: callers })?;
    let checked_entry = entry.clone();
    let limits = ConnectionLimits::idle(READY_IDLE_TIMEOUT).for_all();
    HttpServer::spawn(ready, limits, move |_| {
        let status = match checked_entry.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        std::future::ready(text_answer(status, String::new()))
    });
    let limited_entry = entry.clone();
    spawn_internal(settings, entry.clone());
    Ok(HttpServer::spawn(
        callers,
        move || caller_limits(&limited_entry),
        move |req| {
            let entry = entry.clone();
            async move {
                let mut resp = handler::serve(&entry, req).await;
                if entry.is_stopping() || entry.load.is_unready() {
                    resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                resp
            }
        },
    ))
}

/// Serves the fleet's own calls, for which budget servers tell what is suspected. An address that
/// cannot be bound is only logged: the fleet's own list says it later.
fn spawn_internal(settings: &DirectSettings, entry: Arc<Entry>) {
    let address = settings.internal;
    let listener = match http_server::bind(address) {
        Ok(listener) => listener,
        Err(err) => {
            log::error!("event=internal_unavailable address={address} reason={err}");
            return;
        }
    };
    let memory = entry.pool.memory().for_group(PeerGroup::Fleet);
    let limits = ConnectionLimits::idle_within(INTERNAL_IDLE_TIMEOUT, &memory).for_all();
    HttpServer::spawn(listener, limits, move |req| {
        let entry = entry.clone();
        async move {
            match apply_suspicions(&entry, req).await {
                Ok(sound) => {
                    let body = serde_json::to_string(&sound).expect("suspects can be encoded");
                    text_answer(StatusCode::OK, body)
                }
                Err(status) => text_answer(status, String::new()),
            }
        }
    });
}

/// Applies what a budget server says is suspected; returns what of it has completed here.
async fn apply_suspicions(
    entry: &Entry,
    req: Request<Incoming>,
) -> Result<Vec<Suspect>, StatusCode> {
    if req.uri().path() != SUSPECTED_PATH {
        return Err(StatusCode::NOT_FOUND);
    }
    let memory = entry.pool.memory().for_group(PeerGroup::Fleet);
    let body = memory.read(req.into_body(), MAX_INTERNAL_BODY_BYTES).await;
    let body = body.map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?;
    let told: Vec<Suspicion> =
        serde_json::from_slice(&body).map_err(|_| StatusCode::BAD_REQUEST)?;
    entry.poison.own().apply(&told);
    Ok(entry.poison.own().certainly_sound(&told))
}

/// Returns the limits of a caller's connection from the catalog in force, or the defaults if
/// there is none.
fn caller_limits(entry: &Entry) -> ConnectionLimits {
    let limits = entry.catalog.load().as_ref().map(|catalog| catalog.limits).unwrap_or_default();
    let max_buffer_bytes = Some(limits.max_header_bytes.saturating_add(EXTRA_BUFFER_BYTES));
    let memory = entry.caller_memory.clone();
    ConnectionLimits { idle_timeout: limits.idle_timeout, max_buffer_bytes, memory }
}
