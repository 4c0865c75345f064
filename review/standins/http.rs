//! HTTP/1.1 for stand-ins: a server with a thread for each connection.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Request as it was received.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    /// Path with the query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header's value, empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a decoded value of the query, empty if it is missing.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or_else(String::new, |(_, value)| unescape(value))
    }
}

/// Returns the value of a header, whose name is compared without regard to case.
pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let mut found = headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map_or("", |(_, value)| value.as_str())
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads bytes up to the end of a head; returns its lines.
pub fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Vec<String>> {
    loop {
        if let Some(end) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            buf.drain(..end + 4);
            return Some(head.split("\r\n").map(str::to_owned).collect());
        }
        read_more(stream, buf)?;
    }
}

/// Reads further bytes; `None` at the end of the connection.
pub fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 16_384];
    let count = stream.read(&mut part).ok().filter(|count| *count > 0)?;
    buf.extend_from_slice(&part[..count]);
    Some(())
}

/// Splits the lines of headers.
pub fn headers_of(lines: &[String]) -> Vec<(String, String)> {
    let split = |line: &String| {
        let (key, value) = line.split_once(':')?;
        Some((key.trim().to_owned(), value.trim().to_owned()))
    };
    lines.iter().filter_map(split).collect()
}

fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Request> {
    let lines = read_head(stream, buf)?;
    let mut words = lines[0].split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = headers_of(&lines[1..]);
    let length = find(&headers, "content-length").parse().unwrap_or(0);
    while buf.len() < length {
        read_more(stream, buf)?;
    }
    let body = buf.drain(..length).collect();
    Some(Request { method, target, headers, body })
}

/// Writes a complete answer; returns whether the connection still works.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

/// Answers a request; returns whether the connection goes on.
pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync>;

/// Running server.
pub struct Server {
    stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<JoinHandle<()>>,
}

impl Server {
    /// Listens at an address.
    pub fn bind(address: SocketAddr, handler: Handler) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let stopped = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (is_stopped, streams) = (stopped.clone(), open.clone());
        let accepting = std::thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => serve(stream, &handler, &streams),
                    Err(err) if err.kind() == ErrorKind::WouldBlock => {
                        std::thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(5)),
                }
            }
        });
        Ok(Server { stopped, open, accepting: Some(accepting) })
    }

    /// Closes the port and all connections, as the end of a process does.
    pub fn end(mut self) {
        self.close();
    }

    fn close(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.close();
    }
}

fn serve(stream: TcpStream, handler: &Handler, open: &Arc<Mutex<Vec<TcpStream>>>) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let peer = copy.peer_addr().ok();
    open.lock().unwrap().push(copy);
    let (handler, open) = (handler.clone(), open.clone());
    std::thread::spawn(move || {
        let mut stream = stream;
        let mut buf = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buf) {
            if !handler(&request, &mut stream) {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        open.lock().unwrap().retain(|other| other.peer_addr().ok() != peer);
    });
}
