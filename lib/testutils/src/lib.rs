//! Stand-ins, fault proxy and process launcher for tests and bench.
