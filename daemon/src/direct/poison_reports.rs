//! An entry's reports of what crashes targets, and its questions about trials.
//!
//! Two budget servers, ranked by the service, hear of all crashes of its targets. They see all requests
//! of a crash, and an entry only its own, so that an entry decides alone only if none of them answers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use rosemarymoor_lib::dispatch::crash::recent_suspects::RecentSuspects;
use rosemarymoor_lib::dispatch::crash::suspect::{Level, SETTLING_MS, Suspect, Suspicion};
use rosemarymoor_lib::dispatch::crash::tracker::{Completion, Crash, Decision, TrialRequest};
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::kv_store::{EraReceiver, RestoreWatch};
use rosemarymoor_lib::time::MonotonicClock;
use serde::Serialize;

use super::peer_client::PeerClient;
use super::peers::PeerRecord;
use super::poison::{CRASH_PATH, PoisonedRequests, SOUND_PATH, SUSPECTED_PATH, TRIAL_PATH};

/// Number of budget servers that hear of the crashes of a service.
const SERVERS: usize = 2;

/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for the answer to a request for a trial; a caller waits for it.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after which the crash of a target is known, if it has ended a connection.
const CRASH_NEWS_DELAY: Duration = Duration::from_millis(300);

/// Name by which the budget servers are ranked that hear what the fleet's own list lacks or has wrong.
const LISTED: &str = "fleet";

/// An entry's suspects and the budget servers that it tells of them; clones share them.
#[derive(Clone)]
pub struct PoisonReports {
    own: PoisonedRequests,
    client: PeerClient,
    /// Suspects that were reported and have not completed since.
    reported: Arc<Mutex<RecentSuspects>>,
    clock: MonotonicClock,
}

impl PoisonReports {
    /// Opens the reports of what this entry knows itself.
    pub fn open(own: PoisonedRequests, client: PeerClient, clock: MonotonicClock) -> PoisonReports {
        PoisonReports { own, client, reported: Arc::default(), clock }
    }

    /// Returns what this entry knows itself.
    pub fn own(&self) -> &PoisonedRequests {
        &self.own
    }

    /// Reports a crash of a service's target in the background; returns what was reported.
    pub fn record_crash(&self, service: &str, crash: Crash) -> Crash {
        let crash = Crash { suspects: self.own.unproven(&crash.suspects), ..crash };
        for suspect in &crash.suspects {
            self.reported().insert(*suspect, self.clock.now());
        }
        let (reports, servers) = (self.clone(), self.servers(service));
        let reported = crash.clone();
        if servers.is_empty() {
            // At once, so that the next attempt sees it.
            self.record_alone(&crash);
            return reported;
        }
        self.client.spawn_report(async move {
            let answers = reports.post_to_all(&servers, CRASH_PATH, &crash).await;
            if answers.is_empty() {
                reports.record_alone(&crash);
            }
            for answer in answers {
                // An older build answers with an empty body.
                let told: Vec<Suspicion> = serde_json::from_slice(&answer).unwrap_or_default();
                reports.own.apply(&told);
            }
        });
        reported
    }

