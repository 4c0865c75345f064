//! Configuration of the fleet: workspaces, budgets, routes and targets.

mod model;

pub use model::*;
