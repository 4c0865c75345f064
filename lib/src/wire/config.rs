//! Messages that spread the configuration and carry orders to targets.

use serde::{Deserialize, Serialize};

use crate::config::{ChangeSummary, PartDigest, PartRef};
use crate::target_client::{TargetLoad, TargetOrder};

/// Asks for a newer configuration; held open until there is one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Host that asks, so that a peer which holds an older revision can ask back.
    pub from: String,
    /// Revision that the asking host holds; zero for none.
    pub revision: u64,
    /// How long the answer may wait for a newer revision, in milliseconds.
    pub wait_ms: u64,
}

/// Answer to a [`ConfigRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// Revision that the answering host holds.
    pub revision: u64,
    /// The way to that revision, if it is newer than the one asked with.
    pub update: Option<ConfigUpdate>,
}

/// Step from one revision to a newer one.
///
/// The parts of the newer revision are the first `prefix` parts of the base,
/// then `middle`, then the last `suffix` parts of the base.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    pub summary: ChangeSummary,
    /// Revision that `prefix` and `suffix` refer to; zero stands for an empty one.
    pub base: u64,
    pub prefix: u32,
    pub suffix: u32,
    pub middle: Vec<PartRef>,
    /// Encodings of some of the parts in `middle`; the others are fetched.
    pub parts: Vec<Vec<u8>>,
}

/// Asks for encoded parts; answered by one [`PartReply`] for each, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsRequest {
    pub digests: Vec<PartDigest>,
}

/// Encoding of a part, if the answering host holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReply {
    pub bytes: Option<Vec<u8>>,
}

/// Gives a sidecar an order for its target; answered by [`OrderReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Target that is meant; the sidecar refuses an order for another.
    pub target: String,
    pub order: TargetOrder,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The target obeyed.
    Done,
    /// Another placer has given orders with a higher fencing number.
    StaleFencing { highest: u64 },
    /// The sidecar guards another target.
    WrongTarget,
    /// The target did not answer; the order may have taken effect.
    Failed,
}

/// Last load report of a sidecar's target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReply {
    pub target: String,
    /// Absent if the target has not answered lately.
    pub load: Option<TargetLoad>,
}
