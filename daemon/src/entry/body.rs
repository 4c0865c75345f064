//! Body of a streamed response, produced from a request's replies.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame};
use rosemarymoor_lib::id::RequestId;
use tokio::sync::mpsc;
use tokio::time::{Interval, MissedTickBehavior, interval};

use super::drain::RunningGuard;
use super::job::Reply;
use super::{problem, sse};

/// Time without data after which a comment is sent.
///
/// Only a write shows that the caller has disconnected.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEP_ALIVE_COMMENT: Bytes = Bytes::from_static(b": keep-alive\n\n");

/// Streams the events of an answer; a broken stream ends with an error event.
pub struct StreamBody {
    request: RequestId,
    replies: mpsc::Receiver<Reply>,
    ended: bool,
    keep_alive: Interval,
    /// Counts the request as running until the last byte was passed to the server.
    _guard: Arc<RunningGuard>,
}

impl StreamBody {
    /// Creates the body from the replies that follow [`Reply::Start`].
    pub fn new(
        request: RequestId,
        replies: mpsc::Receiver<Reply>,
        guard: Arc<RunningGuard>,
    ) -> StreamBody {
        let mut keep_alive = interval(KEEP_ALIVE_INTERVAL);
        keep_alive.set_missed_tick_behavior(MissedTickBehavior::Delay);
        keep_alive.reset();
        StreamBody { request, replies, ended: false, keep_alive, _guard: guard }
    }

    /// Returns the bytes of a reply; any reply but a chunk ends the body.
    fn encode(&mut self, reply: Option<Reply>) -> Bytes {
        if let Some(Reply::Chunk(bytes)) = reply {
            return bytes.into();
        }
        self.ended = true;
        let refusal = match reply {
            Some(Reply::End) => return Bytes::new(),
            Some(Reply::Broken(refusal)) => refusal,
            _ => problem::internal_error(),
        };
        sse::error_event(&problem::document(&refusal, Some(self.request))).into()
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        while !self.ended {
            let Poll::Ready(reply) = self.replies.poll_recv(cx) else { break };
            self.keep_alive.reset();
            let bytes = self.encode(reply);
            if !bytes.is_empty() {
                return Poll::Ready(Some(Ok(Frame::data(bytes))));
            }
        }
        if self.ended {
            return Poll::Ready(None);
        }
        if self.keep_alive.poll_tick(cx).is_ready() {
            return Poll::Ready(Some(Ok(Frame::data(KEEP_ALIVE_COMMENT))));
        }
        Poll::Pending
    }
}
