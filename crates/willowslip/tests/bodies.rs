//! Reads message bodies while their partitions have no owner.

use serde_json::{Value, json};
use soak::clients::{HOST, Message, send};
use soak::{Cluster, ClusterOptions, exchange};
use std::path::Path;
use std::time::{Duration, Instant};

const MESSAGES: usize = 24;
const DELAY: Duration = Duration::from_secs(300);
const TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than `quietMs`: after this time the log of each replica records the accepted messages as committed.
const COMMIT_PROPAGATION: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn get(front: &str, path: &str) -> (u16, String) {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    exchange(front, &request, Duration::from_secs(3)).map_or((0, String::new()), |answer| (answer.status, answer.body))
}

/// Ids of the partitions whose `field` (`replicas` or `inSync`) contains a store.
fn partitions_with(cluster: &Cluster, field: &str, store: &str) -> Option<Vec<u64>> {
    let status = cluster.ctl(&["status"]).ok()?;
    let partitions = status["partitions"].as_array()?.clone();
    let contains = |p: &Value| p[field].as_array().is_some_and(|nodes| nodes.iter().any(|node| node == store));
    Some(partitions.iter().filter(|p| contains(p)).filter_map(|p| p["id"].as_u64()).collect())
}

/// Regression test: a body could not be read while its partition had no owner, although a running store had a replica
/// of it.
#[test]
fn body_is_read_from_an_out_of_sync_replica() {
    let options = ClusterOptions { network: "127.0.18".into(), ..ClusterOptions::default() };
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_willowslip")), options).expect("free ports");
    let route = json!({"name": "r", "host": HOST, "prefix": "/m/", "mode": "deferred", "cutoffMs": 1000,
        "setpointMs": 1000, "tries": 3, "sequenced": true, "retainS": 600, "startSetpointMs": 1000, "plant": "p"});
    let service = json!({"name": "p", "connLimit": 50, "endpoint": "127.0.0.1:9"});
    cluster
        .start(&json!({"revision": 1, "channels": [route], "plants": [service], "limits": {}}))
        .expect("cluster starts");
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
        wait_until("message accepted", || {
            let sent = send(&front, message.clone());
            name = sent.name;
            sent.status == 202
        });
        messages.push((name, body));
    }
    std::thread::sleep(COMMIT_PROPAGATION);
    // store-6 is killed and falls out of sync; then the other stores are killed and only store-6 is restarted.
    let replicated = partitions_with(&cluster, "replicas", "store-6").expect("status");
    cluster.kill("store-6");
    wait_until("store-6 out of sync", || partitions_with(&cluster, "inSync", "store-6").is_some_and(|p| p.is_empty()));
    cluster.kill("store-5");
    cluster.kill("store-7");
    cluster.spawn("store-6").expect("process starts");
    let has_replica = |name: &str| replicated.iter().any(|partition| name.starts_with(&format!("{partition}-")));
    let held_messages: Vec<_> = messages.iter().filter(|(name, _)| has_replica(name)).collect();
    assert!(held_messages.len() > MESSAGES / 3, "messages are spread over the partitions");
    for (name, body) in held_messages {
        wait_until("body readable", || get(&front, &format!("/message-body/{name}")) == (200, body.clone()));
        assert_eq!(get(&front, &format!("/message/{name}")).0, 503, "only the owner reports the state");
    }
}
