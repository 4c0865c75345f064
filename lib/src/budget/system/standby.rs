//! Standby grants: one entry in each data centre keeps some money of a budget
//! that nobody draws on, so that a store outage or a partition finds it there.
//!
//! Rendezvous hashing names the holder without any message. Two entries that
//! see different host lists may both hold, or neither; only comfort rests on it.

use super::*;
use crate::budget::ledger::Shard;
use crate::id::digest128;

/// Idle budgets that one entry keeps money of at most, so that its memory stays
/// bounded where few entries share many budgets.
const MAX_STANDBY_BUDGETS: usize = 4_096;

impl BudgetSystem {
    /// Opens books of the shard's budgets that this entry keeps standby money of.
    pub(super) fn open_standby_states(&mut self, ledger: &Shard, now: Millis) {
        if !self.policy.keeps_standby() {
            return;
        }
        let held = self.budget_states.iter().filter(|state| state.standby).count();
        let mut capacity = MAX_STANDBY_BUDGETS.saturating_sub(held);
        for account in &ledger.accounts {
            let known = self.state_index(&account.budget);
            let was_held = known.is_ok_and(|at| self.budget_states[at].standby);
            let may_hold = was_held || (capacity > 0 && (known.is_ok() || account.free() > 0));
            // The rank costs a digest for each entry nearby, so it comes last.
            let holds = may_hold && self.is_standby_holder(&account.budget);
            if holds || was_held {
                let at = self.ensure_state(&account.budget, now);
                self.budget_states[at].standby = holds;
            }
            capacity -= usize::from(holds && !was_held);
        }
    }

    /// Whether this entry comes first for the budget among those of its data centre.
    fn is_standby_holder(&self, budget: &BudgetId) -> bool {
        let rank = |host: &str| digest128(&["standby", host, &budget.workspace, &budget.name]);
        let own = rank(&self.params.host);
        let near = self.peers.iter().filter(|peer| peer.listed && peer.is_in_same_data_center());
        near.map(|peer| rank(&peer.name)).all(|other| other < own)
    }
}
