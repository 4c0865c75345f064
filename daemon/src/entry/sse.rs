//! Relay of server-sent events that never passes on half an event.
//!
//! The engine's closing `[DONE]` is held back until the sidecar has confirmed
//! that the answer is whole, so that a cut stream cannot look finished.

const EVENT_END: &[u8] = b"\n\n";
const EVENT_END_CRLF: &[u8] = b"\r\n\r\n";
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Splits a body into whole events.
#[derive(Clone, Debug, Default)]
pub struct SseRelay {
    pending: Vec<u8>,
    held_back: Vec<u8>,
}

impl SseRelay {
    /// Takes body bytes and answers the whole events that may be passed on.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let mut events = std::mem::take(&mut self.pending);
        let mut forwarded = Vec::new();
        let mut start = 0;
        while let Some(length) = first_event(&events[start..]) {
            let event = &events[start..start + length];
            start += length;
            if !self.held_back.is_empty() || event.starts_with(DONE_EVENT) {
                self.held_back.extend_from_slice(event);
            } else {
                forwarded.extend_from_slice(event);
            }
        }
        self.pending = events.split_off(start);
        forwarded
    }

    /// Answers what was held back; call it once the answer is known to be whole.
    pub fn finish(&mut self) -> Vec<u8> {
        let mut rest = std::mem::take(&mut self.held_back);
        rest.append(&mut self.pending);
        rest
    }
}

/// Length of the first whole event, its blank line included.
fn first_event(bytes: &[u8]) -> Option<usize> {
    let at = |pattern: &[u8]| {
        let found = bytes.windows(pattern.len()).position(|window| window == pattern)?;
        Some(found + pattern.len())
    };
    match (at(EVENT_END), at(EVENT_END_CRLF)) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}

/// Event that ends a stream whose answer is not whole.
pub fn error_event(problem: &str) -> Vec<u8> {
    format!("event: error\ndata: {problem}\n\n").into_bytes()
}
