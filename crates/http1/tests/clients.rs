//! The client's side on loopback: requests pipelined, cut, never ended; answers in
//! order, each whole or visibly not.

use bytes::{Bytes, BytesMut};
use http1::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const WAIT: Duration = Duration::from_secs(3);

/// A server that notes which requests ran, by path, and answers with as many bytes as
/// the path's last part says.
async fn server(header_ms: u64) -> (String, Arc<Mutex<Vec<String>>>, watch::Sender<Closing>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let (all, (closing, closed)) = (ran.clone(), watch::channel(Closing::Open));
    let bounds = move || Bounds { header_ms, ..Bounds::default() };
    tokio::spawn(listen(listener, bounds, closed, ClientWatch::Off, move |r: Request| {
        ran.lock().unwrap().push(r.path.clone());
        let size = r.path.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0);
        let body: Bytes = vec![b'a'; size].into();
        async move { Reply { body, ..Reply::new(200) }.with("X-Of", r.path).with("X-Got", r.body.len().to_string()) }
    }));
    (addr, all, closing)
}

/// The answers on a connection until it ends: path, length of the request's body and
/// of the answer's. An answer that is not whole panics.
async fn answers(s: &mut TcpStream, heads: &[bool]) -> Vec<(String, usize, usize)> {
    let (mut buf, mut all) = (BytesMut::new(), Vec::new());
    let more = async |buf: &mut BytesMut, s: &mut TcpStream| {
        tokio::time::timeout(WAIT, s.read_buf(buf)).await.expect("an answer or an end").unwrap_or(0) > 0
    };
    loop {
        let answers_head = heads.get(all.len()).copied().unwrap_or(false);
        match take_answer_head(&mut buf, answers_head).expect("an answer") {
            Some((a, _)) if a.status == 100 => {}
            Some((a, framing)) => {
                let size = if let Framing::Length(n) = framing { n } else { 0 };
                while buf.len() < size {
                    assert!(more(&mut buf, s).await, "an answer of {size} bytes ended after {}", buf.len());
                }
                let _ = buf.split_to(size);
                let text = |n: &str| a.header(n).unwrap_or("").to_owned();
                all.push((text("X-Of"), text("X-Got").parse().unwrap_or(usize::from(a.status)), size));
            }
            None if !more(&mut buf, s).await => {
                assert!(buf.is_empty(), "half an answer: {buf:?}");
                return all;
            }
            None => {}
        }
    }
}

#[derive(Clone, Debug)]
struct Ask {
    head: bool,
    chunked: bool,
    expect: bool,
    body: usize,
    wants: usize,
}

fn text(n: usize, a: &Ask) -> Vec<u8> {
    let method = if a.head { "HEAD" } else { "POST" };
    let mut t = format!("{method} /{n}/{} HTTP/1.1\r\nHost: h\r\n", a.wants);
    if a.expect {
        t += "Expect: 100-continue\r\n";
    }
    let body = "b".repeat(a.body);
    match a.chunked {
        true if a.body > 0 => t += &format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", a.body),
        true => t += "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        false => t += &format!("Content-Length: {}\r\n\r\n{body}", a.body),
    }
    t.into_bytes()
}

/// Sends requests back to back in pieces; the last one may be cut.
async fn play(asks: Vec<Ask>, pieces: Vec<usize>, cut: usize) {
    let (addr, ran, _open) = server(3000).await;
    let mut s = TcpStream::connect(&addr).await.expect("connected");
    let mut out: Vec<u8> = asks.iter().enumerate().flat_map(|(n, a)| text(n, a)).collect();
    let last = text(asks.len() - 1, &asks[asks.len() - 1]).len();
    let cut = cut % last;
    out.truncate(out.len() - cut);
    let whole = asks.len() - usize::from(cut > 0);
    let (_read, mut write) = s.split();
    let mut at = 0;
    for piece in pieces.iter().cycle() {
        let end = (at + piece).min(out.len());
        write.write_all(&out[at..end]).await.expect("room");
        tokio::task::yield_now().await;
        at = end;
        if at == out.len() {
            break;
        }
    }
    write.shutdown().await.expect("shut");
    let heads: Vec<bool> = asks.iter().map(|a| a.head).collect();
    let got = answers(&mut s, &heads).await;
    let size = |a: &Ask| if a.head { 0 } else { a.wants };
    let wanted = asks[..whole].iter().enumerate().map(|(n, a)| (format!("/{n}/{}", a.wants), a.body, size(a)));
    assert_eq!(got, wanted.clone().collect::<Vec<_>>());
    assert_eq!(*ran.lock().unwrap(), wanted.map(|w| w.0).collect::<Vec<_>>(), "each ran once, and none that was cut");
}

