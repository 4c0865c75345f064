//! `drain`: lets one process finish its requests and stop.

use std::time::Duration;

use gumdrop::Options;
use rosemarymoor_lib::wire::{PeerRequest, StatusReply};
use snafu::{OptionExt, ResultExt};

use crate::context::Context;
use crate::error::{CliError, PeerSnafu, UnknownHostSnafu};
use crate::output::print_json;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Stops new work at one process, lets running requests finish, then ends it.
#[derive(Debug, Options)]
pub struct DrainOptions {
    /// print this help
    help: bool,
    /// host whose process is to stop
    #[options(free, required)]
    host: String,
    /// print JSON
    json: bool,
}

/// Runs the command.
pub async fn run(options: &DrainOptions, cx: &Context) -> Result<(), CliError> {
    let hosts = cx.hosts().await?;
    let host = hosts.iter().find(|host| host.name == options.host);
    let host = host.context(UnknownHostSnafu { name: &options.host })?;
    let transport = cx.transport()?;
    let status: StatusReply = transport
        .call(host.address, &PeerRequest::Drain, TIMEOUT)
        .await
        .context(PeerSnafu { name: &options.host })?;
    if options.json {
        print_json(&status);
    } else {
        println!("{} drains: {} running, {} queued", host.name, status.running, status.queued);
    }
    Ok(())
}
