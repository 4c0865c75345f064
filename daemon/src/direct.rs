//! Direct delivery on the platform: entries that receive callers' requests and send them to
//! targets themselves, and budget servers that run beside the targets.
//!
//! A budget server holds the ceilings of the budgets that rendezvous hashing assigns to it,
//! and relays store calls for entries that cannot reach the store. An entry reserves tokens
//! under ceilings of its own while no budget server answers.

pub mod attempt;
pub mod attempts;
pub mod begun_stream_guard;
pub mod begun_streams;
pub mod budget_client;
pub mod budget_server;
pub mod call;
pub mod ceilings;
pub mod context;
pub mod deliver;
pub mod draws;
pub mod entry;
pub mod entry_feeds;
pub mod entry_metrics;
pub mod entry_process;
pub mod event_reader;
pub mod feed;
pub mod fleet_keys;
pub mod grant_witnesses;
pub mod handler;
pub mod listener;
pub mod load_client;
pub mod load_collector;
pub mod load_monitor;
pub mod load_reader;
pub mod load_server;
pub mod metrics;
pub mod overload;
pub mod peer_client;
pub mod peers;
pub mod poison;
pub mod poison_publisher;
pub mod poison_reports;
pub mod prediction;
pub mod process_check;
pub mod refusal;
pub mod rerun;
pub mod reservation;
pub mod reserving;
pub mod resumption;
pub mod room;
pub mod send_permits;
pub mod server_stop;
pub mod settings;
pub mod settlement_queue;
pub mod shared_watch;
pub mod stop;
pub mod stop_check;
pub mod store_path;
pub mod stream;
pub mod stream_form;
pub mod target_limits;
pub mod target_watch;
pub mod traffic;
pub mod trials;
pub mod turn;
pub mod waiting;
