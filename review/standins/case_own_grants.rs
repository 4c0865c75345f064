//! While no budget server runs an entry grants its requests tokens itself. It is killed, and a moment later
//! the store comes back from a copy that is some seconds old. What the entry granted is known to nobody
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
const PREPAID: u64 = 100_000;

/// Requests a second.
const RATE: u32 = 20;

/// Traffic before the copy is made, while the budget servers are without power, from then to the drill, and
/// after it. The copy is 4 s old when the store is back from it.
const BEFORE_COPY: Duration = Duration::from_millis(500);
const DARK: Duration = Duration::from_secs(2);
const BEFORE_DRILL: Duration = Duration::from_millis(1_000);
const AFTER: Duration = Duration::from_secs(20);

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
    let (first, second) = ([fleet.front(1)], [fleet.front(2)]);
    let servers = ["side-leics-1", "side-leics-2"];
    let mut traffic = Traffic::open(record);
    traffic.send("a", &first, RATE, BEFORE_COPY);
    let copy = fleet.store.copy();
    record.say(&format!("the copy is made: {} tokens received so far", traffic.tokens()));
    if plays("power", has_trouble) {
        fleet.kill(&servers);
    }
    traffic.send("b", &first, RATE, DARK);
    if plays("power", has_trouble) {
        for name in servers {
            fleet.run(name)?;
        }
    }
    record.say(&format!("while the budget servers were away: {} tokens received", traffic.tokens()));
    if plays("kill", has_trouble) {
        fleet.kill(&["front-leics-1"]);
        std::thread::sleep(RESTART_DELAY);
        fleet.run("front-leics-1")?;
    }
    std::thread::sleep(BEFORE_DRILL);
    if plays("drill", has_trouble) {
        fleet.store.go_away();
        record.line("the store is away");
        std::thread::sleep(AWAY);
        fleet.store.come_back(&copy);
        record.line("the store is back from the copy, under the next era");
    }
    traffic.send("d", &second, RATE, AFTER);
    let tokens = traffic.finish();
    record.say(&format!("tokens received: {tokens} of {PREPAID} prepaid"));
    Ok(if tokens > PREPAID { Verdict::Broken } else { Verdict::Held })
}
