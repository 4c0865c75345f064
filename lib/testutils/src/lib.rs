//! Test support: stand-ins for the platform, a fault proxy and fleets of real processes.
//!
//! Every stand-in is a small HTTP server on a loopback port. Its handle injects faults and
//! returns the calls that the stand-in received. Tests and the bench verify the product
//! against these records and not against its own counters, which may share its faults.

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
