//! Replies to the requests that wait at a ceiling: which are granted, and which are refused.

use std::collections::VecDeque;

use super::super::store_era::StoreEra;
use super::super::store_health::StoreHealth;
use super::super::stored_account::others_totals;
use super::super::{CeilingEffect, ReservationReply, ReservationRequest};
use super::{BudgetCeiling, WaitingRequest};
use crate::budget::ledger::Account;
use crate::id::EpochId;
use crate::result_code::FAILURE_LOG;
use crate::time::Millis;

impl BudgetCeiling {
    /// Grants waiting requests in their order as long as the ceiling covers them.
    pub(super) fn grant_waiting(&mut self, now: Millis, effects: &mut Vec<CeilingEffect>) {
        while let Some(first) = self.waiting.front() {
            let tokens = first.req.tokens;
            if self.committed().saturating_add(tokens) > self.ceiling {
                return;
            }
            let Some(WaitingRequest { req, .. }) = self.waiting.pop_front() else { return };
            self.spending.reserve(&req, now);
            log::info!(
                "event=reserved reservation={:032x} budget={} tokens={tokens} used={} reserved={} ceiling={}",
                req.id,
                self.budget,
                self.spending.used(),
                self.spending.reserved(),
                self.ceiling
            );
            effects.push(CeilingEffect::Answer { id: req.id, reply: ReservationReply::Granted });
        }
    }

    /// Refuses the waiting requests whose deadline has passed or that do not fit into
    /// the account.
    pub(super) fn refuse_waiting(
        &mut self,
        epoch: EpochId,
        store: &StoreHealth,
        era: &StoreEra,
        now: Millis,
        effects: &mut Vec<CeilingEffect>,
    ) {
        let mut kept = VecDeque::new();
        let mut tokens_ahead = 0_u64;
        while let Some(waiting) = self.waiting.pop_front() {
            let reply = self.refusal(epoch, store, era, &waiting, tokens_ahead, now);
            match reply {
                None => {
                    tokens_ahead = tokens_ahead.saturating_add(waiting.req.tokens);
                    kept.push_back(waiting);
                }
                Some(reply) => {
                    self.log_refusal(epoch, &waiting.req, reply);
                    effects.push(CeilingEffect::Answer { id: waiting.req.id, reply });
                }
            }
        }
        self.waiting = kept;
    }

    pub(super) fn log_refusal(
        &self,
        epoch: EpochId,
        req: &ReservationRequest,
        reply: ReservationReply,
    ) {
        let (granted, settled) = match &self.last_read {
            Some(stored) => others_totals(&stored.account, epoch),
            None => (0, 0),
        };
        log::info!(
            target: FAILURE_LOG,
            "event=money_refused reservation={:032x} budget={} reply={reply:?} tokens={} prepaid={} \
             prepaid_version={} used={} reserved={} ceiling={} others_granted={granted} \
             others_settled={settled} account_seen={}",
            req.id,
            self.budget,
            req.tokens,
            self.prepaid,
            self.prepaid_version,
            self.spending.used(),
            self.spending.reserved(),
            self.ceiling,
            self.last_read.is_some()
        );
    }

    /// Returns the refusal of a waiting request; `None` while it may still be granted.
    ///
    /// `tokens_ahead` are the tokens of the requests that wait before it.
    pub(super) fn refusal(
        &self,
        epoch: EpochId,
        store: &StoreHealth,
        era: &StoreEra,
        waiting: &WaitingRequest,
        tokens_ahead: u64,
        now: Millis,
    ) -> Option<ReservationReply> {
        let tokens = waiting.req.tokens;
        if self.is_exhausted(epoch, tokens, now) {
            return Some(ReservationReply::Exhausted);
        }
        // With no store call open and none allowed yet, waiting longer would not help.
        let must_pause = store.is_backing_off(now) || store.is_unavailable() && now < self.retry_at;
        let is_stuck = self.pending.is_none() && must_pause;
        if now >= waiting.deadline || is_stuck {
            return Some(ReservationReply::Unavailable);
        }
        let stored = self.last_read.as_ref()?;
        let needed = self.committed().saturating_add(tokens_ahead).saturating_add(tokens);
        let has_settled = self.pending.is_none() && self.lost_ceiling.is_none();
        if has_settled && needed > self.ceiling && !era.may_raise(stored.era, now) {
            return Some(ReservationReply::Unavailable);
        }
        let exceeds_account = needed > self.max_ceiling(&stored.account, epoch);
        (exceeds_account && self.pending.is_none()).then_some(ReservationReply::Short)
    }

    /// Returns the largest ceiling that the account allows this holder.
    pub(super) fn max_ceiling(&self, account: &Account, epoch: EpochId) -> u64 {
        self.prepaid.saturating_sub(others_totals(account, epoch).0)
    }

    /// Returns whether the tokens would not fit even if all other holders spent no more, and nothing that
    /// is in doubt was spent.
    pub(super) fn is_exhausted(&self, epoch: EpochId, tokens: u64, now: Millis) -> bool {
        let Some(stored) = self.last_read.as_ref() else { return false };
        let others_settled = others_totals(&stored.account, epoch).1;
        let certain = self.spending.used() + self.spending.certainly_reserved(now);
        others_settled.saturating_add(certain).saturating_add(tokens) > self.prepaid
    }
}
