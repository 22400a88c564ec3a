//! Inner connections on loopback: what a failure says, and what is closed.

use rpc::messages::*;
use rpc::{Body, ExecutionOutcome, FRAME_LIMIT, RpcClient};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SILENCE: Duration = Duration::from_secs(2);

/// Answers `Lookup`s, keeps silent on the rest, and counts connections that ended.
async fn other_end() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let ended = Arc::new(AtomicUsize::new(0));
    let count = ended.clone();
    let handle = |body, responder: rpc::Responder| {
        if let Body::Lookup(l) = body {
            responder.send(Body::Found(Found { result_tag: l.position.to_string(), ..Found::default() }));
        }
    };
    let tell = move |_| {
        count.fetch_add(1, Ordering::Relaxed);
    };
    tokio::spawn(rpc::serve_and_tell(listener, SILENCE, handle, tell));
    (addr, ended)
}

async fn until(f: impl Fn() -> bool) {
    for _ in 0..400 {
        if f() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("not in time");
}

#[tokio::test(flavor = "current_thread")]
async fn answers_find_their_calls() {
    let (addr, _) = other_end().await;
    let t = RpcClient::new(&addr, SILENCE);
    let calls: Vec<_> = (0..50)
        .map(|position| {
            let t = t.clone();
            tokio::spawn(async move {
                let l = Lookup { position, ..Lookup::default() };
                (position, t.call(Body::Lookup(l), SILENCE).await)
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
    let gone = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = gone.local_addr().expect("an address").to_string();
    drop(gone);
    let refused = RpcClient::new(&addr, SILENCE).call(Body::Status(Status {}), SILENCE).await;
    assert_eq!(refused, Err(ExecutionOutcome::NotRun));
    let (addr, _) = other_end().await;
    let silent = RpcClient::new(&addr, SILENCE).call(Body::Status(Status {}), Duration::from_millis(50)).await;
    assert_eq!(silent, Err(ExecutionOutcome::MayHaveRun));
}

#[tokio::test(flavor = "current_thread")]
async fn bad_frames_close_their_connection_and_are_counted() {
    let (addr, ended) = other_end().await;
    let before = telemetry::get("inner_bad_frames");
    let too_long = (FRAME_LIMIT as u32 + 1).to_be_bytes().to_vec();
    let garbage = [&4u32.to_be_bytes()[..], &[0xff; 4]].concat();
    for (n, bytes) in [too_long, garbage].into_iter().enumerate() {
        let mut s = TcpStream::connect(&addr).await.expect("connected");
        s.write_all(&bytes).await.expect("sent");
        let mut buf = [0u8; 8];
        assert_eq!(s.read(&mut buf).await.unwrap_or(0), 0, "closed without a word");
        until(|| ended.load(Ordering::Relaxed) == n + 1).await;
    }
    assert_eq!(telemetry::get("inner_bad_frames"), before + 2);
    // Others are not harmed.
    let l = Lookup { position: 3, ..Lookup::default() };
    assert!(RpcClient::new(&addr, SILENCE).call(Body::Lookup(l), SILENCE).await.is_ok());
}

#[tokio::test(flavor = "current_thread")]
async fn what_was_given_up_before_it_was_written_is_never_written() {
    // A listener whose queue is full answers no opening packet, like a dark machine.
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
    let t = RpcClient::new(&addr, SILENCE);
    let first = Body::Lookup(Lookup { position: 1, ..Lookup::default() });
    let given_up = t.call(first, Duration::from_millis(100)).await;
    assert_eq!(given_up.err(), Some(ExecutionOutcome::NotRun));
    tokio::spawn(rpc::serve_and_tell(listener, SILENCE, handle, |_| ()));
    // The next one on the same connection arrives, that one never does.
    let next = t.call(Body::Lookup(Lookup { position: 2, ..Lookup::default() }), SILENCE).await;
    assert!(matches!(next, Ok(Body::Found(f)) if f.result_tag == "2"));
    assert_eq!(seen.load(Ordering::Relaxed), 1);
}

#[tokio::test(flavor = "current_thread")]
async fn a_side_that_answers_nothing_is_known_before_its_connection_breaks() {
    let (addr, _) = other_end().await;
    let t = RpcClient::new(&addr, SILENCE);
    let bound = Duration::from_millis(100);
    let l = Body::Lookup(Lookup::default());
    assert!(t.call(l.clone(), SILENCE).await.is_ok() && !t.stuck(bound));
    // Written, and not answered: it may have run.
    let mute = tokio::spawn({
        let t = t.clone();
        async move { t.call(Body::Gossip(Gossip::default()), Duration::from_millis(400)).await }
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(t.stuck(bound));
    // Any answer shows that it incarnations.
    assert!(t.call(l, SILENCE).await.is_ok() && !t.stuck(bound));
    assert_eq!(mute.await.expect("no panic").err(), Some(ExecutionOutcome::MayHaveRun));
}

#[tokio::test(flavor = "current_thread")]
async fn a_side_that_answers_nothing_stays_known_when_the_call_is_given_up() {
    let (addr, _) = other_end().await;
    let t = RpcClient::new(&addr, SILENCE);
    let bound = Duration::from_millis(20);
    let l = Body::Lookup(Lookup::default());
    assert!(t.call(l.clone(), SILENCE).await.is_ok() && !t.stuck(bound));
    let given_up = t.call(Body::Gossip(Gossip::default()), Duration::from_millis(100)).await;
    assert_eq!(given_up.err(), Some(ExecutionOutcome::MayHaveRun));
    assert!(t.stuck(bound), "nobody waits any more, and nothing was heard");
    assert!(t.call(l, SILENCE).await.is_ok() && !t.stuck(bound), "any answer ends that");
}

/// Reads `take` bytes of what is sent, answers with `give`, and resets.
async fn resets_after(take: usize, give: Vec<u8>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        let (mut s, _) = listener.accept().await.expect("a connection");
        let mut buf = vec![0; take];
        s.read_exact(&mut buf).await.expect("as much as was sent");
        s.write_all(&give).await.expect("room");
        tokio::time::sleep(Duration::from_millis(20)).await;
        s.set_zero_linger().expect("resets");
    });
    addr
}

#[tokio::test(flavor = "current_thread")]
async fn a_reset_at_any_byte_of_a_call_or_its_answer_is_never_told_as_not_run() {
    let mut frame = bytes::BytesMut::new();
    let ask = Lookup { position: 7, ..Lookup::default() };
    rpc::put_frame(&mut frame, &Envelope { call: 1, reply: false, body: Some(Body::Lookup(ask.clone())) });
    let asked = frame.len();
    let found = Found { result_tag: "s".into(), ..Found::default() };
    let mut answer = bytes::BytesMut::new();
    rpc::put_frame(&mut answer, &Envelope { call: 1, reply: true, body: Some(Body::Found(found)) });
    // Before anything was read, within the length, behind it, one short, and whole.
    let cuts = [0, 1, 3, 4, 5, asked - 1, asked].map(|n| (n, 0));
    let partly = [1, 3, 4, 5, answer.len() - 1].map(|n| (asked, n));
    for (take, give) in cuts.into_iter().chain(partly) {
        let addr = resets_after(take, answer[..give].to_vec()).await;
        let got = RpcClient::new(&addr, SILENCE).call(Body::Lookup(ask.clone()), SILENCE).await;
        assert!(matches!(got, Err(ExecutionOutcome::MayHaveRun)), "{take} read, {give} answered: {got:?}");
    }
    // The whole answer came before the reset: it counts.
    let addr = resets_after(asked, answer.to_vec()).await;
    let t = RpcClient::new(&addr, SILENCE);
    assert!(matches!(t.call(Body::Lookup(ask.clone()), SILENCE).await, Ok(Body::Found(f)) if f.result_tag == "s"));
    // Once nobody listens any more nothing is sent.
    for _ in 0..200 {
        if let Err(ExecutionOutcome::NotRun) = t.call(Body::Lookup(ask.clone()), SILENCE / 40).await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("a refused connection is told as one that may have run");
}

#[tokio::test(flavor = "current_thread")]
async fn only_a_machine_that_says_so_has_nobody_listening() {
    let wait = std::time::Duration::from_millis(300);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    assert!(!rpc::refuses(&addr, wait).await, "somebody listens");
    drop(listener);
    assert!(rpc::refuses(&addr, wait).await);
    // A queue of new connections that is full answers nothing at all: silence.
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
    assert!(!rpc::refuses(&addr, wait).await);
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
    tokio::spawn(rpc::serve(listener, SILENCE, handle));
    let t = RpcClient::new(&addr, SILENCE);
    let ask = |position| Body::Lookup(Lookup { position, ..Lookup::default() });
    // Polled once: it waits for the connection. Its caller turns to something else.
    tokio::select! {
        biased;
        _ = t.call(ask(1), SILENCE) => panic!("nothing was written yet"),
        _ = async {} => {}
    }
    assert!(t.call(ask(2), SILENCE).await.is_ok());
    assert_eq!(*seen.lock().unwrap(), [2]);
}

/// Plays the other end by hand: for each connection, what is sent once a call was read.
async fn by_hand(plan: Vec<Vec<Envelope>>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        let mut kept = Vec::new();
        for answers in plan {
            let (mut s, _) = listener.accept().await.expect("a connection");
            let mut buf = bytes::BytesMut::new();
            while rpc::take_frame(&mut buf).expect("a frame").is_none() {
                s.read_buf(&mut buf).await.expect("more of it");
            }
            let mut out = bytes::BytesMut::new();
            answers.iter().for_each(|e| rpc::put_frame(&mut out, e));
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
    // A call of the other side by the same number, one of nobody, and then the answer.
    let addr = by_hand(vec![vec![found(1, false, "a call"), found(9, true, "nobody's"), found(1, true, "own")]]).await;
    let ask = || Body::Lookup(Lookup::default());
    let got = RpcClient::new(&addr, SILENCE).call(ask(), SILENCE).await;
    assert!(matches!(got, Ok(Body::Found(f)) if f.result_tag == "own"));
    // The first call is given up; its answer comes while the second one waits.
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
    let t = RpcClient::new(&addr, SILENCE);
    assert_eq!(t.call(ask(), SILENCE / 40).await.err(), Some(ExecutionOutcome::MayHaveRun));
    assert!(matches!(t.call(ask(), SILENCE).await, Ok(Body::Found(f)) if f.result_tag == "own"));
}
