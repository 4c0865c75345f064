//! Graceful stop of a sidecar.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::context::Sidecar;

const POLL: Duration = Duration::from_millis(20);

/// Starts the drain on SIGTERM or SIGINT.
pub fn spawn_signals(cx: Arc<Sidecar>) -> std::io::Result<JoinHandle<()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            cx.start_drain();
        }
    }))
}

/// Waits until the drain was asked for and all accepted work is done.
///
/// Gives up after the drain limit of the settings.
pub async fn drained(cx: &Sidecar) {
    cx.drain_started().await;
    let limit = Instant::now() + Duration::from_millis(cx.settings.drain_ms);
    while cx.has_work() && Instant::now() < limit {
        tokio::time::sleep(POLL).await;
    }
    if cx.has_work() {
        log::warn!("event=drain outcome=limit-reached running={}", cx.answers.running());
    }
}
