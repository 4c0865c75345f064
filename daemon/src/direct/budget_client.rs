//! Reservations for an entry's requests, from a budget server or the entry's own ceilings.
//!
//! All entries rank the budget servers of a budget in the same order, so that normally
//! one holder grants all its reservations and knows exactly what is left of it. Other
//! holders never overspend it either: if a server cannot be used, an entry asks the next
//! one, and its own ceilings if none answers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hyper::header::HeaderMap;
use rosemarymoor_lib::budget::ceiling::{
    GrantWitness, ReservationId, ReservationReply, ReservationRequest, Settlement, WitnessReport,
};
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::id::{BudgetId, EpochId};
use rosemarymoor_lib::kv_store::{EraReceiver, RestoreWatch};
use rosemarymoor_lib::result_code::FAILURE_LOG;

use super::budget_server::{
    HOLDER_COMMITTED, HOLDER_EPOCH, RESERVE_PATH, SETTLE_PATH, WITNESS_PATH,
};
use super::ceilings::Ceilings;
use super::grant_witnesses::GrantWitnesses;
use super::load_monitor::LoadMonitor;
use super::peer_client::PeerClient;
use super::peers::PeerRecord;
use super::settlement_queue::SettlementQueue;
use crate::http_pool::SendError;

/// Number of budget servers that are asked for one reservation or notified of one crash.
/// The second one is asked if the first one does not answer or cannot reach the store.
const MAX_SERVERS: usize = 2;

/// Time for which only the first server is asked after none of those asked could reach
/// the store: the first one may have headroom left, the others have none.
const STORE_BACKOFF: Duration = Duration::from_millis(400);

/// Time beyond the requested wait in which the answer of a budget server has to arrive.
const ANSWER_GRACE: Duration = Duration::from_millis(60);

/// Number of reports after a restore, and the time from one to the next. They outlast the time for
/// which a holder that is cut off goes on, and end before free tokens are granted again.
const WITNESS_REPORTS: u32 = 6;
const WITNESS_REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of attempts to deliver a settlement.
const SETTLE_ATTEMPTS: u32 = 8;

/// Pause after the first failed attempt to deliver a settlement; doubles with each one.
const MIN_SETTLE_BACKOFF: Duration = Duration::from_millis(100);

/// Timeout of one attempt to deliver a settlement or to report a crash.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Parameters of the reservation for one request.
#[derive(Clone, Debug)]
pub struct ReservationParams {
    /// Identity of the request, for the log.
    pub request: String,
    pub budget: BudgetId,
    /// Total of prepaid tokens.
    pub prepaid: u64,
    /// Version of the catalog that states `prepaid`.
    pub prepaid_version: u64,
    /// Worst case of the request in tokens.
    pub tokens: u64,
    /// Longest wait for the reply of one holder.
    pub max_wait: Duration,
    /// Time from now after which the request has certainly ended.
    pub lifetime: Duration,
}

/// Reason why no tokens were reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationDenied {
    /// The remaining budget certainly does not cover the request.
    Exhausted,
    /// Other holders have the remaining tokens.
    Short,
    /// No holder that was asked could reach the store.
    Unavailable,
}

/// Process that holds a reservation.
#[derive(Clone)]
enum Holder {
    Server(PeerRecord),
    Local,
}

/// Client for reservations; clones share its state.
#[derive(Clone)]
pub struct BudgetClient {
    client: PeerClient,
    local_ceilings: Ceilings,
    /// Settlements on their way to budget servers.
    settlements: SettlementQueue,
    load: LoadMonitor,
    /// What holders had committed at their latest reservations.
    witnesses: GrantWitnesses,
    /// Until when the store is assumed to be unreachable from all servers.
    store_backoff_until: Arc<Mutex<Option<Instant>>>,
}

/// Tokens reserved for one request; dropping it settles the tokens used.
pub struct Reservation {
    client: BudgetClient,
    holder: Holder,
    budget: BudgetId,
    id: ReservationId,
    /// Identity of the request, for the log.
    request: String,
    /// Tokens used so far.
    pub used: u64,
}

