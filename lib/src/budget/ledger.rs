//! Ledger: accounts of the prepaid budgets and the grants that epochs hold of them.
//!
//! A shard packs many accounts into one value of the key-value service. For each
//! account `settled + sum(granted) <= prepaid` holds, where a grant's `granted`
//! includes what has been settled under it. Top-ups, grants and settlements are all
//! written as new values of a shard.

use serde::{Deserialize, Serialize};

use crate::id::{BudgetId, EpochId, OperationId, digest128};

/// Version of the encoding, the first byte of every shard.
const LEDGER_VERSION: u8 = 1;

/// Most operations remembered for each account; the first credit is never dropped.
const MAX_OPERATIONS: usize = 64;

/// Returns the key of a ledger shard.
pub fn ledger_key(shard: u32) -> String {
    format!("ledger/{shard}")
}

/// Returns the shard that holds a budget.
pub fn shard_of(budget: &BudgetId, shards: u32) -> u32 {
    let digest = digest128(&["shard", &budget.workspace, &budget.name]);
    (digest % u128::from(shards.max(1))) as u32
}

/// Returns the operation that credits a budget's `initial_tokens`, which is the same at
/// every host.
pub fn initial_operation(budget: &BudgetId) -> OperationId {
    OperationId(digest128(&["initial-tokens", &budget.workspace, &budget.name]))
}

/// Tokens of an account that are granted to one epoch, as running totals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Epoch that may spend the tokens.
    pub epoch: EpochId,
    /// Tokens granted to the epoch, including what it has settled.
    pub granted: u64,
    /// Tokens of the grant that are known to be spent.
    pub settled: u64,
}

impl Grant {
    /// Returns the tokens granted and not settled.
    pub fn open_tokens(&self) -> u64 {
        self.granted.saturating_sub(self.settled)
    }
}

/// Prepaid budget with all grants of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Budget that the account belongs to.
    pub budget: BudgetId,
    /// Tokens prepaid in all.
    pub prepaid: u64,
    /// Tokens settled under epochs that are closed.
    pub settled: u64,
    /// Grants, sorted by epoch.
    pub grants: Vec<Grant>,
    /// Latest applied top-ups, oldest first.
    pub operations: Vec<OperationId>,
}

impl Account {
    fn new(budget: BudgetId) -> Account {
        Account { budget, prepaid: 0, settled: 0, grants: Vec::new(), operations: Vec::new() }
    }

    /// Returns whether the grants can be told apart and added up, whoever wrote the account.
    pub fn has_valid_grants(&self) -> bool {
        let is_sorted = self.grants.is_sorted_by(|former, grant| former.epoch < grant.epoch);
        let granted = self.grants.iter().try_fold(self.settled, |sum, grant| {
            sum.checked_add(grant.granted).filter(|_| grant.settled <= grant.granted)
        });
        is_sorted && granted.is_some()
    }

    /// Returns the tokens that are granted to an epoch or settled.
    pub fn taken(&self) -> u64 {
        self.grants.iter().fold(self.settled, |sum, grant| sum.saturating_add(grant.granted))
    }

    /// Returns the tokens that are neither granted to an epoch nor settled.
    pub fn free(&self) -> u64 {
        self.prepaid.saturating_sub(self.taken())
    }

    /// Returns the tokens known to be spent, under open and closed epochs.
    pub fn spent(&self) -> u64 {
        self.grants.iter().fold(self.settled, |sum, grant| sum.saturating_add(grant.settled))
    }

    /// Returns the grant of an epoch.
    pub fn grant(&self, epoch: EpochId) -> Option<&Grant> {
        let at = self.grants.binary_search_by_key(&epoch, |grant| grant.epoch).ok()?;
        Some(&self.grants[at])
    }

    /// Credits a top-up; returns false if the operation was applied before.
    pub fn top_up(&mut self, tokens: u64, operation: OperationId) -> bool {
        if self.operations.contains(&operation) {
            return false;
        }
        self.prepaid = self.prepaid.saturating_add(tokens);
        self.operations.push(operation);
        self.drop_oldest_operation();
        true
    }

    /// Replaces or adds a grant; returns false and changes nothing if the account does not
    /// cover it.
    pub fn set_grant(&mut self, grant: Grant) -> bool {
        let granted = self.grant(grant.epoch).map_or(0, |former| former.granted);
        if grant.settled > grant.granted || grant.granted > granted.saturating_add(self.free()) {
            return false;
        }
        match self.grants.binary_search_by_key(&grant.epoch, |former| former.epoch) {
            Ok(at) => self.grants[at] = grant,
            Err(at) => self.grants.insert(at, grant),
        }
        true
    }

    /// Removes an epoch's grant: what it has settled stays spent, the rest is free.
    pub fn close_grant(&mut self, epoch: EpochId) {
        if let Ok(at) = self.grants.binary_search_by_key(&epoch, |grant| grant.epoch) {
            let grant = self.grants.remove(at);
            self.settled = self.settled.saturating_add(grant.settled);
        }
    }

    /// Drops the oldest operation beyond the limit, but never the first credit.
    fn drop_oldest_operation(&mut self) {
        if self.operations.len() <= MAX_OPERATIONS {
            return;
        }
        let first_credit = initial_operation(&self.budget);
        if let Some(at) = self.operations.iter().position(|operation| *operation != first_credit) {
            self.operations.remove(at);
        }
    }
}

/// Value of one ledger key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Accounts, sorted by budget.
    pub accounts: Vec<Account>,
    /// Era of the store in which a free token was last granted; 0 if the store states none.
    #[serde(skip)]
    pub era: u64,
}

impl Shard {
    /// Decodes a shard; returns `None` if its encoding is unknown.
    pub fn decode(bytes: &[u8]) -> Option<Shard> {
        let (version, body) = bytes.split_first()?;
        if *version != LEDGER_VERSION {
            return None;
        }
        let (mut shard, rest) = postcard::take_from_bytes::<Shard>(body).ok()?;
        if !rest.is_empty() {
            shard.era = postcard::from_bytes(rest).ok()?;
        }
        Some(shard)
    }

    /// Encodes the shard for [`Shard::decode`]; the era follows the accounts, where builds that
    /// know none do not read it.
    pub fn encode(&self) -> Vec<u8> {
        let encoded = postcard::to_extend(self, vec![LEDGER_VERSION]);
        let encoded = encoded.expect("a shard can be encoded");
        match self.era {
            0 => encoded,
            era => postcard::to_extend(&era, encoded).expect("a number can be encoded"),
        }
    }

    /// Returns the account of a budget.
    pub fn account(&self, budget: &BudgetId) -> Option<&Account> {
        let at = self.position(budget).ok()?;
        Some(&self.accounts[at])
    }

    /// Returns the account of a budget, for changes.
    pub fn account_mut(&mut self, budget: &BudgetId) -> Option<&mut Account> {
        let at = self.position(budget).ok()?;
        Some(&mut self.accounts[at])
    }

    /// Returns the account of a budget, opened empty if there is none.
    pub fn open_account(&mut self, budget: &BudgetId) -> &mut Account {
        let at = match self.position(budget) {
            Ok(at) => at,
            Err(at) => {
                self.accounts.insert(at, Account::new(budget.clone()));
                at
            }
        };
        &mut self.accounts[at]
    }

    fn position(&self, budget: &BudgetId) -> Result<usize, usize> {
        self.accounts.binary_search_by(|account| account.budget.cmp(budget))
    }
}
