//! Graceful shutdown of a sidecar: starts the drain on a signal and waits for accepted requests.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::context::Sidecar;

/// Interval at which a draining sidecar checks for unfinished work.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for requests that are cut off, longer than a target is given to end a cancelled one.
const CUT_OFF_TIMEOUT: Duration = Duration::from_millis(1_500);

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
/// Work that is left once `drain_ms` of the settings have passed since the drain began is cut off, and
/// what that cannot end is left behind.
pub async fn drained(cx: &Sidecar) {
    cx.drain_started().await;
    wait_idle(cx, Duration::from_millis(cx.settings.drain_ms)).await;
    if !cx.has_work() {
        return;
    }
    log::warn!("event=drain outcome=limit-reached running={}", cx.answers.running());
    cx.cut_off();
    wait_idle(cx, CUT_OFF_TIMEOUT).await;
}

/// Waits until all accepted work is done, at most for `timeout`.
async fn wait_idle(cx: &Sidecar, timeout: Duration) {
    let deadline = Instant::now() + timeout;
    while cx.has_work() && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
