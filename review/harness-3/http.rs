//! A small HTTP/1.1 client and the reading of requests, over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Headers that a request is sent with.
pub type Headers<'a> = &'a [(&'a str, &'a str)];

/// An answer: its status, its headers with names in lower case, and its body.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A request as a server has read it.
#[derive(Clone, Debug)]
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known == name);
    found.map(|(_, value)| value.as_str())
}

/// A connection of a client, which carries one request at a time.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: Headers<'_>,
        body: &[u8],
    ) -> io::Result<Answer> {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut message = head.into_bytes();
        message.extend_from_slice(body);
        self.reader.get_mut().write_all(&message)?;
        let (first, headers) = read_head(&mut self.reader)?;
        let status = first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let status = status.ok_or_else(|| io::Error::other("no status"))?;
        let body = read_body(&mut self.reader, &headers)?;
        Ok(Answer {
            status,
            headers,
            body,
        })
    }
}

/// Sends one request on a connection of its own.
pub fn call_once(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: Headers<'_>,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    Client::connect(address, timeout)?.call(method, path, headers, body)
}

/// Reads the next request of a connection; `None` if it was closed.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader).ok()?;
    let path = first.split(' ').nth(1)?.to_owned();
    read_body(reader, &headers).ok()?;
    Some(Request { path, headers })
}

fn read_head(reader: &mut impl BufRead) -> io::Result<(String, Vec<(String, String)>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let mut lines = lines.into_iter();
    let first = lines
        .next()
        .ok_or_else(|| io::Error::other("no first line"))?;
    let pair = |line: String| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    };
    Ok((first, lines.filter_map(pair).collect()))
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    if find(headers, "transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        return read_chunks(reader);
    }
    let length = find(headers, "content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; length];
        reader.read_exact(&mut chunk)?;
        reader.read_line(&mut line)?;
        if length == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk);
    }
}
