//! Operation keys on loopback: tries at one operation run once, whatever changes between them.

use serde_json::{Value, json};
use soak::clients::{HOST, Message, is_settled, send};
use soak::{Cluster, ClusterOptions, Processor};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

const OPERATIONS: usize = 12;
const PATIENCE: Duration = Duration::from_secs(20);
/// `convergeMs` of the cluster: by then every front goes by an acknowledged configuration.
const CONVERGENCE: Duration = Duration::from_secs(3);

fn route(name: &str, prefix: &str) -> Value {
    json!({"name": name, "host": HOST, "prefix": prefix, "mode": "deferred", "cutoffMs": 1000, "setpointMs": 1000,
        "tries": 3, "sequenced": false, "retainS": 60, "startSetpointMs": 1000, "plant": "first"})
}

fn configuration(revision: u64, routes: Value, processor: &Processor) -> Value {
    let service = |name: &str| json!({"name": name, "connLimit": 50, "endpoint": processor.address()});
    json!({"revision": revision, "channels": routes, "plants": [service("first"), service("second")], "limits": {}})
}

/// Puts a configuration in force at every front.
fn change(cluster: &Cluster, revision: u64, routes: Value, processor: &Processor) {
    cluster.configure(&configuration(revision, routes, processor)).expect("acknowledged");
    std::thread::sleep(CONVERGENCE);
}

/// Sends a try at each operation until it is accepted; the names that were told.
fn try_all(front: &str, label: &str, path: &str, order_key: &str) -> Vec<String> {
    let accepted = |number: usize| {
        let end = Instant::now() + PATIENCE;
        for again in 0.. {
            let message = Message {
                id: format!("op{number}_{label}_{again}"),
                path: path.into(),
                order_key: order_key.into(),
                operation_key: format!("op{number}"),
                ..Message::default()
            };
            let sent = send(front, message);
            if sent.status == 202 {
                while !is_settled(front, &sent) {
                    assert!(Instant::now() < end, "{label}: {} is left lying", sent.name);
                    std::thread::sleep(Duration::from_millis(50));
                }
                return sent.name;
            }
            assert!(Instant::now() < end, "{label}: not accepted in time, {}", sent.status);
            std::thread::sleep(Duration::from_millis(100));
        }
        unreachable!("it returns or fails")
    };
    (0..OPERATIONS).map(accepted).collect()
}

/// Guards against TWICE: a try that another route takes, or the same one after it has changed,
/// came to another partition, which did not know its operation.
#[test]
fn tries_run_once_whatever_routes_they_come_by() {
    let processor = Processor::start().expect("a port");
    let options = ClusterOptions {
        network: "127.0.10".into(),
        constraints: "keyWindowS = 60".into(),
        ..ClusterOptions::default()
    };
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_willowslip")), options).expect("ports");
    let plain = route("hand", "/hand/");
    cluster.start(&configuration(1, json!([plain]), &processor)).expect("it starts");
    let front = cluster.fronts()[0].clone();
    let names = try_all(&front, "first", "/hand/urgent/x", "");

    let inner = route("urgent", "/hand/urgent/");
    change(&cluster, 2, json!([plain, inner]), &processor);
    assert_eq!(try_all(&front, "route_added", "/hand/urgent/x", ""), names);
    assert_eq!(try_all(&front, "other_path", "/hand/x", ""), names);

    let mut ordered = inner.clone();
    (ordered["sequenced"], ordered["plant"]) = (json!(true), json!("second"));
    change(&cluster, 3, json!([plain, ordered]), &processor);
    assert_eq!(try_all(&front, "ordered", "/hand/urgent/x", "order"), names);

    change(&cluster, 4, json!([route("renamed", "/hand/urgent/")]), &processor);
    assert_eq!(try_all(&front, "renamed", "/hand/urgent/x", ""), names);

    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in processor.runs() {
        let operation = run.id.split('_').next().unwrap_or_default().to_owned();
        *runs.entry(operation).or_default() += 1;
    }
    assert_eq!(runs.len(), OPERATIONS);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}
