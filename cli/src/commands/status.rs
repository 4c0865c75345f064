//! `status`: shows the status of every process of the fleet.

use std::time::Duration;

use gumdrop::Options;
use rosemarymoor_lib::host_list::Host;
use rosemarymoor_lib::wire::{PeerRequest, StatusReply};
use serde::Serialize;
use tokio::task::JoinSet;

use crate::context::Context;
use crate::error::CliError;
use crate::output::{print_json, print_table};

/// Time limit for the answer of each process.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Shows the status that each process in the platform's host list reports.
#[derive(Debug, Options)]
pub struct StatusOptions {
    /// print this help
    help: bool,
    /// print JSON
    json: bool,
}

/// Host with the status of its process.
#[derive(Serialize)]
struct Report {
    host: Host,
    /// `None` if the process did not answer.
    status: Option<StatusReply>,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the host list is unavailable or the transport cannot be opened; a process that
/// does not answer is no error.
pub async fn run(options: &StatusOptions, cx: &Context) -> Result<(), CliError> {
    let hosts = cx.hosts().await?;
    let transport = cx.transport()?;
    let mut calls = JoinSet::new();
    for host in hosts {
        let transport = transport.clone();
        calls.spawn(async move {
            let status = transport.call(host.address, &PeerRequest::Status, TIMEOUT).await.ok();
            Report { host, status }
        });
    }
    let mut reports = calls.join_all().await;
    reports.sort_by(|a, b| a.host.name.cmp(&b.host.name));
    if options.json {
        print_json(&reports);
        return Ok(());
    }
    let header =
        ["host", "role", "data centre", "listed", "state", "config", "running", "queued", "MiB"];
    let rows: Vec<Vec<String>> = reports.iter().map(row).collect();
    print_table(&header, &rows);
    Ok(())
}

fn row(report: &Report) -> Vec<String> {
    let host = &report.host;
    let mut cells = vec![
        host.name.clone(),
        host.role.to_string(),
        host.data_center.clone(),
        host.state.to_string(),
    ];
    match &report.status {
        Some(status) => cells.extend([
            if status.draining { "draining" } else { "serving" }.to_owned(),
            status.config_revision.to_string(),
            status.running.to_string(),
            status.queued.to_string(),
            (status.memory_bytes >> 20).to_string(),
        ]),
        None => cells.push("no answer".to_owned()),
    }
    cells
}
