//! Decisions about requests that go to targets directly, without a sidecar.
//!
//! The modules are pure: they take tables, an event and the time, and know no
//! network. [`catalog`] says what callers may ask for, [`targets`] who can
//! serve it, [`choice`] which of them should, [`retry_budget`] whether another
//! try is allowed, and [`event_stream`] where a stream of events can be cut.

pub mod catalog;
pub mod choice;
pub mod crash_tracker;
pub mod event_stream;
pub mod rank;
pub mod retry_after;
pub mod retry_budget;
pub mod targets;
