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

/// The maximum frame length in bytes; a larger frame closes its connection.
pub const FRAME_LIMIT: usize = 4 << 20;

/// Appends one frame: the length as a big-endian `u32`, then the encoded envelope.
pub fn put_frame(out: &mut BytesMut, envelope: &Envelope) {
    let len = envelope.encoded_len();
    out.reserve(len + 4);
    out.extend_from_slice(&(len as u32).to_be_bytes());
    envelope.encode(out).expect("room was reserved");
    if let Some(body) = &envelope.body {
        let (frames, bytes) = &SENT_BY_KIND[message_kind(body)];
        frames.fetch_add(1, Ordering::Relaxed);
        bytes.fetch_add(len as u64 + 4, Ordering::Relaxed);
    }
}

const KIND_COUNT: usize = 40;

/// Frames and bytes sent by this process, by message kind.
static SENT_BY_KIND: [(AtomicU64, AtomicU64); KIND_COUNT] =
    [const { (AtomicU64::new(0), AtomicU64::new(0)) }; KIND_COUNT];

fn message_kind(body: &Body) -> usize {
    match body {
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

/// Returns what this process has sent so far, formatted as `kind=frames/bytes`, in descending order
/// of bytes.
pub fn sent_frame_stats() -> String {
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
    let bytes_and_frames =
        |n: usize| (SENT_BY_KIND[n].1.load(Ordering::Relaxed), SENT_BY_KIND[n].0.load(Ordering::Relaxed));
    let entry = |(n, name): (usize, &&'static str)| {
        let (bytes, frames) = bytes_and_frames(n);
        (bytes, frames, *name)
    };
    let mut kinds: Vec<(u64, u64, &str)> = names.iter().enumerate().map(entry).filter(|s| s.1 > 0).collect();
    kinds.sort_unstable_by(|a, b| b.cmp(a));
    kinds.iter().map(|(bytes, frames, name)| format!("{name}={frames}/{bytes}")).collect::<Vec<_>>().join(" ")
}

/// Removes one complete frame from the front of the buffer, if there is one.
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

/// Disables Nagle's algorithm, and makes the kernel end the connection when the peer does not
/// acknowledge data or keep-alive probes for about `peer_timeout`.
pub fn configure_socket(stream: &TcpStream, peer_timeout: Duration) {
    let _ = stream.set_nodelay(true);
    let sock = socket2::SockRef::from(stream);
    let _ = sock.set_tcp_user_timeout(Some(peer_timeout));
    let interval = (peer_timeout / 3).max(Duration::from_secs(1));
    let _ = sock.set_tcp_keepalive(&socket2::TcpKeepalive::new().with_time(interval).with_interval(interval));
}

/// The queue of replies on one connection; they are written in batches.
#[derive(Clone)]
pub struct FrameWriter(mpsc::UnboundedSender<Envelope>);

/// Answers one call. If it is dropped without `send`, the caller gets no answer.
pub struct Responder {
    writer: FrameWriter,
    call: u64,
    connection: u64,
}

impl Responder {
    /// Returns the connection's number, which `serve_with_disconnect_hook` passes to `ended`.
    pub fn connection_id(&self) -> u64 {
        self.connection
    }

    pub fn send(self, body: Body) {
        if self.call != 0 {
            let _ = self.writer.0.send(Envelope { call: self.call, reply: true, body: Some(body) });
        }
    }
}

/// Accepts internal connections and passes each request to `handle`.
pub async fn serve<F>(listener: TcpListener, peer_timeout: Duration, handle: F)
where
    F: Fn(Body, Responder) + Send + Sync + 'static,
{
    serve_with_disconnect_hook(listener, peer_timeout, handle, |_| ()).await;
}

/// As `serve`; calls `ended` with the number of each connection that has ended.
pub async fn serve_with_disconnect_hook<F, E>(listener: TcpListener, peer_timeout: Duration, handle: F, ended: E)
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
        configure_socket(&stream, peer_timeout);
        connection += 1;
        let (handle, ended) = (handle.clone(), ended.clone());
        tokio::spawn(telemetry::contained(async move {
            let _notifier = DisconnectNotifier { connection, ended: &*ended };
            read_requests(stream, connection, &*handle).await;
        }));
    }
}

/// Reports the end of a connection on drop, also if its task panics.
struct DisconnectNotifier<'a, E: Fn(u64)> {
    connection: u64,
    ended: &'a E,
}

impl<E: Fn(u64)> Drop for DisconnectNotifier<'_, E> {
    fn drop(&mut self) {
        (self.ended)(self.connection);
    }
}

