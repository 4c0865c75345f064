//! Limit on retries as a share of first deliveries.

use std::sync::atomic::{AtomicU32, Ordering};

/// Credit that one retry costs, in hundredths.
const RETRY_COST: u32 = 100;

/// Largest credit that can be saved up, in hundredths.
const CREDIT_LIMIT: u32 = 10 * RETRY_COST;

/// Credit of one route; every first delivery adds to it, every retry takes from it.
#[derive(Debug)]
pub struct RetryBudget {
    credit: AtomicU32,
    percent: u32,
}

impl RetryBudget {
    /// Full budget that allows `percent` retries for each hundred deliveries.
    pub fn open(percent: u32) -> RetryBudget {
        let credit = if percent == 0 { 0 } else { CREDIT_LIMIT };
        RetryBudget { credit: AtomicU32::new(credit), percent }
    }

    /// Adds the credit of one first delivery.
    pub fn deposit(&self) {
        let _ = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
            Some(credit.saturating_add(self.percent).min(CREDIT_LIMIT))
        });
    }

    /// Takes one retry; false if the credit does not cover it.
    pub fn withdraw(&self) -> bool {
        self.credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
                credit.checked_sub(RETRY_COST)
            })
            .is_ok()
    }

    /// Retries allowed for each hundred first deliveries.
    pub fn percent(&self) -> u32 {
        self.percent
    }
}
