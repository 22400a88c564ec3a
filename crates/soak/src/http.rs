//! A minimal HTTP/1.1 client, with one connection per request or a persistent one.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    head: String,
    /// The body as text.
    pub body: String,
}

impl Response {
    /// The value of the first header with this name, compared case-insensitively.
    pub fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|line| line.split_once(": "));
        fields.filter(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value).next()
    }
}

/// A connection that carries several requests, one after the other.
pub struct PersistentConnection {
    reader: BufReader<TcpStream>,
}

impl PersistentConnection {
    /// Opens a connection; `read_timeout` applies to each read.
    pub fn open(addr: &str, read_timeout: Duration) -> Option<PersistentConnection> {
        let addr: SocketAddr = addr.parse().ok()?;
        let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(read_timeout)).ok()?;
        Some(PersistentConnection { reader: BufReader::new(stream) })
    }

    /// Sends a request and reads its response; `None` if the response is incomplete.
    pub fn exchange(&mut self, request: &str) -> Option<Response> {
        self.reader.get_mut().write_all(request.as_bytes()).ok()?;
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if self.reader.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let mut response = Response { status, head, body: String::new() };
        let length = response.header("Content-Length").and_then(|length| length.trim().parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).ok()?;
        response.body = String::from_utf8_lossy(&body).into_owned();
        Some(response)
    }
}

/// Sends a request on a new connection and reads the response until the server closes the
/// connection, so the request must have `Connection: close`. `None` on an error, on an incomplete
/// head or if a read takes longer than `read_timeout`.
pub fn exchange(addr: &str, request: &str, read_timeout: Duration) -> Option<Response> {
    let addr: SocketAddr = addr.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(read_timeout)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Response { status, head: head.to_owned(), body: body.to_owned() })
}
