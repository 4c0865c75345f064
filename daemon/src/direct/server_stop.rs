//! Stop of a budget server: how far it is, and which calls end early for it.
//!
//! What runs is finished before the process ends, and nothing is accepted that would end with it. The
//! listener closes first, so that callers turn to other servers; then the begun streams are handed over
//! and the tokens returned, of which nothing can change any more.

use std::time::Duration;

use tokio::sync::watch;

/// Longest wait for the calls that run when the listener closes, longer than a relayed call takes.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Phase of a budget server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    /// The listener closes; what runs is answered.
    Closing,
}

/// Stop of a budget server, which begins with a signal.
pub struct ServerStop {
    phase: watch::Sender<Phase>,
}

impl ServerStop {
    /// Opens the stop of a server that serves all calls.
    pub fn open() -> ServerStop {
        ServerStop { phase: watch::Sender::new(Phase::Serving) }
    }

    /// Ends the waits for news and changes, which are answered at once.
    pub fn begin_closing(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// Returns whether the server ends the connections of its callers.
    pub fn has_begun(&self) -> bool {
        *self.phase.borrow() > Phase::Serving
    }

    /// Waits until the listener closes.
    pub async fn closing(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as this object.
        let _ = phase.wait_for(|phase| *phase >= Phase::Closing).await;
    }
}
