//! Replies to clients when it is unclear whether a message was accepted, tested against a mock owner on
//! loopback.

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

fn view_of(addr: &str) -> ClusterView {
    common::view(addr, CONFIG)
}

/// Submits a message to a front whose owner sends `answer`, or does not answer for `None`. Returns the
/// status, whether there is a `Retry-After`, the number of calls to the owner, and the time taken.
async fn submit(answer: Option<AcceptOutcome>) -> (u16, bool, usize, Duration) {
    submit_until(answer, None).await
}

/// As [`submit`], in a process that begins to exit after `end`.
async fn submit_until(answer: Option<AcceptOutcome>, end: Option<Duration>) -> (u16, bool, usize, Duration) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let calls = Arc::new(AtomicUsize::new(0));
    let count = calls.clone();
    tokio::spawn(rpc::serve(listener, Duration::from_secs(1), move |body, responder| {
        if let Body::Accept(_) = body {
            count.fetch_add(1, Ordering::Relaxed);
            if let Some(outcome) = answer {
                responder.send(Body::Accepted(Accepted {
                    outcome: outcome as i32,
                    position: 7,
                    ..Accepted::default()
                }));
            } else {
                std::mem::forget(responder);
            }
        }
    }));
    let mut settings = Settings { zone: "x".into(), ..Settings::default() };
    settings.constraints.quiet_ms = 4000.0;
    let front = FrontService::new(settings);
    front.view.send_replace(view_of(&addr));
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
    let started = Instant::now();
    let reply = front.accept_message(request).await;
    let retry = reply.headers.iter().any(|h| h.0 == "Retry-After");
    (reply.status, retry, calls.load(Ordering::Relaxed), started.elapsed())
}

#[tokio::test(flavor = "current_thread")]
async fn a_message_that_may_have_been_accepted_is_never_answered_with_503() {
    // The owner received the message and does not answer: it may be delivered later.
    let (status, _, calls, _) = submit(None).await;
    assert_eq!((status, calls >= 1), (504, true));
    let (status, ..) = submit(Some(AcceptOutcome::Unclear)).await;
    assert_eq!(status, 504);
}

#[tokio::test(flavor = "current_thread")]
async fn a_message_that_was_not_written_is_answered_with_503_and_retry_after() {
    let (status, retry, calls, _) = submit(Some(AcceptOutcome::Elsewhere)).await;
    assert_eq!((status, retry), (503, true));
    assert!(calls > 2, "the owner is searched for first");
    let (status, retry, calls, took) = submit(Some(AcceptOutcome::Full)).await;
    assert_eq!((status, retry, calls), (503, true, 1));
    assert!(took < Duration::from_millis(1200), "the reply is not delayed");
    assert_eq!(submit(Some(AcceptOutcome::NoRoute)).await.0, 404);
    assert_eq!(submit(Some(AcceptOutcome::Taken)).await.0, 202);
}

#[tokio::test(flavor = "current_thread")]
async fn a_front_that_exits_answers_pending_requests_at_once_with_what_it_knows() {
    let end = Some(Duration::from_millis(100));
    // 504: the message may have been accepted; 503: no owner received it.
    for (answer, expected) in [(None, 504), (Some(AcceptOutcome::Unclear), 504), (Some(AcceptOutcome::Elsewhere), 503)]
    {
        let (status, retry, _, took) = submit_until(answer, end).await;
        assert_eq!((status, retry), (expected, expected == 503));
        // Otherwise the request times out after five times the target latency, 1.5 s, at the earliest.
        assert!(took < Duration::from_millis(1000), "{expected} after {took:?}");
    }
}

#[test]
fn an_order_key_has_one_partition_whatever_its_service_and_zone() {
    let view = view_of("10.0.0.1:1");
    let configuration = ConfigurationIndex::from(Configuration::read(CONFIG.as_bytes()).expect("good"));
    let place = |route: &str, key: &str, id: &str, zone: &str| {
        let keys = PlacementKeys { order_key: key, id, ..PlacementKeys::default() };
        partition_of(&view, &configuration, configuration.route_named(route).expect("there"), &keys, zone).expect("one")
    };
    for key in ["a", "b", "c"] {
        let partition = place("r2", key, "1", "x");
        assert!((0..20).all(|i| place("r3", key, &i.to_string(), "y") == partition));
    }
    let metered = place("r4", "", "1", "x");
    assert!((0..20).all(|i| place("r4", "", &i.to_string(), "y") == metered), "one owner meters an endpoint");
    assert!(
        (0..20).all(|i| place("r1", "", &i.to_string(), "x") % 2 == 0),
        "other messages go to owners in the client's zone"
    );
}

