//! `explain`: shows what the fleet knows of a request.

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

const TIMEOUT: Duration = Duration::from_secs(3);

/// Asks every sidecar for its record of a request, or reads it from logs.
///
/// With --log, once for each process, the story of the request is told from the
/// files; `-` stands for standard input. No process is asked then.
///
/// REQUEST is the id from the answer's header or the log, or with --key the
/// caller's idempotency key as WORKSPACE:KEY.
#[derive(Debug, Options)]
pub struct ExplainOptions {
    /// print this help
    help: bool,
    /// request id, or WORKSPACE:KEY with --key
    #[options(free, required)]
    request: String,
    /// REQUEST is a workspace and an idempotency key
    key: bool,
    /// print JSON
    json: bool,
    /// log of one process to read; may be repeated
    #[options(no_short, meta = "FILE")]
    log: Vec<String>,
}

/// What one host answered.
#[derive(Serialize)]
struct Finding {
    host: String,
    /// Absent if the host did not answer.
    record: Option<RequestRecord>,
}

/// Runs the command.
pub async fn run(options: &ExplainOptions, cx: &Context) -> Result<(), CliError> {
    if !options.log.is_empty() {
        return tell_from_logs(options);
    }
    let request = parse_request(options)?;
    let hosts = cx.hosts().await?;
    let findings = ask(cx, hosts, request).await?;
    let known = findings.iter().any(|finding| is_known(finding) || finding.record.is_none());
    ensure!(known, UnknownRequestSnafu { request: request.to_string() });
    if options.json {
        print_json(&findings);
        return Ok(());
    }
    println!("request {request}");
    for finding in findings.iter().filter(|held| is_known(held) || held.record.is_none()) {
        println!("  {}", describe(finding));
    }
    println!("the decisions are in the logs of the entries and of these hosts: grep {request}");
    Ok(())
}

fn tell_from_logs(options: &ExplainOptions) -> Result<(), CliError> {
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
    let story = request_trace::build(request, &logs);
    ensure!(!story.is_empty(), UnknownRequestSnafu { request });
    if options.json {
        print_json(&story);
        return Ok(());
    }
    println!("request {request}");
    let begin = story[0].at_ms;
    for line in &story {
        println!("  {:>7} ms  {:<20} {}", line.at_ms - begin, line.process, line.text);
    }
    Ok(())
}

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

async fn ask(cx: &Context, hosts: Vec<Host>, request: RequestId) -> Result<Vec<Finding>, CliError> {
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

fn is_known(finding: &Finding) -> bool {
    !matches!(finding.record, None | Some(RequestRecord::Unknown { .. }))
}

fn describe(finding: &Finding) -> String {
    let host = &finding.host;
    match &finding.record {
        None => format!("{host}: no answer, so it may know more"),
        Some(RequestRecord::Unknown { .. }) => format!("{host}: no record"),
        Some(RequestRecord::Running { attempt }) => {
            format!("{host}: running, attempt {attempt}")
        }
        Some(RequestRecord::Finished { attempt, charge }) => {
            format!("{host}: finished, attempt {attempt}, charged {charge} tokens")
        }
    }
}
