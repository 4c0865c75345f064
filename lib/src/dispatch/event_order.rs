//! Order of the events of one stream, over all answers that bring them.
//!
//! The target that began a stream decides which identities its events have: they increase, and may
//! have gaps. An answer that goes on with the stream says where each of its events belongs: it comes
//! next if its identity is the next number, or any higher one if the identities have had gaps before.

use super::event_stream::Event;

/// Place of an event in its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// It comes next.
    Next,
    /// The caller has it already: a resumed stream may repeat some.
    Delivered,
    /// Events are missing before it, or nothing says where it belongs.
    Elsewhere,
}

/// Events of a stream that the caller has.
#[derive(Clone, Debug)]
pub struct EventOrder {
    last: Option<u64>,
    /// Whether each identity was the next number after the one before.
    is_consecutive: bool,
    /// Whether another answer than the first one brings the events.
    is_resumed: bool,
}

impl EventOrder {
    /// Opens the order of a stream; `last` is the latest event that the caller has of an earlier
    /// answer.
    pub fn open(last: Option<u64>) -> EventOrder {
        EventOrder { last, is_consecutive: true, is_resumed: false }
    }

    /// Returns the identity of the latest event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Records that another answer brings the events from now on.
    pub fn resume(&mut self) {
        self.is_resumed = true;
    }

    /// Returns the place of an event.
    pub fn place(&self, event: &Event) -> Place {
        let Some(id) = event.id else { return self.place_without_id(event) };
        let Some(last) = self.last else { return Place::Next };
        if id <= last {
            return Place::Delivered;
        }
        let may_skip = !self.is_resumed || !self.is_consecutive;
        if may_skip || id - last == 1 { Place::Next } else { Place::Elsewhere }
    }

    /// Records that an event has been forwarded.
    pub fn record(&mut self, event: &Event) {
        let Some(id) = event.id else { return };
        if let Some(last) = self.last {
            self.is_consecutive &= last.checked_add(1) == Some(id);
        }
        self.last = Some(id);
    }

    fn place_without_id(&self, event: &Event) -> Place {
        if self.is_resumed && !event.is_blank() { Place::Elsewhere } else { Place::Next }
    }
}
