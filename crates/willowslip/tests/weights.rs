//! Delivery of messages on a route that is split over several services by weight.

use serde_json::json;
use soak::clients::{HOST, Message, Sent, is_settled, send};
use soak::{Cluster, ClusterOptions, Processor};
use std::path::Path;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

fn options() -> ClusterOptions {
    ClusterOptions { network: "127.0.4".into(), ..ClusterOptions::default() }
}

/// A configuration with one route; `target` is the key and value that select its services.
fn configuration(revision: u64, target: (&str, serde_json::Value), processors: [&Processor; 2]) -> serde_json::Value {
    let services = ["first", "second"].iter().zip(processors);
    let services: Vec<_> =
        services.map(|(name, p)| json!({"name": name, "connLimit": 50, "endpoint": p.address()})).collect();
    let mut route = json!({"name": "r", "host": HOST, "prefix": "/m/", "mode": "deferred", "cutoffMs": 1000,
        "setpointMs": 1000, "tries": 3, "sequenced": true, "retainS": 60, "startSetpointMs": 1000});
    route[target.0] = target.1;
    json!({"revision": revision, "channels": [route], "plants": services, "limits": {}})
}

/// Sends messages until `count` are accepted.
fn send_accepted(front: &str, label: &str, count: usize) -> Vec<Sent> {
    let mut accepted = Vec::new();
    let deadline = Instant::now() + TIMEOUT;
    for number in 0.. {
        let id = format!("{label}-{number}");
        let message = Message { order_key: id.clone(), id, path: "/m/x".into(), ..Message::default() };
        let sent = send(front, message);
        if sent.status == 202 {
            accepted.push(sent);
        }
        if accepted.len() == count {
            break;
        }
        assert!(Instant::now() < deadline, "not accepted in time");
    }
    accepted
}

fn wait_until_settled(front: &str, messages: &[Sent], what: &str) {
    let deadline = Instant::now() + TIMEOUT;
    for message in messages {
        while !is_settled(front, message) {
            assert!(Instant::now() < deadline, "{what}: {} did not settle", message.message.id);
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

#[test]
fn messages_settle_when_weights_are_added_to_and_removed_from_a_route() {
    let processors = [Processor::start().expect("free port"), Processor::start().expect("free port")];
    let both = [&processors[0], &processors[1]];
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_willowslip")), options()).expect("free ports");
    cluster.start(&configuration(1, ("plant", json!("first")), both)).expect("cluster starts");
    let front = cluster.fronts()[0].clone();
    wait_until_settled(&front, &send_accepted(&front, "plain", 5), "one service");

    let weights = json!([{"plant": "first", "gain": 1}, {"plant": "second", "gain": 1}]);
    cluster.configure(&configuration(2, ("mix", weights), both)).expect("acknowledged");
    let first_before = processors[0].runs().len();
    let shared = send_accepted(&front, "shared", 40);
    wait_until_settled(&front, &shared, "weights");
    let (first, second) = (processors[0].runs().len() - first_before, processors[1].runs().len());
    assert!(first >= 8 && second >= 8, "{first} and {second} of 40 at equal weights");

    cluster.configure(&configuration(3, ("plant", json!("first")), both)).expect("acknowledged");
    wait_until_settled(&front, &send_accepted(&front, "again", 5), "one service again");
}

#[test]
fn waiting_messages_go_to_the_replacement_of_their_service() {
    let processors = [Processor::start().expect("free port"), Processor::start().expect("free port")];
    let both = [&processors[0], &processors[1]];
    let options = ClusterOptions { network: "127.0.5".into(), ..options() };
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_willowslip")), options).expect("free ports");
    processors[0].set_silent(true);
    cluster.start(&configuration(1, ("plant", json!("first")), both)).expect("cluster starts");
    let front = cluster.fronts()[0].clone();
    let waiting = send_accepted(&front, "waiting", 60);
    let mut moved = configuration(2, ("plant", json!("second")), both);
    moved["plants"].as_array_mut().expect("array").remove(0);
    cluster.configure(&moved).expect("acknowledged");
    wait_until_settled(&front, &waiting, "after the removal of the service");
}
