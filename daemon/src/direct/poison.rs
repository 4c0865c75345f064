//! What crashes targets, as one process knows it: whole requests and parts of prompts.
//!
//! The fleet's own list in the store holds what is refused, so that processes which start learn of it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rosemarymoor_lib::dispatch::crash::suspect::{Level, Suspect, Suspicion};
use rosemarymoor_lib::dispatch::crash::tracker::{
    Completion, Crash, CrashTracker, Decision, TrialRequest,
};
use rosemarymoor_lib::kv_feed::{Changes, Listing};
use rosemarymoor_lib::time::MonotonicClock;

use super::fleet_keys::poisoned_fingerprint;

/// Path of reports of crashes at a budget server.
pub const CRASH_PATH: &str = "/crashed";

/// Path of reports of suspects that have completed, at a budget server.
pub const SOUND_PATH: &str = "/sound";

/// Path of requests for trials at a budget server.
pub const TRIAL_PATH: &str = "/trial";

/// Path of what is suspected: entries tell budget servers of requests that they refuse, budget servers
/// tell entries of changes.
pub const SUSPECTED_PATH: &str = "/suspected";

/// Largest number of suspicions in an answer to a report.
const MAX_ANSWERED: usize = 4;

/// Suspects known to one process; clones share them.
#[derive(Clone)]
pub struct PoisonedRequests {
    tracker: Arc<Mutex<CrashTracker>>,
    clock: MonotonicClock,
}

impl PoisonedRequests {
    /// Opens a state without crashes.
    pub fn open(clock: MonotonicClock) -> PoisonedRequests {
        PoisonedRequests { tracker: Arc::default(), clock }
    }

    /// Records a crash; returns the suspects whose level it changed.
    pub fn record_crash(&self, crash: &Crash) -> Vec<Suspicion> {
        let changes = self.tracker().record_crash(crash, self.clock.now());
        log::info!(
            "event=crash_recorded target={} suspects={}",
            crash.target,
            crash.suspects.len()
        );
        for change in &changes {
            log_change(change, "crash");
        }
        changes
    }

    /// Refuses what the crashes so far are reason to; returns the suspects that it changed.
    pub fn settle(&self) -> Vec<Suspicion> {
        let changes = self.tracker().settle(self.clock.now());
        for change in &changes {
            log_change(change, "crash");
        }
        changes
    }

    /// Returns whether a completion counts.
    pub fn is_completion(&self, completion: &Completion) -> bool {
        self.tracker().is_completion(completion, self.clock.now())
    }

    /// Records that a request has completed; returns the suspects that it clears.
    pub fn record_sound(&self, completion: &Completion) -> Vec<Suspicion> {
        let cleared = self.tracker().record_sound(completion, self.clock.now());
        for change in &cleared {
            log::info!("event=suspect_cleared suspect={} reason=completed", hex(change.suspect));
        }
        cleared
    }

    /// Records that a request was refused; returns what the fleet has to be told of it.
    pub fn record_refused(&self, suspects: &[Suspect]) -> Vec<Suspicion> {
        self.tracker().record_refused(suspects, self.clock.now())
    }

    /// Applies what other processes know; returns what was new.
    pub fn apply(&self, told: &[Suspicion]) -> Vec<Suspicion> {
        let mut tracker = self.tracker();
        let now = self.clock.now();
        let new: Vec<Suspicion> =
            told.iter().filter(|told| tracker.apply(told, now)).cloned().collect();
        drop(tracker);
        for change in &new {
            log_change(change, "told");
        }
        new
    }

    /// Decides on a request with these suspects.
    pub fn decide(&self, suspects: &[Suspect]) -> Decision {
        self.tracker().decide(suspects, self.clock.now())
    }

    /// Decides on a request that asks to run as a trial.
    pub fn try_at(&self, req: &TrialRequest) -> Decision {
        self.tracker().try_request(req, self.clock.now())
    }

    /// Returns the request for a trial at another process, after a crash of the attempt before.
    pub fn trial_request(
        &self,
        suspects: &[Suspect],
        target: &str,
        request: u64,
        crash: Option<Crash>,
        is_last_target: bool,
    ) -> TrialRequest {
        let suspicions = self.tracker().suspicions(suspects);
        let (suspects, target) = (suspects.to_vec(), target.to_owned());
        TrialRequest { suspects, suspicions, crash, target, request, is_last_target }
    }

    /// Returns what is known against a request, as far as it fits into an answer.
    pub fn suspicions(&self, suspects: &[Suspect]) -> Vec<Suspicion> {
        let mut suspicions = self.tracker().suspicions(suspects);
        suspicions.truncate(MAX_ANSWERED);
        suspicions
    }

    /// Returns those of the suspects that have certainly completed here.
    pub fn certainly_sound(&self, told: &[Suspicion]) -> Vec<Suspect> {
        self.tracker().certainly_sound(told)
    }

    /// Returns the suspects without the parts that are known to be sound.
    pub fn unproven(&self, suspects: &[Suspect]) -> Vec<Suspect> {
        self.tracker().unproven(suspects)
    }

    /// Returns whether any of these suspects is known to be tried or refused.
    pub fn is_suspected(&self, suspects: &[Suspect]) -> bool {
        !self.tracker().suspicions(suspects).is_empty()
    }

    /// Returns all suspects that are refused.
    pub fn refused(&self) -> Vec<Suspicion> {
        self.tracker().refused(self.clock.now())
    }

    fn tracker(&self) -> MutexGuard<'_, CrashTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a suspect as it stands in logs and keys.
pub fn hex(suspect: Suspect) -> String {
    format!("{:032x}", suspect.0)
}

fn log_change(change: &Suspicion, reason: &str) {
    let suspect = hex(change.suspect);
    match change.level {
        Level::Refused => log::warn!(
            "event=request_poisoned fingerprint={suspect} part={} rivals={} reason={reason}",
            change.suspect.is_part(),
            change.rivals.len()
        ),
        Level::Tried => log::info!("event=suspect_tried suspect={suspect} reason={reason}"),
        Level::Free => log::info!("event=suspect_cleared suspect={suspect} reason={reason}"),
    }
}

/// Returns the suspects in a complete list.
pub fn listed(listing: &Listing) -> Vec<Suspicion> {
    let items = listing.items.iter();
    items.filter_map(|(key, found)| decode(key, &found.value)).collect()
}

/// Returns the suspects in changes of the list. A key that vanishes does not end a refusal, which
/// expires by itself.
pub fn changed(changes: &Changes) -> Vec<Suspicion> {
    let Changes::Received { changes, .. } = changes else { return Vec::new() };
    let values = changes.iter().filter_map(|change| Some((&change.key, change.value.as_ref()?)));
    values.filter_map(|(key, found)| decode(key, &found.value)).collect()
}

/// Decodes an item of the fleet's own list; `None` for items that are no suspects, and for malformed
/// ones.
fn decode(key: &str, value: &[u8]) -> Option<Suspicion> {
    let text = poisoned_fingerprint(key)?;
    let suspect = match u128::from_str_radix(text, 16) {
        Ok(fingerprint) => Suspect(fingerprint),
        Err(err) => {
            log::warn!("event=poison_malformed key={key} reason={err}");
            return None;
        }
    };
    // Older builds write no more than the key.
    let refused = Suspicion { suspect, rivals: Vec::new(), level: Level::Refused };
    let stored: Option<Suspicion> = serde_json::from_slice(value).ok();
    Some(stored.filter(|stored| stored.suspect == suspect).unwrap_or(refused))
}
