//! Limit of requests that a target has named or that holds while it is cold, and the permits to send to it, as one entry knows
//! them.
//!
//! A target names its limit in each answer for as long as it has one. Answers may overtake each
//! other: one without a limit ends it only if its request was sent after the limit was heard last. The limit of a cold
//! target ends by itself. The stricter of the two holds.

use super::known_limit::{KnownColdLimit, KnownLimit};
use super::send_permits::{PERMIT_VALIDITY_MS, PermitReply, take_unassisted};
use crate::permit_bucket::PermitBucket;
use crate::time::Millis;

/// Time between two log lines about limits of one target that cannot be read, in milliseconds.
const MALFORMED_LOG_INTERVAL_MS: u64 = 60_000;

/// Bounds of the time until an entry asks for permits again, in milliseconds: a reply also brings
/// the news that a limit has changed or ended.
const MIN_ASK_INTERVAL_MS: u64 = 20;
const MAX_ASK_INTERVAL_MS: u64 = 1_000;

/// Time until an entry asks again after no issuer answered, in milliseconds.
const UNANSWERED_INTERVAL_MS: u64 = 500;

/// Change of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// It is as it was.
    Unchanged,
    /// It is this many requests a second now.
    Limited(f64),
    /// There is none any more.
    Ended,
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendDecision {
    /// It may: there is no limit, or a permit was taken.
    Send,
    /// It may not, for this entry was refused a permit a moment ago.
    Wait,
    /// A permit has to be asked for.
    Ask(KnownLimit),
}

/// Latest that an entry has heard of a limit.
#[derive(Clone, Copy, Debug)]
struct HeardLimit {
    per_second: Option<f64>,
    heard_at: Millis,
}

/// Limit of a cold target.
#[derive(Clone, Copy, Debug, Default)]
struct ColdLimit {
    /// `None` if the service has no cold targets.
    per_second: Option<f64>,
    until: Millis,
}

/// What an entry knows of a target's limit.
#[derive(Clone, Debug, Default)]
pub struct TargetLimit {
    heard: Option<HeardLimit>,
    cold: ColdLimit,
    /// Permits that are left, and until when they are valid.
    permits: u32,
    permits_until: Millis,
    /// When permits may be asked for again, and when there may be one.
    ask_at: Millis,
    ready_at: Millis,
    /// Permits of this entry's own, while no issuer answers.
    unassisted: Option<PermitBucket>,
    /// When a limit that cannot be read was logged last.
    malformed_logged_at: Option<Millis>,
}

impl TargetLimit {
    /// Returns the requests a second that the target takes from all entries together; `None` if it
    /// names no limit.
    pub fn per_second(&self) -> Option<f64> {
        self.heard.and_then(|heard| heard.per_second)
    }

    /// Sets the requests a second that the target takes while it is cold, and until when it is.
    pub fn set_cold(&mut self, per_second: Option<f64>, until: Millis) {
        self.cold = ColdLimit { per_second, until };
    }

