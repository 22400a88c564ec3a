//! Bodies of messages whose partitions have no owner, on loopback.

use serde_json::{Value, json};
use soak::clients::{HOST, Message, send};
use soak::{Cluster, ClusterOptions, exchange};
use std::path::Path;
use std::time::{Duration, Instant};

const MESSAGES: usize = 24;
const DELAY: Duration = Duration::from_secs(300);
const PATIENCE: Duration = Duration::from_secs(30);
/// By then each copy's log says that what was taken in is committed: more than `quietMs`.
const TOLD: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(100);

fn until(what: &str, mut is_so: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !is_so() {
        assert!(Instant::now() < end, "not in time: {what}");
        std::thread::sleep(PAUSE);
    }
}

fn get(front: &str, path: &str) -> (u16, String) {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    exchange(front, &request, Duration::from_secs(3)).map_or((0, String::new()), |answer| (answer.status, answer.body))
}

/// The partitions whose nodes of a kind name a store.
fn partitions_with(cluster: &Cluster, nodes: &str, store: &str) -> Option<Vec<u64>> {
    let status = cluster.ctl(&["status"]).ok()?;
    let partitions = status["partitions"].as_array()?.clone();
    let names = |p: &Value| p[nodes].as_array().is_some_and(|nodes| nodes.iter().any(|node| node == store));
    Some(partitions.iter().filter(|p| names(p)).filter_map(|p| p["id"].as_u64()).collect())
}

/// Guards against LOST: a body did not come back while its partition had no owner, though a machine
/// that runs held it.
#[test]
fn a_body_comes_back_from_a_copy_that_is_out_of_sync() {
    let options = ClusterOptions { network: "127.0.18".into(), ..ClusterOptions::default() };
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_willowslip")), options).expect("ports");
    let route = json!({"name": "r", "host": HOST, "prefix": "/m/", "mode": "deferred", "cutoffMs": 1000,
        "setpointMs": 1000, "tries": 3, "sequenced": true, "retainS": 600, "startSetpointMs": 1000, "plant": "p"});
    let service = json!({"name": "p", "connLimit": 50, "endpoint": "127.0.0.1:9"});
    cluster.start(&json!({"revision": 1, "channels": [route], "plants": [service], "limits": {}})).expect("it starts");
    let front = cluster.fronts()[0].clone();
    let mut messages = Vec::new();
    for number in 0..MESSAGES {
        let (id, body) = (format!("m{number}"), format!("body of {number}"));
        let message = Message {
            order_key: format!("k{number}"),
            path: "/m/x".into(),
            delay: DELAY,
            body: body.clone(),
            id,
            ..Message::default()
        };
        let mut name = String::new();
        until("accepted", || {
            let sent = send(&front, message.clone());
            name = sent.name;
            sent.status == 202
        });
        messages.push((name, body));
    }
    std::thread::sleep(TOLD);
    // One that holds copies goes, and is out of sync; then all others go, and it comes back.
    let held = partitions_with(&cluster, "replicas", "store-6").expect("a status");
    cluster.kill("store-6");
    until("out of sync", || partitions_with(&cluster, "inSync", "store-6").is_some_and(|p| p.is_empty()));
    cluster.kill("store-5");
    cluster.kill("store-7");
    cluster.spawn("store-6").expect("it starts");
    let is_held = |name: &str| held.iter().any(|partition| name.starts_with(&format!("{partition}-")));
    let of_copies: Vec<_> = messages.iter().filter(|(name, _)| is_held(name)).collect();
    assert!(of_copies.len() > MESSAGES / 3, "keys are spread over the partitions");
    for (name, body) in of_copies {
        until("a body", || get(&front, &format!("/message-body/{name}")) == (200, body.clone()));
        assert_eq!(get(&front, &format!("/message/{name}")).0, 503, "its state is its owner's to say");
    }
}
