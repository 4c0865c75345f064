//! Retry budget of a route: limits retries to a share of first deliveries.

use std::sync::atomic::{AtomicU32, Ordering};

/// Credit for one retry, in hundredths of a retry.
const RETRY_COST: u32 = 100;

/// Maximum credit, in hundredths of a retry.
const MAX_CREDIT: u32 = 10 * RETRY_COST;

/// Retry credit of one route. First deliveries deposit credit and retries withdraw it.
#[derive(Debug)]
pub struct RetryBudget {
    credit: AtomicU32,
    percent: u32,
}

impl RetryBudget {
    /// Creates a budget with full credit and `percent` retries per hundred first deliveries.
    ///
    /// It allows no retry if `percent` is zero.
    pub fn open(percent: u32) -> RetryBudget {
        let credit = if percent == 0 { 0 } else { MAX_CREDIT };
        RetryBudget { credit: AtomicU32::new(credit), percent }
    }

    /// Deposits the credit for one first delivery.
    pub fn deposit(&self) {
        let _ = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
            Some(credit.saturating_add(self.percent).min(MAX_CREDIT))
        });
    }

    /// Withdraws the credit for one retry; returns false if there is not enough.
    pub fn withdraw(&self) -> bool {
        self.credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
                credit.checked_sub(RETRY_COST)
            })
            .is_ok()
    }

    /// Returns the number of retries allowed per hundred first deliveries.
    pub fn percent(&self) -> u32 {
        self.percent
    }
}
