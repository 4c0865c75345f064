//! Money for an entry's requests: from the budget's server, or from own ceilings.
//!
//! All entries rank the budget servers of a budget in the same order, so that
//! one holder knows exactly what is left of it. Any other holder is as safe: an
//! entry goes on to the next server, and at last to ceilings of its own.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use rosemarymoor_lib::budget::ceiling::{
    ReservationId, ReservationReply, ReservationRequest, Settlement,
};
use rosemarymoor_lib::dispatch::crash_tracker::Crash;
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::id::BudgetId;
use rosemarymoor_lib::result_code::FAILURE_LOG;
use serde::Serialize;

use super::budget_server::{RESERVE_PATH, SETTLE_PATH};
use super::ceilings::Ceilings;
use super::peers::{PeerEntry, Peers};
use super::poison::CRASH_PATH;
use crate::http_pool::{HttpPool, SendFailure};

/// Budget servers that one request asks; the second one stands in for a first
/// one that does not answer or does not reach the store.
const MAX_SERVERS: usize = 2;

/// Time for which only the first server is asked after all of them have lost the
/// store: it may have headroom, the others have none.
const STORE_BACKOFF: Duration = Duration::from_millis(400);

/// Time for a connection to a budget server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Time beyond the asker's max_wait in which a budget server answers.
const ANSWER_GRACE: Duration = Duration::from_millis(60);

/// Largest answer of a budget server.
const MAX_ANSWER_BYTES: usize = 4096;

/// Attempts to deliver a settlement, and the pause before the second one.
const SETTLE_ATTEMPTS: u32 = 8;
const MIN_SETTLE_BACKOFF: Duration = Duration::from_millis(100);
const SETTLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Money that a request needs.
#[derive(Clone, Debug)]
pub struct ReservationParams {
    /// Identity of the request, for the log.
    pub request: String,
    pub budget: BudgetId,
    /// Tokens prepaid in all, and the version of the catalog that says so.
    pub prepaid: u64,
    pub prepaid_version: u64,
    /// Worst case in tokens.
    pub tokens: u64,
    /// How long each holder may take.
    pub max_wait: Duration,
    /// Time until the request has ended at the latest.
    pub lifetime: Duration,
}

/// Why no money was had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationDenied {
    /// The budget certainly does not cover the request.
    Exhausted,
    /// Other holders have what is left of it.
    Short,
    /// The money cannot be reached now.
    Unavailable,
}

/// Where a reservation is held.
#[derive(Clone)]
enum Holder {
    Server(PeerEntry),
    Local,
}

/// Entry's way to money; clones share it.
#[derive(Clone)]
pub struct BudgetClient {
    pool: HttpPool,
    peers: Arc<Peers>,
    local_ceilings: Ceilings,
    /// Until when the store is taken to be away from all servers.
    store_backoff_until: Arc<Mutex<Option<Instant>>>,
}

/// Money reserved for one request; dropping it settles what was noted as used.
pub struct Reservation {
    client: BudgetClient,
    holder: Holder,
    budget: BudgetId,
    id: ReservationId,
    /// Identity of the request that the money is for.
    request: String,
    /// Tokens used so far.
    pub used: u64,
}

impl BudgetClient {
    /// Opens the way over budget servers and own ceilings.
    pub fn open(pool: HttpPool, peers: Arc<Peers>, local_ceilings: Ceilings) -> BudgetClient {
        BudgetClient { pool, peers, local_ceilings, store_backoff_until: Arc::default() }
    }

    /// Reserves the worst case of a request.
    pub async fn reserve(
        &self,
        params: &ReservationParams,
    ) -> Result<Reservation, ReservationDenied> {
        let mut unavailable_servers = 0;
        let key = rank::key_of(&params.budget.workspace);
        let max_servers = if self.is_store_backing_off() { 1 } else { MAX_SERVERS };
        for server in self.peers.ranked_budget_servers(key).into_iter().take(max_servers) {
            match self.reserve_at(&server, params).await {
                Some((id, ReservationReply::Granted)) => {
                    return Ok(self.reserved(Holder::Server(server), params, id));
                }
                Some((_, ReservationReply::Exhausted)) => return Err(ReservationDenied::Exhausted),
                Some((_, ReservationReply::Short)) => return Err(ReservationDenied::Short),
                Some((_, ReservationReply::Unavailable)) => unavailable_servers += 1,
                None => {}
            }
        }
        if unavailable_servers == MAX_SERVERS {
            *self.store_backoff_until() = Some(Instant::now() + STORE_BACKOFF);
        }
        if unavailable_servers > 0 {
            return Err(ReservationDenied::Unavailable);
        }
        let request = reservation_request(params);
        let id = request.id;
        let answer = self.local_ceilings.reserve(request).await;
        if answer != ReservationReply::Granted {
            log_denied(params, id, "own", answer);
        }
        match answer {
            ReservationReply::Granted => Ok(self.reserved(Holder::Local, params, id)),
            ReservationReply::Exhausted => Err(ReservationDenied::Exhausted),
            ReservationReply::Short => Err(ReservationDenied::Short),
            ReservationReply::Unavailable => Err(ReservationDenied::Unavailable),
        }
    }

    fn store_backoff_until(&self) -> MutexGuard<'_, Option<Instant>> {
        self.store_backoff_until.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_store_backing_off(&self) -> bool {
        self.store_backoff_until().is_some_and(|until| Instant::now() < until)
    }

