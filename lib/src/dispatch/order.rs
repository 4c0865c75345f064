//! Which requests go first, and which are refused, when there is too little room.
//!
//! [`urgency`] orders requests at a target, [`room`] decides what becomes of them when there is too little
//! room, and [`wait_queue`] holds those that wait at the entry. [`load_shedder`] says which share an entry
//! that cannot keep up has to refuse, and [`shed_order`] which requests these are, by the traffic in
//! [`workspace_rates`] and [`early_repeats`]. [`stop_admission`] says which requests an entry that stops
//! still takes, by how long the latest answers took, in [`answer_times`].

pub mod answer_times;
pub mod early_repeats;
pub mod load_shedder;
pub mod room;
pub mod shed_order;
pub mod stop_admission;
pub mod urgency;
pub mod wait_queue;
pub mod workspace_rates;
