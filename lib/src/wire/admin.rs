//! Replies to the requests of the operator's command line.

use serde::{Deserialize, Serialize};

use crate::host_list::Role;

/// State of a process, as `rosemarymoor status` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    pub name: String,
    pub role: Role,
    pub data_center: String,
    pub region: String,
    /// Revision of the configuration in use.
    pub config_revision: u64,
    /// Number of requests in progress.
    pub running: u32,
    /// Number of requests that wait.
    pub queued: u32,
    /// Whether the process no longer accepts requests.
    pub draining: bool,
    /// Resident memory, in bytes; zero if the process does not report it.
    pub memory_bytes: u64,
}
