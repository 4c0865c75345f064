//! Messages that propagate records of requests that crash targets.

use serde::{Deserialize, Serialize};

use crate::poison::PoisonRow;

/// Poison rows that the sending sidecar has received or changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonNotice {
    pub rows: Vec<PoisonRow>,
}

/// Confirms that the answering sidecar has applied the rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonReply {
    /// Random number of the answering sidecar's process start.
    pub incarnation: u64,
}
