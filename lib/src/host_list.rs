//! Interface of the platform's host list, which reports live and leaving hosts with a delay.
//!
//! Entries and sidecars find each other's addresses in it.

use std::net::SocketAddr;

use async_trait::async_trait;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Role of a process in the fleet.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    #[display("entry")]
    Entry,
    #[display("sidecar")]
    Sidecar,
}

/// State of a host as the platform reports it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    #[display("live")]
    Live,
    #[display("leaving")]
    Leaving,
}

/// Host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    pub name: String,
    pub role: Role,
    /// QUIC address of the process on this host.
    pub address: SocketAddr,
    pub data_center: String,
    pub region: String,
    pub state: HostState,
}

/// Hosts of a list in JSON, and how many of its items name none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedHosts {
    /// Sorted by name.
    pub hosts: Vec<Host>,
    pub malformed: usize,
}

/// Decodes a JSON array of hosts item by item, so that a malformed one leaves the others readable.
///
/// # Errors
///
/// Fails if the bytes are no JSON array.
pub fn decode(bytes: &[u8]) -> Result<DecodedHosts, serde_json::Error> {
    let text = String::from_utf8_lossy(bytes);
    let items: Vec<&RawValue> = serde_json::from_str(&text)?;
    let decoded = items.iter().filter_map(|item| serde_json::from_str(item.get()).ok());
    let mut hosts: Vec<Host> = decoded.collect();
    hosts.sort_by(|a, b| a.name.cmp(&b.name));
    let malformed = items.len() - hosts.len();
    Ok(DecodedHosts { hosts, malformed })
}

/// The platform's host list.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Returns the current list, sorted by name, or `None` if the service did not answer.
    async fn hosts(&self) -> Option<Vec<Host>>;
}