impl BudgetClient {
    /// Opens a client of the listed budget servers and of the entry's own ceilings.
    pub fn open(client: PeerClient, local_ceilings: Ceilings, load: LoadMonitor) -> BudgetClient {
        BudgetClient {
            client,
            local_ceilings,
            settlements: SettlementQueue::default(),
            load,
            witnesses: GrantWitnesses::default(),
            store_backoff_until: Arc::default(),
        }
    }

    /// Reserves the worst case of a request at the first holder that grants or denies it.
    ///
    /// The entry's own ceilings are asked only if no budget server replied.
    pub async fn reserve(
        &self,
        params: &ReservationParams,
    ) -> Result<Reservation, ReservationDenied> {
        let mut unavailable_servers = 0;
        let key = rank::key_of(&params.budget.workspace);
        let max_servers = if self.is_store_backing_off() { 1 } else { MAX_SERVERS };
        for server in self.client.peers.ranked_budget_servers(key).into_iter().take(max_servers) {
            match self.reserve_at(&server, params).await {
                Some((id, ReservationReply::Granted)) => {
                    return Ok(self.open_reservation(Holder::Server(server), params, id));
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
        let reply = self.local_ceilings.reserve(request).await;
        if reply != ReservationReply::Granted {
            log_denied(params, id, "own", reply);
        }
        match reply {
            ReservationReply::Granted => Ok(self.open_reservation(Holder::Local, params, id)),
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

    /// Waits until what is told to budget servers has been, settlements above all, and returns the tokens
    /// of the entry's own ceilings, for a graceful stop; gives up after `timeout`.
    pub async fn close(&self, timeout: Duration) {
        let returning = tokio::time::timeout(timeout, self.local_ceilings.close());
        let (returned, left) = tokio::join!(returning, self.client.finish_reports(timeout));
        let timeout_ms = timeout.as_millis();
        if returned.is_err() {
            log::warn!("event=money_kept reason=process_ends timeout_ms={timeout_ms}");
        }
        if left > 0 {
            log::warn!("event=reports_left count={left} timeout_ms={timeout_ms}");
        }
    }

    /// Logs a granted reservation and returns its guard.
    fn open_reservation(
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

    /// Requests a reservation from a budget server; returns `None` if it did not reply.
    async fn reserve_at(
        &self,
        server: &PeerRecord,
        params: &ReservationParams,
    ) -> Option<(ReservationId, ReservationReply)> {
        let request = reservation_request(params);
        let id = request.id;
        let mut unanswered =
            UnansweredRequest { client: self, server, params, id, answered: false };
        let timeout = params.max_wait + ANSWER_GRACE;
        let reply = self.client.post(server, RESERVE_PATH, &request, timeout).await;
        match reply {
            Ok((headers, body)) => {
                self.client.peers.record_answer(server.internal);
                self.record_witness(&params.budget, &headers);
                let reply = serde_json::from_slice(&body).ok()?;
                unanswered.answered = true;
                if reply != ReservationReply::Granted {
                    log_denied(params, id, &server.name, reply);
                }
                Some((id, reply))
            }
            Err(err) => {
                log::info!(
                    target: FAILURE_LOG,
                    "event=budget_server_failed request={} reservation={id:032x} server={} budget={} reason={err:?}",
                    params.request,
                    server.name,
                    params.budget
                );
                // A process that runs late itself cannot tell whether the server is slow.
                if !self.load.is_unready() {
                    self.client.peers.record_failure(server.internal);
                }
                unanswered.answered = err == SendError::NotSent;
                None
            }
        }
    }

    /// Remembers what a holder had committed when it granted a reservation.
    fn record_witness(&self, budget: &BudgetId, headers: &HeaderMap) {
        let number = |name| headers.get(name)?.to_str().ok()?.parse::<u64>().ok();
        let (Some(epoch), Some(committed)) = (number(HOLDER_EPOCH), number(HOLDER_COMMITTED))
        else {
            return;
        };
        let epoch = EpochId(epoch);
        self.witnesses.record(GrantWitness { budget: budget.clone(), epoch, committed });
    }

    /// Spawns the task that reports the committed tokens to the budgets' servers after each restore
    /// of the store: those of a holder that died are known to nobody else.
    ///
    /// All servers of the data centre get a report, since one without requests does not call the
    /// store and would not learn of the restore.
    pub fn report_after_restores(self, era: Option<EraReceiver>, data_center: String) {
        let Some(mut restores) = era.map(RestoreWatch::open) else { return };
        tokio::spawn(async move {
            loop {
                let era = restores.restored().await;
                // A holder that is cut off goes on for a while, so the reports are repeated.
                for _ in 0..WITNESS_REPORTS {
                    self.report_witnesses(era, &data_center).await;
                    tokio::time::sleep(WITNESS_REPORT_INTERVAL).await;
                }
            }
        });
    }

    /// Reports what holders had committed to the servers that may pay for the budgets next, all of
    /// them at once.
    async fn report_witnesses(&self, era: u64, data_center: &str) {
        let known = self.witnesses.all();
        let local_servers =
            self.client.peers.local_budget_servers(data_center, rank::key_of(data_center));
        let empty = WitnessReport { era, witnesses: Vec::new() };
        let mut reports: Vec<(PeerRecord, WitnessReport)> =
            local_servers.into_iter().map(|server| (server, empty.clone())).collect();
        for witness in known {
            self.local_ceilings.apply_witness(&witness);
            let key = rank::key_of(&witness.budget.workspace);
            for server in self.client.peers.ranked_budget_servers(key).into_iter().take(MAX_SERVERS)
            {
                match reports.iter_mut().find(|report| report.0.internal == server.internal) {
                    Some(report) => report.1.witnesses.push(witness.clone()),
                    None => {
                        let witnesses = vec![witness.clone()];
                        reports.push((server, WitnessReport { era, witnesses }));
                    }
                }
            }
        }
        let sending = reports.iter().map(async |(server, report)| {
            if let Err(err) = self.client.post(server, WITNESS_PATH, report, SETTLE_TIMEOUT).await {
                log::warn!("event=witness_not_reported server={} reason={err:?}", server.name);
            }
        });
        join_all(sending).await;
    }

    /// Settles a reservation at its holder; a server is notified in the background.
    fn settle(&self, holder: &Holder, budget: &BudgetId, id: ReservationId, used: u64) {
        match holder {
            Holder::Local => {
                self.local_ceilings.settle(&Settlement { id, budget: budget.clone(), used })
            }
            Holder::Server(server) => {
                let settlement = Settlement { id, budget: budget.clone(), used };
                if self.settlements.push(server.internal, settlement) {
                    self.client.spawn_report(self.clone().deliver_settlements(server.clone()));
                }
            }
        }
    }

    /// Sends the settlements for a server, those that arrive meanwhile included. One call at a
    /// time carries all that wait, so that a slow server costs no more than one connection.
    async fn deliver_settlements(self, server: PeerRecord) {
        while let Some(settlements) = self.settlements.take(server.internal) {
            if !self.deliver_batch(&server, &settlements).await {
                log_lost(&server, &settlements);
            }
        }
    }

    /// Sends settlements until they are confirmed or all attempts have failed.
    async fn deliver_batch(&self, server: &PeerRecord, settlements: &[Settlement]) -> bool {
        for attempt in 0..SETTLE_ATTEMPTS {
            if self.client.post(server, SETTLE_PATH, &settlements, SETTLE_TIMEOUT).await.is_ok() {
                return true;
            }
            tokio::time::sleep(MIN_SETTLE_BACKOFF * 2_u32.pow(attempt)).await;
        }
        false
    }
}

fn log_lost(server: &PeerRecord, settlements: &[Settlement]) {
    for Settlement { id, budget, used } in settlements {
        log::warn!(
            "event=settlement_lost server={} budget={budget} reservation={id:032x} used={used}",
            server.name
        );
    }
}

fn log_denied(
    params: &ReservationParams,
    id: ReservationId,
    holder: &str,
    reply: ReservationReply,
) {
    log::info!(
        target: FAILURE_LOG,
        "event=money_denied request={} reservation={id:032x} budget={} holder={holder} answer={reply:?} tokens={} prepaid_version={}",
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

/// Guard of a request to a server; dropping it without a known reply settles the
/// reservation with no tokens used.
struct UnansweredRequest<'a> {
    client: &'a BudgetClient,
    server: &'a PeerRecord,
    params: &'a ReservationParams,
    id: ReservationId,
    answered: bool,
}

impl Drop for UnansweredRequest<'_> {
    fn drop(&mut self) {
        if !self.answered {
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
