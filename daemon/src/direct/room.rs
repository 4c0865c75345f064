//! Finds room for a request before it is sent: executes what [`room`] decides.
//!
//! Requests without a configured priority are sent as they come.

use rosemarymoor_lib::dispatch::order::room::{self, Decision, Demand, Room};
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::result_code::{Refusal, ResultCode};

use super::attempts::{Attempts, best_target};
use super::call::Call;
use super::entry::Entry;
use super::prediction::prediction_of;
use super::turn::{self, WaitEnd};

/// Waits for room if all targets are closed, and notes whether the request yields to others.
///
/// # Errors
///
/// Returns the refusal of a request for which there will be no room in time.
pub async fn find(entry: &Entry, call: &mut Call) -> Result<(), Refusal> {
    while call.rank.is_some() {
        let found = look(entry, call);
        match room::decide(&demand(call), &found) {
            Decision::Send { yields } => {
                call.yields = yields;
                if yields {
                    record(entry, call, "yields", &found);
                }
                return Ok(());
            }
            Decision::Wait { max_ms } => {
                let end = turn::wait(entry, call, max_ms).await;
                record(entry, call, end.label(), &found);
                if end == WaitEnd::Displaced {
                    return Err(refusal(call, max_ms));
                }
            }
            Decision::Refuse { room_after_ms } => {
                record(entry, call, "refused", &found);
                return Err(refusal(call, room_after_ms));
            }
        }
    }
    Ok(())
}

fn demand(call: &Call) -> Demand {
    Demand {
        age_ms: call.arrived_at.elapsed().as_millis() as u64,
        objective_ms: call.route.latency_objective.as_millis() as u64,
        time_left_ms: call.time_left().as_millis() as u64,
        is_stream: call.route.kind.is_stream(),
        is_taken_up: call.head.resumption.is_some(),
    }
}

/// Returns the room that the request's service has now.
fn look(entry: &Entry, call: &Call) -> Room {
    if let Some(wait_ms) = entry.targets().shortest_wait_in_ms(
        &call.service,
        call.allowed_data_centers.as_deref(),
        entry.now(),
    ) {
        return Room::Closed { wait_ms };
    }
    if call.head.prompt.is_empty() {
        return Room::Unknown;
    }
    let best = best_target(entry, call, &Attempts::default());
    match best.and_then(|best| prediction_of(entry, &best)) {
        Some(prediction) => Room::Open {
            first_event_ms: prediction.first_event_ms,
            is_reliable: prediction.is_reliable,
            has_queue: prediction.has_queue,
        },
        None => Room::Unknown,
    }
}

fn refusal(call: &Call, room_after_ms: u64) -> Refusal {
    let random = rank::key_of(&call.head.attempt_id);
    let detail = "all targets are closed, or would answer too late";
    Refusal::new(ResultCode::QueueFull, detail)
        .retry_after(room::retry_after_ms(room_after_ms, random))
}

fn record(entry: &Entry, call: &Call, outcome: &'static str, found: &Room) {
    entry.metrics.count_room_decision(outcome);
    log::info!(
        "event=room request={} service={} rank={:?} outcome={outcome} after_ms={} found={found:?}",
        call.head.attempt_id,
        call.service,
        call.rank,
        call.arrived_at.elapsed().as_millis()
    );
}
