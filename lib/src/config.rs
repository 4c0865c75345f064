//! Configuration of the fleet: workspaces, budgets, routes and targets.

mod handle;
mod model;

pub use handle::ConfigHandle;
pub use model::*;
