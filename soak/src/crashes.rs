//! Requests with a part in their prompts that crashes each target that begins to answer, beside the
//! load of sound requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rosemarymoor_platform_standins::caller::CallerRequest;
use rosemarymoor_platform_standins::target::{ReceivedRequest, Step, chunk, event, stream_head};
use rosemarymoor_testutils::seeded_rng::SeededRng;
use tokio::task::JoinSet;

use crate::fleet::{Fleet, WORKSPACES};
use crate::load::{FUNDED_WORKSPACE, connect};

/// Part that crashes targets; the common part is in all prompts.
const BAD_PART: &str = "bad0bad0:40";
const COMMON_PART: &str = "ab12:100";

/// Time for which a crashed target is down.
pub const DOWN_TIME: Duration = Duration::from_millis(800);

/// Time until a target begins to answer, and crashes.
const START_TIME: Duration = Duration::from_millis(20);

/// Longest time between two requests with the part, in milliseconds.
const MAX_INTERVAL_MS: u64 = 200;

/// Returns whether a request has the part that crashes targets.
pub fn is_bad(received: &ReceivedRequest) -> bool {
    received.header("prompt-prefix").is_some_and(|prompt| prompt.contains(BAD_PART))
}

/// Returns the index of the entry that a request with the part was sent to.
pub fn entry_of(received: &ReceivedRequest) -> Option<usize> {
    received.attempt_id().strip_prefix("bad")?.split('-').next()?.parse().ok()
}

/// Returns the steps of a target that crashes, before the head of its answer or inside an event.
pub fn steps(received: &ReceivedRequest) -> Vec<Step> {
    let mut steps = Vec::new();
    if received.attempt_id().ends_with(['0', '2', '4', '6', '8']) {
        let event = event(1);
        steps.push(Step::Send(stream_head(received)));
        steps.push(Step::Send(chunk(&event[..event.len() / 2])));
    }
    steps.extend([Step::Wait(START_TIME), Step::Crash(DOWN_TIME)]);
    steps
}

/// Sends requests with the part to random entries until a time, by a seeded sequence of its own. No two
/// are alike but for the part and the common one.
pub async fn run(fleet: Arc<Fleet>, seed: u64, until: Instant) {
    let rng = SeededRng::new(seed.rotate_left(31));
    let mut calls = JoinSet::new();
    let mut number = 0_u64;
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(rng.random_below(MAX_INTERVAL_MS))).await;
        number += 1;
        let entry = rng.random_below(fleet.entries.len() as u64) as usize;
        let req = request(&rng, entry, number);
        let fleet = fleet.clone();
        calls.spawn(async move {
            if let Some((_, mut caller)) = connect(&fleet, entry).await {
                caller.call(&req).await;
            }
        });
    }
    while calls.join_next().await.is_some() {}
}

fn request(rng: &SeededRng, entry: usize, number: u64) -> CallerRequest {
    let mut parts = vec![COMMON_PART.to_owned(), format!("f{number:x}:20")];
    parts.insert(rng.random_below(3) as usize, BAD_PART.to_owned());
    parts.push(format!("e{number:x}:40"));
    let path = if rng.random_bool(0.5) { "stream" } else { "resume" };
    let id = format!("bad{entry}-{number}");
    CallerRequest {
        key: WORKSPACES[FUNDED_WORKSPACE].1.to_owned(),
        headers: format!(
            "Model: m\r\nToken-Usage: 200,40\r\nPrompt-Prefix: {}\r\n",
            parts.join(",")
        ),
        ..CallerRequest::post(&format!("/{path}/{id}"), &id)
    }
}
