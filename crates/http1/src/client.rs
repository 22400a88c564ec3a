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

/// Why a call to a server brought no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection, or no room for one: nothing was sent.
    NotSent,
    /// Sent, and then closed, reset, broken or silent.
    Lost,
    /// Sent, and silent until the time was up.
    Silent,
}

/// A connection that is kept for the next call.
struct Idle {
    stream: TcpStream,
    sent: SentIds,
    since: Instant,
    until: Instant,
}

#[derive(Default)]
struct Place {
    idle: Vec<Idle>,
    open: usize,
}

/// Kept connections to servers, newest used first.
pub struct ConnectionPool {
    places: Mutex<HashMap<String, Place>>,
    idle: Duration,
    hasher: RandomState,
    unidentified: Mutex<UnidentifiedAnswers>,
}

/// For how many times the idle time of connections a server is remembered that does not
/// name its requests.
const UNIDENTIFIED_FOR: u32 = 60;

/// The longest time that an unused connection is kept, whatever its server says.
const LONGEST_KEPT: Duration = Duration::from_secs(3600);

/// One request to a server.
pub struct Call<'a> {
    /// The method, as on the request line.
    pub method: &'a str,
    /// Path and query, as on the request line.
    pub path: &'a str,
    /// The value of `Host`.
    pub host: &'a str,
    /// Further headers, in their order; lengths and `Host` are added.
    pub headers: &'a [(&'a str, &'a str)],
    /// The whole body.
    pub body: &'a [u8],
    /// The id that the answer is to carry back. Empty: none is sent, and the call has
    /// a connection of its own.
    pub id: &'a str,
    /// Only a connection that was used or opened within this time; None: any kept one.
    pub newest: Option<Duration>,
    /// How long a new connection may take; None: a quarter of the call's time.
    pub connect: Option<Duration>,
}

/// Whether a kept connection may carry another call. One that has something to read was closed, or
/// is out of step.
fn is_usable(idle: &Idle, newest: Option<Duration>, now: Instant) -> bool {
    let mut one = [0u8; 1];
    idle.until > now
        && newest.is_none_or(|newest| now.duration_since(idle.since) <= newest)
        && matches!(idle.stream.try_read(&mut one), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

struct OpenCount<'a> {
    pool: &'a ConnectionPool,
    addr: &'a str,
}

impl Drop for OpenCount<'_> {
    fn drop(&mut self) {
        let mut places = self.pool.places.lock().unwrap();
        if let Some(p) = places.get_mut(self.addr) {
            p.open -= 1;
            if p.open == 0 && p.idle.is_empty() {
                places.remove(self.addr);
            }
        }
    }
}

impl ConnectionPool {
    /// A pool that keeps unused connections for that long.
    pub fn new(idle: Duration) -> Arc<ConnectionPool> {
        let unidentified = Mutex::new(UnidentifiedAnswers::new(idle * UNIDENTIFIED_FOR));
        Arc::new(ConnectionPool { places: Mutex::default(), idle, hasher: RandomState::new(), unidentified })
    }

    /// A kept connection for a call: the newest that has not carried its id. One that has makes
    /// room for a new one.
    fn take_idle(&self, address: &str, newest: Option<Duration>, id_hash: u64) -> Option<(TcpStream, SentIds)> {
        let mut places = self.places.lock().unwrap();
        let idle = &mut places.get_mut(address)?.idle;
        let now = Instant::now();
        let mut passed_over = None;
        while let Some(at) = passed_over.unwrap_or(idle.len()).checked_sub(1) {
            if !is_usable(&idle[at], newest, now) {
                idle.remove(at);
                passed_over = passed_over.map(|_| at);
            } else if idle[at].sent.may_contain(id_hash) {
                passed_over = Some(at);
            } else {
                let Idle { stream, sent, .. } = idle.remove(at);
                return Some((stream, sent));
            }
        }
        if let Some(oldest) = passed_over {
            telemetry::count("connections_with_the_same_id");
            idle.remove(oldest);
        }
        None
    }

