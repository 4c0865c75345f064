//! Stand-ins for the platform, a fault proxy and a fleet of real processes.
//!
//! Every stand-in is a small HTTP server on a loopback port with a handle that
//! sets faults and reads back what it saw. Tests and the bench judge the product
//! by what the stand-ins saw, never by the product's own counters.

pub mod application;
pub mod engine;
pub mod fault_proxy;
pub mod fleet;
pub mod host_list;
pub mod kv;
pub mod marker;
pub mod process;
pub mod seeded_rng;
pub mod server;
pub mod temp_folder;
