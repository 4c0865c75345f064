//! A sidecar's receipts: running totals of what it ran under each root epoch.
//!
//! A root epoch may spend here only after its record in the store names this
//! incarnation, so that whoever closes the epoch knows that it must ask here.
//! A sidecar that restarts has lost its receipts and knows no epoch.

use std::sync::Mutex;

use super::SpendWitness;
use crate::id::{BudgetId, EpochId};
use crate::result_code::{Refusal, ResultCode};
use crate::wire::{Funding, ReceiptTotal, WitnessReply, WitnessRequest};

/// When a request refused for want of enrolment may be sent again.
const ENROLL_RETRY_MS: u64 = 100;

/// Books of one sidecar incarnation.
pub struct Receipts {
    incarnation: u64,
    tables: Mutex<Tables>,
}

#[derive(Default)]
struct Tables {
    /// Epochs that asked here, sorted by epoch.
    epochs: Vec<EpochRow>,
}

struct EpochRow {
    epoch: EpochId,
    closed: bool,
    /// Totals, sorted by budget.
    totals: Vec<ReceiptTotal>,
}

impl Receipts {
    /// Opens empty books for a sidecar that has just started.
    pub fn open(incarnation: u64) -> Receipts {
        Receipts { incarnation, tables: Mutex::default() }
    }

    /// Answers an entry's question.
    pub fn answer(&self, req: WitnessRequest) -> WitnessReply {
        let mut tables = self.tables.lock().expect("no holder panics");
        match req {
            WitnessRequest::Incarnation => self.reply(false, Vec::new()),
            WitnessRequest::Enroll { epoch, incarnation } => {
                let enrolled = incarnation == self.incarnation && tables.enroll(epoch);
                self.reply(enrolled, Vec::new())
            }
            WitnessRequest::Close { epoch } => self.reply(false, tables.close(epoch)),
        }
    }

    fn reply(&self, enrolled: bool, totals: Vec<ReceiptTotal>) -> WitnessReply {
        WitnessReply { incarnation: self.incarnation, enrolled, totals }
    }
}

impl Tables {
    fn row(&self, epoch: EpochId) -> Option<&EpochRow> {
        let at = self.epochs.binary_search_by_key(&epoch, |row| row.epoch).ok()?;
        Some(&self.epochs[at])
    }

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

    fn enroll(&mut self, epoch: EpochId) -> bool {
        !self.row_mut(epoch).closed
    }

    fn close(&mut self, epoch: EpochId) -> Vec<ReceiptTotal> {
        let row = self.row_mut(epoch);
        row.closed = true;
        row.totals.clone()
    }

    fn check(&self, epoch: EpochId) -> Result<(), Refusal> {
        match self.row(epoch) {
            Some(row) if row.closed => {
                Err(Refusal::new(ResultCode::EpochClosed, format!("epoch {epoch} is closed")))
            }
            Some(_) => Ok(()),
            None => {
                let detail = format!("epoch {epoch} is not enrolled at this sidecar");
                Err(Refusal::new(ResultCode::EpochClosed, detail).retry_after(ENROLL_RETRY_MS))
            }
        }
    }
}

impl EpochRow {
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
        let mut tables = self.tables.lock().expect("no holder panics");
        for part in &funding.parts {
            tables.check(part.root)?;
        }
        for part in &funding.parts {
            tables.row_mut(part.root).total(&funding.budget).reserved += part.amount;
        }
        Ok(())
    }

    fn charge(&self, funding: &Funding, charge: u64) {
        let mut tables = self.tables.lock().expect("no holder panics");
        for (part, spent) in funding.split(charge) {
            let total = tables.row_mut(part.root).total(&funding.budget);
            total.reserved = total.reserved.saturating_sub(part.amount);
            total.charged += spent;
        }
    }

    fn is_closed(&self, epoch: EpochId) -> bool {
        let tables = self.tables.lock().expect("no holder panics");
        tables.row(epoch).is_some_and(|row| row.closed)
    }
}
