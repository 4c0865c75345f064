//! What crashes targets: [`tracker`] finds the requests and the parts of prompts that do, [`suspect`]
//! names them between processes, and [`recent_suspects`] remembers those that have completed.

mod moments;
pub mod recent_suspects;
mod row;
pub mod suspect;
pub mod tracker;
