//! Core library of a request router fleet with prepaid token budgets.
//!
//! It contains the decision logic for budgets, claims, routing, limits and
//! configuration, and the messages between processes. It contains no HTTP
//! server: the daemon and the command line are thin front ends over it.
//!
//! Decision logic performs no I/O: a [`control::System`] maps its state, an event
//! and the current time to effects, which a driver executes.

pub mod admission;
pub mod answer_store;
pub mod answer_traffic;
pub mod answer_usage;
pub mod budget;
pub mod claim;
pub mod config;
pub mod control;
pub mod counted_stream;
pub mod dispatch;
pub mod fencing;
pub mod fleet_key;
pub mod gate;
pub mod head_memory;
pub mod host_list;
pub mod host_list_http;
pub mod host_watcher;
pub mod http_client;
pub mod id;
pub mod ini;
pub mod kv_feed;
pub mod kv_http;
pub mod kv_store;
pub mod limit_notice;
mod number_type;
pub mod peer_memory;
pub mod permit_bucket;
pub mod placement;
pub mod poison;
pub mod prompt_parts;
pub mod request_bound;
pub mod request_identity;
pub mod result_code;
pub mod routing;
pub mod target_client;
mod target_connection;
pub mod target_http;
pub mod time;
pub mod transport;
pub mod wire;
pub mod workspace_key;
