//! `rosemarymoord`, the daemon.

fn main() {}
