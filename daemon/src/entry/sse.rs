//! Relay of server-sent events that forwards only complete events.
//!
//! The engine's final `[DONE]` event is held back until the sidecar has confirmed
//! that the answer is complete, so that a truncated stream does not look finished.

const EVENT_END: &[u8] = b"\n\n";
const EVENT_END_CRLF: &[u8] = b"\r\n\r\n";
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Splits the bytes of a body into complete events.
#[derive(Clone, Debug, Default)]
pub struct SseRelay {
    /// Bytes of an incomplete event.
    pending: Vec<u8>,
    /// The `[DONE]` event and everything after it.
    held_back: Vec<u8>,
}

impl SseRelay {
    /// Adds body bytes and returns the complete events to forward.
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

    /// Returns the bytes held back, those of an incomplete event included; to be called once
    /// the answer is known to be complete.
    pub fn finish(&mut self) -> Vec<u8> {
        let mut rest = std::mem::take(&mut self.held_back);
        rest.append(&mut self.pending);
        rest
    }
}

/// Returns the length of the first complete event in bytes, including its blank line.
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

/// Returns the event that ends the stream of an incomplete answer.
pub fn error_event(problem: &str) -> Vec<u8> {
    format!("event: error\ndata: {problem}\n\n").into_bytes()
}
