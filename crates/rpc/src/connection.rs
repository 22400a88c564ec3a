//! Connections between processes: calls with replies, and messages without one.

use crate::ExecutionOutcome;
use crate::frame::{FrameReader, FrameSummary, Incoming, hello, is_long, max_frame_bytes, put_measured_frame};
use crate::messages::{Body, Envelope};
use bytes::BytesMut;
use prost::Message;
use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};

/// Frames are written in batches of at least this many bytes, if that many wait.
const WRITE_BATCH_BYTES: usize = 256 << 10;
/// A write buffer that has grown beyond this is not kept for the next batch.
const KEPT_BUFFER_BYTES: usize = 64 << 10;
/// Number of the call that introduces a client to its server.
const HELLO_CALL: u64 = u64::MAX;
/// Minimum time between two log lines about frames that exceed a limit.
const LOG_PERIOD: Duration = Duration::from_secs(1);

static REFUSED_FRAME_LOG: telemetry::Throttle = telemetry::Throttle::new();

/// How a process treats the other side of its connections.
#[derive(Clone, Copy, Debug)]
pub struct PeerOptions {
    /// How long the kernel waits for a peer that acknowledges nothing.
    pub timeout: Duration,
    /// The longest frame that this process accepts, in bytes.
    pub max_frame_bytes: usize,
}

impl PeerOptions {
    /// The options of a process with this much memory.
    pub fn new(timeout: Duration, memory_mb: u64) -> PeerOptions {
        PeerOptions { timeout, max_frame_bytes: max_frame_bytes(memory_mb) }
    }
}

impl From<Duration> for PeerOptions {
    /// The options of a process that sends and receives no message bodies.
    fn from(timeout: Duration) -> PeerOptions {
        PeerOptions::new(timeout, 0)
    }
}

