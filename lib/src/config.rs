//! Configuration of the fleet: workspaces, budgets, routes and targets.

mod diff;
mod folder;
mod handle;
mod model;
mod parts;
mod references;
mod render;
mod sections;
mod spread;
mod spread_system;
pub mod store;
mod topology;
mod update;

pub use diff::{Difference, DifferenceKind};
pub use folder::ConfigFolder;
pub use handle::ConfigHandle;
pub use model::*;
pub use parts::{
    ChangeSummary, CodecError, EncodedPart, Head, MAX_PART_BYTES, Part, PartDigest, PartRef, Table,
};
pub use spread::{ConfigNode, ConfigPeerHandler, ConfigSpread, SpreadParams};
pub use spread_system::{QUESTION_WAIT_MS, SpreadEffect, SpreadEvent, SpreadSystem};
pub use store::StoredConfig;
pub use topology::{Place, WATCHERS, first_watchers, place};
pub use update::PendingUpdate;
