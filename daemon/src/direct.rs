//! Direct delivery on the platform: an entry before the callers that speaks
//! with targets itself, and budget servers beside the targets.
//!
//! A budget server holds the ceilings of the budgets that rendezvous hashing
//! gives to it, and passes calls to the store on for entries that are cut off
//! from it. Entries hold money of their own when no budget server answers.

pub mod attempt;
pub mod budget_client;
pub mod budget_server;
pub mod ceilings;
pub mod context;
pub mod deliver;
pub mod entry;
pub mod feed;
pub mod handler;
pub mod listener;
pub mod metrics;
pub mod peers;
pub mod poison;
pub mod refusal;
pub mod settings;
pub mod store_path;
pub mod stream;
