//! The platform's list of live and leaving hosts, which lags behind the truth.

use std::net::SocketAddr;

use async_trait::async_trait;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What a process of the fleet does.
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

/// One host of the platform's list.
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
    /// Current list, sorted by name; `None` if the service did not answer.
    async fn hosts(&self) -> Option<Vec<Host>>;
}
