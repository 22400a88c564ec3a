use crate::header_time::keep_alive_timeout;
use crate::parse::*;
use crate::sent_ids::SentIds;
use crate::unidentified::UnidentifiedAnswers;
use bytes::{BufMut, BytesMut};
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Why a call did not return a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection could be opened, or the connection limit was reached: nothing was sent.
    NotSent,
    /// The request was sent, but the connection was then closed or reset, or the response was malformed.
    Lost,
    /// The request was sent, but its response did not arrive before the time-out.
    Silent,
}

/// An idle connection that is kept for another call.
struct IdleConnection {
    stream: TcpStream,
    sent: SentIds,
    idle_since: Instant,
    expires_at: Instant,
}

/// The connections to one server.
#[derive(Default)]
struct ServerConnections {
    /// In the order in which they became idle.
    idle: Vec<IdleConnection>,
    /// Calls under way; each has a connection of its own.
    active: usize,
}

/// A pool of persistent connections by server address. The most recently used one is taken first.
pub struct ConnectionPool {
    servers: Mutex<HashMap<String, ServerConnections>>,
    idle_timeout: Duration,
    hasher: RandomState,
    unidentified: Mutex<UnidentifiedAnswers>,
}

/// How long a server that does not repeat request ids is remembered after its last call, as a
/// multiple of the idle time-out.
const UNIDENTIFIED_RETENTION_FACTOR: u32 = 60;

/// Upper bound of the idle time-out, whatever the `Keep-Alive` header of the server says.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// A request to a server.
pub struct Call<'a> {
    /// The method, as in the request line.
    pub method: &'a str,
    /// The path and query, as in the request line.
    pub path: &'a str,
    /// The value of the `Host` header.
    pub host: &'a str,
    /// Additional headers, in the order in which they are sent. `Host` and `Content-Length` are added.
    pub headers: &'a [(&'a str, &'a str)],
    /// The complete body.
    pub body: &'a [u8],
    /// The id that the response must repeat in `X-Attempt-Id`. If it is empty, the response is not
    /// checked and the call uses a new connection that is not kept.
    pub id: &'a str,
    /// Reuses only a connection that was opened or last used within this time; `None`: any idle one.
    pub newest: Option<Duration>,
    /// Time-out for opening a connection; `None`: a quarter of the time-out of the call.
    pub connect: Option<Duration>,
}