    /// Closes what has been idle too long, and all to servers that are gone.
    pub fn sweep(&self, known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.places.lock().unwrap().retain(|addr, p| {
            if !known(addr) {
                p.idle.clear();
            }
            p.idle.retain(|i| i.until > now);
            p.open > 0 || !p.idle.is_empty()
        });
        self.unidentified.lock().unwrap().sweep(now);
    }

    /// The servers whose answers do not name their requests, by address: no call to them
    /// brings anything.
    pub fn unidentified(&self) -> Vec<String> {
        self.unidentified.lock().unwrap().servers()
    }

    /// Notes whether a server's answers name their request, and reports one that leaves
    /// the id out.
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

    /// Opens a connection and keeps it for the next call; tells whether the other
    /// side refused, or was silent.
    pub async fn open(&self, addr: &str, within: Duration) -> Result<(), SendError> {
        match tokio::time::timeout(within, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                let now = Instant::now();
                let mut places = self.places.lock().unwrap();
                let until = now + Duration::from_secs(1);
                places.entry(addr.to_owned()).or_default().idle.push(Idle {
                    stream,
                    sent: SentIds::default(),
                    since: now,
                    until,
                });
                Ok(())
            }
            Ok(Err(_)) => Err(SendError::NotSent),
            Err(_) => Err(SendError::Silent),
        }
    }

    /// Sends one request and reads the whole answer; `limit` connections at the
    /// most are open to that address.
    pub async fn call(&self, addr: &str, call: Call<'_>, limit: usize, within: Duration) -> Result<Answer, SendError> {
        {
            let mut places = self.places.lock().unwrap();
            let place = places.entry(addr.to_owned()).or_default();
            if place.open >= limit {
                return Err(SendError::NotSent);
            }
            place.open += 1;
        }
        let _open = OpenCount { pool: self, addr };
        let end = tokio::time::Instant::now() + within;
        let connect_within = call.connect.map_or(within / 4, |connect| connect.min(within));
        // An answer that names nobody belongs to the one request of its connection, or
        // to nobody knows which.
        let named = !call.id.is_empty();
        let id_hash = self.hasher.hash_one(call.id);
        let kept = if named { self.take_idle(addr, call.newest, id_hash) } else { None };
        let (mut stream, mut sent) = match kept {
            Some(kept) => kept,
            None => match tokio::time::timeout(connect_within, TcpStream::connect(addr)).await {
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
        let exchanged = tokio::time::timeout_at(end, exchange).await.unwrap_or(Err(SendError::Silent));
        if named {
            self.note_identification(addr, call.host, exchanged.is_ok(), has_unidentified);
        }
        let (answer, left) = exchanged?;
        if answer.keep && !left && named && !sent.is_full() {
            let told = answer.header("keep-alive").and_then(keep_alive_timeout);
            // Three quarters of what the server says, so as not to meet its close.
            let kept = told.map_or(self.idle, |time| (time * 3 / 4).min(LONGEST_KEPT));
            let mut places = self.places.lock().unwrap();
            if let Some(p) = places.get_mut(addr) {
                p.idle.push(Idle { stream, sent, since: Instant::now(), until: Instant::now() + kept });
            }
        }
        Ok(answer)
    }
}

/// Reads on until the answer to this very call: a surplus one may come in its
/// place, or one that names nobody, and says nothing of it. Tells whether the
/// connection is out of step; `has_unidentified` is set at the first answer that names
/// nobody.
async fn read_own_answer(
    stream: &mut TcpStream,
    call: &Call<'_>,
    has_unidentified: &mut bool,
) -> Result<(Answer, bool), SendError> {
    let mut buf = BytesMut::with_capacity(2 << 10);
    let mut surplus = false;
    loop {
        let answer = read_answer(stream, call.method == "HEAD", &mut buf).await?;
        match answer.header("x-attempt-id") {
            Some(id) if !call.id.is_empty() && id != call.id => telemetry::count("answers_of_others"),
            None if !call.id.is_empty() => {
                telemetry::count("answers_without_id");
                *has_unidentified = true;
            }
            _ => return Ok((answer, surplus || !buf.is_empty())),
        }
        surplus = true;
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
