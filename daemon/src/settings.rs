//! Settings of one process, read from its INI file.

use std::net::SocketAddr;

use log::LevelFilter;
use rosemarymoor_lib::host_list::Role;

/// Settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host in the platform's list.
    pub name: String,
    pub role: Role,
    pub data_center: String,
    pub region: String,
    /// Address for the fleet's own processes.
    pub quic: SocketAddr,
    /// Address for callers, health, readiness and metrics.
    pub http: SocketAddr,
    /// Base URL of the key-value service.
    pub kv_url: String,
    /// URL of the host list.
    pub hosts_url: String,
    pub fleet_key: String,
    pub log_level: LevelFilter,
    /// Longest time that a graceful stop waits for running requests, in milliseconds.
    pub drain_ms: u64,
    pub budgets: BudgetsSettings,
    /// Present for role sidecar.
    pub target: Option<TargetSettings>,
}

/// Settings of the budget holder.
#[derive(Clone, Debug)]
pub struct BudgetsSettings {
    /// Number of ledger shards in the store; equal for the whole fleet.
    pub shards: u32,
    /// Grant policy: `adaptive`, `static-split` or `per-request`.
    pub policy: String,
}

/// The target beside a sidecar.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Name of the target in the configuration.
    pub name: String,
    /// Base URL of the target.
    pub url: String,
}
