//! Memory for the head that arrives on a connection.
//!
//! A head may arrive in small pieces or never end. While it does, the bytes received for it count, except those
//! that fit into a buffer that the connection has anyway; those of a body count where it is read.

use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::counted_stream::ReadMeter;
use crate::peer_memory::{MemoryShare, NoRoom};

/// Most that a connection keeps of a head, in bytes: its buffer is no larger.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Memory for the head on one connection.
#[derive(Debug)]
pub struct HeadMemory {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    share: MemoryShare,
    /// Size of the buffer that does not count, in bytes.
    buffer_bytes: usize,
    /// Bytes of the head that is received; `None` while none is expected.
    head: Option<usize>,
}

impl HeadMemory {
    /// Opens the memory of a connection that expects a head. The head takes `share` as far as it exceeds a
    /// buffer of the connection.
    pub fn open(share: MemoryShare, buffer_bytes: usize) -> HeadMemory {
        HeadMemory { state: Mutex::new(State { share, buffer_bytes, head: Some(0) }) }
    }

    /// Frees the head before, and expects the next one.
    pub fn begin(&self) {
        let mut state = self.lock();
        state.head = Some(0);
        // A share that becomes smaller always finds room.
        let _ = state.share.resize(0);
    }

    /// Records that the head is complete.
    pub fn end(&self) {
        self.lock().head = None;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ReadMeter for HeadMemory {
    /// Counts received bytes; fails if they belong to a head for which there is no room.
    fn record(&self, bytes: usize) -> io::Result<()> {
        let mut state = self.lock();
        let State { share, buffer_bytes, head: Some(head) } = &mut *state else { return Ok(()) };
        *head = (*head + bytes).min(MAX_HEAD_BYTES);
        let taken = head.saturating_sub(*buffer_bytes);
        let no_room = |NoRoom| io::Error::new(io::ErrorKind::OutOfMemory, "no room for the head");
        share.resize(taken).map_err(no_room)
    }
}
