//! Messages about budgets: between entries, and from entries to witnesses.
//!
//! Amounts given, spent and returned are running totals under one root epoch. Messages
//! may therefore be lost, repeated or reordered: the receiver keeps the highest total.

use serde::{Deserialize, Serialize};

use crate::id::{BudgetId, EpochId};

/// State of one budget between two entries, as its sender knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetSync {
    pub budget: BudgetId,
    /// Tokens that the sender's waiting requests are short of.
    pub need: u64,
    /// Tokens that the sender would accept beyond `need`.
    pub want: u64,
    /// Tokens that the sender recalls of those that it gave.
    pub recall: u64,
    /// Total tokens that the sender has given to the receiver under the sender's epoch.
    pub given: u64,
    /// Epoch of the receiver that the following totals belong to.
    pub root: EpochId,
    /// Total tokens that the sender has received from the receiver.
    pub received: u64,
    /// Total tokens that the sender has spent of those that the receiver gave.
    pub spent: u64,
    /// Tokens that the receiver gave and whose charge only witnesses know.
    pub unknown: u64,
    /// Total tokens that the sender has returned of those that the receiver gave.
    pub returned: u64,
}

/// Exchange of budget tokens between two entries; the reply has the same type.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerSync {
    /// Host name of the sender.
    pub from: String,
    /// Epoch that the sender's process started with.
    pub instance: EpochId,
    /// Current epoch of the sender.
    pub epoch: EpochId,
    /// Receiver's process that the totals apply to, by its `instance`, if the sender knows it.
    pub to: Option<EpochId>,
    pub budgets: Vec<BudgetSync>,
}

/// Request of an entry to a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessRequest {
    /// Asks for the witness's incarnation, before it is recorded with the epoch.
    Incarnation,
    /// Registers an epoch whose record names this incarnation of the witness.
    Enroll { epoch: EpochId, incarnation: u64 },
    /// Closes the epoch to further spending and asks for its totals.
    Close { epoch: EpochId },
}

/// Reply of a witness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessReply {
    /// Random number of the witness's process start.
    pub incarnation: u64,
    /// Whether the witness admits requests that are charged to the epoch.
    pub enrolled: bool,
    /// Totals of a closed epoch.
    pub totals: Vec<ReceiptTotal>,
}

/// Tokens of one budget and root epoch that a witness has recorded as spent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceiptTotal {
    pub budget: BudgetId,
    /// Tokens charged for finished requests.
    pub charged: u64,
    /// Tokens reserved by requests that are still running.
    pub reserved: u64,
}
