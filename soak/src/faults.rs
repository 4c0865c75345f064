//! Injects random faults into processes, links, the store and targets of a run. The seed decides
//! their kinds, times and durations; faults may overlap.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rosemarymoor_platform_standins::store::StoreFault;
use rosemarymoor_testutils::fault_proxy::Link;
use rosemarymoor_testutils::process::Process;
use rosemarymoor_testutils::seeded_rng::SeededRng;
use rustix::process::Signal;
use tokio::task::JoinSet;

use crate::Plan;
use crate::crashes;
use crate::fleet::{Fleet, Member, STOP_TIMEOUT};
use crate::record::{Component, EntryStop};
use crate::stops;
use crate::target::Target;

/// Longest time between the starts of two faults, in milliseconds.
const MAX_FAULT_INTERVAL_MS: u64 = 500;

/// Longest duration of a fault, in milliseconds.
const MAX_DURATION_MS: u64 = 3_000;

/// Longest time that a process is paused, in milliseconds; shorter than a request's deadline.
const MAX_PROCESS_PAUSE_MS: u64 = 1_500;

/// Delay of a slow link in each direction.
const LINK_DELAY: Duration = Duration::from_millis(150);

/// Largest number of tokens that a new configuration adds to the first workspace's budget.
const MAX_TOP_UP_TOKENS: u64 = 30_000;

/// Greatest age of a copy that the store is restored from, in milliseconds.
const MAX_COPY_AGE_MS: u64 = 6_000;

/// Time for which the store is away while it is restored.
const RESTORE_TIME: Duration = Duration::from_millis(300);

/// Longest pause between a restore and the next copy, in milliseconds.
const MAX_RESTORE_PAUSE_MS: u64 = 4_000;

/// Shortest time from the start of a target's drain to the end of its registration.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(4);

/// Limits of requests a second that targets name.
const LIMITS: [f64; 4] = [0.5, 1.0, 2.0, 3.0];

/// Longest pause between two changes of a limit, and time for which one is named, in milliseconds.
const MAX_LIMIT_PAUSE_MS: u64 = 1_500;
const MIN_LIMIT_MS: u64 = 3_000;
const MAX_LIMIT_MS: u64 = 12_000;

/// Kinds of faults.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Kills a process with SIGKILL and restarts it.
    Kill,
    /// Pauses a process and resumes it.
    Pause,
    /// Stops a process with SIGTERM and restarts it.
    Stop,
    /// Makes a process reload its settings, with SIGHUP.
    Reload,
    /// Cuts, blocks, delays or resets the link of a process to the store.
    StoreLink,
    /// Sets a fault of the store, or drops its history.
    Store,
    /// Cuts, blocks, delays or resets the link to a target.
    TargetLink,
    /// Lets a target corrupt requests.
    TargetErrors,
    /// Replaces a target, which drains and then ends its registration.
    TargetDrain,
    /// Replaces a target, which becomes unreachable for good.
    TargetDeath,
    /// Accepts a new configuration, which has to be applied during other faults too.
    Configure,
}

/// Kinds from which each fault is picked at random; those listed twice are twice as likely.
const FAULTS: [Fault; 13] = [
    Fault::Kill,
    Fault::Pause,
    Fault::Stop,
    Fault::Reload,
    Fault::StoreLink,
    Fault::StoreLink,
    Fault::Store,
    Fault::TargetLink,
    Fault::TargetErrors,
    Fault::TargetDrain,
    Fault::TargetDeath,
    Fault::Configure,
    Fault::Configure,
];

/// Injects faults for the plan's duration, waits until all have ended and returns their number.
///
/// # Errors
///
/// Fails if a process cannot be restarted or a target cannot be started.
pub async fn run(fleet: &Arc<Fleet>, plan: &Plan) -> io::Result<u64> {
    let rng = Arc::new(SeededRng::new(plan.seed));
    let until = Instant::now() + plan.duration;
    let mut tasks = JoinSet::new();
    if plan.restores {
        tasks.spawn(restore_store(fleet.clone(), plan.seed, until));
    }
    if plan.limits {
        tasks.spawn(limit_targets(fleet.clone(), plan.seed, until));
    }
    if plan.crashes {
        let (fleet, seed) = (fleet.clone(), plan.seed);
        tasks.spawn(async move {
            crashes::run(fleet, seed, until).await;
            Ok(())
        });
    }
    if plan.stops {
        tasks.spawn(stops::run(fleet.clone(), plan.seed, until));
    }
    let mut count = 0;
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(rng.random_below(MAX_FAULT_INTERVAL_MS))).await;
        let fault = FAULTS[rng.random_below(FAULTS.len() as u64) as usize];
        let duration = Duration::from_millis(rng.random_below(MAX_DURATION_MS));
        tasks.spawn(inject(fleet.clone(), rng.clone(), fault, duration));
        count += 1;
    }
    while let Some(ended) = tasks.join_next().await {
        ended.map_err(io::Error::other)??;
    }
    Ok(count)
}

