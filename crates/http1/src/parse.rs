use crate::client_connection::ClientConnection;
use bytes::{Buf, Bytes, BytesMut};

/// How large and how slow a request may be.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Bytes of the request line and headers together.
    pub header_bytes: usize,
    /// Bytes of the body.
    pub body_bytes: usize,
    /// How long the headers may take, in milliseconds.
    pub header_ms: u64,
    /// How long a connection may rest between requests, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { header_bytes: 16 << 10, body_bytes: 256 << 10, header_ms: 3000, idle_ms: 15000 }
    }
}

impl Bounds {
    /// As a configuration tells them; what it leaves out stays as it is by default.
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
}

/// A request, read in full.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The method, as sent.
    pub method: String,
    /// Path and query, as sent.
    pub path: String,
    /// Names and values in their order, names as sent.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Bytes,
    /// Whether the connection may take another request behind this one.
    pub keep: bool,
    /// Whether its client has left meanwhile, where the server watches that.
    pub client_connection: ClientConnection,
}

impl Request {
    /// The first header of that name, whatever its case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// So many bytes.
    Length(usize),
    /// Chunked transfer encoding.
    Chunked,
    /// Of answers only: until the connection closes.
    UntilClose,
}

/// A request that is turned away; the connection closes behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// The status of the answer.
    pub status: u16,
    /// What is wrong, for the answer and the log.
    pub reason: &'static str,
}

fn reject<T>(status: u16, reason: &'static str) -> Result<T, RequestError> {
    Err(RequestError { status, reason })
}

/// The head of a request: None while it is not whole.
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

/// Collects a chunked body; strict, as what follows must not be taken for a request.
#[derive(Default)]
pub struct Chunks {
    body: BytesMut,
    left: usize,
    stage: Stage,
}

#[derive(Default, PartialEq)]
enum Stage {
    #[default]
    Size,
    Data,
    DataEnd,
    Trailer,
}

impl Chunks {
    /// Takes what there is; the whole body once it has ended.
    pub fn take(&mut self, buf: &mut BytesMut, limit: usize) -> Result<Option<Bytes>, RequestError> {
        loop {
            match self.stage {
                Stage::Size | Stage::Trailer => {
                    let Some(end) = buf.iter().position(|b| *b == b'\n') else {
                        return if buf.len() > 1024 { reject(400, "broken chunk") } else { Ok(None) };
                    };
                    if end == 0 || buf[end - 1] != b'\r' {
                        return reject(400, "broken chunk");
                    }
                    let line = buf.split_to(end + 1);
                    let line = &line[..end - 1];
                    if self.stage == Stage::Trailer {
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
                    self.left = usize::from_str_radix(text, 16).unwrap_or(usize::MAX);
                    if self.left > limit || self.body.len() + self.left > limit {
                        return reject(413, "body too large");
                    }
                    self.stage = if self.left == 0 { Stage::Trailer } else { Stage::Data };
                }
                Stage::Data => {
                    if buf.is_empty() {
                        return Ok(None);
                    }
                    let part = buf.split_to(self.left.min(buf.len()));
                    self.left -= part.len();
                    self.body.extend_from_slice(&part);
                    if self.left == 0 {
                        self.stage = Stage::DataEnd;
                    }
                }
                Stage::DataEnd => {
                    if buf.len() < 2 {
                        return Ok(None);
                    }
                    if &buf[..2] != b"\r\n" {
                        return reject(400, "broken chunk");
                    }
                    buf.advance(2);
                    self.stage = Stage::Size;
                }
            }
        }
    }
}

/// A server's answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status, as sent.
    pub status: u16,
    /// Names and values in their order, names as sent.
    pub headers: Vec<(String, String)>,
    /// The body as far as it came.
    pub body: Bytes,
    /// Whether the connection may be used again.
    pub keep: bool,
    /// Its length was told, and all of it came.
    pub is_complete: bool,
}

impl Answer {
    /// The first header of that name, whatever its case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// The head of an answer: None while it is not whole.
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
