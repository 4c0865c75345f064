//! `explain`: shows the sidecars' records of a request, or its trace from log files.

use std::time::Duration;

use gumdrop::Options;
use rosemarymoor_lib::host_list::{Host, Role};
use rosemarymoor_lib::id::RequestId;
use rosemarymoor_lib::wire::{LookupRequest, PeerRequest, RequestRecord};
use serde::Serialize;
use snafu::{ResultExt, ensure};
use tokio::task::JoinSet;

use crate::context::Context;
use crate::error::{ArgumentSnafu, CliError, ReadLogSnafu, UnknownRequestSnafu};
use crate::output::print_json;
use crate::request_trace::{self, ProcessLog};

/// Time limit for the answer of each sidecar.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Asks every sidecar for its record of a request, or reads its trace from logs.
///
/// With --log, given once for each process, the log lines of the request are merged in
/// the order of time and no process is asked; `-` reads standard input.
///
/// REQUEST is the id from the answer's header or from a log or, with --key, the
/// caller's idempotency key as WORKSPACE:KEY.
#[derive(Debug, Options)]
pub struct ExplainOptions {
    /// print this help
    help: bool,
    /// request id, or WORKSPACE:KEY with --key
    #[options(free, required)]
    request: String,
    /// take REQUEST as a workspace and an idempotency key
    key: bool,
    /// print JSON
    json: bool,
    /// log file of one process; may be repeated
    #[options(no_short, meta = "FILE")]
    log: Vec<String>,
}

/// Answer of one host.
#[derive(Serialize)]
struct Finding {
    host: String,
    /// Absent if the host did not answer.
    record: Option<RequestRecord>,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the request id is not valid, the host list is unavailable or a log cannot be read,
/// and if every sidecar answers without a record of the request or no log names it.
pub async fn run(options: &ExplainOptions, cx: &Context) -> Result<(), CliError> {
    if !options.log.is_empty() {
        return explain_from_logs(options);
    }
    let request = parse_request(options)?;
    let hosts = cx.hosts().await?;
    let findings = look_up(cx, hosts, request).await?;
    let known = findings.iter().any(|finding| is_known(finding) || finding.record.is_none());
    ensure!(known, UnknownRequestSnafu { request: request.to_string() });
    if options.json {
        print_json(&findings);
        return Ok(());
    }
    println!("request {request}");
    for finding in findings.iter().filter(|finding| is_known(finding) || finding.record.is_none()) {
        println!("  {}", describe(finding));
    }
    println!(
        "for the decisions on it, search the logs of the entries and of these hosts: grep {request}"
    );
    Ok(())
}

/// Prints the trace of a request built from log files.
fn explain_from_logs(options: &ExplainOptions) -> Result<(), CliError> {
    let mut logs = Vec::new();
    for path in &options.log {
        let text = if path == "-" {
            std::io::read_to_string(std::io::stdin())
        } else {
            std::fs::read_to_string(path)
        };
        let text = text.context(ReadLogSnafu { path })?;
        logs.push(ProcessLog { name: path.clone(), text });
    }
    let request = options.request.as_str();
    let trace = request_trace::build(request, &logs);
    ensure!(!trace.is_empty(), UnknownRequestSnafu { request });
    if options.json {
        print_json(&trace);
        return Ok(());
    }
    println!("request {request}");
    let start_ms = trace[0].at_ms;
    for line in &trace {
        println!("  {:>7} ms  {:<20} {}", line.at_ms - start_ms, line.process, line.text);
    }
    Ok(())
}

/// Parses the request id, or derives it from a workspace and an idempotency key.
fn parse_request(options: &ExplainOptions) -> Result<RequestId, CliError> {
    let value = options.request.as_str();
    if options.key {
        return match value.split_once(':') {
            Some((workspace, key)) => Ok(RequestId::from_key(workspace, key)),
            None => ArgumentSnafu { value, expected: "WORKSPACE:KEY" }.fail(),
        };
    }
    match u128::from_str_radix(value, 16) {
        Ok(id) => Ok(RequestId(id)),
        Err(_) => ArgumentSnafu { value, expected: "a request id in hexadecimal" }.fail(),
    }
}

/// Asks all sidecars concurrently for their records; the findings are sorted by host.
async fn look_up(
    cx: &Context,
    hosts: Vec<Host>,
    request: RequestId,
) -> Result<Vec<Finding>, CliError> {
    let transport = cx.transport()?;
    let mut calls = JoinSet::new();
    for host in hosts.into_iter().filter(|host| host.role == Role::Sidecar) {
        let transport = transport.clone();
        calls.spawn(async move {
            let req = PeerRequest::Lookup(LookupRequest { request });
            let record = transport.call(host.address, &req, TIMEOUT).await.ok();
            Finding { host: host.name, record }
        });
    }
    let mut findings = calls.join_all().await;
    findings.sort_by(|a, b| a.host.cmp(&b.host));
    Ok(findings)
}

/// Returns whether the host answered with a record of the request.
fn is_known(finding: &Finding) -> bool {
    !matches!(finding.record, None | Some(RequestRecord::Unknown { .. }))
}

fn describe(finding: &Finding) -> String {
    let host = &finding.host;
    match &finding.record {
        None => format!("{host}: no answer, so it may have a record"),
        Some(RequestRecord::Unknown { .. }) => format!("{host}: no record"),
        Some(RequestRecord::Running { attempt }) => {
            format!("{host}: running, attempt {attempt}")
        }
        Some(RequestRecord::Finished { attempt, charge }) => {
            format!("{host}: finished, attempt {attempt}, charged {charge} tokens")
        }
    }
}
