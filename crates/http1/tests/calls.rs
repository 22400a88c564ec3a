//! Calls to loopback servers that send stray, duplicate, truncated or no responses: which response is
//! accepted for which call.

use http1::*;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// A step of the test server's reaction to a request.
#[derive(Clone, Debug)]
enum Step {
    Send(Vec<u8>),
    Reset,
    Close,
}

/// What the test server has received.
#[derive(Default)]
struct Received {
    connections: usize,
    /// How often each request was received in full, by its id.
    runs: HashMap<String, usize>,
}

fn answer(id: &str, body: &str) -> Vec<u8> {
    let id_header = if id.is_empty() { String::new() } else { format!("X-Attempt-Id: {id}\r\n") };
    format!("HTTP/1.1 200 OK\r\n{id_header}X-Seal: s-{body}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// Starts a server that carries out the steps that `plan` gives for the id of a request and its index
/// on its connection.
async fn server(plan: impl Fn(&str, usize) -> Vec<Step> + Send + Sync + 'static) -> (String, Arc<Mutex<Received>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let addr = listener.local_addr().expect("local address").to_string();
    let (received, plan) = (Arc::new(Mutex::new(Received::default())), Arc::new(plan));
    let all = received.clone();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = listener.accept().await {
            received.lock().unwrap().connections += 1;
            let (received, plan) = (received.clone(), plan.clone());
            tokio::spawn(async move {
                let (mut buf, mut index) = (Vec::new(), 0);
                while let Some(id) = read_request(&mut s, &mut buf).await {
                    *received.lock().unwrap().runs.entry(id.clone()).or_default() += 1;
                    for step in plan(&id, index) {
                        match step {
                            Step::Send(bytes) => {
                                if s.write_all(&bytes).await.is_err() {
                                    return;
                                }
                            }
                            Step::Reset => return s.set_zero_linger().expect("set"),
                            Step::Close => return,
                        }
                    }
                    index += 1;
                }
            });
        }
    });
    (addr, all)
}

/// The id of the next request on a connection: its `X-Attempt-Id`, or its path.
async fn read_request(s: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(buf).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let of = |n: &str| text[..end].split("\r\n").find_map(|l| l.strip_prefix(n)).map(str::to_owned);
            let length = of("Content-Length: ").map_or(0, |l| l.parse().expect("length"));
            if buf.len() >= end + 4 + length {
                buf.drain(..end + 4 + length);
                return of("X-Attempt-Id: ").or_else(|| text.split(' ').nth(1).map(str::to_owned));
            }
        }
        if s.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
}

async fn call(pool: &ConnectionPool, addr: &str, id: &str, path: &str) -> Result<Answer, SendError> {
    let headers = [("X-Attempt-Id", id)];
    let headers: &[(&str, &str)] = if id.is_empty() { &[] } else { &headers };
    let call = Call { method: "POST", path, host: "h", headers, body: b"x", id, newest: None, connect: None };
    pool.call(addr, call, 4, CALL_TIMEOUT).await
}

fn body(a: &Result<Answer, SendError>) -> String {
    a.as_ref().map_or_else(|m| format!("{m:?}"), |a| String::from_utf8_lossy(&a.body).into_owned())
}

#[tokio::test(flavor = "current_thread")]
async fn response_without_an_id_is_ignored_and_its_connection_is_not_reused() {
    let plan = |id: &str, _| match id {
        "mixed" => vec![Step::Send(answer("", "stray")), Step::Send(answer(id, "own"))],
        "without id" => vec![Step::Send(answer("", "stray")), Step::Close],
        // A promise without an id may belong to another request.
        "not run" => {
            vec![Step::Send(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_vec()), Step::Close]
        }
        _ => vec![Step::Send(answer(id, "own"))],
    };
    let (addr, received) = server(plan).await;
    let pool = ConnectionPool::new(Duration::from_secs(9));
    assert_eq!(body(&call(&pool, &addr, "mixed", "/").await), "own");
    assert_eq!(body(&call(&pool, &addr, "without id", "/").await), "Lost");
    assert_eq!(body(&call(&pool, &addr, "not run", "/").await), "Lost");
    assert_eq!(body(&call(&pool, &addr, "a", "/").await), "own");
    assert_eq!(received.lock().unwrap().connections, 4, "none of these connections is reused");
    assert_eq!(body(&call(&pool, &addr, "b", "/").await), "own");
    assert_eq!(received.lock().unwrap().connections, 4, "a connection without surplus responses is reused");
}

