//! Prepaid budgets: ledger, grants, reservations and receipts.
//!
//! The worst case of a request is reserved before the request is sent, and its true
//! charge is settled afterwards. The ledger in the key-value service alone keeps budgets
//! from being overspent: for each budget, `settled + sum(open grants) <= prepaid`, and a
//! process spends only within grants whose write the service has confirmed.
//!
//! [`BudgetSystem`] serves entries that lend tokens to each other and whose sidecars keep
//! receipts; [`ceiling::CeilingSystem`] serves processes that share a budget through the
//! store alone.

mod budget_state;
pub mod ceiling;
mod driver;
mod epoch_record;
mod event;
mod handle;
mod ledger;
mod policy;
mod receipts;
mod store;
mod system;

pub use budget_state::{Borrowing, BudgetState, FundingSender, Loan, OwnGrant};
pub use driver::BudgetDriver;
pub use epoch_record::{EpochRecord, EpochState, Witness, epoch_key};
pub use event::{BudgetEffect, BudgetEvent, StoreKey};
pub use handle::{BudgetHandle, BudgetParams, Budgets, open};
pub use ledger::{Account, Grant, Shard, initial_operation, ledger_key, shard_of};
pub use policy::{GrantPolicy, GrantPolicyName, PolicyInput};
pub use receipts::Receipts;
pub use store::{LedgerError, read_account, top_up};
pub use system::{BudgetSystem, SystemParams};

use std::time::Duration;

use async_trait::async_trait;

use crate::id::{BudgetId, EpochId};
use crate::result_code::Refusal;
use crate::wire::{Class, Funding};

/// Reservation that a request needs before it may be dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReserveRequest {
    /// Budget that pays for the request.
    pub budget: BudgetId,
    /// Worst case of the request, in tokens.
    pub tokens: u64,
    /// Class of the request's route.
    pub class: Class,
    /// How long the request may wait for its reservation before it is refused.
    pub max_wait: Duration,
}

/// Reserves and settles tokens for the entry's traffic threads.
#[async_trait]
pub trait BudgetGate: Send + Sync {
    /// Reserves the worst case of a request, or refuses the request, which is then not run.
    async fn reserve(&self, req: ReserveRequest) -> Result<Funding, Refusal>;

    /// Ends a reservation: `charge` tokens are spent and the rest is free again.
    ///
    /// A charge above the reserved tokens counts as exactly the reserved tokens.
    fn settle(&self, funding: &Funding, charge: u64);

    /// Ends a reservation whose charge is unknown; its tokens count as spent until a witness
    /// reports the true charge.
    fn settle_unknown(&self, funding: &Funding);

    /// Ends a reservation that a sidecar refused with
    /// [`EpochClosed`](crate::result_code::ResultCode::EpochClosed); nothing is
    /// charged, and a new reservation may use another epoch.
    fn epoch_refused(&self, funding: &Funding) {
        self.settle(funding, 0);
    }

    /// Returns all unspent tokens, for a graceful stop.
    async fn close(&self);
}

/// Witness at a sidecar: records what each epoch spent there.
pub trait SpendWitness: Send + Sync {
    /// Records a request's reservation; refuses the request if one of its root epochs is
    /// closed or not enrolled here.
    fn admit(&self, funding: &Funding) -> Result<(), Refusal>;

    /// Replaces an admitted reservation by the true charge, in tokens.
    fn charge(&self, funding: &Funding, charge: u64);

    /// Returns whether an epoch is known to be closed.
    fn is_closed(&self, epoch: EpochId) -> bool;
}
