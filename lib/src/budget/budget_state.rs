//! In-memory state of one budget at one entry: its grant, its loans to peers and its borrowings.
//!
//! [`BudgetSystem`](super::BudgetSystem) reserves and settles requests against this state. Amounts
//! are in tokens, and epochs named "root" are those under which the store granted the tokens.

use std::collections::VecDeque;

use tokio::sync::oneshot;

use super::ledger::Grant;
use crate::id::{BudgetId, EpochId};
use crate::result_code::Refusal;
use crate::time::Millis;
use crate::wire::{BudgetSync, Funding, FundingPart};

/// Channel for the result of a reservation: its funding, or the refusal.
pub type FundingSender = oneshot::Sender<Result<Funding, Refusal>>;

/// Time constant of the smoothed rate of requested tokens, in milliseconds.
const RATE_WINDOW_MS: u64 = 10_000;

/// Tokens lent to one peer process, as running totals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Borrowing process, identified by the epoch it started with.
    pub instance: EpochId,
    /// Tokens lent in total.
    pub given: u64,
    /// Share of `given` that the borrower has acknowledged.
    pub received: u64,
    /// Tokens that the borrower has returned.
    pub returned: u64,
    /// Tokens that the borrower has spent.
    pub spent: u64,
    /// Tokens whose charge only witnesses know.
    pub unknown_charge: u64,
}

impl Loan {
    /// Returns whether the borrower still holds tokens of the loan.
    pub fn is_open(&self) -> bool {
        self.given > self.returned + self.spent
    }
}

/// Tokens of one budget that the ledger grants to one epoch of this entry, and their use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnGrant {
    /// Epoch that holds the grant.
    pub epoch: EpochId,
    /// Grant as the store last confirmed it.
    pub record: Grant,
    /// Lowest granted total among writes of unknown outcome that may still take effect.
    pub unresolved_total: Option<u64>,
    /// Grant that the write in flight would record.
    pub pending: Option<Grant>,
    /// Whether `charged` already includes what the store records as settled.
    pub loaded: bool,
    /// Tokens charged to finished requests.
    pub charged: u64,
    /// Tokens reserved by requests that still run.
    pub reserved: u64,
    /// Share of `reserved` whose charge only witnesses know.
    pub unknown_charge: u64,
    /// Loans to peer processes, sorted by instance.
    pub loans: Vec<Loan>,
}

impl OwnGrant {
    /// Creates an empty grant for an epoch.
    pub fn new(epoch: EpochId) -> OwnGrant {
        OwnGrant {
            epoch,
            record: Grant { epoch, granted: 0, settled: 0 },
            unresolved_total: None,
            pending: None,
            loaded: false,
            charged: 0,
            reserved: 0,
            unknown_charge: 0,
            loans: Vec::new(),
        }
    }

    /// Returns the tokens that the store grants whichever of the open writes takes effect.
    pub fn limit(&self) -> u64 {
        let pending = self.pending.map_or(u64::MAX, |grant| grant.granted);
        self.record.granted.min(pending).min(self.unresolved_total.unwrap_or(u64::MAX))
    }

    /// Returns the tokens lent and not returned.
    pub fn lent(&self) -> u64 {
        self.loans.iter().map(|loan| loan.given - loan.returned).sum()
    }

    /// Returns the tokens lent to a process that it may still spend.
    pub fn lent_to(&self, instance: Option<EpochId>) -> u64 {
        let loans = self.loans.iter().filter(|loan| Some(loan.instance) == instance);
        loans.map(|loan| loan.given - loan.returned - loan.spent).sum()
    }

    /// Returns the tokens charged, reserved or lent.
    pub fn committed(&self) -> u64 {
        self.charged + self.reserved + self.lent()
    }

    /// Returns the tokens known to be spent, those spent by borrowers included.
    pub fn settled(&self) -> u64 {
        let lent: u64 = self.loans.iter().map(|loan| loan.spent).sum();
        (self.charged + lent).max(self.record.settled)
    }

