//! Splits a byte stream into complete server-sent events.
//!
//! Only complete events are passed on to the caller, so that a stream that is
//! interrupted in the middle of an event can be resumed at another target. A target or a proxy
//! before it may write an error into the body instead, at times with a whole HTTP head: a block
//! with a line that no event has is not passed on.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum number of bytes buffered while the end of an event is missing.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Mark with which a stream may begin.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Fields that may stand without a colon.
const EVENT_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Fields of the head of an HTTP answer, which no event has.
const HTTP_FIELDS: [&[u8]; 6] =
    [b"connection", b"content-length", b"content-type", b"date", b"server", b"transfer-encoding"];

/// Complete event as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event including the terminating blank line.
    pub bytes: Bytes,
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
}

impl Event {
    /// Returns whether each line is one of an event.
    pub fn is_well_formed(&self) -> bool {
        self.lines().all(is_event_line)
    }

    /// Returns whether it has only comments and blank lines.
    pub fn is_blank(&self) -> bool {
        self.lines().map(content).all(|line| line.is_empty() || is_comment(line))
    }

    fn lines(&self) -> impl Iterator<Item = &[u8]> {
        self.bytes.split(|byte| *byte == b'\n')
    }
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

    /// Returns the memory that the buffer takes, in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.buf.capacity()
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

/// Returns whether a line is blank, a comment or a field.
pub fn is_event_line(line: &[u8]) -> bool {
    let line = content(line);
    line.is_empty() || is_comment(line) || is_field(line)
}

/// Returns a line without its end, and without the mark with which a stream may begin.
fn content(line: &[u8]) -> &[u8] {
    let line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

fn is_comment(line: &[u8]) -> bool {
    line.starts_with(b":")
}

fn is_field(line: &[u8]) -> bool {
    let is_name_byte =
        |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_".contains(byte);
    match line.iter().position(|byte| *byte == b':') {
        Some(colon) => {
            let name = &line[..colon];
            name.iter().all(is_name_byte) && !HTTP_FIELDS.contains(&name)
        }
        None => EVENT_FIELDS.contains(&line),
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let line = bytes.split(|byte| *byte == b'\n').find(|line| line.starts_with(b"id:"))?;
    let text = std::str::from_utf8(&line[b"id:".len()..]).ok()?;
    text.trim().parse().ok()
}
