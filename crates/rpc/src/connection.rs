use crate::ExecutionOutcome;
use crate::messages::{Body, Envelope};
use bytes::{Buf, Bytes, BytesMut};
use prost::Message;
use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// The largest frame that is taken; a larger one closes its connection.
pub const FRAME_LIMIT: usize = 4 << 20;

/// Appends one frame: its length in four bytes, then the envelope.
pub fn put_frame(out: &mut BytesMut, envelope: &Envelope) {
    let len = envelope.encoded_len();
    out.reserve(len + 4);
    out.extend_from_slice(&(len as u32).to_be_bytes());
    envelope.encode(out).expect("room was reserved");
    if let Some(b) = &envelope.body {
        let (frames, bytes) = &SENT[kind(b)];
        frames.fetch_add(1, Ordering::Relaxed);
        bytes.fetch_add(len as u64 + 4, Ordering::Relaxed);
    }
}

/// How many kinds of messages there are.
const KINDS: usize = 40;

/// Frames and bytes sent by this process, by kind.
static SENT: [(AtomicU64, AtomicU64); KINDS] = [const { (AtomicU64::new(0), AtomicU64::new(0)) }; KINDS];

fn kind(b: &Body) -> usize {
    match b {
        Body::WatchRequest(_) => 0,
        Body::ViewUpdate(_) => 1,
        Body::Lease(_) => 2,
        Body::LeaseAck(_) => 3,
        Body::Order(_) => 4,
        Body::OrderAck(_) => 5,
        Body::RaftNode(_) => 6,
        Body::Accept(_) => 7,
        Body::Accepted(_) => 8,
        Body::Lookup(_) => 9,
        Body::Found(_) => 10,
        Body::Run(_) => 11,
        Body::RunAck(_) => 12,
        Body::Report(_) => 13,
        Body::ReportAck(_) => 14,
        Body::Holding(_) => 15,
        Body::Held(_) => 16,
        Body::Notify(_) => 17,
        Body::NotifyAck(_) => 18,
        Body::Entries(_) => 19,
        Body::EntriesAck(_) => 20,
        Body::Chunk(_) => 21,
        Body::Status(_) => 22,
        Body::StatusAck(_) => 23,
        Body::Gossip(_) => 24,
        Body::Ack(_) => 25,
        Body::SlotRequest(_) => 26,
        Body::SlotGrant(_) => 27,
        Body::SlotRelease(_) => 28,
        Body::SlotsHeld(_) => 29,
        Body::Start(_) => 30,
        Body::StartAck(_) => 31,
        Body::Stop(_) => 32,
        Body::ProcessorsRequest(_) => 33,
        Body::Processors(_) => 34,
        Body::ColdLease(_) => 35,
        Body::ColdLeaseAck(_) => 36,
        Body::QuotaRequest(_) => 37,
        Body::QuotaResponse(_) => 38,
        Body::Place(_) => 39,
    }
}

/// What this process has sent to others so far: `kind=frames/bytes`, most first.
pub fn sent() -> String {
    let names = [
        "watch",
        "news",
        "lease",
        "lease_ack",
        "order",
        "order_ack",
        "raft",
        "accept",
        "accepted",
        "lookup",
        "found",
        "run",
        "run_ack",
        "report",
        "report_ack",
        "holding",
        "held",
        "notify",
        "notify_ack",
        "entries",
        "entries_ack",
        "chunk",
        "status",
        "status_ack",
        "gossip",
        "ack",
        "slot_ask",
        "slot_grant",
        "slot_back",
        "slots_held",
        "start",
        "start_ack",
        "stop",
        "units_ask",
        "units",
        "cold_lease",
        "cold_lease_ack",
        "quota_request",
        "quota_response",
        "place",
    ];
    let load = |n: usize| (SENT[n].1.load(Ordering::Relaxed), SENT[n].0.load(Ordering::Relaxed));
    let mut all: Vec<(u64, u64, &str)> =
        names.iter().enumerate().map(|(n, name)| (load(n).0, load(n).1, *name)).filter(|s| s.1 > 0).collect();
    all.sort_unstable_by(|a, b| b.cmp(a));
    all.iter().map(|(bytes, frames, name)| format!("{name}={frames}/{bytes}")).collect::<Vec<_>>().join(" ")
}