    /// Returns whether the limit of a cold target holds.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.cold_limit(now).is_some()
    }

    /// Applies what an answer says; `sent_at` is when its request was sent.
    pub fn apply(&mut self, limit: Option<f64>, sent_at: Millis, now: Millis) -> LimitChange {
        let is_outdated = self.heard.is_some_and(|heard| sent_at < heard.heard_at);
        if limit.is_none() && (self.per_second().is_none() || is_outdated) {
            return LimitChange::Unchanged;
        }
        self.replace(limit, now)
    }

    /// Applies the reply of an issuer to a request for permits.
    pub fn apply_reply(&mut self, reply: &PermitReply, now: Millis) -> LimitChange {
        let is_newer =
            |heard_at: &Millis| self.heard.is_none_or(|heard| heard.heard_at < *heard_at);
        let change = match reply.limit.heard_at(now).filter(is_newer) {
            Some(heard_at) => self.replace(reply.limit.per_second, heard_at),
            None => LimitChange::Unchanged,
        };
        self.unassisted = None;
        // Requests that asked at the same time share what any of them was granted.
        if reply.granted > 0 || !self.has_permit(now) {
            self.permits = reply.granted;
            self.permits_until = now.plus(PERMIT_VALIDITY_MS);
        }
        let wait_ms = if reply.granted > 0 { 0 } else { reply.wait_ms };
        self.wait(wait_ms, MAX_ASK_INTERVAL_MS, now);
        change
    }

    /// Records that no issuer answered; returns whether this entry may send by itself.
    pub fn take_unassisted(&mut self, entry_count: u64, random: f64, now: Millis) -> bool {
        let Some(per_second) = self.in_force(now) else { return true };
        self.wait(UNANSWERED_INTERVAL_MS, UNANSWERED_INTERVAL_MS, now);
        // The first permits of the entries are due at different times.
        let bucket = self.unassisted.get_or_insert_with(|| PermitBucket::new(random, now));
        take_unassisted(bucket, per_second, entry_count, now)
    }

    /// Decides on a request, and takes a permit for it if there is one.
    pub fn decide(&mut self, now: Millis) -> SendDecision {
        if self.in_force(now).is_none() {
            return SendDecision::Send;
        }
        if self.has_permit(now) {
            self.permits -= 1;
            return SendDecision::Send;
        }
        if now < self.ask_at {
            return SendDecision::Wait;
        }
        SendDecision::Ask(self.known(now))
    }

    /// Returns whether a request may be sent, as far as is known without asking.
    pub fn is_open(&self, now: Millis) -> bool {
        self.in_force(now).is_none() || self.has_permit(now) || now >= self.ask_at
    }

    /// Returns whether a request may be sent without asking for a permit.
    pub fn is_ready(&self, now: Millis) -> bool {
        self.in_force(now).is_none() || self.has_permit(now)
    }

    /// Returns the time until there may be a permit, in milliseconds; 0 without a limit.
    pub fn wait_ms(&self, now: Millis) -> u64 {
        if self.is_open(now) { 0 } else { self.ready_at.max(self.ask_at).since(now) }
    }

    /// Returns whether a limit that cannot be read is to be logged now, at most once a minute.
    pub fn may_log_malformed(&mut self, now: Millis) -> bool {
        let logged_at = self.malformed_logged_at;
        if logged_at.is_some_and(|at| now.since(at) < MALFORMED_LOG_INTERVAL_MS) {
            return false;
        }
        self.malformed_logged_at = Some(now);
        true
    }

    /// Returns the stricter of the limits that hold.
    fn in_force(&self, now: Millis) -> Option<f64> {
        let cold = self.cold_limit(now).map(|cold| cold.per_second);
        self.per_second().into_iter().chain(cold).reduce(f64::min)
    }

    fn cold_limit(&self, now: Millis) -> Option<KnownColdLimit> {
        let left_ms = self.cold.until.since(now);
        let per_second = self.cold.per_second.filter(|_| left_ms > 0)?;
        Some(KnownColdLimit { per_second, left_ms })
    }

    /// Returns what this entry tells an issuer.
    fn known(&self, now: Millis) -> KnownLimit {
        let heard = self.heard.map(|heard| KnownLimit::new(heard.per_second, heard.heard_at, now));
        heard.unwrap_or_else(KnownLimit::unheard).with_cold(self.cold_limit(now))
    }

    fn has_permit(&self, now: Millis) -> bool {
        self.permits > 0 && now < self.permits_until
    }

    fn wait(&mut self, wait_ms: u64, max_ask_interval_ms: u64, now: Millis) {
        self.ready_at = now.plus(wait_ms);
        self.ask_at = match wait_ms {
            0 => now,
            _ => now.plus(wait_ms.clamp(MIN_ASK_INTERVAL_MS, max_ask_interval_ms)),
        };
    }

    fn replace(&mut self, limit: Option<f64>, heard_at: Millis) -> LimitChange {
        let before = self.per_second();
        self.heard = Some(HeardLimit { per_second: limit, heard_at });
        match limit {
            _ if limit == before => LimitChange::Unchanged,
            Some(per_second) => LimitChange::Limited(per_second),
            None => LimitChange::Ended,
        }
    }
}
