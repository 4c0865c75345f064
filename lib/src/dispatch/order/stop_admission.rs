//! Which requests an entry that stops still takes.
//!
//! While the balancer may still send callers, a refused caller may meet the next entry that stops, so what
//! is likely to end in time is taken. Shortly before the listener closes nobody is sent any more; what still
//! arrives is taken only if its own limit ends it in time. What is refused has not run, and its caller goes
//! elsewhere.

/// Phase of a stop that still reads requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopPhase {
    /// The balancer may still send callers.
    Accepting,
    /// The listener is about to close or has closed; what is on its way arrives.
    Closing,
}

impl StopPhase {
    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            StopPhase::Accepting => "accepting",
            StopPhase::Closing => "closing",
        }
    }
}

/// Time that a request has and may take, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct StopDemand {
    /// Time until the entry cuts what still runs.
    pub left_ms: u64,
    /// Time after which the request ends in any case.
    pub limit_ms: u64,
    /// Whether the latest answers of its route say that it ends in time.
    pub is_likely_in_time: bool,
}

/// Returns whether an entry that stops takes a request.
pub fn takes(phase: StopPhase, demand: &StopDemand) -> bool {
    let is_certainly_in_time = demand.limit_ms <= demand.left_ms;
    match phase {
        StopPhase::Accepting => is_certainly_in_time || demand.is_likely_in_time,
        StopPhase::Closing => is_certainly_in_time,
    }
}
