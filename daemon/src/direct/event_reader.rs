//! Reads the events of one target's answer and decides whether its end is the end of the stream.
//!
//! An answer that ends inside an event has been broken off, whatever marked its end. One that
//! ends with its connection before any event cannot be told from a broken one and counts as such.

use std::time::Instant;

use http_body_util::BodyExt;
use rosemarymoor_lib::dispatch::event_stream::{Event, EventSplitter};
use rosemarymoor_lib::dispatch::targets::Observation;

use super::attempt::{AttemptError, StartedAnswer};
use crate::http_pool::BodyEnd;

/// Answer of a target that is read event by event.
pub struct EventReader {
    pub answer: StartedAnswer,
    splitter: EventSplitter,
    /// Whether any event was read.
    has_event: bool,
}

impl EventReader {
    /// Opens a reader at the beginning of an answer's body.
    pub fn open(answer: StartedAnswer) -> EventReader {
        EventReader { answer, splitter: EventSplitter::default(), has_event: false }
    }

    /// Reads the next event until the deadline at the latest; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptError::Silent`] at the deadline, and [`AttemptError::Broken`] if the answer
    /// was broken off or an event is too large.
    pub async fn next(
        &mut self,
        request: &str,
        deadline: Instant,
    ) -> Result<Option<Event>, AttemptError> {
        let next = self.read_event(request, deadline).await;
        if next.is_err() {
            self.answer.in_flight.observe(Observation::Failed);
        }
        next
    }

    async fn read_event(
        &mut self,
        request: &str,
        deadline: Instant,
    ) -> Result<Option<Event>, AttemptError> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                self.has_event = true;
                return Ok(Some(event));
            }
            let body = &mut self.answer.exchange.body;
            let frame = tokio::time::timeout_at(deadline.into(), body.frame()).await;
            match frame.map_err(|_| AttemptError::Silent)? {
                None => return self.end(request).map(|()| None),
                Some(Err(_)) => return Err(AttemptError::Broken),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.splitter.push(&data).map_err(|_| AttemptError::Broken)?;
                }
            }
        }
    }

    /// Returns an error if the body ended where the stream cannot have ended.
    fn end(&self, request: &str) -> Result<(), AttemptError> {
        let unfinished = self.splitter.partial_bytes();
        let is_unknown = !self.has_event && self.answer.exchange.body_end() == BodyEnd::Connection;
        if unfinished == 0 && !is_unknown {
            return Ok(());
        }
        self.answer.record_unfinished_event(request, unfinished);
        Err(AttemptError::Broken)
    }
}
