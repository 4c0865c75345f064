//! Messages between the fleet's processes.
//!
//! A frame holds one message: a version byte and a value in postcard encoding.
//! Each request uses a stream of its own; its first message is a [`PeerRequest`],
//! whose variant determines the messages that follow.

mod admin;
mod budget;
mod config;
mod poison;
mod run;

pub use admin::*;
pub use budget::*;
pub use config::*;
pub use poison::*;
pub use run::*;

use serde::{Deserialize, Serialize};

/// Version of the encoding, the first byte of every frame.
pub const WIRE_VERSION: u8 = 1;

/// Maximum size of a frame that a process accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 20 << 20;

/// First message on a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Runs a request at a sidecar; answered by [`RunEnvelope`]s.
    Run(Box<RunRequest>),
    /// Resumes the answer of a running or finished request; answered by [`RunEnvelope`]s.
    Resume(ResumeRequest),
    /// Asks a sidecar for the state of a request; answered by [`RequestRecord`].
    Lookup(LookupRequest),
    /// Exchanges budget tokens with an entry; answered by [`PeerSync`].
    Budget(Box<PeerSync>),
    /// Registers an epoch at a sidecar or closes it; answered by [`WitnessReply`].
    Witness(WitnessRequest),
    /// Asks for a newer configuration; answered by [`ConfigReply`].
    Config(ConfigRequest),
    /// Asks for parts of a configuration; answered by [`PartReply`]s.
    ConfigParts(PartsRequest),
    /// Sends an order to a sidecar's target; answered by [`OrderReply`].
    Order(Box<OrderRequest>),
    /// Asks a sidecar for its target's load report; answered by [`LoadReply`].
    Load,
    /// Informs a sidecar of requests that crash targets; answered by [`PoisonReply`].
    Poison(PoisonNotice),
    /// Asks for the state of a process; answered by [`StatusReply`].
    Status,
    /// Asks a process to drain and stop; answered by [`StatusReply`].
    Drain,
}
