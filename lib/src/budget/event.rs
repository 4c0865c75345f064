//! Events and effects of the budget system.
//!
//! Traffic threads, peers and the driver send events to the system's thread; the system
//! returns effects, which the driver carries out.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use super::ReserveRequest;
use super::budget_state::FundingSender;
use super::epoch_record::epoch_key;
use super::ledger::ledger_key;
use crate::host_list::Host;
use crate::id::EpochId;
use crate::kv_store::{Outcome, Revision, Versioned};
use crate::result_code::Refusal;
use crate::wire::{Funding, PeerSync, WitnessReply, WitnessRequest};

/// Store key that the system reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreKey {
    /// Ledger shard with this number.
    Ledger(u32),
    /// Record of an epoch.
    Epoch(EpochId),
}

impl StoreKey {
    /// Returns the key as the store has it.
    pub fn text(self) -> String {
        match self {
            StoreKey::Ledger(shard) => ledger_key(shard),
            StoreKey::Epoch(epoch) => epoch_key(epoch),
        }
    }
}

/// Event of the budget system.
pub enum BudgetEvent {
    /// A request needs a reservation.
    Reserve { req: ReserveRequest, reply: FundingSender },
    /// A reservation ends with its charge.
    Settle { funding: Funding, charge: u64 },
    /// A reservation ends and its charge is unknown.
    SettleUnknown { funding: Funding },
    /// A sidecar refused a request because one of its root epochs is closed or not enrolled there.
    EpochRefused { funding: Funding },
    /// The platform's host list was read.
    Hosts(Vec<Host>),
    /// A read of the store ended.
    Read { key: StoreKey, outcome: Outcome<Option<Versioned>> },
    /// A write to the store ended.
    Written { key: StoreKey, outcome: Outcome<Revision> },
    /// A peer sent its totals; `reply` returns those of this entry.
    PeerSyncReceived { sync: PeerSync, reply: oneshot::Sender<PeerSync> },
    /// A call to a peer ended; `answer` is `None` if it failed.
    PeerAnswered { peer: String, answer: Option<PeerSync> },
    /// A call to a witness ended; `answer` is `None` if it failed.
    WitnessAnswered { name: String, req: WitnessRequest, answer: Option<WitnessReply> },
    /// The entry stops and has to return all unspent tokens.
    Close { reply: oneshot::Sender<()> },
}

/// Action that the driver carries out.
pub enum BudgetEffect {
    /// Answers a reservation request.
    Answer { reply: FundingSender, result: Result<Funding, Refusal> },
    /// Reads a key.
    Read { key: StoreKey },
    /// Writes a key if its revision is `expected`.
    Write { key: StoreKey, expected: Revision, value: Vec<u8> },
    /// Sends totals to a peer.
    SendPeerSync { peer: String, address: SocketAddr, sync: PeerSync },
    /// Answers a peer with totals.
    AnswerPeer { reply: oneshot::Sender<PeerSync>, sync: PeerSync },
    /// Sends a request to a witness.
    QueryWitness { name: String, address: SocketAddr, req: WitnessRequest },
    /// Reports that all unspent tokens have been returned.
    Closed { reply: oneshot::Sender<()> },
}