/// Restores the store from copies at random times, with a seeded sequence of its own, so that the
/// other faults of a seed stay the same.
async fn restore_store(fleet: Arc<Fleet>, seed: u64, until: Instant) -> io::Result<()> {
    let rng = SeededRng::new(!seed);
    while Instant::now() < until {
        let copy = fleet.store.copy();
        tokio::time::sleep(Duration::from_millis(rng.random_below(MAX_COPY_AGE_MS))).await;
        let restoring = async {
            fleet.store.set_fault(StoreFault::Unreachable);
            tokio::time::sleep(RESTORE_TIME).await;
            fleet.store.restore(&copy);
            fleet.store.set_fault(StoreFault::None);
        };
        record_fault(&fleet, Component::ControlPlane, restoring).await;
        tokio::time::sleep(Duration::from_millis(rng.random_below(MAX_RESTORE_PAUSE_MS))).await;
    }
    Ok(())
}

/// Lets targets name limits at random times, with a seeded sequence of its own; a limit may change
/// while it is named. All limits have ended when it returns.
async fn limit_targets(fleet: Arc<Fleet>, seed: u64, until: Instant) -> io::Result<()> {
    let rng = SeededRng::new(seed.rotate_left(17));
    let mut named: Vec<(Arc<Target>, Instant)> = Vec::new();
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(rng.random_below(MAX_LIMIT_PAUSE_MS))).await;
        let is_over = |(_, end): &(Arc<Target>, Instant)| *end <= Instant::now();
        named.iter().filter(|named| is_over(named)).for_each(|(target, _)| target.set_limit(None));
        named.retain(|named| !is_over(named));
        let targets = fleet.targets();
        let target = targets[rng.random_below(targets.len() as u64) as usize].clone();
        target.set_limit(Some(LIMITS[rng.random_below(LIMITS.len() as u64) as usize]));
        let time = MIN_LIMIT_MS + rng.random_below(MAX_LIMIT_MS - MIN_LIMIT_MS);
        named.retain(|(other, _)| other.number != target.number);
        named.push((target, Instant::now() + Duration::from_millis(time)));
    }
    named.iter().for_each(|(target, _)| target.set_limit(None));
    Ok(())
}

/// Injects one fault and returns when it has ended.
async fn inject(
    fleet: Arc<Fleet>,
    rng: Arc<SeededRng>,
    fault: Fault,
    duration: Duration,
) -> io::Result<()> {
    match fault {
        Fault::Kill | Fault::Pause | Fault::Stop | Fault::Reload => {
            inject_process_fault(&fleet, &rng, fault, duration).await?;
        }
        Fault::StoreLink => {
            let members: Vec<&Member> = fleet.members().collect();
            let member = members[rng.random_below(members.len() as u64) as usize];
            record_fault(
                &fleet,
                Component::ControlPlane,
                inject_link_fault(&member.link, &rng, duration),
            )
            .await;
        }
        Fault::Store => {
            record_fault(
                &fleet,
                Component::ControlPlane,
                inject_store_fault(&fleet, &rng, duration),
            )
            .await;
        }
        Fault::Configure => fleet.configure(rng.random_below(MAX_TOP_UP_TOKENS)),
        Fault::TargetLink | Fault::TargetErrors | Fault::TargetDrain | Fault::TargetDeath => {
            inject_target_fault(&fleet, &rng, fault, duration).await?;
        }
    }
    Ok(())
}

/// Runs a fault of a component and records when it began and ended.
async fn record_fault(fleet: &Fleet, component: Component, fault: impl Future<Output = ()>) {
    let number = fleet.record.begin_fault(component);
    fault.await;
    fleet.record.end_fault(number);
}

/// Injects a fault into a random process, unless that process has one already.
async fn inject_process_fault(
    fleet: &Fleet,
    rng: &SeededRng,
    fault: Fault,
    duration: Duration,
) -> io::Result<()> {
    let count = (fleet.entries.len() + fleet.budget_servers.len()) as u64;
    let index = rng.random_below(count) as usize;
    let (member, component) = match fleet.entries.get(index) {
        Some(entry) => (entry, Component::Entry(index)),
        None => (&fleet.budget_servers[index - fleet.entries.len()], Component::ControlPlane),
    };
    // A process has one fault at a time.
    let Ok(mut process) = member.process.try_lock() else { return Ok(()) };
    if let Some(status) = process.exit_status() {
        fleet.add_own_exit(&member.name, status, &process.log());
        return restart(member, &mut process);
    }
    if matches!(fault, Fault::Reload) {
        process.signal(Signal::HUP);
        return Ok(());
    }
    if matches!(fault, Fault::Stop) {
        let signalled_at = Instant::now();
        process.terminate();
        let pause = duration / 4;
        finish_stop(fleet, member, component, &mut process, signalled_at, pause).await?;
        return Ok(());
    }
    let number = fleet.record.begin_fault(component);
    if matches!(fault, Fault::Pause) {
        process.pause();
        tokio::time::sleep(duration.min(Duration::from_millis(MAX_PROCESS_PAUSE_MS))).await;
        process.resume();
    } else {
        process.kill();
        tokio::time::sleep(duration / 4).await;
        restart(member, &mut process)?;
        await_ready(member).await;
    }
    fleet.record.end_fault(number);
    Ok(())
}

