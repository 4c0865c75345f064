//! What the fleet knows of its targets' load: [`known`] keeps it in each process, which reads it from
//! another one's [`board`] as [`news`], with the cached prompt parts of [`parts`], and takes it in by
//! [`update`]. [`prefill_meter`] measures a target's prefill rate beside it.

pub mod board;
pub mod known;
pub mod news;
pub mod parts;
pub mod prefill_meter;
pub mod update;