#[tokio::test(flavor = "current_thread")]
async fn call_without_an_id_uses_a_new_connection() {
    // From the second request on a connection on, the first response arrives once more before the right
    // one.
    let plan = |path: &str, index| {
        let late = if index > 0 { answer("", "/first") } else { Vec::new() };
        vec![Step::Send(late), Step::Send(answer("", path))]
    };
    let (addr, received) = server(plan).await;
    let pool = ConnectionPool::new(Duration::from_secs(9));
    for path in ["/first", "/second", "/third"] {
        assert_eq!(body(&call(&pool, &addr, "", path).await), path);
    }
    assert!(received.lock().unwrap().runs.values().all(|n| *n == 1));
}

/// Guards against the outcomes REFUSED and MIXED: a duplicate response to the first send of a request
/// was taken for the response to its second send.
#[tokio::test(flavor = "current_thread")]
async fn late_response_to_an_earlier_send_is_not_taken_for_that_to_a_retry() {
    // The duplicate response to the first send arrives when the next request is read.
    let plan = |id: &str, index| {
        let late = if index > 0 { answer("again", "first send") } else { Vec::new() };
        let own = if id == "again" { "own" } else { id };
        vec![Step::Send(late), Step::Send(answer(id, own))]
    };
    let (addr, received) = server(plan).await;
    let pool = ConnectionPool::new(Duration::from_secs(9));
    for _ in 0..3 {
        assert_eq!(body(&call(&pool, &addr, "again", "/").await), "own");
    }
    assert_eq!(received.lock().unwrap().connections, 3, "no connection carries the same id twice");
    assert_eq!(body(&call(&pool, &addr, "other", "/").await), "other", "a response with another id is skipped");
    let received = received.lock().unwrap();
    assert_eq!((received.connections, received.runs["again"]), (3, 3), "a request with another id reuses a connection");
}

/// Guards against the outcome LOST: an invalid time in `Keep-Alive` ended the process.
#[tokio::test(flavor = "current_thread")]
async fn invalid_keep_alive_timeouts_are_ignored() {
    let timeouts = ["NaN", "inf", "-1", "1e400", "99999999999999999999", "", "5", "5, timeout=NaN", "\u{fffd}"];
    let plan = move |id: &str, _| {
        let time = timeouts[id.parse::<usize>().expect("number")];
        let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nKeep-Alive: timeout={time}\r\n");
        vec![Step::Send(format!("{head}Content-Length: 2\r\n\r\nok").into_bytes())]
    };
    let (addr, received) = server(plan).await;
    let pool = ConnectionPool::new(Duration::from_secs(9));
    for (number, time) in timeouts.iter().enumerate() {
        assert_eq!(body(&call(&pool, &addr, &number.to_string(), "/").await), "ok", "{time}");
    }
    assert_eq!(received.lock().unwrap().connections, 1, "an invalid time has no effect");
}

#[tokio::test(flavor = "current_thread")]
async fn response_with_an_ambiguous_or_invalid_length_is_refused() {
    for bad in [
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip\r\n",
    ] {
        let text = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n{bad}\r\n3\r\nabc\r\n0\r\n\r\n");
        let (addr, _) = server(move |_, _| vec![Step::Send(text.clone().into_bytes())]).await;
        let got = call(&ConnectionPool::new(CALL_TIMEOUT), &addr, "a", "/").await;
        assert!(got.is_err(), "{bad:?}: {got:?}");
    }
}

