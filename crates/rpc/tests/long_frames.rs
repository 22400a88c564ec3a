//! Tests of frames longer than `FRAME_LIMIT`: between processes that state their limits, with one that states none,
//! and beyond a stated limit.

use bytes::{Bytes, BytesMut};
use prost::Message;
use rpc::messages::*;
use rpc::{Body, ExecutionOutcome, FRAME_LIMIT, PeerOptions, RpcClient, put_frame, take_frame};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const PEER_TIMEOUT: Duration = Duration::from_secs(2);
const LIMIT: usize = 6 << 20;
const OPTIONS: PeerOptions = PeerOptions { timeout: PEER_TIMEOUT, max_frame_bytes: LIMIT };

fn item_of(body_bytes: usize) -> Item {
    Item { body: vec![7; body_bytes].into(), ..Item::default() }
}

fn accept_of(body_bytes: usize) -> Body {
    Body::Accept(Accept { partition: 3, item: item_of(body_bytes), ..Accept::default() })
}

fn body_lookup(position: u64) -> Body {
    Body::Lookup(Lookup { position, body: true, ..Lookup::default() })
}

/// Starts a server that answers an accept with its length, and a look-up with a body of `position` bytes. Returns its
/// address and the number of its connections.
async fn server(options: PeerOptions) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let ended = Arc::new(AtomicUsize::new(0));
    let count = ended.clone();
    let handle = |body, responder: rpc::Responder| match body {
        Body::Accept(accept) => {
            let position = accept.item.body.len() as u64;
            responder.send(Body::Accepted(Accepted { position, ..Accepted::default() }));
        }
        Body::Lookup(lookup) => {
            let body: Bytes = vec![9; lookup.position as usize].into();
            responder.send(Body::Found(Found { body, ..Found::default() }));
        }
        _ => {}
    };
    let on_disconnect = move |_| {
        count.fetch_add(1, Ordering::Relaxed);
    };
    tokio::spawn(rpc::serve_with_disconnect_hook(listener, options, handle, on_disconnect));
    (addr, ended)
}

fn position(reply: &Result<Body, ExecutionOutcome>) -> Option<usize> {
    match reply {
        Ok(Body::Accepted(accepted)) => Some(accepted.position as usize),
        Ok(Body::Found(found)) => Some(found.body.len()),
        _ => None,
    }
}

/// Regression test: a message whose frame was longer than 4 MiB ended its connection, and with it other calls.
#[tokio::test(flavor = "current_thread")]
async fn requests_and_replies_of_any_length_up_to_the_stated_limit_arrive() {
    let (addr, ended) = server(OPTIONS).await;
    let client = RpcClient::new(&addr, OPTIONS);
    for bytes in [FRAME_LIMIT - 64, FRAME_LIMIT - 1, FRAME_LIMIT, FRAME_LIMIT + 1, LIMIT - 64] {
        assert_eq!(position(&client.call(accept_of(bytes), PEER_TIMEOUT).await), Some(bytes));
        let lookup = body_lookup(bytes as u64);
        assert_eq!(position(&client.call(lookup, PEER_TIMEOUT).await), Some(bytes));
    }
    // The first frame of a connection may be a long reply's request.
    let other = RpcClient::new(&addr, OPTIONS);
    assert_eq!(position(&other.call(body_lookup(LIMIT as u64 - 64), PEER_TIMEOUT).await), Some(LIMIT - 64));
    assert_eq!(ended.load(Ordering::Relaxed), 0, "no connection has ended");
}

