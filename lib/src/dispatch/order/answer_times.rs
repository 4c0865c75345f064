//! How long the answers of each route took lately. By it an entry that stops knows which requests it can
//! still answer.
//!
//! The load it answers: callers go on sending on their open connections until the balancer has noticed
//! that the entry stops. An answer that the end of the process would cut is worse than a refusal, after
//! which the caller goes to another entry at once; but that one may stop as well, so that what is nearly
//! certain to end is taken.

use std::collections::VecDeque;

use crate::time::Millis;

/// Number of answers that are remembered for each route.
const MAX_ANSWERS: usize = 32;

/// Share of the latest answers that have to have ended in time, in percent.
const IN_TIME_PERCENT: usize = 90;

/// Maximum number of routes; the one without an answer for the longest time makes way.
const MAX_ROUTES: usize = 256;

/// Latest answers of one route.
#[derive(Debug)]
struct RouteTimes {
    route: String,
    /// Times from arrival to end in milliseconds, oldest first.
    took_ms: VecDeque<u64>,
    updated_at: Millis,
}

/// Times of the latest answers.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    /// Sorted by route.
    routes: Vec<RouteTimes>,
}

impl AnswerTimes {
    /// Records an answer that was complete after `took_ms` milliseconds.
    pub fn record(&mut self, route: &str, took_ms: u64, now: Millis) {
        let at = self.open_route(route, now);
        let times = &mut self.routes[at];
        if times.took_ms.len() >= MAX_ANSWERS {
            times.took_ms.pop_front();
        }
        times.took_ms.push_back(took_ms);
        times.updated_at = now;
    }

    /// Returns whether a request of a route is likely to end within `left_ms` milliseconds: nearly all of
    /// the latest answers did. One without answers is taken to.
    pub fn ends_within(&self, route: &str, left_ms: u64) -> bool {
        let Ok(at) = self.position(route) else { return true };
        let took_ms = &self.routes[at].took_ms;
        let in_time = took_ms.iter().filter(|took_ms| **took_ms <= left_ms).count();
        in_time * 100 >= took_ms.len() * IN_TIME_PERCENT
    }

    fn position(&self, route: &str) -> Result<usize, usize> {
        self.routes.binary_search_by(|times| times.route.as_str().cmp(route))
    }

    /// Returns the index of a route, which is added if it is missing.
    fn open_route(&mut self, route: &str, now: Millis) -> usize {
        if self.position(route).is_err() && self.routes.len() >= MAX_ROUTES {
            self.evict();
        }
        self.position(route).unwrap_or_else(|at| {
            let times =
                RouteTimes { route: route.to_owned(), took_ms: VecDeque::new(), updated_at: now };
            self.routes.insert(at, times);
            at
        })
    }

    fn evict(&mut self) {
        let oldest = self.routes.iter().map(|times| times.updated_at).min();
        if let Some(at) = self.routes.iter().position(|times| Some(times.updated_at) == oldest) {
            self.routes.remove(at);
        }
    }
}
