use crate::client_connection::ClientConnection;
use bytes::{Buf, Bytes, BytesMut};

/// Limits on the size of a request and on the time that it may take.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum size of the request line and headers together, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub body_bytes: usize,
    /// Time-out for receiving a request, headers and body, in milliseconds.
    pub header_ms: u64,
    /// How long a connection may be idle between requests, in milliseconds.
    pub idle_ms: u64,
    /// Bytes of bodies that all requests of the process may hold at a time.
    pub body_budget_bytes: usize,
}

/// The memory of a process divided by this is the budget for request bodies. A body may stand twice
/// in memory, as read and as it is sent on.
const BODY_BUDGET_DIVISOR: usize = 4;

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            header_bytes: 16 << 10,
            body_bytes: 256 << 10,
            header_ms: 3000,
            idle_ms: 15000,
            body_budget_bytes: usize::MAX,
        }
    }
}

impl Bounds {
    /// The limits of a configuration; a value of zero stands for the default.
    pub fn from_settings(header_bytes: u64, body_bytes: u64, header_ms: f64, idle_ms: f64) -> Bounds {
        let mut b = Bounds::default();
        if header_bytes > 0 {
            b.header_bytes = header_bytes as usize;
        }
        if body_bytes > 0 {
            b.body_bytes = body_bytes as usize;
        }
        if header_ms > 0.0 {
            b.header_ms = header_ms as u64;
        }
        if idle_ms > 0.0 {
            b.idle_ms = idle_ms as u64;
        }
        b
    }

    /// Bounds the bodies by the memory of the process; 0 stands for no limit.
    pub fn with_memory(self, memory_mb: u64) -> Bounds {
        if memory_mb == 0 {
            return self;
        }
        let body_budget_bytes = (memory_mb << 20) as usize / BODY_BUDGET_DIVISOR;
        Bounds { body_bytes: self.body_bytes.min(body_budget_bytes), body_budget_bytes, ..self }
    }
}

/// A request with its complete body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The method, as sent.
    pub method: String,
    /// The path and query, as sent.
    pub path: String,
    /// Names and values in the order in which they were sent, names as sent.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Bytes,
    /// Whether the connection may carry another request after this one.
    pub keep: bool,
    /// Tells whether the client has closed its connection, if the server watches that.
    pub client_connection: ClientConnection,
}

impl Request {
    /// The value of the first header of that name; the case of names does not matter.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// The body has this many bytes.
    Length(usize),
    /// Chunked transfer encoding.
    Chunked,
    /// The body ends when the connection is closed; only in responses.
    UntilClose,
}

/// A request that is rejected while it is read. The connection is closed after the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// The status of the response.
    pub status: u16,
    /// What is wrong, for the body of the response.
    pub reason: &'static str,
}

fn reject<T>(status: u16, reason: &'static str) -> Result<T, RequestError> {
    Err(RequestError { status, reason })
}

/// Parses the head of a request and removes it from `buf`; `None` while it is incomplete. The flag
/// says that the client expects `100 Continue`.
pub fn take_head(buf: &mut BytesMut, bounds: &Bounds) -> Result<Option<(Request, Framing, bool)>, RequestError> {
    let mut store = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Request::new(&mut store);
    let len = match head.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) => {
            if buf.len() > bounds.header_bytes {
                return reject(431, "header too large");
            }
            return Ok(None);
        }
        Err(httparse::Error::TooManyHeaders) => return reject(431, "too many headers"),
        Err(_) => return reject(400, "malformed request"),
    };
    if len > bounds.header_bytes {
        return reject(431, "header too large");
    }
    let version = head.version.unwrap_or(0);
    let mut r = Request {
        method: head.method.unwrap_or("").to_owned(),
        path: head.path.unwrap_or("").to_owned(),
        keep: version == 1,
        ..Request::default()
    };
    if !r.path.starts_with('/') || r.path.bytes().any(|b| b <= b' ' || b == 0x7f) {
        return reject(400, "malformed path");
    }
    let (mut length, mut chunked, mut hosts, mut expect) = (None, false, 0, false);
    for h in head.headers.iter() {
        let Ok(value) = std::str::from_utf8(h.value) else {
            return reject(400, "malformed header");
        };
        let value = value.trim_matches([' ', '\t']);
        if value.bytes().any(|b| b < b' ' && b != b'\t') {
            return reject(400, "malformed header");
        }
        if h.name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || value.len() > 15 || !value.bytes().all(|b| b.is_ascii_digit()) {
                return reject(400, "malformed length");
            }
            if length.is_some() {
                return reject(400, "repeated length");
            }
            length = value.parse::<usize>().ok();
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            if chunked || !value.eq_ignore_ascii_case("chunked") {
                return reject(if chunked { 400 } else { 501 }, "transfer encoding not known");
            }
            chunked = true;
        } else if h.name.eq_ignore_ascii_case("host") {
            hosts += 1;
        } else if h.name.eq_ignore_ascii_case("connection") {
            if value.split(',').any(|v| v.trim().eq_ignore_ascii_case("close")) {
                r.keep = false;
            }
        } else if h.name.eq_ignore_ascii_case("expect") {
            if !value.eq_ignore_ascii_case("100-continue") {
                return reject(417, "expectation not known");
            }
            expect = true;
        } else if h.name.eq_ignore_ascii_case("upgrade") {
            continue;
        }
        r.headers.push((h.name.to_owned(), value.to_owned()));
    }
    if hosts != 1 && version == 1 || hosts > 1 {
        return reject(400, "wants one host");
    }
    if chunked && (length.is_some() || version == 0) {
        return reject(400, "both length and chunks");
    }
    let framing = match (chunked, length) {
        (true, _) => Framing::Chunked,
        (_, Some(n)) if n > bounds.body_bytes => return reject(413, "body too large"),
        (_, Some(0)) | (_, None) => Framing::None,
        (_, Some(n)) => Framing::Length(n),
    };
    buf.advance(len);
    Ok(Some((r, framing, expect)))
}

