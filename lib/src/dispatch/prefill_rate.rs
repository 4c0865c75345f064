//! Learns how fast the engines of a service prefill, from the first answers to this entry.
//!
//! A service's pace is a line through the times of its first answers over the work of their
//! prompts, by least squares with fading weights: its slope is the time for a token and its start
//! is the time for an answer without a prompt. A target's speed is how its answers compare with
//! the line. A few assumed answers keep the line in place until there are enough of them, and
//! an answer that waited for long counts as a multiple of its expected time at most.

/// Prefill rate that is assumed before any answer, in tokens per millisecond.
const ASSUMED_TOKENS_PER_MS: f64 = 50.0;

/// Time to an answer without a prompt that is assumed before any answer, in milliseconds.
const ASSUMED_BASE_MS: f64 = 120.0;

/// Work of the assumed answers, in tokens; each of the two counts as `ASSUMED_WEIGHT` answers.
const ASSUMED_WORK: [f64; 2] = [0.0, 16_000.0];
const ASSUMED_WEIGHT: f64 = 2.0;

/// Factor of an answer's weight for each later answer.
const DECAY: f64 = 0.99;

/// Largest multiple of the expected time as which an answer counts.
const MAX_EXCESS: f64 = 3.0;

/// Bounds of a service's prefill rate, in tokens per millisecond.
const RATE_BOUNDS: (f64, f64) = (2.0, 1_000.0);

/// Bounds of a service's time to an answer without a prompt, in milliseconds.
const BASE_BOUNDS_MS: (f64, f64) = (1.0, 1_000.0);

/// Weight of the newest answer in a target's speed.
const SPEED_WEIGHT: f64 = 0.15;

/// Bounds of a target's speed, as a multiple of its service's.
const SPEED_BOUNDS: (f64, f64) = (0.3, 3.0);

/// Prefill rate and time to an answer without a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    pub base_ms: f64,
    pub tokens_per_ms: f64,
}

impl Pace {
    /// Returns the expected time to the first answer without a wait, in milliseconds.
    pub fn first_answer_ms(&self, work_tokens: f64) -> f64 {
        self.base_ms + work_tokens / self.tokens_per_ms
    }
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { base_ms: ASSUMED_BASE_MS, tokens_per_ms: ASSUMED_TOKENS_PER_MS }
    }
}

/// Pace of a service's engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServicePace {
    /// Sums over the answers: weight, work, time, squared work, work times time.
    sums: [f64; 5],
    pace: Pace,
}

impl ServicePace {
    /// Returns the pace that is learned so far.
    pub fn pace(&self) -> Pace {
        self.pace
    }

    /// Takes in an answer to a request that waited for nothing known.
    pub fn learn(&mut self, work_tokens: f64, elapsed_ms: f64) {
        let limit_ms = self.pace.first_answer_ms(work_tokens) * MAX_EXCESS;
        let elapsed_ms = elapsed_ms.min(limit_ms);
        self.sums = self.sums.map(|sum| sum * DECAY);
        add(&mut self.sums, 1.0, work_tokens, elapsed_ms);
        self.pace = fit(self.sums);
    }
}

fn add(sums: &mut [f64; 5], weight: f64, work: f64, ms: f64) {
    let terms = [1.0, work, ms, work * work, work * ms];
    for (sum, term) in sums.iter_mut().zip(terms) {
        *sum += weight * term;
    }
}

/// Returns the line through the answers and the assumed ones.
fn fit(mut sums: [f64; 5]) -> Pace {
    let assumed = Pace::default();
    for work in ASSUMED_WORK {
        add(&mut sums, ASSUMED_WEIGHT, work, assumed.first_answer_ms(work));
    }
    let [weight, work, ms, work_squared, work_ms] = sums;
    let ms_per_token = (weight * work_ms - work * ms) / (weight * work_squared - work * work);
    let (min_rate, max_rate) = RATE_BOUNDS;
    let ms_per_token = ms_per_token.clamp(1.0 / max_rate, 1.0 / min_rate);
    let base_ms = (ms - work * ms_per_token) / weight;
    Pace {
        base_ms: base_ms.clamp(BASE_BOUNDS_MS.0, BASE_BOUNDS_MS.1),
        tokens_per_ms: 1.0 / ms_per_token,
    }
}

/// Speed of a target in relation to its service.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetSpeed {
    /// Natural logarithm of the speed.
    log: f64,
}

impl TargetSpeed {
    /// Returns the speed; 1 is the service's mean.
    pub fn factor(&self) -> f64 {
        self.log.exp()
    }

    /// Takes in an answer to a request that waited for nothing known.
    pub fn learn(&mut self, expected_ms: f64, elapsed_ms: f64) {
        let (min, max) = SPEED_BOUNDS;
        let speed = (expected_ms / elapsed_ms.max(1.0)).clamp(min, max);
        self.log += (speed.ln() - self.log) * SPEED_WEIGHT;
    }
}
