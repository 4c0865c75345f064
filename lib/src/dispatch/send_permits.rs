//! Permits to send to targets that have named a limit or are cold; the limit holds for all entries together.
//!
//! One budget server issues the permits for a target, so that their sum keeps to the limit whatever
//! the number of entries is. A second server, and the entries themselves if neither answers, issue
//! so few that the sum holds even while some entries reach the first server and others do not. An
//! issuer that starts anew begins without a permit.

use serde::{Deserialize, Serialize};

use super::known_limit::KnownLimit;
use super::target_process::TargetProcess;
use crate::permit_bucket::PermitBucket;
use crate::time::Millis;

/// Share of the limit that the second server issues.
const SECOND_SHARE: f64 = 0.3;

/// Share of the limit that all entries together send while no server answers them.
const UNASSISTED_SHARE: f64 = 0.05;

/// Lowest rate of permits, in requests a second: an answer is needed to learn that a limit ended.
const MIN_RATE: f64 = 0.05;

/// Time for which a permit is valid, in milliseconds.
pub const PERMIT_VALIDITY_MS: u64 = 150;

/// Time whose permits are issued at once, in seconds, if that is more than one.
const BATCH_S: f64 = 0.1;

/// Time after which an issuer forgets a target that nobody asks for, in milliseconds.
const RETENTION_MS: u64 = 300_000;

/// Place of an issuer among those of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IssuerRank {
    First,
    Second,
}

/// What an entry knows of a target's limit, as it tells an issuer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    pub target: TargetProcess,
    pub limit: KnownLimit,
}

/// Request of an entry for permits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    pub report: LimitReport,
    /// Place of the issuer as the entry ranks it.
    pub rank: IssuerRank,
}

/// Reply of an issuer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Latest that is known of the limit.
    pub limit: KnownLimit,
    /// Requests that the entry may send within [`PERMIT_VALIDITY_MS`].
    pub granted: u32,
    /// Time until there may be a permit again, in milliseconds.
    pub wait_ms: u64,
}

/// Takes a permit of an entry that no issuer answers; `entry_count` is the number of entries.
pub fn take_unassisted(
    bucket: &mut PermitBucket,
    per_second: f64,
    entry_count: u64,
    now: Millis,
) -> bool {
    let rate = (per_second * UNASSISTED_SHARE).max(MIN_RATE) / entry_count.max(1) as f64;
    bucket.refill(rate, 1.0, now);
    let is_taken = bucket.available() > 0;
    if is_taken {
        bucket.spend(1);
    }
    is_taken
}

/// Target as an issuer knows it.
#[derive(Clone, Debug)]
struct Row {
    target: TargetProcess,
    /// Latest that entries have told of the limit, and when it was heard; `None` if they have heard
    /// of none.
    named: Option<(Option<f64>, Millis)>,
    /// Limit while the target is cold, and until when it is.
    cold: Option<(f64, Millis)>,
    bucket: PermitBucket,
    used_at: Millis,
}

impl Row {
    fn new(target: TargetProcess, now: Millis) -> Row {
        let bucket = PermitBucket::new(0.0, now);
        Row { target, named: None, cold: None, bucket, used_at: now }
    }

    /// Applies what an entry knows.
    fn apply(&mut self, limit: &KnownLimit, now: Millis) {
        self.used_at = now;
        let is_newer = |heard_at: &Millis| self.named.is_none_or(|(_, before)| before < *heard_at);
        if let Some(heard_at) = limit.heard_at(now).filter(is_newer) {
            self.named = Some((limit.per_second, heard_at));
        }
        if let Some(cold) = limit.cold {
            let until = now.plus(cold.left_ms);
            let before = self.cold.map_or(until, |(_, before)| before);
            self.cold = Some((cold.per_second, until.max(before)));
        }
    }

    /// Returns what is known of the limit that the target names.
    fn known(&self, now: Millis) -> KnownLimit {
        match self.named {
            Some((per_second, heard_at)) => KnownLimit::new(per_second, heard_at, now),
            None => KnownLimit::unheard(),
        }
    }

    /// Returns the stricter of the limits that hold.
    fn in_force(&self, now: Millis) -> Option<f64> {
        let named = self.named.and_then(|(per_second, _)| per_second);
        let cold = self.cold.filter(|(_, until)| now < *until).map(|(per_second, _)| per_second);
        named.into_iter().chain(cold).reduce(f64::min)
    }
}

/// Issues permits for the targets that entries ask for.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer {
    /// Sorted by target.
    rows: Vec<Row>,
}

impl PermitIssuer {
    /// Applies what an entry knows of a limit.
    pub fn apply_report(&mut self, report: &LimitReport, now: Millis) {
        self.row(report, now);
    }

    /// Issues the permits that there are, or says how long to wait.
    pub fn issue(&mut self, req: &PermitRequest, now: Millis) -> PermitReply {
        let row = self.row(&req.report, now);
        let limit = row.known(now);
        let Some(per_second) = row.in_force(now) else {
            return PermitReply { limit, granted: 0, wait_ms: 0 };
        };
        let share = match req.rank {
            IssuerRank::First => 1.0,
            IssuerRank::Second => SECOND_SHARE,
        };
        let rate = (per_second * share).max(MIN_RATE);
        row.bucket.refill(rate, (rate * BATCH_S).max(1.0), now);
        let granted = row.bucket.available();
        row.bucket.spend(granted);
        let wait_ms = if granted > 0 { 0 } else { row.bucket.wait_ms(1, rate).max(1) };
        PermitReply { limit, granted, wait_ms }
    }

    /// Returns the row of a target after a report.
    fn row(&mut self, report: &LimitReport, now: Millis) -> &mut Row {
        let LimitReport { target, limit } = report;
        let at = match self.rows.binary_search_by(|row| row.target.cmp(target)) {
            Ok(at) => at,
            Err(_) => self.insert(target, now),
        };
        let row = &mut self.rows[at];
        row.apply(limit, now);
        row
    }

    /// Inserts a target and returns its index; removes those that nobody asks for any more.
    fn insert(&mut self, target: &TargetProcess, now: Millis) -> usize {
        self.rows.retain(|row| now.since(row.used_at) < RETENTION_MS);
        let at = self.rows.partition_point(|row| row.target < *target);
        self.rows.insert(at, Row::new(target.clone(), now));
        at
    }
}