#[tokio::test(flavor = "current_thread")]
async fn a_frame_beyond_the_stated_limit_fails_its_own_call_at_once_and_no_other() {
    let (addr, ended) = server(OPTIONS).await;
    let client = RpcClient::new(&addr, OPTIONS);
    let before = telemetry::get("inner_requests_refused");
    let calls = [8, LIMIT, 9, LIMIT + 5, 10].map(|bytes| {
        let client = client.clone();
        tokio::spawn(async move { client.call(accept_of(bytes), PEER_TIMEOUT * 20).await })
    });
    let mut replies = Vec::new();
    for call in calls {
        replies.push(call.await.expect("no panic"));
    }
    assert_eq!(replies.iter().map(position).collect::<Vec<_>>(), [Some(8), None, Some(9), None, Some(10)]);
    assert_eq!(replies[1], Err(ExecutionOutcome::NotRun), "nothing was sent");
    assert_eq!(telemetry::get("inner_requests_refused"), before + 2);
    assert_eq!(client.stated_limit(), Some(LIMIT));
    // A reply that is too long for the client.
    let long = client.call(body_lookup(LIMIT as u64), PEER_TIMEOUT * 20).await;
    assert_eq!(long, Err(ExecutionOutcome::MayHaveRun));
    assert_eq!(position(&client.call(accept_of(11), PEER_TIMEOUT).await), Some(11));
    assert_eq!(ended.load(Ordering::Relaxed), 0, "no connection has ended");
}

#[tokio::test(flavor = "current_thread")]
async fn a_long_frame_of_a_process_that_ignores_the_limit_is_skipped_and_its_call_ends() {
    let (addr, ended) = server(OPTIONS).await;
    let mut stream = TcpStream::connect(&addr).await.expect("connected");
    let before = telemetry::get("inner_frames_too_long");
    let mut out = BytesMut::new();
    put_frame(&mut out, &Envelope { call: 1, reply: false, body: Some(accept_of(LIMIT)) });
    put_frame(&mut out, &Envelope { call: 2, reply: false, body: Some(accept_of(12)) });
    stream.write_all(&out).await.expect("sent");
    let (mut buf, mut replies) = (BytesMut::new(), Vec::new());
    while replies.len() < 2 {
        match take_frame(&mut buf).expect("whole frames") {
            Some(reply) => replies.push(reply),
            None => assert!(stream.read_buf(&mut buf).await.expect("open") > 0, "the connection was closed"),
        }
    }
    assert_eq!((replies[0].call, replies[0].body.clone()), (1, None));
    assert!(matches!(&replies[1].body, Some(Body::Accepted(accepted)) if accepted.position == 12));
    assert_eq!(telemetry::get("inner_frames_too_long"), before + 1);
    assert_eq!(ended.load(Ordering::Relaxed), 0);
}

