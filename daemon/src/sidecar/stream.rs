//! One stream that follows an answer.

use std::sync::Arc;

use rosemarymoor_lib::answer_store::{AnswerEnd, AnswerLog, AnswerReader};
use rosemarymoor_lib::id::{Attempt, RequestId};
use rosemarymoor_lib::transport::{FrameReceiver, FrameSender, FrameStream, TransportError};
use rosemarymoor_lib::wire::{RunControl, RunEnvelope, RunFrame};

use super::context::Sidecar;

const MAX_DATA_BYTES: usize = 64 << 10;

/// Identity that a stream's frames carry.
#[derive(Clone, Copy, Debug)]
pub struct StreamKey {
    pub request: RequestId,
    pub attempt: Attempt,
}

/// Frames that are due, and whether the last of them ends the answer.
struct Due {
    frames: Vec<RunFrame>,
    ended: bool,
}

/// What a stream has sent already.
struct Position {
    accepted: bool,
    head: bool,
    offset: u64,
    /// Whether the stream is told the charge.
    pays: bool,
}

/// Sends an answer from `offset` on until it ends or the peer goes away.
///
/// A peer that merely goes away leaves the request running.
pub async fn follow(
    cx: &Arc<Sidecar>,
    key: StreamKey,
    mut reader: AnswerReader,
    offset: u64,
    pays: bool,
    stream: FrameStream,
) {
    let _open = cx.enter_stream();
    let FrameStream { mut tx, rx } = stream;
    let mut position = Position { accepted: false, head: false, offset, pays };
    let mut control = tokio::spawn(receive_control(rx));
    let mut listening = true;
    loop {
        let due = reader.read(|log| position.advance(log));
        let idle = due.frames.is_empty();
        if send_all(cx, key, due.frames, &mut tx).await.is_err() {
            break;
        }
        if due.ended {
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
    fn advance(&mut self, log: &AnswerLog) -> Due {
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
        Due { frames, ended }
    }

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
