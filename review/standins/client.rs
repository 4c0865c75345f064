//! Stand-in for a client: sends requests for streams and reads their events as they come.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{find, headers_of, read_head, read_more};
use crate::record::Record;

/// Time for which a client waits for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of different parts that prompts share.
const SHARED_PARTS: u64 = 28;

/// Request for a stream.
#[derive(Clone, Debug)]
pub struct Ask {
    pub attempt: String,
    pub path: &'static str,
    /// Tokens of the prompt, and most tokens of output.
    pub tokens: (u64, u64),
    pub deadline: Duration,
    /// Stream that the client takes up: its latest event, and the attempt that brought its first one.
    pub takes_up: Option<(u64, String)>,
    /// Number of events after which the client closes its channel.
    pub leaves_after: Option<usize>,
}

/// Answer as far as it came.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 without an answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    /// Numbers and data of the events.
    pub events: Vec<(u64, String)>,
    /// Whether it ended as its head announced.
    pub is_complete: bool,
}

impl Answer {
    /// Returns how long the refusal asks to wait.
    pub fn retry_after(&self) -> Option<Duration> {
        let seconds: f64 = find(&self.headers, "retry-after").parse().ok()?;
        Some(Duration::from_secs_f64(seconds))
    }
}

/// Sends a request and reads its answer.
pub fn ask(entry: SocketAddr, ask: &Ask, record: &Record) -> Answer {
    let Ask { attempt, path, tokens, takes_up, .. } = ask;
    record.line(&format!("sent attempt={attempt} to={entry} path={path} tokens={tokens:?} takes_up={takes_up:?}"));
    let mut answer = Answer::default();
    let _ = exchange(entry, ask, &mut answer);
    record.line(&format!(
        "answered attempt={attempt} status={} events={} complete={} retry_after={:?}",
        answer.status,
        answer.events.len(),
        answer.is_complete,
        answer.retry_after()
    ));
    answer
}

fn exchange(entry: SocketAddr, ask: &Ask, answer: &mut Answer) -> Option<()> {
    let until = Instant::now() + ask.deadline;
    let mut stream = TcpStream::connect_timeout(&entry, CONNECT_TIMEOUT).ok()?;
    let _ = stream.set_nodelay(true);
    let (input, output) = ask.tokens;
    let (shared, own) = (input / 2, input - input / 2);
    let own_part: u64 = ask.attempt.bytes().fold(7, |sum, byte| sum * 31 % 0xffff_ffff + u64::from(byte));
    let shared_part = 0xab12_cd00 + own_part % SHARED_PARTS;
    let mut head = format!(
        "POST {} HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: {}\r\nModel: m\r\nToken-Usage: {input},{output}\r\nPrompt-Prefix: {shared_part:08x}:{shared},{own_part:08x}:{own}\r\nDeadline-Ms: {}\r\nAuthorization: Bearer key-of-shop\r\nContent-Length: 5\r\n",
        ask.path,
        ask.attempt,
        ask.deadline.as_millis()
    );
    if let Some((last, began_as)) = &ask.takes_up {
        head.push_str(&format!("Last-Event-Id: {last}\r\nResumes: {began_as}\r\n"));
    }
    stream.write_all(format!("{head}\r\nhello").as_bytes()).ok()?;
    let left = || until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left())).ok()?;
    let mut buf = Vec::new();
    let lines = read_head(&mut stream, &mut buf)?;
    answer.status = lines[0].split(' ').nth(1)?.parse().ok()?;
    answer.headers = headers_of(&lines[1..]);
    if !find(&answer.headers, "transfer-encoding").contains("chunked") {
        let length = find(&answer.headers, "content-length").parse().unwrap_or(0);
        while buf.len() < length {
            read_more(&mut stream, &mut buf)?;
        }
        answer.is_complete = true;
        return Some(());
    }
    let mut body: Vec<u8> = Vec::new();
    loop {
        stream.set_read_timeout(Some(left())).ok()?;
        let size = read_size(&mut stream, &mut buf)?;
        while buf.len() < size + 2 {
            read_more(&mut stream, &mut buf)?;
        }
        body.extend(buf.drain(..size));
        buf.drain(..2);
        if size == 0 {
            answer.is_complete = true;
            return Some(());
        }
        while let Some(end) = body.windows(2).position(|window| window == b"\n\n") {
            let event: Vec<u8> = body.drain(..end + 2).collect();
            answer.events.push(parse_event(&String::from_utf8_lossy(&event)));
        }
        if ask.leaves_after.is_some_and(|count| answer.events.len() >= count) {
            let _ = stream.shutdown(Shutdown::Both);
            return None;
        }
    }
}

fn read_size(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<usize> {
    loop {
        if let Some(end) = buf.windows(2).position(|window| window == b"\r\n") {
            let line: Vec<u8> = buf.drain(..end + 2).collect();
            let line = String::from_utf8_lossy(&line);
            return usize::from_str_radix(line.trim(), 16).ok();
        }
        read_more(stream, buf)?;
    }
}

fn parse_event(event: &str) -> (u64, String) {
    let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
    (field("id:").trim().parse().unwrap_or(0), field("data:").trim().to_owned())
}