/// Starts a peer of a build that does not know `Hello`: it closes a connection with a frame longer than `FRAME_LIMIT`,
/// and answers the other calls.
async fn old_peer() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = BytesMut::new();
                loop {
                    let envelope = match take_frame(&mut buf) {
                        Ok(Some(envelope)) => envelope,
                        Ok(None) if stream.read_buf(&mut buf).await.unwrap_or(0) > 0 => continue,
                        _ => return,
                    };
                    let Some(Body::Accept(accept)) = envelope.body else { continue };
                    let position = accept.item.body.len() as u64;
                    let reply = Accepted { position, ..Accepted::default() };
                    let mut out = BytesMut::new();
                    put_frame(
                        &mut out,
                        &Envelope { reply: true, call: envelope.call, body: Some(Body::Accepted(reply)) },
                    );
                    if stream.write_all(&out).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

#[tokio::test(flavor = "current_thread")]
async fn nothing_long_is_sent_to_a_process_that_states_no_limit() {
    let addr = old_peer().await;
    let client = RpcClient::new(&addr, OPTIONS);
    let calls = [13, FRAME_LIMIT + 1, 14].map(|bytes| {
        let client = client.clone();
        tokio::spawn(async move { client.call(accept_of(bytes), PEER_TIMEOUT * 2).await })
    });
    let mut replies = Vec::new();
    for call in calls {
        replies.push(call.await.expect("no panic"));
    }
    assert_eq!(replies.iter().map(position).collect::<Vec<_>>(), [Some(13), None, Some(14)]);
    assert_eq!(replies[1], Err(ExecutionOutcome::NotRun));
    assert_eq!(client.stated_limit(), None);
    let almost = FRAME_LIMIT - 64;
    assert_eq!(position(&client.call(accept_of(almost), PEER_TIMEOUT).await), Some(almost));
}

/// A name as long as the largest ones of a deployment.
fn name() -> String {
    "n".repeat(255)
}

/// The largest messages that carry a message body, for a record of the longest length.
fn largest_messages_with_a_body() -> Vec<Body> {
    let bytes = rpc::max_body_bytes(LIMIT);
    let text = "t".repeat(16 << 10);
    let item =
        Item { notify_url: text, operation: Some(OperationId { high: u64::MAX, low: u64::MAX }), ..item_of(bytes) };
    let record: Bytes = vec![7; rpc::max_record_bytes(LIMIT)].into();
    let max = u64::MAX;
    vec![
        Body::Accept(Accept {
            partition: u32::MAX,
            item: item.clone(),
            revision: max,
            delay_ms: max,
            ..Accept::default()
        }),
        Body::Run(Run {
            item,
            address: name(),
            processor: name(),
            attempt: max,
            term: max,
            position: max,
            ..Run::default()
        }),
        Body::Found(Found {
            body: vec![7; bytes].into(),
            host: name(),
            result_tag: "t".repeat(60 << 10),
            ..Found::default()
        }),
        Body::Entries(Entries {
            partition: u32::MAX,
            term: max,
            owner: name(),
            entries: vec![LogEntry { term: max, record }],
            commit: max,
            time_ms: max,
            ..Entries::default()
        }),
    ]
}

/// The aim: 3,200 nodes, of which 190 are stores.
const NODES: u64 = 3200;
const PARTITIONS: u32 = 570;

/// The largest messages that grow with the number of nodes.
fn largest_messages_of_a_large_system() -> Vec<Body> {
    let max = u64::MAX;
    let node = |n: u64| Node {
        name: format!("{}-{n}", "n".repeat(48)),
        role: "functions".into(),
        zone: "z".repeat(24),
        region: "r".repeat(24),
        inner: "255.255.255.255:65535".into(),
        incarnation: max,
        born: max,
        changed: max,
        ..Node::default()
    };
    let nodes: Vec<Node> = (0..NODES).map(node).collect();
    let names: Vec<String> = nodes.iter().take(6).map(|node| node.name.clone()).collect();
    let partition = |id| Partition {
        id,
        term: max,
        owner: names[0].clone(),
        in_sync: names.clone(),
        replicas: names.clone(),
        joined: names.iter().map(|node| Joined { node: node.clone(), incarnation: max }).collect(),
        changed: max,
        ..Partition::default()
    };
    let partitions: Vec<Partition> = (0..PARTITIONS).map(partition).collect();
    let assignments = Assignments { version: max, partitions: partitions.clone(), ..Assignments::default() };
    let membership = Membership { version: max, nodes, ..Membership::default() };
    let in_flight: Vec<u64> = (0..64 * 1024).map(|n| max - n).collect();
    vec![
        Body::ViewUpdate(ViewUpdate {
            assignments: Some(assignments),
            membership: Some(membership),
            ..ViewUpdate::default()
        }),
        Body::LeaseAck(LeaseAck { granted: true, outdated: partitions, ..LeaseAck::default() }),
        Body::Held(Held { positions: in_flight.clone(), attempts: in_flight.clone(), terms: in_flight }),
        Body::Chunk(Chunk { data: vec![7; 256 << 10].into(), owner: name(), ..Chunk::default() }),
    ]
}

#[tokio::test(flavor = "current_thread")]
async fn the_largest_message_of_each_kind_fits_a_frame_and_arrives() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let handle = |body, responder: rpc::Responder| responder.send(body);
    tokio::spawn(rpc::serve(listener, OPTIONS, handle));
    let client = RpcClient::new(&addr, OPTIONS);
    for body in largest_messages_with_a_body() {
        let envelope = Envelope { call: u64::MAX, reply: true, body: Some(body) };
        assert!(envelope.encoded_len() <= LIMIT, "{} bytes", envelope.encoded_len());
        let sent = envelope.body.expect("set above");
        assert!(client.call(sent.clone(), PEER_TIMEOUT).await == Ok(sent), "it arrives as it was sent");
    }
    for body in largest_messages_of_a_large_system() {
        let envelope = Envelope { call: u64::MAX, reply: true, body: Some(body) };
        let len = envelope.encoded_len();
        assert!(len <= FRAME_LIMIT, "{len} bytes: every process has to accept it");
        eprintln!("{len} bytes");
        let sent = envelope.body.expect("set above");
        assert!(client.call(sent.clone(), PEER_TIMEOUT).await == Ok(sent));
    }
}
