//! Messages that propagate the configuration, send orders to targets and read their loads.

use serde::{Deserialize, Serialize};

use crate::config::{ChangeSummary, PartDigest, PartRef};
use crate::target_client::{TargetLoad, TargetOrder};

/// Asks for a newer configuration; the reply may wait until there is one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Host that asks, so that a peer with an older revision can ask it in turn.
    pub from: String,
    /// Revision that the asking host has; zero for none.
    pub revision: u64,
    /// Maximum time for which the reply may wait for a newer revision, in milliseconds.
    pub wait_ms: u64,
}

/// Reply to a [`ConfigRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// Revision that the answering host has.
    pub revision: u64,
    /// Update to that revision, if it is newer than that of the asking host.
    pub update: Option<ConfigUpdate>,
}

/// Update from one revision to a newer one.
///
/// The newer revision consists of the first `prefix` parts of the base, then
/// `middle`, then the last `suffix` parts of the base.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    pub summary: ChangeSummary,
    /// Revision that `prefix` and `suffix` refer to; zero is the empty configuration.
    pub base: u64,
    pub prefix: u32,
    pub suffix: u32,
    pub middle: Vec<PartRef>,
    /// Encodings of some of the parts in `middle`; the receiver fetches the others.
    pub parts: Vec<Vec<u8>>,
}

/// Asks for encoded parts; answered by one [`PartReply`] for each, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsRequest {
    pub digests: Vec<PartDigest>,
}

/// Encoding of a part; absent if the answering host does not have it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReply {
    pub bytes: Option<Vec<u8>>,
}

/// Sends an order to a sidecar's target; answered by [`OrderReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Name of the target; the sidecar refuses an order for another one.
    pub target: String,
    pub order: TargetOrder,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The target has carried out the order.
    Done,
    /// The sidecar or its target has seen a higher fencing number than the order's; `highest`
    /// is the highest that the sidecar has seen.
    StaleFencing { highest: u64 },
    /// The sidecar belongs to another target.
    WrongTarget,
    /// The order was not confirmed; it may have taken effect.
    Failed,
}

/// Latest load report of a sidecar's target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReply {
    pub target: String,
    /// Absent if the target has not answered recently.
    pub load: Option<TargetLoad>,
}