/// Counts and logs a frame that exceeds the limit of the process that is to read it.
fn report_refused_frame(counter: &'static str, summary: &FrameSummary, peer: &str, limit: usize) {
    telemetry::count(counter);
    if REFUSED_FRAME_LOG.allows(LOG_PERIOD) {
        telemetry::error!("{summary}, peer {peer}, exceeds the limit of {limit} bytes and is refused ({counter})");
    }
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
pub async fn serve<F>(listener: TcpListener, peers: impl Into<PeerOptions>, handle: F)
where
    F: Fn(Body, Responder) + Send + Sync + 'static,
{
    serve_with_disconnect_hook(listener, peers, handle, |_| ()).await;
}

/// As `serve`; calls `ended` with the number of each connection that has ended.
pub async fn serve_with_disconnect_hook<F, E>(listener: TcpListener, peers: impl Into<PeerOptions>, handle: F, ended: E)
where
    F: Fn(Body, Responder) + Send + Sync + 'static,
    E: Fn(u64) + Send + Sync + 'static,
{
    let peers = peers.into();
    let (handle, ended) = (Arc::new(handle), Arc::new(ended));
    let mut connection = 0u64;
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        configure_socket(&stream, peers.timeout);
        connection += 1;
        let (handle, ended) = (handle.clone(), ended.clone());
        tokio::spawn(telemetry::contained(async move {
            let _notifier = DisconnectNotifier { connection, ended: &*ended };
            let served =
                ServedConnection { connection, peer: peer.to_string(), max_frame_bytes: peers.max_frame_bytes };
            served.read_requests(stream, &*handle).await;
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

/// The server's side of a connection.
struct ServedConnection {
    connection: u64,
    /// Address of the client.
    peer: String,
    /// The longest frame that this process accepts.
    max_frame_bytes: usize,
}

impl ServedConnection {
    async fn read_requests(&self, stream: TcpStream, handle: &(impl Fn(Body, Responder) + Send + Sync)) {
        let (mut read, write) = stream.into_split();
        let (tx, rx) = mpsc::unbounded_channel();
        let writer = FrameWriter(tx);
        let client_limit = Arc::new(AtomicUsize::new(crate::FRAME_LIMIT));
        tokio::spawn(write_replies(write, rx, client_limit.clone(), self.peer.clone()));
        let mut frames = FrameReader::new(self.max_frame_bytes);
        loop {
            loop {
                match frames.next() {
                    Ok(Some(Incoming::Envelope(envelope))) => {
                        self.handle_request(envelope, &writer, &client_limit, handle)
                    }
                    Ok(Some(Incoming::TooLong(summary))) => self.refuse_request(&summary, &writer),
                    Ok(None) => break,
                    Err(error) => {
                        telemetry::count("inner_bad_frames");
                        telemetry::debug!("connection of {} is closed: {error}", self.peer);
                        return;
                    }
                }
            }
            match frames.fill(&mut read).await {
                Ok(n) if n > 0 => {}
                _ => return,
            }
        }
    }

    fn handle_request(
        &self,
        envelope: Envelope,
        writer: &FrameWriter,
        client_limit: &AtomicUsize,
        handle: &(impl Fn(Body, Responder) + Send + Sync),
    ) {
        let Some(body) = envelope.body.filter(|_| !envelope.reply) else { return };
        if let Body::Hello(hello_request) = body {
            let limit = (hello_request.max_frame_bytes as usize).max(crate::FRAME_LIMIT);
            client_limit.store(limit, Ordering::Relaxed);
            let _ = writer.0.send(hello(envelope.call, true, self.max_frame_bytes));
            return;
        }
        handle(body, Responder { writer: writer.clone(), call: envelope.call, connection: self.connection });
    }

    /// Ends a call whose request exceeds the limit: a reply without a body is a failure.
    fn refuse_request(&self, summary: &FrameSummary, writer: &FrameWriter) {
        report_refused_frame("inner_frames_too_long", summary, &self.peer, self.max_frame_bytes);
        if summary.call != 0 && !summary.reply {
            let _ = writer.0.send(Envelope { call: summary.call, reply: true, body: None });
        }
    }
}

/// Frames that are written together.
#[derive(Default)]
struct WriteBatch {
    buffer: BytesMut,
}

impl WriteBatch {
    fn put(&mut self, envelope: &Envelope, len: usize) {
        put_measured_frame(&mut self.buffer, envelope, len);
    }

    fn is_full(&self) -> bool {
        self.buffer.len() >= WRITE_BATCH_BYTES
    }

    async fn write(&mut self, stream: &mut OwnedWriteHalf) -> io::Result<()> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        stream.write_all(&self.buffer).await?;
        if self.buffer.capacity() > KEPT_BUFFER_BYTES {
            self.buffer = BytesMut::new();
        }
        self.buffer.clear();
        Ok(())
    }
}

async fn write_replies(
    mut stream: OwnedWriteHalf,
    mut rx: mpsc::UnboundedReceiver<Envelope>,
    client_limit: Arc<AtomicUsize>,
    peer: String,
) {
    let mut batch = WriteBatch::default();
    while let Some(first) = rx.recv().await {
        let mut next = Some(first);
        while let Some(mut envelope) = next {
            let (mut len, limit) = (envelope.encoded_len(), client_limit.load(Ordering::Relaxed));
            if len > limit {
                report_refused_frame("inner_replies_refused", &FrameSummary::of(&envelope, len), &peer, limit);
                envelope.body = None;
                len = envelope.encoded_len();
            }
            batch.put(&envelope, len);
            next = if batch.is_full() { None } else { rx.try_recv().ok() };
        }
        if batch.write(&mut stream).await.is_err() {
            return;
        }
    }
    let _ = stream.shutdown().await;
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
    /// The longest frame that the peer accepts, once it is known; an error once the connection ended.
    peer_limit: watch::Receiver<Option<usize>>,
}

/// A client for one address. It connects on first use and reconnects after a failure.
pub struct RpcClient {
    addr: String,
    peers: PeerOptions,
    connection: Mutex<Option<Connection>>,
    next_call: AtomicU64,
}

impl RpcClient {
    pub fn new(addr: &str, peers: impl Into<PeerOptions>) -> Arc<RpcClient> {
        Arc::new(RpcClient {
            addr: addr.into(),
            peers: peers.into(),
            connection: Mutex::new(None),
            next_call: AtomicU64::new(1),
        })
    }

    pub fn addr(&self) -> &str {
        &self.addr
    }

    /// The longest frame, in bytes, that the peer has stated to accept. `None` if it has stated nothing
    /// on the current connection.
    pub fn stated_limit(&self) -> Option<usize> {
        let connection = self.connection.lock().unwrap();
        let limit = *connection.as_ref()?.peer_limit.borrow();
        limit.filter(|limit| *limit > crate::FRAME_LIMIT)
    }

    /// Returns whether a call has been without a reply for longer than `bound` and nothing else was
    /// received in that time: the peer is down, hung or unreachable. A call that timed out keeps
    /// counting for `peer_timeout`, after which the connection itself ends.
    pub fn is_unresponsive(&self, bound: Duration) -> bool {
        let connection = self.connection.lock().unwrap();
        let Some(conn) = connection.as_ref().filter(|conn| !conn.tx.is_closed()) else { return false };
        let exceeds_bound = |at: Instant| at.elapsed() > bound;
        let last_received = *conn.last_received.lock().unwrap();
        let timed_out = conn.timed_out.is_some_and(|at| at > last_received && at.elapsed() < self.peers.timeout);
        exceeds_bound(last_received)
            && (timed_out || conn.pending.lock().unwrap().values().any(|w| w.written.is_some_and(exceeds_bound)))
    }

    fn push(self: &Arc<Self>, envelope: Envelope, reply_tx: Option<oneshot::Sender<Result<Body, ExecutionOutcome>>>) {
        let mut connection = self.connection.lock().unwrap();
        if connection.as_ref().is_none_or(|conn| conn.tx.is_closed()) {
            let (tx, rx) = mpsc::unbounded_channel();
            let pending: PendingCalls = Arc::default();
            let last_received = Arc::new(Mutex::new(Instant::now()));
            let (limit_tx, peer_limit) = watch::channel(None);
            let running = ClientConnection {
                addr: self.addr.clone(),
                peers: self.peers,
                pending: pending.clone(),
                last_received: last_received.clone(),
                peer_limit: limit_tx,
            };
            tokio::spawn(running.run(rx));
            *connection = Some(Connection { tx, pending, last_received, timed_out: None, peer_limit });
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

/// The client's side of a connection.
struct ClientConnection {
    /// Address of the server.
    addr: String,
    peers: PeerOptions,
    pending: PendingCalls,
    last_received: Arc<Mutex<Instant>>,
    /// The longest frame that the server accepts, once it is known.
    peer_limit: watch::Sender<Option<usize>>,
}

impl ClientConnection {
    async fn run(self, mut rx: mpsc::UnboundedReceiver<Envelope>) {
        if let Some(stream) = connect(&self.addr, self.peers.timeout).await {
            configure_socket(&stream, self.peers.timeout);
            let (read, write) = stream.into_split();
            tokio::select! {
                _ = self.read_replies(read) => {},
                _ = self.write_requests(write, &mut rx) => {},
            }
        }
        rx.close();
        fail_pending(&self.pending);
    }

    async fn read_replies(&self, mut stream: tokio::net::tcp::OwnedReadHalf) -> io::Result<()> {
        let mut frames = FrameReader::new(self.peers.max_frame_bytes);
        loop {
            while let Some(incoming) = frames.next()? {
                match incoming {
                    Incoming::Envelope(envelope) => self.handle_reply(envelope),
                    Incoming::TooLong(summary) => self.refuse_reply(&summary),
                }
            }
            if frames.fill(&mut stream).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            *self.last_received.lock().unwrap() = Instant::now();
        }
    }

    fn handle_reply(&self, envelope: Envelope) {
        if !envelope.reply {
            telemetry::count("inner_answers_unwanted");
            return;
        }
        if let (HELLO_CALL, Some(Body::Hello(hello))) = (envelope.call, &envelope.body) {
            let limit = (hello.max_frame_bytes as usize).max(crate::FRAME_LIMIT);
            self.peer_limit.send_replace(Some(limit));
            return;
        }
        let call = self.pending.lock().unwrap().remove(&envelope.call);
        match (call, envelope.body) {
            (Some(call), Some(body)) => drop(call.tx.send(Ok(body))),
            (Some(call), None) => call.fail(),
            // The call was dropped or timed out.
            (None, _) => telemetry::count("inner_answers_unwanted"),
        }
    }

    fn refuse_reply(&self, summary: &FrameSummary) {
        report_refused_frame("inner_frames_too_long", summary, &self.addr, self.peers.max_frame_bytes);
        if let Some(call) = self.pending.lock().unwrap().remove(&summary.call) {
            call.fail();
        }
    }

    async fn write_requests(
        &self,
        mut stream: OwnedWriteHalf,
        rx: &mut mpsc::UnboundedReceiver<Envelope>,
    ) -> io::Result<()> {
        let mut batch = WriteBatch::default();
        let mut is_introduced = false;
        while let Some(first) = rx.recv().await {
            let mut next = Some(first);
            while let Some(envelope) = next {
                let len = envelope.encoded_len();
                if !is_introduced && (is_long(len) || may_have_long_reply(&envelope)) {
                    is_introduced = true;
                    let introduction = hello(HELLO_CALL, false, self.peers.max_frame_bytes);
                    batch.put(&introduction, introduction.encoded_len());
                }
                if is_long(len) && self.peer_limit.borrow().is_none() {
                    batch.write(&mut stream).await?;
                    self.await_introduction().await;
                }
                self.put(&mut batch, &envelope, len);
                next = if batch.is_full() { None } else { rx.try_recv().ok() };
            }
            batch.write(&mut stream).await?;
        }
        Ok(())
    }

    /// Waits for the server to state its limit. A server that has stated none within half of the time
    /// of a silent peer does not know the message and accepts `FRAME_LIMIT` bytes.
    async fn await_introduction(&self) {
        let mut limit = self.peer_limit.subscribe();
        let stated = limit.wait_for(Option::is_some);
        if tokio::time::timeout(self.peers.timeout / 2, stated).await.is_err() {
            self.peer_limit.send_if_modified(|limit| limit.replace(crate::FRAME_LIMIT).is_none());
        }
    }

    /// Adds a frame to a batch, unless it is a call whose caller no longer waits, or the server does
    /// not accept its length.
    fn put(&self, batch: &mut WriteBatch, envelope: &Envelope, len: usize) {
        let limit = self.peer_limit.borrow().unwrap_or(crate::FRAME_LIMIT);
        if len > limit {
            report_refused_frame("inner_requests_refused", &FrameSummary::of(envelope, len), &self.addr, limit);
            if let Some(call) = self.pending.lock().unwrap().remove(&envelope.call) {
                call.fail();
            }
            return;
        }
        if envelope.call != 0 {
            let mut pending = self.pending.lock().unwrap();
            match pending.get_mut(&envelope.call) {
                Some(call) if !call.tx.is_closed() => call.written = Some(Instant::now()),
                // The caller dropped the call, or it timed out.
                _ => {
                    pending.remove(&envelope.call);
                    return;
                }
            }
        }
        batch.put(envelope, len);
    }
}

/// Whether the reply to a request may exceed `FRAME_LIMIT`: it holds the body of a message.
fn may_have_long_reply(envelope: &Envelope) -> bool {
    matches!(&envelope.body, Some(Body::Lookup(lookup)) if lookup.body)
}

/// The clients for all addresses in use.
pub struct RpcClients {
    peers: PeerOptions,
    clients: Mutex<HashMap<String, Arc<RpcClient>>>,
}

impl RpcClients {
    pub fn new(peers: impl Into<PeerOptions>) -> Arc<RpcClients> {
        Arc::new(RpcClients { peers: peers.into(), clients: Mutex::default() })
    }

    pub fn to(&self, addr: &str) -> Arc<RpcClient> {
        let mut clients = self.clients.lock().unwrap();
        if let Some(client) = clients.get(addr) {
            return client.clone();
        }
        let client = RpcClient::new(addr, self.peers);
        clients.insert(addr.to_owned(), client.clone());
        client
    }
}