async fn read_requests(stream: TcpStream, connection: u64, handle: &(impl Fn(Body, Responder) + Send + Sync)) {
    let (mut read, write) = stream.into_split();
    let (tx, rx) = mpsc::unbounded_channel();
    let writer = FrameWriter(tx);
    tokio::spawn(write_replies(write, rx));
    let mut buf = BytesMut::with_capacity(8 << 10);
    loop {
        loop {
            match take_frame(&mut buf) {
                Ok(Some(e)) => {
                    if let Some(body) = e.body.filter(|_| !e.reply) {
                        handle(body, Responder { writer: writer.clone(), call: e.call, connection });
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

async fn write_replies(mut write: tokio::net::tcp::OwnedWriteHalf, mut rx: mpsc::UnboundedReceiver<Envelope>) {
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

/// A call that waits for its reply.
struct PendingCall {
    tx: oneshot::Sender<Result<Body, ExecutionOutcome>>,
    /// When its frame was written; until then the call cannot have run.
    written: Option<Instant>,
}

impl PendingCall {
    fn fail(self) {
        let execution = if self.written.is_some() { ExecutionOutcome::MayHaveRun } else { ExecutionOutcome::NotRun };
        let _ = self.tx.send(Err(execution));
    }
}

type PendingCalls = Arc<Mutex<HashMap<u64, PendingCall>>>;

struct Connection {
    tx: mpsc::UnboundedSender<Envelope>,
    pending: PendingCalls,
    /// When data from the peer was last received.
    last_received: Arc<Mutex<Instant>>,
    /// When a written call last timed out without a reply.
    timed_out: Option<Instant>,
}

/// A client for one address. It connects on first use and reconnects after a failure.
pub struct RpcClient {
    addr: String,
    peer_timeout: Duration,
    connection: Mutex<Option<Connection>>,
    next_call: AtomicU64,
}

impl RpcClient {
    pub fn new(addr: &str, peer_timeout: Duration) -> Arc<RpcClient> {
        Arc::new(RpcClient {
            addr: addr.into(),
            peer_timeout,
            connection: Mutex::new(None),
            next_call: AtomicU64::new(1),
        })
    }

    pub fn addr(&self) -> &str {
        &self.addr
    }

    /// Returns whether a call has been without a reply for longer than `bound` and nothing else was
    /// received in that time: the peer is down, hung or unreachable. A call that timed out keeps
    /// counting for `peer_timeout`, after which the connection itself ends.
    pub fn is_unresponsive(&self, bound: Duration) -> bool {
        let connection = self.connection.lock().unwrap();
        let Some(conn) = connection.as_ref().filter(|conn| !conn.tx.is_closed()) else { return false };
        let exceeds_bound = |at: Instant| at.elapsed() > bound;
        let last_received = *conn.last_received.lock().unwrap();
        let timed_out = conn.timed_out.is_some_and(|at| at > last_received && at.elapsed() < self.peer_timeout);
        exceeds_bound(last_received)
            && (timed_out || conn.pending.lock().unwrap().values().any(|w| w.written.is_some_and(exceeds_bound)))
    }

    fn push(self: &Arc<Self>, envelope: Envelope, reply_tx: Option<oneshot::Sender<Result<Body, ExecutionOutcome>>>) {
        let mut connection = self.connection.lock().unwrap();
        if connection.as_ref().is_none_or(|conn| conn.tx.is_closed()) {
            let (tx, rx) = mpsc::unbounded_channel();
            let pending: PendingCalls = Arc::default();
            let last_received = Arc::new(Mutex::new(Instant::now()));
            tokio::spawn(run_connection(
                self.addr.clone(),
                self.peer_timeout,
                rx,
                pending.clone(),
                last_received.clone(),
            ));
            *connection = Some(Connection { tx, pending, last_received, timed_out: None });
        }
        let conn = connection.as_ref().expect("set above");
        let call = envelope.call;
        if let Some(tx) = reply_tx {
            conn.pending.lock().unwrap().insert(call, PendingCall { tx, written: None });
        }
        if conn.tx.send(envelope).is_err()
            && let Some(w) = conn.pending.lock().unwrap().remove(&call)
        {
            w.fail();
        }
    }

    /// Sends a message that has no reply.
    pub fn send(self: &Arc<Self>, body: Body) {
        self.push(Envelope { call: 0, reply: false, body: Some(body) }, None);
    }

    /// Sends a request and waits for the reply; the error says whether the request may have run.
    pub async fn call(self: &Arc<Self>, body: Body, timeout: Duration) -> Result<Body, ExecutionOutcome> {
        let (tx, rx) = oneshot::channel();
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        self.push(Envelope { call, reply: false, body: Some(body) }, Some(tx));
        match tokio::time::timeout(timeout, rx).await {
            Ok(Ok(r)) => r,
            Ok(Err(_)) => Err(ExecutionOutcome::MayHaveRun),
            Err(_) => {
                // Removing the call keeps a queued request from being written later.
                let mut connection = self.connection.lock().unwrap();
                let Some(conn) = connection.as_mut() else { return Err(ExecutionOutcome::MayHaveRun) };
                let removed = conn.pending.lock().unwrap().remove(&call);
                match removed {
                    Some(PendingCall { written: None, .. }) => Err(ExecutionOutcome::NotRun),
                    Some(_) => {
                        conn.timed_out = Some(Instant::now());
                        Err(ExecutionOutcome::MayHaveRun)
                    }
                    None => Err(ExecutionOutcome::MayHaveRun),
                }
            }
        }
    }
}

fn fail_pending(pending: &PendingCalls) {
    for (_, w) in pending.lock().unwrap().drain() {
        w.fail();
    }
}

/// Appends a frame to the write buffer, unless it is a call whose caller no longer waits.
fn put_unless_abandoned(out: &mut BytesMut, e: &Envelope, pending: &PendingCalls) {
    if e.call != 0 {
        let mut pending = pending.lock().unwrap();
        match pending.get_mut(&e.call) {
            Some(w) if !w.tx.is_closed() => w.written = Some(Instant::now()),
            // The caller dropped the call, or it timed out.
            _ => {
                pending.remove(&e.call);
                return;
            }
        }
    }
    put_frame(out, e);
}

/// Returns whether the machine at that address refuses the connection. A time-out does not count as
/// a refusal.
pub async fn refuses_connections(addr: &str, within: Duration) -> bool {
    let tried = tokio::time::timeout(within, TcpStream::connect(addr)).await;
    matches!(tried, Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused)
}

/// Connects, with several short attempts within `peer_timeout`. If the machine was unreachable when
/// the first SYN was sent, a single attempt would succeed only when the kernel retransmits it,
/// seconds later.
async fn connect(addr: &str, peer_timeout: Duration) -> Option<TcpStream> {
    let deadline = tokio::time::Instant::now() + peer_timeout;
    while tokio::time::Instant::now() < deadline {
        match tokio::time::timeout(peer_timeout / 8, TcpStream::connect(addr)).await {
            Ok(s) => return s.ok(),
            Err(_) => telemetry::count("connects_again"),
        }
    }
    None
}

async fn run_connection(
    addr: String,
    peer_timeout: Duration,
    mut rx: mpsc::UnboundedReceiver<Envelope>,
    pending: PendingCalls,
    last_received: Arc<Mutex<Instant>>,
) {
    let Some(stream) = connect(&addr, peer_timeout).await else {
        rx.close();
        fail_pending(&pending);
        return;
    };
    configure_socket(&stream, peer_timeout);
    let (mut read, mut write) = stream.into_split();
    let reader_pending = pending.clone();
    let reader = async move {
        let mut buf = BytesMut::with_capacity(8 << 10);
        loop {
            while let Some(e) = take_frame(&mut buf).map_err(io::Error::other)? {
                if !e.reply {
                    telemetry::count("inner_answers_unwanted");
                    continue;
                }
                let w = reader_pending.lock().unwrap().remove(&e.call);
                match (w, e.body) {
                    (Some(w), Some(b)) => drop(w.tx.send(Ok(b))),
                    (Some(w), None) => w.fail(),
                    // The call was dropped or timed out.
                    (None, _) => telemetry::count("inner_answers_unwanted"),
                }
            }
            buf.reserve(4 << 10);
            if read.read_buf(&mut buf).await? == 0 {
                return Err::<(), io::Error>(io::ErrorKind::UnexpectedEof.into());
            }
            *last_received.lock().unwrap() = Instant::now();
        }
    };
    let writer = async {
        let mut out = BytesMut::new();
        while let Some(e) = rx.recv().await {
            put_unless_abandoned(&mut out, &e, &pending);
            while out.len() < 256 << 10 {
                match rx.try_recv() {
                    Ok(e) => put_unless_abandoned(&mut out, &e, &pending),
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
    fail_pending(&pending);
}

/// The clients for all addresses in use.
pub struct RpcClients {
    peer_timeout: Duration,
    clients: Mutex<HashMap<String, Arc<RpcClient>>>,
}

impl RpcClients {
    pub fn new(peer_timeout: Duration) -> Arc<RpcClients> {
        Arc::new(RpcClients { peer_timeout, clients: Mutex::default() })
    }

    pub fn to(&self, addr: &str) -> Arc<RpcClient> {
        let mut clients = self.clients.lock().unwrap();
        if let Some(client) = clients.get(addr) {
            return client.clone();
        }
        let client = RpcClient::new(addr, self.peer_timeout);
        clients.insert(addr.to_owned(), client.clone());
        client
    }
}
