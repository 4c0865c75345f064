//! Stand-in of the platform's store: items, watches, transactions and leases.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::http::{self, Request};
use super::json::{Json, base64};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    /// Value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Revision, key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    /// Identifier, time to live and end.
    leases: Vec<(u64, Duration, Instant)>,
    next_lease: u64,
    /// Number that rises each time the store comes back from a copy.
    era: u64,
    /// Whether it answers nobody.
    is_away: bool,
}

/// Copy of the store's contents.
pub struct Copy(State);

/// Store; clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State { revision: 1, next_lease: 1, era: 1, ..State::default() };
        let store = Store { shared: Arc::new((Mutex::new(state), Condvar::new())), address };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a key, as the operator and the workers do.
    pub fn put(&self, key: &str, value: &str) {
        put(&mut self.lock(), key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Copies the contents.
    pub fn copy(&self) -> Copy {
        Copy(self.lock().clone())
    }

    /// Is away for some time and comes back from a copy: what was written since is gone, revisions go
    /// back, and the era rises.
    pub fn restore(&self, copy: Copy, away: Duration) {
        self.lock().is_away = true;
        self.shared.1.notify_all();
        thread::sleep(away);
        let mut state = self.lock();
        let era = state.era + 1;
        *state = State { era, ..copy.0 };
        drop(state);
        self.shared.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> = state.leases.iter().filter(|l| l.2 <= now).map(|l| l.0).collect();
        for lease in ended {
            end_lease(&mut state, lease);
        }
        drop(state);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = http::read_request(&mut reader) {
            // A store that is away answers nobody, and carries nothing out.
            let era = self.lock().era;
            if self.lock().is_away {
                return;
            }
            let (status, body) = self.answer(&req);
            thread::sleep(ANSWER_TIME);
            let state = self.lock();
            if state.is_away || state.era != era {
                return;
            }
            drop(state);
            let headers =
                [("Content-Type", "application/json".to_owned()), ("Store-Era", era.to_string())];
            if http::send(&mut out, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Request) -> (&'static str, String) {
        let body = Json::parse(&String::from_utf8_lossy(&req.body));
        match (req.method.as_str(), req.path()) {
            ("GET", "/kv-key") => self.get(&req.query("key").unwrap_or_default()),
            ("GET", "/kv-range") => {
                let after = req.query("after").unwrap_or_default();
                self.range(&req.query("prefix").unwrap_or_default(), &after)
            }
            ("GET", "/kv-watch") => {
                let number = |name: &str| req.query(name).and_then(|text| text.parse().ok());
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                self.watch(
                    &req.query("prefix").unwrap_or_default(),
                    number("after").unwrap_or(0),
                    wait,
                )
            }
            ("POST", "/kv-txn") => self.transact(&body.unwrap_or(Json::Null)),
            ("POST", "/kv-lease") => {
                let ttl =
                    body.as_ref().and_then(|body| body.get("ttl_ms")?.number()).unwrap_or(1e3);
                let ttl = Duration::from_millis(ttl as u64);
                let mut state = self.lock();
                let lease = state.next_lease;
                state.next_lease += 1;
                state.leases.push((lease, ttl, Instant::now() + ttl));
                ("200 OK", format!(r#"{{"lease":{lease},"ttl_ms":{}}}"#, ttl.as_millis()))
            }
            (method, path) => self.lease_call(method, path),
        }
    }

    fn lease_call(&self, method: &str, path: &str) -> (&'static str, String) {
        let mut state = self.lock();
        let id = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
        let Some(lease) = state.leases.iter_mut().find(|lease| lease.0 == id) else {
            return ("404 Not Found", "{}".to_owned());
        };
        if method == "POST" && path.starts_with("/kv-keep/") {
            lease.2 = Instant::now() + lease.1;
            return ("200 OK", format!(r#"{{"ttl_ms":{}}}"#, lease.1.as_millis()));
        }
        end_lease(&mut state, id);
        drop(state);
        self.shared.1.notify_all();
        ("200 OK", "{}".to_owned())
    }

    fn get(&self, key: &str) -> (&'static str, String) {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => {
                let mut text = item_text(key, item);
                text.pop();
                ("200 OK", format!(r#"{text},"store_revision":{}}}"#, state.revision))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let state = self.lock();
        let found =
            state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = found.map(|(key, item)| item_text(key, item)).collect();
        let (items, revision) = (items.join(","), state.revision);
        ("200 OK", format!(r#"{{"items":[{items}],"has_more":false,"store_revision":{revision}}}"#))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        if after > state.revision {
            return ("410 Gone", "{}".to_owned());
        }
        loop {
            let news: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_text(key, item),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() || state.is_away {
                let (events, revision) = (news.join(","), state.revision);
                return (
                    "200 OK",
                    format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#),
                );
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, body: &Json) -> (&'static str, String) {
        let field = |name: &str| body.get(name).map(Json::list).unwrap_or_default().to_vec();
        let key_of =
            |row: &Json| row.get("key").and_then(Json::text).unwrap_or_default().to_owned();
        let number =
            |row: &Json, name: &str| row.get(name).and_then(Json::number).unwrap_or(0.0) as u64;
        let mut state = self.lock();
        let expected = field("expect_rev");
        let holds = |row: &Json| {
            let found = state.items.get(&key_of(row)).map_or(0, |item| item.revision);
            found == number(row, "revision")
        };
        if !expected.iter().all(holds) {
            let items = expected.iter().filter_map(|row| {
                let key = key_of(row);
                state.items.get(&key).map(|item| item_text(&key, item))
            });
            let items: Vec<String> = items.collect();
            return ("412 Precondition Failed", format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let puts = field("puts");
        let is_open = |lease: u64| lease == 0 || state.leases.iter().any(|known| known.0 == lease);
        if !puts.iter().all(|row| is_open(number(row, "lease"))) {
            return ("404 Not Found", "{}".to_owned());
        }
        for row in &puts {
            let value = row.get("value").and_then(Json::text).unwrap_or_default().to_owned();
            put(&mut state, &key_of(row), value, number(row, "lease"));
        }
        for key in field("remove") {
            remove(&mut state, key.text().unwrap_or_default());
        }
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        ("200 OK", format!(r#"{{"revision":{revision}}}"#))
    }
}

fn put(state: &mut State, key: &str, value: String, lease: u64) {
    state.revision += 1;
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |item| item.created);
    let item = Item { value, revision, created, lease };
    state.items.insert(key.to_owned(), item.clone());
    state.history.push((revision, key.to_owned(), Some(item)));
}

fn remove(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        state.history.push((state.revision, key.to_owned(), None));
    }
}

fn end_lease(state: &mut State, lease: u64) {
    state.leases.retain(|known| known.0 != lease);
    let of_lease = state.items.iter().filter(|(_, item)| item.lease == lease);
    let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
    keys.iter().for_each(|key| remove(state, key));
}

fn item_text(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
    )
}
