//! Calls against stand-in servers on loopback that answer out of turn, cut and keep
//! silent: which answer is taken for which call.

use http1::*;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const WAIT: Duration = Duration::from_millis(300);

/// What a stand-in does with a request.
#[derive(Clone, Debug)]
enum Do {
    Send(Vec<u8>),
    Reset,
    Close,
}

#[derive(Default)]
struct Seen {
    connections: usize,
    /// How often each request was read whole, by its id.
    runs: HashMap<String, usize>,
}

fn answer(id: &str, body: &str) -> Vec<u8> {
    let named = if id.is_empty() { String::new() } else { format!("X-Attempt-Id: {id}\r\n") };
    format!("HTTP/1.1 200 OK\r\n{named}X-Seal: s-{body}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A server that does what `plan` says: of a request's id and its turn on its connection.
async fn server(plan: impl Fn(&str, usize) -> Vec<Do> + Send + Sync + 'static) -> (String, Arc<Mutex<Seen>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let (seen, plan) = (Arc::new(Mutex::new(Seen::default())), Arc::new(plan));
    let all = seen.clone();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = listener.accept().await {
            seen.lock().unwrap().connections += 1;
            let (seen, plan) = (seen.clone(), plan.clone());
            tokio::spawn(async move {
                let (mut buf, mut turn) = (Vec::new(), 0);
                while let Some(id) = read_one(&mut s, &mut buf).await {
                    *seen.lock().unwrap().runs.entry(id.clone()).or_default() += 1;
                    for step in plan(&id, turn) {
                        match step {
                            Do::Send(bytes) => {
                                if s.write_all(&bytes).await.is_err() {
                                    return;
                                }
                            }
                            Do::Reset => return s.set_zero_linger().expect("set"),
                            Do::Close => return,
                        }
                    }
                    turn += 1;
                }
            });
        }
    });
    (addr, all)
}

/// The id of the next request on a connection: its `X-Attempt-Id`, or its path.
async fn read_one(s: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(buf).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let of = |n: &str| text[..end].split("\r\n").find_map(|l| l.strip_prefix(n)).map(str::to_owned);
            let length = of("Content-Length: ").map_or(0, |l| l.parse().expect("a length"));
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
    pool.call(addr, call, 4, WAIT).await
}

fn body(a: &Result<Answer, SendError>) -> String {
    a.as_ref().map_or_else(|m| format!("{m:?}"), |a| String::from_utf8_lossy(&a.body).into_owned())
}

#[tokio::test(flavor = "current_thread")]
async fn an_answer_that_names_no_request_says_nothing_of_any() {
    let plan = |id: &str, _| match id {
        "mixed" => vec![Do::Send(answer("", "another's")), Do::Send(answer(id, "own"))],
        "unnamed" => vec![Do::Send(answer("", "another's")), Do::Close],
        // A promise that names nobody may be that of another.
        "not run" => {
            vec![Do::Send(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_vec()), Do::Close]
        }
        _ => vec![Do::Send(answer(id, "own"))],
    };
    let (addr, seen) = server(plan).await;
    let pool = ConnectionPool::new(Duration::from_secs(9));
    assert_eq!(body(&call(&pool, &addr, "mixed", "/").await), "own");
    assert_eq!(body(&call(&pool, &addr, "unnamed", "/").await), "Lost");
    assert_eq!(body(&call(&pool, &addr, "not run", "/").await), "Lost");
    assert_eq!(body(&call(&pool, &addr, "a", "/").await), "own");
    assert_eq!(seen.lock().unwrap().connections, 4, "none of them is used again");
    assert_eq!(body(&call(&pool, &addr, "b", "/").await), "own");
    assert_eq!(seen.lock().unwrap().connections, 4, "one that is in step is");
}

#[tokio::test(flavor = "current_thread")]
async fn a_call_whose_answer_names_nobody_has_a_connection_of_its_own() {
    // The answer to the first comes a second time, just when the second call is read.
    let plan = |path: &str, turn| {
        let late = if turn > 0 { answer("", "/first") } else { Vec::new() };
        vec![Do::Send(late), Do::Send(answer("", path))]
    };
    let (addr, seen) = server(plan).await;
    let pool = ConnectionPool::new(Duration::from_secs(9));
    for path in ["/first", "/second", "/third"] {
        assert_eq!(body(&call(&pool, &addr, "", path).await), path);
    }
    assert!(seen.lock().unwrap().runs.values().all(|n| *n == 1));
}

