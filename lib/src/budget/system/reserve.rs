//! Reserves tokens for requests, queues requests until tokens are available, and refuses them.

use super::*;
use crate::budget::budget_state::{FundingSender, Waiter};
use crate::result_code::{Refusal, ResultCode};
use crate::wire::Funding;

/// Lower bound of [`ReserveRequest::max_wait`] in milliseconds, which leaves the store and the peers
/// time to answer.
const MIN_WAIT_MS: u64 = 400;

/// Most requests that wait for one budget.
const MAX_WAITERS: usize = 1_024;

/// Age up to which the last read of an account counts as current, in milliseconds.
const LAST_READ_VALID_MS: u64 = 1_000;

/// Time after which a refused caller may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

impl BudgetSystem {
    /// Queues a request, reserves its tokens if they are available, and otherwise starts to obtain
    /// them.
    pub(super) fn reserve(
        &mut self,
        req: ReserveRequest,
        reply: FundingSender,
        now: Millis,
        effects: &mut Vec<BudgetEffect>,
    ) {
        if self.stopping.is_some() {
            let refusal = Refusal::new(ResultCode::ShuttingDown, "the entry hands its money back");
            effects.push(BudgetEffect::Answer { reply, result: Err(refusal) });
            return;
        }
        let at = self.ensure_state(&req.budget, now);
        let state = &mut self.budget_states[at];
        state.record_request(req.tokens, now);
        let max_wait_ms = (req.max_wait.as_millis() as u64).max(MIN_WAIT_MS);
        state.waiters.push_back(Waiter {
            tokens: req.tokens,
            deadline: now.plus(max_wait_ms),
            queued_at: now,
            reply,
        });
        self.serve_waiters(at, now, effects);
        self.request_grant(at, now, effects);
    }

    /// Ends a reservation with its charge and serves requests that wait for the released tokens.
    pub(super) fn settle(
        &mut self,
        funding: &Funding,
        charge: u64,
        now: Millis,
        effects: &mut Vec<BudgetEffect>,
    ) {
        if let Ok(at) = self.state_index(&funding.budget) {
            self.budget_states[at].settle(funding, charge);
            self.serve_waiters(at, now, effects);
        }
    }

    /// Keeps a reservation whose charge is unknown.
    pub(super) fn settle_unknown(&mut self, funding: &Funding) {
        if let Some(state) = self.state_mut(&funding.budget) {
            state.settle_unknown(funding);
        }
    }

    /// Reserves tokens for waiting requests, oldest first; skips those that need more than is
    /// available.
    pub(super) fn serve_waiters(
        &mut self,
        at: usize,
        now: Millis,
        effects: &mut Vec<BudgetEffect>,
    ) {
        let holder = self.epoch;
        let state = &mut self.budget_states[at];
        let mut index = 0;
        while index < state.waiters.len() {
            let tokens = state.waiters[index].tokens;
            let Some(funding) = state.reserve(holder, tokens) else {
                index += 1;
                continue;
            };
            let waiter = state.waiters.remove(index).expect("the index is in range");
            log::debug!(
                "decision=reserve budget={} tokens={tokens} waited_ms={}",
                state.budget,
                now.since(waiter.queued_at)
            );
            effects.push(BudgetEffect::Answer { reply: waiter.reply, result: Ok(funding) });
        }
    }

    /// Starts a read of the budget's shard to request a grant for waiting requests, unless a retry
    /// is not due yet.
    pub(super) fn request_grant(
        &mut self,
        at: usize,
        now: Millis,
        effects: &mut Vec<BudgetEffect>,
    ) {
        let state = &self.budget_states[at];
        if state.waiters.is_empty() {
            return;
        }
        let shard = state.shard;
        if now >= state.retry_at {
            self.slots[shard as usize].mark_due();
            self.start_read(shard, now, effects);
        }
    }

    /// Reserves or refuses waiting requests, and requests grants for those that remain.
    pub(super) fn tick_waiters(&mut self, now: Millis, effects: &mut Vec<BudgetEffect>) {
        for at in 0..self.budget_states.len() {
            if self.budget_states[at].waiters.is_empty() {
                continue;
            }
            self.serve_waiters(at, now, effects);
            self.refuse_expired_waiters(at, now, effects);
            self.request_grant(at, now, effects);
        }
    }

    /// Refuses requests whose deadline has passed, that need more tokens than the whole fleet can
    /// still spend, or that exceed [`MAX_WAITERS`].
    pub(super) fn refuse_expired_waiters(
        &mut self,
        at: usize,
        now: Millis,
        effects: &mut Vec<BudgetEffect>,
    ) {
        let left = self.budget_states[at].max_unspent();
        let state = &mut self.budget_states[at];
        let is_current = state
            .last_read
            .is_some_and(|last_read| now.since(last_read.read_at) < LAST_READ_VALID_MS);
        let read_at = state.last_read.map_or(Millis(0), |last_read| last_read.read_at);
        let mut index = 0;
        while index < state.waiters.len() {
            let waiter = &state.waiters[index];
            let over_limit = index >= MAX_WAITERS;
            let exhausted =
                read_at >= waiter.queued_at && left.is_some_and(|left| left < waiter.tokens);
            if !over_limit && !exhausted && now < waiter.deadline {
                index += 1;
                continue;
            }
            let waiter = state.waiters.remove(index).expect("the index is in range");
            let refusal = refusal(is_current, exhausted);
            log::info!(
                "decision=refuse budget={} tokens={} reason={:?} waited_ms={} available={} left={left:?}",
                state.budget,
                waiter.tokens,
                refusal.code,
                now.since(waiter.queued_at),
                state.available(),
            );
            effects.push(BudgetEffect::Answer { reply: waiter.reply, result: Err(refusal) });
        }
    }

    /// Refuses every request that waits for a budget without an account.
    pub(super) fn refuse_unknown_budget(&mut self, at: usize, effects: &mut Vec<BudgetEffect>) {
        let state = &mut self.budget_states[at];
        for waiter in state.waiters.drain(..) {
            log::info!("decision=refuse budget={} reason=UnknownBudget", state.budget);
            let refusal = Refusal::new(ResultCode::UnknownBudget, "the budget was never credited");
            effects.push(BudgetEffect::Answer { reply: waiter.reply, result: Err(refusal) });
        }
    }
}

/// Returns the refusal of a waiting request.
///
/// `is_current` means that the account was read recently, `exhausted` that too few prepaid tokens
/// are unspent in the whole fleet.
fn refusal(is_current: bool, exhausted: bool) -> Refusal {
    if exhausted {
        return Refusal::new(ResultCode::BudgetExhausted, "the prepaid tokens are spent");
    }
    if is_current {
        let detail = "the unspent tokens are reserved by other requests";
        return Refusal::new(ResultCode::BudgetExhausted, detail).retry_after(RETRY_AFTER_MS);
    }
    let detail = "neither the ledger nor the peers answered in time";
    Refusal::new(ResultCode::BudgetUnavailable, detail).retry_after(RETRY_AFTER_MS)
}
