//! Board with the news of targets' load that one process has, and what its readers lack of it.
//!
//! Each change of a row takes the next number. A reader names the number up to which it knows the
//! board and gets the rows that changed after it, oldest first, so that a reply that is cut to its
//! bound goes on where it ended. A board that starts anew has another identifier, and is read
//! whole.
//!
//! What an entry or another data centre has sent counts until it is silent for a while, reports
//! until they are too old to be of use.

use super::known::{Dated, LoadReport, SentWork};
use super::news::{
    EntryWork, LoadCursor, LoadQuery, LoadReply, LoadScope, PartsChange, TargetEndpoint, TargetNews,
};
use super::parts::CachedParts;
use crate::time::Millis;

/// Maximum number of targets on a board.
const MAX_TARGETS: usize = 4_096;

/// Maximum number of entries and data centres whose sent work is counted.
const MAX_SOURCES: usize = 1_024;

/// Maximum number of targets in one reply.
const MAX_REPLY_TARGETS: usize = 512;

/// Number of prompt parts from which on a reply takes no further target.
const MAX_REPLY_PARTS: usize = 4_096;

/// Time for which work counts after its source was last heard of, in milliseconds.
const SOURCE_TTL_MS: u64 = 1_000;

/// Time after which a report and the cached parts are dropped, in milliseconds.
const REPORT_TTL_MS: u64 = 5_000;

/// Time for which a row without content is kept for readers, in milliseconds.
const EMPTY_ROW_TTL_MS: u64 = 5_000;

/// Interval of looking for what has expired, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 200;

/// Interval at which a report without a notable change is passed on, in milliseconds.
const REFRESH_INTERVAL_MS: u64 = 500;

/// Change of the used memory that is passed on, as a divisor of the whole memory.
const MEMORY_STEPS: u64 = 64;

/// Shortest pause of a reader between two questions, in milliseconds.
const MIN_PAUSE_MS: u64 = 100;

/// Targets on a board for each millisecond of the readers' pause, which bounds their load.
const TARGETS_PER_PAUSE_MS: usize = 4;

/// Who tells what has been sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadSource {
    /// Entry of this data centre, by its host.
    Entry(String),
    /// Budget server of this data centre, by its host.
    Server(String),
    /// Another data centre.
    DataCenter(String),
}

impl LoadSource {
    fn is_remote(&self) -> bool {
        matches!(self, LoadSource::DataCenter(_))
    }
}

/// Where the report of a target comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// From the target beside this process.
    Own,
    /// From another process of the data centre.
    Local,
    /// From another data centre, or from nowhere yet.
    Remote,
}

#[derive(Clone, Debug)]
struct Row {
    target: TargetEndpoint,
    origin: Origin,
    report: Option<Dated<LoadReport>>,
    /// Report that was passed on last.
    passed_on: Option<Dated<LoadReport>>,
    parts: CachedParts,
    /// Sent by entries of this data centre.
    sent_here: SentWork,
    /// Sent by entries of other data centres.
    sent_elsewhere: SentWork,
    /// Number of the last change.
    sequence: u64,
    /// Number of the last change that concerns readers in other data centres.
    local_sequence: u64,
    changed_at: Millis,
}

impl Row {
    fn new(target: TargetEndpoint) -> Row {
        Row {
            target,
            origin: Origin::Remote,
            report: None,
            passed_on: None,
            parts: CachedParts::default(),
            sent_here: SentWork::default(),
            sent_elsewhere: SentWork::default(),
            sequence: 0,
            local_sequence: 0,
            changed_at: Millis(0),
        }
    }

    fn is_empty(&self) -> bool {
        self.report.is_none()
            && self.parts.known().is_none()
            && self.sent_here == SentWork::default()
            && self.sent_elsewhere == SentWork::default()
    }

    /// Returns the number of the last change that a scope shows.
    fn sequence_in(&self, scope: LoadScope) -> u64 {
        match scope {
            LoadScope::Own if self.origin != Origin::Own => 0,
            LoadScope::Own | LoadScope::DataCenter => self.local_sequence,
            LoadScope::Fleet => self.sequence,
        }
    }

    /// Records a change.
    fn record_change(&mut self, sequence: u64, is_local: bool, now: Millis) {
        self.sequence = sequence;
        if is_local {
            self.local_sequence = sequence;
        }
        self.changed_at = now;
    }

    /// Keeps a report unless a later one is known; returns whether it is passed on.
    fn apply_report(&mut self, report: Dated<LoadReport>) -> bool {
        if self.report.as_ref().is_some_and(|known| known.at > report.at) {
            return false;
        }
        let is_notable =
            self.passed_on.as_ref().is_none_or(|passed_on| is_notable(passed_on, &report));
        self.report = Some(report);
        if is_notable {
            self.passed_on = Some(report);
        }
        is_notable
    }
}

