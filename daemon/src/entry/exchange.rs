//! One stream to a sidecar, which carries the frames of a single attempt of a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarymoor_lib::id::{Attempt, RequestId};
use rosemarymoor_lib::transport::{FrameReceiver, FrameSender, Transport, TransportError};
use rosemarymoor_lib::wire::{PeerRequest, RunControl, RunEnvelope, RunFrame, SidecarState};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::metrics::EntryMetrics;

/// Number of frames that are buffered before the entry stops reading from the stream.
const FRAMES_BUFFERED: usize = 8;

/// Frame of the exchange and the state of the sidecar that sent it.
#[derive(Debug)]
pub struct ReceivedFrame {
    /// State of the sidecar when it sent the frame.
    pub state: SidecarState,
    /// Content of the frame.
    pub frame: RunFrame,
}

/// Open stream to a sidecar; dropping it stops the reading of frames.
pub struct Exchange {
    tx: FrameSender,
    frames: mpsc::Receiver<ReceivedFrame>,
    reader: JoinHandle<()>,
}

/// Request and attempt that every frame of an exchange must name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeId {
    /// Identity of the request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: Attempt,
}

impl Exchange {
    /// Opens a stream to `sidecar` and sends its first message within `timeout`.
    pub async fn open(
        transport: &Transport,
        sidecar: SocketAddr,
        first: &PeerRequest,
        exchange_id: ExchangeId,
        timeout: Duration,
        metrics: Arc<EntryMetrics>,
    ) -> Result<Exchange, TransportError> {
        let stream = transport.open(sidecar, first, timeout).await?;
        let (frames_tx, frames) = mpsc::channel(FRAMES_BUFFERED);
        let reader = tokio::spawn(read(stream.rx, exchange_id, frames_tx, metrics));
        Ok(Exchange { tx: stream.tx, frames, reader })
    }

    /// Returns the next frame, or `None` once the stream has broken or ended.
    pub async fn next(&mut self) -> Option<ReceivedFrame> {
        self.frames.recv().await
    }

    /// Asks the sidecar to cancel the run; a send error is ignored.
    pub async fn cancel(&mut self) {
        let _ = self.tx.send(&RunControl::Cancel).await;
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

/// Reads frames from the stream and drops those of another request or attempt.
async fn read(
    mut rx: FrameReceiver,
    exchange_id: ExchangeId,
    frames: mpsc::Sender<ReceivedFrame>,
    metrics: Arc<EntryMetrics>,
) {
    while let Ok(Some(envelope)) = rx.recv::<RunEnvelope>().await {
        let found = ExchangeId { request: envelope.request, attempt: envelope.attempt };
        if found != exchange_id {
            metrics.count_dropped_frame();
            log::warn!(
                "decision=drop-frame request={} attempt={} expected={}/{}",
                found.request,
                found.attempt,
                exchange_id.request,
                exchange_id.attempt
            );
            continue;
        }
        let received = ReceivedFrame { state: envelope.state, frame: envelope.frame };
        if frames.send(received).await.is_err() {
            return;
        }
    }
}
