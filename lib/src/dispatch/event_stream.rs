//! Splits a byte stream into complete server-sent events.
//!
//! Only complete events are passed on to the caller, so that a stream that is
//! interrupted in the middle of an event can be resumed at another target.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum number of bytes buffered while the end of an event is missing.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Complete event as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event including the terminating blank line.
    pub bytes: Bytes,
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
}

/// Error for an event that exceeds the buffer limit of 1 MiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

/// Buffers received bytes and splits them into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Length of the prefix of `buf` that was searched for the end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLarge`] if the buffer would exceed its limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        if self.buf.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns the number of bytes of an incomplete event.
    pub fn partial_bytes(&self) -> usize {
        self.buf.remaining()
    }

    fn find_end(&mut self) -> Option<usize> {
        const LF_END: &[u8] = b"\n\n";
        const CRLF_END: &[u8] = b"\n\r\n";
        let from = self.scanned.saturating_sub(CRLF_END.len());
        for at in from..self.buf.len() {
            let tail = &self.buf[at..];
            if tail.starts_with(LF_END) {
                return Some(at + LF_END.len());
            }
            if tail.starts_with(CRLF_END) {
                return Some(at + CRLF_END.len());
            }
        }
        self.scanned = self.buf.len();
        None
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let line = bytes.split(|byte| *byte == b'\n').find(|line| line.starts_with(b"id:"))?;
    let text = std::str::from_utf8(&line[b"id:".len()..]).ok()?;
    text.trim().parse().ok()
}
