//! Open-loop load generator of the measures: calls start at a given rate, whether or
//! not earlier ones have finished.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

use crate::caller::{Call, CallRecord, Callers};

/// Rate and duration of a load.
#[derive(Clone, Copy, Debug)]
pub struct Arrivals {
    /// Seed of the arrival times, the calls and their entries.
    pub seed: u64,
    /// Mean number of requests per second.
    pub rate: u64,
    /// Time in which calls are started.
    pub duration: Duration,
}

/// Runs a load and returns the records of all calls once the last has ended.
///
/// `make_call` builds the call with the given number, counted from zero.
pub async fn run(
    callers: &Callers,
    arrivals: Arrivals,
    mut make_call: impl FnMut(&mut SmallRng, u64) -> Call,
) -> Vec<CallRecord> {
    let mut rng = SmallRng::seed_from_u64(arrivals.seed);
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut running = JoinSet::new();
    let mut number = 0;
    while due < arrivals.duration {
        // An overdue call starts at once, so that the mean rate holds.
        tokio::time::sleep_until((start + due).into()).await;
        let call = make_call(&mut rng, number);
        let first_entry = rng.random_range(0..callers.entry_count());
        let callers = callers.clone();
        running.spawn(async move { callers.call(call, first_entry).await });
        number += 1;
        due += interarrival_time(&mut rng, arrivals.rate);
    }
    running.join_all().await
}

/// Returns a random, exponentially distributed time between two arrivals, for a mean
/// of `rate` arrivals per second.
fn interarrival_time(rng: &mut SmallRng, rate: u64) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate as f64)
}
