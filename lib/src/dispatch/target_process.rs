//! Process of a target, which differs after a restart under the same identifier.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Process of a target.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{id}/{started_ms}")]
pub struct TargetProcess {
    pub id: String,
    /// Wall-clock start in Unix milliseconds; 0 if it is not known.
    pub started_ms: u64,
}
