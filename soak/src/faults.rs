//! Random faults from outside the processes, in series and overlapping.

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
use crate::fleet::{Fleet, Member, STOP_LIMIT};
use crate::record::{Struck, Violation};
use crate::target::Target;

/// Longest pause between two faults, in milliseconds.
const PAUSE_MS: u64 = 500;

/// Longest time that a fault lasts, in milliseconds.
const LASTS_MS: u64 = 3_000;

/// Longest time that a process is frozen, in milliseconds: less than a caller waits.
const FROZEN_MS: u64 = 1_500;

/// Delay of a slow link, each way.
const DELAY: Duration = Duration::from_millis(150);

/// Tokens that a new configuration prepays more at most.
const TOP_UP: u64 = 30_000;

/// Time for which a target goes on after it asked for no more work.
const LEAVING: Duration = Duration::from_secs(4);

/// Kinds of faults.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Freeze,
    Stop,
    Reload,
    StoreWay,
    Store,
    TargetWay,
    TargetTrouble,
    TargetLeaves,
    TargetDies,
    Configure,
}

const FAULTS: [Fault; 13] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::Stop,
    Fault::Reload,
    Fault::StoreWay,
    Fault::StoreWay,
    Fault::Store,
    Fault::TargetWay,
    Fault::TargetTrouble,
    Fault::TargetLeaves,
    Fault::TargetDies,
    Fault::Configure,
    Fault::Configure,
];

/// Strikes until the plan's time is over, then waits until all faults have ended.
pub async fn play(fleet: &Arc<Fleet>, plan: &Plan) -> io::Result<u64> {
    let rng = Arc::new(SeededRng::new(plan.seed));
    let until = Instant::now() + plan.duration;
    let mut tasks = JoinSet::new();
    let mut count = 0;
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(rng.random_below(PAUSE_MS))).await;
        let fault = FAULTS[rng.random_below(FAULTS.len() as u64) as usize];
        let lasts = Duration::from_millis(rng.random_below(LASTS_MS));
        tasks.spawn(strike(fleet.clone(), rng.clone(), fault, lasts));
        count += 1;
    }
    while let Some(ended) = tasks.join_next().await {
        ended.map_err(io::Error::other)??;
    }
    Ok(count)
}

async fn strike(
    fleet: Arc<Fleet>,
    rng: Arc<SeededRng>,
    fault: Fault,
    lasts: Duration,
) -> io::Result<()> {
    match fault {
        Fault::Kill | Fault::Freeze | Fault::Stop | Fault::Reload => {
            strike_process(&fleet, &rng, fault, lasts).await?;
        }
        Fault::StoreWay => {
            let members: Vec<&Member> = fleet.members().collect();
            let member = members[rng.random_below(members.len() as u64) as usize];
            disturb(&fleet, Struck::Control, strike_link(&member.link, &rng, lasts)).await;
        }
        Fault::Store => {
            disturb(&fleet, Struck::Control, strike_store(&fleet, &rng, lasts)).await;
        }
        Fault::Configure => fleet.configure(rng.random_below(TOP_UP)),
        Fault::TargetWay | Fault::TargetTrouble | Fault::TargetLeaves | Fault::TargetDies => {
            strike_target(&fleet, &rng, fault, lasts).await?;
        }
    }
    Ok(())
}

/// Runs a fault and records how long it lasted.
async fn disturb(fleet: &Fleet, struck: Struck, fault: impl Future<Output = ()>) {
    let number = fleet.record.begin(struck);
    fault.await;
    fleet.record.end(number);
}

