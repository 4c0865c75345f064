//! `docs/OPERATIONS.md` names every event, decision and metric of the daemon.

use std::fs;
use std::path::{Path, PathBuf};

/// Folders whose code logs and counts in the daemon, from the root of the repository.
const SOURCES: [&str; 3] = ["daemon/src", "lib/src", "platform/src"];

/// Calls whose first argument names a metric.
const METRIC_CALLS: [&str; 3] = ["counter(", "histogram(", "gauge("];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Returns the text of all sources below a folder.
fn sources(folder: &Path) -> String {
    let mut text = String::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            text.push_str(&sources(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&fs::read_to_string(&path).unwrap());
        }
    }
    text
}

/// Returns the names that follow a text, sorted.
fn names_after(sources: &str, text: &str, opening: &str) -> Vec<String> {
    let is_part = |char: char| char.is_ascii_lowercase() || "_-".contains(char);
    let rests =
        sources.split(text).skip(1).filter_map(|rest| rest.trim_start().strip_prefix(opening));
    let names = rests.map(|rest| rest.split(|char| !is_part(char)).next().unwrap_or_default());
    let mut names: Vec<String> = names.filter(|name| !name.is_empty()).map(str::to_owned).collect();
    names.sort();
    names.dedup();
    names
}

/// Asserts that the page names all of these, each at the beginning of a code span.
fn assert_named(names: Vec<String>) {
    assert!(!names.is_empty(), "the sources name some");
    let page = fs::read_to_string(root().join("docs/OPERATIONS.md")).unwrap();
    let is_named = |name: &&String| {
        let spans = page.split('`').skip(1).step_by(2);
        spans.into_iter().any(|span| {
            span.strip_prefix(name.as_str()).is_some_and(|rest| {
                rest.is_empty() || rest.starts_with("_total") || rest.starts_with('{')
            })
        })
    };
    let missing: Vec<&String> = names.iter().filter(|name| !is_named(name)).collect();
    assert!(missing.is_empty(), "not on the page: {missing:?}");
}

/// Names each kind of name that leaves the process.
macro_rules! kinds {
    ($($case:ident: $names:expr;)*) => {
        $(#[test]
        fn $case() {
            let sources: String = SOURCES.iter().map(|folder| sources(&root().join(folder))).collect();
            let names: fn(&str) -> Vec<String> = $names;
            assert_named(names(&sources));
        })*
    };
}

kinds! {
    every_event_is_on_the_page: |sources| names_after(sources, "event=", "");
    every_decision_is_on_the_page: |sources| names_after(sources, "decision=", "");
    every_metric_is_on_the_page: |sources| {
        METRIC_CALLS.iter().flat_map(|call| names_after(sources, call, "\"")).collect()
    };
}