    /// Records a crash that no budget server has heard of.
    fn record_alone(&self, crash: &Crash) {
        self.own.record_crash(crash);
        let own = self.own.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(SETTLING_MS)).await;
            own.settle();
        });
    }

    /// Records that a request of a service has completed, and reports it if it was suspected. An answer
    /// that ended with its connection is reported as long as a part of it is not known to be sound.
    pub fn record_sound(&self, service: &str, completion: Completion) {
        let was_reported = completion.suspects.iter().filter(|suspect| self.forget(**suspect));
        let was_reported = was_reported.count() > 0;
        if completion.is_certain {
            let was_suspected = !self.own.record_sound(&completion).is_empty();
            if was_reported || was_suspected {
                self.report(service, SOUND_PATH, completion);
            }
            return;
        }
        let is_unproven =
            self.own.unproven(&completion.suspects).iter().any(|suspect| suspect.is_part());
        if was_reported || is_unproven || self.own.is_suspected(&completion.suspects) {
            let (reports, service) = (self.clone(), service.to_owned());
            let report = async move { reports.record_uncertain(&service, completion).await };
            self.client.spawn_report(report);
        }
    }

    /// Records a completion that may be the end of a crashed target, unless a budget server has heard
    /// of the crash.
    async fn record_uncertain(&self, service: &str, mut completion: Completion) {
        let ended_at = self.clock.now();
        tokio::time::sleep(CRASH_NEWS_DELAY).await;
        let mut is_sound = true;
        for server in self.servers(service) {
            completion.ended_ago_ms = Some(self.clock.now().since(ended_at));
            let posted = self.client.post(&server, SOUND_PATH, &completion, REPORT_TIMEOUT).await;
            let Ok((_, body)) = posted else { continue };
            is_sound &= serde_json::from_slice(&body).unwrap_or(false);
        }
        if is_sound {
            completion.ended_ago_ms = Some(self.clock.now().since(ended_at));
            self.own.record_sound(&completion);
        }
    }

    /// Records that a request was refused; tells of it from time to time, so that all processes keep
    /// the refusal.
    pub fn record_refused(&self, service: &str, suspects: &[Suspect]) {
        let due = self.own.record_refused(suspects);
        if !due.is_empty() {
            self.report(service, SUSPECTED_PATH, due);
        }
    }

    /// Applies what the fleet's own list says, and objects to what has completed here: whoever wrote it
    /// may not have reached this entry.
    pub fn apply(&self, listed: &[Suspicion]) {
        self.own.apply(listed);
        let sound = self.own.certainly_sound(listed).into_iter();
        let free = |suspect| Suspicion { suspect, level: Level::Free, rivals: Vec::new() };
        let objections: Vec<Suspicion> = sound.map(free).collect();
        if !objections.is_empty() {
            log::info!("event=suspicion_denied suspects={}", objections.len());
            self.report(LISTED, SUSPECTED_PATH, objections);
        }
    }

    /// Spawns the task that tells budget servers of all refusals after each restore of the store, which
    /// may have lost them.
    pub fn report_after_restores(&self, era: Option<EraReceiver>) {
        let Some(mut restores) = era.map(RestoreWatch::open) else { return };
        let reports = self.clone();
        tokio::spawn(async move {
            loop {
                restores.restored().await;
                let refused = reports.own.refused();
                if !refused.is_empty() {
                    reports.report(LISTED, SUSPECTED_PATH, refused);
                }
            }
        });
    }

    /// Asks whether a request may run as a trial at a target, after a crash of its attempt before. This
    /// entry decides alone if no budget server answers.
    pub async fn try_at(&self, service: &str, req: &TrialRequest) -> Decision {
        for server in self.servers(service) {
            match self.client.post(&server, TRIAL_PATH, req, TRIAL_TIMEOUT).await {
                Ok((_, body)) => return serde_json::from_slice(&body).unwrap_or(Decision::Wait),
                Err(err) => {
                    log::info!("event=trial_not_answered server={} reason={err:?}", server.name);
                }
            }
        }
        self.own.try_at(req)
    }

    /// Posts a message to the budget servers of a service in the background.
    fn report<T: Serialize + Send + Sync + 'static>(
        &self,
        service: &str,
        path: &'static str,
        message: T,
    ) {
        let (reports, servers) = (self.clone(), self.servers(service));
        self.client.spawn_report(async move {
            reports.post_to_all(&servers, path, &message).await;
        });
    }

    /// Posts a message to servers; returns the answers of those that have it.
    async fn post_to_all<T: Serialize>(
        &self,
        servers: &[PeerRecord],
        path: &'static str,
        message: &T,
    ) -> Vec<Bytes> {
        let posts = servers.iter().map(|server| async {
            let posted = self.client.post(server, path, message, REPORT_TIMEOUT).await;
            if let Err(err) = &posted {
                log::debug!("event=crash_not_told server={} reason={err:?}", server.name);
            }
            posted.ok().map(|(_, body)| body)
        });
        join_all(posts).await.into_iter().flatten().collect()
    }

    /// Returns the budget servers that hear of a service's crashes; those that did not answer lately
    /// are replaced.
    fn servers(&self, service: &str) -> Vec<PeerRecord> {
        let mut servers = self.client.peers.answering_budget_servers(rank::key_of(service));
        servers.truncate(SERVERS);
        servers
    }

    fn forget(&self, suspect: Suspect) -> bool {
        self.reported().remove(suspect)
    }

    fn reported(&self) -> MutexGuard<'_, RecentSuspects> {
        self.reported.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
