//! What clients are told when it is unclear whether a message was taken, played
//! against a stand-in owner on loopback.

mod common;

use agent::ClusterView;
use config::{Configuration, ConfigurationIndex, Settings};
use front::{FrontService, PlacementKeys, partition_of};
use http1::Request;
use rpc::Body;
use rpc::messages::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"revision": 1, "channels": [
  {"name": "r1", "host": "h", "prefix": "/a/", "mode": "deferred", "cutoffMs": 100, "setpointMs": 300, "plant": "p", "tries": 3, "retainS": 9},
  {"name": "r2", "host": "h", "prefix": "/s/", "mode": "deferred", "cutoffMs": 100, "setpointMs": 300, "plant": "p", "sequenced": true, "tries": 3, "retainS": 9},
  {"name": "r3", "host": "h", "prefix": "/t/", "mode": "deferred", "cutoffMs": 100, "setpointMs": 300, "plant": "q", "sequenced": true, "tries": 3, "retainS": 9},
  {"name": "r4", "host": "h", "prefix": "/e/", "mode": "deferred", "cutoffMs": 100, "setpointMs": 300, "plant": "e", "tries": 3, "retainS": 9}],
  "plants": [{"name": "p"}, {"name": "q"}, {"name": "e", "flowPerS": 9, "endpoint": "10.0.0.1:80"}], "limits": {}}"#;

fn known(addr: &str) -> ClusterView {
    common::view(addr, CONFIG)
}

/// A front beside an owner that answers as `answer` says; None is silence.
async fn played(answer: Option<AcceptOutcome>) -> (u16, bool, usize, Duration) {
    played_until(answer, None).await
}

/// As `played`, in a process that is about to end after a time.
async fn played_until(answer: Option<AcceptOutcome>, end: Option<Duration>) -> (u16, bool, usize, Duration) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let seen = Arc::new(AtomicUsize::new(0));
    let count = seen.clone();
    tokio::spawn(rpc::serve(listener, Duration::from_secs(1), move |body, responder| {
        if let Body::Accept(_) = body {
            count.fetch_add(1, Ordering::Relaxed);
            if let Some(a) = answer {
                responder.send(Body::Accepted(Accepted { outcome: a as i32, position: 7, ..Accepted::default() }));
            } else {
                std::mem::forget(responder);
            }
        }
    }));
    let mut settings = Settings { zone: "x".into(), ..Settings::default() };
    settings.constraints.quiet_ms = 4000.0;
    let front = FrontService::new(settings);
    front.view.send_replace(known(&addr));
    let header = |n: &str, v: &str| (n.to_owned(), v.to_owned());
    let request = Request {
        method: "POST".into(),
        path: "/a/1".into(),
        headers: vec![header("Host", "h"), header("X-Attempt-Id", "m1")],
        ..Request::default()
    };
    if let Some(end) = end {
        let ending = front.clone();
        tokio::spawn(async move {
            tokio::time::sleep(end).await;
            ending.closing.send_replace(http1::Closing::Ending);
        });
    }
    let begun = Instant::now();
    let reply = front.accept_message(request).await;
    let retry = reply.headers.iter().any(|h| h.0 == "Retry-After");
    (reply.status, retry, seen.load(Ordering::Relaxed), begun.elapsed())
}

#[tokio::test(flavor = "current_thread")]
async fn a_503_is_never_given_for_what_may_have_been_taken() {
    // The owner has it and says nothing: it may run later.
    let (status, _, seen, _) = played(None).await;
    assert_eq!((status, seen >= 1), (504, true));
    let (status, ..) = played(Some(AcceptOutcome::Unclear)).await;
    assert_eq!(status, 504);
}

