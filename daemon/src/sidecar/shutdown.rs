//! Graceful shutdown of a sidecar: starts the drain on a signal and waits for accepted requests.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::context::Sidecar;

/// Interval at which a draining sidecar checks for unfinished work.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Spawns the task that starts the drain on SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if a signal handler cannot be installed.
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

/// Waits until a drain has been requested and all accepted work is done.
///
/// If work is left, returns once `drain_ms` of the settings have passed since the drain began.
pub async fn drained(cx: &Sidecar) {
    cx.drain_started().await;
    let deadline = Instant::now() + Duration::from_millis(cx.settings.drain_ms);
    while cx.has_work() && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    if cx.has_work() {
        log::warn!("event=drain outcome=limit-reached running={}", cx.answers.running());
    }
}
