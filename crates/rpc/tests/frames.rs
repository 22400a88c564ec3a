//! Property tests of calls to a peer that replies out of order, twice, to unknown calls, in pieces,
//! late, or not at all: each caller gets the reply to its own call or none.

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use rpc::messages::*;
use rpc::{Body, ExecutionOutcome, RpcClient, put_frame, take_frame};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const PEER_TIMEOUT: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_millis(60);

/// What the peer does with a request.
#[derive(Clone, Copy, Debug)]
enum PeerAction {
    Reply,
    ReplyTwice,
    /// Sends the reply when a later request is handled.
    ReplyLater,
    Ignore,
    /// Sends a reply to an unknown call and a request with this call's number before the reply.
    SendStrayFrames,
    /// Sends at most that many bytes, but not the whole reply, then resets the connection.
    ResetAfter(usize),
    /// Sends the whole reply and closes the connection.
    ReplyAndClose,
}

fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig { cases, failure_persistence: None, rng_seed: RngSeed::Fixed(seed), ..ProptestConfig::default() }
}

fn reply_envelope(call: u64, position: u64) -> Envelope {
    let found = Found { result_tag: position.to_string(), ..Found::default() };
    Envelope { call, reply: true, body: Some(Body::Found(found)) }
}

/// Starts a peer that reads requests and counts by position how often each was read. It writes
/// in pieces of `piece_len` bytes.
async fn scripted_peer(script: Vec<PeerAction>, piece_len: usize) -> (String, Arc<Mutex<HashMap<u64, usize>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let runs: Arc<Mutex<HashMap<u64, usize>>> = Arc::default();
    let (counts, script) = (runs.clone(), Arc::new(Mutex::new(script.into_iter())));
    tokio::spawn(async move {
        while let Ok((mut s, _)) = listener.accept().await {
            let (runs, script) = (runs.clone(), script.clone());
            tokio::spawn(async move {
                let (mut buf, mut delayed) = (bytes::BytesMut::new(), Vec::new());
                loop {
                    let e = match take_frame(&mut buf).expect("whole frames") {
                        Some(e) => e,
                        None if s.read_buf(&mut buf).await.unwrap_or(0) == 0 => return,
                        None => continue,
                    };
                    let Some(Body::Lookup(l)) = e.body else { continue };
                    *runs.lock().unwrap().entry(l.position).or_default() += 1;
                    let (mut out, reply) = (bytes::BytesMut::new(), reply_envelope(e.call, l.position));
                    let action = script.lock().unwrap().next().unwrap_or(PeerAction::Reply);
                    match action {
                        PeerAction::Reply | PeerAction::ReplyAndClose | PeerAction::ResetAfter(_) => {
                            put_frame(&mut out, &reply)
                        }
                        PeerAction::ReplyTwice => (0..2).for_each(|_| put_frame(&mut out, &reply)),
                        PeerAction::ReplyLater => delayed.push(reply),
                        PeerAction::Ignore => {}
                        PeerAction::SendStrayFrames => {
                            put_frame(&mut out, &reply_envelope(e.call + 1000, 999));
                            put_frame(&mut out, &Envelope { reply: false, ..reply_envelope(e.call, 998) });
                            put_frame(&mut out, &reply);
                        }
                    }
                    if !matches!(action, PeerAction::ReplyLater) {
                        delayed.drain(..).for_each(|e| put_frame(&mut out, &e));
                    }
                    if let PeerAction::ResetAfter(n) = action {
                        let _ = s.write_all(&out[..n.min(out.len() - 1)]).await;
                        let _ = s.set_zero_linger();
                        return;
                    }
                    for piece in out.chunks(piece_len) {
                        if s.write_all(piece).await.is_err() {
                            return;
                        }
                    }
                    if matches!(action, PeerAction::ReplyAndClose) {
                        return;
                    }
                }
            });
        }
    });
    (addr, counts)
}

async fn check_calls(script: Vec<PeerAction>, piece_len: usize, dropped: Vec<bool>) {
    let (addr, runs) = scripted_peer(script, piece_len).await;
    let client = RpcClient::new(&addr, PEER_TIMEOUT);
    let calls = dropped.into_iter().enumerate().map(|(n, dropped)| {
        let (client, position) = (client.clone(), n as u64);
        tokio::spawn(async move {
            let request = Body::Lookup(Lookup { position, ..Lookup::default() });
            let timeout = if dropped { Duration::ZERO } else { CALL_TIMEOUT };
            (position, dropped, client.call(request, timeout).await)
        })
    });
    let calls: Vec<_> = calls.collect();
    for c in calls {
        let (position, dropped, got) = c.await.expect("no panic");
        let ran = runs.lock().unwrap().get(&position).copied().unwrap_or(0);
        match got {
            Ok(Body::Found(f)) => assert_eq!((f.result_tag, ran), (position.to_string(), 1)),
            Err(ExecutionOutcome::NotRun) => {
                assert_eq!(ran, 0, "call {position}, dropped {dropped}: reported as not run")
            }
            other => assert!(ran <= 1 && other == Err(ExecutionOutcome::MayHaveRun), "call {position}: {other:?}"),
        }
    }
    // A call reported as not run must not run later either.
    tokio::time::sleep(CALL_TIMEOUT / 10).await;
    assert!(runs.lock().unwrap().values().all(|n| *n == 1), "a client must not send a call twice");
}

#[test]
fn each_caller_gets_its_own_answer_or_none() {
    let step = prop_oneof![
        4 => Just(PeerAction::Reply),
        2 => Just(PeerAction::ReplyTwice),
        2 => Just(PeerAction::ReplyLater),
        1 => Just(PeerAction::Ignore),
        2 => Just(PeerAction::SendStrayFrames),
        1 => (0..40usize).prop_map(PeerAction::ResetAfter),
        1 => Just(PeerAction::ReplyAndClose),
    ];
    let all = (prop::collection::vec(step, 0..12), 1..40usize, prop::collection::vec(prop::bool::weighted(0.2), 1..12));
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let cases = std::env::var("ANSWERS_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    TestRunner::new(config(cases, 5))
        .run(&all, |(script, piece_len, dropped)| {
            rt.block_on(check_calls(script, piece_len, dropped));
            Ok(())
        })
        .expect("no case fails");
}

#[test]
fn frames_may_be_cut_at_every_byte() {
    let all = (prop::collection::vec((1..u64::MAX, any::<u64>()), 1..6), prop::collection::vec(1..64usize, 1..40));
    TestRunner::new(config(300, 6))
        .run(&all, |(frames, cuts)| {
            let mut out = bytes::BytesMut::new();
            frames.iter().for_each(|(call, position)| put_frame(&mut out, &reply_envelope(*call, *position)));
            let (mut buf, mut got, mut at, mut cut) = (bytes::BytesMut::new(), Vec::new(), 0, cuts.iter().cycle());
            while at < out.len() {
                let end = (at + cut.next().expect("the cycle does not end")).min(out.len());
                buf.extend_from_slice(&out[at..end]);
                at = end;
                while let Some(e) = take_frame(&mut buf).expect("good frames") {
                    got.push(e);
                }
            }
            let expected: Vec<Envelope> = frames.iter().map(|(c, p)| reply_envelope(*c, *p)).collect();
            prop_assert!(got == expected && buf.is_empty());
            Ok(())
        })
        .expect("no case fails");
}
