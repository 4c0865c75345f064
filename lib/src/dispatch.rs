//! Routing state and decisions for requests that an entry sends directly to a
//! target, without a sidecar.
//!
//! The modules do no I/O: they work on tables, events and the time passed in.
//! [`catalog`] holds the routes, services and caller keys, [`targets`] the
//! registered targets and their observed state. [`choice`] selects a target by its
//! [`placement_cost`], with the rendezvous order of [`rank`], what [`cache_belief`] says of the
//! [`prompt`] and the rates that [`prefill_rate`] learns; [`retry_budget`] limits retries, and
//! [`rerun`] decides when a request leaves a target that does not answer, by the signs of life in
//! [`heard_targets`];
//! [`evacuations`] knows the data centres whose targets get nothing new, [`regions`] where
//! requests with allowed regions may go, and [`cold_start`] which targets take few requests yet;
//! [`refusal_backoff`] spares targets that turn requests away; [`crash_tracker`] finds requests and parts
//! of prompts that crash targets, with [`recent_suspects`] for what has completed; [`retry_after`]
//! computes the delay that refused callers are given; [`urgency`] orders requests at a target, [`room`]
//! decides what becomes of them when there is too little room, with [`wait_queue`] for those that wait
//! at the entry and [`shed_order`] for the order in which an entry that cannot keep up refuses them, by
//! the traffic in [`workspace_rates`] and [`early_repeats`]; [`answer_times`] tells an entry that stops
//! which requests it can still answer;
//! [`known_load`] keeps what the fleet knows of a target's load, which processes read from each
//! other's [`load_board`] as [`load_news`], with the cached prompt parts of [`load_parts`] and the
//! prefill rate of [`prefill_meter`]; [`target_limit`] knows
//! how many requests a target takes, and [`send_permits`] issues the permits to send them; [`event_stream`] splits an
//! answer into server-sent events, and [`stream_origins`] knows which software version
//! began a stream.

pub mod answer_times;
pub mod cache_belief;
pub mod catalog;
pub mod choice;
pub mod cold_start;
pub mod cold_targets;
mod crash_moments;
mod crash_row;
pub mod crash_tracker;
pub mod early_repeats;
pub mod evacuations;
pub mod event_stream;
pub mod heard_targets;
pub mod known_limit;
pub mod known_load;
pub mod load_board;
pub mod load_news;
pub mod load_parts;
pub mod load_shedder;
pub mod load_update;
pub mod placement_cost;
pub mod prefill_meter;
pub mod prefill_rate;
pub mod prompt;
pub mod rank;
pub mod recent_suspects;
pub mod refusal_backoff;
pub mod regions;
pub mod rerun;
pub mod retry_after;
pub mod retry_budget;
pub mod room;
pub mod send_permits;
pub mod shed_order;
pub mod stream_origins;
pub mod target_limit;
pub mod target_process;
pub mod targets;
pub mod urgency;
pub mod wait_queue;
pub mod workspace_rates;
