//! Events and effects of the budget system.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use super::ReserveRequest;
use super::budget_state::ReserveReply;
use super::epoch_record::epoch_key;
use super::ledger::ledger_key;
use crate::host_list::Host;
use crate::id::EpochId;
use crate::kv_store::{Outcome, Revision, Versioned};
use crate::result_code::Refusal;
use crate::wire::{Funding, PeerSync, WitnessReply, WitnessRequest};

/// Key of the store that the system reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreKey {
    Ledger(u32),
    Epoch(EpochId),
}

impl StoreKey {
    /// The key's text.
    pub fn text(self) -> String {
        match self {
            StoreKey::Ledger(shard) => ledger_key(shard),
            StoreKey::Epoch(epoch) => epoch_key(epoch),
        }
    }
}

/// What the budget system hears.
pub enum BudgetEvent {
    /// A request asks for money.
    Reserve { req: ReserveRequest, reply: ReserveReply },
    /// A reservation ends with its charge.
    Settle { funding: Funding, charge: u64 },
    /// A reservation ends and its charge is unknown.
    SettleUnknown { funding: Funding },
    /// A sidecar refused a root epoch.
    EpochRefused { funding: Funding },
    /// The platform's host list was read.
    Hosts(Vec<Host>),
    /// A read of the store ended.
    Read { key: StoreKey, outcome: Outcome<Option<Versioned>> },
    /// A write to the store ended.
    Written { key: StoreKey, outcome: Outcome<Revision> },
    /// A peer sent its totals.
    PeerSyncReceived { sync: PeerSync, reply: oneshot::Sender<PeerSync> },
    /// A peer answered, or did not.
    PeerAnswered { peer: String, answer: Option<PeerSync> },
    /// A witness answered, or did not.
    WitnessAnswered { name: String, req: WitnessRequest, answer: Option<WitnessReply> },
    /// The entry stops: hand everything back.
    Close { reply: oneshot::Sender<()> },
}

/// What the driver carries out.
pub enum BudgetEffect {
    /// Answers a reservation.
    Answer { reply: ReserveReply, result: Result<Funding, Refusal> },
    /// Reads a key.
    Read { key: StoreKey },
    /// Writes a key if it stands at `expected`.
    Write { key: StoreKey, expected: Revision, value: Vec<u8> },
    /// Sends totals to a peer.
    SendPeerSync { peer: String, address: SocketAddr, sync: PeerSync },
    /// Answers a peer.
    AnswerPeer { reply: oneshot::Sender<PeerSync>, sync: PeerSync },
    /// Asks a witness.
    QueryWitness { name: String, address: SocketAddr, req: WitnessRequest },
    /// Tells that everything was handed back.
    Closed { reply: oneshot::Sender<()> },
}