/// Guards against REFUSED and MIXED: the second answer to a first send counted as that to the second.
#[tokio::test(flavor = "current_thread")]
async fn a_late_answer_to_an_earlier_send_of_a_request_is_not_that_to_a_later_one() {
    // The second answer to the first send comes only as the next request is read.
    let plan = |id: &str, turn| {
        let late = if turn > 0 { answer("again", "first send") } else { Vec::new() };
        let own = if id == "again" { "own" } else { id };
        vec![Do::Send(late), Do::Send(answer(id, own))]
    };
    let (addr, seen) = server(plan).await;
    let pool = ConnectionPool::new(Duration::from_secs(9));
    for _ in 0..3 {
        assert_eq!(body(&call(&pool, &addr, "again", "/").await), "own");
    }
    assert_eq!(seen.lock().unwrap().connections, 3, "no connection carries a request twice");
    assert_eq!(body(&call(&pool, &addr, "other", "/").await), "other", "another's answer is passed over");
    let seen = seen.lock().unwrap();
    assert_eq!((seen.connections, seen.runs["again"]), (3, 3), "another request goes by a kept one");
}

/// Guards against LOST: a time in `Keep-Alive` that is none ended the process.
#[tokio::test(flavor = "current_thread")]
async fn a_server_may_say_anything_of_how_long_it_keeps_a_connection() {
    let told = ["NaN", "inf", "-1", "1e400", "99999999999999999999", "", "5", "5, timeout=NaN", "\u{fffd}"];
    let plan = move |id: &str, _| {
        let time = told[id.parse::<usize>().expect("a number")];
        let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nKeep-Alive: timeout={time}\r\n");
        vec![Do::Send(format!("{head}Content-Length: 2\r\n\r\nok").into_bytes())]
    };
    let (addr, seen) = server(plan).await;
    let pool = ConnectionPool::new(Duration::from_secs(9));
    for (number, time) in told.iter().enumerate() {
        assert_eq!(body(&call(&pool, &addr, &number.to_string(), "/").await), "ok", "{time}");
    }
    assert_eq!(seen.lock().unwrap().connections, 1, "what is no time says nothing");
}

#[tokio::test(flavor = "current_thread")]
async fn an_answer_with_two_lengths_or_a_false_one_is_none() {
    for bad in [
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip\r\n",
    ] {
        let text = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n{bad}\r\n3\r\nabc\r\n0\r\n\r\n");
        let (addr, _) = server(move |_, _| vec![Do::Send(text.clone().into_bytes())]).await;
        let got = call(&ConnectionPool::new(WAIT), &addr, "a", "/").await;
        assert!(got.is_err(), "{bad:?}: {got:?}");
    }
}

#[tokio::test(flavor = "current_thread")]
async fn nothing_after_a_send_says_that_it_did_not_run() {
    // Over a kept connection that the other side forgot: reset, closed, or half an answer.
    for (id, end) in [("reset", Do::Reset), ("close", Do::Close)] {
        for cut in [0, 1, 20, answer(id, "own").len() - 1] {
            let end = end.clone();
            let plan = move |id: &str, turn| match turn {
                0 => vec![Do::Send(answer(id, "own"))],
                _ => vec![Do::Send(answer(id, "own")[..cut].to_vec()), end.clone()],
            };
            let (addr, seen) = server(plan).await;
            let pool = ConnectionPool::new(Duration::from_secs(9));
            assert_eq!(body(&call(&pool, &addr, "a", "/").await), "own");
            assert_eq!(body(&call(&pool, &addr, id, "/").await), "Lost", "{id} after {cut}");
            assert_eq!(seen.lock().unwrap().runs[id], 1, "the pool itself sends nothing twice");
        }
    }
}

/// What a processor in trouble does with a request.
#[derive(Clone, Debug)]
enum Trouble {
    None,
    /// Another's answer first: its id, or none.
    Before(bool),
    /// Its own answer a second time, at once or in the place of the next one.
    RetryOwner(bool),
    Unnamed,
    Garbage(Vec<u8>),
    Cut(usize, bool),
    Silent,
    Closing,
}

fn steps(id: &str, trouble: Trouble, late: &mut Vec<u8>) -> Vec<Do> {
    let own = answer(id, id);
    let held = std::mem::take(late);
    let mut all = vec![Do::Send(held)];
    all.extend(match trouble {
        Trouble::None => vec![Do::Send(own)],
        Trouble::Before(named) => vec![Do::Send(answer(if named { "other" } else { "" }, "wrong")), Do::Send(own)],
        Trouble::RetryOwner(at_once) => {
            if !at_once {
                *late = own.clone();
            }
            vec![Do::Send(own.clone()), Do::Send(if at_once { own } else { Vec::new() })]
        }
        Trouble::Unnamed => vec![Do::Send(answer("", "wrong"))],
        Trouble::Garbage(g) => vec![Do::Send(g), Do::Send(own)],
        Trouble::Cut(n, reset) => {
            vec![Do::Send(own[..n % own.len()].to_vec()), if reset { Do::Reset } else { Do::Close }]
        }
        Trouble::Silent => vec![],
        Trouble::Closing => vec![Do::Send(own), Do::Close],
    });
    all
}

