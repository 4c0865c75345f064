//! Listeners of an entry: callers' connections and readiness checks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{CONNECTION, HeaderValue};
use snafu::{OptionExt, ResultExt, Snafu};

use super::entry::Entry;
use super::handler;
use super::settings::DirectSettings;
use crate::health::text_answer;
use crate::http_server::{self, ConnectionLimits, HttpServer};

/// Bytes of a connection's buffer beyond a request's head.
const BUFFER_EXTRA: usize = 8 * 1024;

/// Time that a balancer's connection may stay idle.
const READY_IDLE: Duration = Duration::from_secs(10);

/// Why an entry cannot listen.
#[derive(Debug, Snafu)]
pub enum ListenError {
    #[snafu(display("the settings name no address for `{name}`"))]
    NoAddress { name: &'static str },
    #[snafu(display("address={address} {source}"))]
    Bind { address: SocketAddr, source: std::io::Error },
}

/// Binds the addresses for callers and for readiness checks.
///
/// Answers the server for callers; readiness is answered until the process ends.
pub fn spawn(settings: &DirectSettings, entry: Arc<Entry>) -> Result<HttpServer, ListenError> {
    let callers = settings.callers.context(NoAddressSnafu { name: "callers" })?;
    let ready = settings.ready.context(NoAddressSnafu { name: "ready" })?;
    let ready = http_server::bind(ready).context(BindSnafu { address: ready })?;
    let callers = http_server::bind(callers).context(BindSnafu { address: callers })?;
    let checked = entry.clone();
    let idle = || ConnectionLimits::idle(READY_IDLE);
    HttpServer::spawn(ready, idle, move |_| {
        let status = match checked.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        std::future::ready(text_answer(status, String::new()))
    });
    let limited = entry.clone();
    Ok(HttpServer::spawn(
        callers,
        move || caller_limits(&limited),
        move |req| {
            let entry = entry.clone();
            async move {
                let mut resp = handler::serve(&entry, req).await;
                if entry.is_stopping() {
                    resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                resp
            }
        },
    ))
}

fn caller_limits(entry: &Entry) -> ConnectionLimits {
    let limits = entry.catalog.load().as_ref().map(|catalog| catalog.limits).unwrap_or_default();
    let buffer_bytes = Some(limits.header_bytes + BUFFER_EXTRA);
    ConnectionLimits { idle: limits.idle_timeout, buffer_bytes }
}