/// Returns whether a report is passed on after an earlier one.
fn is_notable(before: &Dated<LoadReport>, after: &Dated<LoadReport>) -> bool {
    let (old, new) = (&before.value, &after.value);
    let memory_step = new.memory_total / MEMORY_STEPS;
    old.waiting != new.waiting
        || old.running != new.running
        || old.memory_used.abs_diff(new.memory_used) > memory_step
        || after.at.since(before.at) >= REFRESH_INTERVAL_MS
}

/// What one source has sent.
#[derive(Clone, Debug)]
struct Work {
    source: LoadSource,
    heard_at: Millis,
    /// Sorted by target.
    sent: Vec<(TargetEndpoint, SentWork)>,
}

/// Board of one process.
#[derive(Clone, Debug)]
pub struct LoadBoard {
    id: u64,
    /// Number of the last change.
    sequence: u64,
    /// Sorted by target.
    rows: Vec<Row>,
    /// Sorted by source.
    works: Vec<Work>,
    expired_at: Millis,
    /// News that did not fit.
    dropped: u64,
}

impl LoadBoard {
    /// Opens an empty board; `id` has to differ from that of any earlier one.
    pub fn open(id: u64) -> LoadBoard {
        LoadBoard {
            id,
            sequence: 0,
            rows: Vec::new(),
            works: Vec::new(),
            expired_at: Millis(0),
            dropped: 0,
        }
    }

    /// Returns the number of the last change.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the number of targets whose report is known.
    pub fn reported_targets(&self) -> usize {
        self.rows.iter().filter(|row| row.report.is_some()).count()
    }

    /// Returns the number of news that were dropped for want of space.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Records the report of the target beside this process.
    pub fn record_report(&mut self, target: TargetEndpoint, report: LoadReport, now: Millis) {
        let sequence = self.sequence + 1;
        let Some(row) = self.row(target) else { return };
        row.origin = Origin::Own;
        if row.apply_report(Dated { value: report, at: now }) {
            row.record_change(sequence, true, now);
            self.sequence = sequence;
        }
    }

    /// Records a change of the parts that the target beside this process caches; returns whether
    /// they are known now.
    pub fn record_parts(
        &mut self,
        target: TargetEndpoint,
        change: &PartsChange,
        now: Millis,
    ) -> bool {
        let sequence = self.sequence + 1;
        let Some(row) = self.row(target) else { return false };
        row.origin = Origin::Own;
        let is_known = row.parts.apply(change, sequence, now);
        if is_known && !change.is_empty() {
            row.record_change(sequence, true, now);
            self.sequence = sequence;
        }
        is_known
    }

    /// Forgets the parts of the target beside this process.
    pub fn forget_parts(&mut self, target: TargetEndpoint) {
        let sequence = self.sequence + 1;
        if let Some(row) = self.row(target) {
            row.parts.forget(sequence);
            self.sequence = sequence;
        }
    }

    /// Records what an entry of this data centre has sent.
    pub fn record_work(&mut self, work: &EntryWork, now: Millis) {
        let source = LoadSource::Entry(work.entry.clone());
        let Some(at) = self.work(source, now) else { return };
        let mut sent = work.sent.clone();
        sent.sort_unstable_by_key(|(target, _)| *target);
        sent.dedup_by_key(|(target, _)| *target);
        let before = std::mem::replace(&mut self.works[at].sent, sent.clone());
        for (target, old) in &before {
            if sent.binary_search_by_key(target, |(target, _)| *target).is_err() {
                self.replace_sent(*target, false, *old, SentWork::default(), now);
            }
        }
        for (target, new) in sent {
            self.replace_sent(target, false, find_sent(&before, target), new, now);
        }
    }

    /// Applies what was read from another board; returns the targets whose parts have to be read
    /// whole. `is_new_board` says that the source's board was not read before.
    pub fn apply(
        &mut self,
        source: &LoadSource,
        reply: &LoadReply,
        is_new_board: bool,
        now: Millis,
    ) -> Vec<TargetEndpoint> {
        self.expire(now);
        let is_remote = source.is_remote();
        if is_new_board {
            self.forget_work(source, now);
        }
        let work = if is_remote { self.work(source.clone(), now) } else { None };
        let mut gaps = Vec::new();
        for news in &reply.news {
            if let Some(at) = work {
                let before = set_sent(&mut self.works[at].sent, news.target, news.sent);
                self.replace_sent(news.target, true, before, news.sent, now);
            }
            if !self.apply_news(news, is_remote, now) {
                gaps.push(news.target);
            }
        }
        gaps
    }

