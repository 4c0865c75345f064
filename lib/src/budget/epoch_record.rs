//! Stored record of an epoch: its state and the witnesses that are asked for its totals
//! before its grants are closed.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::EpochId;

/// Version of the encoding, the first byte of every record.
const EPOCH_VERSION: u8 = 1;

/// Returns the key of an epoch's record.
pub fn epoch_key(epoch: EpochId) -> String {
    format!("epoch/{epoch}")
}

/// State of an epoch, which says whether its grants may be spent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum EpochState {
    /// The holder spends under the epoch.
    #[display("open")]
    Open,
    /// Its witnesses are being asked for its totals.
    #[display("closing")]
    Closing,
    /// Every grant of the epoch is settled.
    #[display("closed")]
    Closed,
    /// A witness has lost its receipts: what is not settled stays counted as spent.
    #[display("unwitnessed")]
    Unwitnessed,
}

/// Sidecar incarnation at which an epoch may spend.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Witness {
    /// Host name of the sidecar.
    pub name: String,
    /// Address at which the sidecar answers peers.
    pub address: SocketAddr,
    /// Incarnation of the sidecar process that has the receipts.
    pub incarnation: u64,
}

/// Value of an epoch's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// State of the epoch.
    pub state: EpochState,
    /// Host name of the holder.
    pub host: String,
    /// Witnesses, sorted.
    pub witnesses: Vec<Witness>,
}

impl EpochRecord {
    /// Decodes a record; returns `None` if its encoding is unknown.
    pub fn decode(bytes: &[u8]) -> Option<EpochRecord> {
        let (version, body) = bytes.split_first()?;
        if *version != EPOCH_VERSION {
            return None;
        }
        postcard::from_bytes(body).ok()
    }

    /// Encodes the record for [`EpochRecord::decode`].
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![EPOCH_VERSION]).expect("a record can be encoded")
    }
}
