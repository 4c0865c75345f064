//! Which software version of which service began a stream that may go on elsewhere.
//!
//! What two versions write does not fit together, and targets do not check it. An origin is only
//! recorded from what is certain, and never changes; a stream without a known origin does not go
//! on. Old origins are forgotten, as their callers have given up by then.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::id::digest128;
use crate::time::Millis;

/// Time for which an origin is kept, in milliseconds.
const RETENTION_MS: u64 = 120_000;

/// Maximum number of origins that are kept.
const MAX_ORIGINS: usize = 16_384;

/// Service and software version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Name of the service.
    pub service: String,
    /// Version of the targets' software.
    pub software: String,
}

impl StreamOrigin {
    /// Returns the origin to record of a stream whose origin has become uncertain: it fits no other
    /// one, and no target.
    pub fn uncertain(service: &str) -> StreamOrigin {
        StreamOrigin { service: service.to_owned(), software: String::new() }
    }

    fn is_uncertain(&self) -> bool {
        self.software.is_empty()
    }
}

/// Why the origin of a stream is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginUnknown {
    /// All that were asked answered, and none knows it, or not for certain.
    Nobody,
    /// Some that may know it did not answer.
    NoAnswer,
}

/// Returns the origin on which all agree that know one. `answers` are those of the processes that may know it:
/// `None` if one did not answer, and in it `None` if it knows nothing.
///
/// # Errors
///
/// Returns [`OriginUnknown`] if none knows it, or one does not know it for certain.
pub fn agreed_origin(
    answers: &[Option<Option<StreamOrigin>>],
) -> Result<StreamOrigin, OriginUnknown> {
    let mut known = answers.iter().flatten().flatten();
    let Some(first) = known.next() else {
        let is_silent = answers.is_empty() || answers.contains(&None);
        return Err(if is_silent { OriginUnknown::NoAnswer } else { OriginUnknown::Nobody });
    };
    let is_certain = known.all(|other| other == first) && !first.is_uncertain();
    is_certain.then(|| first.clone()).ok_or(OriginUnknown::Nobody)
}

/// Identity of a stream: the digest of the id of the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamId(u128);

impl StreamId {
    /// Returns the identity of the stream that a request began.
    pub fn begun_by(attempt_id: &str) -> StreamId {
        StreamId(digest128(&[attempt_id.as_bytes()]))
    }

    /// Returns the number by which processes are ranked for the stream.
    pub fn rank_key(self) -> u64 {
        self.0 as u64
    }
}

/// Stream and its origin, as processes tell it each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStream {
    pub id: StreamId,
    pub origin: StreamOrigin,
}

/// Key of an origin in its arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OriginKey(usize);

/// Row for one stream.
#[derive(Clone, Copy, Debug)]
struct Row {
    id: StreamId,
    origin: OriginKey,
    recorded_at: Millis,
}

/// Origins of the latest streams.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    /// Distinct origins; few, as they differ only by service and version.
    origins: Vec<StreamOrigin>,
    /// In the order in which they were recorded.
    rows: VecDeque<Row>,
}

impl StreamOrigins {
    /// Records what began a stream.
    pub fn record(&mut self, stream: &BegunStream, now: Millis) {
        self.forget(now);
        let origin = self.key_of(&stream.origin);
        self.rows.push_back(Row { id: stream.id, origin, recorded_at: now });
    }

    /// Returns what began a stream; `None` if that is not known, or not certain because one id
    /// was used for several streams.
    pub fn find(&self, id: StreamId) -> Option<StreamOrigin> {
        self.answer(id).filter(|origin| !origin.is_uncertain())
    }

    /// Returns what others are told of a stream: an origin that fits no target if it is not certain.
    pub fn answer(&self, id: StreamId) -> Option<StreamOrigin> {
        let mut found = self.rows.iter().filter(|row| row.id == id).map(|row| row.origin);
        let first = found.next()?;
        let origin = &self.origins[first.0];
        match found.all(|other| other == first) {
            true => Some(origin.clone()),
            false => Some(StreamOrigin::uncertain(&origin.service)),
        }
    }

    /// Returns the latest streams recorded since `since`, up to `count`, the newest first.
    pub fn recent(&self, since: Millis, count: usize) -> Vec<BegunStream> {
        let recent = self.rows.iter().rev().take_while(|row| row.recorded_at >= since);
        let to_stream =
            |row: &Row| BegunStream { id: row.id, origin: self.origins[row.origin.0].clone() };
        recent.take(count).map(to_stream).collect()
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn key_of(&mut self, origin: &StreamOrigin) -> OriginKey {
        let known = self.origins.iter().position(|known| known == origin);
        OriginKey(known.unwrap_or_else(|| {
            self.origins.push(origin.clone());
            self.origins.len() - 1
        }))
    }

    /// Drops rows that are too old or too many.
    fn forget(&mut self, now: Millis) {
        while self.rows.len() >= MAX_ORIGINS
            || self.rows.front().is_some_and(|row| now.since(row.recorded_at) >= RETENTION_MS)
        {
            self.rows.pop_front();
        }
        if self.rows.is_empty() {
            self.origins.clear();
        }
    }
}
