//! Health routes, close and idle time of the HTTP server over real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use rosemarymoor_daemon::health::{Health, Metrics, Probe, text_answer};
use rosemarymoor_daemon::http_server::{self, ConnectionLimits, HttpServer};
use rosemarymoor_lib::http_client::{self, ConnectionReuse};
use rosemarymoor_platform_standins::process::probe;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Idle time of servers that must not close idle connections during a test, and limit of the wait
/// for a close.
const IDLE: Duration = Duration::from_secs(30);

/// Time that a slow answer takes, and the idle time of the server that closes its connection.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Readiness probe that the test sets.
struct SwitchableProbe(AtomicBool);

impl Probe for SwitchableProbe {
    fn is_ready(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn spawn(address: SocketAddr, health: Health) -> std::io::Result<HttpServer> {
    let listener = http_server::bind(address)?;
    let idle = || ConnectionLimits::idle(IDLE);
    Ok(HttpServer::spawn(listener, idle, move |req| {
        let answer = health.answer(&req);
        std::future::ready(
            answer.unwrap_or_else(|| text_answer(StatusCode::NOT_FOUND, String::new())),
        )
    }))
}

async fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let client = http_client::open(ConnectionReuse::Never);
    let response = client.get(format!("http://{address}{path}")).send().await.unwrap();
    (response.status().as_u16(), response.text().await.unwrap())
}

#[tokio::test]
async fn the_common_routes_answer_until_the_server_stops() {
    let address = free_address();
    let probe = Arc::new(SwitchableProbe(AtomicBool::new(true)));
    let metrics = Metrics::start().unwrap();
    metrics.meter("test").u64_counter("decisions").build().add(3, &[]);
    let server = spawn(address, Health::new(probe.clone(), metrics)).unwrap();
    assert_eq!(get(address, "/health").await, (200, "ok\n".to_owned()));
    assert_eq!(get(address, "/ready").await.0, 200);
    probe.0.store(false, Ordering::Relaxed);
    assert_eq!(get(address, "/ready").await.0, 503);
    let (status, text) = get(address, "/metrics").await;
    assert_eq!(status, 200);
    assert!(text.contains("decisions_total"), "{text}");
    assert_eq!(get(address, "/other").await.0, 404);
    assert_eq!(server.close(http_server::CLOSE_TIMEOUT).await, 0);
    let client = http_client::open(ConnectionReuse::Never);
    assert!(client.get(format!("http://{address}/health")).send().await.is_err());
}

#[tokio::test]
async fn an_address_in_use_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let probe = Arc::new(SwitchableProbe(AtomicBool::new(true)));
    assert!(spawn(address, Health::new(probe, Metrics::start().unwrap())).is_err());
}

#[tokio::test]
async fn a_close_waits_for_running_answers_and_drops_idle_connections() {
    let address = free_address();
    let listener = http_server::bind(address).unwrap();
    let begun = Arc::new(Notify::new());
    let notifier = begun.clone();
    let idle = || ConnectionLimits::idle(IDLE);
    let server = HttpServer::spawn(listener, idle, move |_| {
        let notifier = notifier.clone();
        async move {
            notifier.notify_one();
            tokio::time::sleep(ANSWER_TIME).await;
            text_answer(StatusCode::OK, "late\n".to_owned())
        }
    });
    let mut idle_connection = TcpStream::connect(address).await.unwrap();
    let response = tokio::spawn(async move { get(address, "/slow").await });
    begun.notified().await;
    assert_eq!(server.close(http_server::CLOSE_TIMEOUT).await, 0);
    assert_eq!(response.await.unwrap(), (200, "late\n".to_owned()));
    let mut rest = Vec::new();
    idle_connection.read_to_end(&mut rest).await.unwrap();
    assert!(rest.is_empty(), "{rest:?}");
}

