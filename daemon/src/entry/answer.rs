//! Assembles the answer of one attempt from its frames.
//!
//! Offsets detect missing bytes and drop those received twice after a resume.

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

/// What to do after a frame has been applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameOutcome {
    /// Wait for the next frame.
    Wait,
    /// Forward these complete events to the caller.
    Forward(Vec<u8>),
    /// The answer is complete; `rest` holds the last bytes of a stream.
    Complete { charge: u64, rest: Vec<u8> },
    /// The sidecar ended the request.
    Refused { refusal: Refusal, charge: u64 },
    /// Bytes are missing; resume the answer at [`AnswerState::offset`].
    Gap,
}

/// The part of an attempt's answer that has arrived.
#[derive(Clone, Debug)]
pub struct AnswerState {
    expects_stream: bool,
    accepted: bool,
    head: Option<Head>,
    /// Body bytes received without a gap.
    received_bytes: u64,
    /// Body of an answer that is not streamed.
    body: Vec<u8>,
    relay: SseRelay,
}

impl AnswerState {
    /// Creates the state of an answer of which nothing has arrived.
    pub fn new(expects_stream: bool) -> AnswerState {
        AnswerState {
            expects_stream,
            accepted: false,
            head: None,
            received_bytes: 0,
            body: Vec::new(),
            relay: SseRelay::default(),
        }
    }

    /// Returns the number of body bytes received without a gap.
    pub fn offset(&self) -> u64 {
        self.received_bytes
    }

    /// Returns whether a frame has shown that the sidecar holds the request.
    pub fn is_accepted(&self) -> bool {
        self.accepted
    }

    /// Returns the head, or `None` if it has not arrived.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Returns whether the answer is forwarded event by event.
    pub fn is_streamed(&self) -> bool {
        let is_stream =
            |head: &Head| head.status == STATUS_OK && head.content_type.starts_with(EVENT_STREAM);
        self.expects_stream && self.head.as_ref().is_some_and(is_stream)
    }

    /// Takes the body of a complete answer that is not streamed.
    pub fn take_body(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.body)
    }

    /// Applies one frame and returns what to do next.
    pub fn apply(&mut self, frame: RunFrame) -> FrameOutcome {
        self.accepted = true;
        match frame {
            RunFrame::Accepted => FrameOutcome::Wait,
            RunFrame::Head { status, content_type } => {
                self.head.get_or_insert(Head { status, content_type });
                FrameOutcome::Wait
            }
            RunFrame::Data { offset, bytes } => self.append(offset, &bytes),
            RunFrame::End { charge, length } => self.end(charge, length),
            RunFrame::Refused { refusal, charge } => FrameOutcome::Refused { refusal, charge },
        }
    }

    fn append(&mut self, offset: u64, bytes: &[u8]) -> FrameOutcome {
        if offset > self.received_bytes || self.head.is_none() {
            return FrameOutcome::Gap;
        }
        let duplicate_bytes = ((self.received_bytes - offset) as usize).min(bytes.len());
        let new_bytes = &bytes[duplicate_bytes..];
        self.received_bytes += new_bytes.len() as u64;
        if !self.is_streamed() {
            self.body.extend_from_slice(new_bytes);
            return FrameOutcome::Wait;
        }
        let events = self.relay.push(new_bytes);
        if events.is_empty() { FrameOutcome::Wait } else { FrameOutcome::Forward(events) }
    }

    fn end(&mut self, charge: u64, length: u64) -> FrameOutcome {
        if self.head.is_none() || length != self.received_bytes {
            return FrameOutcome::Gap;
        }
        FrameOutcome::Complete { charge, rest: self.relay.finish() }
    }
}
