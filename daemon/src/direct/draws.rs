//! Draws of an entry's open reservations at budget servers.
//!
//! An entry uses no more of a reservation than its server has confirmed as drawn, so that the server
//! knows how much an entry may have spent that died. It draws ahead of need, and what is due at one
//! server within a moment shares a call.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rosemarymoor_lib::budget::ceiling::{Draw, ReservationId};
use rosemarymoor_lib::id::BudgetId;
use tokio::sync::{Notify, watch};

use super::budget_server::DRAW_PATH;
use super::peer_client::PeerClient;
use super::peers::PeerRecord;

/// Interval of word of an open reservation, a third of the time without word after which it lapses.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_300);

/// Time for which a draw waits for others at its server, which share a call.
const SHARE_TIME: Duration = Duration::from_millis(60);

/// Time by which word may come early to share a call.
const MAX_EARLY: Duration = Duration::from_millis(500);

/// Pause after a draw that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Most reservations in one call, whose answer stays below its size limit.
const MAX_DRAWS_PER_CALL: usize = 200;

/// What a server has confirmed of one reservation.
#[derive(Clone, Copy, Debug)]
pub struct DrawState {
    /// Tokens that may be used.
    pub limit: u64,
    /// Draws in a row that failed or brought less than was wanted.
    pub failures: u32,
}

/// Open reservation at a server.
struct OpenDraw {
    id: ReservationId,
    budget: BudgetId,
    server: PeerRecord,
    /// Tokens that are to be drawn, in all.
    wanted: u64,
    state: watch::Sender<DrawState>,
    /// When the server has to be called next.
    due: Instant,
    in_call: bool,
}

impl OpenDraw {
    /// Applies the answer to a draw, if there was one.
    fn apply(&mut self, wanted: u64, limit: Option<u64>) {
        self.in_call = false;
        self.state.send_modify(|state| {
            state.limit = state.limit.max(limit.unwrap_or(0));
            state.failures = if state.limit >= wanted { 0 } else { state.failures + 1 };
        });
        let is_enough = self.state.borrow().limit >= self.wanted;
        self.due = Instant::now() + if is_enough { RENEW_INTERVAL } else { RETRY_PAUSE };
    }
}

/// Draws of all open reservations of an entry; clones share them.
#[derive(Clone)]
pub struct Draws {
    shared: Arc<Shared>,
}

struct Shared {
    client: PeerClient,
    open: Mutex<Vec<OpenDraw>>,
    wake: Notify,
}

/// Draws of one reservation, which end when this is dropped.
pub struct DrawHandle {
    id: ReservationId,
    draws: Draws,
    state: watch::Receiver<DrawState>,
}

impl DrawHandle {
    /// Returns what the server has confirmed.
    pub fn state(&self) -> DrawState {
        *self.state.borrow()
    }

    /// Draws up to `tokens`, in all, in the background.
    pub fn want(&self, tokens: u64) {
        self.draws.want(self.id, tokens);
    }

    /// Waits until the server has answered a draw or a draw has failed.
    pub async fn changed(&mut self) {
        // The sender lives as long as this handle.
        let _ = self.state.changed().await;
    }
}

impl Drop for DrawHandle {
    fn drop(&mut self) {
        self.draws.lock().retain(|open| open.id != self.id);
    }
}

impl Draws {
    /// Spawns the task that calls the servers.
    pub fn spawn(client: PeerClient) -> Draws {
        let shared = Shared { client, open: Mutex::default(), wake: Notify::new() };
        let draws = Draws { shared: Arc::new(shared) };
        tokio::spawn(draws.clone().run());
        draws
    }

    /// Adds a reservation of which its server has confirmed that `drawn` tokens are drawn.
    pub fn open(
        &self,
        server: PeerRecord,
        budget: BudgetId,
        id: ReservationId,
        drawn: u64,
    ) -> DrawHandle {
        let sender = watch::Sender::new(DrawState { limit: drawn, failures: 0 });
        let state = sender.subscribe();
        let due = Instant::now() + RENEW_INTERVAL;
        let mut open = self.lock();
        open.push(OpenDraw {
            id,
            budget,
            server,
            wanted: drawn,
            state: sender,
            due,
            in_call: false,
        });
        if open.len() == 1 {
            self.shared.wake.notify_one();
        }
        DrawHandle { id, draws: self.clone(), state }
    }

    fn want(&self, id: ReservationId, tokens: u64) {
        let mut open = self.lock();
        let Some(draw) = open.iter_mut().find(|draw| draw.id == id) else { return };
        if tokens > draw.wanted {
            draw.wanted = tokens;
            draw.due = draw.due.min(Instant::now() + SHARE_TIME);
            self.shared.wake.notify_one();
        }
    }

    async fn run(self) {
        loop {
            let woken = self.shared.wake.notified();
            match self.call_due_servers() {
                None => woken.await,
                Some(due) => {
                    let _ = tokio::time::timeout_at(due.into(), woken).await;
                }
            }
        }
    }

    /// Calls the servers at which a draw is due; returns when to look again.
    fn call_due_servers(&self) -> Option<Instant> {
        let now = Instant::now();
        let mut open = self.lock();
        while let Some(due) = open.iter().find(|draw| !draw.in_call && draw.due <= now) {
            let server = due.server.clone();
            let mut draws = Vec::new();
            let shares_call = |draw: &&mut OpenDraw| {
                !draw.in_call
                    && draw.due <= now + MAX_EARLY
                    && draw.server.internal == server.internal
            };
            for draw in open.iter_mut().filter(shares_call).take(MAX_DRAWS_PER_CALL) {
                draw.in_call = true;
                let OpenDraw { id, budget, wanted, .. } = draw;
                draws.push(Draw { id: *id, budget: budget.clone(), drawn: *wanted });
            }
            tokio::spawn(self.clone().call(server, draws));
        }
        open.iter().filter(|draw| !draw.in_call).map(|draw| draw.due).min()
    }

    /// Draws at a server and applies its answer.
    async fn call(self, server: PeerRecord, draws: Vec<Draw>) {
        let limits = self.post(&server, &draws).await;
        let mut open = self.lock();
        for (index, drawn) in draws.iter().enumerate() {
            let limit = limits.get(index).copied().flatten();
            if let Some(draw) = open.iter_mut().find(|draw| draw.id == drawn.id) {
                draw.apply(drawn.drawn, limit);
            }
        }
        drop(open);
        self.shared.wake.notify_one();
    }

    /// Returns the limits of the reservations in their order; none if the server did not answer.
    async fn post(&self, server: &PeerRecord, draws: &[Draw]) -> Vec<Option<u64>> {
        match self.shared.client.post(server, DRAW_PATH, &draws, CALL_TIMEOUT).await {
            Ok((_, body)) => serde_json::from_slice(&body).unwrap_or_default(),
            Err(err) => {
                log::info!(
                    "event=draw_failed server={} count={} reason={err:?}",
                    server.name,
                    draws.len()
                );
                Vec::new()
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<OpenDraw>> {
        self.shared.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
