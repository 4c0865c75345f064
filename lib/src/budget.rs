//! Prepaid budgets: ledger, grants, reservations and receipts.
//!
//! The invariant lives in the key-value service alone: for each budget,
//! `settled + sum(open grants) <= prepaid`. An entry spends only inside grants
//! whose write it has seen confirmed.

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

pub use budget_state::{Borrowing, BudgetState, Loan, OwnGrant, ReserveReply};
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

/// Money that a request needs before it may be dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReserveRequest {
    pub budget: BudgetId,
    /// Worst case of the request, in tokens.
    pub tokens: u64,
    pub class: Class,
    /// How long the request may wait for money before it is refused.
    pub max_wait: Duration,
}

/// Reserves and settles money for the entry's traffic threads.
#[async_trait]
pub trait BudgetGate: Send + Sync {
    /// Reserves the worst case of a request, or refuses it as not run.
    async fn reserve(&self, req: ReserveRequest) -> Result<Funding, Refusal>;

    /// Ends a reservation: `charge` tokens are spent and the rest is free again.
    ///
    /// A charge above the reserve counts as the whole reserve.
    fn settle(&self, funding: &Funding, charge: u64);

    /// Ends a reservation whose charge is unknown; its money stays counted as
    /// spent until a witness reports the true charge.
    fn settle_unknown(&self, funding: &Funding);

    /// Ends a reservation that a sidecar refused with
    /// [`EpochClosed`](crate::result_code::ResultCode::EpochClosed); nothing is
    /// charged, and a new reservation may be paid under another epoch.
    fn epoch_refused(&self, funding: &Funding) {
        self.settle(funding, 0);
    }

    /// Returns all unspent money and closes the epoch; for a graceful stop.
    async fn close(&self);
}

/// Sidecar's books: what it ran for which epoch.
pub trait SpendWitness: Send + Sync {
    /// Admits a request's money, unless its holder or a root epoch is closed.
    fn admit(&self, funding: &Funding) -> Result<(), Refusal>;

    /// Replaces an admitted reserve by the true charge.
    fn charge(&self, funding: &Funding, charge: u64);

    /// Whether an epoch is known to be closed.
    fn is_closed(&self, epoch: EpochId) -> bool;
}