#[tokio::test(flavor = "current_thread")]
async fn failure_after_a_send_is_never_reported_as_not_sent() {
    // On a reused connection that the server resets or closes, before or within the response.
    for (id, end) in [("reset", Step::Reset), ("close", Step::Close)] {
        for cut in [0, 1, 20, answer(id, "own").len() - 1] {
            let end = end.clone();
            let plan = move |id: &str, index| match index {
                0 => vec![Step::Send(answer(id, "own"))],
                _ => vec![Step::Send(answer(id, "own")[..cut].to_vec()), end.clone()],
            };
            let (addr, received) = server(plan).await;
            let pool = ConnectionPool::new(Duration::from_secs(9));
            assert_eq!(body(&call(&pool, &addr, "a", "/").await), "own");
            assert_eq!(body(&call(&pool, &addr, id, "/").await), "Lost", "{id} after {cut}");
            assert_eq!(received.lock().unwrap().runs[id], 1, "the pool does not retry");
        }
    }
}

/// How a faulty processor reacts to a request.
#[derive(Clone, Debug)]
enum Fault {
    None,
    /// A wrong response comes first, with another id (true) or none (false).
    StrayFirst(bool),
    /// The right response is sent twice, the second time at once (true) or before a later response.
    Duplicate(bool),
    WithoutId,
    Garbage(Vec<u8>),
    /// The response is truncated; then the connection is reset (true) or closed.
    Truncated(usize, bool),
    NoResponse,
    CloseAfterResponse,
}

fn steps(id: &str, fault: Fault, late: &mut Vec<u8>) -> Vec<Step> {
    let own = answer(id, id);
    let held = std::mem::take(late);
    let mut all = vec![Step::Send(held)];
    all.extend(match fault {
        Fault::None => vec![Step::Send(own)],
        Fault::StrayFirst(named) => {
            vec![Step::Send(answer(if named { "other" } else { "" }, "wrong")), Step::Send(own)]
        }
        Fault::Duplicate(at_once) => {
            if !at_once {
                *late = own.clone();
            }
            vec![Step::Send(own.clone()), Step::Send(if at_once { own } else { Vec::new() })]
        }
        Fault::WithoutId => vec![Step::Send(answer("", "wrong"))],
        Fault::Garbage(g) => vec![Step::Send(g), Step::Send(own)],
        Fault::Truncated(n, reset) => {
            vec![Step::Send(own[..n % own.len()].to_vec()), if reset { Step::Reset } else { Step::Close }]
        }
        Fault::NoResponse => vec![],
        Fault::CloseAfterResponse => vec![Step::Send(own), Step::Close],
    });
    all
}

async fn run_case(faults: Vec<Fault>, concurrent: usize) {
    let (plan, late) = (Mutex::new(faults.clone().into_iter()), Mutex::new(HashMap::<u32, Vec<u8>>::new()));
    let (addr, received) = server(move |id, index| {
        // Late responses are shared by all connections, so that one may precede that to any request.
        let fault = plan.lock().unwrap().next().unwrap_or(Fault::None);
        let mut late = late.lock().unwrap();
        let held = late.entry(0).or_default();
        if index == 0 { steps(id, fault, &mut Vec::new()) } else { steps(id, fault, held) }
    })
    .await;
    let pool = ConnectionPool::new(Duration::from_secs(9));
    let ids: Vec<String> = (0..faults.len() + 2).map(|n| format!("m{n}")).collect();
    for some in ids.chunks(concurrent) {
        let calls = some.iter().map(|id| {
            let (pool, addr, id) = (pool.clone(), addr.clone(), id.clone());
            tokio::spawn(async move {
                let headers = [("X-Attempt-Id", id.as_str())];
                let c = Call {
                    method: "POST",
                    path: "/",
                    host: "h",
                    headers: &headers,
                    body: b"x",
                    id: &id,
                    newest: None,
                    connect: None,
                };
                (id.clone(), pool.call(&addr, c, 4, CALL_TIMEOUT / 10).await)
            })
        });
        let calls: Vec<_> = calls.collect();
        for c in calls {
            let (id, got) = c.await.expect("no panic");
            let ran = received.lock().unwrap().runs.get(&id).copied().unwrap_or(0);
            match got {
                Ok(a) => {
                    assert_eq!(
                        (a.header("x-attempt-id"), a.header("x-seal")),
                        (Some(id.as_str()), Some(&*format!("s-{id}")))
                    );
                    assert_eq!((&a.body[..], a.is_complete, ran), (id.as_bytes(), true, 1), "{faults:?}");
                }
                Err(SendError::NotSent) => assert_eq!(ran, 0),
                Err(_) => assert!(ran <= 1),
            }
        }
    }
    assert!(received.lock().unwrap().runs.values().all(|n| *n == 1), "the pool sends no request twice");
}

