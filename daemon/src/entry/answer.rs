//! Folds the frames of one attempt into an answer, at exact offsets.

use rosemarymoor_lib::result_code::Refusal;
use rosemarymoor_lib::wire::RunFrame;

use super::sse::SseRelay;

const EVENT_STREAM: &str = "text/event-stream";
const STATUS_OK: u16 = 200;

/// Head of a target's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    pub status: u16,
    pub content_type: String,
}

/// What follows from a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do yet.
    Wait,
    /// Whole events to pass on to the caller.
    Forward(Vec<u8>),
    /// The answer is whole; the bytes are the last of a stream.
    Complete { charge: u64, rest: Vec<u8> },
    /// The sidecar ended the request.
    Refused { refusal: Refusal, charge: u64 },
    /// Bytes are missing; the answer must be resumed at the offset received.
    Gap,
}

/// Answer of one attempt as far as it has arrived.
#[derive(Clone, Debug)]
pub struct AnswerState {
    wants_stream: bool,
    accepted: bool,
    head: Option<Head>,
    received: u64,
    whole: Vec<u8>,
    relay: SseRelay,
}

impl AnswerState {
    /// Nothing has arrived yet.
    pub fn new(wants_stream: bool) -> AnswerState {
        AnswerState {
            wants_stream,
            accepted: false,
            head: None,
            received: 0,
            whole: Vec::new(),
            relay: SseRelay::default(),
        }
    }

    /// Body bytes received without a gap.
    pub fn offset(&self) -> u64 {
        self.received
    }

    /// Whether the sidecar has shown that it holds the request.
    pub fn accepted(&self) -> bool {
        self.accepted
    }

    /// Head, once it has arrived.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Whether the answer is passed on event by event.
    pub fn streams(&self) -> bool {
        let is_stream =
            |head: &Head| head.status == STATUS_OK && head.content_type.starts_with(EVENT_STREAM);
        self.wants_stream && self.head.as_ref().is_some_and(is_stream)
    }

    /// Takes the body of a whole answer.
    pub fn take_whole(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.whole)
    }

    /// Applies one frame.
    pub fn apply(&mut self, frame: RunFrame) -> Step {
        self.accepted = true;
        match frame {
            RunFrame::Accepted => Step::Wait,
            RunFrame::Head { status, content_type } => {
                self.head.get_or_insert(Head { status, content_type });
                Step::Wait
            }
            RunFrame::Data { offset, bytes } => self.append(offset, &bytes),
            RunFrame::End { charge, length } => self.end(charge, length),
            RunFrame::Refused { refusal, charge } => Step::Refused { refusal, charge },
        }
    }

    fn append(&mut self, offset: u64, bytes: &[u8]) -> Step {
        if offset > self.received || self.head.is_none() {
            return Step::Gap;
        }
        let known = ((self.received - offset) as usize).min(bytes.len());
        let fresh = &bytes[known..];
        self.received += fresh.len() as u64;
        if !self.streams() {
            self.whole.extend_from_slice(fresh);
            return Step::Wait;
        }
        let events = self.relay.push(fresh);
        if events.is_empty() { Step::Wait } else { Step::Forward(events) }
    }

    fn end(&mut self, charge: u64, length: u64) -> Step {
        if self.head.is_none() || length != self.received {
            return Step::Gap;
        }
        Step::Complete { charge, rest: self.relay.finish() }
    }
}
