use crate::body_budget::BodyReservation;
use crate::client_connection::{ClientConnection, ClientConnectionSender};
use crate::parse::*;
use bytes::{Bytes, BytesMut};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A response to a client.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// Headers of this server; `Content-Length` is added.
    pub headers: Vec<(&'static str, String)>,
    /// The complete body.
    pub body: Bytes,
    /// The value of `Content-Type`; if it is empty, the header is not sent.
    pub content_type: &'static str,
    /// Headers that are forwarded from the response of another server.
    pub forwarded_headers: Vec<(String, String)>,
    /// Closes the connection without a response.
    pub close_without_reply: bool,
}

impl Reply {
    /// A response without a body.
    pub fn new(status: u16) -> Reply {
        Reply {
            status,
            headers: Vec::new(),
            body: Bytes::new(),
            content_type: "",
            forwarded_headers: Vec::new(),
            close_without_reply: false,
        }
    }

    /// A response with a JSON body.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Reply {
        Reply { body: body.into(), content_type: "application/json", ..Reply::new(status) }
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Reply {
        self.headers.push((name, value.into()));
        self
    }
}

/// The reason phrase of a status.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Appends a response to `out`; without its body for `head_only`, and with `Connection: close` unless
/// `keep` is set.
pub fn put_reply(out: &mut BytesMut, reply: &Reply, keep: bool, head_only: bool) {
    use std::fmt::Write;
    let mut text = String::with_capacity(160);
    let _ =
        write!(text, "HTTP/1.1 {} {}\r\nContent-Length: {}\r\n", reply.status, reason(reply.status), reply.body.len());
    if !reply.content_type.is_empty() {
        let _ = write!(text, "Content-Type: {}\r\n", reply.content_type);
    }
    for (n, v) in &reply.headers {
        let _ = write!(text, "{n}: {v}\r\n");
    }
    for (n, v) in &reply.forwarded_headers {
        let _ = write!(text, "{n}: {v}\r\n");
    }
    if !keep {
        text.push_str("Connection: close\r\n");
    }
    text.push_str("\r\n");
    out.extend_from_slice(text.as_bytes());
    if !head_only {
        out.extend_from_slice(&reply.body);
    }
}

/// The stages of a graceful shutdown.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Closing {
    /// Connections and requests are accepted.
    Open,
    /// Requests are still served; the connection is closed after each response.
    Draining,
    /// Idle connections are closed, and no new ones are accepted.
    Shut,
    /// The process is about to exit: handlers respond at once with what they know.
    Ending,
}

/// Shuts a server down within `grace`, so that each request that was read gets a complete response:
/// first each response closes its connection, then nothing new is accepted, and at last the
/// remaining handlers are told to respond. Returns early once no requests are in flight and
/// `is_idle` reports that nothing else is under way; both are checked every `poll_interval`.
pub async fn shut_down_gracefully(
    closing: &watch::Sender<Closing>,
    grace: Duration,
    poll_interval: Duration,
    is_idle: impl Fn() -> bool,
) {
    let started = tokio::time::Instant::now();
    closing.send_replace(Closing::Draining);
    // The platform stops routing clients here only a short time after two missed checks.
    tokio::time::sleep_until(started + grace * 2 / 5).await;
    closing.send_replace(Closing::Shut);
    tokio::time::sleep_until(started + grace / 2).await;
    while (requests_in_flight() > 0 || !is_idle()) && started.elapsed() < grace * 4 / 5 {
        tokio::time::sleep(poll_interval).await;
    }
    closing.send_replace(Closing::Ending);
    // Leaves time to drain what clients send after the last responses; see `close_gracefully`.
    while requests_in_flight() > 0 && started.elapsed() < grace * 9 / 10 {
        tokio::time::sleep(poll_interval).await;
    }
}

/// Whether a server watches, while a request is handled, for its client closing the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientWatch {
    /// The handler is notified; see [`ClientConnection`].
    On,
    /// Requests are handled to the end, even if the client has closed the connection.
    Off,
}

