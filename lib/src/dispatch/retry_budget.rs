//! Retries that one entry may send, so that the fleet stays within its budget.
//!
//! The fleet's budget is a share of the requests of a window plus a constant.
//! Each entry keeps to the share of its own requests and to its part of the
//! constant, without asking the others.

use crate::time::Millis;

/// Part of the fleet's budget that entries use, for requests that reach a
/// window of another entry's clock and for hosts that are not listed yet.
const USED_PERCENT: u64 = 70;

/// Budget of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetryLimits {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries that are allowed beside the ratio.
    pub constant: u64,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
}

/// Requests and retries of one service in the current window.
#[derive(Clone, Debug, Default)]
struct ServiceWindow {
    service: String,
    requests: Vec<Millis>,
    retries: Vec<Millis>,
}

/// Retries of one entry by service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: FleetRetryLimits,
    /// Sorted by service.
    windows: Vec<ServiceWindow>,
}

impl RetryBudget {
    /// Opens a budget without any request.
    pub fn open(limits: FleetRetryLimits) -> RetryBudget {
        RetryBudget { limits, windows: Vec::new() }
    }

    /// Replaces the fleet's limits.
    pub fn set_limits(&mut self, limits: FleetRetryLimits) {
        self.limits = limits;
    }

    /// Counts a caller's request for a service.
    pub fn record_request(&mut self, service: &str, now: Millis) {
        let window_ms = self.limits.window_ms;
        let window = self.window(service);
        window.expire(now, window_ms);
        window.requests.push(now);
    }

    /// Counts and allows a retry, if the budget covers it.
    pub fn try_retry(&mut self, service: &str, entries: u64, now: Millis) -> bool {
        let limits = self.limits;
        let window = self.window(service);
        window.expire(now, limits.window_ms);
        let earned = window.requests.len() as f64 * limits.ratio;
        let constant = limits.constant / entries.max(1);
        let allowed = (earned + constant as f64) * USED_PERCENT as f64 / 100.0;
        if window.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.retries.push(now);
        true
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
        let is_old = |at: &Millis| now.since(*at) >= window_ms;
        let requests = self.requests.iter().take_while(|at| is_old(at)).count();
        self.requests.drain(..requests);
        let retries = self.retries.iter().take_while(|at| is_old(at)).count();
        self.retries.drain(..retries);
    }
}
