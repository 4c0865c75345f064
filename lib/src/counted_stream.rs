//! TCP stream whose received bytes are counted, and that fails when they are too many.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counts what a connection receives.
pub trait ReadMeter: Send + Sync {
    /// Counts received bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection may receive no more.
    fn record(&self, bytes: usize) -> io::Result<()>;
}

/// TCP stream that fails when its meter does.
pub struct CountedStream {
    stream: TcpStream,
    meter: Arc<dyn ReadMeter>,
}

impl CountedStream {
    /// Counts what a stream receives.
    pub fn new(stream: TcpStream, meter: Arc<dyn ReadMeter>) -> CountedStream {
        CountedStream { stream, meter }
    }

    /// Returns the stream itself.
    pub fn into_inner(self) -> TcpStream {
        self.stream
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
        Poll::Ready(self.meter.record(buf.filled().len() - before))
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
