//! Stop of a budget server: how far it is, and which calls end early for it.
//!
//! From the signal on it refuses what would be lost with it, and goes on with everything else until the
//! reservations that it granted are settled: one that is open at its end counts as spent. Then its
//! listener closes, so that callers turn to other servers, and what runs is answered. At last the begun
//! streams are handed over and the tokens returned, of which nothing can change any more.

use std::time::Duration;

use tokio::sync::watch;

/// Part of the stop's time limit that is kept for what follows the last settlement: running calls, the
/// hand-over and the return of tokens.
const EXIT_RESERVE: Duration = Duration::from_millis(3_500);

/// Longest wait for the calls that run when the listener closes, longer than a relayed call takes.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Phase of a budget server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    /// The open reservations are waited for.
    Settling,
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

    /// Begins the stop, whose time limit is `grace`; returns how long settlements are waited for.
    pub fn begin(&self, grace: Duration) -> Duration {
        self.phase.send_replace(Phase::Settling);
        grace.saturating_sub(EXIT_RESERVE)
    }

    /// Ends the waits for news and changes, which are answered at once.
    pub fn begin_closing(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// Returns whether the server refuses what would outlast it and ends the connections of its callers.
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