async fn strike_process(
    fleet: &Fleet,
    rng: &SeededRng,
    fault: Fault,
    lasts: Duration,
) -> io::Result<()> {
    let count = (fleet.entries.len() + fleet.budget_servers.len()) as u64;
    let at = rng.random_below(count) as usize;
    let (member, struck) = match fleet.entries.get(at) {
        Some(entry) => (entry, Struck::Entry(at)),
        None => (&fleet.budget_servers[at - fleet.entries.len()], Struck::Control),
    };
    // One fault at a time for each process.
    let Ok(mut process) = member.process.try_lock() else { return Ok(()) };
    if !process.is_running() {
        fleet.record.breach(Violation::BadExit, format!("{} ended by itself", member.name));
        return restart(member, &mut process);
    }
    if matches!(fault, Fault::Reload) {
        process.signal(Signal::HUP);
        return Ok(());
    }
    if matches!(fault, Fault::Stop) {
        process.terminate();
        fleet.note_exit(&member.name, process.ended_within(STOP_LIMIT).await);
        // Requests are safe while it stops; what follows is as after a kill.
        let number = fleet.record.begin(struck);
        tokio::time::sleep(lasts / 4).await;
        restart(member, &mut process)?;
        await_ready(member).await;
        fleet.record.end(number);
        return Ok(());
    }
    let number = fleet.record.begin(struck);
    if matches!(fault, Fault::Freeze) {
        process.pause();
        tokio::time::sleep(lasts.min(Duration::from_millis(FROZEN_MS))).await;
        process.resume();
    } else {
        process.kill();
        tokio::time::sleep(lasts / 4).await;
        restart(member, &mut process)?;
        await_ready(member).await;
    }
    fleet.record.end(number);
    Ok(())
}

fn restart(member: &Member, process: &mut Process) -> io::Result<()> {
    member.starts.fetch_add(1, Ordering::SeqCst);
    process.restart()
}

/// Waits until a started process serves, but not for long: the store may be away.
async fn await_ready(member: &Member) {
    const TRIES: u32 = 40;
    for _ in 0..TRIES {
        if member.is_ready().await {
            return;
        }
        tokio::time::sleep(DELAY / 2).await;
    }
}

async fn strike_link(link: &Link, rng: &SeededRng, lasts: Duration) {
    match rng.random_below(4) {
        0 => link.set_cut(true),
        1 => link.set_deaf(true),
        2 => link.set_delay(DELAY),
        _ => link.reset(),
    }
    tokio::time::sleep(lasts).await;
    link.set_cut(false);
    link.set_deaf(false);
    link.set_delay(Duration::ZERO);
}

async fn strike_store(fleet: &Fleet, rng: &SeededRng, lasts: Duration) {
    let troubles = [
        StoreFault::Busy,
        StoreFault::Unreachable,
        StoreFault::LostAnswers,
        StoreFault::Slow,
        StoreFault::LateWrites,
        StoreFault::None,
    ];
    let trouble = troubles[rng.random_below(troubles.len() as u64) as usize];
    if trouble == StoreFault::None {
        fleet.store.forget_history();
        return;
    }
    fleet.store.set_fault(trouble);
    tokio::time::sleep(lasts).await;
    fleet.store.set_fault(StoreFault::None);
}

async fn strike_target(
    fleet: &Fleet,
    rng: &SeededRng,
    fault: Fault,
    lasts: Duration,
) -> io::Result<()> {
    let targets = fleet.targets();
    let staying: Vec<&Arc<Target>> =
        targets.iter().filter(|target| target.left_at().is_none()).collect();
    let target = staying[rng.random_below(staying.len() as u64) as usize];
    let number = fleet.record.begin(Struck::Target(target.number));
    match fault {
        Fault::TargetWay => strike_link(&target.link, rng, lasts).await,
        Fault::TargetTrouble => {
            target.is_troubled.store(true, Ordering::Relaxed);
            tokio::time::sleep(lasts).await;
            target.is_troubled.store(false, Ordering::Relaxed);
        }
        Fault::TargetLeaves => {
            fleet.record.end(number);
            fleet.add_target(target.service).await?;
            target.leave();
            fleet.store.register(&target.id, target.service, target.link.address(), "draining");
            tokio::time::sleep(LEAVING + lasts).await;
            fleet.store.unregister(&target.id);
            return Ok(());
        }
        _ => {
            // It is dark for good, and its registration lapses later.
            fleet.add_target(target.service).await?;
            target.leave();
            target.link.reset();
            target.link.set_cut(true);
            tokio::time::sleep(lasts).await;
            fleet.store.unregister(&target.id);
            return Ok(());
        }
    }
    fleet.record.end(number);
    Ok(())
}