#[test]
fn call_gets_its_own_response_or_an_error_whatever_the_processor_sends() {
    use proptest::prelude::*;
    use proptest::test_runner::{RngSeed, TestRunner};
    let one = prop_oneof![
        4 => Just(Fault::None),
        2 => any::<bool>().prop_map(Fault::StrayFirst),
        2 => any::<bool>().prop_map(Fault::Duplicate),
        1 => Just(Fault::WithoutId),
        1 => prop::collection::vec(any::<u8>(), 1..40).prop_map(Fault::Garbage),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(n, reset)| Fault::Truncated(n, reset)),
        1 => Just(Fault::NoResponse),
        1 => Just(Fault::CloseAfterResponse),
    ];
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime starts");
    let cases = std::env::var("ANSWERS_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    let seed = RngSeed::Fixed(9);
    TestRunner::new(ProptestConfig { cases, failure_persistence: None, rng_seed: seed, ..ProptestConfig::default() })
        .run(&(prop::collection::vec(one, 1..10), 1..4usize), |(faults, concurrent)| {
            rt.block_on(run_case(faults, concurrent));
            Ok(())
        })
        .expect("no case fails");
}

/// A call with a short time-out, to a server whose responses are not for it.
async fn short_call(pool: &ConnectionPool, addr: &str, id: &str) -> Result<Answer, SendError> {
    let headers = [("X-Attempt-Id", id)];
    let call =
        Call { method: "POST", path: "/", host: "h", headers: &headers, body: b"x", id, newest: None, connect: None };
    pool.call(addr, call, 4, CALL_TIMEOUT / 6).await
}

#[tokio::test(flavor = "current_thread")]
async fn server_whose_responses_lack_ids_is_listed_until_one_has_its_id() {
    let plan = |id: &str, _| match id {
        "named" => vec![Step::Send(answer(id, "own"))],
        "silent" => vec![],
        "closed" => vec![Step::Send(answer("", "without id")), Step::Close],
        _ => vec![Step::Send(answer("", "without id"))],
    };
    let (addr, _) = server(plan).await;
    let pool = ConnectionPool::new(Duration::from_secs(9));
    // Time-outs do not count, and neither do stray responses between responses with ids.
    for id in ["silent", "silent", "silent", "a", "b", "named", "c", "d"] {
        let _ = short_call(&pool, &addr, id).await;
        assert!(pool.unidentified().is_empty(), "listed after {id}");
    }
    assert_eq!(body(&short_call(&pool, &addr, "closed").await), "Lost");
    assert_eq!(pool.unidentified(), [addr.as_str()]);
    assert_eq!(body(&short_call(&pool, &addr, "e").await), "Silent");
    pool.sweep(|_| true);
    assert_eq!(pool.unidentified(), [addr.as_str()], "not forgotten within the retention time");
    assert_eq!(body(&short_call(&pool, &addr, "named").await), "own");
    assert!(pool.unidentified().is_empty(), "its response repeats the id now");
}

#[tokio::test(flavor = "current_thread")]
async fn server_without_ids_is_forgotten_when_it_is_no_longer_called() {
    let (addr, _) = server(|_, _| vec![Step::Send(answer("", "without id")), Step::Close]).await;
    let pool = ConnectionPool::new(Duration::from_millis(1));
    for id in ["a", "b", "c"] {
        assert_eq!(body(&short_call(&pool, &addr, id).await), "Lost");
    }
    for _ in 0..200 {
        pool.sweep(|_| true);
        if pool.unidentified().is_empty() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("not forgotten");
}
