//! Open load: requests arrive at a rate, whatever became of those before.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

use crate::caller::{Call, CallRecord, Callers};

/// How many requests arrive for how long.
#[derive(Clone, Copy, Debug)]
pub struct Arrivals {
    pub seed: u64,
    /// Requests a second.
    pub rate: u64,
    pub length: Duration,
}

/// Runs a load; `next` makes the request with the given number.
pub async fn run(
    callers: &Callers,
    arrivals: Arrivals,
    mut next: impl FnMut(&mut SmallRng, u64) -> Call,
) -> Vec<CallRecord> {
    let mut rng = SmallRng::seed_from_u64(arrivals.seed);
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut running = JoinSet::new();
    let mut number = 0;
    while due < arrivals.length {
        // A call that is due in the past starts at once, so that the rate holds.
        tokio::time::sleep_until((start + due).into()).await;
        let call = next(&mut rng, number);
        let first_entry = rng.random_range(0..callers.entries());
        let callers = callers.clone();
        running.spawn(async move { callers.call(call, first_entry).await });
        number += 1;
        due += gap(&mut rng, arrivals.rate);
    }
    running.join_all().await
}

/// Exponential gap between two arrivals.
fn gap(rng: &mut SmallRng, rate: u64) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate as f64)
}
