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
    HOLDER_COMMITTED, HOLDER_DRAWS, HOLDER_EPOCH, RESERVE_PATH, SETTLE_PATH, WITNESS_PATH,
};
use super::ceilings::Ceilings;
use super::draws::{DrawHandle, Draws};
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
    /// Tokens that are drawn with the reservation itself.
    pub first_draw: u64,
    /// Tokens of each further draw.
    pub draw_step: u64,
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
enum Holder {
    Server(PeerRecord),
    Local,
}

/// Reservation at one holder, for a request or the rest of one.
pub struct Part {
    holder: Holder,
    id: ReservationId,
    tokens: u64,
    /// Draws at a server; `None` at a holder that does not lapse reservations.
    draws: Option<DrawHandle>,
}

impl Part {
    /// Returns the tokens that may be used.
    pub fn limit(&self) -> u64 {
        self.draws.as_ref().map_or(self.tokens, |draws| draws.state().limit.min(self.tokens))
    }

    /// Returns how many draws in a row have failed.
    pub fn draw_failures(&self) -> u32 {
        self.draws.as_ref().map_or(0, |draws| draws.state().failures)
    }

    /// Draws up to `tokens`, in all, in the background.
    pub fn want(&self, tokens: u64) {
        if let Some(draws) = &self.draws {
            draws.want(tokens.min(self.tokens));
        }
    }

    /// Waits for news of a draw.
    pub async fn draw_changed(&mut self) {
        match &mut self.draws {
            Some(draws) => draws.changed().await,
            None => std::future::pending().await,
        }
    }
}

/// Client for reservations; clones share its state.
#[derive(Clone)]
pub struct BudgetClient {
    client: PeerClient,
    local_ceilings: Ceilings,
    /// Settlements on their way to budget servers.
    settlements: SettlementQueue,
    draws: Draws,
    load: LoadMonitor,
    /// What holders had committed at their latest reservations.
    witnesses: GrantWitnesses,
    /// Until when the store is assumed to be unreachable from all servers.
    store_backoff_until: Arc<Mutex<Option<Instant>>>,
}

impl BudgetClient {
    /// Opens a client of the listed budget servers and of the entry's own ceilings.
    pub fn open(client: PeerClient, local_ceilings: Ceilings, load: LoadMonitor) -> BudgetClient {
        BudgetClient {
            draws: Draws::spawn(client.clone()),
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
    pub async fn reserve(&self, params: &ReservationParams) -> Result<Part, ReservationDenied> {
        let mut unavailable_servers = 0;
        let key = rank::key_of(&params.budget.workspace);
        let max_servers = if self.is_store_backing_off() { 1 } else { MAX_SERVERS };
        for server in self.client.peers.ranked_budget_servers(key).into_iter().take(max_servers) {
            match self.reserve_at(&server, params).await {
                Some((ReservationReply::Granted, part)) => return Ok(part),
                Some((ReservationReply::Exhausted, _)) => return Err(ReservationDenied::Exhausted),
                Some((ReservationReply::Short, _)) => return Err(ReservationDenied::Short),
                Some((ReservationReply::Unavailable, _)) => unavailable_servers += 1,
                None => {}
            }
        }
        if unavailable_servers == MAX_SERVERS {
            *self.store_backoff_until() = Some(Instant::now() + STORE_BACKOFF);
        }
        if unavailable_servers > 0 {
            return Err(ReservationDenied::Unavailable);
        }
        // The entry's own ceilings end with it, so that there is nobody to draw for.
        let request = ReservationRequest { drawn: None, ..reservation_request(params) };
        let part =
            Part { holder: Holder::Local, id: request.id, tokens: params.tokens, draws: None };
        let reply = self.local_ceilings.reserve(request).await;
        log_reply(params, part.id, "own", reply);
        match reply {
            ReservationReply::Granted => Ok(part),
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

    /// Requests a reservation from a budget server; returns `None` if it did not reply.
    async fn reserve_at(
        &self,
        server: &PeerRecord,
        params: &ReservationParams,
    ) -> Option<(ReservationReply, Part)> {
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
                log_reply(params, id, &server.name, reply);
                let is_drawn =
                    reply == ReservationReply::Granted && headers.contains_key(HOLDER_DRAWS);
                let draws = is_drawn.then(|| {
                    let (server, budget) = (server.clone(), params.budget.clone());
                    self.draws.open(server, budget, id, params.first_draw)
                });
                let holder = Holder::Server(server.clone());
                Some((reply, Part { holder, id, tokens: params.tokens, draws }))
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

    /// Settles a reservation of a request at its holder.
    pub fn settle(&self, part: Part, params: &ReservationParams, used: u64) {
        let Part { holder, id, .. } = part;
        log::info!(
            "event=money_settled request={} reservation={id:032x} budget={} used={used}",
            params.request,
            params.budget
        );
        self.settle_at(&holder, &params.budget, id, used);
    }

    /// Settles a reservation; a server is notified in the background.
    fn settle_at(&self, holder: &Holder, budget: &BudgetId, id: ReservationId, used: u64) {
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

/// Logs the reply of a holder.
fn log_reply(params: &ReservationParams, id: ReservationId, holder: &str, reply: ReservationReply) {
    if reply == ReservationReply::Granted {
        return log::info!(
            "event=money_reserved request={} reservation={id:032x} budget={} holder={holder} tokens={}",
            params.request,
            params.budget,
            params.tokens
        );
    }
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
        drawn: Some(params.first_draw),
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
            self.client.settle_at(&holder, &self.params.budget, self.id, 0);
        }
    }
}
