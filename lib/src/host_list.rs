//! Interface of the platform's host list, which reports live and leaving hosts with a delay.
//!
//! Entries and sidecars find each other's addresses in it.

use std::net::SocketAddr;

use async_trait::async_trait;
use derive_more::Display;
use serde::{Deserialize, Serialize};

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

/// The platform's host list.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Returns the current list, sorted by name, or `None` if the service did not answer.
    async fn hosts(&self) -> Option<Vec<Host>>;
}