    /// Applies the report and the parts of a target; returns false if its parts have to be read
    /// whole.
    fn apply_news(&mut self, news: &TargetNews, is_remote: bool, now: Millis) -> bool {
        if news.report.is_none() && news.parts.is_none() {
            return true;
        }
        let sequence = self.sequence + 1;
        let Some(row) = self.row(news.target) else { return true };
        // What this process reads from its own target is newer than its copies elsewhere.
        if row.origin == Origin::Own {
            return true;
        }
        row.origin = if is_remote { Origin::Remote } else { Origin::Local };
        let mut is_changed = news.report.is_some_and(|(value, age_ms)| {
            row.apply_report(Dated { value, at: before(now, age_ms) })
        });
        let mut is_known = true;
        if let Some((change, age_ms)) = &news.parts {
            is_known = row.parts.apply(change, sequence, before(now, *age_ms));
            is_changed |= is_known && !change.is_empty();
        }
        if is_changed {
            row.record_change(sequence, !is_remote, now);
            self.sequence = sequence;
        }
        is_known
    }

    /// Replies to a question; what the reader has sent is recorded before.
    pub fn reply(&self, query: &LoadQuery, now: Millis) -> LoadReply {
        let is_known = query.cursor.board == self.id;
        let since = if is_known { query.cursor.sequence } else { 0 };
        let mut changed: Vec<&Row> =
            self.rows.iter().filter(|row| row.sequence_in(query.scope) > since).collect();
        changed.sort_unstable_by_key(|row| row.sequence_in(query.scope));
        let mut reply = LoadReply {
            cursor: LoadCursor { board: self.id, sequence: self.sequence },
            is_complete: true,
            pause_ms: self.pause_ms(),
            news: Vec::new(),
        };
        let mut part_count = 0;
        for row in changed {
            if reply.news.len() >= MAX_REPLY_TARGETS || part_count >= MAX_REPLY_PARTS {
                reply.is_complete = false;
                break;
            }
            let is_gap = query.gaps.contains(&row.target);
            let news = self.news(row, query, if is_gap { 0 } else { since }, now);
            part_count += parts_in(&news);
            reply.cursor.sequence = row.sequence_in(query.scope);
            reply.news.push(news);
        }
        if reply.is_complete {
            reply.cursor.sequence = self.sequence;
        }
        for target in query.gaps.iter().take(MAX_REPLY_TARGETS) {
            if part_count >= MAX_REPLY_PARTS {
                break;
            }
            if reply.news.iter().any(|news| news.target == *target) {
                continue;
            }
            if let Ok(at) = self.rows.binary_search_by_key(target, |row| row.target) {
                let news = self.news(&self.rows[at], query, 0, now);
                part_count += parts_in(&news);
                reply.news.push(news);
            }
        }
        reply
    }

    /// Returns whether a reply to a question would hold news.
    pub fn has_news(&self, query: &LoadQuery) -> bool {
        let LoadCursor { board, sequence } = query.cursor;
        board != self.id
            || !query.gaps.is_empty()
            || self.rows.iter().any(|row| row.sequence_in(query.scope) > sequence)
    }

    /// Returns the news of a row after a number.
    fn news(&self, row: &Row, query: &LoadQuery, since: u64, now: Millis) -> TargetNews {
        let is_shown = query.scope == LoadScope::Fleet || row.origin != Origin::Remote;
        let age_ms = |at: Millis| u32::try_from(now.since(at)).unwrap_or(u32::MAX);
        let report = row.report.as_ref().filter(|_| is_shown);
        let parts_at = row.parts.known().filter(|_| is_shown).map(|known| known.at);
        TargetNews {
            target: row.target,
            report: report.map(|report| (report.value, age_ms(report.at))),
            parts: parts_at.and_then(|at| Some((row.parts.changed_since(since)?, age_ms(at)))),
            sent: match query.scope {
                LoadScope::Own => SentWork::default(),
                LoadScope::DataCenter => row.sent_here,
                LoadScope::Fleet => self.sent_by_others(row, query),
            },
        }
    }

    /// Returns what all but the reader have sent to a target.
    fn sent_by_others(&self, row: &Row, query: &LoadQuery) -> SentWork {
        let own = query.work.as_ref().map(|work| LoadSource::Entry(work.entry.clone()));
        let own =
            own.and_then(|own| self.works.binary_search_by(|work| work.source.cmp(&own)).ok());
        let own = own.map(|at| find_sent(&self.works[at].sent, row.target)).unwrap_or_default();
        add(subtract(row.sent_here, own), row.sent_elsewhere)
    }

    /// Returns the pause of readers, which grows with the board and the number of entries.
    fn pause_ms(&self) -> u32 {
        let pause_ms = (self.works.len() + self.rows.len() / TARGETS_PER_PAUSE_MS) as u64;
        pause_ms.max(MIN_PAUSE_MS) as u32
    }