/// Whether an idle connection may carry another call. If it is readable, the server has closed it
/// or has sent bytes that belong to no outstanding request.
fn is_usable(idle: &IdleConnection, newest: Option<Duration>, now: Instant) -> bool {
    let mut byte = [0u8; 1];
    idle.expires_at > now
        && newest.is_none_or(|newest| now.duration_since(idle.idle_since) <= newest)
        && matches!(idle.stream.try_read(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

/// Counts a call as active until it is dropped.
struct ActiveCall<'a> {
    pool: &'a ConnectionPool,
    addr: &'a str,
}

impl Drop for ActiveCall<'_> {
    fn drop(&mut self) {
        let mut servers = self.pool.servers.lock().unwrap();
        if let Some(connections) = servers.get_mut(self.addr) {
            connections.active -= 1;
            if connections.active == 0 && connections.idle.is_empty() {
                servers.remove(self.addr);
            }
        }
    }
}

impl ConnectionPool {
    /// Creates a pool that keeps an idle connection for `idle_timeout`, unless its server names
    /// another time in `Keep-Alive`.
    pub fn new(idle_timeout: Duration) -> Arc<ConnectionPool> {
        let unidentified = Mutex::new(UnidentifiedAnswers::new(idle_timeout * UNIDENTIFIED_RETENTION_FACTOR));
        Arc::new(ConnectionPool { servers: Mutex::default(), idle_timeout, hasher: RandomState::new(), unidentified })
    }

    /// Takes the most recently used idle connection that has not carried a request with this id. If
    /// there are only connections that have, the oldest is closed and the caller opens a new one.
    fn take_idle(&self, address: &str, newest: Option<Duration>, id_hash: u64) -> Option<(TcpStream, SentIds)> {
        let mut servers = self.servers.lock().unwrap();
        let idle = &mut servers.get_mut(address)?.idle;
        let now = Instant::now();
        let mut skipped = None;
        while let Some(index) = skipped.unwrap_or(idle.len()).checked_sub(1) {
            if !is_usable(&idle[index], newest, now) {
                idle.remove(index);
                skipped = skipped.map(|_| index);
            } else if idle[index].sent.may_contain(id_hash) {
                skipped = Some(index);
            } else {
                let IdleConnection { stream, sent, .. } = idle.remove(index);
                return Some((stream, sent));
            }
        }
        if let Some(oldest) = skipped {
            telemetry::count("connections_with_the_same_id");
            idle.remove(oldest);
        }
        None
    }

    /// Closes expired idle connections, and all idle connections to servers for which `is_known` is
    /// false.
    pub fn sweep(&self, is_known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.servers.lock().unwrap().retain(|addr, connections| {
            if !is_known(addr) {
                connections.idle.clear();
            }
            connections.idle.retain(|idle| idle.expires_at > now);
            connections.active > 0 || !connections.idle.is_empty()
        });
        self.unidentified.lock().unwrap().sweep(now);
    }

    /// The addresses of the servers whose responses do not repeat the request id. No call to them
    /// can succeed.
    pub fn unidentified(&self) -> Vec<String> {
        self.unidentified.lock().unwrap().servers()
    }

    /// Records whether the responses of a server repeat the request id, and logs a server that
    /// leaves it out.
    fn note_identification(&self, address: &str, host: &str, has_own_answer: bool, has_unidentified: bool) {
        let mut unidentified = self.unidentified.lock().unwrap();
        if has_own_answer {
            unidentified.identified(address);
        } else if has_unidentified && unidentified.missing(address, Instant::now()) {
            telemetry::count("processors_without_id");
            telemetry::error!(
                "answers do not repeat X-Attempt-Id, none of its runs can end: processor={address} host={host}"
            );
        }
    }

    /// Opens a connection and keeps it for 1 s for the next call. An error tells a refused connection
    /// (`NotSent`) from a time-out (`Silent`).
    pub async fn open(&self, addr: &str, timeout: Duration) -> Result<(), SendError> {
        match tokio::time::timeout(timeout, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                let now = Instant::now();
                let mut servers = self.servers.lock().unwrap();
                servers.entry(addr.to_owned()).or_default().idle.push(IdleConnection {
                    stream,
                    sent: SentIds::default(),
                    idle_since: now,
                    expires_at: now + Duration::from_secs(1),
                });
                Ok(())
            }
            Ok(Err(_)) => Err(SendError::NotSent),
            Err(_) => Err(SendError::Silent),
        }
    }

    /// Sends a request and reads the complete response. Fails with `NotSent` if `limit` calls to
    /// this address are already under way.
    pub async fn call(&self, addr: &str, call: Call<'_>, limit: usize, timeout: Duration) -> Result<Answer, SendError> {
        {
            let mut servers = self.servers.lock().unwrap();
            let connections = servers.entry(addr.to_owned()).or_default();
            if connections.active >= limit {
                return Err(SendError::NotSent);
            }
            connections.active += 1;
        }
        let _active = ActiveCall { pool: self, addr };
        let deadline = tokio::time::Instant::now() + timeout;
        let connect_timeout = call.connect.map_or(timeout / 4, |connect| connect.min(timeout));
        // A response without an id can be matched to its request only if the connection carries a
        // single request.
        let has_id = !call.id.is_empty();
        let id_hash = self.hasher.hash_one(call.id);
        let reused = if has_id { self.take_idle(addr, call.newest, id_hash) } else { None };
        let (mut stream, mut sent) = match reused {
            Some(reused) => reused,
            None => match tokio::time::timeout(connect_timeout, TcpStream::connect(addr)).await {
                Ok(Ok(s)) => {
                    let _ = s.set_nodelay(true);
                    telemetry::count("connections_opened");
                    (s, SentIds::default())
                }
                _ => return Err(SendError::NotSent),
            },
        };
        let mut out = BytesMut::with_capacity(256 + call.body.len());
        for part in [call.method, " ", call.path, " HTTP/1.1\r\nHost: ", call.host, "\r\n"] {
            out.put_slice(part.as_bytes());
        }
        for (n, v) in call.headers {
            for part in [n, ": ", v, "\r\n"] {
                out.put_slice(part.as_bytes());
            }
        }
        if !call.body.is_empty() || call.method != "GET" {
            out.put_slice(format!("Content-Length: {}\r\n", call.body.len()).as_bytes());
        }
        out.put_slice(b"\r\n");
        out.put_slice(call.body);
        sent.insert(id_hash);
        let mut has_unidentified = false;
        let exchange = async {
            stream.write_all(&out).await.map_err(|_| SendError::Lost)?;
            read_own_answer(&mut stream, &call, &mut has_unidentified).await
        };
        let exchanged = tokio::time::timeout_at(deadline, exchange).await.unwrap_or(Err(SendError::Silent));
        if has_id {
            self.note_identification(addr, call.host, exchanged.is_ok(), has_unidentified);
        }
        let (answer, has_surplus) = exchanged?;
        if answer.keep && !has_surplus && has_id && !sent.is_full() {
            let server_timeout = answer.header("keep-alive").and_then(keep_alive_timeout);
            // Three quarters of the server's time-out, so that a request is not sent while the server
            // closes the connection.
            let timeout = server_timeout.map_or(self.idle_timeout, |time| (time * 3 / 4).min(MAX_IDLE_TIMEOUT));
            let mut servers = self.servers.lock().unwrap();
            if let Some(connections) = servers.get_mut(addr) {
                let (idle_since, expires_at) = (Instant::now(), Instant::now() + timeout);
                connections.idle.push(IdleConnection { stream, sent, idle_since, expires_at });
            }
        }
        Ok(answer)
    }
}

