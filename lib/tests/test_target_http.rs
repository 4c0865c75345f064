//! [`HttpTarget`] sends each call once, on a connection of its own.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use futures_util::StreamExt;
use rosemarymoor_lib::target_client::{TargetCall, TargetClient, TargetError};
use rosemarymoor_lib::target_http::HttpTarget;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-request-id: r1\r\n\
    x-attempt: 3\r\n\r\nok";

/// Part of a report without end.
const PIECE: &[u8] = &[b'1'; 16 << 10];

/// Bytes that a connection holds back at both ends, at the most.
const MAX_BUFFERED_BYTES: u64 = 16 << 20;

/// What the listener does with each connection after it has read a request.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    /// Answers and closes the connection although it may be kept alive.
    AnswerThenClose,
    /// Closes the connection without an answer.
    Close,
    /// Sends fewer body bytes than its `content-length`.
    CutOff,
    /// Sends a report without end, until the client closes the connection.
    EndlessReport,
}

/// Numbers of accepted connections and read requests.
#[derive(Default)]
struct Counters {
    connections: AtomicU32,
    requests: AtomicU32,
    /// Bytes of answers without end.
    bytes: AtomicU64,
}

/// Spawns a listener; returns its URL and its counters.
async fn listen(behaviour: Behaviour) -> (String, Arc<Counters>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let counters = Arc::new(Counters::default());
    let task_counters = counters.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task_counters.connections.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(answer(stream, behaviour, task_counters.clone()));
        }
    });
    (url, counters)
}

async fn answer(mut stream: TcpStream, behaviour: Behaviour, counters: Arc<Counters>) {
    let mut buf = vec![0; 4_096];
    if stream.read(&mut buf).await.unwrap_or(0) == 0 {
        return;
    }
    counters.requests.fetch_add(1, Ordering::SeqCst);
    let reply: &[u8] = match behaviour {
        Behaviour::AnswerThenClose => ANSWER,
        Behaviour::Close => b"",
        Behaviour::EndlessReport => b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n[",
        Behaviour::CutOff => b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
    };
    let _ = stream.write_all(reply).await;
    while behaviour == Behaviour::EndlessReport && stream.write_all(PIECE).await.is_ok() {
        counters.bytes.fetch_add(PIECE.len() as u64, Ordering::SeqCst);
    }
}

fn call() -> TargetCall {
    TargetCall {
        request: "r1".to_owned(),
        attempt: 3,
        method: "POST".to_owned(),
        path: "/submissions".to_owned(),
        content_type: "application/json".to_owned(),
        priority: 1,
        body: b"{}".to_vec(),
    }
}

#[tokio::test]
async fn each_call_has_its_own_connection() {
    let (url, counters) = listen(Behaviour::AnswerThenClose).await;
    let target = HttpTarget::open(&url);
    for _ in 0..20 {
        let answer = target.call(call()).await.unwrap();
        assert_eq!(answer.head.echo.as_ref().unwrap().attempt, 3);
        let body: Vec<_> = answer.body.collect().await;
        assert_eq!(body.concat_ok(), b"ok");
    }
    assert_eq!(counters.connections.load(Ordering::SeqCst), 20);
    assert_eq!(counters.requests.load(Ordering::SeqCst), 20);
}

#[tokio::test]
async fn a_call_whose_connection_breaks_may_have_run_and_is_not_repeated() {
    let (url, counters) = listen(Behaviour::Close).await;
    let target = HttpTarget::open(&url);
    assert_eq!(target.call(call()).await.err(), Some(TargetError::MaybeRan));
    assert_eq!(target.call(call()).await.err(), Some(TargetError::MaybeRan));
    assert_eq!(counters.requests.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn a_refused_connection_has_not_started_the_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let target = HttpTarget::open(&url);
    assert_eq!(target.call(call()).await.err(), Some(TargetError::NotStarted));
}

#[tokio::test]
async fn a_truncated_body_ends_in_an_error() {
    let (url, _) = listen(Behaviour::CutOff).await;
    let target = HttpTarget::open(&url);
    let answer = target.call(call()).await.unwrap();
    let parts: Vec<_> = answer.body.collect().await;
    assert_eq!(parts.last(), Some(&Err(TargetError::MaybeRan)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_load_report_without_end_is_not_kept() {
    let (url, counters) = listen(Behaviour::EndlessReport).await;
    assert!(HttpTarget::open(&url).load().await.is_none());
    let bytes = counters.bytes.load(Ordering::SeqCst);
    assert!(bytes < MAX_BUFFERED_BYTES, "{} MiB were read", bytes >> 20);
}

/// Concatenates body parts; panics on an error.
trait ConcatOk {
    fn concat_ok(self) -> Vec<u8>;
}

impl ConcatOk for Vec<Result<bytes::Bytes, TargetError>> {
    fn concat_ok(self) -> Vec<u8> {
        self.into_iter().flat_map(|part| part.unwrap()).collect()
    }
}
