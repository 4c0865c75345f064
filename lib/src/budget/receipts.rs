//! Receipts of a sidecar: running totals of the tokens reserved and charged under each
//! root epoch.
//!
//! A root epoch may spend here only after its record in the store names this
//! incarnation, so that the entry that closes the epoch knows to ask this sidecar.
//! A sidecar that restarts has lost its receipts and refuses every epoch until it is
//! enrolled again.

use std::sync::Mutex;

use super::SpendWitness;
use crate::id::{BudgetId, EpochId};
use crate::result_code::{Refusal, ResultCode};
use crate::wire::{Funding, ReceiptTotal, WitnessReply, WitnessRequest};

/// Delay after which a request refused for a missing enrolment may be sent again, in
/// milliseconds.
const ENROLL_RETRY_AFTER_MS: u64 = 100;

/// Receipts of one sidecar incarnation.
pub struct Receipts {
    incarnation: u64,
    table: Mutex<EpochTable>,
}

/// Epochs that a sidecar incarnation knows.
#[derive(Default)]
struct EpochTable {
    /// Epochs enrolled or closed here, sorted by epoch.
    epochs: Vec<EpochRow>,
}

/// Totals of one root epoch.
struct EpochRow {
    epoch: EpochId,
    closed: bool,
    /// Totals, sorted by budget.
    totals: Vec<ReceiptTotal>,
}

impl Receipts {
    /// Opens empty receipts for a sidecar that has just started.
    pub fn open(incarnation: u64) -> Receipts {
        Receipts { incarnation, table: Mutex::default() }
    }

    /// Answers an entry's request to the witness.
    pub fn answer(&self, req: WitnessRequest) -> WitnessReply {
        let mut table = self.table.lock().expect("no thread panics while it holds the lock");
        match req {
            WitnessRequest::Incarnation => self.reply(false, Vec::new()),
            WitnessRequest::Enroll { epoch, incarnation } => {
                let enrolled = incarnation == self.incarnation && table.enroll(epoch);
                self.reply(enrolled, Vec::new())
            }
            WitnessRequest::Close { epoch } => self.reply(false, table.close(epoch)),
        }
    }

    fn reply(&self, enrolled: bool, totals: Vec<ReceiptTotal>) -> WitnessReply {
        WitnessReply { incarnation: self.incarnation, enrolled, totals }
    }
}

impl EpochTable {
    fn row(&self, epoch: EpochId) -> Option<&EpochRow> {
        let at = self.epochs.binary_search_by_key(&epoch, |row| row.epoch).ok()?;
        Some(&self.epochs[at])
    }

    /// Returns the row of an epoch, which is added if there is none.
    fn row_mut(&mut self, epoch: EpochId) -> &mut EpochRow {
        let at = match self.epochs.binary_search_by_key(&epoch, |row| row.epoch) {
            Ok(at) => at,
            Err(at) => {
                self.epochs.insert(at, EpochRow { epoch, closed: false, totals: Vec::new() });
                at
            }
        };
        &mut self.epochs[at]
    }

    /// Enrols an epoch; returns false if it is closed.
    fn enroll(&mut self, epoch: EpochId) -> bool {
        !self.row_mut(epoch).closed
    }

    /// Closes an epoch for further requests and returns its totals.
    fn close(&mut self, epoch: EpochId) -> Vec<ReceiptTotal> {
        let row = self.row_mut(epoch);
        row.closed = true;
        row.totals.clone()
    }

    /// Returns a refusal unless the epoch is enrolled and open.
    fn check(&self, epoch: EpochId) -> Result<(), Refusal> {
        match self.row(epoch) {
            Some(row) if row.closed => {
                Err(Refusal::new(ResultCode::EpochClosed, format!("epoch {epoch} is closed")))
            }
            Some(_) => Ok(()),
            None => {
                let detail = format!("epoch {epoch} is not enrolled at this sidecar");
                Err(Refusal::new(ResultCode::EpochClosed, detail)
                    .retry_after(ENROLL_RETRY_AFTER_MS))
            }
        }
    }
}

impl EpochRow {
    /// Returns the total of a budget, which is added if there is none.
    fn total(&mut self, budget: &BudgetId) -> &mut ReceiptTotal {
        let at = match self.totals.binary_search_by(|total| total.budget.cmp(budget)) {
            Ok(at) => at,
            Err(at) => {
                let total = ReceiptTotal { budget: budget.clone(), charged: 0, reserved: 0 };
                self.totals.insert(at, total);
                at
            }
        };
        &mut self.totals[at]
    }
}

impl SpendWitness for Receipts {
    fn admit(&self, funding: &Funding) -> Result<(), Refusal> {
        let mut table = self.table.lock().expect("no thread panics while it holds the lock");
        for part in &funding.parts {
            table.check(part.root)?;
        }
        for part in &funding.parts {
            table.row_mut(part.root).total(&funding.budget).reserved += part.amount;
        }
        Ok(())
    }

    fn charge(&self, funding: &Funding, charge: u64) {
        let mut table = self.table.lock().expect("no thread panics while it holds the lock");
        for (part, spent) in funding.split(charge) {
            let total = table.row_mut(part.root).total(&funding.budget);
            total.reserved = total.reserved.saturating_sub(part.amount);
            total.charged += spent;
        }
    }

    fn is_closed(&self, epoch: EpochId) -> bool {
        let table = self.table.lock().expect("no thread panics while it holds the lock");
        table.row(epoch).is_some_and(|row| row.closed)
    }
}
