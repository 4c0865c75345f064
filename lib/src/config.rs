//! Configuration of the fleet: workspaces, budgets, routes and targets.

mod diff;
mod folder;
mod follower;
mod handle;
mod model;
mod parts;
mod references;
mod render;
mod sections;
pub mod store;

pub use diff::{Difference, DifferenceKind};
pub use folder::ConfigFolder;
pub use follower::ConfigFollower;
pub use handle::ConfigHandle;
pub use model::*;
pub use parts::{
    ChangeSummary, CodecError, EncodedPart, Head, MAX_PART_BYTES, Part, PartDigest, PartRef, Table,
};
