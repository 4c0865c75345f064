//! Reads the events of one target's answer and decides whether its end is the end of the stream.
//!
//! An answer that ends inside an event has been broken off, whatever marked its end. One that
//! ends with its connection before any event cannot be told from a broken one and counts as such.
//! So does one that goes on with something else than events.

use std::time::Instant;

use http_body_util::BodyExt;
use rosemarymoor_lib::dispatch::event_stream::{Event, EventSplitter};
use rosemarymoor_lib::dispatch::stream_origins::StreamOrigin;
use rosemarymoor_lib::dispatch::targets::Observation;
use rosemarymoor_lib::peer_memory::MemoryShare;
use rosemarymoor_lib::result_code::FAILURE_LOG;

use super::attempt::{AttemptError, StartedAnswer};
use super::begun_stream_guard::BegunStreamGuard;
use super::process_check::ProcessCheck;
use crate::http_pool::BodyEnd;

/// Size from which the memory of an event counts until its caller has it, in bytes; smaller ones are bounded
/// by the buffer of the caller's connection.
const MIN_HELD_EVENT_BYTES: usize = 4 << 10;

/// Answer of a target that is read event by event.
pub struct EventReader {
    pub answer: StartedAnswer,
    /// Software version that has to answer, if the answer goes on with a stream.
    required_software: Option<String>,
    splitter: EventSplitter,
    /// Memory of the event that is incomplete.
    memory: MemoryShare,
    /// Set when the first event has been read.
    begun: Option<BegunStreamGuard>,
}

impl EventReader {
    /// Opens a reader at the beginning of an answer's body; `origin` is what began the stream, if
    /// the answer goes on with it.
    pub fn open(answer: StartedAnswer, origin: Option<&StreamOrigin>) -> EventReader {
        EventReader {
            memory: answer.in_flight.open_memory(),
            answer,
            required_software: origin.map(|origin| origin.software.clone()),
            splitter: EventSplitter::default(),
            begun: None,
        }
    }

    /// Reads the next event until the deadline at the latest; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptError::Silent`] at the deadline, [`AttemptError::Broken`] if the answer was broken
    /// off or an event is malformed or too large, and [`AttemptError::OtherVersion`] if the answer may
    /// be of another software version than the one that began the stream.
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
                let event = self.hold(event)?;
                if !event.is_well_formed() {
                    self.answer.in_flight.record_malformed_event(request, event.bytes.len());
                    return Err(AttemptError::Broken);
                }
                match &self.begun {
                    Some(begun) => begun.record_event(),
                    None => {
                        self.begun = Some(self.answer.in_flight.begin_stream());
                        self.check_software(request).await?;
                    }
                }
                return Ok(Some(event));
            }
            let body = &mut self.answer.exchange.body;
            let frame = tokio::time::timeout_at(deadline.into(), body.frame()).await;
            match frame.map_err(|_| AttemptError::Silent)? {
                None => return self.end(request).map(|()| None),
                Some(Err(_)) => return Err(AttemptError::Broken),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.push(&data)?;
                }
            }
        }
    }

    /// Returns an event together with its memory: a slow caller may keep it for long.
    fn hold(&self, event: Event) -> Result<Event, AttemptError> {
        if event.bytes.len() < MIN_HELD_EVENT_BYTES {
            return Ok(event);
        }
        let mut share = self.answer.in_flight.open_memory();
        if share.resize(event.bytes.len()).is_err() {
            self.answer.in_flight.record_too_large();
            return Err(AttemptError::Broken);
        }
        let bytes = share.hold(event.bytes.to_vec());
        Ok(Event { bytes, ..event })
    }

    /// Appends received bytes to the event that is incomplete.
    fn push(&mut self, data: &[u8]) -> Result<(), AttemptError> {
        let is_accepted = self.splitter.push(data).is_ok()
            && self.memory.resize(self.splitter.buffer_bytes()).is_ok();
        if is_accepted {
            return Ok(());
        }
        self.answer.in_flight.record_too_large();
        Err(AttemptError::Broken)
    }

    /// Returns an error if another version may answer than the one that began the stream: the
    /// target may have started anew since it was chosen.
    async fn check_software(&self, request: &str) -> Result<(), AttemptError> {
        let in_flight = &self.answer.in_flight;
        let Some(required) = self.required_software.as_deref() else { return Ok(()) };
        let is_same = match in_flight.check_process(request).await {
            ProcessCheck::Same | ProcessCheck::Unnamed => true,
            ProcessCheck::Other => false,
            ProcessCheck::NoAnswer => in_flight.has_reported_since(),
        };
        let found = in_flight.certain_software();
        if is_same && found == Some(required) {
            return Ok(());
        }
        log::warn!(
            target: FAILURE_LOG,
            "event=other_version request={request} target={} required={required} found={found:?}",
            in_flight.target_id
        );
        Err(AttemptError::OtherVersion)
    }

    /// Returns an error if the body ended where the stream cannot have ended.
    fn end(&self, request: &str) -> Result<(), AttemptError> {
        let unfinished = self.splitter.partial_bytes();
        let is_unknown =
            self.begun.is_none() && self.answer.exchange.body_end() == BodyEnd::Connection;
        if unfinished == 0 && !is_unknown {
            return Ok(());
        }
        self.answer.record_unfinished_event(request, unfinished);
        Err(AttemptError::Broken)
    }
}