    /// Drops what is too old; looks for it after an interval only.
    pub fn expire(&mut self, now: Millis) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL_MS {
            return;
        }
        self.expired_at = now;
        let ttl_ms = SOURCE_TTL_MS + 2 * u64::from(self.pause_ms());
        let is_silent = |work: &&Work| now.since(work.heard_at) > ttl_ms;
        let silent: Vec<LoadSource> =
            self.works.iter().filter(is_silent).map(|work| work.source.clone()).collect();
        for source in silent {
            self.forget_work(&source, now);
        }
        let sequence = self.sequence;
        for row in &mut self.rows {
            let is_old = |at: Millis| now.since(at) > REPORT_TTL_MS;
            if row.report.as_ref().is_some_and(|report| is_old(report.at)) {
                row.report = None;
                row.passed_on = None;
            }
            if row.parts.known().is_some_and(|known| is_old(known.at)) {
                row.parts.forget(sequence);
            }
        }
        self.rows.retain(|row| !row.is_empty() || now.since(row.changed_at) <= EMPTY_ROW_TTL_MS);
    }

    /// Drops what a source has sent.
    fn forget_work(&mut self, source: &LoadSource, now: Millis) {
        let Ok(at) = self.works.binary_search_by(|work| work.source.cmp(source)) else { return };
        let work = self.works.remove(at);
        for (target, old) in work.sent {
            self.replace_sent(target, source.is_remote(), old, SentWork::default(), now);
        }
    }

    /// Replaces what one source has sent to a target.
    fn replace_sent(
        &mut self,
        target: TargetEndpoint,
        is_remote: bool,
        old: SentWork,
        new: SentWork,
        now: Millis,
    ) {
        if old == new {
            return;
        }
        let sequence = self.sequence + 1;
        let Some(row) = self.row(target) else { return };
        let sum = if is_remote { &mut row.sent_elsewhere } else { &mut row.sent_here };
        *sum = add(subtract(*sum, old), new);
        row.record_change(sequence, !is_remote, now);
        self.sequence = sequence;
    }

    /// Returns the row of a target, new if there is none; `None` if the board is full.
    fn row(&mut self, target: TargetEndpoint) -> Option<&mut Row> {
        match self.rows.binary_search_by_key(&target, |row| row.target) {
            Ok(at) => Some(&mut self.rows[at]),
            Err(_) if self.rows.len() >= MAX_TARGETS => {
                self.dropped += 1;
                None
            }
            Err(at) => {
                self.rows.insert(at, Row::new(target));
                Some(&mut self.rows[at])
            }
        }
    }

    /// Returns the index of a source's work, which was heard of now; `None` if there are too many.
    fn work(&mut self, source: LoadSource, now: Millis) -> Option<usize> {
        self.expire(now);
        let at = match self.works.binary_search_by(|work| work.source.cmp(&source)) {
            Ok(at) => at,
            Err(_) if self.works.len() >= MAX_SOURCES => {
                self.dropped += 1;
                return None;
            }
            Err(at) => {
                self.works.insert(at, Work { source, heard_at: now, sent: Vec::new() });
                at
            }
        };
        self.works[at].heard_at = now;
        Some(at)
    }
}

/// Returns the time that was `age_ms` ago.
fn before(now: Millis, age_ms: u32) -> Millis {
    Millis(now.0.saturating_sub(u64::from(age_ms)))
}

fn parts_in(news: &TargetNews) -> usize {
    match &news.parts {
        None => 0,
        Some((PartsChange::Whole(parts), _)) => parts.len(),
        Some((PartsChange::Changed { added, removed }, _)) => added.len() + removed.len(),
    }
}

fn find_sent(sent: &[(TargetEndpoint, SentWork)], target: TargetEndpoint) -> SentWork {
    match sent.binary_search_by_key(&target, |(target, _)| *target) {
        Ok(at) => sent[at].1,
        Err(_) => SentWork::default(),
    }
}

/// Sets what was sent to a target and returns what it was before; nothing sent takes no space.
fn set_sent(
    sent: &mut Vec<(TargetEndpoint, SentWork)>,
    target: TargetEndpoint,
    new: SentWork,
) -> SentWork {
    match sent.binary_search_by_key(&target, |(target, _)| *target) {
        Ok(at) if new == SentWork::default() => sent.remove(at).1,
        Ok(at) => std::mem::replace(&mut sent[at].1, new),
        Err(_) if new == SentWork::default() => new,
        Err(at) => {
            sent.insert(at, (target, new));
            SentWork::default()
        }
    }
}

fn add(left: SentWork, right: SentWork) -> SentWork {
    SentWork {
        requests: left.requests.saturating_add(right.requests),
        pending_tokens: left.pending_tokens.saturating_add(right.pending_tokens),
    }
}

fn subtract(left: SentWork, right: SentWork) -> SentWork {
    SentWork {
        requests: left.requests.saturating_sub(right.requests),
        pending_tokens: left.pending_tokens.saturating_sub(right.pending_tokens),
    }
}
