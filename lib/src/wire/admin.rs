//! Messages for operators.

use serde::{Deserialize, Serialize};

use crate::host_list::Role;

/// State of a process, for `rosemarymoor status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    pub name: String,
    pub role: Role,
    pub data_center: String,
    pub region: String,
    /// Configuration revision in force.
    pub config_revision: u64,
    /// Requests in flight.
    pub running: u32,
    pub queued: u32,
    /// Whether the process takes no new work any more.
    pub draining: bool,
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
}