    /// Returns the tokens that can be reserved now.
    pub fn available(&self) -> u64 {
        self.limit().saturating_sub(self.committed())
    }

    /// Returns the loan to a process; creates an empty one if there is none.
    pub fn loan(&mut self, instance: EpochId) -> &mut Loan {
        let at = match self.loans.binary_search_by_key(&instance, |loan| loan.instance) {
            Ok(at) => at,
            Err(at) => {
                let loan = Loan {
                    instance,
                    given: 0,
                    received: 0,
                    returned: 0,
                    spent: 0,
                    unknown_charge: 0,
                };
                self.loans.insert(at, loan);
                at
            }
        };
        &mut self.loans[at]
    }

    /// Merges the totals that a borrower reports; stale or impossible totals change nothing.
    pub fn apply_borrower_totals(&mut self, instance: EpochId, sync: &BudgetSync) {
        let loan = self.loan(instance);
        if sync.spent.saturating_add(sync.returned) > loan.given {
            return;
        }
        loan.received = loan.received.max(sync.received.min(loan.given));
        loan.spent = loan.spent.max(sync.spent);
        loan.returned = loan.returned.max(sync.returned);
        loan.unknown_charge = loan.unknown_charge.max(sync.unknown);
    }

    /// Returns whether some charge, own or of a borrower, is known to witnesses only.
    pub fn has_unknown_charge(&self) -> bool {
        self.unknown_charge > 0 || self.loans.iter().any(|loan| loan.unknown_charge > 0)
    }
}

/// Tokens borrowed under a peer's epoch, as running totals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Borrowing {
    /// Epoch of the lender under which the tokens were granted.
    pub root: EpochId,
    /// Lending process, identified by the epoch it started with.
    pub instance: EpochId,
    /// Tokens received from the lender in total.
    pub received: u64,
    /// Tokens returned to the lender.
    pub returned: u64,
    /// Tokens charged to finished requests.
    pub charged: u64,
    /// Tokens reserved by requests that still run.
    pub reserved: u64,
    /// Share of `reserved` whose charge only witnesses know.
    pub unknown_charge: u64,
    /// Whether changed totals still have to be sent to the lender.
    pub dirty: bool,
}

impl Borrowing {
    /// Returns the tokens that can be reserved now.
    pub fn available(&self) -> u64 {
        self.received.saturating_sub(self.returned + self.charged + self.reserved)
    }

    /// Returns up to `tokens` of the unused tokens; the next message reports it to the lender.
    pub fn return_tokens(&mut self, tokens: u64) {
        let tokens = tokens.min(self.available());
        self.returned += tokens;
        self.dirty |= tokens > 0;
    }
}

/// Request that waits until its tokens can be reserved.
pub struct Waiter {
    /// Tokens to reserve.
    pub tokens: u64,
    /// When the request is refused at the latest.
    pub deadline: Millis,
    /// When the request began to wait.
    pub queued_at: Millis,
    /// Channel for the result.
    pub reply: FundingSender,
}

/// Totals of a budget's account as last read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountSnapshot {
    /// When the account was read.
    pub read_at: Millis,
    /// Tokens prepaid in total.
    pub prepaid: u64,
    /// Tokens not granted to any epoch.
    pub free: u64,
    /// Tokens recorded as spent in the whole fleet.
    pub spent: u64,
}

