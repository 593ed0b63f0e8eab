//! A small blocking HTTP/1.1 client and the message parser that the stand-in servers use.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or a response: its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response, 0 if it has none.
    pub fn status(&self) -> u16 {
        let mut words = self.first_line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Method and path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads messages from one connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Returns the next message; `None` if the connection ended before it began.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head: Vec<u8> = self.buffer.drain(..head_end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
        if message.header("transfer-encoding").is_some() {
            message.body = self.chunks()?;
        } else {
            let length = message.header("content-length").and_then(|l| l.parse().ok());
            let length: usize = length.unwrap_or(0);
            while self.buffer.len() < length {
                if self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            message.body = self.buffer.drain(..length).collect();
        }
        Ok(Some(message))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let size = usize::from_str_radix(self.line()?.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            while self.buffer.len() < size + 2 {
                if self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

/// Writes a request with a body of known length.
pub fn request_bytes(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "PUT" || method == "POST" {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and returns the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(&request_bytes(method, path, headers, body))?;
    let answer = Reader::new(stream).next()?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// A connection that is kept open for many requests.
pub struct KeptConnection {
    address: SocketAddr,
    limit: Duration,
    open: Option<(TcpStream, Reader)>,
}

impl KeptConnection {
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        Self { address, limit, open: None }
    }

    /// Sends a request without a body, and opens a connection if there is none.
    pub fn call(&mut self, method: &str, path: &str, headers: &[(&str, &str)]) -> io::Result<Message> {
        let answer = self.call_once(&request_bytes(method, path, headers, &[]));
        let closes = |answer: &Message| {
            answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
        };
        if answer.as_ref().map_or(true, closes) {
            self.open = None;
        }
        answer
    }

    fn call_once(&mut self, request: &[u8]) -> io::Result<Message> {
        if self.open.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(self.limit))?;
            let reader = Reader::new(stream.try_clone()?);
            self.open = Some((stream, reader));
        }
        let Some((stream, reader)) = &mut self.open else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        stream.write_all(request)?;
        reader.next()?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
