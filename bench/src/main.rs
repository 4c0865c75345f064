//! `rosemarymoor-bench`, stand-ins and measures.

fn main() {}
