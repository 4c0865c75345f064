//! Body of a streamed response, fed from a request's replies.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use rosemarymoor_lib::id::RequestId;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::sync::mpsc;
use tokio::time::{Interval, MissedTickBehavior, interval};

use super::drain::RunningGuard;
use super::job::Reply;
use super::{problem, sse};

/// Silence after which a comment is sent; a write is the only way to notice
/// that the caller has gone.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
const KEEP_ALIVE_COMMENT: &[u8] = b": keep-alive\n\n";

/// Reads a stream's events; a broken stream ends in an error event.
pub struct StreamBody {
    request: RequestId,
    replies: mpsc::Receiver<Reply>,
    /// Bytes of the current chunk and how many of them were read.
    chunk: Vec<u8>,
    read: usize,
    ended: bool,
    silence: Interval,
    /// Keeps a drain waiting until the last byte was handed over.
    _guard: Arc<RunningGuard>,
}

impl StreamBody {
    /// Body of the request whose `Start` reply was taken.
    pub fn new(
        request: RequestId,
        replies: mpsc::Receiver<Reply>,
        guard: Arc<RunningGuard>,
    ) -> StreamBody {
        let mut silence = interval(KEEP_ALIVE);
        silence.set_missed_tick_behavior(MissedTickBehavior::Delay);
        silence.reset();
        let chunk = Vec::new();
        StreamBody { request, replies, chunk, read: 0, ended: false, silence, _guard: guard }
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Poll::Ready(reply) = self.replies.poll_recv(cx) {
            self.silence.reset();
            self.take(reply);
            return Poll::Ready(());
        }
        if self.silence.poll_tick(cx).is_ready() {
            self.read = 0;
            self.chunk = KEEP_ALIVE_COMMENT.to_vec();
            return Poll::Ready(());
        }
        Poll::Pending
    }

    fn take(&mut self, reply: Option<Reply>) {
        self.read = 0;
        self.chunk = match reply {
            Some(Reply::Chunk(bytes)) => bytes,
            Some(Reply::Broken(refusal)) => {
                self.ended = true;
                sse::error_event(&problem::document(&refusal, Some(self.request)))
            }
            Some(Reply::End) => {
                self.ended = true;
                Vec::new()
            }
            Some(Reply::Whole(_) | Reply::Start { .. } | Reply::Refused(_)) | None => {
                self.ended = true;
                sse::error_event(&problem::document(&problem::internal(), Some(self.request)))
            }
        };
    }
}

impl AsyncRead for StreamBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let body = self.as_mut().get_mut();
        while body.read == body.chunk.len() && !body.ended {
            ready!(body.poll_chunk(cx));
        }
        let rest = &body.chunk[body.read..];
        let length = rest.len().min(buf.remaining());
        buf.put_slice(&rest[..length]);
        body.read += length;
        Poll::Ready(Ok(()))
    }
}
