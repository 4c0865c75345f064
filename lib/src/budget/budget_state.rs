//! Books of one budget at one entry: its grant, what it lent and what it borrowed.

use std::collections::VecDeque;

use tokio::sync::oneshot;

use super::ledger::Grant;
use crate::id::{BudgetId, EpochId};
use crate::result_code::Refusal;
use crate::time::Millis;
use crate::wire::{BudgetSync, Funding, FundingPart};

/// Where the answer to a reservation goes.
pub type ReserveReply = oneshot::Sender<Result<Funding, Refusal>>;

/// Time constant of the drawing rate, in milliseconds.
const RATE_WINDOW_MS: u64 = 10_000;

/// Money lent to one peer process, in running totals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Process that borrowed: the epoch it started with.
    pub instance: EpochId,
    pub given: u64,
    /// Share of `given` that the borrower is known to have heard of.
    pub received: u64,
    pub returned: u64,
    pub spent: u64,
    /// Tokens whose charge only witnesses know.
    pub unknown_charge: u64,
}

impl Loan {
    /// Whether the borrower still holds money of it.
    pub fn is_open(&self) -> bool {
        self.given > self.returned + self.spent
    }
}

/// The entry's grant of one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnGrant {
    pub epoch: EpochId,
    /// Grant as the store last confirmed it.
    pub record: Grant,
    /// Least total among writes that may still take effect.
    pub unresolved_total: Option<u64>,
    /// Write in flight.
    pub pending: Option<Grant>,
    /// Whether the books started from what the store holds.
    pub loaded: bool,
    pub charged: u64,
    pub reserved: u64,
    /// Share of `reserved` whose charge only witnesses know.
    pub unknown_charge: u64,
    pub loans: Vec<Loan>,
}

impl OwnGrant {
    /// Empty grant of an epoch.
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

    /// Tokens that the store certainly grants, whichever write takes effect.
    pub fn limit(&self) -> u64 {
        let pending = self.pending.map_or(u64::MAX, |grant| grant.granted);
        self.record.granted.min(pending).min(self.unresolved_total.unwrap_or(u64::MAX))
    }

    /// Tokens lent out and not handed back.
    pub fn lent(&self) -> u64 {
        self.loans.iter().map(|loan| loan.given - loan.returned).sum()
    }

    /// Tokens lent to a process that it may still spend.
    pub fn lent_to(&self, instance: Option<EpochId>) -> u64 {
        let loans = self.loans.iter().filter(|loan| Some(loan.instance) == instance);
        loans.map(|loan| loan.given - loan.returned - loan.spent).sum()
    }

    /// Tokens spent, reserved or lent.
    pub fn committed(&self) -> u64 {
        self.charged + self.reserved + self.lent()
    }

    /// Tokens known to be spent, borrowers included.
    pub fn settled(&self) -> u64 {
        let lent: u64 = self.loans.iter().map(|loan| loan.spent).sum();
        (self.charged + lent).max(self.record.settled)
    }

    /// Tokens that can be reserved now.
    pub fn available(&self) -> u64 {
        self.limit().saturating_sub(self.committed())
    }

    /// Loan to a process, opened empty if there is none.
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

    /// Takes over a borrower's totals; stale ones change nothing.
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

    /// Whether the charge of some spending is known to witnesses only.
    pub fn has_unknown_charge(&self) -> bool {
        self.unknown_charge > 0 || self.loans.iter().any(|loan| loan.unknown_charge > 0)
    }
}

/// Money borrowed under a peer's epoch, in running totals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Borrowing {
    pub root: EpochId,
    /// Process that lent: the epoch it started with.
    pub instance: EpochId,
    pub received: u64,
    pub returned: u64,
    pub charged: u64,
    pub reserved: u64,
    /// Share of `reserved` whose charge only witnesses know.
    pub unknown_charge: u64,
    /// Whether the lender does not know the newest totals.
    pub dirty: bool,
}

impl Borrowing {
    /// Tokens that can be reserved now.
    pub fn available(&self) -> u64 {
        self.received.saturating_sub(self.returned + self.charged + self.reserved)
    }

    /// Marks up to `tokens` as handed back; the lender hears of it later.
    pub fn return_tokens(&mut self, tokens: u64) {
        let tokens = tokens.min(self.available());
        self.returned += tokens;
        self.dirty |= tokens > 0;
    }
}

