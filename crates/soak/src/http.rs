//! One HTTP/1.1 exchange on a connection of its own.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a connection may take to open.
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
    /// The value of a header, by its name in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|line| line.split_once(": "));
        fields.filter(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value).next()
    }
}

/// Sends a request, which is to ask for `Connection: close`, and reads the response; `None`
/// unless a whole head came within `limit`.
pub fn exchange(addr: &str, request: &str, limit: Duration) -> Option<Response> {
    let addr: SocketAddr = addr.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Response { status, head: head.to_owned(), body: body.to_owned() })
}