/// Takes one whole frame off the front, if there is one.
pub fn take_frame(buf: &mut BytesMut) -> Result<Option<Envelope>, &'static str> {
    if buf.len() < 4 {
        return Ok(None);
    }
    let len = u32::from_be_bytes([buf[0], buf[1], buf[2], buf[3]]) as usize;
    if len > FRAME_LIMIT {
        return Err("frame too large");
    }
    if buf.len() < 4 + len {
        return Ok(None);
    }
    buf.advance(4);
    let frame: Bytes = buf.split_to(len).freeze();
    Envelope::decode(frame).map(Some).map_err(|_| "frame cannot be read")
}

pub fn tune(stream: &TcpStream, silence: Duration) {
    let _ = stream.set_nodelay(true);
    let sock = socket2::SockRef::from(stream);
    let _ = sock.set_tcp_user_timeout(Some(silence));
    let probe = (silence / 3).max(Duration::from_secs(1));
    let _ = sock.set_tcp_keepalive(&socket2::TcpKeepalive::new().with_time(probe).with_interval(probe));
}

/// Where replies to one connection are put; written in batches.
#[derive(Clone)]
pub struct FrameWriter(mpsc::UnboundedSender<Envelope>);

/// The right to answer one call. Dropped unused, the caller waits in vain.
pub struct Responder {
    mouth: FrameWriter,
    call: u64,
    connection: u64,
}

impl Responder {
    /// Tells connections apart, for whoever wants to know when one has ended.
    pub fn connection(&self) -> u64 {
        self.connection
    }

    pub fn send(self, body: Body) {
        if self.call != 0 {
            let _ = self.mouth.0.send(Envelope { call: self.call, reply: true, body: Some(body) });
        }
    }
}

/// Takes inner connections and hands every frame to `handle`.
pub async fn serve<F>(listener: TcpListener, silence: Duration, handle: F)
where
    F: Fn(Body, Responder) + Send + Sync + 'static,
{
    serve_and_tell(listener, silence, handle, |_| ()).await;
}

/// As `serve`; `ended` is told when a connection has ended.
pub async fn serve_and_tell<F, E>(listener: TcpListener, silence: Duration, handle: F, ended: E)
where
    F: Fn(Body, Responder) + Send + Sync + 'static,
    E: Fn(u64) + Send + Sync + 'static,
{
    let (handle, ended) = (Arc::new(handle), Arc::new(ended));
    let mut connection = 0u64;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        tune(&stream, silence);
        connection += 1;
        let (handle, ended) = (handle.clone(), ended.clone());
        tokio::spawn(telemetry::contained(async move {
            let _end = ConnectionEnd { connection, ended: &*ended };
            read_all(stream, connection, &*handle).await;
        }));
    }
}

/// Tells the end of a connection, however its task ends.
struct ConnectionEnd<'a, E: Fn(u64)> {
    connection: u64,
    ended: &'a E,
}

impl<E: Fn(u64)> Drop for ConnectionEnd<'_, E> {
    fn drop(&mut self) {
        (self.ended)(self.connection);
    }
}

async fn read_all(stream: TcpStream, connection: u64, handle: &(impl Fn(Body, Responder) + Send + Sync)) {
    let (mut read, write) = stream.into_split();
    let (tx, rx) = mpsc::unbounded_channel();
    let mouth = FrameWriter(tx);
    tokio::spawn(write_all(write, rx));
    let mut buf = BytesMut::with_capacity(8 << 10);
    loop {
        loop {
            match take_frame(&mut buf) {
                Ok(Some(e)) => {
                    if let Some(body) = e.body.filter(|_| !e.reply) {
                        handle(body, Responder { mouth: mouth.clone(), call: e.call, connection });
                    }
                }
                Ok(None) => break,
                Err(_) => {
                    telemetry::count("inner_bad_frames");
                    return;
                }
            }
        }
        buf.reserve(4 << 10);
        match read.read_buf(&mut buf).await {
            Ok(n) if n > 0 => {}
            _ => return,
        }
    }
}

async fn write_all(mut write: tokio::net::tcp::OwnedWriteHalf, mut rx: mpsc::UnboundedReceiver<Envelope>) {
    let mut out = BytesMut::new();
    while let Some(e) = rx.recv().await {
        put_frame(&mut out, &e);
        while out.len() < 256 << 10 {
            match rx.try_recv() {
                Ok(e) => put_frame(&mut out, &e),
                Err(_) => break,
            }
        }
        if write.write_all(&out).await.is_err() {
            return;
        }
        if out.capacity() > 64 << 10 {
            out = BytesMut::new();
        }
        out.clear();
    }
    let _ = write.shutdown().await;
}

