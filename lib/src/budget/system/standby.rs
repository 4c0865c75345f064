//! Keeps standby grants of idle budgets.
//!
//! One entry in each data centre keeps some tokens of a budget that no request spends from, so that
//! they are available there during a store outage or a partition. Rendezvous hashing chooses the
//! holder without any message. Entries that see different host lists may choose two holders or
//! none; this affects availability only, never the correctness of the ledger.

use super::*;
use crate::budget::ledger::Shard;
use crate::id::digest128;

/// Most idle budgets of which one entry keeps tokens; it bounds memory where few entries share many
/// budgets.
const MAX_STANDBY_BUDGETS: usize = 4_096;

impl BudgetSystem {
    /// Updates which of the shard's budgets this entry keeps standby tokens of.
    pub(super) fn update_standby_states(&mut self, ledger: &Shard, now: Millis) {
        if !self.policy.keeps_standby() {
            return;
        }
        let held_count = self.budget_states.iter().filter(|state| state.standby).count();
        let mut capacity = MAX_STANDBY_BUDGETS.saturating_sub(held_count);
        for account in &ledger.accounts {
            let known = self.state_index(&account.budget);
            let was_held = known.is_ok_and(|at| self.budget_states[at].standby);
            let may_hold = was_held || (capacity > 0 && (known.is_ok() || account.free() > 0));
            // The check computes a digest for each entry of the data centre, so it comes last.
            let holds = may_hold && self.is_standby_holder(&account.budget);
            if holds || was_held {
                let at = self.ensure_state(&account.budget, now);
                self.budget_states[at].standby = holds;
            }
            capacity -= usize::from(holds && !was_held);
        }
    }

    /// Returns whether this entry ranks first for the budget among those of its data centre.
    fn is_standby_holder(&self, budget: &BudgetId) -> bool {
        let rank = |host: &str| digest128(&["standby", host, &budget.workspace, &budget.name]);
        let own = rank(&self.params.host);
        let neighbours =
            self.peers.iter().filter(|peer| peer.listed && peer.is_in_same_data_center());
        neighbours.map(|peer| rank(&peer.name)).all(|other| other < own)
    }
}
