//! Stand-in for a model worker: streams events for each request, and serves its report.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::http::{Request, Server, answer};
use crate::record::Record;
use crate::store::Store;

/// Tokens that an event holds.
pub const TOKENS_PER_EVENT: u64 = 4;

/// How a worker answers.
#[derive(Clone, Copy)]
pub struct Pace {
    /// Time to the first event.
    pub first: Duration,
    /// Time from one event to the next.
    pub interval: Duration,
    /// Most events of a stream, if its request allows more.
    pub max_events: u64,
}

/// Process of a worker.
#[derive(Clone)]
pub struct Process {
    pub id: String,
    /// Version of its software.
    pub version: &'static str,
    /// Its start, in Unix milliseconds.
    pub born: u64,
    pub address: SocketAddr,
}

/// Running worker.
pub struct Worker {
    pub process: Process,
    server: Server,
}

impl Worker {
    /// Starts a worker at its address; it is not registered yet.
    pub fn start(process: Process, pace: Pace, record: &Record) -> std::io::Result<Worker> {
        let (record, serving) = (record.clone(), process.clone());
        let handler =
            move |request: &Request, stream: &mut TcpStream| serve(&serving, pace, request, stream, &record);
        let server = Server::bind(process.address, Arc::new(handler))?;
        Ok(Worker { process, server })
    }

    /// Writes its entry into the store, as each heartbeat does.
    pub fn register(&self, store: &Store) {
        let Process { id, version, born, address } = &self.process;
        let entry = format!(
            r#"{{"service":"models","address":"{address}","zone":"leics","version":"{version}","slots":64,"state":"ready","cold_left_ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":1,"born":{born}}}"#
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    /// Ends the process: its port and all its connections close.
    pub fn end(self) {
        self.server.end();
    }
}

fn serve(
    process: &Process,
    pace: Pace,
    request: &Request,
    stream: &mut TcpStream,
    record: &Record,
) -> bool {
    let Process { id, version, born, .. } = process;
    let json = "Content-Type: application/json\r\n";
    match request.path() {
        "/report" => {
            let body = format!(
                r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":1,"waiting":0,"running":0,"kv_used":0,"kv_total":489814,"handles":0,"pinned":0,"held":0,"state":"ready","next":0,"runs":[],"born":{born}}}"#
            );
            return answer(stream, "200 OK", json, body.as_bytes());
        }
        "/kv-events" => {
            let wait_ms: u64 = request.header("wait-ms").parse().unwrap_or(0);
            std::thread::sleep(Duration::from_millis(wait_ms.min(1_000)));
            let body = format!(r#"{{"epoch":{born},"next":0,"lost":0,"events":[]}}"#);
            return answer(stream, "200 OK", json, body.as_bytes());
        }
        "/kv-list" => {
            let body = format!(r#"{{"epoch":{born},"next":0,"held":[]}}"#);
            return answer(stream, "200 OK", json, body.as_bytes());
        }
        "/health" => return answer(stream, "200 OK", &format!("Instance-Id: {id}\r\n"), b""),
        _ => {}
    }
    let attempt = request.header("attempt-id").to_owned();
    if request.header("expect-instance") != id {
        let headers = format!("Attempt-Id: {attempt}\r\nInstance-Id: {id}\r\n");
        return answer(stream, "421 Misdirected Request", &headers, b"");
    }
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let usage = request.header("token-usage").split_once(',');
    let output: u64 = usage.and_then(|(_, output)| output.trim().parse().ok()).unwrap_or(0);
    let last = (output / TOKENS_PER_EVENT).min(pace.max_events);
    std::thread::sleep(pace.first);
    record.line(&format!("run attempt={attempt} worker={id} version={version} born={born} after={after}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: seal.{id}.{attempt}\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in after + 1..=last {
        if number > after + 1 {
            std::thread::sleep(pace.interval);
        }
        let event = format!("id: {number}\ndata: {version} {id} {born}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}
