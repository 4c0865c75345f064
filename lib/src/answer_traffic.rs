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
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes other than the body that one answer may have; also covers what is received ahead of a slow
/// reader.
const MAX_OVERHEAD_BYTES: u64 = 1 << 20;

/// Bytes other than the body that each byte of it may bring: a chunk of one byte has five.
const OVERHEAD_PER_BODY_BYTE: u64 = 8;

/// Counts the bytes of one answer; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    received: AtomicU64,
    body: AtomicU64,
}

impl Traffic {
    /// Begins the next answer.
    pub fn reset(&self) {
        self.counts.received.store(0, Ordering::Relaxed);
        self.counts.body.store(0, Ordering::Relaxed);
    }

    /// Counts received bytes; returns whether too few of them belong to the body.
    fn is_endless_after(&self, bytes: u64) -> bool {
        let received = self.counts.received.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let body = self.counts.body.load(Ordering::Relaxed);
        received > MAX_OVERHEAD_BYTES + body * (1 + OVERHEAD_PER_BODY_BYTE)
    }

    fn count_body(&self, bytes: u64) {
        self.counts.body.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// TCP stream that fails when an answer goes on without a body.
pub struct CountedStream {
    stream: TcpStream,
    traffic: Traffic,
}

impl CountedStream {
    /// Counts what a stream receives in `traffic`.
    pub fn new(stream: TcpStream, traffic: Traffic) -> CountedStream {
        CountedStream { stream, traffic }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let received = (buf.filled().len() - before) as u64;
        if self.traffic.is_endless_after(received) {
            let err =
                io::Error::new(io::ErrorKind::InvalidData, "the answer goes on without a body");
            return Poll::Ready(Err(err));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
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
