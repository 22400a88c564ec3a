//! Tests of RPC connections on loopback: the outcome that a failed call reports, malformed frames,
//! time-outs, and matching of replies to calls.

use rpc::messages::*;
use rpc::{Body, ExecutionOutcome, RpcClient};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a server that answers `Lookup` and no other request, and counts ended connections.
async fn lookup_server() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let ended = Arc::new(AtomicUsize::new(0));
    let count = ended.clone();
    let handle = |body, responder: rpc::Responder| {
        if let Body::Lookup(l) = body {
            responder.send(Body::Found(Found { result_tag: l.position.to_string(), ..Found::default() }));
        }
    };
    let on_disconnect = move |_| {
        count.fetch_add(1, Ordering::Relaxed);
    };
    tokio::spawn(rpc::serve_with_disconnect_hook(listener, PEER_TIMEOUT, handle, on_disconnect));
    (addr, ended)
}

async fn wait_until(f: impl Fn() -> bool) {
    for _ in 0..400 {
        if f() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition not met within 4 s");
}

#[tokio::test(flavor = "current_thread")]
async fn answers_find_their_calls() {
    let (addr, _) = lookup_server().await;
    let client = RpcClient::new(&addr, PEER_TIMEOUT);
    let calls: Vec<_> = (0..50)
        .map(|position| {
            let client = client.clone();
            tokio::spawn(async move {
                let l = Lookup { position, ..Lookup::default() };
                (position, client.call(Body::Lookup(l), PEER_TIMEOUT).await)
            })
        })
        .collect();
    for c in calls {
        let (position, got) = c.await.expect("no panic");
        assert!(matches!(got, Ok(Body::Found(f)) if f.result_tag == position.to_string()));
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_failure_says_whether_it_may_have_run() {
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = closed.local_addr().expect("an address").to_string();
    drop(closed);
    let refused = RpcClient::new(&addr, PEER_TIMEOUT).call(Body::Status(Status {}), PEER_TIMEOUT).await;
    assert_eq!(refused, Err(ExecutionOutcome::NotRun));
    let (addr, _) = lookup_server().await;
    let unanswered = RpcClient::new(&addr, PEER_TIMEOUT).call(Body::Status(Status {}), Duration::from_millis(50)).await;
    assert_eq!(unanswered, Err(ExecutionOutcome::MayHaveRun));
}

#[tokio::test(flavor = "current_thread")]
async fn bad_frames_close_their_connection_and_are_counted() {
    let (addr, ended) = lookup_server().await;
    let before = telemetry::get("inner_bad_frames");
    // Longer than what is skipped; shorter ones: tests/long_frames.rs.
    let too_long = u32::MAX.to_be_bytes().to_vec();
    let garbage = [&4u32.to_be_bytes()[..], &[0xff; 4]].concat();
    for (n, bytes) in [too_long, garbage].into_iter().enumerate() {
        let mut s = TcpStream::connect(&addr).await.expect("connected");
        s.write_all(&bytes).await.expect("sent");
        let mut buf = [0u8; 8];
        assert_eq!(s.read(&mut buf).await.unwrap_or(0), 0, "the connection is closed without a reply");
        wait_until(|| ended.load(Ordering::Relaxed) == n + 1).await;
    }
    assert_eq!(telemetry::get("inner_bad_frames"), before + 2);
    // Other connections still work.
    let l = Lookup { position: 3, ..Lookup::default() };
    assert!(RpcClient::new(&addr, PEER_TIMEOUT).call(Body::Lookup(l), PEER_TIMEOUT).await.is_ok());
}

#[tokio::test(flavor = "current_thread")]
async fn what_was_given_up_before_it_was_written_is_never_written() {
    // A listener whose accept queue is full does not answer a SYN, like an unreachable machine.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("it listens");
    socket.set_nonblocking(true).expect("nonblocking");
    let listener = TcpListener::from_std(socket.into()).expect("a listener");
    let addr = listener.local_addr().expect("an address").to_string();
    let fill = async || tokio::time::timeout(Duration::from_millis(50), TcpStream::connect(&addr)).await;
    let mut filled = Vec::new();
    while let Ok(s) = fill().await {
        filled.push(s);
    }
    let seen = Arc::new(AtomicUsize::new(0));
    let count = seen.clone();
    let handle = move |body, responder: rpc::Responder| {
        if let Body::Lookup(l) = body {
            count.fetch_add(1, Ordering::Relaxed);
            responder.send(Body::Found(Found { result_tag: l.position.to_string(), ..Found::default() }));
        }
    };
    let client = RpcClient::new(&addr, PEER_TIMEOUT);
    let first = Body::Lookup(Lookup { position: 1, ..Lookup::default() });
    let abandoned = client.call(first, Duration::from_millis(100)).await;
    assert_eq!(abandoned.err(), Some(ExecutionOutcome::NotRun));
    tokio::spawn(rpc::serve_with_disconnect_hook(listener, PEER_TIMEOUT, handle, |_| ()));
    // The next call on the same connection arrives; the abandoned one never does.
    let next = client.call(Body::Lookup(Lookup { position: 2, ..Lookup::default() }), PEER_TIMEOUT).await;
    assert!(matches!(next, Ok(Body::Found(f)) if f.result_tag == "2"));
    assert_eq!(seen.load(Ordering::Relaxed), 1);
}

#[tokio::test(flavor = "current_thread")]
async fn a_side_that_answers_nothing_is_known_before_its_connection_breaks() {
    let (addr, _) = lookup_server().await;
    let client = RpcClient::new(&addr, PEER_TIMEOUT);
    let bound = Duration::from_millis(100);
    let l = Body::Lookup(Lookup::default());
    assert!(client.call(l.clone(), PEER_TIMEOUT).await.is_ok() && !client.is_unresponsive(bound));
    // The request was written and not answered, so it may have run.
    let unanswered = tokio::spawn({
        let client = client.clone();
        async move { client.call(Body::Gossip(Gossip::default()), Duration::from_millis(400)).await }
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(client.is_unresponsive(bound));
    // Any reply shows that the peer is alive.
    assert!(client.call(l, PEER_TIMEOUT).await.is_ok() && !client.is_unresponsive(bound));
    assert_eq!(unanswered.await.expect("no panic").err(), Some(ExecutionOutcome::MayHaveRun));
}

#[tokio::test(flavor = "current_thread")]
async fn a_side_that_answers_nothing_stays_known_when_the_call_is_given_up() {
    let (addr, _) = lookup_server().await;
    let client = RpcClient::new(&addr, PEER_TIMEOUT);
    let bound = Duration::from_millis(20);
    let l = Body::Lookup(Lookup::default());
    assert!(client.call(l.clone(), PEER_TIMEOUT).await.is_ok() && !client.is_unresponsive(bound));
    let abandoned = client.call(Body::Gossip(Gossip::default()), Duration::from_millis(100)).await;
    assert_eq!(abandoned.err(), Some(ExecutionOutcome::MayHaveRun));
    assert!(client.is_unresponsive(bound), "the call timed out and nothing was received since");
    assert!(
        client.call(l, PEER_TIMEOUT).await.is_ok() && !client.is_unresponsive(bound),
        "a reply must clear the state"
    );
}

/// Starts a peer that reads `request_len` bytes, sends `reply`, and resets the connection.
async fn peer_that_resets(request_len: usize, reply: Vec<u8>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        let (mut s, _) = listener.accept().await.expect("a connection");
        let mut buf = vec![0; request_len];
        s.read_exact(&mut buf).await.expect("the request bytes");
        s.write_all(&reply).await.expect("room");
        tokio::time::sleep(Duration::from_millis(20)).await;
        s.set_zero_linger().expect("resets");
    });
    addr
}

#[tokio::test(flavor = "current_thread")]
async fn a_reset_at_any_byte_of_a_call_or_its_answer_is_never_told_as_not_run() {
    let mut frame = bytes::BytesMut::new();
    let request = Lookup { position: 7, ..Lookup::default() };
    rpc::put_frame(&mut frame, &Envelope { call: 1, reply: false, body: Some(Body::Lookup(request.clone())) });
    let full_len = frame.len();
    let found = Found { result_tag: "s".into(), ..Found::default() };
    let mut reply = bytes::BytesMut::new();
    rpc::put_frame(&mut reply, &Envelope { call: 1, reply: true, body: Some(Body::Found(found)) });
    // Resets before any byte of the request, within the length prefix, after it, one byte before the
    // end, and after the whole request; then at several bytes of the reply.
    let during_request = [0, 1, 3, 4, 5, full_len - 1, full_len].map(|n| (n, 0));
    let during_reply = [1, 3, 4, 5, reply.len() - 1].map(|n| (full_len, n));
    for (request_len, reply_len) in during_request.into_iter().chain(during_reply) {
        let addr = peer_that_resets(request_len, reply[..reply_len].to_vec()).await;
        let got = RpcClient::new(&addr, PEER_TIMEOUT).call(Body::Lookup(request.clone()), PEER_TIMEOUT).await;
        assert!(
            matches!(got, Err(ExecutionOutcome::MayHaveRun)),
            "reset after {request_len} request bytes and {reply_len} reply bytes: {got:?}"
        );
    }
    // A complete reply before the reset is delivered.
    let addr = peer_that_resets(full_len, reply.to_vec()).await;
    let client = RpcClient::new(&addr, PEER_TIMEOUT);
    assert!(
        matches!(client.call(Body::Lookup(request.clone()), PEER_TIMEOUT).await, Ok(Body::Found(f)) if f.result_tag == "s")
    );
    // Once the address refuses connections, nothing is sent.
    for _ in 0..200 {
        if let Err(ExecutionOutcome::NotRun) = client.call(Body::Lookup(request.clone()), PEER_TIMEOUT / 40).await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("a refused connection is reported as MayHaveRun");
}

#[tokio::test(flavor = "current_thread")]
async fn only_a_machine_that_says_so_has_nobody_listening() {
    let wait = std::time::Duration::from_millis(300);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    assert!(!rpc::refuses_connections(&addr, wait).await, "there is a listener");
    drop(listener);
    assert!(rpc::refuses_connections(&addr, wait).await);
    // With a full accept queue the connection attempt times out instead of being refused.
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bound");
    let full = socket.listen(0).expect("listening");
    let addr = full.local_addr().expect("an address").to_string();
    let mut held = Vec::new();
    for _ in 0..4 {
        if let Ok(Ok(s)) = tokio::time::timeout(wait, tokio::net::TcpStream::connect(&addr)).await {
            held.push(s);
        }
    }
    assert!(!rpc::refuses_connections(&addr, wait).await);
}

#[tokio::test(flavor = "current_thread")]
async fn a_call_that_was_dropped_before_it_was_written_is_never_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let seen = Arc::new(std::sync::Mutex::new(Vec::new()));
    let all = seen.clone();
    let handle = move |body, responder: rpc::Responder| {
        if let Body::Lookup(l) = body {
            all.lock().unwrap().push(l.position);
            responder.send(Body::Found(Found::default()));
        }
    };
    tokio::spawn(rpc::serve(listener, PEER_TIMEOUT, handle));
    let client = RpcClient::new(&addr, PEER_TIMEOUT);
    let request = |position| Body::Lookup(Lookup { position, ..Lookup::default() });
    // The call is polled once, waits for the connection, and is dropped by its caller.
    tokio::select! {
        biased;
        _ = client.call(request(1), PEER_TIMEOUT) => panic!("nothing was written yet"),
        _ = async {} => {}
    }
    assert!(client.call(request(2), PEER_TIMEOUT).await.is_ok());
    assert_eq!(*seen.lock().unwrap(), [2]);
}

/// Starts a peer that accepts one connection per entry, reads a request and sends the entry's
/// envelopes.
async fn scripted_peer(script: Vec<Vec<Envelope>>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        let mut kept = Vec::new();
        for replies in script {
            let (mut s, _) = listener.accept().await.expect("a connection");
            let mut buf = bytes::BytesMut::new();
            while rpc::take_frame(&mut buf).expect("a frame").is_none() {
                s.read_buf(&mut buf).await.expect("more of it");
            }
            let mut out = bytes::BytesMut::new();
            replies.iter().for_each(|e| rpc::put_frame(&mut out, e));
            s.write_all(&out).await.expect("room");
            kept.push(s);
        }
        std::future::pending::<()>().await;
    });
    addr
}

fn found(call: u64, reply: bool, result_tag: &str) -> Envelope {
    Envelope { call, reply, body: Some(Body::Found(Found { result_tag: result_tag.into(), ..Found::default() })) }
}

#[tokio::test(flavor = "current_thread")]
async fn only_an_answer_with_its_number_on_its_connection_ends_a_call() {
    // The peer sends a request with the same call number, a reply to an unknown call, and then the
    // reply.
    let addr =
        scripted_peer(vec![vec![found(1, false, "request"), found(9, true, "unknown call"), found(1, true, "own")]])
            .await;
    let request = || Body::Lookup(Lookup::default());
    let got = RpcClient::new(&addr, PEER_TIMEOUT).call(request(), PEER_TIMEOUT).await;
    assert!(matches!(got, Ok(Body::Found(f)) if f.result_tag == "own"));
    // The first call times out; its reply arrives while the second one waits.
    let late = [found(1, true, "late"), found(2, true, "own")];
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        let (mut s, _) = listener.accept().await.expect("a connection");
        let mut buf = bytes::BytesMut::new();
        for _ in 0..2 {
            while rpc::take_frame(&mut buf).expect("a frame").is_none() {
                s.read_buf(&mut buf).await.expect("more of it");
            }
        }
        let mut out = bytes::BytesMut::new();
        late.iter().for_each(|e| rpc::put_frame(&mut out, e));
        s.write_all(&out).await.expect("room");
        std::future::pending::<()>().await;
    });
    let client = RpcClient::new(&addr, PEER_TIMEOUT);
    assert_eq!(client.call(request(), PEER_TIMEOUT / 40).await.err(), Some(ExecutionOutcome::MayHaveRun));
    assert!(matches!(client.call(request(), PEER_TIMEOUT).await, Ok(Body::Found(f)) if f.result_tag == "own"));
}
