//! `rosemarymoor`, the command line.

fn main() {}
