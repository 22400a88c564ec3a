//! Operation keys: repeated requests for one operation run once, even if routes change in between.

use serde_json::{Value, json};
use soak::clients::{HOST, Message, is_settled, send};
use soak::{Cluster, ClusterOptions, Processor};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

const OPERATIONS: usize = 12;
const TIMEOUT: Duration = Duration::from_secs(20);
/// `convergeMs` of the cluster: the time within which every front applies an acknowledged configuration.
const CONVERGENCE: Duration = Duration::from_secs(3);

fn route(name: &str, prefix: &str) -> Value {
    json!({"name": name, "host": HOST, "prefix": prefix, "mode": "deferred", "cutoffMs": 1000, "setpointMs": 1000,
        "tries": 3, "sequenced": false, "retainS": 60, "startSetpointMs": 1000, "plant": "first"})
}

fn configuration(revision: u64, routes: Value, processor: &Processor) -> Value {
    let service = |name: &str| json!({"name": name, "connLimit": 50, "endpoint": processor.address()});
    json!({"revision": revision, "channels": routes, "plants": [service("first"), service("second")], "limits": {}})
}

/// Replaces the configuration and waits until every front has applied it.
fn reconfigure(cluster: &Cluster, revision: u64, routes: Value, processor: &Processor) {
    cluster.configure(&configuration(revision, routes, processor)).expect("acknowledged");
    std::thread::sleep(CONVERGENCE);
}

/// Sends a request for each operation until it is accepted and settled; returns the message names.
fn send_all(front: &str, label: &str, path: &str, order_key: &str) -> Vec<String> {
    let accepted = |number: usize| {
        let deadline = Instant::now() + TIMEOUT;
        for retry in 0.. {
            let message = Message {
                id: format!("op{number}_{label}_{retry}"),
                path: path.into(),
                order_key: order_key.into(),
                operation_key: format!("op{number}"),
                ..Message::default()
            };
            let sent = send(front, message);
            if sent.status == 202 {
                while !is_settled(front, &sent) {
                    assert!(Instant::now() < deadline, "{label}: {} did not settle", sent.name);
                    std::thread::sleep(Duration::from_millis(50));
                }
                return sent.name;
            }
            assert!(Instant::now() < deadline, "{label}: not accepted in time, {}", sent.status);
            std::thread::sleep(Duration::from_millis(100));
        }
        unreachable!("the loop returns or panics")
    };
    (0..OPERATIONS).map(accepted).collect()
}

/// Regression test: a repeated request ran twice if another route matched it, or the same route after a change. It was
/// assigned to another partition, which did not know the operation.
#[test]
fn repeated_requests_run_once_across_route_changes() {
    let processor = Processor::start().expect("free port");
    let options = ClusterOptions {
        network: "127.0.10".into(),
        constraints: "keyWindowS = 60".into(),
        ..ClusterOptions::default()
    };
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_willowslip")), options).expect("free ports");
    let plain = route("hand", "/hand/");
    cluster.start(&configuration(1, json!([plain]), &processor)).expect("cluster starts");
    let front = cluster.fronts()[0].clone();
    let names = send_all(&front, "first", "/hand/urgent/x", "");

    let inner = route("urgent", "/hand/urgent/");
    reconfigure(&cluster, 2, json!([plain, inner]), &processor);
    assert_eq!(send_all(&front, "route_added", "/hand/urgent/x", ""), names);
    assert_eq!(send_all(&front, "other_path", "/hand/x", ""), names);

    let mut ordered = inner.clone();
    (ordered["sequenced"], ordered["plant"]) = (json!(true), json!("second"));
    reconfigure(&cluster, 3, json!([plain, ordered]), &processor);
    assert_eq!(send_all(&front, "ordered", "/hand/urgent/x", "order"), names);

    reconfigure(&cluster, 4, json!([route("renamed", "/hand/urgent/")]), &processor);
    assert_eq!(send_all(&front, "renamed", "/hand/urgent/x", ""), names);

    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in processor.runs() {
        let operation = run.id.split('_').next().unwrap_or_default().to_owned();
        *runs.entry(operation).or_default() += 1;
    }
    assert_eq!(runs.len(), OPERATIONS);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}
