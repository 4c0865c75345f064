//! Reserves the tokens of a request before it is admitted.

use std::time::{Duration, Instant};

use rosemarymoor_lib::dispatch::catalog::{Catalog, Route, Workspace};
use rosemarymoor_lib::dispatch::rank;
use rosemarymoor_lib::id::BudgetId;
use rosemarymoor_lib::result_code::{Refusal, ResultCode};
use rosemarymoor_platform::request::CallerHead;

use super::budget_client::{ReservationDenied, ReservationParams};
use super::entry::Entry;
use super::reservation::Reservation;

/// Name of the one budget that a workspace has on the platform.
const BUDGET_NAME: &str = "prepaid";

/// Divisor of the latency objective that gives the longest wait for a reservation.
const RESERVATION_WAIT_DIVISOR: u32 = 3;

/// Part of a request's output that is drawn at once, as a divisor of its upper bound.
const DRAW_STEP_DIVISOR: u64 = 4;

/// Fewest tokens that are drawn at once.
const MIN_DRAW_STEP_TOKENS: u64 = 128;

/// Longest wait for a reservation at one holder of the budget.
const MAX_RESERVATION_WAIT: Duration = Duration::from_millis(250);

/// Retry delay reported while other holders have the remaining tokens: within this time
/// they return what they do not need.
const SHORT_RETRY_AFTER_MS: u64 = 1_800;

/// Reserves the worst case of a request; returns `None` for a workspace without a budget or
/// a request without a token bound.
pub async fn reserve(
    entry: &Entry,
    catalog: &Catalog,
    route: &Route,
    head: &CallerHead,
    workspace: &Workspace,
    deadline: Instant,
) -> Result<Option<Reservation>, Refusal> {
    let (Some(prepaid), Some(tokens)) = (workspace.prepaid, head.tokens) else { return Ok(None) };
    let lifetime = deadline.saturating_duration_since(Instant::now());
    let max_wait = (route.latency_objective / RESERVATION_WAIT_DIVISOR)
        .min(MAX_RESERVATION_WAIT)
        .min(lifetime);
    let draw_step = (tokens.output / DRAW_STEP_DIVISOR).max(MIN_DRAW_STEP_TOKENS);
    let params = ReservationParams {
        request: head.attempt_id.clone(),
        budget: BudgetId { workspace: workspace.name.clone(), name: BUDGET_NAME.to_owned() },
        prepaid,
        prepaid_version: catalog.version,
        tokens: tokens.total(),
        max_wait,
        lifetime,
        first_draw: tokens.input.saturating_add(draw_step).min(tokens.total()),
        draw_step,
    };
    let started = Instant::now();
    let answer = Reservation::open(&entry.budgets, params).await;
    let outcome = match &answer {
        Ok(_) => "granted",
        Err(ReservationDenied::Exhausted) => "exhausted",
        Err(ReservationDenied::Short) => "short",
        Err(ReservationDenied::Unavailable) => "unavailable",
    };
    entry.metrics.record_reservation(outcome, started.elapsed());
    match answer {
        Ok(reservation) => {
            entry.budget_retry_after().record_success();
            Ok(Some(reservation))
        }
        Err(ReservationDenied::Exhausted) => {
            let detail = format!("{} tokens do not fit into what is left", tokens.total());
            Err(Refusal::new(ResultCode::BudgetExhausted, detail))
        }
        Err(ReservationDenied::Short) => {
            let refusal = Refusal::new(ResultCode::BudgetUnavailable, "other holders have it");
            Err(refusal.retry_after(SHORT_RETRY_AFTER_MS))
        }
        Err(ReservationDenied::Unavailable) => {
            let refusal = Refusal::new(ResultCode::BudgetUnavailable, "no holder has the money");
            let random = rank::key_of(&head.attempt_id);
            let time_left_ms =
                deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
            let retry_after_ms =
                entry.budget_retry_after().record_failure(entry.now(), time_left_ms, random);
            Err(refusal.retry_after(retry_after_ms))
        }
    }
}
