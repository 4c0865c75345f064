//! Limits the retries of one entry, so that the fleet stays within its retry budget.
//!
//! The fleet's budget is a share of the requests in a time window plus a constant.
//! Each entry uses the share of its own requests and an equal part of the constant,
//! without coordination.

use crate::time::Millis;

/// Percentage of the budget that an entry uses.
///
/// The remainder covers differences between the entries' windows and entries that are not
/// listed yet.
const USABLE_PERCENT: u64 = 70;

/// Retry limits of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window in addition to the ratio.
    pub constant: u64,
    /// Length of the sliding window in milliseconds.
    pub window_ms: u64,
}

/// Requests and retries of one service in the current window.
#[derive(Clone, Debug, Default)]
struct ServiceWindow {
    service: String,
    /// Times of the requests, oldest first.
    requests: Vec<Millis>,
    /// Times of the retries, oldest first.
    retries: Vec<Millis>,
}

/// Retry budget of one entry, by service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: FleetRetryLimits,
    /// Sorted by service.
    windows: Vec<ServiceWindow>,
}

impl RetryBudget {
    /// Creates a budget without any recorded request.
    pub fn open(limits: FleetRetryLimits) -> RetryBudget {
        RetryBudget { limits, windows: Vec::new() }
    }

    /// Replaces the fleet's limits.
    pub fn set_limits(&mut self, limits: FleetRetryLimits) {
        self.limits = limits;
    }

    /// Records a caller's request for a service.
    pub fn record_request(&mut self, service: &str, now: Millis) {
        let window_ms = self.limits.window_ms;
        let window = self.window(service);
        window.expire(now, window_ms);
        window.requests.push(now);
    }

    /// Records a retry and returns true if the budget allows it; `entry_count` is the number of
    /// entries in the fleet.
    pub fn try_retry(&mut self, service: &str, entry_count: u64, now: Millis) -> bool {
        if !self.allows_retry(service, entry_count, now) {
            return false;
        }
        self.window(service).retries.push(now);
        true
    }

    /// Returns whether the budget allows one more retry, without recording it.
    pub fn allows_retry(&mut self, service: &str, entry_count: u64, now: Millis) -> bool {
        let limits = self.limits;
        let window = self.window(service);
        window.expire(now, limits.window_ms);
        let proportional = window.requests.len() as f64 * limits.ratio;
        let constant = limits.constant / entry_count.max(1);
        let allowed = (proportional + constant as f64) * USABLE_PERCENT as f64 / 100.0;
        window.retries.len() as f64 + 1.0 <= allowed
    }

    fn window(&mut self, service: &str) -> &mut ServiceWindow {
        let at = match self.windows.binary_search_by(|window| window.service.as_str().cmp(service))
        {
            Ok(at) => at,
            Err(at) => {
                let window = ServiceWindow { service: service.to_owned(), ..Default::default() };
                self.windows.insert(at, window);
                at
            }
        };
        &mut self.windows[at]
    }
}

impl ServiceWindow {
    fn expire(&mut self, now: Millis, window_ms: u64) {
        let is_expired = |at: &Millis| now.since(*at) >= window_ms;
        let requests = self.requests.iter().take_while(|at| is_expired(at)).count();
        self.requests.drain(..requests);
        let retries = self.retries.iter().take_while(|at| is_expired(at)).count();
        self.retries.drain(..retries);
    }
}