/// A call that is waited for.
struct Wait {
    tx: oneshot::Sender<Result<Body, ExecutionOutcome>>,
    /// When its frame went to the network; until then it cannot have run.
    written: Option<Instant>,
}

impl Wait {
    fn fail(self) {
        let execution = if self.written.is_some() { ExecutionOutcome::MayHaveRun } else { ExecutionOutcome::NotRun };
        let _ = self.tx.send(Err(execution));
    }
}

type Waiting = Arc<Mutex<HashMap<u64, Wait>>>;

struct Live {
    tx: mpsc::UnboundedSender<Envelope>,
    waiting: Waiting,
    /// When the other side was heard last.
    heard: Arc<Mutex<Instant>>,
    /// When a written call was last given up unanswered.
    given_up: Option<Instant>,
}

/// The calling end of a connection to one address; connects when first used,
/// and again after a failure.
pub struct RpcClient {
    addr: String,
    silence: Duration,
    live: Mutex<Option<Live>>,
    next: AtomicU64,
}

impl RpcClient {
    pub fn new(addr: &str, silence: Duration) -> Arc<RpcClient> {
        Arc::new(RpcClient { addr: addr.into(), silence, live: Mutex::new(None), next: AtomicU64::new(1) })
    }

    pub fn addr(&self) -> &str {
        &self.addr
    }

    /// Whether a call has gone unanswered for so long, with nothing else heard
    /// meanwhile: the other side is dark, frozen or cut off. One that was given up
    /// unanswered still says so for the bound after which the connection itself ends.
    pub fn stuck(&self, bound: Duration) -> bool {
        let live = self.live.lock().unwrap();
        let Some(l) = live.as_ref().filter(|l| !l.tx.is_closed()) else { return false };
        let old = |at: Instant| at.elapsed() > bound;
        let heard = *l.heard.lock().unwrap();
        let given_up = l.given_up.is_some_and(|at| at > heard && at.elapsed() < self.silence);
        old(heard) && (given_up || l.waiting.lock().unwrap().values().any(|w| w.written.is_some_and(old)))
    }

    fn push(self: &Arc<Self>, envelope: Envelope, wait: Option<oneshot::Sender<Result<Body, ExecutionOutcome>>>) {
        let mut live = self.live.lock().unwrap();
        if live.as_ref().is_none_or(|l| l.tx.is_closed()) {
            let (tx, rx) = mpsc::unbounded_channel();
            let waiting: Waiting = Arc::default();
            let heard = Arc::new(Mutex::new(Instant::now()));
            tokio::spawn(run(self.addr.clone(), self.silence, rx, waiting.clone(), heard.clone()));
            *live = Some(Live { tx, waiting, heard, given_up: None });
        }
        let l = live.as_ref().expect("set above");
        let call = envelope.call;
        if let Some(tx) = wait {
            l.waiting.lock().unwrap().insert(call, Wait { tx, written: None });
        }
        if l.tx.send(envelope).is_err()
            && let Some(w) = l.waiting.lock().unwrap().remove(&call)
        {
            w.fail();
        }
    }

    /// Sends without wanting a reply.
    pub fn send(self: &Arc<Self>, body: Body) {
        self.push(Envelope { call: 0, reply: false, body: Some(body) }, None);
    }

    /// Sends and waits for the reply; the error says whether it may have run.
    pub async fn call(self: &Arc<Self>, body: Body, timeout: Duration) -> Result<Body, ExecutionOutcome> {
        let (tx, rx) = oneshot::channel();
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        self.push(Envelope { call, reply: false, body: Some(body) }, Some(tx));
        match tokio::time::timeout(timeout, rx).await {
            Ok(Ok(r)) => r,
            Ok(Err(_)) => Err(ExecutionOutcome::MayHaveRun),
            Err(_) => {
                // What nobody waits for any more is not written later.
                let mut live = self.live.lock().unwrap();
                let Some(l) = live.as_mut() else { return Err(ExecutionOutcome::MayHaveRun) };
                let removed = l.waiting.lock().unwrap().remove(&call);
                match removed {
                    Some(Wait { written: None, .. }) => Err(ExecutionOutcome::NotRun),
                    Some(_) => {
                        l.given_up = Some(Instant::now());
                        Err(ExecutionOutcome::MayHaveRun)
                    }
                    None => Err(ExecutionOutcome::MayHaveRun),
                }
            }
        }
    }
}