/// Reads and answers the requests of a connection in sequence, until either side closes it or the
/// server shuts down between two requests.
pub async fn serve_connection<H, F>(
    mut stream: TcpStream,
    bounds: impl Fn() -> Bounds,
    mut closing: watch::Receiver<Closing>,
    client_watch: ClientWatch,
    handler: H,
) where
    H: Fn(Request) -> F,
    F: Future<Output = Reply>,
{
    let _ = stream.set_nodelay(true);
    let mut buf = BytesMut::with_capacity(4 << 10);
    let mut out = BytesMut::new();
    loop {
        let (mut request, _reservation) = match read_request(&mut stream, &mut buf, &bounds, &mut closing).await {
            Ok(Some(r)) => r,
            Ok(None) => return,
            Err(error) => {
                let b = bounds();
                out.clear();
                let limit =
                    if error.status == 413 { format!(",\"limitBytes\":{}", b.body_bytes) } else { String::new() };
                let body = format!("{{\"fault\":\"{}\"{limit}}}", error.reason);
                let reply = match error.status {
                    503 => Reply::json(503, body).with("Retry-After", "1"),
                    status => Reply::json(status, body),
                };
                put_reply(&mut out, &reply, false, false);
                let _ = stream.write_all(&out).await;
                close_gracefully(&mut stream, b.header_ms / 10).await;
                return;
            }
        };
        let _unanswered = InFlightGuard::new();
        let (keep, head_only) = (request.keep, request.method == "HEAD");
        let reply = match client_watch {
            ClientWatch::Off => handler(request).await,
            ClientWatch::On => {
                let (sender, client_connection) = ClientConnection::new();
                request.client_connection = client_connection;
                handle_while_watching(&mut stream, &mut buf, &sender, handler(request)).await
            }
        };
        if reply.close_without_reply {
            return;
        }
        let keep = keep && *closing.borrow() == Closing::Open;
        out.clear();
        put_reply(&mut out, &reply, keep, head_only);
        if stream.write_all(&out).await.is_err() {
            return;
        }
        if !keep {
            close_gracefully(&mut stream, bounds().header_ms).await;
            return;
        }
    }
}

/// How many bytes of pipelined requests are read while a request is handled.
const READ_AHEAD_BYTES: usize = 4 << 10;

/// Waits for a handler, and notifies it if the client closes the connection in the meantime.
async fn handle_while_watching(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    sender: &ClientConnectionSender,
    handling: impl Future<Output = Reply>,
) -> Reply {
    tokio::pin!(handling);
    while buf.len() < READ_AHEAD_BYTES {
        buf.reserve(1 << 10);
        let read = tokio::select! {
            biased;
            reply = &mut handling => return reply,
            read = stream.read_buf(buf) => read,
        };
        if !matches!(read, Ok(bytes) if bytes > 0) {
            telemetry::count("clients_left");
            sender.set_closed();
            break;
        }
    }
    handling.await
}

/// Closes a connection without losing the last response. A close with unread or still arriving data
/// causes a reset, which discards what was not sent yet; so the write side is shut down and the
/// input is drained first.
async fn close_gracefully(stream: &mut TcpStream, timeout_ms: u64) {
    let _ = stream.shutdown().await;
    let mut sink = BytesMut::with_capacity(512);
    let drain = async {
        while matches!(stream.read_buf(&mut sink).await, Ok(n) if n > 0) {
            sink.clear();
        }
    };
    let _ = tokio::time::timeout(Duration::from_millis(timeout_ms), drain).await;
}

