//! Targets that are cold: for some time after a start, or after a reset, they take few requests.
//!
//! A target's registration says how long it stays cold. An entry presumes it where the registration
//! may not say so yet: for a process that has just started, and after the evacuation of a data
//! centre, until a later registration says otherwise.

use crate::kv_store::Revision;
use crate::time::Millis;

/// Longest time for which a registration counts as cold, in milliseconds.
const MAX_COLD_MS: u64 = 600_000;

/// How the targets of a service start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which a target is cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// Requests a second that a cold target takes from all entries together.
    pub per_second: f64,
}

/// How long a registration says that its target stays cold, and where it stands among the store's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdReport {
    /// Time for which the target stays cold, in milliseconds; `None` if it does not say.
    pub left_ms: Option<u64>,
    /// Revision of the registration.
    pub revision: Revision,
}

/// Why a target is taken for cold; the variants' names appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdReason {
    /// Its registration says so.
    Registered,
    /// Its process is new.
    Started,
    /// The evacuation of its data centre has ended.
    Evacuated,
}

impl ColdReason {
    /// Returns the name in logs.
    pub fn label(self) -> &'static str {
        match self {
            ColdReason::Registered => "registered",
            ColdReason::Started => "started",
            ColdReason::Evacuated => "evacuated",
        }
    }
}

/// Until when a target is taken for cold.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdState {
    until: Millis,
    /// Registrations up to this revision may be older than what is presumed.
    presumed_at: Option<Revision>,
    /// Whether a registration of the process has been applied.
    is_known: bool,
}

impl ColdState {
    /// Returns until when the target is cold.
    pub fn until(&self) -> Millis {
        self.until
    }

    /// Applies a registration; returns the reason if the target is cold by it.
    ///
    /// `start_ms` is the time for which targets of the service are cold after a start, and
    /// `is_after_list` tells whether the process was missing in an earlier list of all targets.
    pub fn apply(
        &mut self,
        report: ColdReport,
        start_ms: u64,
        is_after_list: bool,
        now: Millis,
    ) -> Option<ColdReason> {
        let is_started = !std::mem::replace(&mut self.is_known, true) && is_after_list;
        match report.left_ms {
            Some(0) if self.is_outdated(report.revision) => None,
            Some(0) => {
                self.until = Millis(0);
                None
            }
            Some(left_ms) => {
                let until = now.plus(left_ms.min(MAX_COLD_MS));
                let is_outdated = self.is_outdated(report.revision);
                self.until = if is_outdated { self.until.max(until) } else { until };
                Some(ColdReason::Registered)
            }
            None if is_started => {
                self.until = now.plus(start_ms);
                Some(ColdReason::Started)
            }
            None => None,
        }
    }

    /// Presumes the target to be cold for `start_ms`, as after a start, until a registration after
    /// `revision` says otherwise.
    pub fn presume(&mut self, start_ms: u64, revision: Revision, now: Millis) {
        self.until = self.until.max(now.plus(start_ms));
        self.presumed_at = Some(revision);
    }

    fn is_outdated(&self, revision: Revision) -> bool {
        self.presumed_at.is_some_and(|presumed_at| revision <= presumed_at)
    }
}