/// Waits until a process that got SIGTERM has ended, and restarts it after `pause`.
///
/// A graceful stop must not fail any request, so the fault begins when the process has ended.
///
/// # Errors
///
/// Fails if the process cannot be restarted.
pub async fn finish_stop(
    fleet: &Fleet,
    member: &Member,
    component: Component,
    process: &mut Process,
    signalled_at: Instant,
    pause: Duration,
) -> io::Result<()> {
    fleet.check_exit(&member.name, process.wait_exit_code_within(STOP_TIMEOUT).await);
    let number = fleet.record.begin_fault(component);
    if let Component::Entry(entry) = component {
        fleet.record.add_stop(EntryStop { entry, signalled_at, ended_at: Instant::now() });
    }
    tokio::time::sleep(pause).await;
    restart(member, process)?;
    await_ready(member).await;
    fleet.record.end_fault(number);
    Ok(())
}

/// Starts a process again and counts the start.
fn restart(member: &Member, process: &mut Process) -> io::Result<()> {
    member.starts.fetch_add(1, Ordering::SeqCst);
    process.restart()
}

/// Waits until a started process is ready, for about 3 s at most: the store may be unreachable.
async fn await_ready(member: &Member) {
    const ATTEMPTS: u32 = 40;
    for _ in 0..ATTEMPTS {
        if member.is_ready().await {
            return;
        }
        tokio::time::sleep(LINK_DELAY / 2).await;
    }
}

/// Cuts, delays or resets a link or blocks its replies, and restores it after `duration`.
async fn inject_link_fault(link: &Link, rng: &SeededRng, duration: Duration) {
    match rng.random_below(4) {
        0 => link.set_cut(true),
        1 => link.set_replies_blocked(true),
        2 => link.set_delay(LINK_DELAY),
        _ => link.reset(),
    }
    tokio::time::sleep(duration).await;
    link.set_cut(false);
    link.set_replies_blocked(false);
    link.set_delay(Duration::ZERO);
}

/// Injects a random fault into the store, or drops the history of its changes.
async fn inject_store_fault(fleet: &Fleet, rng: &SeededRng, duration: Duration) {
    let store_faults = [
        StoreFault::Busy,
        StoreFault::Unreachable,
        StoreFault::LostAnswers,
        StoreFault::Slow,
        StoreFault::LateWrites,
        StoreFault::None,
    ];
    let store_fault = store_faults[rng.random_below(store_faults.len() as u64) as usize];
    if store_fault == StoreFault::None {
        fleet.store.compact_history();
        return;
    }
    fleet.store.set_fault(store_fault);
    tokio::time::sleep(duration).await;
    fleet.store.set_fault(StoreFault::None);
}

/// Injects a fault into a random target that is neither draining nor dead.
async fn inject_target_fault(
    fleet: &Fleet,
    rng: &SeededRng,
    fault: Fault,
    duration: Duration,
) -> io::Result<()> {
    let targets = fleet.targets();
    let available: Vec<&Arc<Target>> =
        targets.iter().filter(|target| target.draining_since().is_none()).collect();
    let target = available[rng.random_below(available.len() as u64) as usize];
    let number = fleet.record.begin_fault(Component::Target(target.number));
    match fault {
        Fault::TargetLink => inject_link_fault(&target.link, rng, duration).await,
        Fault::TargetErrors => {
            target.is_faulty.store(true, Ordering::Relaxed);
            tokio::time::sleep(duration).await;
            target.is_faulty.store(false, Ordering::Relaxed);
        }
        Fault::TargetDrain => {
            fleet.record.end_fault(number);
            fleet.add_target(target.service).await?;
            target.start_draining();
            fleet.register(target, "draining");
            tokio::time::sleep(MIN_DRAIN_TIME + duration).await;
            fleet.store.unregister(&target.id);
            return Ok(());
        }
        _ => {
            // The target stays unreachable, so its fault never ends. Its registration ends only
            // after `duration`.
            fleet.add_target(target.service).await?;
            target.start_draining();
            target.link.reset();
            target.link.set_cut(true);
            tokio::time::sleep(duration).await;
            fleet.store.unregister(&target.id);
            return Ok(());
        }
    }
    fleet.record.end_fault(number);
    Ok(())
}
