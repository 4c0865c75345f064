//! Story of one request, told from the logs of several processes.
//!
//! Lines that name the request are joined with those that name the money
//! reserved for it. Within a process the order is that of its log; between
//! processes the clocks may differ, so that lines are ordered by time only after
//! each process's clock was shifted to fit the one that admitted the request.

use std::collections::BTreeSet;

use serde::Serialize;

/// Log of one process.
#[derive(Clone, Debug)]
pub struct ProcessLog {
    /// Name of the process, or of its file.
    pub name: String,
    pub text: String,
}

/// Line of the story.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TraceLine {
    pub process: String,
    /// Unix milliseconds on the clock of the process that admitted the request.
    pub at_ms: i64,
    pub text: String,
}

/// Parsed line of a log.
#[derive(Clone, Debug)]
struct LogLine {
    process: String,
    at_ms: i64,
    text: String,
}

const LEVELS: &[&str] = &["ERROR", "WARN", "INFO", "DEBUG", "TRACE"];

/// Tells the story of a request; empty if no log knows it.
pub fn build(request: &str, logs: &[ProcessLog]) -> Vec<TraceLine> {
    let lines: Vec<LogLine> = logs.iter().flat_map(parse).collect();
    let own: Vec<&LogLine> =
        lines.iter().filter(|line| has_field(line, "request", request)).collect();
    let Some(first) = own.first() else { return Vec::new() };
    let home = first.process.clone();
    let reservations: BTreeSet<&str> =
        own.iter().filter_map(|line| field(&line.text, "reservation")).collect();
    let is_part = |line: &&LogLine| {
        has_field(line, "request", request)
            || field(&line.text, "reservation").is_some_and(|id| reservations.contains(id))
    };
    let parts: Vec<&LogLine> = lines.iter().filter(is_part).collect();
    let mut story: Vec<TraceLine> = parts
        .iter()
        .map(|line| TraceLine {
            process: line.process.clone(),
            at_ms: line.at_ms - shift(&line.process, &home, &parts),
            text: line.text.clone(),
        })
        .collect();
    story.sort_by_key(|line| line.at_ms);
    story
}

/// Milliseconds by which a process's clock is ahead of the home process's, as
/// far as the order of asking and answering for money shows.
fn shift(process: &str, home: &str, parts: &[&LogLine]) -> i64 {
    if process == home {
        return 0;
    }
    let at = |process: &str, event: &str| {
        let mut found = parts.iter().filter(|line| line.process == process);
        found.find(|line| field(&line.text, "event") == Some(event)).map(|line| line.at_ms)
    };
    // The holder reserves just before the entry hears of it.
    let (Some(held), Some(heard)) = (at(process, "reserved"), at(home, "money_reserved")) else {
        return 0;
    };
    (held - heard).max(0)
}

fn parse(log: &ProcessLog) -> impl Iterator<Item = LogLine> + '_ {
    log.text.lines().filter_map(|line| parse_line(&log.name, line))
}

/// Reads `[AT PROCESS] SECONDS LEVEL MODULE text`.
fn parse_line(name: &str, line: &str) -> Option<LogLine> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let level = words.iter().position(|word| LEVELS.contains(word))?;
    let at = words.get(level.checked_sub(1)?)?;
    let (seconds, millis) = at.split_once('.')?;
    let at_ms = seconds.parse::<i64>().ok()? * 1_000 + millis.parse::<i64>().ok()?;
    let process = if level >= 3 { words[level - 2] } else { name };
    let text = words.get(level + 2..)?.join(" ");
    Some(LogLine { process: process.to_owned(), at_ms, text })
}

fn has_field(line: &LogLine, name: &str, value: &str) -> bool {
    field(&line.text, name) == Some(value)
}

fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = text.split(' ').filter_map(|field| field.split_once('='));
    fields.find(|(held, _)| *held == name).map(|(_, value)| value)
}