async fn read_request(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    bounds: &impl Fn() -> Bounds,
    closing: &mut watch::Receiver<Closing>,
) -> Result<Option<(Request, BodyReservation)>, RequestError> {
    if buf.is_empty() {
        buf.reserve(2 << 10);
        tokio::select! {
            biased;
            n = stream.read_buf(buf) => match n { Ok(n) if n > 0 => {}, _ => return Ok(None) },
            _ = async { let _ = closing.wait_for(|c| *c >= Closing::Shut).await; } => return Ok(None),
            _ = idle_timeout(bounds) => return Ok(None),
        }
    }
    let bounds = &bounds();
    let read = async {
        let (mut request, framing, expect) = loop {
            // Empty lines between requests are allowed.
            while buf.first().is_some_and(|b| *b == b'\r' || *b == b'\n') {
                let _ = buf.split_to(1);
            }
            if let Some(h) = take_head(buf, bounds)? {
                break h;
            }
            buf.reserve(2 << 10);
            match stream.read_buf(buf).await {
                Ok(n) if n > 0 => {}
                _ => return Ok(None),
            }
        };
        let mut reservation = BodyReservation::default();
        let mut reserve = |bytes| match reservation.grow_to(bytes, bounds.body_budget_bytes) {
            true => Ok(()),
            false => {
                telemetry::count("refused_no_memory");
                Err(RequestError { status: 503, reason: "no memory for its body now" })
            }
        };
        if let Framing::Length(n) = framing {
            reserve(n)?;
        }
        if expect && framing != Framing::None {
            let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        match framing {
            Framing::Length(n) => {
                while buf.len() < n {
                    buf.reserve(n - buf.len());
                    match stream.read_buf(buf).await {
                        Ok(k) if k > 0 => {}
                        _ => return Ok(None),
                    }
                }
                request.body = buf.split_to(n).freeze();
            }
            Framing::Chunked => {
                let mut chunks = Chunks::default();
                let mut received = buf.len();
                request.body = loop {
                    reserve(received)?;
                    if let Some(body) = chunks.take(buf, bounds.body_bytes)? {
                        break body;
                    }
                    buf.reserve(2 << 10);
                    match stream.read_buf(buf).await {
                        Ok(k) if k > 0 => received += k,
                        _ => return Ok(None),
                    }
                };
            }
            _ => {}
        }
        Ok(Some((request, reservation)))
    };
    match tokio::time::timeout(Duration::from_millis(bounds.header_ms), read).await {
        Ok(r) => r,
        Err(_) => Err(RequestError { status: 408, reason: "request came too slowly" }),
    }
}

/// Completes when a connection has been idle for the current limit, which a new configuration may
/// have raised in the meantime.
async fn idle_timeout(bounds: &impl Fn() -> Bounds) {
    let since = tokio::time::Instant::now();
    loop {
        let end = since + Duration::from_millis(bounds().idle_ms);
        if end <= tokio::time::Instant::now() {
            return;
        }
        tokio::time::sleep_until(end).await;
    }
}

/// Requests of all servers of this process that were read in full and not answered yet.
static REQUESTS_IN_FLIGHT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);

/// Number of requests that were read in full and not answered yet, in this process.
pub fn requests_in_flight() -> usize {
    REQUESTS_IN_FLIGHT.load(std::sync::atomic::Ordering::Relaxed)
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard;

impl InFlightGuard {
    fn new() -> InFlightGuard {
        REQUESTS_IN_FLIGHT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        InFlightGuard
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        REQUESTS_IN_FLIGHT.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    }
}

/// Accepts connections until the server shuts down.
pub async fn listen<H, F>(
    listener: TcpListener,
    bounds: impl Fn() -> Bounds + Clone + Send + Sync + 'static,
    closing: watch::Receiver<Closing>,
    client_watch: ClientWatch,
    handler: H,
) where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let handler = Arc::new(handler);
    let mut stop = closing.clone();
    loop {
        let accepted = tokio::select! {
            a = listener.accept() => a,
            _ = async { let _ = stop.wait_for(|c| *c >= Closing::Shut).await; } => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (handler, bounds, closing) = (handler.clone(), bounds.clone(), closing.clone());
        let connection = serve_connection(stream, bounds, closing, client_watch, move |request| {
            let handler = handler.clone();
            async move { handler(request).await }
        });
        tokio::spawn(telemetry::contained(connection));
    }
}
