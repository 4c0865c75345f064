//! Stand-in of a worker: registers itself in the store, reports, and answers requests.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::http::{self, Request};
use super::record::Record;
use super::store::Store;

/// Interval at which a worker writes its registration, as on the users' sheets.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a worker does with a request.
#[derive(Clone, Debug)]
pub enum Plan {
    /// Runs it and streams its events up to `last`, with a pause after each.
    Stream { last: u64, pause: Duration },
    /// Runs it and answers after some time.
    Answer { status: &'static str, work: Duration },
    /// Answers with a failure whose body goes on without end, in chunks of some bytes each, until its
    /// caller closes.
    Endless { status: &'static str, chunk_bytes: usize },
}

/// Decides what a worker does with a request.
pub type Script = Arc<dyn Fn(&Request) -> Plan + Send + Sync>;

/// Worker over all its starts.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    store: Store,
    record: Arc<Record>,
    script: Script,
    boot: Mutex<Option<Arc<Boot>>>,
}

/// One start of a worker.
struct Boot {
    version: String,
    born: u64,
    alive: AtomicBool,
    running: AtomicUsize,
    sequence: AtomicU64,
    connections: Mutex<VecDeque<TcpStream>>,
}

/// Ports from which free ones are taken, below those that the system gives to connections.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 18_000;

/// Returns an address with a free port that was not returned before.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let base = std::process::id().wrapping_mul(251);
    loop {
        let number = base.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + number % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Worker {
    pub fn new(
        id: &str,
        service: &str,
        slots: u32,
        store: &Store,
        record: &Arc<Record>,
        script: Script,
    ) -> Arc<Worker> {
        Arc::new(Worker {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: "zone-a".to_owned(),
            address: free_address(),
            slots,
            store: store.clone(),
            record: record.clone(),
            script,
            boot: Mutex::default(),
        })
    }

    /// Starts the worker; it registers after `register_after`, and again with each heartbeat.
    pub fn start(self: &Arc<Worker>, version: &str, register_after: Duration) {
        let born =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let boot = Arc::new(Boot {
            version: version.to_owned(),
            born,
            alive: AtomicBool::new(true),
            running: AtomicUsize::new(0),
            sequence: AtomicU64::new(1),
            connections: Mutex::default(),
        });
        *self.boot.lock().unwrap_or_else(PoisonError::into_inner) = Some(boot.clone());
        let listener = TcpListener::bind(self.address).expect("the worker's port");
        listener.set_nonblocking(true).expect("a listener that does not block");
        self.record.note(&format!("worker {} starts version={version} born={born}", self.id));
        let (worker, accepting) = (self.clone(), boot.clone());
        thread::spawn(move || worker.accept(listener, &accepting));
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(register_after);
            while boot.alive.load(Ordering::Relaxed) {
                worker.register(&boot);
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Ends the process of the worker: its connections close, and it registers no more.
    pub fn crash(&self) {
        let boot = self.boot.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(boot) = boot else { return };
        boot.alive.store(false, Ordering::Relaxed);
        for stream in boot.connections.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.note(&format!("worker {} ends", self.id));
    }

    fn register(&self, boot: &Boot) {
        let sequence = boot.sequence.fetch_add(1, Ordering::Relaxed);
        let value = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":{},"state":"ready","cold_left_ms":0,"born":{},"sequence":{sequence}}}"#,
            self.service, self.address, self.zone, boot.version, self.slots, boot.born
        );
        if sequence == 1 {
            self.record.note(&format!("worker {} registers version={}", self.id, boot.version));
        }
        self.store.put(&format!("servers/{}", self.id), &value);
    }

    fn accept(self: &Arc<Worker>, listener: TcpListener, boot: &Arc<Boot>) {
        while boot.alive.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let mut open = boot.connections.lock().unwrap_or_else(PoisonError::into_inner);
            open.extend(stream.try_clone());
            drop(open);
            let (worker, boot) = (self.clone(), boot.clone());
            thread::spawn(move || worker.serve(stream, &boot));
        }
    }

    fn serve(&self, stream: TcpStream, boot: &Boot) {
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = http::read_request(&mut reader) {
            if !boot.alive.load(Ordering::Relaxed) || self.answer(&req, &mut out, boot).is_err() {
                break;
            }
        }
        let _ = out.shutdown(std::net::Shutdown::Both);
        let peer = out.peer_addr().ok();
        let mut open = boot.connections.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|stream| stream.peer_addr().is_ok_and(|address| Some(address) != peer));
    }

    fn answer(&self, req: &Request, out: &mut TcpStream, boot: &Boot) -> std::io::Result<()> {
        let json = ("Content-Type", "application/json".to_owned());
        match req.path() {
            "/report" => {
                let running = boot.running.load(Ordering::Relaxed);
                let body = format!(
                    r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"waiting":0,"running":{running},"kv_used":0,"kv_total":380000,"handles":0,"state":"ready","runs":[],"born":{}}}"#,
                    boot.born
                );
                return http::send(out, "200 OK", &[json], body.as_bytes());
            }
            "/kv-events" => {
                if req.header("wait-ms").is_some() {
                    thread::sleep(Duration::from_millis(900));
                }
                let body = format!(
                    r#"{{"epoch":1,"next":0,"lost":false,"events":[],"born":{}}}"#,
                    boot.born
                );
                return http::send(out, "200 OK", &[json], body.as_bytes());
            }
            "/kv-list" => {
                let body = format!(r#"{{"epoch":1,"next":0,"held":[],"born":{}}}"#, boot.born);
                return http::send(out, "200 OK", &[json], body.as_bytes());
            }
            "/health" => {
                let id = ("Instance-Id", self.id.clone());
                return http::send(out, "200 OK", &[id], b"");
            }
            _ => {}
        }
        let attempt = req.header("attempt-id").unwrap_or_default().to_owned();
        if req.header("expect-instance").is_some_and(|id| id != self.id) {
            let id = ("Instance-Id", self.id.clone());
            return http::send(out, "421 Misdirected Request", &[id], b"");
        }
        let after = req.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0_u64);
        let plan = (self.script)(req);
        self.record.note(&format!(
            "run request={attempt} worker={} version={} after_event={after}",
            self.id, boot.version
        ));
        boot.running.fetch_add(1, Ordering::Relaxed);
        let done = self.run(&attempt, after, &plan, out, boot);
        boot.running.fetch_sub(1, Ordering::Relaxed);
        let how = if done.is_ok() { "ends" } else { "is cut" };
        self.record.note(&format!("run request={attempt} worker={} {how}", self.id));
        done
    }

    fn run(
        &self,
        attempt: &str,
        after: u64,
        plan: &Plan,
        out: &mut TcpStream,
        boot: &Boot,
    ) -> std::io::Result<()> {
        let own = format!("Attempt-Id: {attempt}\r\nServer-Seal: seal-{}-{attempt}\r\n", self.id);
        match plan {
            Plan::Stream { last, pause } => {
                write!(
                    out,
                    "HTTP/1.1 200 OK\r\n{own}Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\n\r\n"
                )?;
                for id in after + 1..=*last {
                    let event = format!("id: {id}\ndata: piece {id} by {}\n\n", boot.version);
                    write!(out, "{:x}\r\n{event}\r\n", event.len())?;
                    thread::sleep(*pause);
                }
                write!(out, "0\r\n\r\n")
            }
            Plan::Answer { status, work } => {
                thread::sleep(*work);
                let body = format!("answer to {attempt}");
                write!(
                    out,
                    "HTTP/1.1 {status}\r\n{own}Content-Length: {}\r\n\r\n{body}",
                    body.len()
                )
            }
            Plan::Endless { status, chunk_bytes } => {
                write!(out, "HTTP/1.1 {status}\r\n{own}Transfer-Encoding: chunked\r\n\r\n")?;
                let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(*chunk_bytes));
                let bytes = chunk.repeat(1_000).into_bytes();
                loop {
                    out.write_all(&bytes)?;
                }
            }
        }
    }
}
