//! Messages of all lengths that the configuration allows, across the lengths of frames and batches.

use serde_json::{Value, json};
use soak::clients::{HOST, Message, Sent, is_settled, send};
use soak::{Cluster, ClusterOptions, Processor, exchange};
use std::path::Path;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const SHORT_MESSAGES: usize = 12;
/// The short messages wait this long, so that the long ones come before they run.
const SHORT_DELAY: Duration = Duration::from_secs(6);
/// The delayed long messages wait this long, so that their bodies can be asked for.
const LONG_DELAY: Duration = Duration::from_secs(10);
/// A body that the processes do not carry is refused before it was sent, so long before any time-out.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
const BODY_LIMIT: usize = 8 << 20;
/// The length of a frame that every process accepts.
const FRAME_LIMIT: usize = 4 << 20;
const ORDER_KEYS: usize = 5;

fn configuration(revision: u64, processor: &Processor, body_bytes: usize) -> Value {
    let route = json!({"name": "r", "host": HOST, "prefix": "/m/", "mode": "deferred", "cutoffMs": 3000,
        "setpointMs": 400, "tries": 3, "sequenced": true, "retainS": 600, "startSetpointMs": 1000, "plant": "p"});
    let service = json!({"name": "p", "connLimit": 50, "endpoint": processor.address()});
    json!({"revision": revision, "channels": [route], "plants": [service], "limits": {"bodyBytes": body_bytes}})
}

fn start_cluster(network: &str, processor: &Processor, body_bytes: usize) -> Cluster {
    let options = ClusterOptions { network: network.into(), ..ClusterOptions::default() };
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_willowslip")), options).expect("free ports");
    cluster.start(&configuration(1, processor, body_bytes)).expect("cluster starts");
    cluster
}

/// Sends a message, and repeats it while the answer asks for that.
fn send_until_taken(front: &str, message: &Message) -> Sent {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let sent = send(front, message.clone());
        if sent.status == 202 || !matches!(sent.status, 0 | 503 | 504) || Instant::now() > deadline {
            return sent;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn message(id: String, key: usize, delay: Duration, body: String) -> Message {
    Message { id, path: "/m/x".into(), order_key: format!("k{key}"), delay, body, ..Message::default() }
}

fn body_of(front: &str, name: &str) -> Option<String> {
    let request = format!("GET /message-body/{name} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    exchange(front, &request, Duration::from_secs(3)).filter(|answer| answer.status == 200).map(|answer| answer.body)
}

/// Regression test: a message just under 4 MiB was appended and fitted no frame to the follower. Its partition committed
/// nothing more, and longer messages were answered with 504 although the configuration allowed them.
#[test]
fn messages_of_every_allowed_length_are_taken_and_harm_no_others() {
    let processor = Processor::start().expect("a free port");
    let cluster = start_cluster("127.0.20", &processor, BODY_LIMIT);
    let front = cluster.fronts()[0].clone();
    let mut all = Vec::new();
    for number in 0..SHORT_MESSAGES {
        let short = message(format!("short{number}"), number % ORDER_KEYS, SHORT_DELAY, "short".into());
        all.push(send_until_taken(&front, &short));
    }
    let around_the_frame = (0..14).map(|step| FRAME_LIMIT - 160 + 16 * step);
    let lengths = around_the_frame.chain([FRAME_LIMIT - (512 << 10), 5 << 20, BODY_LIMIT - 1, BODY_LIMIT]);
    for (number, length) in lengths.enumerate() {
        let is_delayed = number % 4 == 0;
        let delay = if is_delayed { LONG_DELAY } else { Duration::ZERO };
        let body = char::from(b'a' + number as u8).to_string().repeat(length);
        let sent =
            send_until_taken(&front, &message(format!("long{number}"), number % ORDER_KEYS, delay, body.clone()));
        assert_eq!(sent.status, 202, "a body of {length} bytes");
        if is_delayed {
            assert!(body_of(&front, &sent.name) == Some(body), "the body of {length} bytes comes back");
        }
        all.push(Sent { message: Message { body: String::new(), ..sent.message }, ..sent });
    }
    all.push(send_until_taken(&front, &message("last".into(), 0, Duration::ZERO, "last".into())));
    let not_taken: Vec<&String> = all.iter().filter(|sent| sent.status != 202).map(|sent| &sent.message.id).collect();
    assert_eq!(not_taken, Vec::<&String>::new());
    let deadline = Instant::now() + TIMEOUT;
    for sent in &all {
        while !is_settled(&front, sent) {
            assert!(Instant::now() < deadline, "{} has not settled", sent.message.id);
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Regression test: a length that the configuration allows and the processes do not carry was answered with 504 after the
/// client's whole waiting time, as if it might be taken later.
#[test]
fn a_body_beyond_what_the_processes_carry_is_refused_at_once_with_the_limit() {
    let processor = Processor::start().expect("a free port");
    let cluster = start_cluster("127.0.21", &processor, 64 << 20);
    let front = cluster.fronts()[0].clone();
    let taken = send_until_taken(&front, &message("m".into(), 0, Duration::ZERO, "x".repeat(5 << 20)));
    assert_eq!(taken.status, 202);
    let head = format!(
        "POST /m/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: long\r\nX-Order-Key: k\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n",
        30 << 20
    );
    let started = Instant::now();
    let answer = exchange(&front, &head, Duration::from_secs(3)).expect("an answer before the body");
    assert!(started.elapsed() < REFUSAL_TIME);
    assert_eq!(answer.status, 413, "{}", answer.body);
    let limit = serde_json::from_str::<Value>(&answer.body).ok().and_then(|body| body["limitBytes"].as_u64());
    let limit = limit.expect("the limit that holds") as usize;
    assert!((BODY_LIMIT..16 << 20).contains(&limit), "{limit} bytes");
    let longest = send_until_taken(&front, &message("longest".into(), 1, Duration::ZERO, "x".repeat(limit)));
    assert_eq!(longest.status, 202, "the limit itself is carried");
}
