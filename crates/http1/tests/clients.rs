//! Server behavior as seen by clients on loopback: pipelined, truncated and incomplete requests get
//! responses in order, each complete or recognizably not.

use bytes::{Bytes, BytesMut};
use http1::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts a server that records the paths of the requests that ran, and responds with as many bytes as
/// the last part of the path says.
async fn server(header_ms: u64) -> (String, Arc<Mutex<Vec<String>>>, watch::Sender<Closing>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let addr = listener.local_addr().expect("local address").to_string();
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

/// Reads the responses on a connection to its end: path, length of the request body (or the status)
/// and length of the response body. Panics if a response is incomplete.
async fn answers(s: &mut TcpStream, heads: &[bool]) -> Vec<(String, usize, usize)> {
    let (mut buf, mut all) = (BytesMut::new(), Vec::new());
    let more = async |buf: &mut BytesMut, s: &mut TcpStream| {
        tokio::time::timeout(READ_TIMEOUT, s.read_buf(buf))
            .await
            .expect("response or end of the connection")
            .unwrap_or(0)
            > 0
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
                assert!(buf.is_empty(), "incomplete response: {buf:?}");
                return all;
            }
            None => {}
        }
    }
}

#[derive(Clone, Debug)]
struct TestRequest {
    head: bool,
    chunked: bool,
    expect: bool,
    body_len: usize,
    response_len: usize,
}

fn encode(n: usize, a: &TestRequest) -> Vec<u8> {
    let method = if a.head { "HEAD" } else { "POST" };
    let mut t = format!("{method} /{n}/{} HTTP/1.1\r\nHost: h\r\n", a.response_len);
    if a.expect {
        t += "Expect: 100-continue\r\n";
    }
    let body = "b".repeat(a.body_len);
    match a.chunked {
        true if a.body_len > 0 => {
            t += &format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", a.body_len)
        }
        true => t += "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        false => t += &format!("Content-Length: {}\r\n\r\n{body}", a.body_len),
    }
    t.into_bytes()
}

/// Sends pipelined requests in pieces; the last one may be truncated.
async fn run_case(requests: Vec<TestRequest>, pieces: Vec<usize>, truncated_by: usize) {
    let (addr, ran, _open) = server(3000).await;
    let mut s = TcpStream::connect(&addr).await.expect("connected");
    let mut out: Vec<u8> = requests.iter().enumerate().flat_map(|(n, a)| encode(n, a)).collect();
    let last = encode(requests.len() - 1, &requests[requests.len() - 1]).len();
    let truncated_by = truncated_by % last;
    out.truncate(out.len() - truncated_by);
    let complete = requests.len() - usize::from(truncated_by > 0);
    let (_read, mut write) = s.split();
    let mut at = 0;
    for piece in pieces.iter().cycle() {
        let end = (at + piece).min(out.len());
        write.write_all(&out[at..end]).await.expect("sent");
        tokio::task::yield_now().await;
        at = end;
        if at == out.len() {
            break;
        }
    }
    write.shutdown().await.expect("shut");
    let heads: Vec<bool> = requests.iter().map(|a| a.head).collect();
    let got = answers(&mut s, &heads).await;
    let size = |a: &TestRequest| if a.head { 0 } else { a.response_len };
    let wanted =
        requests[..complete].iter().enumerate().map(|(n, a)| (format!("/{n}/{}", a.response_len), a.body_len, size(a)));
    assert_eq!(got, wanted.clone().collect::<Vec<_>>());
    assert_eq!(
        *ran.lock().unwrap(),
        wanted.map(|w| w.0).collect::<Vec<_>>(),
        "each complete request ran once, and no truncated one"
    );
}

