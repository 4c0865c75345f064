//! The daemon: an entry before the callers or a sidecar beside a target.

pub mod entry;
pub mod http_server;
pub mod logging;
pub mod memory;
pub mod settings;
pub mod sidecar;
