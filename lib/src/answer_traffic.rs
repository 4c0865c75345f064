//! Bytes that a connection receives for one answer, of which only a part may be other than its body.
//!
//! A head, an interim answer, the size of a chunk or the trailers may go on without end, and a parser
//! that reads them keeps the whole process busy. The connection fails instead.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::counted_stream::ReadMeter;
use crate::head_memory::HeadMemory;
use crate::peer_memory::PeerMemory;

/// Bytes other than the body that one answer may have; also covers what is received ahead of a slow
/// reader, at most [`MAX_BUFFER_BYTES`].
const MAX_OVERHEAD_BYTES: u64 = 128 << 10;

/// Bytes other than the body that each byte of it may bring: a chunk of one byte has five.
const OVERHEAD_PER_BODY_BYTE: u64 = 8;

/// Size of the buffer of a connection that receives answers, in bytes; a longer head fails.
pub const MAX_BUFFER_BYTES: usize = 32 << 10;

/// Counts the bytes of one answer, and the memory that its head takes; clones share the counts.
#[derive(Clone, Debug)]
pub struct Traffic {
    counts: Arc<Counts>,
}

#[derive(Debug)]
struct Counts {
    received: AtomicU64,
    body: AtomicU64,
    head: HeadMemory,
}

impl Traffic {
    /// Counts the answers of a new connection; what their heads take is a share of `memory`.
    pub fn open(memory: &PeerMemory) -> Traffic {
        let head = HeadMemory::open(memory.open_share(), 0);
        Traffic { counts: Arc::new(Counts { received: 0.into(), body: 0.into(), head }) }
    }

    /// Begins the next answer.
    pub fn reset(&self) {
        self.counts.received.store(0, Ordering::Relaxed);
        self.counts.body.store(0, Ordering::Relaxed);
        self.counts.head.begin();
    }

    /// Records that the head of the answer is complete; its memory is taken until the next [`reset`].
    ///
    /// [`reset`]: Traffic::reset
    pub fn end_head(&self) {
        self.counts.head.end();
    }

    fn count_body(&self, bytes: u64) {
        self.counts.body.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl ReadMeter for Traffic {
    fn record(&self, bytes: usize) -> io::Result<()> {
        self.counts.head.record(bytes)?;
        let received =
            self.counts.received.fetch_add(bytes as u64, Ordering::Relaxed) + bytes as u64;
        let body = self.counts.body.load(Ordering::Relaxed);
        if received > MAX_OVERHEAD_BYTES + body * (1 + OVERHEAD_PER_BODY_BYTE) {
            let reason = "the answer goes on without a body";
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(())
    }
}

/// Body of an answer, which counts as such.
pub struct CountedBody {
    body: Incoming,
    traffic: Traffic,
}

impl CountedBody {
    /// Counts what is read of a body in `traffic`.
    pub fn new(body: Incoming, traffic: Traffic) -> CountedBody {
        CountedBody { body, traffic }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(data) = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref()) {
            self.traffic.count_body(data.len() as u64);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