/// State of one budget at this entry.
pub struct BudgetState {
    /// Budget that the state belongs to.
    pub budget: BudgetId,
    /// Ledger shard that holds the budget's account.
    pub shard: u32,
    /// Grant of this entry's current epoch.
    pub own: OwnGrant,
    /// Grants of this entry's former epochs that are not settled yet.
    pub retired: Vec<OwnGrant>,
    /// Tokens borrowed from peers, sorted by root epoch.
    pub borrowings: Vec<Borrowing>,
    /// Requests that wait for tokens, oldest first.
    pub waiters: VecDeque<Waiter>,
    /// Account as last read; `None` before the first read or without an account.
    pub last_read: Option<AccountSnapshot>,
    /// Whether the store was read and has no account for the budget.
    pub account_missing: bool,
    /// When a reservation was last requested, or when the state was created.
    pub last_used_at: Millis,
    /// Whether this entry keeps tokens of the budget while no request spends from it.
    pub standby: bool,
    /// Worst case of the latest request, in tokens.
    pub last_request_tokens: u64,
    /// Time before which the store is not read again for waiting requests after it had too few
    /// free tokens.
    pub retry_at: Millis,
    /// Index, in order of distance, of the next peer to borrow from; it wraps around.
    pub next_peer: usize,
    /// Sum of requested tokens that decays with [`RATE_WINDOW_MS`].
    rate_tokens: u64,
    /// When `rate_tokens` was last decayed.
    rate_at: Millis,
}

impl BudgetState {
    /// Creates an empty state without tokens.
    pub fn new(budget: BudgetId, shard: u32, epoch: EpochId, now: Millis) -> BudgetState {
        BudgetState {
            budget,
            shard,
            own: OwnGrant::new(epoch),
            retired: Vec::new(),
            borrowings: Vec::new(),
            waiters: VecDeque::new(),
            last_read: None,
            account_missing: false,
            last_used_at: now,
            standby: false,
            last_request_tokens: 0,
            retry_at: now,
            next_peer: 0,
            rate_tokens: 0,
            rate_at: now,
        }
    }

    /// Returns the tokens that can be reserved now, own and borrowed.
    pub fn available(&self) -> u64 {
        self.own.available() + self.borrowed()
    }

    /// Returns the borrowed tokens that can be reserved now.
    pub fn borrowed(&self) -> u64 {
        self.borrowings.iter().map(Borrowing::available).sum()
    }

    /// Returns the tokens that waiting requests need beyond those available.
    pub fn shortfall(&self) -> u64 {
        let needed: u64 = self.waiters.iter().map(|waiter| waiter.tokens).sum();
        needed.saturating_sub(self.available())
    }

    /// Returns an upper bound on what the whole fleet can still spend, as of the last read.
    ///
    /// It is `None` until the account was read.
    pub fn max_unspent(&self) -> Option<u64> {
        let last_read = self.last_read?;
        let unrecorded = self.own.settled() - self.own.record.settled;
        Some(last_read.prepaid.saturating_sub(last_read.spent + unrecorded))
    }

    /// Returns the smoothed rate of the worst cases of requests, in tokens per second.
    pub fn requested_tokens_per_s(&self) -> u64 {
        self.rate_tokens / (RATE_WINDOW_MS / 1_000)
    }

    /// Counts a request's worst case in the rate of requested tokens.
    pub fn record_request(&mut self, tokens: u64, now: Millis) {
        self.decay_rate(now);
        self.rate_tokens += tokens;
        self.last_request_tokens = tokens;
        self.last_used_at = now;
    }

    /// Reduces the rate of requested tokens by the time passed since its last update.
    pub fn decay_rate(&mut self, now: Millis) {
        let passed = now.since(self.rate_at).min(RATE_WINDOW_MS);
        self.rate_tokens -= self.rate_tokens * passed / RATE_WINDOW_MS;
        self.rate_at = now;
    }

    /// Reserves tokens, from the own grant alone if it covers them, otherwise from borrowings
    /// first.
    ///
    /// Returns `None` and reserves nothing if too few tokens are available.
    pub fn reserve(&mut self, holder: EpochId, tokens: u64) -> Option<Funding> {
        if tokens > self.available() {
            return None;
        }
        let mut parts = Vec::new();
        let mut left = tokens;
        if self.own.available() < tokens {
            for borrowing in &mut self.borrowings {
                let amount = borrowing.available().min(left);
                if amount > 0 {
                    borrowing.reserved += amount;
                    parts.push(FundingPart { root: borrowing.root, amount });
                    left -= amount;
                }
            }
        }
        if left > 0 {
            self.own.reserved += left;
            parts.push(FundingPart { root: self.own.epoch, amount: left });
        }
        Some(Funding { holder, budget: self.budget.clone(), parts })
    }

