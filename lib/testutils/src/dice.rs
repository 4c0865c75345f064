//! Seeded random decisions of the stand-ins.

use std::sync::Mutex;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Source of seeded decisions that several tasks share.
#[derive(Debug)]
pub struct Dice {
    rng: Mutex<SmallRng>,
}

impl Dice {
    /// Starts the sequence of `seed`.
    pub fn new(seed: u64) -> Dice {
        Dice { rng: Mutex::new(SmallRng::seed_from_u64(seed)) }
    }

    /// True with the given probability.
    pub fn roll(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.lock().expect("no holder panics").random_bool(probability)
    }

    /// Number below `bound`.
    pub fn below(&self, bound: u64) -> u64 {
        self.rng.lock().expect("no holder panics").random_range(0..bound)
    }
}
