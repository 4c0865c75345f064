//! Stand-in for the platform's store, as PROTOCOL.md and the news page describe it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Request, Server, answer};
use crate::json::{self, Json};

/// Longest wait of a watch, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

#[derive(Clone)]
struct Item {
    /// In base64, as it was sent.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeSet<u64>,
}

#[derive(Default)]
struct State {
    now: Contents,
    /// Changes in their order: key, revision, and the item unless it was removed.
    history: Vec<(String, u64, Option<Item>)>,
    /// Changes up to this revision are not in the history.
    dropped: u64,
    era: u64,
    last_lease: u64,
    /// Whether calls get no answer.
    is_away: bool,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// Copy of the contents.
pub struct Copy(Contents);

/// Running store.
pub struct Store {
    shared: Arc<Shared>,
    _server: Server,
}

impl Store {
    /// Starts an empty store.
    pub fn bind(address: SocketAddr) -> std::io::Result<Store> {
        let state = State { era: 1, ..State::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let handling = shared.clone();
        let handler = move |request: &Request, stream: &mut TcpStream| handling.serve(request, stream);
        let server = Server::bind(address, Arc::new(handler))?;
        Ok(Store { shared, _server: server })
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let value = json::base64(value.as_bytes());
        self.shared.lock().put(key, value, 0);
        self.shared.changed.notify_all();
    }

    /// Returns a copy of the contents.
    pub fn copy(&self) -> Copy {
        Copy(self.shared.lock().now.clone())
    }

    /// Goes away: calls get no answer, and nothing is done.
    pub fn go_away(&self) {
        self.shared.lock().is_away = true;
        self.shared.changed.notify_all();
    }

    /// Comes back from a copy: what the system wrote since is gone, leases too; revisions go back and
    /// are given out again; what the operator and the workers wrote is written again.
    pub fn come_back(&self, copy: &Copy) {
        let mut state = self.shared.lock();
        let is_theirs = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        let theirs: Vec<(String, String)> = state
            .now
            .items
            .iter()
            .filter(|(key, _)| is_theirs(key))
            .map(|(key, item)| (key.clone(), item.value.clone()))
            .collect();
        state.now = copy.0.clone();
        state.history.clear();
        state.dropped = copy.0.revision;
        state.era += 1;
        for (key, value) in theirs {
            state.put(&key, value, 0);
        }
        state.is_away = false;
        drop(state);
        self.shared.changed.notify_all();
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.now.revision += 1;
        let revision = self.now.revision;
        let created = self.now.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push((key.to_owned(), revision, Some(item.clone())));
        self.now.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.now.items.remove(key).is_some() {
            self.now.revision += 1;
            self.history.push((key.to_owned(), self.now.revision, None));
        }
    }

    /// Does a transaction; returns the status and the body.
    fn transact(&mut self, body: &Json) -> (&'static str, String) {
        let expected = body.field("expect_rev").items();
        let revision_of = |key: &str| self.now.items.get(key).map_or(0, |item| item.revision);
        let holds = |row: &Json| revision_of(row.field("key").text()) == row.field("revision").number();
        if !expected.iter().all(holds) {
            let keys = expected.iter().map(|row| row.field("key").text());
            let items = keys.filter_map(|key| Some(text_of(key, self.now.items.get(key)?)));
            let items: Vec<String> = items.collect();
            return ("412 Precondition Failed", format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let puts = body.field("puts").items();
        let leases: Vec<u64> = puts.iter().map(|put| put.field("lease").number()).collect();
        if leases.iter().any(|lease| *lease != 0 && !self.now.leases.contains(lease)) {
            return ("404 Not Found", "{}".to_owned());
        }
        for (put, lease) in puts.iter().zip(leases) {
            let (key, value) = (put.field("key").text(), put.field("value").text());
            self.put(key, value.to_owned(), lease);
        }
        for key in body.field("remove").items() {
            self.remove(key.text());
        }
        ("200 OK", format!(r#"{{"revision":{}}}"#, self.now.revision))
    }
}

fn text_of(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#)
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn serve(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let Some((status, body)) = self.result(request) else { return false };
        let era = self.lock().era;
        let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
        answer(stream, status, &headers, body.as_bytes())
    }

    /// Returns the status and the body of an answer; `None` while the store is away.
    fn result(&self, request: &Request) -> Option<(&'static str, String)> {
        if self.lock().is_away {
            return None;
        }
        let not_found = ("404 Not Found", "{}".to_owned());
        match (request.method.as_str(), request.path()) {
            ("GET", "/kv-key") => {
                let state = self.lock();
                let key = request.query("key");
                Some(match state.now.items.get(&key) {
                    Some(item) => {
                        let (text, revision) = (text_of(&key, item), state.now.revision);
                        let text = text.trim_end_matches('}');
                        ("200 OK", format!(r#"{text},"store_revision":{revision}}}"#))
                    }
                    None => not_found,
                })
            }
            ("GET", "/kv-range") => {
                let state = self.lock();
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let items = state.now.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| text_of(key, item)).collect();
                let (items, revision) = (items.join(","), state.now.revision);
                let body = format!(r#"{{"items":[{items}],"has_more":false,"store_revision":{revision}}}"#);
                Some(("200 OK", body))
            }
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => {
                let body = json::parse(&request.body)?;
                let result = self.lock().transact(&body);
                self.changed.notify_all();
                Some(result)
            }
            ("POST", "/kv-lease") => {
                let ttl_ms = json::parse(&request.body)?.field("ttl_ms").number();
                let mut state = self.lock();
                state.last_lease += 1;
                let lease = state.last_lease;
                state.now.leases.insert(lease);
                Some(("200 OK", format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#)))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path.rsplit('/').next()?.parse().ok()?;
                match self.lock().now.leases.contains(&lease) {
                    true => Some(("200 OK", r#"{"ttl_ms":300000}"#.to_owned())),
                    false => Some(not_found),
                }
            }
            _ => Some(not_found),
        }
    }

    fn watch(&self, request: &Request) -> Option<(&'static str, String)> {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().ok()?;
        let wait_ms = request.query("wait_ms").parse().unwrap_or(0).min(MAX_WAIT_MS);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            if state.is_away {
                return None;
            }
            if after < state.dropped || after > state.now.revision {
                return Some(("410 Gone", "{}".to_owned()));
            }
            let changes = state.history.iter().filter(|(key, at, _)| *at > after && key.starts_with(&prefix));
            let changes = changes.map(|(key, at, item)| match item {
                Some(item) => text_of(key, item),
                None => format!(r#"{{"key":"{key}","revision":{at},"deleted":true}}"#),
            });
            let changes: Vec<String> = changes.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let (events, revision) = (changes.join(","), state.now.revision);
                return Some(("200 OK", format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#)));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