#[tokio::test(flavor = "current_thread")]
async fn what_was_not_taken_is_told_when_to_come_back() {
    let (status, retry, seen, _) = played(Some(AcceptOutcome::Elsewhere)).await;
    assert_eq!((status, retry), (503, true));
    assert!(seen > 2, "it looks for the owner first");
    let (status, retry, seen, took) = played(Some(AcceptOutcome::Full)).await;
    assert_eq!((status, retry, seen), (503, true, 1));
    assert!(took < Duration::from_millis(1200), "and is not held back");
    assert_eq!(played(Some(AcceptOutcome::NoRoute)).await.0, 404);
    assert_eq!(played(Some(AcceptOutcome::Taken)).await.0, 202);
}

#[tokio::test(flavor = "current_thread")]
async fn a_process_that_ends_says_of_a_message_what_it_knows_by_then() {
    let end = Some(Duration::from_millis(100));
    // It may have been taken; or no owner had it.
    for (answer, said) in [(None, 504), (Some(AcceptOutcome::Unclear), 504), (Some(AcceptOutcome::Elsewhere), 503)] {
        let (status, retry, _, took) = played_until(answer, end).await;
        assert_eq!((status, retry), (said, said == 503));
        // Else it is given up after five times the target latency, 1.5 s, at the earliest.
        assert!(took < Duration::from_millis(1000), "{said} after {took:?}");
    }
}

#[test]
fn a_key_has_one_partition_whatever_its_service_and_zone() {
    let k = known("10.0.0.1:1");
    let t = ConfigurationIndex::from(Configuration::read(CONFIG.as_bytes()).expect("good"));
    let of = |route: &str, key: &str, id: &str, zone: &str| {
        let keys = PlacementKeys { order_key: key, id, ..PlacementKeys::default() };
        partition_of(&k, &t, t.route_named(route).expect("there"), &keys, zone).expect("one")
    };
    for key in ["a", "b", "c"] {
        let p = of("r2", key, "1", "x");
        assert!((0..20).all(|i| of("r3", key, &i.to_string(), "y") == p));
    }
    let e = of("r4", "", "1", "x");
    assert!((0..20).all(|i| of("r4", "", &i.to_string(), "y") == e), "one owner meters an endpoint");
    assert!((0..20).all(|i| of("r1", "", &i.to_string(), "x") % 2 == 0), "others stay in the client's zone");
}

#[tokio::test(flavor = "current_thread")]
async fn a_surplus_answer_is_no_answer_to_the_call_in_whose_place_it_comes() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut buf = [0u8; 4096];
                while let Ok(n) = s.read(&mut buf).await {
                    let text = String::from_utf8_lossy(&buf[..n]).into_owned();
                    let Some(at) = text.find("X-Attempt-Id: ") else { return };
                    let id = text[at + 14..].split('\r').next().unwrap_or("").to_owned();
                    // Another one's first, then its own.
                    for (id, result_tag) in [("other", "wrong"), (id.as_str(), "right")] {
                        let a = format!(
                            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Seal: {result_tag}\r\nContent-Length: 2\r\n\r\nok"
                        );
                        let _ = s.write_all(a.as_bytes()).await;
                    }
                }
            });
        }
    });
    let pool = http1::ConnectionPool::new(Duration::from_secs(9));
    for id in ["m1", "m2"] {
        let headers = [("X-Attempt-Id", id)];
        let call = http1::Call {
            method: "POST",
            path: "/",
            host: "h",
            headers: &headers,
            body: b"x",
            id,
            newest: None,
            connect: None,
        };
        let a = pool.call(&addr, call, 4, Duration::from_secs(2)).await.expect("an answer");
        assert_eq!((a.header("x-seal"), a.header("x-attempt-id")), (Some("right"), Some(id)));
    }
    assert_eq!(accepted.load(Ordering::Relaxed), 2, "a connection that is out of step is not used again");
}

