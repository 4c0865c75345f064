//! Trace of one request, built from the logs of several processes.
//!
//! It consists of the log lines with the id of the request and those with the id of a
//! reservation made for it. The clocks of the processes may differ, so times are first
//! corrected to the clock of the process that admitted the request and then sorted; lines
//! with equal times keep the order of their logs.

use std::collections::BTreeSet;

use serde::Serialize;

/// Log of one process.
#[derive(Clone, Debug)]
pub struct ProcessLog {
    /// Name for lines that name no process themselves, such as the path of the file.
    pub name: String,
    pub text: String,
}

/// Line of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TraceLine {
    /// Name of the process that logged the line.
    pub process: String,
    /// Unix time in milliseconds on the clock of the process that admitted the request.
    pub at_ms: i64,
    pub text: String,
}

/// Parsed log line, with the time on the clock of its process.
#[derive(Clone, Debug)]
struct LogLine {
    process: String,
    /// Unix time in milliseconds.
    at_ms: i64,
    text: String,
}

const LEVELS: &[&str] = &["ERROR", "WARN", "INFO", "DEBUG", "TRACE"];

/// Returns the trace of a request, empty if no log names the request.
pub fn build(request: &str, logs: &[ProcessLog]) -> Vec<TraceLine> {
    let lines: Vec<LogLine> = logs.iter().flat_map(parse).collect();
    let request_lines: Vec<&LogLine> =
        lines.iter().filter(|line| has_field(line, "request", request)).collect();
    let Some(first) = request_lines.first() else { return Vec::new() };
    let admitted_by = first.process.clone();
    let reservations: BTreeSet<&str> =
        request_lines.iter().filter_map(|line| field(&line.text, "reservation")).collect();
    let is_related = |line: &&LogLine| {
        has_field(line, "request", request)
            || field(&line.text, "reservation").is_some_and(|id| reservations.contains(id))
    };
    let related: Vec<&LogLine> = lines.iter().filter(is_related).collect();
    let mut trace: Vec<TraceLine> = related
        .iter()
        .map(|line| TraceLine {
            process: line.process.clone(),
            at_ms: line.at_ms - clock_offset_ms(&line.process, &admitted_by, &related),
            text: line.text.clone(),
        })
        .collect();
    trace.sort_by_key(|line| line.at_ms);
    trace
}

/// Returns by how many milliseconds a process's clock is at least ahead of the clock of the
/// admitting process, or 0 if the log lines do not show it.
fn clock_offset_ms(process: &str, admitted_by: &str, related: &[&LogLine]) -> i64 {
    if process == admitted_by {
        return 0;
    }
    let at = |process: &str, event: &str| {
        let mut found = related.iter().filter(|line| line.process == process);
        found.find(|line| field(&line.text, "event") == Some(event)).map(|line| line.at_ms)
    };
    // The holder of the budget logs a reservation before the entry receives the answer.
    let (Some(reserved), Some(answered)) =
        (at(process, "reserved"), at(admitted_by, "money_reserved"))
    else {
        return 0;
    };
    (reserved - answered).max(0)
}

/// Returns the lines of a log that can be parsed.
fn parse(log: &ProcessLog) -> impl Iterator<Item = LogLine> + '_ {
    log.text.lines().filter_map(|line| parse_line(&log.name, line))
}

/// Parses `[TIME PROCESS] SECONDS.MILLISECONDS LEVEL MODULE text`, where the words in brackets
/// may be missing; returns `None` for another form.
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

/// Returns whether a line has `name=value` among its fields.
fn has_field(line: &LogLine, name: &str, value: &str) -> bool {
    field(&line.text, name) == Some(value)
}

/// Returns the value of the first field `name=value` in a text.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = text.split(' ').filter_map(|field| field.split_once('='));
    fields.find(|(key, _)| *key == name).map(|(_, value)| value)
}
