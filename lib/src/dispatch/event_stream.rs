//! Cuts a stream of server-sent events into whole events.
//!
//! Only whole events are passed on, so that a stream whose target broke off in
//! the middle of an event can be resumed at another one.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event that is held until its end arrives, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event with its closing blank line.
    pub bytes: Bytes,
    /// Its `id` field, if it is a number.
    pub id: Option<u64>,
}

/// Why a stream cannot be cut into events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

/// Collects bytes until they hold whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes of `buf` that hold no end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes as they arrived.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        if self.buf.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether bytes of an unfinished event are held.
    pub fn has_partial_event(&self) -> bool {
        self.buf.has_remaining()
    }

    /// Takes the bytes of an unfinished event.
    pub fn take_partial_event(&mut self) -> Bytes {
        self.scanned = 0;
        self.buf.split().freeze()
    }

    fn find_end(&mut self) -> Option<usize> {
        const LF_END: &[u8] = b"\n\n";
        const CRLF_END: &[u8] = b"\n\r\n";
        let from = self.scanned.saturating_sub(CRLF_END.len());
        for at in from..self.buf.len() {
            let rest = &self.buf[at..];
            if rest.starts_with(LF_END) {
                return Some(at + LF_END.len());
            }
            if rest.starts_with(CRLF_END) {
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
