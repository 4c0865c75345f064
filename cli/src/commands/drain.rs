//! `drain`: makes one process finish its requests and exit.

use std::time::Duration;

use gumdrop::Options;
use rosemarymoor_lib::wire::{PeerRequest, StatusReply};
use snafu::{OptionExt, ResultExt};

use crate::context::Context;
use crate::error::{CliError, PeerSnafu, UnknownHostSnafu};
use crate::output::print_json;

/// Time limit for the answer of the process.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Makes one process accept no new requests, finish the running ones and exit.
#[derive(Debug, Options)]
pub struct DrainOptions {
    /// print this help
    help: bool,
    /// name of the host whose process is to be drained
    #[options(free, required)]
    host: String,
    /// print JSON
    json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the platform's list has no such host or its process does not answer.
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
        println!("{} is draining: {} running, {} queued", host.name, status.running, status.queued);
    }
    Ok(())
}