/// Decodes a chunked body. It is strict, so that a part of a body is never taken for the next
/// request (request smuggling).
#[derive(Default)]
pub struct Chunks {
    body: BytesMut,
    /// Bytes of the current chunk that have not arrived.
    remaining: usize,
    state: ChunkState,
}

#[derive(Default, PartialEq)]
enum ChunkState {
    #[default]
    Size,
    Data,
    DataEnd,
    Trailer,
}

impl Chunks {
    /// Consumes the available bytes; returns the complete body once its end was read.
    pub fn take(&mut self, buf: &mut BytesMut, limit: usize) -> Result<Option<Bytes>, RequestError> {
        loop {
            match self.state {
                ChunkState::Size | ChunkState::Trailer => {
                    let Some(end) = buf.iter().position(|b| *b == b'\n') else {
                        return if buf.len() > 1024 { reject(400, "broken chunk") } else { Ok(None) };
                    };
                    if end == 0 || buf[end - 1] != b'\r' {
                        return reject(400, "broken chunk");
                    }
                    let line = buf.split_to(end + 1);
                    let line = &line[..end - 1];
                    if self.state == ChunkState::Trailer {
                        if line.is_empty() {
                            return Ok(Some(std::mem::take(&mut self.body).freeze()));
                        }
                        continue;
                    }
                    let digits = line.split(|b| *b == b';').next().unwrap_or(b"");
                    let text = std::str::from_utf8(digits).unwrap_or("").trim_end_matches([' ', '\t']);
                    if text.is_empty() || text.len() > 8 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
                        return reject(400, "broken chunk");
                    }
                    self.remaining = usize::from_str_radix(text, 16).unwrap_or(usize::MAX);
                    if self.remaining > limit || self.body.len() + self.remaining > limit {
                        return reject(413, "body too large");
                    }
                    self.state = if self.remaining == 0 { ChunkState::Trailer } else { ChunkState::Data };
                }
                ChunkState::Data => {
                    if buf.is_empty() {
                        return Ok(None);
                    }
                    let part = buf.split_to(self.remaining.min(buf.len()));
                    self.remaining -= part.len();
                    self.body.extend_from_slice(&part);
                    if self.remaining == 0 {
                        self.state = ChunkState::DataEnd;
                    }
                }
                ChunkState::DataEnd => {
                    if buf.len() < 2 {
                        return Ok(None);
                    }
                    if &buf[..2] != b"\r\n" {
                        return reject(400, "broken chunk");
                    }
                    buf.advance(2);
                    self.state = ChunkState::Size;
                }
            }
        }
    }
}

/// A server's response.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status, as sent.
    pub status: u16,
    /// Names and values in the order in which they were sent, names as sent.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it was received.
    pub body: Bytes,
    /// Whether the connection may be used again.
    pub keep: bool,
    /// Whether the framing gave the length of the body, and all of it was received. False for a body
    /// that ends with the connection, which may be truncated.
    pub is_complete: bool,
}

impl Answer {
    /// The value of the first header of that name; the case of names does not matter.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// Parses the head of a response and removes it from `buf`; `None` while it is incomplete.
/// `answers_head` says that the request was a `HEAD`, whose response has no body.
pub fn take_answer_head(buf: &mut BytesMut, answers_head: bool) -> Result<Option<(Answer, Framing)>, &'static str> {
    let mut store = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut store);
    let len = match head.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() <= 64 << 10 => return Ok(None),
        _ => return Err("malformed answer"),
    };
    let mut a = Answer {
        status: head.code.unwrap_or(0),
        keep: head.version == Some(1),
        is_complete: true,
        ..Answer::default()
    };
    let (mut length, mut chunked) = (None, false);
    for h in head.headers.iter() {
        let value = String::from_utf8_lossy(h.value).trim().to_owned();
        if h.name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err("malformed length");
            }
            let n = value.parse::<usize>().map_err(|_| "malformed length")?;
            if length.is_some_and(|l| l != n) {
                return Err("conflicting lengths");
            }
            length = Some(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            if chunked || !value.eq_ignore_ascii_case("chunked") {
                return Err("unknown coding");
            }
            chunked = true;
        } else if h.name.eq_ignore_ascii_case("connection")
            && value.split(',').any(|v| v.trim().eq_ignore_ascii_case("close"))
        {
            a.keep = false;
        }
        a.headers.push((h.name.to_owned(), value));
    }
    if chunked && length.is_some() {
        return Err("both length and chunks");
    }
    let framing = if answers_head || a.status < 200 || a.status == 204 || a.status == 304 {
        Framing::None
    } else if chunked {
        Framing::Chunked
    } else {
        match length {
            Some(0) => Framing::None,
            Some(n) => Framing::Length(n),
            None => {
                (a.keep, a.is_complete) = (false, false);
                Framing::UntilClose
            }
        }
    };
    buf.advance(len);
    Ok(Some((a, framing)))
}
