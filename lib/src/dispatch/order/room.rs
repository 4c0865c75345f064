//! Decides what becomes of a request by the room that its service has.
//!
//! A request is sent at once while a target takes it, since engines order what waits there by urgency.
//! One whose first event is predicted after its objective yields to those that can still be in time: it
//! is sent with the next lower urgency, no lower, so that it is not starved. It is refused only if its
//! caller will have left before the first event, by fresh reports of a target where requests wait: a
//! late answer is worth more than none. While all targets are closed it waits in the entry's
//! [queue](super::wait_queue) if one opens soon enough, and is refused otherwise.

use super::super::rerun::patience_ms;

/// Divisor of the latency objective that gives the longest wait at the entry: whoever is refused after
/// it can still be answered in time elsewhere.
const HOLD_DIVISOR: u64 = 4;

/// Factor by which a prediction has to exceed the caller's patience for a refusal.
const REFUSAL_MARGIN: f64 = 1.5;

/// Bounds of the reported retry delay before jitter, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;
const MAX_RETRY_AFTER_MS: u64 = 3_000;

/// Jitter of the retry delay: in milliseconds, and in percent of the delay if that is more.
const RETRY_JITTER_MS: u64 = 300;
const RETRY_JITTER_PERCENT: u64 = 25;

/// Request for which room is sought.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Time since it arrived, in milliseconds.
    pub age_ms: u64,
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Time until its deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Whether it is answered by a stream of events.
    pub is_stream: bool,
    /// Whether its caller already has a part of the answer.
    pub is_taken_up: bool,
}

/// Room of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Room {
    /// The best target would begin to answer after this time, in milliseconds.
    Open {
        first_event_ms: f64,
        /// Whether that is based on fresh reports or on answers of the last seconds.
        is_reliable: bool,
        /// Whether the target has freshly reported that requests wait there.
        has_queue: bool,
    },
    /// No target takes a request for this time, in milliseconds.
    Closed { wait_ms: u64 },
    /// No target is listed, or what it would do is not known.
    Unknown,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is sent; one that yields goes after requests that can still be in time.
    Send { yields: bool },
    /// It waits at the entry for `max_ms` at the longest.
    Wait { max_ms: u64 },
    /// It is refused; there is room after so many milliseconds.
    Refuse { room_after_ms: u64 },
}

/// Decides on a request.
pub fn decide(demand: &Demand, room: &Room) -> Decision {
    match *room {
        Room::Unknown => Decision::Send { yields: false },
        Room::Closed { wait_ms } => hold_or_refuse(demand, wait_ms),
        Room::Open { first_event_ms, is_reliable, has_queue } => {
            let useful_ms = useful_ms(demand) as f64;
            let is_hopeless = first_event_ms > useful_ms * REFUSAL_MARGIN;
            if is_hopeless && is_reliable && has_queue && !demand.is_taken_up {
                return Decision::Refuse { room_after_ms: (first_event_ms - useful_ms) as u64 };
            }
            let is_late = demand.age_ms as f64 + first_event_ms > demand.objective_ms as f64;
            Decision::Send { yields: is_late && is_reliable && !demand.is_taken_up }
        }
    }
}

/// Returns the retry delay for a request that is refused until there is room; `random` spreads the
/// callers.
pub fn retry_after_ms(room_after_ms: u64, random: u64) -> u64 {
    let delay_ms = room_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    let jitter_ms = RETRY_JITTER_MS.max(delay_ms * RETRY_JITTER_PERCENT / 100);
    delay_ms + random % jitter_ms
}

fn hold_or_refuse(demand: &Demand, wait_ms: u64) -> Decision {
    let hold_ms = (demand.objective_ms / HOLD_DIVISOR).saturating_sub(demand.age_ms);
    let max_ms = hold_ms.min(demand.time_left_ms);
    match wait_ms <= max_ms {
        true => Decision::Wait { max_ms },
        false => Decision::Refuse { room_after_ms: wait_ms },
    }
}

/// Returns the time in which the beginning of an answer is of use to the caller, in milliseconds.
fn useful_ms(demand: &Demand) -> u64 {
    let patience_ms = patience_ms(demand.objective_ms).saturating_sub(demand.age_ms);
    match demand.is_stream {
        true => demand.time_left_ms.min(patience_ms),
        false => demand.time_left_ms,
    }
}
