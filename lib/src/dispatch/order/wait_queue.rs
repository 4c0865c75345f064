//! Bounded queue of an entry for requests that no target takes at the moment.
//!
//! It is ordered by class, then by the time until which the request is of use, then by work. A full
//! queue gives up its last request for one that goes before it.

use crate::time::Millis;

/// Largest number of requests that wait, and of the bytes that they hold.
const MAX_REQUESTS: usize = 256;
const MAX_BYTES: usize = 4 << 20;

/// Place of a request in the order; smaller ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Class of its priority.
    pub class: u8,
    /// Time until which it is of use.
    pub useful_until: Millis,
    /// Work that it needs, in tokens.
    pub work: u64,
    /// Distinguishes requests that are equal otherwise.
    pub ticket: u64,
}

/// Request that waits.
#[derive(Debug)]
struct Waiting<T> {
    place: Place,
    bytes: usize,
    value: T,
}

/// Requests that wait, with a value of the caller's for each.
#[derive(Debug)]
pub struct WaitQueue<T> {
    /// Sorted by place.
    waiting: Vec<Waiting<T>>,
    bytes: usize,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> WaitQueue<T> {
        WaitQueue { waiting: Vec::new(), bytes: 0 }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a request; returns the values of those that had to leave for it.
    ///
    /// # Errors
    ///
    /// Returns the value if the queue is full of requests that go first.
    pub fn join(&mut self, place: Place, bytes: usize, value: T) -> Result<Vec<T>, T> {
        if bytes > MAX_BYTES || (self.is_full_with(bytes) && self.room_behind(place) < bytes) {
            return Err(value);
        }
        let mut displaced = Vec::new();
        while self.is_full_with(bytes) {
            let Some(last) = self.waiting.pop() else { break };
            self.bytes -= last.bytes;
            displaced.push(last.value);
        }
        let at = self.waiting.partition_point(|waiting| waiting.place < place);
        self.waiting.insert(at, Waiting { place, bytes, value });
        self.bytes += bytes;
        Ok(displaced)
    }

    /// Removes a request, whether it was served or its caller has left; returns whether it waited.
    pub fn leave(&mut self, place: Place) -> bool {
        let found = self.waiting.binary_search_by_key(&place, |waiting| waiting.place);
        if let Ok(at) = found {
            self.bytes -= self.waiting.remove(at).bytes;
        }
        found.is_ok()
    }

    /// Returns the value of the request that goes first.
    pub fn first(&self) -> Option<&T> {
        self.waiting.first().map(|waiting| &waiting.value)
    }

    /// Returns whether a request goes first.
    pub fn is_first(&self, place: Place) -> bool {
        self.waiting.first().is_some_and(|waiting| waiting.place == place)
    }

    /// Returns whether a request waits, and has not had to leave for another one.
    pub fn holds(&self, place: Place) -> bool {
        self.waiting.binary_search_by_key(&place, |waiting| waiting.place).is_ok()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn is_full_with(&self, bytes: usize) -> bool {
        self.waiting.len() >= MAX_REQUESTS || self.bytes + bytes > MAX_BYTES
    }

    /// Returns the bytes that are free once all requests behind a place have left; 0 if none would.
    fn room_behind(&self, place: Place) -> usize {
        let at = self.waiting.partition_point(|waiting| waiting.place < place);
        if at == self.waiting.len() {
            return 0;
        }
        let kept_bytes: usize = self.waiting[..at].iter().map(|waiting| waiting.bytes).sum();
        MAX_BYTES - kept_bytes
    }
}
