//! Configuration of the fleet: workspaces, budgets, routes and targets.
//!
//! An operator writes a folder of INI files ([`ConfigFolder`]), which is checked
//! and stored as a numbered revision ([`store`]). Hosts propagate each revision
//! to each other ([`ConfigPropagation`]) and publish it to their request paths
//! ([`ConfigHandle`]).

mod diff;
mod folder;
mod handle;
mod model;
mod parts;
mod propagation;
mod propagation_system;
mod references;
mod render;
mod sections;
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
pub use propagation::{ConfigNode, ConfigPeerHandler, ConfigPropagation, PropagationParams};
pub use propagation_system::{
    LONG_POLL_WAIT_MS, PropagationEffect, PropagationEvent, PropagationSystem,
};
pub use store::StoredConfig;
pub use topology::{ConfigSources, WATCHERS_PER_DATA_CENTER, bootstrap_watchers, select_sources};
pub use update::PendingUpdate;
