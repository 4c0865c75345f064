//! Direct path to the store that is given up after failures in a row, until a probe shows that it works
//! again.
//!
//! While a store is away, every process would go on with its calls, and budget servers with those that
//! they relay. They would only keep the store busy; a probe costs it next to nothing.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use async_trait::async_trait;
use rosemarymoor_platform::store::{
    CallError, StoreAnswer, StoreCall, StoreTransport, is_served, probe,
};

use super::direct_path::DirectPath;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// When a path is given up, and how often it is probed then.
#[derive(Clone, Copy, Debug)]
pub struct ProbePolicy {
    /// Failures in a row after which the path counts as unavailable.
    pub max_failures: u32,
    /// Time from one probe of an unavailable path to the next.
    pub interval: Duration,
}

/// Direct path to the store and whether it works.
pub struct ProbedPath {
    direct: DirectPath,
    policy: ProbePolicy,
    consecutive_failures: AtomicU32,
}

impl ProbedPath {
    /// Opens the path and spawns the task that probes it while it is unavailable, until it is dropped.
    pub fn spawn(direct: DirectPath, policy: ProbePolicy) -> Arc<ProbedPath> {
        let consecutive_failures = AtomicU32::new(0);
        let path = Arc::new(ProbedPath { direct, policy, consecutive_failures });
        tokio::spawn(run_probes(Arc::downgrade(&path), policy.interval));
        path
    }

    /// Returns whether too many calls in a row have failed.
    pub fn is_unavailable(&self) -> bool {
        self.consecutive_failures.load(Ordering::Relaxed) >= self.policy.max_failures
    }

    /// Sends a call, also if the path counts as unavailable, and records whether it works.
    ///
    /// # Errors
    ///
    /// Fails as the call to the store does.
    pub async fn attempt(&self, call: &StoreCall) -> Result<StoreAnswer, CallError> {
        let answer = self.direct.call(call.clone()).await;
        match &answer {
            Ok(answer) if is_served(answer.status) => self.record_success(),
            Ok(answer) => self.record_failure(&format!("status_{}", answer.status)),
            Err(err) => self.record_failure(&format!("{err:?}")),
        }
        answer
    }

    fn record_failure(&self, reason: &str) {
        let failures = self.consecutive_failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures == self.policy.max_failures {
            log::warn!("event=dependency_lost dependency=store_direct reason={reason}");
        }
    }

    fn record_success(&self) {
        let failures = self.consecutive_failures.swap(0, Ordering::Relaxed);
        if failures >= self.policy.max_failures {
            log::warn!("event=dependency_regained dependency=store_direct");
        }
    }
}

#[async_trait]
impl StoreTransport for ProbedPath {
    /// Sends a call, unless the path counts as unavailable.
    async fn call(&self, call: StoreCall) -> Result<StoreAnswer, CallError> {
        if self.is_unavailable() {
            return Err(CallError::NotSent);
        }
        self.attempt(&call).await
    }
}

async fn run_probes(path: Weak<ProbedPath>, interval: Duration) {
    loop {
        tokio::time::sleep(interval).await;
        let Some(path) = path.upgrade() else { return };
        if path.is_unavailable() {
            // The call itself records whether the path works.
            let _ = path.attempt(&probe(PROBE_TIMEOUT)).await;
        }
    }
}
