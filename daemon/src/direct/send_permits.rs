//! Permits to send to targets that have named a limit: entries ask two budget servers for them,
//! which all entries rank in the same order by the target.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::dispatch::send_permits::{
    LimitReport, PermitIssuer, PermitReply, PermitRequest,
};
use rosemarymoor_lib::dispatch::target_limit::{KnownLimit, LimitChange, SendDecision};
use rosemarymoor_lib::dispatch::targets::TargetKey;
use rosemarymoor_lib::time::{Millis, MonotonicClock};

use super::entry::Entry;
use super::peer_client::PeerClient;

/// Path of requests for permits at a budget server.
pub const PERMIT_PATH: &str = "/permit";

/// Path of reports of limits that targets have named.
pub const LIMIT_PATH: &str = "/limit";

/// Longest wait for an answer to a request for permits; a caller waits for it.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a server that did not answer is not asked again.
const FAILED_ISSUER_BACKOFF: Duration = Duration::from_secs(2);

/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Issuer of a budget server; clones share its state.
#[derive(Clone)]
pub struct SharedIssuer {
    issuer: Arc<Mutex<PermitIssuer>>,
    clock: MonotonicClock,
}

impl SharedIssuer {
    /// Opens an issuer that knows no target.
    pub fn open(clock: MonotonicClock) -> SharedIssuer {
        SharedIssuer { issuer: Arc::default(), clock }
    }

    /// Replies to a request for permits.
    pub fn issue(&self, req: &PermitRequest) -> PermitReply {
        let reply = self.lock().issue(req, self.clock.now());
        log::debug!(
            "event=permits_issued target={} rank={:?} granted={} wait_ms={}",
            req.report.target.id,
            req.rank,
            reply.granted,
            reply.wait_ms
        );
        reply
    }

    /// Applies what an entry has heard of a limit.
    pub fn apply_report(&self, report: &LimitReport) {
        self.lock().apply_report(report, self.clock.now());
    }

    fn lock(&self) -> MutexGuard<'_, PermitIssuer> {
        self.issuer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An entry's access to the issuers.
#[derive(Clone)]
pub struct PermitClient {
    client: PeerClient,
    /// Servers that did not answer, and until when they are not asked. They may well answer to
    /// reservations, for which entries wait longer.
    backoffs: Arc<Mutex<Vec<(SocketAddr, Instant)>>>,
}

impl PermitClient {
    /// Opens the access to the listed budget servers.
    pub fn open(client: PeerClient) -> PermitClient {
        PermitClient { client, backoffs: Arc::default() }
    }

    /// Reports in the background what a target has said of its limit.
    pub fn report(&self, report: LimitReport) {
        let client = self.client.clone();
        tokio::spawn(async move {
            let key = rank::key_of(&report.target.id);
            for (_, server) in client.peers.permit_issuers(key) {
                if let Err(err) = client.post(&server, LIMIT_PATH, &report, REPORT_TIMEOUT).await {
                    log::debug!("event=limit_not_told server={} reason={err:?}", server.name);
                }
            }
        });
    }

    /// Asks the first issuer that answers for permits; `None` if none does.
    async fn request(&self, report: LimitReport) -> Option<PermitReply> {
        let key = rank::key_of(&report.target.id);
        for (rank, server) in self.client.peers.permit_issuers(key) {
            if self.is_backing_off(server.internal) {
                continue;
            }
            let req = PermitRequest { report: report.clone(), rank };
            match self.client.post(&server, PERMIT_PATH, &req, PERMIT_TIMEOUT).await {
                Ok((_, body)) => return serde_json::from_slice(&body).ok(),
                Err(err) => {
                    self.back_off(server.internal);
                    log::info!(
                        "event=permit_not_answered target={} server={} reason={err:?}",
                        report.target.id,
                        server.name
                    );
                }
            }
        }
        None
    }

    fn is_backing_off(&self, server: SocketAddr) -> bool {
        self.backoffs().iter().any(|(failed, until)| *failed == server && Instant::now() < *until)
    }

    fn back_off(&self, server: SocketAddr) {
        let now = Instant::now();
        let mut backoffs = self.backoffs();
        backoffs.retain(|(failed, until)| *failed != server && now < *until);
        backoffs.push((server, now + FAILED_ISSUER_BACKOFF));
    }

    fn backoffs(&self) -> MutexGuard<'_, Vec<(SocketAddr, Instant)>> {
        self.backoffs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a request may be sent to a target now; asks for a permit if that is needed.
pub async fn acquire(entry: &Entry, target: TargetKey) -> bool {
    let (process, known) = {
        let mut table = entry.targets();
        let Some(target) = table.get_mut(target) else { return false };
        match target.limit.decide(entry.now()) {
            SendDecision::Send => return true,
            SendDecision::Wait => return false,
            SendDecision::Ask(known) => (target.process(), known),
        }
    };
    let reply = entry.permits.request(LimitReport { target: process, limit: known }).await;
    let now = entry.now();
    let entry_count = entry.peers.entry_count();
    let mut table = entry.targets();
    let Some(target) = table.get_mut(target) else { return false };
    let (outcome, is_sent) = match reply {
        Some(reply) => {
            let change = target.limit.apply_reply(&reply, now);
            log_change(&target.registration.id, change, "server");
            match target.limit.decide(now) {
                SendDecision::Send => ("granted", true),
                _ => ("denied", false),
            }
        }
        None => match target.limit.take_unassisted(entry_count, rand::random(), now) {
            true => ("unassisted", true),
            false => ("unanswered", false),
        },
    };
    log::info!(
        "event=permit_asked target={} outcome={outcome} wait_ms={}",
        target.registration.id,
        target.limit.wait_ms(now)
    );
    entry.metrics.count_permit(outcome);
    is_sent
}

/// Applies what an answer of a target says of its limit, and reports a change.
pub fn apply_limit(entry: &Entry, target: TargetKey, limit: Option<f64>, sent_at: Millis) {
    let now = entry.now();
    let mut table = entry.targets();
    let Some(target) = table.get_mut(target) else { return };
    let change = target.limit.apply(limit, sent_at, now);
    let kind = match change {
        LimitChange::Unchanged => return,
        LimitChange::Limited(_) => "limit",
        LimitChange::Ended => "limit_ended",
    };
    entry.metrics.count_target_notice(kind);
    log_change(&target.registration.id, change, "answer");
    let report = LimitReport { target: target.process(), limit: KnownLimit::new(limit, now, now) };
    entry.permits.report(report);
}

/// Logs a change of a target's limit, and who told it.
fn log_change(target: &str, change: LimitChange, reason: &str) {
    match change {
        LimitChange::Unchanged => {}
        LimitChange::Limited(per_second) => {
            log::info!(
                "event=target_limited target={target} per_second={per_second} reason={reason}"
            );
        }
        LimitChange::Ended => log::info!("event=target_unlimited target={target} reason={reason}"),
    }
}
