//! Waits for the turn of a request whose service has no target that takes it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rosemarymoor_lib::dispatch::order::wait_queue::Place;
use rosemarymoor_lib::dispatch::rank;
use tokio::sync::Notify;

use super::call::Call;
use super::entry::Entry;

/// Memory of a request besides its body, in bytes.
const HEAD_BYTES: usize = 4 << 10;

/// How a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitEnd {
    /// A target takes the request.
    Opened,
    /// All targets stayed closed for the whole time.
    TooLong,
    /// The queue is full of requests that go first.
    Displaced,
}

impl WaitEnd {
    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            WaitEnd::Opened => "opened",
            WaitEnd::TooLong => "too_long",
            WaitEnd::Displaced => "displaced",
        }
    }
}

/// Place in a queue; dropping it leaves the queue, also if the caller has left.
struct QueueGuard<'a> {
    entry: &'a Entry,
    service: &'a str,
    place: Place,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.entry.waiting.leave(self.service, self.place);
    }
}

/// Waits until a target of the request's service takes it, for `max_ms` at the longest.
pub async fn wait(entry: &Entry, call: &Call, max_ms: u64) -> WaitEnd {
    let now = entry.now();
    let time_left_ms = call.time_left().as_millis() as u64;
    let place = Place {
        class: call.rank.unwrap_or(u8::MAX),
        useful_until: now.plus(time_left_ms.min(call.route.latency_objective.as_millis() as u64)),
        work: call.work(),
        ticket: rank::key_of(&call.head.attempt_id),
    };
    let waiter = Arc::new(Notify::new());
    let bytes = call.body.len() + HEAD_BYTES;
    if !entry.waiting.join(&call.service, place, bytes, waiter.clone()) {
        return WaitEnd::Displaced;
    }
    let _guard = QueueGuard { entry, service: &call.service, place };
    let until = Instant::now() + Duration::from_millis(max_ms);
    loop {
        let (is_held, is_first) = entry.waiting.turn(&call.service, place);
        if !is_held {
            return WaitEnd::Displaced;
        }
        let time_left = until.saturating_duration_since(Instant::now());
        let closed_ms = entry.targets().shortest_wait_in_ms(
            &call.service,
            call.allowed_data_centers.as_deref(),
            entry.now(),
        );
        let pause = match closed_ms {
            None if is_first => return WaitEnd::Opened,
            Some(closed_ms) if is_first => time_left.min(Duration::from_millis(closed_ms)),
            _ => time_left,
        };
        if time_left.is_zero() {
            return WaitEnd::TooLong;
        }
        // A wake-up and the end of the pause both lead to another look.
        let _ = tokio::time::timeout(pause, waiter.notified()).await;
    }
}
