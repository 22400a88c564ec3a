//! Calls over links whose other end answers out of order, twice, for nobody, in
//! pieces, late, or not at all: each caller gets its own answer or none.

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use rpc::messages::*;
use rpc::{Body, ExecutionOutcome, RpcClient, put_frame, take_frame};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const SILENCE: Duration = Duration::from_secs(1);
const WAIT: Duration = Duration::from_millis(60);

/// What the other end does with each call it has read.
#[derive(Clone, Copy, Debug)]
enum Do {
    Answer,
    Twice,
    Later,
    Never,
    /// An answer to a call of another number, and a call by this one's.
    Stray,
    /// Part of the answer, and a reset.
    Cut(usize),
    /// The whole answer, and an end.
    Close,
}

fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig { cases, failure_persistence: None, rng_seed: RngSeed::Fixed(seed), ..ProptestConfig::default() }
}

fn answer(call: u64, position: u64) -> Envelope {
    let found = Found { result_tag: position.to_string(), ..Found::default() };
    Envelope { call, reply: true, body: Some(Body::Found(found)) }
}

/// Reads calls; counts how often each was read, by position.
async fn other_end(plan: Vec<Do>, pieces: usize) -> (String, Arc<Mutex<HashMap<u64, usize>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let runs: Arc<Mutex<HashMap<u64, usize>>> = Arc::default();
    let (all, plan) = (runs.clone(), Arc::new(Mutex::new(plan.into_iter())));
    tokio::spawn(async move {
        while let Ok((mut s, _)) = listener.accept().await {
            let (runs, plan) = (runs.clone(), plan.clone());
            tokio::spawn(async move {
                let (mut buf, mut late) = (bytes::BytesMut::new(), Vec::new());
                loop {
                    let e = match take_frame(&mut buf).expect("whole frames") {
                        Some(e) => e,
                        None if s.read_buf(&mut buf).await.unwrap_or(0) == 0 => return,
                        None => continue,
                    };
                    let Some(Body::Lookup(l)) = e.body else { continue };
                    *runs.lock().unwrap().entry(l.position).or_default() += 1;
                    let (mut out, own) = (bytes::BytesMut::new(), answer(e.call, l.position));
                    let step = plan.lock().unwrap().next().unwrap_or(Do::Answer);
                    match step {
                        Do::Answer | Do::Close | Do::Cut(_) => put_frame(&mut out, &own),
                        Do::Twice => (0..2).for_each(|_| put_frame(&mut out, &own)),
                        Do::Later => late.push(own),
                        Do::Never => {}
                        Do::Stray => {
                            put_frame(&mut out, &answer(e.call + 1000, 999));
                            put_frame(&mut out, &Envelope { reply: false, ..answer(e.call, 998) });
                            put_frame(&mut out, &own);
                        }
                    }
                    if !matches!(step, Do::Later) {
                        late.drain(..).for_each(|l| put_frame(&mut out, &l));
                    }
                    if let Do::Cut(n) = step {
                        let _ = s.write_all(&out[..n.min(out.len() - 1)]).await;
                        let _ = s.set_zero_linger();
                        return;
                    }
                    for piece in out.chunks(pieces) {
                        if s.write_all(piece).await.is_err() {
                            return;
                        }
                    }
                    if matches!(step, Do::Close) {
                        return;
                    }
                }
            });
        }
    });
    (addr, all)
}

async fn play(plan: Vec<Do>, pieces: usize, drops: Vec<bool>) {
    let (addr, runs) = other_end(plan, pieces).await;
    let t = RpcClient::new(&addr, SILENCE);
    let calls = drops.into_iter().enumerate().map(|(n, dropped)| {
        let (t, position) = (t.clone(), n as u64);
        tokio::spawn(async move {
            let ask = Body::Lookup(Lookup { position, ..Lookup::default() });
            let wait = if dropped { Duration::ZERO } else { WAIT };
            (position, dropped, t.call(ask, wait).await)
        })
    });
    let calls: Vec<_> = calls.collect();
    for c in calls {
        let (position, dropped, got) = c.await.expect("no panic");
        let ran = runs.lock().unwrap().get(&position).copied().unwrap_or(0);
        match got {
            Ok(Body::Found(f)) => assert_eq!((f.result_tag, ran), (position.to_string(), 1)),
            Err(ExecutionOutcome::NotRun) => assert_eq!(ran, 0, "call {position}, dropped {dropped}: told as not run"),
            other => assert!(ran <= 1 && other == Err(ExecutionOutcome::MayHaveRun), "call {position}: {other:?}"),
        }
    }
    // What was told as not run does not run later either.
    tokio::time::sleep(WAIT / 10).await;
    assert!(runs.lock().unwrap().values().all(|n| *n == 1), "a link never sends a call twice");
}

#[test]
fn each_caller_gets_its_own_answer_or_none() {
    let step = prop_oneof![
        4 => Just(Do::Answer),
        2 => Just(Do::Twice),
        2 => Just(Do::Later),
        1 => Just(Do::Never),
        2 => Just(Do::Stray),
        1 => (0..40usize).prop_map(Do::Cut),
        1 => Just(Do::Close),
    ];
    let all = (prop::collection::vec(step, 0..12), 1..40usize, prop::collection::vec(prop::bool::weighted(0.2), 1..12));
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let cases = std::env::var("ANSWERS_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    TestRunner::new(config(cases, 5))
        .run(&all, |(plan, pieces, drops)| {
            rt.block_on(play(plan, pieces, drops));
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
            frames.iter().for_each(|(call, position)| put_frame(&mut out, &answer(*call, *position)));
            let (mut buf, mut got, mut at, mut cut) = (bytes::BytesMut::new(), Vec::new(), 0, cuts.iter().cycle());
            while at < out.len() {
                let end = (at + cut.next().expect("endless")).min(out.len());
                buf.extend_from_slice(&out[at..end]);
                at = end;
                while let Some(e) = take_frame(&mut buf).expect("good frames") {
                    got.push(e);
                }
            }
            let wanted: Vec<Envelope> = frames.iter().map(|(c, p)| answer(*c, *p)).collect();
            prop_assert!(got == wanted && buf.is_empty());
            Ok(())
        })
        .expect("no case fails");
}