async fn play(troubles: Vec<Trouble>, together: usize) {
    let (plan, late) = (Mutex::new(troubles.clone().into_iter()), Mutex::new(HashMap::<u32, Vec<u8>>::new()));
    let (addr, seen) = server(move |id, turn| {
        // What is late is so on any connection: it may be in place of anybody's.
        let trouble = plan.lock().unwrap().next().unwrap_or(Trouble::None);
        let mut late = late.lock().unwrap();
        let held = late.entry(0).or_default();
        if turn == 0 { steps(id, trouble, &mut Vec::new()) } else { steps(id, trouble, held) }
    })
    .await;
    let pool = ConnectionPool::new(Duration::from_secs(9));
    let ids: Vec<String> = (0..troubles.len() + 2).map(|n| format!("m{n}")).collect();
    for some in ids.chunks(together) {
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
                (id.clone(), pool.call(&addr, c, 4, WAIT / 10).await)
            })
        });
        let calls: Vec<_> = calls.collect();
        for c in calls {
            let (id, got) = c.await.expect("no panic");
            let ran = seen.lock().unwrap().runs.get(&id).copied().unwrap_or(0);
            match got {
                Ok(a) => {
                    assert_eq!(
                        (a.header("x-attempt-id"), a.header("x-seal")),
                        (Some(id.as_str()), Some(&*format!("s-{id}")))
                    );
                    assert_eq!((&a.body[..], a.is_complete, ran), (id.as_bytes(), true, 1), "{troubles:?}");
                }
                Err(SendError::NotSent) => assert_eq!(ran, 0),
                Err(_) => assert!(ran <= 1),
            }
        }
    }
    assert!(seen.lock().unwrap().runs.values().all(|n| *n == 1), "no request is sent twice by the pool");
}

#[test]
fn a_call_gets_its_own_answer_or_none_whatever_a_processor_sends() {
    use proptest::prelude::*;
    use proptest::test_runner::{RngSeed, TestRunner};
    let one = prop_oneof![
        4 => Just(Trouble::None),
        2 => any::<bool>().prop_map(Trouble::Before),
        2 => any::<bool>().prop_map(Trouble::RetryOwner),
        1 => Just(Trouble::Unnamed),
        1 => prop::collection::vec(any::<u8>(), 1..40).prop_map(Trouble::Garbage),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(n, reset)| Trouble::Cut(n, reset)),
        1 => Just(Trouble::Silent),
        1 => Just(Trouble::Closing),
    ];
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let cases = std::env::var("ANSWERS_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    let seed = RngSeed::Fixed(9);
    TestRunner::new(ProptestConfig { cases, failure_persistence: None, rng_seed: seed, ..ProptestConfig::default() })
        .run(&(prop::collection::vec(one, 1..10), 1..4usize), |(troubles, together)| {
            rt.block_on(play(troubles, together));
            Ok(())
        })
        .expect("no case fails");
}

/// A call that may be given up soon: its server answers, though not to it.
async fn short_call(pool: &ConnectionPool, addr: &str, id: &str) -> Result<Answer, SendError> {
    let headers = [("X-Attempt-Id", id)];
    let call =
        Call { method: "POST", path: "/", host: "h", headers: &headers, body: b"x", id, newest: None, connect: None };
    pool.call(addr, call, 4, WAIT / 6).await
}

#[tokio::test(flavor = "current_thread")]
async fn a_server_whose_answers_never_name_their_request_is_found_until_one_does() {
    let plan = |id: &str, _| match id {
        "named" => vec![Do::Send(answer(id, "own"))],
        "silent" => vec![],
        "closed" => vec![Do::Send(answer("", "unnamed")), Do::Close],
        _ => vec![Do::Send(answer("", "unnamed"))],
    };
    let (addr, _) = server(plan).await;
    let pool = ConnectionPool::new(Duration::from_secs(9));
    // Silence says nothing of names; strays between answers that name theirs are strays.
    for id in ["silent", "silent", "silent", "a", "b", "named", "c", "d"] {
        let _ = short_call(&pool, &addr, id).await;
        assert!(pool.unidentified().is_empty(), "found with {id}");
    }
    assert_eq!(body(&short_call(&pool, &addr, "closed").await), "Lost");
    assert_eq!(pool.unidentified(), [addr.as_str()]);
    assert_eq!(body(&short_call(&pool, &addr, "e").await), "Silent");
    pool.sweep(|_| true);
    assert_eq!(pool.unidentified(), [addr.as_str()], "remembered while it is called");
    assert_eq!(body(&short_call(&pool, &addr, "named").await), "own");
    assert!(pool.unidentified().is_empty(), "it names requests now");
}

#[tokio::test(flavor = "current_thread")]
async fn a_server_that_names_no_request_is_forgotten_when_it_is_not_called() {
    let (addr, _) = server(|_, _| vec![Do::Send(answer("", "unnamed")), Do::Close]).await;
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