    /// Tells the budget servers that a target broke off while it ran a request.
    pub async fn report_crash(self, crash: Crash) {
        let servers = self.peers.ranked_budget_servers(crash.fingerprint as u64);
        for server in servers.into_iter().take(MAX_SERVERS) {
            if let Err(failure) = self.post(&server, CRASH_PATH, &crash, SETTLE_TIMEOUT).await {
                log::debug!("event=crash_not_told server={} reason={failure:?}", server.name);
            }
        }
    }

    /// Hands own money back; for a graceful stop.
    pub async fn close(&self) {
        self.local_ceilings.close().await;
    }

    fn reserved(
        &self,
        holder: Holder,
        params: &ReservationParams,
        id: ReservationId,
    ) -> Reservation {
        let name = match &holder {
            Holder::Server(server) => server.name.as_str(),
            Holder::Local => "own",
        };
        log::info!(
            "event=money_reserved request={} reservation={id:032x} budget={} holder={name} tokens={}",
            params.request,
            params.budget,
            params.tokens
        );
        let (budget, request) = (params.budget.clone(), params.request.clone());
        Reservation { client: self.clone(), holder, budget, id, request, used: 0 }
    }

    async fn reserve_at(
        &self,
        server: &PeerEntry,
        params: &ReservationParams,
    ) -> Option<(ReservationId, ReservationReply)> {
        let request = reservation_request(params);
        let id = request.id;
        let mut pending =
            PendingReservation { client: self, server, params, id, is_answered: false };
        let timeout = params.max_wait + ANSWER_GRACE;
        let answer = self.post(server, RESERVE_PATH, &request, timeout).await;
        match answer {
            Ok(body) => {
                let answer = serde_json::from_slice(&body).ok()?;
                pending.is_answered = true;
                if answer != ReservationReply::Granted {
                    log_denied(params, id, &server.name, answer);
                }
                Some((id, answer))
            }
            Err(failure) => {
                log::info!(
                    target: FAILURE_LOG,
                    "event=budget_server_failed request={} reservation={id:032x} server={} budget={} reason={failure:?}",
                    params.request,
                    server.name,
                    params.budget
                );
                self.peers.record_failure(server.internal);
                pending.is_answered = failure == SendFailure::NotSent;
                None
            }
        }
    }

    fn settle(&self, holder: &Holder, budget: &BudgetId, id: ReservationId, used: u64) {
        match holder {
            Holder::Local => {
                self.local_ceilings.settle(&Settlement { id, budget: budget.clone(), used })
            }
            Holder::Server(server) => {
                let settlement = Settlement { id, budget: budget.clone(), used };
                tokio::spawn(self.clone().deliver(server.clone(), settlement));
            }
        }
    }

    async fn deliver(self, server: PeerEntry, settlement: Settlement) {
        let settlements = [settlement];
        for attempt in 0..SETTLE_ATTEMPTS {
            if self.post(&server, SETTLE_PATH, &settlements, SETTLE_TIMEOUT).await.is_ok() {
                return;
            }
            tokio::time::sleep(MIN_SETTLE_BACKOFF * 2_u32.pow(attempt)).await;
        }
        let [Settlement { id, budget, used }] = &settlements;
        log::warn!(
            "event=settlement_lost server={} budget={budget} reservation={id:032x} used={used}",
            server.name
        );
    }

    async fn post<T: Serialize>(
        &self,
        server: &PeerEntry,
        path: &'static str,
        message: &T,
        timeout: Duration,
    ) -> Result<bytes::Bytes, SendFailure> {
        let body = serde_json::to_vec(message).expect("messages can be encoded");
        let req = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(HOST, server.internal.to_string())
            .body(Full::new(body.into()))
            .map_err(|_| SendFailure::NotSent)?;
        let fetch = self.pool.fetch(server.internal, req, CONNECT_TIMEOUT, MAX_ANSWER_BYTES);
        match tokio::time::timeout(timeout, fetch).await {
            Ok(Ok((StatusCode::OK, _, body))) => Ok(body),
            Ok(Ok(_)) | Err(_) => Err(SendFailure::Broken),
            Ok(Err(failure)) => Err(failure),
        }
    }
}

fn log_denied(
    params: &ReservationParams,
    id: ReservationId,
    holder: &str,
    answer: ReservationReply,
) {
    log::info!(
        target: FAILURE_LOG,
        "event=money_denied request={} reservation={id:032x} budget={} holder={holder} answer={answer:?} tokens={} prepaid_version={}",
        params.request,
        params.budget,
        params.tokens,
        params.prepaid_version
    );
}

fn reservation_request(params: &ReservationParams) -> ReservationRequest {
    ReservationRequest {
        id: rand::random(),
        budget: params.budget.clone(),
        prepaid: params.prepaid,
        prepaid_version: params.prepaid_version,
        tokens: params.tokens,
        max_wait_ms: params.max_wait.as_millis() as u64,
        lifetime_ms: params.lifetime.as_millis() as u64,
    }
}

/// Cancels an ask whose answer is not known.
struct PendingReservation<'a> {
    client: &'a BudgetClient,
    server: &'a PeerEntry,
    params: &'a ReservationParams,
    id: ReservationId,
    is_answered: bool,
}

impl Drop for PendingReservation<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            let holder = Holder::Server(self.server.clone());
            self.client.settle(&holder, &self.params.budget, self.id, 0);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        log::info!(
            "event=money_settled request={} reservation={:032x} budget={} used={}",
            self.request,
            self.id,
            self.budget,
            self.used
        );
        self.client.settle(&self.holder, &self.budget, self.id, self.used);
    }
}
