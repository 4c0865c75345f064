//! Messages about money: between entries, and from entries to witnesses.
//!
//! Every amount is a running total under one root epoch, so that a message may
//! be lost, repeated or overtaken: the receiver keeps the highest it has seen.

use serde::{Deserialize, Serialize};

use crate::id::{BudgetId, EpochId};

/// State of one budget between two entries, as its sender sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetSync {
    pub budget: BudgetId,
    /// Tokens that waiting requests of the sender lack.
    pub need: u64,
    /// Tokens that the sender would take beyond its need.
    pub want: u64,
    /// Tokens that the sender asks back of what it gave.
    pub recall: u64,
    /// Total that the sender has given to the receiver under the sender's epoch.
    pub given: u64,
    /// Epoch of the receiver that the totals below belong to.
    pub root: EpochId,
    /// Total that the sender knows to have been given.
    pub received: u64,
    /// Total that the sender has spent of what the receiver gave.
    pub spent: u64,
    /// Tokens of what the receiver gave whose charge only witnesses know.
    pub unknown: u64,
    /// Total that the sender has handed back of what the receiver gave.
    pub returned: u64,
}

/// Exchange of money between two entries; the reply has the same form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerSync {
    /// Host name of the sender.
    pub from: String,
    /// Epoch that the sender's process started with.
    pub instance: EpochId,
    /// Current epoch of the sender.
    pub epoch: EpochId,
    /// Process that the totals are meant for, as far as the sender knows it.
    pub to: Option<EpochId>,
    pub budgets: Vec<BudgetSync>,
}

/// Question of an entry to a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessRequest {
    /// Asks for the incarnation, before it is recorded with the epoch.
    Incarnation,
    /// Tells that the epoch's record names this incarnation of the witness.
    Enroll { epoch: EpochId, incarnation: u64 },
    /// Forbids further spending under the epoch and asks for its totals.
    Close { epoch: EpochId },
}

/// Answer of a witness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessReply {
    pub incarnation: u64,
    /// Whether the witness admits requests paid under the epoch.
    pub enrolled: bool,
    /// Totals of a closed epoch.
    pub totals: Vec<ReceiptTotal>,
}

/// What a witness has seen spent of one budget under one root epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceiptTotal {
    pub budget: BudgetId,
    /// Tokens charged for finished requests.
    pub charged: u64,
    /// Tokens reserved by requests that still run.
    pub reserved: u64,
}
