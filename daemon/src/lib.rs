//! The daemon: runs as an entry that serves callers, a sidecar beside a target, or a budget
//! server.

pub mod direct;
pub mod entry;
pub mod health;
pub mod http_pool;
pub mod http_server;
pub mod idle_connections;
pub mod line_log;
pub mod logging;
pub mod memory;
pub mod settings;
pub mod sidecar;
