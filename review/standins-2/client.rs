//! Stand-in of the clients.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::http::{self, Headers};

/// Connection that a client keeps.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

/// Event of a stream.
#[derive(Clone, Debug)]
pub struct Event {
    pub id: u64,
    pub data: String,
}

/// Stream as far as it has arrived.
#[derive(Debug, Default)]
pub struct StreamAnswer {
    pub status: u16,
    pub events: Vec<Event>,
    /// Whether it came to its end.
    pub is_complete: bool,
    pub body: String,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Connection { reader: BufReader::new(stream) })
    }

    /// Sends a request with a length.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("{method} {path} HTTP/1.1\r\nHost: api.example\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)
    }

    /// Reads the head of the answer.
    pub fn read_head(&mut self) -> io::Result<(u16, Headers)> {
        http::read_head(&mut self.reader)
    }

    /// Reads a whole answer.
    pub fn read_answer(&mut self) -> io::Result<(u16, Headers, Vec<u8>)> {
        let (status, headers) = self.read_head()?;
        let body = http::read_body(&mut self.reader, &headers)?;
        Ok((status, headers, body))
    }

    /// Reads a stream up to its end, or to where it breaks off.
    pub fn read_stream(&mut self, seen: &mut dyn FnMut(&Event)) -> StreamAnswer {
        let mut answer = StreamAnswer::default();
        let Ok((status, headers)) = self.read_head() else { return answer };
        answer.status = status;
        if http::header(&headers, "transfer-encoding").is_none() {
            let body = http::read_body(&mut self.reader, &headers).unwrap_or_default();
            answer.body = String::from_utf8_lossy(&body).into_owned();
            return answer;
        }
        let mut text = String::new();
        loop {
            match http::chunk(&mut self.reader) {
                Ok(data) if data.is_empty() => {
                    answer.is_complete = true;
                    return answer;
                }
                Ok(data) => text.push_str(&String::from_utf8_lossy(&data)),
                Err(_) => return answer,
            }
            while let Some(end) = text.find("\n\n") {
                let event: String = text.drain(..end + 2).collect();
                let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
                let id = field("id:").and_then(|id| id.trim().parse().ok()).unwrap_or(0);
                let data = field("data:").unwrap_or_default().trim().to_owned();
                let event = Event { id, data };
                seen(&event);
                answer.events.push(event);
            }
        }
    }
}

/// Sends a GET without a body; returns the status of its answer.
pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut connection = Connection::open(address, Duration::from_secs(1)).ok()?;
    connection.send("GET", path, &[], b"").ok()?;
    Some(connection.read_answer().ok()?.0)
}
