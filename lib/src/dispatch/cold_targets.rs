//! Cold targets of a table: news of them, and the limit of their requests that follows.

use super::cold_start::{ColdReason, ColdReport, ColdStart};
use super::targets::{Target, TargetTable};
use crate::kv_store::Revision;
use crate::time::Millis;

/// Target that has become cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdTarget {
    pub id: String,
    /// Time for which it is taken for cold, in milliseconds.
    pub left_ms: u64,
    pub reason: ColdReason,
}

impl TargetTable {
    /// Sets how the targets of each service start; a service that is missing has no cold targets.
    /// Returns the targets whose limit holds only now, as they registered before.
    pub fn set_cold_starts(
        &mut self,
        mut cold_starts: Vec<(String, ColdStart)>,
        now: Millis,
    ) -> Vec<ColdTarget> {
        cold_starts.sort_by(|a, b| a.0.cmp(&b.0));
        self.cold_starts = cold_starts;
        let mut became = Vec::new();
        for target in &mut self.targets {
            let was_cold = target.limit.is_cold(now);
            update_limit(&self.cold_starts, target);
            became.extend(became_cold(target, was_cold, ColdReason::Registered, now));
        }
        became
    }

    /// Applies what the registration of a target says of its cold start; returns the target if it
    /// has become cold.
    ///
    /// `is_after_list` tells whether an earlier list of all targets has been applied.
    pub fn report_cold(
        &mut self,
        id: &str,
        report: ColdReport,
        is_after_list: bool,
        now: Millis,
    ) -> Option<ColdTarget> {
        let target = self.targets.iter_mut().find(|target| target.registration.id == id)?;
        let start_ms = cold_start(&self.cold_starts, target).map_or(0, |start| start.duration_ms);
        let was_cold = target.limit.is_cold(now);
        let reason = target.cold.apply(report, start_ms, is_after_list, now);
        update_limit(&self.cold_starts, target);
        became_cold(target, was_cold, reason?, now)
    }

    /// Presumes the targets of a data centre to be cold, whose evacuation was taken back by
    /// `revision`; returns those that have become cold.
    pub fn presume_cold(
        &mut self,
        data_center: &str,
        revision: Revision,
        now: Millis,
    ) -> Vec<ColdTarget> {
        let mut became = Vec::new();
        for target in &mut self.targets {
            if target.registration.data_center != data_center {
                continue;
            }
            let Some(start) = cold_start(&self.cold_starts, target) else { continue };
            let was_cold = target.limit.is_cold(now);
            target.cold.presume(start.duration_ms, revision, now);
            update_limit(&self.cold_starts, target);
            became.extend(became_cold(target, was_cold, ColdReason::Evacuated, now));
        }
        became
    }
}

/// Returns how a target starts; `None` if its service has no cold targets.
fn cold_start(cold_starts: &[(String, ColdStart)], target: &Target) -> Option<ColdStart> {
    let service = target.registration.service.as_str();
    let at = cold_starts.binary_search_by(|(name, _)| name.as_str().cmp(service)).ok()?;
    Some(cold_starts[at].1)
}

fn update_limit(cold_starts: &[(String, ColdStart)], target: &mut Target) {
    let per_second = cold_start(cold_starts, target).map(|start| start.per_second);
    target.limit.set_cold(per_second, target.cold.until());
}

fn became_cold(
    target: &Target,
    was_cold: bool,
    reason: ColdReason,
    now: Millis,
) -> Option<ColdTarget> {
    if was_cold || !target.limit.is_cold(now) {
        return None;
    }
    let left_ms = target.cold.until().since(now);
    Some(ColdTarget { id: target.registration.id.clone(), left_ms, reason })
}