#[test]
fn pipelined_requests_run_once_in_order_and_truncated_ones_never() {
    let ask = (any::<bool>(), any::<bool>(), any::<bool>(), 0..300usize, 0..300usize).prop_map(
        |(head, chunked, expect, body_len, response_len)| TestRequest { head, chunked, expect, body_len, response_len },
    );
    let all = (prop::collection::vec(ask, 1..6), prop::collection::vec(1..400usize, 1..8), any::<usize>());
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let cases = std::env::var("ANSWERS_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(200);
    let seed = RngSeed::Fixed(8);
    TestRunner::new(ProptestConfig { cases, failure_persistence: None, rng_seed: seed, ..ProptestConfig::default() })
        .run(&all, |(requests, pieces, truncated_by)| {
            rt.block_on(run_case(requests, pieces, truncated_by));
            Ok(())
        })
        .expect("no case fails");
}

#[tokio::test(flavor = "current_thread")]
async fn response_that_closes_its_connection_is_complete_despite_further_input() {
    let (addr, ran, _open) = server(3000).await;
    let mut s = TcpStream::connect(&addr).await.expect("connected");
    // More than the socket buffers hold, so that the response is still being written meanwhile.
    let big = 48 << 20;
    let close = format!("GET /0/{big} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    s.write_all(close.as_bytes()).await.expect("sent");
    // Sends more that the server does not handle, before the response is read.
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let _ = s.try_write(b"GET /1/1 HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    assert_eq!(answers(&mut s, &[]).await, [(format!("/0/{big}"), 0, big)]);
    assert_eq!(ran.lock().unwrap().len(), 1, "no request after one with Connection: close runs");
}

#[tokio::test(flavor = "current_thread")]
async fn incomplete_request_is_rejected_and_an_error_closes_the_connection() {
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
        s.write_all(sent.as_bytes()).await.expect("sent");
        let got = answers(&mut s, &[]).await;
        assert_eq!(got.iter().map(|g| g.1).collect::<Vec<_>>(), [status], "{sent:?}");
    }
    assert!(ran.lock().unwrap().is_empty());
}

#[tokio::test(flavor = "current_thread")]
async fn disconnected_clients_do_not_affect_later_ones() {
    let (addr, ran, _open) = server(3000).await;
    for n in 0..20 {
        let mut s = TcpStream::connect(&addr).await.expect("connected");
        s.write_all(format!("GET /{n}/100000 HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes()).await.expect("sent");
        if n % 2 == 0 {
            // Resets the connection, at once or while the response is being written.
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
async fn idle_connection_follows_the_limits_of_the_current_configuration() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let addr = listener.local_addr().expect("local address").to_string();
    let idle = Arc::new(Mutex::new(100));
    let (told, (_open, closed)) = (idle.clone(), watch::channel(Closing::Open));
    let bounds = move || Bounds { idle_ms: *told.lock().unwrap(), ..Bounds::default() };
    tokio::spawn(listen(listener, bounds, closed, ClientWatch::Off, |_| async { Reply::new(200) }));
    let mut s = TcpStream::connect(&addr).await.expect("connected");
    s.write_all(b"GET /0/0 HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("sent");
    // Raises the limit while the connection is idle, then uses it within the new limit.
    tokio::time::sleep(Duration::from_millis(50)).await;
    *idle.lock().unwrap() = 1000;
    tokio::time::sleep(Duration::from_millis(250)).await;
    s.write_all(b"GET /1/0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await.expect("sent");
    assert_eq!(answers(&mut s, &[]).await.len(), 2);
}

#[tokio::test(flavor = "current_thread")]
async fn server_that_shuts_down_answers_what_it_has_read_and_accepts_nothing_new() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let addr = listener.local_addr().expect("local address").to_string();
    let (closing, closed) = watch::channel(Closing::Open);
    let ending = closed.clone();
    // Requests run for as long as their path says, or until the process is about to exit.
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
        s.write_all(format!("GET /0/{ms} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes()).await.expect("sent");
        s
    };
    let (mut short, mut long) = (ask(100).await, ask(60_000).await);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let started = std::time::Instant::now();
    let grace = Duration::from_millis(2000);
    let (_, mut late) = tokio::join!(shut_down_gracefully(&closing, grace, Duration::from_millis(5), || true), async {
        tokio::time::sleep(grace / 4).await;
        ask(300).await
    });
    let took = started.elapsed();
    assert!(took > grace / 2 && took < grace, "{took:?}");
    let statuses = async |s: &mut TcpStream| answers(s, &[]).await.iter().map(|a| a.1).collect::<Vec<_>>();
    assert_eq!((statuses(&mut short).await, statuses(&mut late).await), (vec![200], vec![200]));
    assert_eq!(statuses(&mut long).await, [503], "answered at the end of the shutdown");
    assert!(TcpStream::connect(&addr).await.is_err(), "no new connection is accepted");
}

#[tokio::test(flavor = "current_thread")]
async fn handler_is_notified_of_a_disconnect_but_not_of_a_pipelined_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let addr = listener.local_addr().expect("local address").to_string();
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
    // Two pipelined requests: the second is read while the first is handled.
    stays.write_all(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("sent");
    let mut leaves = TcpStream::connect(&addr).await.expect("connected");
    leaves.write_all(b"GET /3 HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("sent");
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(leaves);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(*left.lock().unwrap(), [("/3".to_owned(), true)], "notified at once");
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(left.lock().unwrap()[1..], [("/1".to_owned(), false), ("/2".to_owned(), false)]);
    drop(stays);
}

/// Sends the head of a request with a body of `length` bytes and returns the connection.
async fn begin_request(addr: &str, length: usize) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.expect("connected");
    let head = format!("POST /x/0 HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

/// Reads until the response is complete or the connection ends.
async fn read_text(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    while !text.ends_with(b"}") && !text.windows(4).any(|end| end == b"\r\n\r\n") {
        let read = tokio::time::timeout(READ_TIMEOUT, stream.read_buf(&mut text)).await;
        if read.expect("a response").unwrap_or(0) == 0 {
            break;
        }
    }
    String::from_utf8(text).expect("text")
}

/// Bodies of all requests share a budget; what exceeds it is refused before it is read. In a runtime of its own
/// process-wide count: no other test of this file sends bodies of this length.
#[tokio::test(flavor = "current_thread")]
async fn bodies_beyond_the_budget_are_refused_before_they_are_read() {
    const BODY: usize = 1 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let addr = listener.local_addr().expect("local address").to_string();
    let (_open, closing) = watch::channel(Closing::Open);
    let bounds = || Bounds { body_bytes: BODY, body_budget_bytes: 2 * BODY + (256 << 10), ..Bounds::default() };
    tokio::spawn(listen(listener, bounds, closing, ClientWatch::Off, |_| async { Reply::new(200) }));
    let mut first = begin_request(&addr, BODY).await;
    let mut second = begin_request(&addr, BODY).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let refused = read_text(&mut begin_request(&addr, BODY).await).await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.to_ascii_lowercase().contains("retry-after: 1"), "{refused}");
    // A client that leaves and one that is answered return what they reserved.
    drop(second);
    first.write_all(&vec![b'x'; BODY]).await.expect("sent");
    assert!(read_text(&mut first).await.starts_with("HTTP/1.1 200"));
    tokio::time::sleep(Duration::from_millis(100)).await;
    second = begin_request(&addr, BODY).await;
    let mut third = begin_request(&addr, BODY).await;
    for stream in [&mut second, &mut third] {
        stream.write_all(&vec![b'x'; BODY]).await.expect("sent");
        assert!(read_text(stream).await.starts_with("HTTP/1.1 200"));
    }
}
