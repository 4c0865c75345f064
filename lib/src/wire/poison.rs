//! Messages that spread knowledge of requests that crash targets.

use serde::{Deserialize, Serialize};

use crate::poison::PoisonRow;

/// Rows that a sidecar has learned or changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonNotice {
    pub rows: Vec<PoisonRow>,
}

/// Tells that the rows are in force at the answering sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonReply {
    pub incarnation: u64,
}
