//! News of targets' load, as processes of the fleet read them from each other's boards.
//!
//! A target is named by its address and start, which a process beside it knows without its
//! identifier. Ages replace times, as the clocks of two processes cannot be compared.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::known::{LoadReport, SentWork};

/// Process of a target, as it is known at its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetEndpoint {
    pub address: SocketAddr,
    /// Wall-clock start in Unix milliseconds; 0 if it is not known.
    pub started_ms: u64,
}

/// Part of a board that a reader asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadScope {
    /// The target beside the process.
    Own,
    /// Targets of the data centre, and what its entries have sent to any target.
    DataCenter,
    /// All targets, and what all entries but the reader have sent.
    Fleet,
}

/// What an entry has sent to all targets; those it does not list have nothing of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryWork {
    /// Name of the entry's host.
    pub entry: String,
    pub sent: Vec<(TargetEndpoint, SentWork)>,
}

/// Question for what has changed on a board since an earlier reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadQuery {
    pub scope: LoadScope,
    pub cursor: LoadCursor,
    /// Longest wait for news, in milliseconds.
    pub wait_ms: u32,
    /// Targets whose parts the reader needs whole.
    pub gaps: Vec<TargetEndpoint>,
    /// What the reader has sent itself, if it is an entry.
    pub work: Option<EntryWork>,
}

/// Changes of a board up to which a reader knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCursor {
    /// Identifies the board, which starts empty with its process.
    pub board: u64,
    /// Number of the last change that was read.
    pub sequence: u64,
}

/// What has changed on a board.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReply {
    pub cursor: LoadCursor,
    /// Whether nothing was left out for want of space.
    pub is_complete: bool,
    /// Pause in milliseconds before the next question.
    pub pause_ms: u32,
    pub news: Vec<TargetNews>,
}

/// News of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetNews {
    pub target: TargetEndpoint,
    /// Latest report with its age in milliseconds.
    pub report: Option<(LoadReport, u32)>,
    /// Change of its cached parts, with the age in milliseconds of what is known then.
    pub parts: Option<(PartsChange, u32)>,
    /// Requests that are sent and not answered; whose, says the scope.
    pub sent: SentWork,
}

/// Change of the prompt parts that a target caches; lists are sorted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartsChange {
    /// All of them.
    Whole(Vec<u64>),
    /// Those added and removed since the reader's cursor.
    Changed { added: Vec<u64>, removed: Vec<u64> },
}

impl PartsChange {
    /// Returns whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        match self {
            PartsChange::Whole(_) => false,
            PartsChange::Changed { added, removed } => added.is_empty() && removed.is_empty(),
        }
    }

    /// Applies the change to a sorted list; returns whether the list is known now.
    ///
    /// Without an earlier list only a whole one can be applied.
    pub fn apply(&self, parts: &mut Option<Vec<u64>>) -> bool {
        match (self, &mut *parts) {
            (PartsChange::Whole(whole), _) => *parts = Some(whole.clone()),
            (PartsChange::Changed { added, removed }, Some(known)) => {
                known.retain(|part| removed.binary_search(part).is_err());
                known.extend(added);
                known.sort_unstable();
                known.dedup();
            }
            (PartsChange::Changed { .. }, None) => {}
        }
        parts.is_some()
    }
}

/// Encodes a message between processes of the fleet.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("serializing a message to memory cannot fail")
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the bytes are not a message of this type.
pub fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}