/// Reads responses until the one that repeats the id of this call. A response with another id, such
/// as a late duplicate, or without one says nothing about this call and is discarded. The flag that
/// is returned says that the connection must not be reused, as it carried surplus bytes.
/// `has_unidentified` is set at the first response without an id.
async fn read_own_answer(
    stream: &mut TcpStream,
    call: &Call<'_>,
    has_unidentified: &mut bool,
) -> Result<(Answer, bool), SendError> {
    let mut buf = BytesMut::with_capacity(2 << 10);
    let mut has_surplus = false;
    loop {
        let answer = read_answer(stream, call.method == "HEAD", &mut buf).await?;
        match answer.header("x-attempt-id") {
            Some(id) if !call.id.is_empty() && id != call.id => telemetry::count("answers_of_others"),
            None if !call.id.is_empty() => {
                telemetry::count("answers_without_id");
                *has_unidentified = true;
            }
            _ => return Ok((answer, has_surplus || !buf.is_empty())),
        }
        has_surplus = true;
    }
}

async fn read_answer(stream: &mut TcpStream, answers_head: bool, buf: &mut BytesMut) -> Result<Answer, SendError> {
    let (mut answer, framing) = loop {
        match take_answer_head(buf, answers_head) {
            Ok(Some((a, _))) if a.status < 200 => continue,
            Ok(Some(h)) => break h,
            Ok(None) => {}
            Err(_) => return Err(SendError::Lost),
        }
        buf.reserve(1 << 10);
        match stream.read_buf(buf).await {
            Ok(n) if n > 0 => {}
            _ => return Err(SendError::Lost),
        }
    };
    let limit = 64 << 20;
    match framing {
        Framing::None => {}
        Framing::Length(n) => {
            if n > limit {
                return Err(SendError::Lost);
            }
            while buf.len() < n {
                buf.reserve((n - buf.len()).min(64 << 10));
                match stream.read_buf(buf).await {
                    Ok(k) if k > 0 => {}
                    _ => return Err(SendError::Lost),
                }
            }
            answer.body = buf.split_to(n).freeze();
        }
        Framing::Chunked => {
            let mut chunks = Chunks::default();
            answer.body = loop {
                match chunks.take(buf, limit) {
                    Ok(Some(b)) => break b,
                    Ok(None) => {}
                    Err(_) => return Err(SendError::Lost),
                }
                buf.reserve(2 << 10);
                match stream.read_buf(buf).await {
                    Ok(k) if k > 0 => {}
                    _ => return Err(SendError::Lost),
                }
            };
        }
        Framing::UntilClose => {
            while buf.len() < limit {
                buf.reserve(2 << 10);
                match stream.read_buf(buf).await {
                    Ok(0) => break,
                    Ok(_) => {}
                    Err(_) => return Err(SendError::Lost),
                }
            }
            answer.body = std::mem::take(buf).freeze();
        }
    }
    Ok(answer)
}