#[tokio::test(flavor = "current_thread")]
async fn an_extra_answer_with_another_id_is_not_taken_for_the_answer() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let connections = Arc::new(AtomicUsize::new(0));
    let count = connections.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut buf = [0u8; 4096];
                while let Ok(n) = stream.read(&mut buf).await {
                    let text = String::from_utf8_lossy(&buf[..n]).into_owned();
                    let Some(at) = text.find("X-Attempt-Id: ") else { return };
                    let id = text[at + 14..].split('\r').next().unwrap_or("").to_owned();
                    // An answer with another id first, then the actual one.
                    for (id, result_tag) in [("other", "wrong"), (id.as_str(), "right")] {
                        let answer = format!(
                            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Seal: {result_tag}\r\nContent-Length: 2\r\n\r\nok"
                        );
                        let _ = stream.write_all(answer.as_bytes()).await;
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
        let answer = pool.call(&addr, call, 4, Duration::from_secs(2)).await.expect("an answer");
        assert_eq!((answer.header("x-seal"), answer.header("x-attempt-id")), (Some("right"), Some(id)));
    }
    assert_eq!(connections.load(Ordering::Relaxed), 2, "a desynchronized connection is not reused");
}

#[test]
fn not_run_requires_a_statement_of_the_processor_or_an_unsent_request() {
    use front::classify_answer;
    use http1::{Answer, SendError};
    let outcome_of = |status: u16, headers: &[(&str, &str)]| {
        let headers = headers.iter().map(|(n, v)| (n.to_string(), v.to_string())).collect();
        classify_answer(&Ok(Answer { status, headers, is_complete: true, ..Answer::default() })).0
    };
    for status in [400, 409, 429, 503] {
        assert_eq!(outcome_of(status, &[("X-Not-Run", "1")]), Outcome::NotRun);
        assert_eq!(outcome_of(status, &[]), Outcome::Unknown, "{status} alone does not state it");
    }
    assert_eq!(
        (outcome_of(421, &[]), outcome_of(500, &[]), outcome_of(422, &[])),
        (Outcome::NotRun, Outcome::Failed, Outcome::Never)
    );
    assert_eq!((outcome_of(200, &[("X-Seal", "s")]), outcome_of(200, &[]), outcome_of(200, &[("X-Seal", "")])), {
        (Outcome::Done, Outcome::Unknown, Outcome::Unknown)
    });
    assert_eq!(outcome_of(200, &[("X-Not-Run", "1"), ("X-Seal", "s")]), Outcome::Done, "X-Seal decides");
    assert_eq!((outcome_of(504, &[]), outcome_of(502, &[])), (Outcome::Unknown, Outcome::Unknown));
    let failed = [SendError::NotSent, SendError::Lost, SendError::Silent].map(|e| classify_answer(&Err(e)).0);
    assert_eq!(failed, [Outcome::NotRun, Outcome::Unknown, Outcome::Unknown]);
}

/// A front whose partitions are all owned by a store node at `addr`; `more` are further store nodes.
fn front_with_stores(addr: &str, more: &[(&str, &str)]) -> Arc<FrontService> {
    let mut settings = Settings { zone: "x".into(), ..Settings::default() };
    settings.constraints.quiet_ms = 4000.0;
    let front = FrontService::new(settings);
    let mut view = view_of(addr);
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

/// Submits two messages to an owner that does not answer. Returns status, `Retry-After` and duration of
/// the second.
async fn submit_second_to_silent_owner(more: &[(&str, &str)]) -> (u16, bool, Duration) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    tokio::spawn(rpc::serve(listener, Duration::from_secs(9), |_, responder| std::mem::forget(responder)));
    let front = front_with_stores(&addr, more);
    let first = tokio::spawn({
        let front = front.clone();
        async move { front.accept_message(message("m1")).await.status }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let started = Instant::now();
    let reply = front.accept_message(message("m2")).await;
    let took = started.elapsed();
    assert_eq!(first.await.expect("answered"), 504, "the first message may have been accepted");
    (reply.status, reply.headers.iter().any(|h| h.0 == "Retry-After"), took)
}

#[tokio::test(flavor = "current_thread")]
async fn a_message_is_refused_at_once_if_no_store_node_answers() {
    let (status, retry, took) = submit_second_to_silent_owner(&[]).await;
    assert_eq!((status, retry), (503, true));
    assert!(took < Duration::from_millis(400), "refused after {took:?}");
}

#[tokio::test(flavor = "current_thread")]
async fn a_message_waits_for_a_new_owner_while_a_store_node_may_answer() {
    let (status, _, took) = submit_second_to_silent_owner(&[("s9", "127.0.0.1:9")]).await;
    assert_eq!(status, 503);
    assert!(took > Duration::from_millis(1200), "refused after {took:?}");
}
