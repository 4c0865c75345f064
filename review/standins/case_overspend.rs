//! All processes of the system are killed, and start again. A moment later the store comes back from a
//! copy that is some seconds old. What a tenant spent between the copy and the kill is known to nobody
//! then, and is spent again.

use std::io::Result;
use std::path::Path;
use std::time::Duration;

use crate::fleet::{Fleet, Plan, RESTART_DELAY};
use crate::record::Record;
use crate::traffic::Traffic;
use crate::worker::Pace;
use crate::{Verdict, plays};

/// Tokens that the tenant has prepaid.
const PREPAID: u64 = 300_000;

/// Requests a second.
const RATE: u32 = 20;

/// Traffic before the copy is made, from the copy to the kill, from the start to the drill, and after it.
/// The copy is 6.5 s old when the store is back from it.
const BEFORE_COPY: Duration = Duration::from_secs(3);
const BEFORE_KILL: Duration = Duration::from_secs(4);
const BEFORE_DRILL: Duration = Duration::from_millis(1_500);
const AFTER: Duration = Duration::from_secs(25);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

pub fn play(root: &Path, record: &Record, has_trouble: bool) -> Result<Verdict> {
    let pace = Pace {
        first: Duration::from_millis(20),
        interval: Duration::from_millis(2),
        max_events: u64::MAX,
    };
    let plan = Plan { entries: 2, workers: 2, servers: 2, prepaid: PREPAID, pace };
    let mut fleet = Fleet::start(root, record, plan)?;
    let entries = [fleet.front(1), fleet.front(2)];
    let mut traffic = Traffic::open(record);
    traffic.send("a", &entries, RATE, BEFORE_COPY);
    let copy = fleet.store.copy();
    record.say(&format!("the copy is made: {} tokens received so far", traffic.tokens()));
    traffic.send("b", &entries, RATE, BEFORE_KILL);
    record.say(&format!("before the kill: {} tokens received", traffic.tokens()));
    if plays("kill", has_trouble) {
        let names = fleet.names();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        fleet.kill(&names);
        std::thread::sleep(RESTART_DELAY);
        for name in &names {
            fleet.run(name)?;
        }
    }
    traffic.send("c", &entries, RATE, BEFORE_DRILL);
    record.say(&format!("before the drill: {} tokens received", traffic.tokens()));
    if plays("drill", has_trouble) {
        fleet.store.go_away();
        record.line("the store is away");
        std::thread::sleep(AWAY);
        fleet.store.come_back(&copy);
        record.line("the store is back from the copy, under the next era");
    }
    traffic.send("d", &entries, RATE, AFTER);
    let tokens = traffic.finish();
    record.say(&format!("tokens received: {tokens} of {PREPAID} prepaid"));
    Ok(if tokens > PREPAID { Verdict::Broken } else { Verdict::Held })
}
