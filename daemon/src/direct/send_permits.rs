//! Permits to send to targets that have named a limit: entries ask two budget servers for them,
//! which all entries rank in the same order by the target.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::dispatch::send_permits::{
    LimitReport, PermitIssuer, PermitReply, PermitRequest,
};
use rosemarymoor_lib::time::MonotonicClock;

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
        self.client.spawn_report(async move {
            let key = rank::key_of(&report.target.id);
            for (_, server) in client.peers.permit_issuers(key) {
                if let Err(err) = client.post(&server, LIMIT_PATH, &report, REPORT_TIMEOUT).await {
                    log::debug!("event=limit_not_told server={} reason={err:?}", server.name);
                }
            }
        });
    }

    /// Asks the first issuer that answers for permits; `None` if none does.
    pub async fn request(&self, report: LimitReport) -> Option<PermitReply> {
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
