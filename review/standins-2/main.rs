//! Cases of the second independent review: `case NAME FOLDER` plays one, writes `FOLDER/record.txt`, and
//! exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod case_bodies;
mod case_drill;
mod case_endless;
mod case_flock;
mod case_interim;
mod case_promise;
mod case_versions;
mod client;
mod fleet;
mod http;
mod json;
mod pressure;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// Key of the one tenant.
pub const KEY: &str = "Bearer key-of-tenant-a";

/// Manifest with the routes `/draft/` (streams that may be resumed), `/order/` (unsafe calls) and
/// `/look/` (safe calls).
pub fn manifest() -> String {
    r#"{"version":1,"routes":[
{"name":"draft","host":"api.example","prefix":"/draft/","kind":"streaming","timeout_ms":10000,"goal_ms":800,"priority":0,"service":"writer","max_attempts":2,"public":false,"affinity":true,"resumable":true,"gap_goal_ms":300},
{"name":"order","host":"api.example","prefix":"/order/","kind":"unsafe","timeout_ms":10000,"goal_ms":150,"priority":2,"service":"desk","max_attempts":1,"public":false,"affinity":false,"resumable":false},
{"name":"look","host":"api.example","prefix":"/look/","kind":"safe","timeout_ms":10000,"goal_ms":150,"priority":2,"service":"desk","max_attempts":2,"public":false,"affinity":false,"resumable":false}],
"services":[{"name":"writer","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_tokens":381593,"kv_bytes":35136,"link_mbps":180000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},
{"name":"desk","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-a","api_keys":["key-of-tenant-a"],"priority":1,"prepaid":50000000}]}"#
        .replace('\n', "")
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = args.as_slice() else { return ExitCode::from(2) };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(&Path::new(folder).join("record.txt")));
    record.note(&format!("case {name} trouble={has_trouble}"));
    let playing = std::panic::AssertUnwindSafe(|| play(name, &record, has_trouble));
    // A stand-in that fails says nothing of the rule.
    let verdict = std::panic::catch_unwind(playing).unwrap_or(Verdict::NotRun);
    let (word, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.note(word);
    println!("{name}: {word}");
    ExitCode::from(code)
}

fn play(name: &str, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    match name {
        "promise" => case_promise::play(record, has_trouble),
        "versions" => case_versions::play(record, has_trouble),
        "bodies" => case_bodies::play(record, has_trouble),
        "drill" => case_drill::play(record, has_trouble),
        "interim" => case_interim::play(record, has_trouble),
        "flock" => case_flock::play(record, has_trouble),
        "endless" => case_endless::play(record, has_trouble),
        _ => Verdict::NotRun,
    }
}
