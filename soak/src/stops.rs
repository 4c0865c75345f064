//! Stops of entries in series, while callers send requests that outlast the entry at the last moment at
//! which it reads them, beside the load.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rosemarymoor_testutils::seeded_rng::SeededRng;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::faults::finish_stop;
use crate::fleet::Fleet;
use crate::invariants::ACCEPT_TIME;
use crate::load::{FUNDED_WORKSPACE, connect};
use crate::record::{Component, RequestKind};
use crate::request::{MAX_EVENTS, Request};
use crate::target::EVENT_INTERVAL;

/// Longest time between two stops, in milliseconds; an entry takes some seconds to stop.
const MAX_STOP_INTERVAL_MS: u64 = 1_500;

/// Callers that send to an entry while it stops.
const LATE_CALLERS: u64 = 8;

/// Longest time after the entry's time to accept at which they send, in milliseconds.
const MAX_LATE_MS: u64 = 100;

/// Longest time before it at which calls are sent, in milliseconds; streams are not.
const MAX_EARLY_MS: u64 = 600;

/// Time from the first connections of callers to the signal.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Longest time from a connection that is not reused to its request, in milliseconds.
const MAX_IDLE_MS: u64 = 1_000;

/// Longest pause inside a head, in milliseconds; shorter than the time in which it has to arrive.
const MAX_HEAD_PAUSE_MS: u64 = 900;

/// Share of the requests with a pause inside their heads.
const PAUSED_SHARE: f64 = 0.4;

/// Share of the callers that send on a connection that has served a request before the signal.
const REUSED_SHARE: f64 = 0.5;

/// Share of the requests that outlast the entry.
const LONG_SHARE: f64 = 0.7;

/// Time that a long request takes; longer than a stopping entry runs after it accepts.
const LONG_TIME: Duration = Duration::from_millis(4_300);

/// Time limit of a long request: that of its route.
const LONG_TIME_LIMIT: Duration = Duration::from_secs(5);

/// Longest time from the end of a process to its restart, in milliseconds.
const MAX_DOWN_MS: u64 = 700;

/// Stops random entries until a time, by a seeded sequence of its own; stops of several entries overlap.
///
/// # Errors
///
/// Fails if a process cannot be restarted.
pub async fn run(fleet: Arc<Fleet>, seed: u64, until: Instant) -> io::Result<()> {
    let rng = SeededRng::new(seed.rotate_left(47));
    let mut stops = JoinSet::new();
    let mut number = 0;
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(rng.random_below(MAX_STOP_INTERVAL_MS))).await;
        number += 1;
        let entry = rng.random_below(fleet.entries.len() as u64) as usize;
        let callers = (0..LATE_CALLERS)
            .map(|caller| LateCaller::random(&rng, entry, format!("late{number}-{caller}")));
        let down = Duration::from_millis(rng.random_below(MAX_DOWN_MS));
        stops.spawn(stop(fleet.clone(), entry, callers.collect(), down));
    }
    while let Some(ended) = stops.join_next().await {
        ended.map_err(io::Error::other)??;
    }
    Ok(())
}

/// Stops an entry under its late callers, unless its process has a fault already.
async fn stop(
    fleet: Arc<Fleet>,
    entry: usize,
    callers: Vec<LateCaller>,
    down: Duration,
) -> io::Result<()> {
    let member = &fleet.entries[entry];
    let Ok(mut process) = member.process.try_lock() else { return Ok(()) };
    if !member.is_ready().await {
        return Ok(());
    }
    let signal = watch::Sender::new(None);
    let mut calls = JoinSet::new();
    for caller in callers {
        calls.spawn(caller.run(fleet.clone(), signal.subscribe()));
    }
    tokio::time::sleep(CONNECT_TIME).await;
    let signalled_at = Instant::now();
    process.terminate();
    signal.send_replace(Some(signalled_at));
    let component = Component::Entry(entry);
    finish_stop(&fleet, member, component, &mut process, signalled_at, down).await?;
    calls.join_all().await;
    Ok(())
}

/// Caller that sends one request to an entry that stops.
struct LateCaller {
    entry: usize,
    /// Whether it sends on a connection that has served a request before the signal.
    reuses_connection: bool,
    /// Time from the signal to its connection, unless it reuses one.
    connects_after: Duration,
    /// Time from the signal to its request.
    sends_after: Duration,
    request: Request,
}

impl LateCaller {
    fn random(rng: &SeededRng, entry: usize, id: String) -> LateCaller {
        let mut request = Request::random(rng, id);
        request.workspace = FUNDED_WORKSPACE;
        let is_long = rng.random_bool(LONG_SHARE);
        let late = Duration::from_millis(rng.random_below(MAX_LATE_MS));
        let early = Duration::from_millis(rng.random_below(MAX_EARLY_MS));
        let idle = Duration::from_millis(rng.random_below(MAX_IDLE_MS));
        let pause = Duration::from_millis(rng.random_below(MAX_HEAD_PAUSE_MS));
        request.pause = rng.random_bool(PAUSED_SHARE).then_some(pause);
        let is_call = matches!(request.kind, RequestKind::Safe | RequestKind::Unsafe);
        if is_long {
            request.time_limit = LONG_TIME_LIMIT;
            request.events = (LONG_TIME.as_millis() / EVENT_INTERVAL.as_millis()) as u64;
            request.work = is_call.then_some(LONG_TIME);
        }
        let is_early = is_call && rng.random_bool(0.5);
        let sends_after = if is_early { ACCEPT_TIME - early } else { ACCEPT_TIME + late };
        LateCaller {
            entry,
            reuses_connection: rng.random_bool(REUSED_SHARE),
            connects_after: sends_after.min(ACCEPT_TIME) - idle,
            sends_after,
            request,
        }
    }

    /// Connects, waits and sends; an entry that cannot be reached any more gets nothing.
    async fn run(self, fleet: Arc<Fleet>, signal: watch::Receiver<Option<Instant>>) {
        let mut open_connection = None;
        if self.reuses_connection {
            let Some((_, mut caller)) = connect(&fleet, self.entry).await else { return };
            let id = format!("{}-before", self.request.id);
            let before = Request::new(id, RequestKind::Safe, FUNDED_WORKSPACE, MAX_EVENTS);
            fleet.record.add_exchange(before.send(&mut caller, self.entry, None).await);
            open_connection = Some(caller);
        }
        let Some(signalled_at) = signalled(signal).await else { return };
        if open_connection.is_none() {
            tokio::time::sleep_until((signalled_at + self.connects_after).into()).await;
            open_connection = connect(&fleet, self.entry).await.map(|(_, caller)| caller);
        }
        let Some(mut caller) = open_connection else { return };
        tokio::time::sleep_until((signalled_at + self.sends_after).into()).await;
        fleet.record.add_exchange(self.request.send(&mut caller, self.entry, None).await);
    }
}

/// Waits for the signal to an entry and returns its time.
async fn signalled(mut signal: watch::Receiver<Option<Instant>>) -> Option<Instant> {
    *signal.wait_for(Option::is_some).await.ok()?
}
