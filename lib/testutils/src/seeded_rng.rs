//! Seeded random numbers for stand-ins, test load and injected faults, so that a seed
//! repeats the same sequence of decisions.

use std::sync::Mutex;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Random number generator with a fixed seed that several tasks share.
#[derive(Debug)]
pub struct SeededRng {
    rng: Mutex<SmallRng>,
}

impl SeededRng {
    /// Returns a generator at the start of the sequence of `seed`.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng { rng: Mutex::new(SmallRng::seed_from_u64(seed)) }
    }

    /// Returns true with the given probability, from 0 to 1.
    ///
    /// A probability of 0 takes no number from the sequence.
    pub fn random_bool(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.lock().expect("no holder panics").random_bool(probability)
    }

    /// Returns a number from 0 to `bound` - 1.
    ///
    /// # Panics
    ///
    /// Panics if `bound` is 0.
    pub fn random_below(&self, bound: u64) -> u64 {
        self.rng.lock().expect("no holder panics").random_range(0..bound)
    }
}