/// Request that waits for money.
pub struct Waiter {
    pub tokens: u64,
    pub deadline: Millis,
    pub queued_at: Millis,
    pub reply: ReserveReply,
}

/// Account as the store last showed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountSnapshot {
    pub read_at: Millis,
    pub prepaid: u64,
    pub free: u64,
    /// Tokens known to be spent in the whole fleet.
    pub spent: u64,
}

/// Books of one budget.
pub struct BudgetState {
    pub budget: BudgetId,
    pub shard: u32,
    pub own: OwnGrant,
    /// Grants of this entry's former epochs that are not settled yet.
    pub retired: Vec<OwnGrant>,
    /// Borrowed money, sorted by root.
    pub borrowings: Vec<Borrowing>,
    pub waiters: VecDeque<Waiter>,
    pub last_read: Option<AccountSnapshot>,
    /// Whether the store was read and has no account for the budget.
    pub account_missing: bool,
    pub last_used: Millis,
    /// Whether this entry keeps money of the budget although nobody draws on it.
    pub standby: bool,
    /// Worst case of the latest request.
    pub last_request_tokens: u64,
    /// When the store is asked again after it had no free money.
    pub retry_at: Millis,
    /// Peer that is asked next.
    pub next_peer: usize,
    rate_tokens: u64,
    rate_at: Millis,
}

impl BudgetState {
    /// Opens empty books.
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
            last_used: now,
            standby: false,
            last_request_tokens: 0,
            retry_at: now,
            next_peer: 0,
            rate_tokens: 0,
            rate_at: now,
        }
    }

    /// Tokens that can be reserved now, own and borrowed.
    pub fn available(&self) -> u64 {
        self.own.available() + self.borrowed()
    }

    /// Borrowed tokens that can be reserved now.
    pub fn borrowed(&self) -> u64 {
        self.borrowings.iter().map(Borrowing::available).sum()
    }

    /// Tokens that waiting requests lack.
    pub fn shortfall(&self) -> u64 {
        let wanted: u64 = self.waiters.iter().map(|waiter| waiter.tokens).sum();
        wanted.saturating_sub(self.available())
    }

    /// Upper bound on what the whole fleet can still spend, as last seen.
    pub fn max_unspent(&self) -> Option<u64> {
        let last_read = self.last_read?;
        let unwritten = self.own.settled() - self.own.record.settled;
        Some(last_read.prepaid.saturating_sub(last_read.spent + unwritten))
    }

    /// Tokens drawn a second, smoothed.
    pub fn spend_rate(&self) -> u64 {
        self.rate_tokens / (RATE_WINDOW_MS / 1_000)
    }

    /// Counts a draw for the rate.
    pub fn record_request(&mut self, tokens: u64, now: Millis) {
        self.decay_rate(now);
        self.rate_tokens += tokens;
        self.last_request_tokens = tokens;
        self.last_used = now;
    }

    /// Lets the rate sink with time.
    pub fn decay_rate(&mut self, now: Millis) {
        let passed = now.since(self.rate_at).min(RATE_WINDOW_MS);
        self.rate_tokens -= self.rate_tokens * passed / RATE_WINDOW_MS;
        self.rate_at = now;
    }

    /// Reserves tokens, from the own grant alone if it covers them.
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

    /// Ends a reservation with its charge.
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

    /// Keeps a reservation whose charge is unknown.
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

    /// Moves the own grant to the retired ones and starts one for `epoch`.
    pub fn rotate_epoch(&mut self, epoch: EpochId) {
        let retired = std::mem::replace(&mut self.own, OwnGrant::new(epoch));
        let mut retired = retired;
        let limit = retired.limit();
        retired.unresolved_total = Some(limit);
        if retired.record.granted > 0 || retired.pending.is_some() || retired.committed() > 0 {
            self.retired.push(retired);
        }
    }

    /// Borrowed money under a root epoch.
    pub fn borrowing_mut(&mut self, root: EpochId) -> Option<&mut Borrowing> {
        let at = self.borrowings.binary_search_by_key(&root, |borrowing| borrowing.root).ok()?;
        Some(&mut self.borrowings[at])
    }

    /// Takes over a lender's total; a stale one changes nothing.
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

    /// Whether nothing of the budget needs to be remembered here.
    ///
    /// Running totals of loans and borrowed money must outlive their money.
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