fn fail_all(waiting: &Waiting) {
    for (_, w) in waiting.lock().unwrap().drain() {
        w.fail();
    }
}

/// Puts a frame into the buffer that goes to the network next, unless it is a
/// call that nobody waits for any more.
fn put_wanted(out: &mut BytesMut, e: &Envelope, waiting: &Waiting) {
    if e.call != 0 {
        let mut waiting = waiting.lock().unwrap();
        match waiting.get_mut(&e.call) {
            Some(w) if !w.tx.is_closed() => w.written = Some(Instant::now()),
            // Its caller has turned to something else, or the time was up.
            _ => {
                waiting.remove(&e.call);
                return;
            }
        }
    }
    put_frame(out, e);
}

/// Whether the machine at that address says that nobody listens there: silence is
/// not that.
pub async fn refuses(addr: &str, within: Duration) -> bool {
    let tried = tokio::time::timeout(within, TcpStream::connect(addr)).await;
    matches!(tried, Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused)
}

/// Tries again in short steps while nobody answers: a machine that was dark for
/// the first packet would else be noticed only when that is repeated, seconds
/// later.
async fn connect(addr: &str, silence: Duration) -> Option<TcpStream> {
    let end = tokio::time::Instant::now() + silence;
    while tokio::time::Instant::now() < end {
        match tokio::time::timeout(silence / 8, TcpStream::connect(addr)).await {
            Ok(s) => return s.ok(),
            Err(_) => telemetry::count("connects_again"),
        }
    }
    None
}

async fn run(
    addr: String,
    silence: Duration,
    mut rx: mpsc::UnboundedReceiver<Envelope>,
    waiting: Waiting,
    heard: Arc<Mutex<Instant>>,
) {
    let Some(stream) = connect(&addr, silence).await else {
        rx.close();
        fail_all(&waiting);
        return;
    };
    tune(&stream, silence);
    let (mut read, mut write) = stream.into_split();
    let incoming = waiting.clone();
    let reader = async move {
        let mut buf = BytesMut::with_capacity(8 << 10);
        loop {
            while let Some(e) = take_frame(&mut buf).map_err(io::Error::other)? {
                if !e.reply {
                    telemetry::count("inner_answers_unwanted");
                    continue;
                }
                let w = incoming.lock().unwrap().remove(&e.call);
                match (w, e.body) {
                    (Some(w), Some(b)) => drop(w.tx.send(Ok(b))),
                    (Some(w), None) => w.fail(),
                    // The call was given up.
                    (None, _) => telemetry::count("inner_answers_unwanted"),
                }
            }
            buf.reserve(4 << 10);
            if read.read_buf(&mut buf).await? == 0 {
                return Err::<(), io::Error>(io::ErrorKind::UnexpectedEof.into());
            }
            *heard.lock().unwrap() = Instant::now();
        }
    };
    let writer = async {
        let mut out = BytesMut::new();
        while let Some(e) = rx.recv().await {
            put_wanted(&mut out, &e, &waiting);
            while out.len() < 256 << 10 {
                match rx.try_recv() {
                    Ok(e) => put_wanted(&mut out, &e, &waiting),
                    Err(_) => break,
                }
            }
            if out.is_empty() {
                continue;
            }
            write.write_all(&out).await?;
            if out.capacity() > 64 << 10 {
                out = BytesMut::new();
            }
            out.clear();
        }
        Ok::<(), io::Error>(())
    };
    tokio::select! { _ = reader => {}, _ = writer => {} }
    rx.close();
    fail_all(&waiting);
}

/// The calling ends to all addresses in use.
pub struct RpcClients {
    silence: Duration,
    ends: Mutex<HashMap<String, Arc<RpcClient>>>,
}

impl RpcClients {
    pub fn new(silence: Duration) -> Arc<RpcClients> {
        Arc::new(RpcClients { silence, ends: Mutex::default() })
    }

    pub fn to(&self, addr: &str) -> Arc<RpcClient> {
        let mut ends = self.ends.lock().unwrap();
        if let Some(t) = ends.get(addr) {
            return t.clone();
        }
        let t = RpcClient::new(addr, self.silence);
        ends.insert(addr.to_owned(), t.clone());
        t
    }
}
