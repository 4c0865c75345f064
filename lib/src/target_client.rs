//! Interface by which a sidecar calls its target, a model engine or an application service.
//!
//! A client never retries a call. Its error says whether the call certainly did
//! not start, since only then may the caller be told that it did not run.

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream::BoxStream;
use serde::{Deserialize, Serialize};

use crate::limit_notice::LimitNotice;

/// Call to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCall {
    /// Request identity in hexadecimal, which the target echoes in its answer.
    pub request: String,
    /// Number of the delivery, which the target echoes in its answer.
    pub attempt: u32,
    /// HTTP method.
    pub method: String,
    /// Path and query, beginning with a slash.
    pub path: String,
    pub content_type: String,
    /// Scheduling priority, for engines that support it; lower values run first.
    pub priority: u8,
    pub body: Vec<u8>,
}

/// Head of a target's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    pub content_type: String,
    /// Request identity and attempt; absent if the target did not echo them.
    pub echo: Option<AnswerEcho>,
}

/// Request identity and attempt that a target echoed in its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerEcho {
    pub request: String,
    pub attempt: u32,
}

/// Load report of a target.
#[derive(Clone, Debug)]
pub struct LoadAnswer {
    pub load: TargetLoad,
    /// What its head says about the requests that the target takes.
    pub limit: LimitNotice,
}

/// Answer of a target, whose body is still being received.
pub struct TargetAnswer {
    pub head: AnswerHead,
    /// What the head says about the requests that the target takes.
    pub limit: LimitNotice,
    /// Whether only the end of the connection marks the end of the body.
    pub ends_with_connection: bool,
    /// Stream of the body; an error item means that the answer was cut off.
    pub body: BoxStream<'static, Result<Bytes, TargetError>>,
}

/// Reason why a call to a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetError {
    /// It is certain that no byte of the call has reached the target.
    NotStarted,
    /// The target may have run the call.
    MaybeRan,
}

/// Load and state of a target, which it reports with a delay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of the target's process start, which changes when it restarts.
    pub generation: u64,
    pub leaving: bool,
    /// Loaded models, each as `model` or `model@version`.
    pub models: Vec<String>,
}

/// Order that changes what a target serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOrder {
    /// Fencing number; a target that checks it refuses an order with a lower one than the last.
    pub fencing: u64,
    pub action: OrderAction,
}

/// Action that an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Loads a model; an empty version means any.
    LoadModel { model: String, version: String },
    /// Unloads one version, given as `model@version`, or all versions of a model.
    UnloadModel { model: String },
    /// Loads an adapter for a model.
    LoadAdapter { model: String, adapter: String },
    /// Changes the target's role.
    SetRole { role: String },
}

/// Client of one target, used by the target's sidecar.
#[async_trait]
pub trait TargetClient: Send + Sync {
    /// Sends a call once; returns when the head of the answer has arrived.
    async fn call(&self, call: TargetCall) -> Result<TargetAnswer, TargetError>;

    /// Reads the load report; returns `None` if the target did not answer.
    async fn load(&self) -> Option<LoadAnswer>;

    /// Sends an order; returns `Ok(false)` if the target refused its fencing number.
    async fn order(&self, order: TargetOrder) -> Result<bool, TargetError>;

    /// Asks the target to cancel a request.
    async fn cancel(&self, request: &str);
}