    /// Ends a reservation: adds the charge and releases the rest.
    pub fn settle(&mut self, funding: &Funding, charge: u64) {
        for (part, spent) in funding.split(charge) {
            if let Some(grant) = self.grant_mut(part.root) {
                grant.reserved = grant.reserved.saturating_sub(part.amount);
                grant.charged += spent;
            } else if let Some(borrowing) = self.borrowing_mut(part.root) {
                borrowing.reserved = borrowing.reserved.saturating_sub(part.amount);
                borrowing.charged += spent;
                borrowing.dirty = true;
            }
        }
    }

    /// Keeps a reservation whose charge is unknown, until a witness reports the charge.
    pub fn settle_unknown(&mut self, funding: &Funding) {
        for part in &funding.parts {
            if let Some(grant) = self.grant_mut(part.root) {
                grant.unknown_charge += part.amount;
            } else if let Some(borrowing) = self.borrowing_mut(part.root) {
                borrowing.unknown_charge += part.amount;
                borrowing.dirty = true;
            }
        }
    }

    /// Retires the own grant and starts an empty one for `epoch`.
    ///
    /// Lenders ignore what they receive under an epoch that they have seen closed, so the totals
    /// of all borrowings are sent again under the new one.
    pub fn rotate_epoch(&mut self, epoch: EpochId) {
        self.borrowings.iter_mut().for_each(|borrowing| borrowing.dirty = true);
        let retired = std::mem::replace(&mut self.own, OwnGrant::new(epoch));
        let mut retired = retired;
        let limit = retired.limit();
        retired.unresolved_total = Some(limit);
        if retired.record.granted > 0 || retired.pending.is_some() || retired.committed() > 0 {
            self.retired.push(retired);
        }
    }

    /// Returns the borrowing under a root epoch.
    pub fn borrowing_mut(&mut self, root: EpochId) -> Option<&mut Borrowing> {
        let at = self.borrowings.binary_search_by_key(&root, |borrowing| borrowing.root).ok()?;
        Some(&mut self.borrowings[at])
    }

    /// Merges the total that a lender reports as given; a stale total changes nothing.
    pub fn apply_lender_total(&mut self, root: EpochId, instance: EpochId, given: u64) {
        let at = match self.borrowings.binary_search_by_key(&root, |borrowing| borrowing.root) {
            Ok(at) => at,
            Err(_) if given == 0 => return,
            Err(at) => {
                let borrowing = Borrowing {
                    root,
                    instance,
                    received: 0,
                    returned: 0,
                    charged: 0,
                    reserved: 0,
                    unknown_charge: 0,
                    dirty: false,
                };
                self.borrowings.insert(at, borrowing);
                at
            }
        };
        let borrowing = &mut self.borrowings[at];
        borrowing.received = borrowing.received.max(given);
    }

    /// Returns whether the state can be dropped without losing anything.
    ///
    /// Running totals of loans and borrowings must outlive the tokens, as late messages refer to
    /// them.
    pub fn is_settled(&self) -> bool {
        self.waiters.is_empty()
            && self.retired.is_empty()
            && self.borrowings.is_empty()
            && self.own.pending.is_none()
            && self.own.unresolved_total.is_none()
            && self.own.loans.is_empty()
            && self.own.record.granted == self.own.settled()
            && self.own.record.settled == self.own.settled()
    }

    fn grant_mut(&mut self, root: EpochId) -> Option<&mut OwnGrant> {
        if self.own.epoch == root {
            return Some(&mut self.own);
        }
        self.retired.iter_mut().find(|grant| grant.epoch == root)
    }
}