#[test]
fn only_a_processors_word_or_a_send_that_never_left_says_not_run() {
    use front::classify_answer;
    use http1::{Answer, SendError};
    let of = |status: u16, headers: &[(&str, &str)]| {
        let headers = headers.iter().map(|(n, v)| (n.to_string(), v.to_string())).collect();
        classify_answer(&Ok(Answer { status, headers, whole: true, ..Answer::default() })).0
    };
    for status in [400, 409, 429, 503] {
        assert_eq!(of(status, &[("X-Not-Run", "1")]), Outcome::NotRun);
        assert_eq!(of(status, &[]), Outcome::Unknown, "{status} alone is no such word");
    }
    assert_eq!((of(421, &[]), of(500, &[]), of(422, &[])), (Outcome::NotRun, Outcome::Failed, Outcome::Never));
    assert_eq!((of(200, &[("X-Seal", "s")]), of(200, &[]), of(200, &[("X-Seal", "")])), {
        (Outcome::Done, Outcome::Unknown, Outcome::Unknown)
    });
    assert_eq!(of(200, &[("X-Not-Run", "1"), ("X-Seal", "s")]), Outcome::Done, "it is sealed");
    assert_eq!((of(504, &[]), of(502, &[])), (Outcome::Unknown, Outcome::Unknown));
    let missed = [SendError::NotSent, SendError::Lost, SendError::Silent].map(|m| classify_answer(&Err(m)).0);
    assert_eq!(missed, [Outcome::NotRun, Outcome::Unknown, Outcome::Unknown]);
}

/// A front, and a store node at `addr` for all partitions; `more` are further store nodes.
fn front_beside(addr: &str, more: &[(&str, &str)]) -> Arc<FrontService> {
    let mut settings = Settings { zone: "x".into(), ..Settings::default() };
    settings.constraints.quiet_ms = 4000.0;
    let front = FrontService::new(settings);
    let mut view = known(addr);
    let mut nodes = view.membership.nodes.clone();
    nodes.extend(more.iter().map(|(name, inner)| Node {
        name: name.to_string(),
        role: "store".into(),
        inner: inner.to_string(),
        ..Node::default()
    }));
    let membership = Membership { version: 2, nodes, ..Membership::default() };
    view.take(&ViewUpdate { membership: Some(membership), ..ViewUpdate::default() });
    front.view.send_replace(view);
    front
}

fn message(id: &str) -> Request {
    let header = |n: &str, v: &str| (n.to_owned(), v.to_owned());
    Request {
        method: "POST".into(),
        path: "/a/1".into(),
        headers: vec![header("Host", "h"), header("X-Attempt-Id", id)],
        ..Request::default()
    }
}

/// Sends one message into silence, then another one, and says what that one is told and when.
async fn second_into_silence(more: &[(&str, &str)]) -> (u16, bool, Duration) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    tokio::spawn(rpc::serve(listener, Duration::from_secs(9), |_, responder| std::mem::forget(responder)));
    let front = front_beside(&addr, more);
    let first = tokio::spawn({
        let front = front.clone();
        async move { front.accept_message(message("m1")).await.status }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let begun = Instant::now();
    let reply = front.accept_message(message("m2")).await;
    let took = begun.elapsed();
    assert_eq!(first.await.expect("answered"), 504, "the first may have been taken");
    (reply.status, reply.headers.iter().any(|h| h.0 == "Retry-After"), took)
}

#[tokio::test(flavor = "current_thread")]
async fn what_no_store_node_can_take_is_refused_at_once() {
    let (status, retry, took) = second_into_silence(&[]).await;
    assert_eq!((status, retry), (503, true));
    assert!(took < Duration::from_millis(400), "held for {took:?}");
}

#[tokio::test(flavor = "current_thread")]
async fn while_one_store_node_may_answer_a_new_owner_is_waited_for() {
    let (status, _, took) = second_into_silence(&[("s9", "127.0.0.1:9")]).await;
    assert_eq!(status, 503);
    assert!(took > Duration::from_millis(1200), "refused after {took:?}");
}
