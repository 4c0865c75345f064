//! Messages between the fleet's processes.
//!
//! Each message is one frame: a version byte and a postcard-encoded type. A
//! connection carries one stream a request; the first frame is a
//! [`PeerRequest`], and what follows depends on its variant.

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

/// Version of the encoding, first byte of every frame.
pub const WIRE_VERSION: u8 = 1;

/// Largest frame that a process accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 20 << 20;

/// First message on a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Runs a request at a sidecar; answered by [`RunEnvelope`]s.
    Run(Box<RunRequest>),
    /// Takes up the answer of a running or finished request again.
    Resume(ResumeRequest),
    /// Asks what a sidecar knows of a request; answered by [`RequestRecord`].
    Lookup(LookupRequest),
    /// Exchanges money with an entry; answered by [`PeerSync`].
    Budget(Box<PeerSync>),
    /// Enrols an epoch at a sidecar or closes it; answered by [`WitnessReply`].
    Witness(WitnessRequest),
    /// Asks for a newer configuration; answered by [`ConfigReply`].
    Config(ConfigRequest),
    /// Asks for parts of a configuration; answered by [`PartReply`]s.
    ConfigParts(PartsRequest),
    /// Gives a sidecar's target an order; answered by [`OrderReply`].
    Order(Box<OrderRequest>),
    /// Asks a sidecar for its target's load report; answered by [`LoadReply`].
    Load,
    /// Tells a sidecar of requests that crash targets; answered by [`PoisonReply`].
    Poison(PoisonNotice),
    /// Asks for the state of a process; answered by [`StatusReply`].
    Status,
    /// Asks a process to drain and stop; answered by [`StatusReply`].
    Drain,
}