#[tokio::test]
async fn a_connection_without_a_complete_head_is_closed_after_its_idle_time() {
    let address = free_address();
    let listener = http_server::bind(address).unwrap();
    let idle = || ConnectionLimits::idle(ANSWER_TIME);
    HttpServer::spawn(listener, idle, |_| {
        std::future::ready(text_answer(StatusCode::OK, String::new()))
    });
    let mut idle_connection = TcpStream::connect(address).await.unwrap();
    idle_connection.write_all(b"GET / HTTP/1.1\r\nHost: half").await.unwrap();
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(IDLE, idle_connection.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the connection stays open");
}

/// A child process that is just being started may hold a copy of the probe for a while.
#[tokio::test]
async fn the_probe_of_a_free_port_does_not_keep_a_daemon_from_binding_it() {
    let address = free_address();
    let _copy = probe(address).unwrap();
    let listener = http_server::bind(address).unwrap();
    let taken = probe(address).map(|_| ()).map_err(|err| err.kind());
    assert_eq!(taken, Err(std::io::ErrorKind::AddrInUse));
    drop(listener);
}

/// Request that the server of [`spawn`] answers with status 200.
const REQUEST: &[u8] = b"GET /health HTTP/1.1\r\nHost: process\r\n\r\n";

/// Number of connections of callers when a server closes.
const CALLERS: usize = 20;

fn healthy_server() -> (SocketAddr, HttpServer) {
    let address = free_address();
    let probe = Arc::new(SwitchableProbe(AtomicBool::new(true)));
    let server = spawn(address, Health::new(probe, Metrics::start().unwrap())).unwrap();
    (address, server)
}

/// Returns how many connections end with a complete answer.
fn count_answered(callers: Vec<std::net::TcpStream>) -> usize {
    let answers = callers.into_iter().map(|mut caller| {
        caller.set_nonblocking(false).unwrap();
        caller.set_read_timeout(Some(IDLE)).unwrap();
        let mut answer = String::new();
        // A reset is an error, after which the answer is what came before.
        let _ = caller.read_to_string(&mut answer);
        answer
    });
    answers.filter(|answer| answer.starts_with("HTTP/1.1 200") && answer.ends_with("ok\n")).count()
}

#[tokio::test]
async fn requests_of_connections_that_wait_to_be_accepted_are_answered_at_the_close() {
    let (address, server) = healthy_server();
    // The server's task has not run yet: the test has not waited for anything.
    let callers = (0..CALLERS).map(|_| {
        let mut caller = std::net::TcpStream::connect(address).unwrap();
        caller.write_all(REQUEST).unwrap();
        caller
    });
    let callers: Vec<_> = callers.collect();
    server.close(http_server::CLOSE_TIMEOUT).await;
    assert_eq!(count_answered(callers), CALLERS);
}

#[tokio::test]
async fn requests_that_have_arrived_on_idle_connections_are_answered_at_the_close() {
    let (address, server) = healthy_server();
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = TcpStream::connect(address).await.unwrap();
        caller.write_all(REQUEST).await.unwrap();
        let mut answer = Vec::new();
        while !answer.ends_with(b"ok\n") {
            assert!(caller.read_buf(&mut answer).await.unwrap() > 0);
        }
        callers.push(caller.into_std().unwrap());
    }
    for caller in &mut callers {
        caller.write_all(REQUEST).unwrap();
    }
    server.close(http_server::CLOSE_TIMEOUT).await;
    assert_eq!(count_answered(callers), CALLERS);
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_does_not_look_complete_after_an_abort() {
    let address = free_address();
    let listener = http_server::bind(address).unwrap();
    let idle = || ConnectionLimits::idle(IDLE);
    let server = HttpServer::spawn(listener, idle, |_| {
        let begin =
            stream::once(async { Ok::<_, std::io::Error>(Frame::data(Bytes::from("part"))) });
        std::future::ready(Response::new(StreamBody::new(begin.chain(stream::pending()).boxed())))
    });
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller.write_all(b"GET / HTTP/1.0\r\n\r\n").await.unwrap();
    let mut received = Vec::new();
    while !received.ends_with(b"part") {
        assert_ne!(caller.read_buf(&mut received).await.unwrap(), 0, "it ended early");
    }
    server.begin_close();
    assert_eq!(server.wait_closed(ANSWER_TIME).await, 1, "it has not ended by itself");
    server.abort(IDLE).await;
    assert!(caller.read_buf(&mut received).await.is_err(), "it looks complete");
}
