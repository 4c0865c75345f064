//! Order in which an entry that cannot keep up refuses requests.
//!
//! Each priority is a class. Requests beyond a workspace's usual rate, and those repeated before
//! their retry delay is over, form a second set of classes after all others. The last classes are
//! refused first, but each request is served with at least [`MIN_SERVED`] of the overall chance, so
//! that no class is starved. Within a class, requests of little work are served more often.

use std::collections::VecDeque;

/// Number of the latest requests by which the place of a class is measured.
const WINDOW: usize = 128;

/// Number of requests below which the order is not known.
const MIN_WINDOW: usize = 16;

/// Number of classes of priorities, and of all classes.
const PRIORITIES: u8 = 10;
const CLASSES: usize = 2 * PRIORITIES as usize;

/// Part of the served share that each request keeps.
const MIN_SERVED: f64 = 0.5;

/// Bounds of the factor by which work changes the floor.
const MIN_WORK_FACTOR: f64 = 0.8;
const MAX_WORK_FACTOR: f64 = 1.2;

/// Weight of the newest request in a class's mean work.
const WORK_WEIGHT: f64 = 0.05;

/// Work of an output token in tokens of the prompt.
const OUTPUT_WEIGHT: u64 = 10;

/// Returns the work of a request in tokens of the prompt.
///
/// The caller's estimate of the output, which is often far off, counts as far as the bound of the output
/// allows; without one half of the bound does.
pub fn work(input: u64, max_output: u64, length_hint: Option<u64>) -> u64 {
    let output = length_hint.unwrap_or(max_output / 2).min(max_output);
    input.saturating_add(output.saturating_mul(OUTPUT_WEIGHT))
}

/// What the order of a request depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// Priority, 0 is the highest.
    pub priority: u8,
    /// Whether it exceeds its workspace's usual rate, or comes again too early.
    pub is_excess: bool,
    /// Work that it needs, in tokens.
    pub work: u64,
}

impl RequestClass {
    /// Returns the class, the first one is refused last.
    pub fn class(&self) -> u8 {
        let class = self.priority.min(PRIORITIES - 1);
        if self.is_excess { class + PRIORITIES } else { class }
    }
}

/// Classes of the latest requests, with their mean work.
#[derive(Clone, Debug, Default)]
pub struct ShedOrder {
    window: VecDeque<u8>,
    counts: [usize; CLASSES],
    mean_work: [f64; CLASSES],
}

impl ShedOrder {
    /// Records a request, whether it will be refused or not.
    pub fn record(&mut self, standing: &RequestClass) {
        let class = usize::from(standing.class());
        if self.window.len() >= WINDOW
            && let Some(oldest) = self.window.pop_front()
        {
            self.counts[usize::from(oldest)] -= 1;
        }
        self.window.push_back(standing.class());
        self.counts[class] += 1;
        let mean = &mut self.mean_work[class];
        let work = standing.work as f64;
        *mean = if *mean == 0.0 { work } else { *mean + (work - *mean) * WORK_WEIGHT };
    }

    /// Returns whether a request is refused while `share` of all requests has to be; `random` is
    /// uniformly distributed.
    pub fn is_refused(&self, standing: &RequestClass, share: f64, random: u64) -> bool {
        if share <= 0.0 {
            return false;
        }
        let tie_break = (random & 0xffff) as f64 / 65_536.0;
        let chance = (random >> 16 & 0xffff) as f64 / 65_536.0;
        if self.window.len() < MIN_WINDOW {
            return tie_break < share;
        }
        let served = 1.0 - share;
        let floor = served * MIN_SERVED;
        // Those before this place are all served, the others by their floor: in sum `served`.
        let all_served_until = (served - floor) / (1.0 - floor);
        if self.place(standing, tie_break) < all_served_until {
            return false;
        }
        chance >= floor * self.work_factor(standing)
    }

    /// Returns the place of a request among the latest ones, from 0 for the first to 1.
    fn place(&self, standing: &RequestClass, tie_break: f64) -> f64 {
        let class = usize::from(standing.class());
        let before: usize = self.counts[..class].iter().sum();
        (before as f64 + tie_break * self.counts[class] as f64) / self.window.len() as f64
    }

    fn work_factor(&self, standing: &RequestClass) -> f64 {
        let mean = self.mean_work[usize::from(standing.class())];
        (mean / standing.work.max(1) as f64).clamp(MIN_WORK_FACTOR, MAX_WORK_FACTOR)
    }
}
