//! Routing state and decisions for requests that an entry sends directly to a
//! target, without a sidecar.
//!
//! The modules do no I/O: they work on tables, events and the time passed in. In the order
//! of their questions:
//!
//! - **Known of targets**: [`catalog`] holds the routes, services and caller keys, [`targets`] the
//!   registered targets and their observed state, [`load`] what the fleet knows of their load, and
//!   [`heard_targets`] their signs of life.
//! - **What a request may do there**: [`evacuations`] knows the data centres whose targets get nothing new,
//!   [`regions`] where requests with allowed regions may go, [`cold_start`] which targets take few requests
//!   yet, [`target_limit`] how many a target takes, and [`send_permits`] issues the permits to send them;
//!   [`refusal_backoff`] spares targets that turn requests away.
//! - **Who goes first**: [`order`].
//! - **Where**: [`choice`] selects a target by a request's [`criteria`] and its [`placement_cost`], with
//!   the rendezvous order of [`rank`], what [`cache_belief`] says of the [`prompt`] and the rates that
//!   [`prefill_rate`] learns.
//! - **After a failure**: [`retry_budget`] limits retries, [`rerun`] decides when a request leaves a target
//!   that does not answer, [`crash`] finds what crashes targets, and [`retry_after`] computes the delay that
//!   refused callers are given; [`event_stream`] splits an answer into server-sent events,
//!   [`event_order`] says which of them come next in a stream that was resumed, and [`stream_origins`]
//!   knows which software version began it.

pub mod cache_belief;
pub mod catalog;
pub mod choice;
pub mod cold_start;
pub mod cold_targets;
pub mod crash;
pub mod criteria;
pub mod evacuations;
pub mod event_order;
pub mod event_stream;
pub mod heard_targets;
pub mod known_limit;
pub mod load;
pub mod order;
pub mod placement_cost;
pub mod prefill_rate;
pub mod prompt;
pub mod rank;
pub mod refusal_backoff;
pub mod regions;
pub mod rerun;
pub mod retry_after;
pub mod retry_budget;
pub mod send_permits;
pub mod stream_origins;
pub mod target_limit;
pub mod target_process;
pub mod targets;
