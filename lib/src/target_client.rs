//! Targets behind a trait: model engines and application services.
//!
//! A client never repeats a call by itself. Its error says whether the call
//! certainly did not start, since only then may "not run" be reported.

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream::BoxStream;
use serde::{Deserialize, Serialize};

/// Call handed to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCall {
    /// Request identity in hexadecimal, echoed by the target in its answer.
    pub request: String,
    pub attempt: u32,
    /// HTTP method.
    pub method: String,
    /// Path and query, beginning with a slash.
    pub path: String,
    pub content_type: String,
    /// Scheduling priority for engines that honour one; lower runs first.
    pub priority: u8,
    pub body: Vec<u8>,
}

/// Head of a target's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    pub content_type: String,
    /// Request identity and attempt as echoed by the target, if it did.
    pub echo: Option<AnswerEcho>,
}

/// Identity that a target put on its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerEcho {
    pub request: String,
    pub attempt: u32,
}

/// Running answer of a target.
pub struct TargetAnswer {
    pub head: AnswerHead,
    /// Body; an error item means that the answer was cut off.
    pub body: BoxStream<'static, Result<Bytes, TargetError>>,
}

/// Why a call to a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetError {
    /// No byte of the call can have reached the target.
    NotStarted,
    /// The target may have run the call.
    MaybeRan,
}

/// Load and health as a target reports them, with a lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetLoad {
    pub running: u32,
    pub queued: u32,
    /// Process generation of the target; changes when it restarts.
    pub generation: u64,
    pub leaving: bool,
    pub models: Vec<String>,
}

/// Order that changes what a target serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOrder {
    /// Fencing number; a target that checks it refuses numbers below the last.
    pub fencing: u64,
    pub action: OrderAction,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    LoadModel {
        model: String,
        version: String,
    },
    /// Unloads one version, as `model@version`, or every version of a model.
    UnloadModel {
        model: String,
    },
    LoadAdapter {
        model: String,
        adapter: String,
    },
    SetRole {
        role: String,
    },
}

/// One target, as its sidecar reaches it.
#[async_trait]
pub trait TargetClient: Send + Sync {
    /// Sends a call once and answers as soon as the head has arrived.
    async fn call(&self, call: TargetCall) -> Result<TargetAnswer, TargetError>;

    /// Reads the load report; `None` if the target did not answer.
    async fn load(&self) -> Option<TargetLoad>;

    /// Gives an order; `Ok(false)` if the target refused its fencing number.
    async fn order(&self, order: TargetOrder) -> Result<bool, TargetError>;

    /// Asks the target to stop generating for a request.
    async fn cancel(&self, request: &str);
}
