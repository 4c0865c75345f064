//! Sends a running or finished answer over one stream, and receives cancellations on it.

use std::sync::Arc;

use rosemarymoor_lib::answer_store::{AnswerEnd, AnswerLog, AnswerReader};
use rosemarymoor_lib::id::{Attempt, RequestId};
use rosemarymoor_lib::transport::{FrameReceiver, FrameSender, FrameStream, TransportError};
use rosemarymoor_lib::wire::{RunControl, RunEnvelope, RunFrame};

use super::context::Sidecar;

/// Largest part of a body in one frame, in bytes.
const MAX_DATA_BYTES: usize = 64 << 10;

/// Request and attempt that the frames of a stream name.
#[derive(Clone, Copy, Debug)]
pub struct StreamKey {
    pub request: RequestId,
    pub attempt: Attempt,
}

/// Frames to send next, and whether the last of them ends the answer.
struct NextFrames {
    frames: Vec<RunFrame>,
    ended: bool,
}

/// Part of an answer that a stream has already sent.
struct Position {
    /// Whether the `Accepted` frame was sent.
    accepted: bool,
    /// Whether the `Head` frame was sent.
    head: bool,
    /// Offset in the body up to which data was sent, in bytes.
    offset: u64,
    /// Whether the last frame carries the charge; otherwise it carries zero.
    pays: bool,
}

/// Sends an answer from `offset` on until it ends or the peer disconnects.
///
/// A cancel message from the peer cancels the request unless another stream sends its answer; a
/// broken stream leaves it running.
pub async fn send_answer(
    cx: &Arc<Sidecar>,
    key: StreamKey,
    mut reader: AnswerReader,
    offset: u64,
    pays: bool,
    stream: FrameStream,
) {
    let _open = cx.track_stream();
    let FrameStream { mut tx, rx } = stream;
    let mut position = Position { accepted: false, head: false, offset, pays };
    let mut control = tokio::spawn(receive_control(rx));
    let mut listening = true;
    loop {
        let next = reader.read(|log| position.advance(log));
        let idle = next.frames.is_empty();
        if send_all(cx, key, next.frames, &mut tx).await.is_err() {
            break;
        }
        if next.ended {
            tx.finish().await;
            break;
        }
        if !idle {
            continue;
        }
        tokio::select! {
            _ = reader.changed() => {}
            message = &mut control, if listening => {
                listening = false;
                match message {
                    Ok(Some(RunControl::Cancel)) => reader.cancel(),
                    Ok(None) | Err(_) => {}
                }
            }
        }
    }
    control.abort();
}

async fn send_all(
    cx: &Sidecar,
    key: StreamKey,
    frames: Vec<RunFrame>,
    tx: &mut FrameSender,
) -> Result<(), TransportError> {
    for frame in frames {
        let StreamKey { request, attempt } = key;
        tx.send(&RunEnvelope { request, attempt, state: cx.state(), frame }).await?;
    }
    Ok(())
}

async fn receive_control(mut rx: FrameReceiver) -> Option<RunControl> {
    rx.recv().await.ok().flatten()
}

impl Position {
    /// Returns the frames that `log` has beyond this position, and moves the position past them.
    fn advance(&mut self, log: &AnswerLog) -> NextFrames {
        let mut frames = Vec::new();
        if log.accepted && !self.accepted {
            self.accepted = true;
            frames.push(RunFrame::Accepted);
        }
        if let Some((status, content_type)) = log.head.as_ref().filter(|_| !self.head) {
            self.head = true;
            frames.push(RunFrame::Head { status: *status, content_type: content_type.clone() });
        }
        let from = (self.offset as usize).min(log.body.len());
        let to = log.body.len().min(from + MAX_DATA_BYTES);
        if from < to {
            frames.push(RunFrame::Data { offset: from as u64, bytes: log.body[from..to].to_vec() });
            self.offset = to as u64;
        }
        let ended = log.end.is_some() && to == log.body.len();
        if let Some(end) = log.end.as_ref().filter(|_| ended) {
            frames.push(self.end_frame(end, to as u64));
        }
        NextFrames { frames, ended }
    }

    /// Returns the frame that ends the answer.
    fn end_frame(&self, end: &AnswerEnd, length: u64) -> RunFrame {
        let charge = if self.pays { end.charge() } else { 0 };
        match end {
            AnswerEnd::Complete { .. } => RunFrame::End { charge, length },
            AnswerEnd::Refused { refusal, .. } => {
                RunFrame::Refused { refusal: refusal.clone(), charge }
            }
        }
    }
}
