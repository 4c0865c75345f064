//! Targets of a run: stand-ins behind a link, sound or in trouble.

use std::collections::BTreeSet;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rosemarymoor_platform_standins::fixtures::{events, script};
use rosemarymoor_platform_standins::target::{
    ReceivedRequest, Step, TargetStandIn, not_run, signed,
};
use rosemarymoor_testutils::fault_proxy::Link;
use rosemarymoor_testutils::seeded_rng::SeededRng;

/// Tokens of one event, as the manifest says.
pub const TOKENS_PER_EVENT: u64 = 4;

/// Pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(25);

/// Time that a call works.
const CALL_WORK: Duration = Duration::from_millis(10);

/// Share of a troubled target's requests that it spoils.
const SPOILED: f64 = 0.4;

/// One target and the way to it.
pub struct Target {
    /// Place among all targets that ever were.
    pub number: usize,
    pub id: String,
    pub service: &'static str,
    pub stand_in: TargetStandIn,
    pub link: Link,
    /// Whether it spoils requests.
    pub is_troubled: Arc<AtomicBool>,
    /// Requests that it answered as not run.
    turned_away: Arc<Mutex<BTreeSet<String>>>,
    /// When it asked for no more work.
    left_at: Mutex<Option<Instant>>,
}

impl Target {
    /// Starts a target; it is not registered.
    pub async fn spawn(number: usize, service: &'static str, seed: u64) -> io::Result<Target> {
        let is_troubled = Arc::new(AtomicBool::new(false));
        let turned_away = Arc::new(Mutex::new(BTreeSet::new()));
        let rng = SeededRng::new(seed);
        let (troubled, refused) = (is_troubled.clone(), turned_away.clone());
        let answer = script(move |received| {
            let is_spoiled = troubled.load(Ordering::Relaxed) && rng.random_bool(SPOILED);
            let spoiling = is_spoiled.then(|| SPOILINGS[rng.random_below(3) as usize]);
            if spoiling == Some(Spoiling::TurnedAway) {
                let mut refused = refused.lock().unwrap_or_else(PoisonError::into_inner);
                refused.insert(received.attempt_id().to_owned());
            }
            answer(received, spoiling)
        });
        let stand_in = TargetStandIn::spawn(answer).await?;
        let link = Link::bind_tcp(stand_in.address()).await?;
        let id = format!("t{number}");
        let left_at = Mutex::new(None);
        Ok(Target { number, id, service, stand_in, link, is_troubled, turned_away, left_at })
    }

    /// Notes that it asks for no more work.
    pub fn leave(&self) {
        *self.left_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    /// When it asked for no more work.
    pub fn left_at(&self) -> Option<Instant> {
        *self.left_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests that it answered as not run.
    pub fn turned_away(&self) -> BTreeSet<String> {
        self.turned_away.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// How a request is spoiled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Spoiling {
    /// It is answered as not run.
    TurnedAway,
    /// It runs, and the connection is reset.
    Reset,
    /// It runs and fails.
    Failed,
}

const SPOILINGS: [Spoiling; 3] = [Spoiling::TurnedAway, Spoiling::Reset, Spoiling::Failed];

/// Answers a request, soundly unless it is spoiled.
fn answer(received: &ReceivedRequest, spoiling: Option<Spoiling>) -> Vec<Step> {
    match spoiling {
        Some(Spoiling::TurnedAway) => return vec![Step::Send(not_run())],
        Some(Spoiling::Reset) => return vec![Step::Wait(CALL_WORK), Step::Reset],
        Some(Spoiling::Failed) => {
            let status = "500 Internal Server Error";
            return vec![Step::Send(signed(received, status, "broken"))];
        }
        None => {}
    }
    let usage = received.header("token-usage").and_then(|usage| usage.split_once(','));
    match usage.and_then(|(_, output)| output.parse::<u64>().ok()) {
        Some(output) => {
            let after = received.header("last-event-id").and_then(|id| id.parse().ok());
            events(received, after.unwrap_or(0), output / TOKENS_PER_EVENT, EVENT_PAUSE)
        }
        None => vec![Step::Wait(CALL_WORK), Step::Send(signed(received, "200 OK", "done"))],
    }
}
