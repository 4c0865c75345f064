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
const STORE_REST: Duration = Duration::from_millis(400);

/// Time for a connection to a budget server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Time beyond the asker's patience in which a budget server answers.
const ANSWER_GRACE: Duration = Duration::from_millis(60);

/// Largest answer of a budget server.
const MAX_ANSWER_BYTES: usize = 4096;

/// Tries to deliver a settlement, and the pause before the second one.
const SETTLE_TRIES: u32 = 8;
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
const SETTLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Money that a request needs.
#[derive(Clone, Debug)]
pub struct Need {
    /// Identity of the request, for the log.
    pub request: String,
    pub budget: BudgetId,
    /// Tokens prepaid in all, and the version of the catalog that says so.
    pub prepaid: u64,
    pub prepaid_version: u64,
    /// Worst case in tokens.
    pub tokens: u64,
    /// How long each holder may take.
    pub patience: Duration,
    /// Time until the request has ended at the latest.
    pub lifetime: Duration,
}

/// Why no money was had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoMoney {
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
    Own,
}

/// Entry's way to money; clones share it.
#[derive(Clone)]
pub struct BudgetClient {
    pool: HttpPool,
    peers: Arc<Peers>,
    own: Ceilings,
    /// Until when the store is taken to be away from all servers.
    store_rest: Arc<Mutex<Option<Instant>>>,
}

/// Money reserved for one request; dropping it settles what was noted as used.
pub struct Reserved {
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
    pub fn open(pool: HttpPool, peers: Arc<Peers>, own: Ceilings) -> BudgetClient {
        BudgetClient { pool, peers, own, store_rest: Arc::default() }
    }

    /// Reserves the worst case of a request.
    pub async fn reserve(&self, need: &Need) -> Result<Reserved, NoMoney> {
        let mut losses = 0;
        let key = rank::key_of(&need.budget.workspace);
        let most = if self.is_store_resting() { 1 } else { MAX_SERVERS };
        for server in self.peers.ranked_budget_servers(key).into_iter().take(most) {
            match self.ask_server(&server, need).await {
                Some((id, ReservationReply::Granted)) => {
                    return Ok(self.reserved(Holder::Server(server), need, id));
                }
                Some((_, ReservationReply::Exhausted)) => return Err(NoMoney::Exhausted),
                Some((_, ReservationReply::Short)) => return Err(NoMoney::Short),
                Some((_, ReservationReply::Unavailable)) => losses += 1,
                None => {}
            }
        }
        if losses == MAX_SERVERS {
            *self.store_rest() = Some(Instant::now() + STORE_REST);
        }
        if losses > 0 {
            return Err(NoMoney::Unavailable);
        }
        let ask = ask(need);
        let id = ask.id;
        let answer = self.own.ask(ask).await;
        if answer != ReservationReply::Granted {
            log_refused_ask(need, id, "own", answer);
        }
        match answer {
            ReservationReply::Granted => Ok(self.reserved(Holder::Own, need, id)),
            ReservationReply::Exhausted => Err(NoMoney::Exhausted),
            ReservationReply::Short => Err(NoMoney::Short),
            ReservationReply::Unavailable => Err(NoMoney::Unavailable),
        }
    }

    fn store_rest(&self) -> MutexGuard<'_, Option<Instant>> {
        self.store_rest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_store_resting(&self) -> bool {
        self.store_rest().is_some_and(|until| Instant::now() < until)
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
        self.own.close().await;
    }

    fn reserved(&self, holder: Holder, need: &Need, id: ReservationId) -> Reserved {
        let name = match &holder {
            Holder::Server(server) => server.name.as_str(),
            Holder::Own => "own",
        };
        log::info!(
            "event=money_reserved request={} reservation={id:032x} budget={} holder={name} tokens={}",
            need.request,
            need.budget,
            need.tokens
        );
        let (budget, request) = (need.budget.clone(), need.request.clone());
        Reserved { client: self.clone(), holder, budget, id, request, used: 0 }
    }

    async fn ask_server(
        &self,
        server: &PeerEntry,
        need: &Need,
    ) -> Option<(ReservationId, ReservationReply)> {
        let ask = ask(need);
        let id = ask.id;
        let mut abandoned = AbandonedAsk { client: self, server, need, id, is_answered: false };
        let timeout = need.patience + ANSWER_GRACE;
        let answer = self.post(server, RESERVE_PATH, &ask, timeout).await;
        match answer {
            Ok(body) => {
                let answer = serde_json::from_slice(&body).ok()?;
                abandoned.is_answered = true;
                if answer != ReservationReply::Granted {
                    log_refused_ask(need, id, &server.name, answer);
                }
                Some((id, answer))
            }
            Err(failure) => {
                log::info!(
                    target: FAILURE_LOG,
                    "event=budget_server_failed request={} reservation={id:032x} server={} budget={} reason={failure:?}",
                    need.request,
                    server.name,
                    need.budget
                );
                self.peers.failed(server.internal);
                abandoned.is_answered = failure == SendFailure::NotSent;
                None
            }
        }
    }

    fn settle(&self, holder: &Holder, budget: &BudgetId, id: ReservationId, used: u64) {
        match holder {
            Holder::Own => self.own.settle(&Settlement { id, budget: budget.clone(), used }),
            Holder::Server(server) => {
                let settlement = Settlement { id, budget: budget.clone(), used };
                tokio::spawn(self.clone().deliver(server.clone(), settlement));
            }
        }
    }

    async fn deliver(self, server: PeerEntry, settlement: Settlement) {
        let settlements = [settlement];
        for attempt in 0..SETTLE_TRIES {
            if self.post(&server, SETTLE_PATH, &settlements, SETTLE_TIMEOUT).await.is_ok() {
                return;
            }
            tokio::time::sleep(SETTLE_PAUSE * 2_u32.pow(attempt)).await;
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

fn log_refused_ask(need: &Need, id: ReservationId, holder: &str, answer: ReservationReply) {
    log::info!(
        target: FAILURE_LOG,
        "event=money_denied request={} reservation={id:032x} budget={} holder={holder} answer={answer:?} tokens={} prepaid_version={}",
        need.request,
        need.budget,
        need.tokens,
        need.prepaid_version
    );
}

fn ask(need: &Need) -> ReservationRequest {
    ReservationRequest {
        id: rand::random(),
        budget: need.budget.clone(),
        prepaid: need.prepaid,
        prepaid_version: need.prepaid_version,
        tokens: need.tokens,
        max_wait_ms: need.patience.as_millis() as u64,
        lifetime_ms: need.lifetime.as_millis() as u64,
    }
}

/// Cancels an ask whose answer is not known.
struct AbandonedAsk<'a> {
    client: &'a BudgetClient,
    server: &'a PeerEntry,
    need: &'a Need,
    id: ReservationId,
    is_answered: bool,
}

impl Drop for AbandonedAsk<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            let holder = Holder::Server(self.server.clone());
            self.client.settle(&holder, &self.need.budget, self.id, 0);
        }
    }
}

impl Drop for Reserved {
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
