//! Stand-ins and tests of the review. `review-case NAME FOLDER` plays a case, writes `record.txt` into
//! the folder and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod case_orphans;
mod case_overspend;
mod case_own_grants;
mod case_refusals;
mod case_versions;
mod client;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod traffic;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// Longest time for a case.
const TIME_LIMIT: std::time::Duration = std::time::Duration::from_secs(110);

/// Returns whether one part of a case's disruption is played: all are, unless `PARTS` names only some, with
/// commas between them.
pub fn plays(part: &str, has_trouble: bool) -> bool {
    has_trouble && std::env::var("PARTS").map_or(true, |parts| parts.split(',').any(|name| name == part))
}

/// Whether the rule held in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = args.as_slice() else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let play = match name.as_str() {
        "overspend" => case_overspend::play,
        "own-grants" => case_own_grants::play,
        "versions" => case_versions::play,
        "orphans" => case_orphans::play,
        "refusals" => case_refusals::play,
        _ => {
            eprintln!("no such case");
            return ExitCode::from(2);
        }
    };
    let root = folder.join("../..");
    let root = root.canonicalize().unwrap_or(root);
    let outcome = std::thread::spawn(move || {
        let record = Record::open(&folder)?;
        record.say(&format!("trouble={has_trouble}"));
        let verdict = play(&root, &record, has_trouble);
        match &verdict {
            Ok(verdict) => record.say(&format!("verdict: {verdict:?}")),
            Err(err) => record.say(&format!("the case could not run: {err}")),
        }
        verdict
    });
    let since = std::time::Instant::now();
    while !outcome.is_finished() && since.elapsed() < TIME_LIMIT {
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    if !outcome.is_finished() {
        fleet::kill_all();
        eprintln!("the case takes too long");
        return ExitCode::from(2);
    }
    match outcome.join() {
        Ok(Ok(Verdict::Held)) => ExitCode::SUCCESS,
        Ok(Ok(Verdict::Broken)) => ExitCode::from(1),
        Ok(Err(_)) | Err(_) => ExitCode::from(2),
    }
}