#[test]
fn pipelined_and_cut_requests_run_once_or_not_and_are_answered_in_order() {
    let ask = (any::<bool>(), any::<bool>(), any::<bool>(), 0..300usize, 0..300usize)
        .prop_map(|(head, chunked, expect, body, wants)| Ask { head, chunked, expect, body, wants });
    let all = (prop::collection::vec(ask, 1..6), prop::collection::vec(1..400usize, 1..8), any::<usize>());
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let cases = std::env::var("ANSWERS_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(200);
    let seed = RngSeed::Fixed(8);
    TestRunner::new(ProptestConfig { cases, failure_persistence: None, rng_seed: seed, ..ProptestConfig::default() })
        .run(&all, |(asks, pieces, cut)| {
            rt.block_on(play(asks, pieces, cut));
            Ok(())
        })
        .expect("no case fails");
}

#[tokio::test(flavor = "current_thread")]
async fn an_answer_that_ends_its_connection_comes_whole_whatever_is_sent_behind_the_request() {
    let (addr, ran, _open) = server(3000).await;
    let mut s = TcpStream::connect(&addr).await.expect("connected");
    // More than both sides' buffers hold: it is being written all the while.
    let big = 48 << 20;
    let close = format!("GET /0/{big} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    s.write_all(close.as_bytes()).await.expect("room");
    // Read slowly, while more is sent that nobody reads.
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let _ = s.try_write(b"GET /1/1 HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    assert_eq!(answers(&mut s, &[]).await, [(format!("/0/{big}"), 0, big)]);
    assert_eq!(ran.lock().unwrap().len(), 1, "what follows a request that closes never runs");
}

#[tokio::test(flavor = "current_thread")]
async fn a_body_that_never_ends_is_told_not_taken_and_an_error_ends_the_connection() {
    let (addr, ran, _open) = server(200).await;
    for (sent, status) in [
        ("POST /0/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabc", 408),
        ("POST /0/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", 408),
        ("POST /0/1 HTTP/1.1\r\nHost: h\r\nContent-Le", 408),
        (
            "POST /0/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nz\r\nGET /1/1 HTTP/1.1\r\nHost: h\r\n\r\n",
            400,
        ),
        ("HEAD /0/1 HTTP/1.1\r\nHost: h\r\nExpect: more\r\n\r\nGET /1/1 HTTP/1.1\r\nHost: h\r\n\r\n", 417),
    ] {
        let mut s = TcpStream::connect(&addr).await.expect("connected");
        s.write_all(sent.as_bytes()).await.expect("room");
        let got = answers(&mut s, &[]).await;
        assert_eq!(got.iter().map(|g| g.1).collect::<Vec<_>>(), [status], "{sent:?}");
    }
    assert!(ran.lock().unwrap().is_empty());
}

#[tokio::test(flavor = "current_thread")]
async fn a_client_that_went_away_leaves_nothing_to_the_next_one() {
    let (addr, ran, _open) = server(3000).await;
    for n in 0..20 {
        let mut s = TcpStream::connect(&addr).await.expect("connected");
        s.write_all(format!("GET /{n}/100000 HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes()).await.expect("room");
        if n % 2 == 0 {
            // Reset, at once or while the answer is being written.
            if n % 4 == 0 {
                let _ = s.read_u8().await;
            }
            s.set_zero_linger().expect("set");
        } else {
            s.shutdown().await.expect("shut");
            assert_eq!(answers(&mut s, &[]).await, [(format!("/{n}/100000"), 0, 100_000)]);
        }
    }
    let ran = ran.lock().unwrap();
    assert!((10..=20).contains(&ran.len()) && ran.iter().collect::<std::collections::HashSet<_>>().len() == ran.len());
}

#[tokio::test(flavor = "current_thread")]
async fn an_idle_connection_lives_by_the_limits_of_the_newest_configuration() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let idle = Arc::new(Mutex::new(100));
    let (told, (_open, closed)) = (idle.clone(), watch::channel(Closing::Open));
    let bounds = move || Bounds { idle_ms: *told.lock().unwrap(), ..Bounds::default() };
    tokio::spawn(listen(listener, bounds, closed, ClientWatch::Off, |_| async { Reply::new(200) }));
    let mut s = TcpStream::connect(&addr).await.expect("connected");
    s.write_all(b"GET /0/0 HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("room");
    // Raised while the connection rests, which is used again within the new limit.
    tokio::time::sleep(Duration::from_millis(50)).await;
    *idle.lock().unwrap() = 1000;
    tokio::time::sleep(Duration::from_millis(250)).await;
    s.write_all(b"GET /1/0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await.expect("room");
    assert_eq!(answers(&mut s, &[]).await.len(), 2);
}

#[tokio::test(flavor = "current_thread")]
async fn a_server_that_ends_answers_what_it_has_read_and_reads_no_more() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let (closing, closed) = watch::channel(Closing::Open);
    let ending = closed.clone();
    // Requests run for as long as their path says, or until the process is about to end.
    tokio::spawn(listen(listener, Bounds::default, closed, ClientWatch::Off, move |r: Request| {
        let mut ending = ending.clone();
        async move {
            let ms = r.path.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0);
            tokio::select! {
                _ = tokio::time::sleep(Duration::from_millis(ms)) => Reply::new(200),
                _ = ending.wait_for(|c| *c == Closing::Ending) => Reply::new(503),
            }
        }
    }));
    let ask = async |ms: u64| {
        let mut s = TcpStream::connect(&addr).await.expect("connected");
        s.write_all(format!("GET /0/{ms} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes()).await.expect("room");
        s
    };
    let (mut short, mut long) = (ask(100).await, ask(60_000).await);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let begun = std::time::Instant::now();
    let grace = Duration::from_millis(2000);
    let (_, mut late) = tokio::join!(shut_down_gracefully(&closing, grace, Duration::from_millis(5), || true), async {
        tokio::time::sleep(grace / 4).await;
        ask(300).await
    });
    let took = begun.elapsed();
    assert!(took > grace / 2 && took < grace, "{took:?}");
    let statuses = async |s: &mut TcpStream| answers(s, &[]).await.iter().map(|a| a.1).collect::<Vec<_>>();
    assert_eq!((statuses(&mut short).await, statuses(&mut late).await), (vec![200], vec![200]));
    assert_eq!(statuses(&mut long).await, [503], "told at the end, not cut");
    assert!(TcpStream::connect(&addr).await.is_err(), "nothing new is taken");
}

#[tokio::test(flavor = "current_thread")]
async fn a_handler_is_told_that_its_client_has_left_and_not_that_it_sent_another_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let (_closing, closed) = watch::channel(Closing::Open);
    let left: Arc<Mutex<Vec<(String, bool)>>> = Arc::default();
    let noted = left.clone();
    tokio::spawn(listen(listener, Bounds::default, closed, ClientWatch::On, move |r: Request| {
        let noted = noted.clone();
        async move {
            let has_left = tokio::time::timeout(Duration::from_millis(300), r.client_connection.closed()).await.is_ok();
            noted.lock().unwrap().push((r.path.clone(), has_left && r.client_connection.is_closed()));
            Reply::new(200)
        }
    }));
    let mut stays = TcpStream::connect(&addr).await.expect("connected");
    // Both at once: the second is read while the first is handled.
    stays.write_all(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("room");
    let mut leaves = TcpStream::connect(&addr).await.expect("connected");
    leaves.write_all(b"GET /3 HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("room");
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(leaves);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(*left.lock().unwrap(), [("/3".to_owned(), true)], "told at once");
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(left.lock().unwrap()[1..], [("/1".to_owned(), false), ("/2".to_owned(), false)]);
    drop(stays);
}
