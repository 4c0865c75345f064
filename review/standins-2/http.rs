//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Headers in their order.
pub type Headers = Vec<(String, String)>;

/// Request as a server reads it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a value of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let value =
            query.split('&').filter_map(|pair| pair.split_once('=')).find(|p| p.0 == name)?.1;
        let (mut out, bytes) = (Vec::new(), value.as_bytes());
        let mut at = 0;
        while at < bytes.len() {
            let hex = value.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
            match (bytes[at], hex) {
                (b'%', Some(byte)) => {
                    out.push(byte);
                    at += 3;
                }
                (byte, _) => {
                    out.push(byte);
                    at += 1;
                }
            }
        }
        String::from_utf8(out).ok()
    }
}

/// Returns the first header with a name.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

fn line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    while matches!(line.last(), Some(b'\r' | b'\n')) {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

fn headers(reader: &mut BufReader<TcpStream>) -> io::Result<Headers> {
    let mut found = Headers::new();
    loop {
        let line = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(found);
        }
        if let Some((name, value)) = line.split_once(':') {
            found.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a body; an empty one is the last.
pub fn chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let size = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16);
    let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(data)
}

fn body(reader: &mut BufReader<TcpStream>, headers: &Headers) -> io::Result<Vec<u8>> {
    if header(headers, "transfer-encoding").is_some() {
        let mut all = Vec::new();
        loop {
            let data = chunk(reader)?;
            if data.is_empty() {
                return Ok(all);
            }
            all.extend(data);
        }
    }
    let length = header(headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut all = vec![0; length];
    reader.read_exact(&mut all)?;
    Ok(all)
}

/// Reads the next request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(first) = line(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let headers = headers(reader)?;
    let body = body(reader, &headers)?;
    Ok(Some(Request { method: method.to_owned(), target: target.to_owned(), headers, body }))
}

/// Reads the head of an answer.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<(u16, Headers)> {
    let first = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    Ok((status, headers(reader)?))
}

/// Reads the body of an answer with a length or in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, headers: &Headers) -> io::Result<Vec<u8>> {
    body(reader, headers)
}

/// Sends an answer with a length.
pub fn send(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}
